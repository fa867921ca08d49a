/// @file Tests of the batch scheduler's plans. Each names the load that it answers.
#include "plan_site_base.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

using testing::Contains;
using testing::Each;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::Not;

batch_step sameRack(batch_step step)
{
    step.sameRack = true;
    return step;
}

// Load: a burst of urgent jobs of all teams. Guards against urgent jobs that stop each other, so
// that both end late, although room comes free by itself a moment later.
TEST(batch_plan, urgentWorkOfAnotherTeamIsGivenTimeToEnd)
{
    plan_site site(1);
    site.submit("b-runs", "urgent", "b", plan_site::stepOf(1, 8));
    site.run("b-runs", {0});
    site.pass(1'000);
    site.submit("a-waits", "urgent", "a", plan_site::stepOf(1, 8));
    EXPECT_THAT(site.plan().stopped, IsEmpty());
    site.pass(600);
    EXPECT_THAT(site.plan().stopped, IsEmpty());
    site.end("b-runs");
    EXPECT_THAT(site.plan().ordered, ElementsAre("a-waits"));
}

// Load: the same, with work that does not end. Guards against a guarantee that is not met in time;
// the platform allows 2.9 s from the acceptance, a stop among them.
TEST(batch_plan, guaranteeIsReclaimedFromUrgentWorkInTime)
{
    plan_site site(1);
    site.submit("b-runs", "urgent", "b", plan_site::stepOf(1, 8));
    site.run("b-runs", {0});
    site.submit("a-waits", "urgent", "a", plan_site::stepOf(1, 8));
    site.plan();
    site.pass(1'500);
    EXPECT_THAT(site.plan().stopped, ElementsAre("b-runs"));
}

// Load: urgent jobs on a site full of other work. Guards against stopping an urgent run because it
// has just begun and so seems to cost the least.
TEST(batch_plan, otherWorkIsStoppedBeforeUrgentWork)
{
    plan_site site(2);
    site.submit("normal", "normal", "b", plan_site::stepOf(1, 8, false, 9'000));
    site.run("normal", {0});
    site.pass(4'000);
    site.submit("b-urgent", "urgent", "b", plan_site::stepOf(1, 8));
    site.run("b-urgent", {1});
    site.submit("a-urgent", "urgent", "a", plan_site::stepOf(1, 8));
    site.pass(1'500);
    EXPECT_THAT(site.plan().stopped, ElementsAre("normal"));
}

// Load: more urgent jobs than the fleet can serve in time. Guards against throwing work away for
// an urgent job that can no longer be in time and that no guarantee covers.
TEST(batch_plan, lateUrgentWorkStopsNothing)
{
    plan_site site(1);
    site.submit("normal", "normal", "a", plan_site::stepOf(1, 8, false, 20'000));
    site.run("normal", {0});
    site.submit("urgent", "urgent", "b", plan_site::stepOf(1, 8));
    site.pass(3'000);
    EXPECT_THAT(site.plan().stopped, IsEmpty());
}

// Load: the same. Guards against late urgent jobs, worth little, that make others late as well.
TEST(batch_plan, workInTimeGoesBeforeLateUrgentWork)
{
    plan_site site(1);
    site.submit("urgent", "urgent", "b", plan_site::stepOf(1, 8));
    site.pass(3'000);
    site.submit("normal", "normal", "b", plan_site::stepOf(1, 4));
    EXPECT_THAT(site.plan().ordered, ElementsAre("normal"));
}

// Load: gangs that want one rack, on racks with one free worker each. Guards against a run that is
// three times slower, hence late in any case, and takes three times the capacity.
TEST(batch_plan, lateGangWaitsForARackWhileTheSiteIsBusy)
{
    plan_site site(6);
    for (const std::size_t worker : {0, 1, 3, 4}) {
        const std::string id = absl::StrCat("busy-", worker);
        site.submit(id, "urgent", "a", plan_site::stepOf(1, 8));
        site.run(id, {worker});
    }
    site.submit("gang", "urgent", "b", sameRack(plan_site::stepOf(2, 8, true)));
    site.pass(2'000);
    EXPECT_THAT(site.plan().ordered, IsEmpty());
    site.end("busy-0");
    EXPECT_THAT(site.plan().ordered, ElementsAre("gang"));
    EXPECT_THAT(site.agentsOf("gang"), ElementsAre(plan_site::agentOf(0), plan_site::agentOf(2)));
}

// Load: the same on a site that is nearly empty. Guards against a job that waits for a rack while
// most of the fleet has nothing to do.
TEST(batch_plan, lateGangSpansRacksWhileTheSiteIsIdle)
{
    plan_site site(6);
    for (const std::size_t worker : {0, 3}) {
        const std::string id = absl::StrCat("busy-", worker);
        site.submit(id, "low", "a", plan_site::stepOf(1, 1, false, 60'000));
        site.run(id, {worker});
    }
    site.submit("gang", "normal", "b", sameRack(plan_site::stepOf(3, 8, true)));
    site.pass(60'000);
    EXPECT_THAT(site.plan().ordered, Contains("gang"));
}

} // namespace
} // namespace hyssoppond::batch
