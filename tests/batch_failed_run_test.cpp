/// @file Tests of where a unit runs again after a run of it has failed. Each names the failure that
/// it guards against.
#include "plan_site_base.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

using testing::Contains;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::Not;
using testing::SizeIs;

/// Longest time from the failure of a run until the next one is ordered, if there is room: work
/// that lasts has to run again 6 s after its last run.
constexpr std::int64_t RestartWithinMs = 6'000;

constexpr std::size_t Workers = 12;

batch_step labelled(batch_step step)
{
    step.requiredLabel = "b";
    return step;
}

batch_step lasting(batch_step step)
{
    step.longRunning = true;
    return step;
}

class batch_failed_run_test : public testing::Test
{
protected:
    /// Makes plans as the decider does, until one orders a run or `ms` have passed. Returns the
    /// jobs whose runs were ordered.
    std::vector<std::string> orderedWithin(std::int64_t ms)
    {
        for (const std::int64_t end = m_elapsedMs + ms; m_elapsedMs < end;) {
            advance(250);
            const plan_site::outcome planned = m_site.plan();
            if (!planned.ordered.empty())
                return planned.ordered;
        }
        return {};
    }

    void advance(std::int64_t ms)
    {
        m_site.advance(ms);
        m_elapsedMs += ms;
    }

    plan_site m_site {Workers};
    std::int64_t m_elapsedMs = 0;
};

