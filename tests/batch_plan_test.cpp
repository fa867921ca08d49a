/// @file Tests of the batch scheduler's plans, of its run time model and of the record codec.
#include "plan_site_base.h"

#include "hyssoppond/base/checksummed_archive_func.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

using testing::Contains;
using testing::ElementsAre;
using testing::IsEmpty;

batch_step sameRack(batch_step step)
{
    step.sameRack = true;
    return step;
}

// Urgent gangs whose items take whole workers, beside wide jobs of small items. Guards against
// small items on every worker: half of the site is free then, and no urgent item fits without
// stops.
TEST(batch_plan_test, smallItemsLeaveWholeWorkersForUrgentGangs)
{
    plan_site site(20);
    for (std::size_t i = 0; i < 10; ++i) {
        const std::string id = absl::StrCat("urgent-", i);
        site.submit(id, "urgent", "b", plan_site::stepOf(4, 8, true));
        site.run(id, {0, 1, 2, 3}, true);
        site.advance(900);
        site.end(id, run_end::Done, 900);
    }
    for (std::size_t i = 0; i < 12; ++i) {
        const std::string id = absl::StrCat("small-", i);
        site.submit(id, "low", "b", plan_site::stepOf(1, 2));
        site.run(id, {i});
    }
    site.submit("wide", "low", "b", plan_site::stepOf(40, 1));
    EXPECT_EQ(site.plan().ordered.size(), 40U);
    site.submit("urgent", "urgent", "b", plan_site::stepOf(8, 8, true));
    const plan_site::outcome planned = site.plan();
    EXPECT_THAT(planned.ordered, ElementsAre("urgent"));
    EXPECT_THAT(planned.stopped, IsEmpty());
    // Further items do not go to the idle workers either.
    site.end("urgent", run_end::Done, 900);
    site.submit("more", "low", "b", plan_site::stepOf(80, 1));
    site.plan();
    site.submit("second", "urgent", "b", plan_site::stepOf(8, 8, true));
    EXPECT_THAT(site.plan().ordered, ElementsAre("second"));
}

