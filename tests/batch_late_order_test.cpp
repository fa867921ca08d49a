/// @file Tests of orders that a worker carries out seconds after they were sent, with a lease that
/// counts from then. Each names the failure that it guards against.
#include "batch_site_base.h"

#include "hyssoppond/batch/lease_rule_func.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

using testing::IsEmpty;

/// Time until entries and agents know each other and one entry decides.
constexpr absl::Duration StartTime = absl::Seconds(5);

/// An agent cut from the store still gets the answer to the read in flight, which confirms the
/// journal up to then.
constexpr absl::Duration ReadInFlight = absl::Milliseconds(1'500);

class batch_late_order_test : public testing::Test
{
protected:
    /// Starts a site of two workers that runs long items. Only agent-0 gets work, until
    /// `offerOtherWorker` is called.
    void start()
    {
        m_site = std::make_unique<batch_site>(1, 2);
        for (auto &[name, worker] : m_site->workers) {
            worker->itemTime = absl::Seconds(60);
            worker->clockRate = 1.0 - WorkerClockError;
            worker->faults.grantsFromArrival = true;
        }
        m_site->workers.at("agent-1")->setDraining(0);
        m_site->clock.runFor(StartTime);
    }

    fake_item_worker &worker() { return *m_site->workers.at("agent-0"); }
    void runFor(absl::Duration span) { m_site->clock.runFor(span); }
    void offerOtherWorker() { m_site->workers.at("agent-1")->restart(); }

    /// Cuts agent-0 from the store and from its peers.
    void cutAgent()
    {
        m_site->store.faults["agent-0"].silent = true;
        m_site->withoutDatagrams.insert("agent-0");
    }
    void healAgent()
    {
        m_site->store.faults["agent-0"].silent = false;
        m_site->withoutDatagrams.clear();
    }

    /// Makes agent-0 run both items of a gang.
    void runGang()
    {
        m_site->submit("entry-0", m_id, "normal", batch_site::stepOf(2, 1, true));
        runFor(absl::Seconds(2));
        ASSERT_EQ(worker().running(), 2U);
    }

    /// From now on every order is late by `delay`; none if it is zero.
    void delayOrders(absl::Duration delay)
    {
        worker().faults.executeLate = delay > absl::ZeroDuration() ? 1.0 : 0.0;
        worker().faults.lateBy = delay;
    }

    const std::string m_id = batch_site::idOf(1);
    std::unique_ptr<batch_site> m_site;
};

// Guards against a poll that is carried out late after its agent was cut from the store: it kept
// the runs alive for seconds after the last lease of the agent, while the decider gave them away.
TEST_F(batch_late_order_test, latePollExtendsNothingOnceALaterOneWasAnswered)
{
    start();
    runGang();
    cutAgent();
    runFor(absl::Seconds(4));
    // Any poll of these two seconds is late, and no longer in force when it is carried out.
    delayOrders(absl::Seconds(6));
    runFor(absl::Seconds(2));
    delayOrders(absl::ZeroDuration());
    offerOtherWorker();
    runFor(ReadInFlight + JournalReadValidity - absl::Seconds(6));
    EXPECT_EQ(worker().running(), 0U) << m_site->decisionsAbout(m_id);
    runFor(absl::Seconds(30));
    EXPECT_EQ(m_site->history.starts, 4U);
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << m_site->decisionsAbout(m_id);
}

// Guards against work that is thrown away because polls are late while the store serves the agent,
// or fails for less than leases last.
TEST_F(batch_late_order_test, runsSurviveLatePollsAndAnOutageOfTheStore)
{
    start();
    runGang();
    worker().faults.executeLate = 0.3;
    runFor(absl::Seconds(10));
    worker().faults.executeLate = 0.0;
    cutAgent();
    runFor(absl::Seconds(9));
    healAgent();
    runFor(absl::Seconds(45));
    const job_state *job = m_site->entries.at("entry-0")->node->state().find(job_id(m_id));
    ASSERT_NE(job, nullptr);
    EXPECT_EQ(job->status(), job_status::Completed) << m_site->decisionsAbout(m_id);
    EXPECT_EQ(m_site->history.starts, 2U);
}

// Guards against a gang that is given up because a start on its way was refused: a poll without an
// answer had raised the token meanwhile.
TEST_F(batch_late_order_test, startRefusedForItsTokenIsRepeatedInTimeForItsGang)
{
    start();
    worker().faults.startTransit = absl::Milliseconds(400);
    worker().faults.resets = true;
    m_site->submit("entry-0", m_id, "normal", batch_site::stepOf(2, 1, true));
    runFor(absl::Milliseconds(150));
    worker().faults.resets = false;
    runFor(absl::Milliseconds(200));
    worker().faults.startTransit = absl::ZeroDuration();
    runFor(absl::Milliseconds(650));
    EXPECT_EQ(worker().running(), 2U) << m_site->decisionsAbout(m_id);
    EXPECT_THAT(m_site->decisionsAbout(m_id), testing::HasSubstr("/1 token"));
    EXPECT_THAT(m_site->decisionsAbout(m_id),
                testing::Not(testing::HasSubstr("run ordered " + m_id + ".0.0.0/2")));
}

// Guards against an agent that has no higher token left after thousands of unanswered polls: it
// would get no work any more, or its tokens would run into those of later processes, whose orders
// its worker would then refuse.
TEST_F(batch_late_order_test, agentAndItsNextProcessWorkAfterThousandsOfUnansweredPolls)
{
    start();
    runGang();
    worker().faults.resets = true;
    constexpr absl::Duration LongFault = absl::Hours(1);
    runFor(LongFault);
    worker().faults.resets = false;
    m_site->submit("entry-0", batch_site::idOf(2), "normal", batch_site::stepOf(1, 1, false));
    runFor(absl::Seconds(3));
    EXPECT_EQ(worker().running(), 3U) << m_site->decisionsAbout("agent-0");
    m_site->kill("agent-0");
    m_site->startAgent("agent-0");
    runFor(absl::Seconds(3));
    m_site->submit("entry-0", batch_site::idOf(3), "normal", batch_site::stepOf(1, 1, false));
    runFor(absl::Seconds(3));
    EXPECT_EQ(worker().running(), 4U) << m_site->decisionsAbout("agent-0");
}

} // namespace
} // namespace hyssoppond::batch
