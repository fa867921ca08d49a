/// @file Tests of the order of waiting work when not all of it can end in time.
#include "plan_site_base.h"

#include "../src/batch/scarcity_order.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

using testing::ElementsAre;

/// Takes the only worker of a site.
batch_step wholeWorker(std::uint32_t estimateMs)
{
    return plan_site::stepOf(1, 8, false, estimateMs);
}

// Three works of which two can end in time. Guards against an order by due time that makes all of
// them late but the first.
TEST(scarcity_order_test, costliestWorkIsGivenUp)
{
    const capacity_forecast capacity(1.0);
    EXPECT_THAT(lateWork({{4.0, 4.0, 4.0}, {3.0, 5.0, 3.0}, {2.0, 6.0, 2.0}}, capacity),
                ElementsAre(true, false, false));
    EXPECT_THAT(lateWork({{4.0, 4.0, 4.0}, {3.0, 7.0, 3.0}, {2.0, 9.0, 2.0}}, capacity),
                ElementsAre(false, false, false));
    // Work that is late in any case makes no other work late.
    EXPECT_THAT(lateWork({{4.0, 4.0, 4.0}, {9.0, 5.0, 1.0}}, capacity), ElementsAre(false, true));
}

// Guards against work counted as in time although present runs use the capacity until then.
TEST(scarcity_order_test, presentRunsLeaveLessCapacity)
{
    capacity_forecast capacity(0.9);
    capacity.addUse(0.5, 4.0);
    EXPECT_DOUBLE_EQ(capacity.workWithin(2.0), 0.8);
    EXPECT_DOUBLE_EQ(capacity.workWithin(10.0), 7.0);
}

// A long job that can just end in time, and short ones behind it. Guards against the domino effect:
// the long job is served first and makes the short ones late.
TEST(batch_scarcity_plan_test, shortJobsEndInTimeInsteadOfOneLongJob)
{
    plan_site site(1);
    site.submit("long", "normal", "b", wholeWorker(20'000));
    site.advance(40'500);
    for (const char *id : {"short-1", "short-2", "short-3"})
        site.submit(id, "normal", "b", wholeWorker(3'000));
    // Without shortage the long job goes first, as its latest start is the earliest.
    EXPECT_THAT(site.plan().ordered, ElementsAre("short-1"));
}

// The same site with work that can all end in time. Guards against an order that changes without
// need.
TEST(batch_scarcity_plan_test, earliestLatestStartGoesFirstWithoutShortage)
{
    plan_site site(1);
    site.submit("long", "normal", "b", wholeWorker(20'000));
    site.advance(39'000);
    site.submit("short", "low", "b", wholeWorker(10'000));
    EXPECT_THAT(site.plan().ordered, ElementsAre("long"));
}

// Two jobs of which one can end in time, as a worker drains. Guards against a job that is nearly
// done and ends late, while the capacity goes to one that is not begun.
TEST(batch_scarcity_plan_test, nearlyDoneJobGoesBeforeAnotherOne)
{
    plan_site site(2);
    site.submit("begun", "normal", "b", plan_site::stepOf(3, 8, false, 5'000));
    EXPECT_THAT(site.plan().ordered, ElementsAre("begun", "begun"));
    site.advance(1'700);
    site.submit("other", "normal", "b", wholeWorker(4'000));
    site.advance(3'300);
    site.end("begun");
    site.drain(1, 0);
    site.advance(5'500);
    EXPECT_THAT(site.plan().ordered, ElementsAre("begun"));
}

// Many units at once after a mass loss of workers. Guards against a unit that starts anew before
// one of the same step that only has to go on from its checkpoint.
TEST(batch_scarcity_plan_test, unitsWithACheckpointGoFirstAfterAMassLoss)
{
    plan_site site(2);
    batch_step step = plan_site::stepOf(2, 8, false, 5'000);
    step.checkpointed = true;
    site.submit("lost", "normal", "b", step);
    site.plan();
    site.advance(2'000);
    site.endUnit({job_id("lost"), 0, 0, 0}, run_end::Lost);
    site.endUnit({job_id("lost"), 0, 0, 1}, run_end::Stopped, 0, "saved");
    site.drain(0, 0);
    EXPECT_THAT(site.plan().ordered, ElementsAre("lost"));
    EXPECT_TRUE(site.runs({job_id("lost"), 0, 0, 1}));
}

} // namespace
} // namespace hyssoppond::batch