// A burst of urgent jobs of all teams. Guards against urgent jobs that stop each other, so that
// both end late although a run would have ended and freed its worker a moment later.
TEST(batch_plan_test, urgentRunOfAnotherTeamIsNotStoppedBeforeTheGuaranteeIsDue)
{
    plan_site site(1);
    site.submit("b-runs", "urgent", "b", plan_site::stepOf(1, 8));
    site.run("b-runs", {0});
    site.advance(1'000);
    site.submit("a-waits", "urgent", "a", plan_site::stepOf(1, 8));
    EXPECT_THAT(site.plan().stopped, IsEmpty());
    site.advance(600);
    EXPECT_THAT(site.plan().stopped, IsEmpty());
    site.end("b-runs");
    EXPECT_THAT(site.plan().ordered, ElementsAre("a-waits"));
}

// A burst of urgent jobs of all teams, with a run that does not end. Guards against a guarantee
// that is not met in time. The platform allows 2.9 s from the acceptance of the job, including the
// stop of another run.
TEST(batch_plan_test, guaranteeIsReclaimedFromUrgentWorkInTime)
{
    plan_site site(1);
    site.submit("b-runs", "urgent", "b", plan_site::stepOf(1, 8));
    site.run("b-runs", {0});
    site.submit("a-waits", "urgent", "a", plan_site::stepOf(1, 8));
    site.plan();
    site.advance(1'500);
    EXPECT_THAT(site.plan().stopped, ElementsAre("b-runs"));
}

// Urgent jobs on a site that is full of other work. Guards against stopping an urgent run because
// it has just begun and therefore seems to cost the least.
TEST(batch_plan_test, otherWorkIsStoppedBeforeUrgentWork)
{
    plan_site site(2);
    site.submit("normal", "normal", "b", plan_site::stepOf(1, 8, false, 9'000));
    site.run("normal", {0});
    site.advance(4'000);
    site.submit("b-urgent", "urgent", "b", plan_site::stepOf(1, 8));
    site.run("b-urgent", {1});
    site.submit("a-urgent", "urgent", "a", plan_site::stepOf(1, 8));
    site.advance(1'500);
    EXPECT_THAT(site.plan().stopped, ElementsAre("normal"));
}

// Urgent jobs of a team with a guarantee on a site full of long runs. Guards against stopping a run
// that is worth more than the urgent job while other runs may still end in time on their own.
TEST(batch_plan_test, costlyWorkIsStoppedOnlyWhenTheGuaranteeIsDue)
{
    plan_site site(1);
    site.submit("long", "normal", "b", plan_site::stepOf(1, 8, false, 30'000));
    site.run("long", {0});
    site.advance(20'000);
    site.submit("urgent", "urgent", "a", plan_site::stepOf(1, 8));
    EXPECT_THAT(site.plan().stopped, IsEmpty());
    site.advance(1'400);
    EXPECT_THAT(site.plan().stopped, ElementsAre("long"));
}

// Urgent jobs on a busy site where runs end all the time. Guards against stopping a run at once for
// a job that could wait for free capacity and still be in time.
TEST(batch_plan_test, workIsStoppedNoSoonerThanNeeded)
{
    plan_site site(1);
    site.submit("normal", "normal", "b", plan_site::stepOf(1, 8, false, 9'000));
    site.run("normal", {0});
    site.advance(1'000);
    site.submit("urgent", "urgent", "a", plan_site::stepOf(1, 8, false, 4'000));
    EXPECT_THAT(site.plan().stopped, IsEmpty());
    site.advance(1'100);
    EXPECT_THAT(site.plan().stopped, ElementsAre("normal"));
}

// Small runs beside large ones. Guards against stopping a small run first, because it is cheap, and
// then a large one that would have freed enough by itself.
TEST(batch_plan_test, stopsNoRunThatMakesNoDifference)
{
    plan_site site(1);
    site.submit("small", "normal", "b", plan_site::stepOf(1, 1, false, 9'000));
    site.run("small", {0});
    site.submit("large", "normal", "b", plan_site::stepOf(1, 7, false, 9'000));
    site.run("large", {0});
    site.advance(1'000);
    site.submit("urgent", "urgent", "a", plan_site::stepOf(1, 7));
    EXPECT_THAT(site.plan().stopped, ElementsAre("large"));
}

// More urgent jobs than the fleet can serve in time. Guards against stopping work for an urgent job
// that can no longer be in time and that no guarantee covers.
TEST(batch_plan_test, lateUrgentWorkStopsNothing)
{
    plan_site site(1);
    site.submit("normal", "normal", "a", plan_site::stepOf(1, 8, false, 20'000));
    site.run("normal", {0});
    site.submit("urgent", "urgent", "b", plan_site::stepOf(1, 8));
    site.advance(3'000);
    EXPECT_THAT(site.plan().stopped, IsEmpty());
}

// More urgent jobs than the fleet can serve in time. Guards against late urgent jobs, which are
// worth little, that make other jobs late as well.
TEST(batch_plan_test, workInTimeGoesBeforeLateUrgentWork)
{
    plan_site site(1);
    site.submit("urgent", "urgent", "b", plan_site::stepOf(1, 8));
    site.advance(3'000);
    site.submit("normal", "normal", "b", plan_site::stepOf(1, 4));
    EXPECT_THAT(site.plan().ordered, ElementsAre("normal"));
}

// Gangs that run faster within one rack, on racks with one free worker each. Guards against a run
// across racks, which is three times slower, hence late in any case, and takes three times the
// capacity.
TEST(batch_plan_test, lateGangWaitsForARackWhileTheSiteIsBusy)
{
    plan_site site(6);
    for (const std::size_t worker : {0, 1, 3, 4}) {
        const std::string id = absl::StrCat("busy-", worker);
        site.submit(id, "urgent", "a", plan_site::stepOf(1, 8));
        site.run(id, {worker});
    }
    site.submit("gang", "urgent", "b", sameRack(plan_site::stepOf(2, 8, true)));
    site.advance(2'000);
    EXPECT_THAT(site.plan().ordered, IsEmpty());
    site.end("busy-0");
    EXPECT_THAT(site.plan().ordered, ElementsAre("gang"));
    EXPECT_THAT(site.agentsOf("gang"), ElementsAre(plan_site::agentOf(0), plan_site::agentOf(2)));
}

// Gangs that run faster within one rack, on a site that is nearly empty. Guards against a job that
// waits for a rack while most of the fleet is idle.
TEST(batch_plan_test, lateGangSpansRacksWhileTheSiteIsIdle)
{
    plan_site site(6);
    for (const std::size_t worker : {0, 3}) {
        const std::string id = absl::StrCat("busy-", worker);
        site.submit(id, "low", "a", plan_site::stepOf(1, 1, false, 60'000));
        site.run(id, {worker});
    }
    site.submit("gang", "normal", "b", sameRack(plan_site::stepOf(3, 8, true)));
    site.advance(60'000);
    EXPECT_THAT(site.plan().ordered, Contains("gang"));
}

// Jobs whose declared times have no relation to their run times. Guards against an order of jobs
// that follows the declared times: a job declared as long would count as late before it starts, and
// one declared as short would wait.
TEST(batch_plan_test, declaredTimesAreCorrectedByTheRunsOfTheQueue)
{
    plan_site site(1);
    const std::vector<std::uint32_t> declared {300, 8'000, 900, 15'000, 2'500, 600, 5'000, 1'200};
    for (std::size_t i = 0; i < declared.size(); ++i) {
        const std::string id = absl::StrCat("earlier-", i);
        site.submit(id, "urgent", "a", plan_site::stepOf(1, 8, false, declared[i]));
        site.run(id, {0});
        site.advance(2'500);
        site.end(id, run_end::Done, 2'400 + 25 * static_cast<std::int64_t>(i));
    }
    const auto declaredAs = [&](const char *id, std::uint32_t ms) {
        site.submit(id, "urgent", "b", plan_site::stepOf(1, 8, false, ms));
        site.advance(500);
    };
    // By the declared times, the first job has plenty of time and the second has almost none.
    declaredAs("first", 20'000);
    declaredAs("second", 100);
    site.advance(-400);
    EXPECT_THAT(site.plan().ordered, ElementsAre("first"));
}

// Guards against a correction that does not follow declared times that are exact, and against one
// that counts the slowness of a worker as a longer run time of the job.
TEST(item_time_model_test, followsExactTimesAndSeesSlowWorkers)
{
    item_time_model exact;
    const process_id slow("slow");
    const process_id sound("sound");
    for (int i = 0; i < 40; ++i) {
        const std::int64_t declared = 500 + 200 * (i % 20);
        exact.learn("queue", declared, i % 2 == 0 ? declared : declared * 13 / 10,
                    i % 2 == 0 ? sound : slow);
    }
    EXPECT_NEAR(static_cast<double>(exact.expectedMs("queue", 2'000)), 2'000 * 1.14, 200);
    EXPECT_NEAR(exact.slownessOf(slow) / exact.slownessOf(sound), 1.3, 0.08);
    EXPECT_EQ(exact.expectedMs("other", 700), 700);
}

// Guards against losing the run ends that an earlier version recorded without a run time.
TEST(batch_record_test, endsWithoutARunTimeAreRead)
{
    run_ended ended;
    ended.unit = {job_id("job"), 1, 2, 3};
    ended.checkpoint = "saved";
    ended.runTimeMs = 77;
    const auto decoded = decodeRecord(encodeRecord(ended));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<run_ended>(*decoded).runTimeMs, 77);
    // The earlier format of the same record has all fields but the last.
    struct former_run_ended
    {
        run_ended now;
        void serialize(cereal::PortableBinaryOutputArchive &ar)
        {
            ar(now.unit, now.run, now.member, now.agent, now.how, now.checkpoint, now.byDecider);
        }
    };
    static constexpr std::int32_t EndAlternative = 5;
    struct former_record
    {
        former_run_ended ended;
        void serialize(cereal::PortableBinaryOutputArchive &ar) { ar(EndAlternative, ended); }
    };
    const auto former = decodeRecord(encodeChecksummed(1, former_record {{ended}}));
    ASSERT_TRUE(former) << former.error().message;
    EXPECT_EQ(std::get<run_ended>(*former).checkpoint, "saved");
    EXPECT_EQ(std::get<run_ended>(*former).runTimeMs, 0);
}

} // namespace
} // namespace hyssoppond::batch
