/// @file Lease rule that prevents two concurrent runs of one item when an agent cannot be reached.
///
/// An agent extends its worker's lease only on the basis of a journal read that shows no eviction
/// of the agent, and no further than `JournalReadValidity` after the start of that read. An order
/// without an answer may be carried out up to `LongestOrderDelay` later, and its lease may count
/// from then, unless the worker has seen a higher fencing token before. The decider first records
/// an eviction. It declares the runs lost only when every lease based on a read before that record
/// has expired. It does not wait for late orders: an agent raises its token after an unanswered
/// order, and extends no lease while it cannot send heartbeats either.
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

/// Relative error by which a worker's clock may be slow.
inline constexpr double WorkerClockError = 0.02; // bound given by the platform

/// Time between the expiry of a lease and its effect on the worker.
inline constexpr absl::Duration LeaseSlack = absl::Milliseconds(500);

/// Longest lease, in ms of the worker's clock, that may be granted at `now` on the basis of a
/// journal read that began at `currentAsOf`. At most `longestMs`; 0 if the read is too old.
inline std::int64_t allowedLeaseMs(absl::Time currentAsOf, absl::Time now, std::int64_t longestMs)
{
    const absl::Duration remaining = currentAsOf + JournalReadValidity - now;
    const double workerMs = absl::ToDoubleMilliseconds(remaining) * (1.0 - WorkerClockError);
    return std::clamp(static_cast<std::int64_t>(workerMs), std::int64_t {0}, longestMs);
}

/// Time after which no lease based on a journal read that began at `currentAsOf` is in force,
/// unless a late order extended it.
inline absl::Time leasesOverAt(absl::Time currentAsOf)
{
    return currentAsOf + JournalReadValidity + LeaseSlack;
}

/// Earliest time at which the runs of an agent may be declared lost, if its eviction was in the
/// journal at `recordedAt` or before.
inline absl::Time runsLostAt(absl::Time recordedAt)
{
    return recordedAt + JournalReadValidity + LeaseSlack;
}

} // namespace hyssoppond::batch
