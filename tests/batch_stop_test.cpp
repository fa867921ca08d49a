/// @file Tests of agents whose process ends in an orderly way. Each names the failure that it
/// guards against.
#include "batch_site_base.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

using testing::HasSubstr;
using testing::IsEmpty;
using testing::Not;

/// Time until entries and agents know each other and one entry decides.
constexpr absl::Duration StartTime = absl::Seconds(8);

class batch_stop_test : public testing::Test
{
protected:
    void start(std::size_t workers)
    {
        m_site = std::make_unique<batch_site>(1, workers);
        m_site->clock.runFor(StartTime);
    }

    void runFor(absl::Duration span) { m_site->clock.runFor(span); }
    fake_item_worker &worker() { return *m_site->workers.at("agent-0"); }

    /// Submits a job of one item that takes a whole worker.
    void submit(std::uint64_t number)
    {
        m_site->submit("entry-0", batch_site::idOf(number), "normal",
                       batch_site::stepOf(1, 8, false));
    }

    const batch_state &state() const { return m_site->entries.at("entry-0")->node->state(); }

    job_status statusOf(std::uint64_t number) const
    {
        return state().find(job_id(batch_site::idOf(number)))->status();
    }

    /// Tells agent-0 to stop, and returns how long its process took.
    absl::Duration stop()
    {
        const absl::Time toldAt = m_site->clock.now();
        m_site->stopAgent("agent-0");
        while (m_site->agents.contains("agent-0"))
            runFor(absl::Milliseconds(1));
        return m_site->clock.now() - toldAt;
    }

    /// Runs until the next heartbeat of agent-0 is stored.
    void runUntilNextHeartbeat()
    {
        const auto &records = m_site->store.recordsOf(HeartbeatTopic);
        for (std::size_t end = records.size(); records.size() == end;)
            runFor(absl::Milliseconds(1));
    }

    std::unique_ptr<batch_site> m_site;
};

