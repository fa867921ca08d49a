/// @file Settings, hooks and outcomes of the journal client.
#pragma once

#include "hyssoppond/base/counters_base.h"
#include "hyssoppond/journal/cluster_type.h"

#include <absl/time/time.h>

#include <functional>

namespace hyssoppond::journal {

/// Settings of a journal_client.
struct journal_options
{
    absl::Duration batchDelay = absl::Milliseconds(10); ///< longest wait for more records
    std::size_t maxBatchRecords = 64;
    std::size_t maxBatchBytes = 128 * 1024; ///< a larger record is sent in a batch of its own
    /// Appends of this client. The log accepts several hundred appends per second from all
    /// processes together.
    std::uint32_t maxAppendsPerSecond = 200;
    /// maxAppendsInFlight * maxBatchRecords must stay below record_window::Counters, or records of
    /// batches that arrive out of order would count as seen before.
    std::size_t maxAppendsInFlight = 4;
    std::size_t maxQueued = 4096; ///< records that wait to be sent; more are refused as Overloaded
    absl::Duration appendTimeout = absl::Seconds(5); ///< then the outcome is settled by reading
    absl::Duration readTimeout = absl::Seconds(5);
    std::size_t maxReadRecords = 512;
    absl::Duration pollInterval = absl::Milliseconds(200);
    /// Poll interval while the outcome of an append is not known.
    absl::Duration pollIntervalUnsettled = absl::Milliseconds(20);
    absl::Duration backoffBase = absl::Milliseconds(200);
    absl::Duration backoffLimit = absl::Seconds(2);
    journal_offset snapshotOffsets = 20'000; ///< payloads in the log between two snapshots
    /// Longest time between two snapshots if fewer payloads are appended.
    absl::Duration snapshotAge = absl::Hours(1);
    absl::Duration snapshotDeadline = absl::Seconds(60); ///< for writing all parts
    /// Settles lost append answers by reading the log. Disabled only in fault cells, where a lost
    /// append answer is then reported as "not run".
    bool settleByReading = true;
};

/// Offset of an appended record, and the verdict about it when it was applied.
struct append_outcome
{
    journal_offset offset = 0;
    verdict decision;
};

/// How far the local state follows the log.
struct catch_up_progress
{
    journal_offset offset = 0; ///< last one applied
    journal_offset behind = 0; ///< payloads known to be in the log but not yet applied
    bool caughtUp = false;     ///< the last read reached the end of the log
    bool logAvailable = false; ///< the last read succeeded
    absl::Time lastReadAt = absl::InfinitePast(); ///< time of the last successful read
};

/// Callbacks of a journal_client. All may be empty.
struct journal_hooks
{
    /// Called for each record after it was applied.
    std::function<void(journal_offset, const journal_record &, const verdict &)> onRecord = {};
    std::function<void()> onRestored = {};  ///< the state was replaced by a snapshot
    std::function<bool()> maySnapshot = {}; ///< whether this process may write a snapshot now
    std::function<void(disposition, reason)> count = {};
    /// Runs the completions of the log port one at a time with the caller's other calls. If empty,
    /// they run at once on the thread of the log port.
    std::function<void(std::function<void()>)> post = {};
};

} // namespace hyssoppond::journal
