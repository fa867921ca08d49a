/// @file Lease rule that prevents two concurrent runs of one item when an agent cannot be reached.
///
/// An agent extends its worker's lease only on the basis of a journal read that shows no eviction
/// of the agent, and no further than `JournalReadValidity` after the start of that read. An order
/// without an answer may be carried out up to `LongestOrderDelay` later, and its lease may count
/// from then, unless the worker has seen a higher fencing token before. The decider first records
/// an eviction. It declares the runs lost only when every lease based on a read before that record
/// has expired.
///
/// An agent that is lost cannot raise its token any more. So it sends no order with which a run
/// could go on for longer than the decider waits, if the agent were lost at that moment and the
/// orders without an answer were carried out as late as can be:
///
///     latest end of all leases + LeaseSlack <= runsLostAt, that is
///     latest end <= max(last stored heartbeat + EvictAfter, last read) + JournalReadValidity
///
/// For a start sent at s with a lease of L ms that is s + LongestOrderDelay + L / 0.98. See
/// `granted_leases` for series of polls.
#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>

namespace hyssoppond::batch {

/// Longest time from the start of a journal read to the end of a lease based on it. Outages of the
/// platform's store last up to about 9 s, and running work survives them within this time.
inline constexpr absl::Duration JournalReadValidity = absl::Milliseconds(12'000);

/// Longest time after which a worker still carries out an order that it did not answer.
inline constexpr absl::Duration LongestOrderDelay
    = absl::Seconds(12); // bound given by the platform

/// An agent with runs and without a heartbeat for this time is evicted.
inline constexpr absl::Duration EvictAfter = absl::Milliseconds(3'300);

/// Relative error by which a worker's clock may be slow.
inline constexpr double WorkerClockError = 0.02; // bound given by the platform

/// Time between the expiry of a lease and its effect on the worker.
inline constexpr absl::Duration LeaseSlack = absl::Milliseconds(500);

/// Longest duration of a lease of `ms` on the worker's clock.
inline absl::Duration longestLeaseDuration(std::int64_t ms)
{
    return absl::Milliseconds(ms) / (1.0 - WorkerClockError);
}

/// Longest lease, in ms of the worker's clock, that lasts no longer than `duration`.
inline std::int64_t leaseMsWithin(absl::Duration duration)
{
    return static_cast<std::int64_t>(absl::ToDoubleMilliseconds(duration)
                                     * (1.0 - WorkerClockError));
}

/// Longest lease, in ms of the worker's clock, that may be granted at `now` on the basis of a
/// journal read that began at `currentAsOf`. At most `longestMs`; 0 if the read is too old.
inline std::int64_t allowedLeaseMs(absl::Time currentAsOf, absl::Time now, std::int64_t longestMs)
{
    const std::int64_t remainingMs = leaseMsWithin(currentAsOf + JournalReadValidity - now);
    return std::clamp(remainingMs, std::int64_t {0}, longestMs);
}

/// Time after which no lease based on a journal read that began at `currentAsOf` is in force,
/// unless a late order extended it.
inline absl::Time leasesOverAt(absl::Time currentAsOf)
{
    return currentAsOf + JournalReadValidity + LeaseSlack;
}

/// Earliest time at which the runs of an agent may be declared lost, if its eviction was in the
/// journal at `recordedAt` or before and its last heartbeat was read at `heartbeatReadAt`, which
/// may be later than the eviction.
inline absl::Time runsLostAt(absl::Time recordedAt, absl::Time heartbeatReadAt)
{
    return std::max(recordedAt, heartbeatReadAt + EvictAfter) + JournalReadValidity + LeaseSlack;
}

/// Latest allowed end of all leases of an agent that may be lost at any moment. Its last stored
/// heartbeat was sent at `heartbeatSentAt`, and the last journal read that did not show its
/// eviction began at `currentAsOf`.
inline absl::Time latestAllowedEnd(absl::Time heartbeatSentAt, absl::Time currentAsOf)
{
    return std::max(heartbeatSentAt + EvictAfter, currentAsOf) + JournalReadValidity;
}

} // namespace hyssoppond::batch
