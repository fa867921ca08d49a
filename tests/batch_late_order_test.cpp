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

    /// From now on the heartbeats of agent-0 are lost.
    void loseHeartbeats()
    {
        store_port &port = m_site->agents.at("agent-0")->port;
        port.append = [append = port.append](append_request request,
                                             std::function<void(append_answer)> done) {
            if (request.topic != HeartbeatTopic)
                append(std::move(request), std::move(done));
        };
    }

    /// Runs until agent-0 has sent the next order to its worker, which is late by `delay`.
    void runUntilOrderIsLateBy(absl::Duration delay)
    {
        delayOrders(delay);
        const std::size_t calls = worker().calls;
        while (worker().calls == calls)
            runFor(absl::Milliseconds(5));
    }

    /// Loses the machine of agent-0 for good. Its worker lives on.
    void loseAgent()
    {
        m_site->kill("agent-0");
        offerOtherWorker();
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

// Guards against a run that goes on after the journal read behind its leases is too old, because a
// late poll was carried out before a later one could be answered.
TEST_F(batch_late_order_test, runsAreStoppedOnceTheProofBehindTheirLeasesIsTooOld)
{
    start();
    runGang();
    cutAgent();
    runFor(absl::Seconds(4));
    // The first of these polls is carried out just before the last lease ends.
    delayOrders(absl::Milliseconds(4'200));
    runFor(ReadInFlight + JournalReadValidity - absl::Seconds(4));
    ASSERT_EQ(worker().running(), 2U) << "no late poll kept the runs alive";
    delayOrders(absl::ZeroDuration());
    offerOtherWorker();
    runFor(absl::Seconds(1));
    EXPECT_THAT(m_site->decisionsAbout(m_id), testing::HasSubstr("run unleased"));
    EXPECT_EQ(worker().running(), 0U) << m_site->decisionsAbout(m_id);
    runFor(absl::Seconds(30));
    EXPECT_EQ(m_site->history.starts, 4U);
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << m_site->decisionsAbout(m_id);
}

// Guards against runs that are stopped when their agent starts anew, after an eviction, while their
// last lease is still in force.
TEST_F(batch_late_order_test, restartedAgentThatFindsItsEvictionKeepsItsRuns)
{
    start();
    worker().itemTime = absl::Seconds(12);
    runGang();
    m_site->kill("agent-0");
    runFor(absl::Milliseconds(3'300));
    m_site->startAgent("agent-0");
    runFor(absl::Seconds(10));
    EXPECT_THAT(m_site->decisionsAbout("agent-0"), testing::HasSubstr("agent-0: evicted"));
    const job_state *job = m_site->entries.at("entry-0")->node->state().find(job_id(m_id));
    ASSERT_NE(job, nullptr);
    EXPECT_EQ(job->status(), job_status::Completed) << m_site->decisionsAbout(m_id);
    EXPECT_EQ(m_site->history.starts, 2U);
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

// Guards against a start that is carried out late after its agent was killed, when the decider has
// already given the run away.
TEST_F(batch_late_order_test, runOfAKilledAgentIsGivenAwayAfterItsLateStartHasEnded)
{
    start();
    m_site->delayOrdersFromNextStart("agent-0", LongestOrderDelay);
    m_site->submit("entry-0", m_id, "normal", batch_site::stepOf(2, 1, true));
    runFor(absl::Milliseconds(500));
    ASSERT_EQ(m_site->history.starts, 0U);
    m_site->kill("agent-0");
    offerOtherWorker();
    runFor(absl::Seconds(13));
    ASSERT_EQ(worker().running(), 2U) << "the start was not carried out late";
    runFor(absl::Seconds(17));
    EXPECT_EQ(m_site->history.starts, 4U);
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << m_site->decisionsAbout(m_id);
}

// Guards against polls that are carried out late after their agent was cut from the store and then
// killed, when the decider has already given the runs away.
TEST_F(batch_late_order_test, runsOfAnAgentCutOffAndKilledAreGivenAwayAfterTheirLatePolls)
{
    start();
    runGang();
    cutAgent();
    runFor(absl::Seconds(1));
    delayOrders(absl::Milliseconds(3'500));
    runFor(absl::Seconds(6));
    delayOrders(absl::Milliseconds(7'500));
    runFor(absl::Seconds(4));
    m_site->kill("agent-0");
    offerOtherWorker();
    runFor(JournalReadValidity + LongestOrderDelay - absl::Seconds(11));
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << m_site->decisionsAbout(m_id);
    runFor(absl::Seconds(10));
    EXPECT_EQ(m_site->history.starts, 4U);
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << m_site->decisionsAbout(m_id);
}

// Guards against runs that are given away although a late poll of an earlier process of the agent
// has extended their lease: the next process counted the wait for a leaving worker from its own
// start, as if no such poll were on its way.
TEST_F(batch_late_order_test, runsOfALeavingWorkerWaitForTheLatePollsOfAnEarlierProcess)
{
    start();
    runGang();
    delayOrders(absl::Seconds(4));
    runFor(absl::Milliseconds(1'600));
    m_site->kill("agent-0");
    m_site->startAgent("agent-0");
    offerOtherWorker();
    runFor(absl::Seconds(1));
    m_site->agents.at("agent-0")->node->onWorkerLeft(worker().description().worker);
    runFor(absl::Seconds(8));
    ASSERT_EQ(worker().running(), 2U) << "no late poll kept the runs alive";
    runFor(absl::Seconds(40));
    EXPECT_EQ(m_site->history.starts, 4U);
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << m_site->decisionsAbout(m_id);
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

/// The parameter is the time of the fault, in ms. It shifts the fault against the heartbeats and
/// the decider's reads of them.
class batch_lost_agent_test
    : public batch_late_order_test
    , public testing::WithParamInterface<int>
{
protected:
    void startAtPhase()
    {
        start();
        runFor(absl::Milliseconds(GetParam()));
    }

    /// The `runs` of the lost agent run elsewhere later, but not before they have ended at its
    /// worker.
    void expectRunsGivenAwayInTime(std::size_t runs)
    {
        runFor(absl::Seconds(40));
        EXPECT_EQ(m_site->workers.at("agent-1")->running(), runs) << m_site->decisionsAbout(m_id);
        EXPECT_THAT(m_site->history.breaches, IsEmpty()) << m_site->decisionsAbout("");
    }
};

// Guards against a start whose lease does not allow for the age of the last heartbeat: carried out
// late, after its agent was lost, it ran on when the decider gave the run away.
TEST_P(batch_lost_agent_test, lateStartAfterLostHeartbeatsEndsBeforeItsRunIsGivenAway)
{
    startAtPhase();
    loseHeartbeats();
    runFor(absl::Milliseconds(1'700));
    m_site->delayOrdersFromNextStart("agent-0", LongestOrderDelay);
    m_site->submit("entry-0", m_id, "normal", batch_site::stepOf(2, 1, true));
    runFor(absl::Milliseconds(300));
    loseAgent();
    expectRunsGivenAwayInTime(2);
}

// Guards against a long poll on its way when a run is started: carried out after the late start, it
// extended the start's short lease by the longest one.
TEST_P(batch_lost_agent_test, latePollSentBeforeALateStartDoesNotExtendItsLease)
{
    startAtPhase();
    runGang();
    runUntilOrderIsLateBy(LongestOrderDelay);
    delayOrders(absl::ZeroDuration());
    m_site->delayOrdersFromNextStart("agent-0", LongestOrderDelay - absl::Milliseconds(600));
    m_site->submit("entry-0", batch_site::idOf(2), "normal", batch_site::stepOf(2, 1, true));
    runFor(absl::Milliseconds(300));
    loseAgent();
    expectRunsGivenAwayInTime(4);
}

// Guards against a long poll on its way when a run is started: carried out before the late start,
// it left its worker a lease that the run got as well.
TEST_P(batch_lost_agent_test, lateStartDoesNotTakeTheLeaseOfALatePoll)
{
    startAtPhase();
    runGang();
    runUntilOrderIsLateBy(LongestOrderDelay);
    delayOrders(absl::ZeroDuration());
    m_site->delayOrdersFromNextStart("agent-0", LongestOrderDelay);
    m_site->submit("entry-0", batch_site::idOf(2), "normal", batch_site::stepOf(2, 1, true));
    runFor(absl::Milliseconds(300));
    loseAgent();
    expectRunsGivenAwayInTime(4);
}

// Guards against a series of late polls, each of which is carried out before the lease of the one
// before it is over: after their agent was lost, they kept the runs alive for more than 18 s.
TEST_P(batch_lost_agent_test, seriesOfLatePollsEndsBeforeTheRunsAreGivenAway)
{
    startAtPhase();
    runGang();
    runUntilOrderIsLateBy(absl::Milliseconds(4'300));
    runUntilOrderIsLateBy(absl::Milliseconds(7'600));
    runUntilOrderIsLateBy(LongestOrderDelay);
    loseAgent();
    expectRunsGivenAwayInTime(2);
}

// Guards against an eviction that is recorded after heartbeats have come again: the decider counted
// the wait for late orders from the eviction, though its agent had relied on the heartbeats.
TEST_P(batch_lost_agent_test, runsAreNotGivenAwayEarlierForAnEvictionBeforeTheLastHeartbeat)
{
    startAtPhase();
    runGang();
    store_port &agentPort = m_site->agents.at("agent-0")->port;
    const auto append = agentPort.append;
    loseHeartbeats();
    std::function<void()> recordEviction;
    store_port &entryPort = m_site->entries.at("entry-0")->port;
    entryPort.append = [&recordEviction, append = entryPort.append](
                           append_request request, std::function<void(append_answer)> done) {
        if (request.records.front().key.starts_with("v:"))
            recordEviction = [append, request, done] { append(request, done); };
        else
            append(std::move(request), std::move(done));
    };
    while (!recordEviction)
        runFor(absl::Milliseconds(5));
    agentPort.append = append;
    runFor(absl::Seconds(1));
    runUntilOrderIsLateBy(absl::Milliseconds(4'300));
    runUntilOrderIsLateBy(absl::Milliseconds(7'600));
    runUntilOrderIsLateBy(LongestOrderDelay);
    loseAgent();
    runFor(absl::Milliseconds(900)); // the decider reads the last heartbeat
    recordEviction();
    expectRunsGivenAwayInTime(2);
}

/// The worker restarts under its name, refuses connections meanwhile, and answers a poll whose
/// lease is short, as its agent is cut from the store, but counts by the clock of the incarnation
/// before. It then holds the longest lease. Its agent learns of the restart by that answer.
class batch_replaced_worker_test : public batch_lost_agent_test
{
protected:
    void SetUp() override
    {
        startAtPhase();
        runFor(absl::Seconds(55)); // the clock of the worker is far ahead of that of the next one
        runGang();
        cutAgent();
        runFor(absl::Milliseconds(9'200));
        // Just after a heartbeat of the worker, which the next ones follow every 1.5 s.
        while (absl::ToUnixMillis(m_site->clock.now()) % 1'500 != 10)
            runFor(absl::Milliseconds(1));
        item_worker_port &port = m_site->agents.at("agent-0")->worker;
        const auto send = port.poll;
        bool leaseSent = false;
        port.poll = [&leaseSent, send](const poll_request &request,
                                       const std::function<void(poll_answer)> &done) {
            leaseSent = leaseSent || request.leaseUntilMs;
            send(request, done);
        };
        worker().faults.notListening = true;
        worker().restart();
        runFor(absl::Milliseconds(500));
        worker().faults.notListening = false;
        leaseSent = false;
        for (int i = 0; i < 400 && !leaseSent; ++i)
            runFor(absl::Milliseconds(5));
        port.poll = send;
        ASSERT_TRUE(leaseSent) << m_site->decisionsAbout("");
        m_replacedAt = m_site->clock.now();
        healAgent();
        while (worker().running() < 2 && m_site->clock.now() - m_replacedAt < absl::Seconds(5))
            runFor(absl::Milliseconds(5));
        ASSERT_EQ(worker().running(), 2U) << m_site->decisionsAbout("");
    }

    absl::Time m_replacedAt; ///< when the present incarnation of the worker took the poll
};

// Guards against runs that are given away while the lease by a poll for the incarnation before is
// in force, when the worker gives notice and answers nothing more.
TEST_P(batch_replaced_worker_test, runsOfALeavingWorkerWaitForALeaseByTheClockBefore)
{
    m_site->agents.at("agent-0")->node->onWorkerLeft(worker().description().worker);
    worker().faults.unreachable = true;
    offerOtherWorker();
    runFor(absl::Seconds(40));
    EXPECT_EQ(m_site->workers.at("agent-1")->running(), 2U) << m_site->decisionsAbout(m_id);
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << m_site->decisionsAbout("");
}

INSTANTIATE_TEST_SUITE_P(Phases, batch_replaced_worker_test, testing::Range(0, 800, 100));

INSTANTIATE_TEST_SUITE_P(Phases, batch_lost_agent_test, testing::Range(0, 800, 100));

} // namespace
} // namespace hyssoppond::batch
