/// @file Tests of what entries and agents share. Each names the failure that it guards against.
#include "hyssoppond/base/process_clock_base.h"
#include "hyssoppond/node/node_link_base.h"

#include <gtest/gtest.h>

#include <ctime>

#include <sys/syscall.h>
#include <unistd.h>

namespace {

/// Step of the time of day of the machine of the test.
absl::Duration simulatedStep;

} // namespace

/// Replaces the function of the C library in this program, as a test cannot set the clock of its
/// machine.
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    if (syscall(SYS_clock_gettime, clock, time) != 0)
        return -1;
    if (clock == CLOCK_REALTIME)
        *time = absl::ToTimespec(absl::DurationFromTimespec(*time) + simulatedStep);
    return 0;
}

namespace hyssoppond {
namespace {

absl::Duration sinceBoot()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return absl::DurationFromTimespec(now);
}

// Guards against processes whose leases end too early or too late by the clocks of others, as the
// time of day of their machine is stepped while they run.
TEST(node_link_test, stepOfTheTimeOfDayDoesNotMoveTheClock)
{
    constexpr absl::Duration Tolerance = absl::Milliseconds(1);
    thread_pool pool("test", 1, 16);
    counter_registry counters;
    const node_link link({}, {}, &pool, &counters);
    const environment env = link.env();
    const absl::Duration bootStart = sinceBoot();
    const absl::Time start = env.now();
    for (const absl::Duration step : {absl::Seconds(2), absl::Seconds(-2)}) {
        simulatedStep = step;
        const absl::Duration elapsed = env.now() - start;
        const absl::Duration mostElapsed = sinceBoot() - bootStart;
        EXPECT_GE(elapsed, -Tolerance);
        EXPECT_LE(elapsed, mostElapsed * (1 + process_clock::SlewRate) + Tolerance);
    }
}

} // namespace
} // namespace hyssoppond
