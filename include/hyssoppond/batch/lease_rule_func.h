/// @file The rule that keeps two runs of one item apart when an agent cannot be reached.
///
/// An agent extends its worker's lease only while it has a recent proof that the journal has not
/// given its runs away: a read that began at most `JournalReadValidity` before the lease ends. The
/// decider records an eviction first and gives the runs away only when every lease that a read
/// before that record can have justified has run out.
#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>

namespace hyssoppond::batch {

/// Outages of the platform's store last up to about 9 s; work survives them within this time.
inline constexpr absl::Duration JournalReadValidity = absl::Milliseconds(12'000);

/// Part by which a worker's clock may be slow.
inline constexpr double WorkerClockError = 0.02; // stated by the platform

/// Between the end of a lease and its effect on the worker.
inline constexpr absl::Duration LeaseSlack = absl::Milliseconds(500);

/// Longest lease, in ms of the worker's clock, that `currentAsOf` justifies at `now`; 0: none.
inline std::int64_t allowedLeaseMs(absl::Time currentAsOf, absl::Time now, std::int64_t longestMs)
{
    const absl::Duration left = currentAsOf + JournalReadValidity - now;
    const double workerMs = absl::ToDoubleMilliseconds(left) * (1.0 - WorkerClockError);
    return std::clamp(static_cast<std::int64_t>(workerMs), std::int64_t {0}, longestMs);
}

/// When the runs of an agent may be given away whose eviction was recorded by `recordedAt`.
inline absl::Time runsLostAt(absl::Time recordedAt)
{
    return recordedAt + JournalReadValidity + LeaseSlack;
}

} // namespace hyssoppond::batch