// Guards against work that is ordered from an agent whose process has ended: it waits until the
// agent counts as silent and its runs count as lost, or until its next process has started.
TEST_F(batch_stop_test, endingAgentGetsNoWorkUntilItsNextProcessHasStarted)
{
    start(1);
    EXPECT_LE(stop(), absl::Milliseconds(50));
    runFor(absl::Milliseconds(300));
    submit(1);
    runFor(absl::Milliseconds(1'500));
    EXPECT_EQ(statusOf(1), job_status::Queued) << m_site->decisionsAbout(batch_site::idOf(1));
    m_site->startAgent("agent-0");
    runFor(absl::Seconds(1));
    EXPECT_EQ(worker().running(), 1U) << m_site->decisionsAbout(batch_site::idOf(1));
}

// Guards against the same where the store does not serve the agent.
TEST_F(batch_stop_test, agentThatTheStoreDoesNotServeSaysThroughAPeerThatItEnds)
{
    start(1);
    m_site->store.faults["agent-0"].silent = true;
    EXPECT_LE(stop(), absl::Milliseconds(700));
    runFor(absl::Milliseconds(200));
    EXPECT_TRUE(state().isEnding(process_id("agent-0")));
}

// Guards against a process that does not end, as the store does not answer.
TEST_F(batch_stop_test, agentStopsSoonWithoutAnAnswerOfTheStore)
{
    start(1);
    m_site->store.faults["agent-0"].silent = true;
    m_site->datagramLoss = 1.0;
    EXPECT_LE(stop(), absl::Milliseconds(1'050));
    EXPECT_FALSE(state().isEnding(process_id("agent-0")));
}

// Guards against a job that waits for the next process of an agent, although its last item had
// ended, and the worker had listed that, when the agent was told to stop.
TEST_F(batch_stop_test, endsThatTheWorkerListsAreRecordedBeforeTheProcessEnds)
{
    start(1);
    submit(1);
    runFor(absl::Seconds(1));
    ASSERT_EQ(worker().running(), 1U);
    while (worker().running() != 0)
        runFor(absl::Milliseconds(1));
    m_site->store.faults["agent-0"].silent = true;
    stop();
    runFor(absl::Milliseconds(500));
    EXPECT_EQ(statusOf(1), job_status::Completed) << m_site->decisionsAbout(batch_site::idOf(1));
}

// Guards against runs that are lost, or new work that waits, when an agent is restarted.
TEST_F(batch_stop_test, nextProcessAdoptsTheRunsAndGetsWorkAtOnce)
{
    start(1);
    worker().itemTime = absl::Seconds(6);
    submit(1);
    runFor(absl::Seconds(1));
    ASSERT_EQ(worker().running(), 1U);
    EXPECT_LE(stop(), absl::Milliseconds(50));
    runFor(absl::Seconds(1));
    m_site->startAgent("agent-0");
    runFor(absl::Milliseconds(3'500));
    submit(2);
    runFor(absl::Milliseconds(1'200));
    EXPECT_EQ(statusOf(1), job_status::Completed) << m_site->decisionsAbout(batch_site::idOf(1));
    EXPECT_EQ(m_site->history.starts, 2U) << m_site->decisionsAbout(batch_site::idOf(2));
    EXPECT_THAT(m_site->history.breaches, IsEmpty());
}

// Guards against an evicted agent that is reinstated by its last heartbeats after its process has
// ended.
TEST_F(batch_stop_test, endingAgentIsNotReinstated)
{
    start(1);
    worker().itemTime = absl::Seconds(60);
    submit(1);
    runFor(absl::Seconds(1));
    ASSERT_EQ(worker().running(), 1U);
    m_site->store.faults["agent-0"].silentAppendsTo = {HeartbeatTopic};
    m_site->withoutDatagrams.insert("agent-0");
    while (!state().isEvicted(process_id("agent-0")))
        runFor(absl::Milliseconds(10));
    m_site->store.faults["agent-0"].silentAppendsTo.clear();
    m_site->withoutDatagrams.clear();
    // One that follows the eviction closely may count as sent before it.
    const absl::Time evictedAt = m_site->clock.now();
    do {
        runUntilNextHeartbeat();
    } while (m_site->clock.now() < evictedAt + absl::Seconds(1));
    ASSERT_TRUE(state().isEvicted(process_id("agent-0")));
    EXPECT_LE(stop(), absl::Milliseconds(50));
    runFor(absl::Seconds(5));
    EXPECT_TRUE(state().isEvicted(process_id("agent-0")));
    EXPECT_THAT(m_site->decisionsAbout("agent-0"), Not(HasSubstr("reinstated")));
}

// Guards against an agent without work whose last process said that it ends: the store carried that
// out after the next process had started.
TEST_F(batch_stop_test, lateRecordOfAnEndedProcessHasNoEffectOnTheNextOne)
{
    start(1);
    m_site->store.faults["agent-0"].executeLate = 1.0;
    m_site->datagramLoss = 1.0;
    stop();
    m_site->datagramLoss = 0.0;
    m_site->store.faults["agent-0"].executeLate = 0.0;
    m_site->startAgent("agent-0");
    runFor(absl::Seconds(8));
    EXPECT_FALSE(state().isEnding(process_id("agent-0")));
    submit(1);
    runFor(absl::Seconds(1));
    EXPECT_EQ(worker().running(), 1U) << m_site->decisionsAbout(batch_site::idOf(1));
}

// Guards against a state that takes the record of an earlier process for one of the present one.
TEST(batch_state_ending_test, onlyTheNewestProcessIsEnding)
{
    const process_id agent("agent");
    batch_state state;
    state.apply(process_started {agent, 1, false, ""}, 0);
    EXPECT_FALSE(state.isEnding(agent));
    state.apply(process_ending {agent, 1}, 1);
    EXPECT_TRUE(state.isEnding(agent));
    state.apply(process_started {agent, 2, false, ""}, 2);
    EXPECT_FALSE(state.isEnding(agent));
    state.apply(process_ending {agent, 1}, 3);
    EXPECT_FALSE(state.isEnding(agent));
}

} // namespace
} // namespace hyssoppond::batch
