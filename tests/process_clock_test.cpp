/// @file Tests of the clock of a process. Each names the failure that it guards against.
#include "hyssoppond/base/process_clock_base.h"

#include <gtest/gtest.h>

namespace hyssoppond {
namespace {

/// A machine whose clocks a test moves.
struct test_machine
{
    absl::Time timeOfDay = absl::FromUnixSeconds(1'000'000);
    absl::Duration sinceBoot = absl::Hours(5);
    process_clock clock {{[this] { return timeOfDay; }, [this] { return sinceBoot; }}};

    void advance(absl::Duration time)
    {
        timeOfDay += time;
        sinceBoot += time;
    }
};

class process_clock_step_test : public testing::TestWithParam<absl::Duration>
{ };

// Guards against leases that end too early or too late by another process's clock, as the time of
// day of a machine is stepped while its processes run.
TEST_P(process_clock_step_test, stepIsTakenInSlowly)
{
    constexpr absl::Duration ReadInterval = absl::Milliseconds(20);
    test_machine machine;
    const absl::Time steppedAt = machine.clock.now();
    machine.timeOfDay += GetParam();
    absl::Duration elapsed;
    absl::Time last = steppedAt;
    while (machine.clock.now() != machine.timeOfDay && elapsed < absl::Hours(2)) {
        machine.advance(ReadInterval);
        elapsed += ReadInterval;
        const absl::Time now = machine.clock.now();
        ASSERT_LE(absl::AbsDuration(now - steppedAt - elapsed),
                  elapsed * process_clock::SlewRate + absl::Nanoseconds(1));
        ASSERT_GT(now, last);
        last = now;
    }
    EXPECT_EQ(machine.clock.now(), machine.timeOfDay);
}

// Guards against a lease that seems to be in force after a suspension.
TEST_P(process_clock_step_test, suspensionCountsAndItsStepIsTakenInSlowly)
{
    test_machine machine;
    const absl::Time suspendedAt = machine.clock.now();
    machine.advance(absl::Hours(8));
    machine.timeOfDay += GetParam();
    EXPECT_LE(absl::AbsDuration(machine.clock.now() - suspendedAt - absl::Hours(8)),
              process_clock::MaxSlewedTime * process_clock::SlewRate);
}

INSTANTIATE_TEST_SUITE_P(steps, process_clock_step_test,
                         testing::Values(absl::Seconds(2), absl::Seconds(-2)));

// Guards against deadlines of another process that mean another time here.
TEST(process_clock_test, startsWithTheTimeOfDayAndFollowsIt)
{
    test_machine machine;
    for (int i = 0; i < 100; ++i) {
        machine.advance(absl::Seconds(7));
        EXPECT_EQ(machine.clock.now(), machine.timeOfDay);
    }
}

} // namespace
} // namespace hyssoppond
