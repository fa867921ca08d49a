/// @file Clock of a process that does not follow steps of the time of day.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>

namespace hyssoppond {

/// Clocks of the machine.
struct machine_clocks
{
    std::function<absl::Time()> timeOfDay; ///< may be stepped while the process runs
    /// Time since an unknown moment. It is never stepped, and counts suspended time.
    std::function<absl::Duration()> sinceBoot;
};

/// Clock whose times are compared with those of other machines, so that deadlines stay absolute. It
/// starts with the time of day and then advances with the time since boot. A difference to the time
/// of day is taken in slowly, so that a step changes no lease by more than the allowed skew.
/// Thread-safe.
class process_clock
{
public:
    /// Largest share of the elapsed time by which the clock approaches the time of day. It is that
    /// of adjtime(3).
    static constexpr double SlewRate = 500e-6;
    /// Elapsed time that counts for this after the clock was not read for longer, as in a
    /// suspension.
    static constexpr absl::Duration MaxSlewedTime = absl::Seconds(10);

    explicit process_clock(machine_clocks clocks);

    absl::Time now();

private:
    const machine_clocks m_clocks;
    absl::Mutex m_mutex;
    absl::Duration m_lastSinceBoot ABSL_GUARDED_BY(m_mutex);
    absl::Time m_bootTime ABSL_GUARDED_BY(m_mutex); ///< by this clock
};

/// The clock of this process. All its deadlines are measured by it; the time of day is only for
/// people.
absl::Time processNow();

} // namespace hyssoppond
