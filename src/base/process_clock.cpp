/// @file Implementation of the clock of a process.
#include "hyssoppond/base/process_clock_base.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace hyssoppond {

namespace {

timespec read(clockid_t clock)
{
    timespec now {};
    clock_gettime(clock, &now);
    return now;
}

process_clock &clockOfProcess()
{
    // It is never destroyed, as threads may read it until the process ends.
    static auto *clock
        = new process_clock({[] { return absl::TimeFromTimespec(read(CLOCK_REALTIME)); },
                             [] { return absl::DurationFromTimespec(read(CLOCK_BOOTTIME)); }});
    return *clock;
}

} // namespace

process_clock::process_clock(machine_clocks clocks)
    : m_clocks(std::move(clocks))
    , m_lastSinceBoot(m_clocks.sinceBoot())
    , m_bootTime(m_clocks.timeOfDay() - m_lastSinceBoot)
{ }

absl::Time process_clock::now()
{
    const absl::MutexLock lock(&m_mutex);
    const absl::Duration sinceBoot = m_clocks.sinceBoot();
    const absl::Duration limit = std::min(sinceBoot - m_lastSinceBoot, MaxSlewedTime) * SlewRate;
    const absl::Duration ahead = m_clocks.timeOfDay() - (m_bootTime + sinceBoot);
    m_bootTime += std::clamp(ahead, -limit, limit);
    m_lastSinceBoot = sinceBoot;
    return m_bootTime + sinceBoot;
}

absl::Time processNow()
{
    return clockOfProcess().now();
}

} // namespace hyssoppond
