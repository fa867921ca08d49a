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
    std::size_t maxBatchBytes = 128 * 1024; ///< a larger record travels alone
    /// The log takes several hundred appends a second from all processes together.
    std::uint32_t maxAppendsPerSecond = 200;
    /// With maxBatchRecords, stays below record_window::Counters.
    std::size_t maxAppendsInFlight = 4;
    std::size_t maxQueued = 4096;
    absl::Duration appendTimeout = absl::Seconds(5); ///< after it the outcome is settled by reading
    absl::Duration readTimeout = absl::Seconds(5);
    std::size_t maxReadRecords = 512;
    absl::Duration pollInterval = absl::Milliseconds(200);
    absl::Duration pollIntervalOpen = absl::Milliseconds(20); ///< while an append is not settled
    absl::Duration backoffBase = absl::Milliseconds(200);
    absl::Duration backoffLimit = absl::Seconds(2);
    journal_offset snapshotOffsets = 20'000; ///< payloads between two snapshots
    absl::Duration snapshotAge = absl::Hours(1);
    absl::Duration snapshotDeadline = absl::Seconds(60); ///< for writing all parts
    /// Off only in fault cells: a lost append answer is then reported as "not run".
    bool settleByReading = true;
};

/// Where a record got its offset, and what the reduction decided about it.
struct append_outcome
{
    journal_offset offset = 0;
    verdict decision;
};

/// How far the local state follows the log.
struct catch_up_progress
{
    journal_offset offset = 0; ///< last one reduced
    journal_offset behind = 0; ///< payloads known to be in the log but not reduced
    bool caughtUp = false;     ///< the last read reached the end of the log
    bool logAvailable = false; ///< the last read succeeded
    absl::Time lastReadAt = absl::InfinitePast(); ///< time of the last successful read
};

/// Effects and questions of a journal_client. All may be empty.
struct journal_hooks
{
    std::function<void(journal_offset, const journal_record &, const verdict &)> onRecord = {};
    std::function<void()> onRestored = {};  ///< the state was replaced by a snapshot
    std::function<bool()> maySnapshot = {}; ///< whether this process may write a snapshot now
    std::function<void(disposition, reason)> count = {};
    /// Runs completions of the log port under the caller's serialisation; empty: at once.
    std::function<void(std::function<void()>)> post = {};
};

} // namespace hyssoppond::journal
