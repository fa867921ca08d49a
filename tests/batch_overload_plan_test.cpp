/// @file Tests of the scheduler's plans while there is more work than capacity.
#include "plan_site_base.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

using testing::Contains;
using testing::ElementsAre;
using testing::IsEmpty;

/// An item that takes a whole worker.
batch_step wholeWorker(std::uint32_t estimateMs, bool checkpointed = false)
{
    batch_step step = plan_site::stepOf(1, 8, false, estimateMs);
    step.checkpointed = checkpointed;
    return step;
}

void start(plan_site *site, const std::string &id, const std::string &queue, std::size_t worker,
           const batch_step &step)
{
    site->submit(id, queue, "b", step);
    site->run(id, {worker});
}

// Urgent jobs on a full site, where checkpoints are 5 s apart. Guards against a stop of a run with
// checkpoints that throws away more than the stop of one that has just begun without any.
TEST(batch_overload_plan_test, ageOfTheCheckpointCountsAsLost)
{
    scheduler_options options;
    options.checkpointInterval = absl::Seconds(5);
    plan_site site(2, options);
    start(&site, "saving", "normal", 0, wholeWorker(30'000, true));
    site.advance(9'000);
    start(&site, "begun", "normal", 1, wholeWorker(9'000));
    site.advance(300);
    site.submit("urgent", "urgent", "b", wholeWorker(2'000));
    EXPECT_THAT(site.plan().stopped, ElementsAre("begun"));
}

// Urgent jobs on a full site whose runs end all the time. Guards against the stop of a run that
// would have ended by itself as soon as the stop frees its worker.
TEST(batch_overload_plan_test, runThatIsAboutToEndIsAwaited)
{
    plan_site site(1);
    start(&site, "ending", "normal", 0, wholeWorker(9'000, true));
    site.advance(8'300);
    site.submit("urgent", "urgent", "b", wholeWorker(2'000));
    EXPECT_THAT(site.plan().stopped, IsEmpty());
    site.advance(600);
    EXPECT_THAT(site.plan().stopped, IsEmpty());
    site.end("ending");
    EXPECT_THAT(site.plan().ordered, ElementsAre("urgent"));
}

// The same with a run that takes longer than expected. Guards against urgent work that waits for
// ever for a run that is always about to end.
TEST(batch_overload_plan_test, overdueRunIsNotAwaited)
{
    plan_site site(1);
    start(&site, "overdue", "normal", 0, wholeWorker(9'000, true));
    site.advance(9'100);
    site.submit("urgent", "urgent", "b", wholeWorker(2'000));
    EXPECT_THAT(site.plan().stopped, ElementsAre("overdue"));
}

// Urgent jobs on a site full of work in time. Guards against the stop of a run that could not end
// in time after it, while another one could.
TEST(batch_overload_plan_test, workThatCanStillEndInTimeAfterARestartIsStoppedFirst)
{
    plan_site site(2);
    site.submit("tight", "normal", "b", wholeWorker(9'000));
    site.advance(17'000);
    start(&site, "slack", "normal", 0, wholeWorker(9'000));
    site.advance(500);
    site.run("tight", {1});
    site.advance(1'000);
    site.submit("urgent", "urgent", "a", wholeWorker(2'000));
    site.advance(1'200);
    EXPECT_THAT(site.plan().stopped, ElementsAre("slack"));
}

// Urgent jobs on a full site after a long overload. Guards against a stop that makes work late,
// while a run whose job has lost all its value goes on.
TEST(batch_overload_plan_test, workBeyondUseIsStoppedBeforeWorkThatWouldBeLate)
{
    plan_site site(2);
    site.submit("useless", "normal", "b", wholeWorker(9'000));
    site.advance(73'000);
    site.submit("tight", "normal", "b", wholeWorker(9'000));
    site.advance(17'500);
    site.run("useless", {0});
    site.advance(500);
    site.run("tight", {1});
    site.advance(1'000);
    site.submit("urgent", "urgent", "b", wholeWorker(2'000));
    EXPECT_THAT(site.plan().stopped, ElementsAre("useless"));
}

// Urgent gangs on a site full of small and large runs. Guards against stops for the first member
// that the stops for the later ones make needless.
TEST(batch_overload_plan_test, stopsForAGangAreNoMoreThanItNeeds)
{
    plan_site site(1);
    start(&site, "small", "normal", 0, plan_site::stepOf(1, 1, false, 9'000));
    start(&site, "large", "normal", 0, plan_site::stepOf(1, 5, false, 9'000));
    site.advance(300);
    site.submit("urgent", "urgent", "b", plan_site::stepOf(2, 3, true));
    EXPECT_THAT(site.plan().stopped, ElementsAre("large"));
}

// Bursts of urgent jobs of two teams on a full site. Guards against a run that is stopped a moment
// after other work was stopped for it, while an older urgent run could be.
TEST(batch_overload_plan_test, runThatWasStartedByStopsIsStoppedLast)
{
    plan_site site(2);
    start(&site, "old", "urgent", 1, wholeWorker(10'000));
    start(&site, "normal", "normal", 0, wholeWorker(30'000, true));
    site.advance(1'000);
    site.submit("new", "urgent", "b", wholeWorker(3'000));
    EXPECT_THAT(site.plan().stopped, ElementsAre("normal"));
    site.end("normal", run_end::Stopped);
    EXPECT_THAT(site.plan().ordered, ElementsAre("new"));
    site.submit("guaranteed", "urgent", "a", wholeWorker(2'000));
    site.advance(1'400);
    EXPECT_THAT(site.plan().stopped, ElementsAre("old"));
}

// An urgent gang that waits for room, and short work beside it. Guards against work that is started
// only to be stopped when the latest start of the gang comes.
TEST(batch_overload_plan_test, nothingStartsWhereAnUrgentUnitWaits)
{
    plan_site site(6);
    // The headroom is smaller than a gang, as most urgent jobs are small.
    for (int i = 0; i < 10; ++i) {
        const std::string id = absl::StrCat("small-", i);
        start(&site, id, "urgent", 0, plan_site::stepOf(1, 1, false, 500));
        site.end(id);
    }
    for (const std::size_t worker : {2, 3, 4})
        start(&site, absl::StrCat("long-", worker), "normal", worker, wholeWorker(30'000));
    site.advance(4'000);
    batch_step gang = plan_site::stepOf(3, 8, true, 4'000);
    gang.sameRack = true;
    site.submit("gang", "urgent", "b", gang);
    site.submit("normal", "normal", "b", plan_site::stepOf(1, 4));
    const plan_site::outcome planned = site.plan();
    EXPECT_THAT(planned.ordered, IsEmpty());
    EXPECT_THAT(planned.stopped, IsEmpty());
    site.end("long-2");
    EXPECT_THAT(site.plan().ordered, Contains("gang"));
}

// Notices that workers leave, while there is no room elsewhere. Guards against runs with
// checkpoints that wait although they could go on, and against ones that go on until their worker
// is gone.
TEST(batch_overload_plan_test, savingRunsGoOnUntilTheirWorkerLeavesIfThereIsNoRoom)
{
    plan_site site(2);
    start(&site, "other", "normal", 1, wholeWorker(30'000));
    start(&site, "saving", "normal", 0, wholeWorker(20'000, true));
    site.drain(0, 5'500);
    EXPECT_THAT(site.plan().stopped, IsEmpty());
    site.advance(3'500);
    EXPECT_THAT(site.plan().stopped, IsEmpty());
    site.advance(200);
    EXPECT_THAT(site.plan().stopped, ElementsAre("saving"));
}

// The same with room elsewhere, or without checkpoints. Guards against work that is lost with its
// worker.
TEST(batch_overload_plan_test, otherRunsAreStoppedAtOnceWhenTheirWorkerLeaves)
{
    plan_site site(2);
    start(&site, "saving", "normal", 0, wholeWorker(20'000, true));
    site.drain(0, 5'500);
    EXPECT_THAT(site.plan().stopped, ElementsAre("saving"));
    start(&site, "unsaved", "normal", 1, wholeWorker(20'000));
    site.drain(1, 5'500);
    EXPECT_THAT(site.plan().stopped, ElementsAre("unsaved"));
}

// Many urgent gangs of a team without a guarantee on a full site. Guards against a guarantee that
// is missed because the capacity to be reclaimed is reserved for units that sort before it.
TEST(batch_overload_plan_test, dueGuaranteeIsReclaimedBeforeOthersWait)
{
    plan_site site(2);
    for (std::size_t i = 0; i < 2; ++i)
        start(&site, absl::StrCat("run-", i), "normal", i, wholeWorker(20'000));
    // Their stop costs more than an urgent unit may have others pay for it without a guarantee.
    site.advance(12'000);
    site.submit("guaranteed", "urgent", "a", wholeWorker(2'000));
    site.advance(1'500);
    for (int i = 0; i < 8; ++i)
        site.submit(absl::StrCat("other-", i), "urgent", "b", wholeWorker(2'000));
    EXPECT_FALSE(site.plan().stopped.empty());
}

} // namespace
} // namespace hyssoppond::batch
