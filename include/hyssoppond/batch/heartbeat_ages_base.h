/// @file Ages of heartbeats, measured without comparing the clocks of different machines.
#pragma once

#include "hyssoppond/batch/batch_record_type.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>

namespace hyssoppond::batch {

/// Tells how long ago a heartbeat was sent at most. The store may carry out an append seconds late,
/// so that the time at which a heartbeat is read proves nothing about its sender.
///
/// Each heartbeat names the offset of an earlier one, and when it was sent and the earlier one was
/// answered on the sender's steady clock. A read that ended at or before that offset began before
/// the earlier heartbeat was appended, and so before its answer. The sender's clock gives the time
/// from there on. Bounds of earlier heartbeats of the same process stay valid, so the latest one
/// counts.
class heartbeat_ages
{
public:
    /// Notes a read of the heartbeats that began at `startedAt` and showed their end at `end`.
    void noteRead(absl::Time startedAt, std::uint64_t end);

    /// Time on the reader's clock at which, or after which, `heartbeat` was sent. `offset` is its
    /// own. InfinitePast if no bound is known.
    absl::Time sentAfter(const agent_heartbeat &heartbeat, std::uint64_t offset);

private:
    struct read_time
    {
        absl::Time startedAt;
        std::uint64_t end = 0;
    };

    /// The sender's clock showed `senderTime` at or after `readerTime` on the reader's.
    struct clock_bound
    {
        incarnation_number sender = 0;
        absl::Duration senderTime;
        absl::Time readerTime = absl::InfinitePast();
        /// The bound at another time of the sender's clock.
        absl::Time at(absl::Duration time) const;
    };

    /// When the heartbeat at `offset` was certainly not stored yet.
    absl::Time storedAfter(std::uint64_t offset) const;

    std::deque<read_time> m_reads; ///< in the order of their start
    std::map<process_id, clock_bound> m_bounds;
};

} // namespace hyssoppond::batch