// Guards against a unit that never runs again on the only worker with its label.
TEST_F(batch_failed_run_test, onlyWorkerWithTheLabelIsTriedAgain)
{
    m_site.setLabels(11, {"b"});
    for (const bool isLasting : {false, true}) {
        const std::string id = isLasting ? "lasting" : "once";
        const batch_step step = labelled(plan_site::stepOf(1, 1));
        m_site.submit(id, "normal", "b", isLasting ? lasting(step) : step);
        EXPECT_THAT(m_site.plan().ordered, ElementsAre(id));
        m_site.end(id, run_end::Failed, 300);
        EXPECT_THAT(orderedWithin(RestartWithinMs), ElementsAre(id));
        EXPECT_THAT(m_site.agentsOf(id), ElementsAre(plan_site::agentOf(11)));
        m_site.end(id, run_end::Done, 2'000);
    }
}

// Guards against a job with attempts left that waits for ever for the only other worker, which
// lasting work fills.
TEST_F(batch_failed_run_test, workerIsTriedAgainWhileTheOnlyOtherOneIsFull)
{
    m_site.setLabels(10, {"b"});
    m_site.setLabels(11, {"b"});
    m_site.submit("fills", "normal", "b", lasting(plan_site::stepOf(1, 8)));
    m_site.run("fills", {10});
    m_site.submit("waits", "normal", "b", labelled(plan_site::stepOf(1, 4)));
    EXPECT_THAT(m_site.plan().ordered, ElementsAre("waits"));
    m_site.end("waits", run_end::Failed, 300);
    EXPECT_THAT(orderedWithin(RestartWithinMs), ElementsAre("waits"));
    EXPECT_THAT(m_site.agentsOf("waits"), ElementsAre(plan_site::agentOf(11)));
}

// Guards against a gang that needs every worker and never runs again after a failure on one.
TEST_F(batch_failed_run_test, gangThatNeedsAllWorkersRunsAgain)
{
    m_site.submit("gang", "normal", "b", plan_site::stepOf(Workers, 8, true));
    EXPECT_THAT(m_site.plan().ordered, ElementsAre("gang"));
    m_site.endGang("gang", 3, run_end::Failed, run_end::Broken);
    EXPECT_THAT(orderedWithin(RestartWithinMs), ElementsAre("gang"));
}

// Guards against a lasting item with antiAffinity that waits for ever, as each of the other workers
// holds an item of its step.
TEST_F(batch_failed_run_test, lastingItemReturnsToTheOnlyWorkerWithoutItsSiblings)
{
    batch_step step = lasting(plan_site::stepOf(Workers, 1));
    step.maxPerWorker = 1;
    m_site.submit("spread", "normal", "b", step);
    EXPECT_THAT(m_site.plan().ordered, SizeIs(Workers));
    m_site.endUnit({job_id("spread"), 0, 0, 5}, run_end::Failed, 300);
    EXPECT_THAT(orderedWithin(RestartWithinMs), ElementsAre("spread"));
    EXPECT_THAT(m_site.agentsOf("spread"), SizeIs(Workers));
}

// Guards against a gang with data in one rack that waits for ever beside a failed worker of it.
TEST_F(batch_failed_run_test, gangReturnsToTheOnlyRackWithItsData)
{
    batch_step step = plan_site::stepOf(3, 8, true, 20'000);
    step.dataRack = "rack-1";
    m_site.submit("near", "normal", "b", step);
    EXPECT_THAT(m_site.plan().ordered, ElementsAre("near"));
    m_site.endGang("near", 1, run_end::Failed, run_end::Broken);
    EXPECT_THAT(orderedWithin(RestartWithinMs), ElementsAre("near"));
    EXPECT_THAT(m_site.agentsOf("near"), Contains(plan_site::agentOf(3)));
}

// Guards against a second attempt that is wasted on the worker that has just failed the unit.
TEST_F(batch_failed_run_test, anotherWorkerIsTakenIfOneHasRoom)
{
    m_site.submit("job", "normal", "b", plan_site::stepOf(1, 1));
    m_site.plan();
    const process_id failed = m_site.agentsOf("job").front();
    m_site.end("job", run_end::Failed, 300);
    EXPECT_THAT(m_site.plan().ordered, ElementsAre("job"));
    EXPECT_THAT(m_site.agentsOf("job"), Not(Contains(failed)));
    // Nor does the next attempt return to it when its quarantine is over.
    advance(5'000);
    m_site.end("job", run_end::Failed, 300);
    EXPECT_THAT(m_site.plan().ordered, ElementsAre("job"));
    EXPECT_THAT(m_site.agentsOf("job"), Not(Contains(failed)));
}

// Guards against a job out of attempts that is shown as running for ever.
TEST_F(batch_failed_run_test, jobOutOfAttemptsOnItsOnlyWorkerFails)
{
    m_site.setLabels(11, {"b"});
    m_site.submit("job", "normal", "b", labelled(plan_site::stepOf(1, 1)));
    EXPECT_THAT(m_site.plan().ordered, ElementsAre("job"));
    m_site.end("job", run_end::Failed, 300);
    EXPECT_THAT(orderedWithin(20'000), ElementsAre("job"));
    m_site.end("job", run_end::Failed, 300);
    EXPECT_THAT(orderedWithin(20'000), ElementsAre("job"));
    m_site.end("job", run_end::Failed, 300);
    EXPECT_THAT(orderedWithin(1'000), IsEmpty());
    EXPECT_EQ(m_site.statusOf("job"), job_status::Failed);
}

// Guards against a new decider that takes an earlier failure for a reason to wait for ever.
TEST_F(batch_failed_run_test, nextDeciderTriesTheOnlyWorkerAgain)
{
    m_site.setLabels(11, {"b"});
    m_site.submit("job", "normal", "b", labelled(plan_site::stepOf(1, 1)));
    m_site.plan();
    m_site.end("job", run_end::Failed, 300);
    m_site.scheduler() = batch_scheduler({});
    m_site.reload();
    EXPECT_THAT(orderedWithin(RestartWithinMs), ElementsAre("job"));
}

// Guards against a worker that is left out for what an earlier incarnation of it did.
TEST_F(batch_failed_run_test, restartedWorkerIsTriedAtOnce)
{
    m_site.setLabels(11, {"b"});
    for (const char *id : {"one", "two", "three", "four"}) {
        m_site.submit(id, "normal", "b", labelled(plan_site::stepOf(1, 1)));
        m_site.plan();
        m_site.end(id, run_end::Failed, 300);
        m_site.restart(11);
        EXPECT_THAT(m_site.plan().ordered, ElementsAre(id));
        m_site.end(id, run_end::Done, 300);
    }
}

// Guards against a worker that is left out for longer and longer, because lasting items fail there
// now and then and never end otherwise.
TEST_F(batch_failed_run_test, failuresThatLieFarApartDoNotAddUp)
{
    m_site.setLabels(11, {"b"});
    m_site.submit("lasting", "normal", "b", lasting(labelled(plan_site::stepOf(1, 1))));
    m_site.plan();
    for (int i = 0; i < 6; ++i) {
        advance(90'000);
        m_site.end("lasting", run_end::Failed, 90'000);
        ASSERT_THAT(orderedWithin(RestartWithinMs), ElementsAre("lasting")) << "failure " << i;
    }
}

// Guards against failures of long ago that acquit a worker which fails now: a unit is at fault
// itself only if it has failed on several workers lately.
TEST_F(batch_failed_run_test, unitIsNotBlamedForFailuresOfLongAgo)
{
    m_site.submit("lasting", "normal", "b", lasting(plan_site::stepOf(1, 1)));
    m_site.plan();
    m_site.end("lasting", run_end::Failed, 300);
    m_site.plan();
    advance(300'000);
    const process_id failing = m_site.agentsOf("lasting").front();
    m_site.end("lasting", run_end::Failed, 300'000);
    m_site.submit("other", "normal", "b", plan_site::stepOf(Workers, 1));
    m_site.plan();
    EXPECT_THAT(m_site.agentsOf("other"), Not(Contains(failing)));
}

} // namespace
} // namespace hyssoppond::batch
