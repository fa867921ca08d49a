/// @file Tests that the end of a run is concluded only from what proves it. Each names the failure
/// that it guards against.
#include "batch_site_base.h"

#include "hyssoppond/batch/lease_rule_func.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

using testing::IsEmpty;

/// Time until entries and agents know each other and one entry decides.
constexpr absl::Duration StartTime = absl::Seconds(5);

/// A site of one worker, with an order that follows the announcement that there is no worker. The
/// same incarnation of the worker is announced again afterwards.
class batch_void_order_test : public testing::Test
{
protected:
    /// Lets the agent announce that its worker is gone, on a false notice, after the decider has
    /// decided the order and before the order is stored. Ends the agent then.
    void orderBehindTheEndOfTheWorker()
    {
        m_site = std::make_unique<batch_site>(1, 1, 1);
        m_site->clock.runFor(StartTime);
        m_site->workers.at("agent-0")->itemTime = absl::Seconds(20);
        store_port &port = m_site->entries.at("entry-0")->port;
        const auto send = port.append;
        port.append = [this, send](const append_request &request,
                                   const std::function<void(append_answer)> &done) {
            if (m_noticed || !request.records.front().key.starts_with("o:")) {
                send(request, done);
                return;
            }
            m_noticed = true;
            m_site->agents.at("agent-0")->node->onWorkerLeft(
                m_site->workers.at("agent-0")->description().worker);
            m_site->clock.after(absl::Milliseconds(50),
                                [send, request, done] { send(request, done); });
        };
        m_site->submit("entry-0", m_id, "normal", batch_site::stepOf(1, 1, false));
        ASSERT_TRUE(runUntil([&] { return newestKey().starts_with("o:"); })) << decisions();
        m_site->kill("agent-0");
        const auto &records = m_site->store.recordsOf(JournalTopic);
        const auto announced = decodeRecord(records.at(records.size() - 2).value);
        ASSERT_FALSE(std::get<agent_announced>(*announced).hasWorker);
    }

    /// Runs until the agent has announced its worker.
    void awaitAnnouncement()
    {
        ASSERT_TRUE(runUntil([&] { return newestKey().starts_with("n:"); })) << decisions();
    }

    template<class condition>
    bool runUntil(condition isMet)
    {
        for (int i = 0; i < 5'000 && !isMet(); ++i)
            m_site->clock.runFor(absl::Milliseconds(1));
        return isMet();
    }

    std::string newestKey() { return m_site->store.recordsOf(JournalTopic).back().key; }

    job_status status() const
    {
        const job_state *job = m_site->entries.at("entry-0")->node->state().find(job_id(m_id));
        return job == nullptr ? job_status::Queued : job->status();
    }

    std::string decisions() const { return m_site->decisionsAbout(m_id); }

    std::unique_ptr<batch_site> m_site;
    bool m_noticed = false; ///< the false notice was sent
    std::string m_id = batch_site::idOf(1);
};

// Guards against a job that waits for ever: an agent that loads the order takes it for void, and a
// decider that loads the journal after the next announcement takes it for running.
TEST_F(batch_void_order_test, agentAndDeciderThatLoadTheOrderAgreeThatItIsVoid)
{
    orderBehindTheEndOfTheWorker();
    m_site->kill("entry-0");
    m_site->startAgent("agent-0");
    awaitAnnouncement();
    m_site->startEntry("entry-0");
    m_site->clock.runFor(absl::Seconds(30));
    EXPECT_EQ(status(), job_status::Completed) << decisions();
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << decisions();
}

// Guards against a second run of an item: a process of the agent that loads the journal after the
// next announcement takes the order for valid, and a decider that has read all records takes it for
// lost.
TEST_F(batch_void_order_test, laterProcessOfTheAgentDoesNotStartTheRun)
{
    orderBehindTheEndOfTheWorker();
    m_site->suspend("entry-0", absl::Seconds(4), suspended_clock::GoesOn);
    m_site->startAgent("agent-0");
    awaitAnnouncement();
    m_site->kill("agent-0");
    m_site->startAgent("agent-0");
    m_site->clock.runFor(absl::Seconds(40));
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << decisions();
    EXPECT_EQ(status(), job_status::Completed) << decisions();
}

/// A site of two workers whose clocks show a minute. All work goes to the worker of Agent until
/// openOtherWorker().
class batch_clock_incarnation_test : public testing::Test
{
protected:
    static constexpr const char *Agent = "agent-0";
    static constexpr const char *OtherAgent = "agent-1";

    /// An order may be carried out so much later: a little less than LongestOrderDelay.
    static constexpr absl::Duration Late = absl::Milliseconds(11'900);

    batch_clock_incarnation_test()
        : m_site(1, 2, 1)
    {
        m_site.clock.runFor(StartTime);
        m_site.workers.at(OtherAgent)->setDraining(0);
        for (auto &[name, worker] : m_site.workers)
            worker->itemTime = absl::Seconds(30);
        // Heartbeats of the worker come every 1.5 s.
        m_site.clock.runFor(absl::Milliseconds(55'010));
    }

    fake_item_worker &worker() { return *m_site.workers.at(Agent); }

    /// Lets the worker carry out its next start and all later orders late, waits for the start of
    /// the item `id`, and ends the agent for good.
    void loseAgentAfterALateStart(const std::string &id)
    {
        m_site.delayOrdersFromNextStart(Agent, Late);
        m_site.submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
        m_site.clock.runFor(absl::Milliseconds(150));
        m_site.kill(Agent);
        m_site.workers.at(OtherAgent)->restart();
        m_site.clock.runFor(absl::Seconds(60));
    }

    batch_site m_site;
    std::string m_id = batch_site::idOf(1);
};

// Guards against two runs of one item: an order for a worker that has restarted under its name, and
// that its agent takes for the one before, holds a lease by the clock of the latter. Carried out
// late, it would last longer than the decider waits for a lost agent.
TEST_F(batch_clock_incarnation_test, lateStartAtARestartedWorkerHoldsNoLongLease)
{
    worker().restart();
    m_site.clock.runFor(absl::Milliseconds(600));
    loseAgentAfterALateStart(m_id);
    EXPECT_THAT(m_site.history.breaches, IsEmpty()) << m_site.decisionsAbout(m_id);
}

// Guards against the same when the agent knows of the restart, and an answer of the worker before
// it arrives later.
TEST_F(batch_clock_incarnation_test, lateAnswerOfAnEarlierIncarnationTellsNoClock)
{
    item_worker_port &port = m_site.agents.at(Agent)->worker;
    const auto send = port.start;
    port.start = [this, send](const start_order &order, std::function<void(order_answer)> done) {
        send(order, [this, done = std::move(done)](const order_answer &answer) {
            m_site.clock.after(absl::Milliseconds(690), [done, answer] { done(answer); });
        });
    };
    m_site.submit("entry-0", m_id, "normal", batch_site::stepOf(1, 1, false));
    for (int i = 0; i < 1'000 && worker().running() == 0; ++i)
        m_site.clock.runFor(absl::Milliseconds(1));
    ASSERT_EQ(worker().running(), 1U) << m_site.decisionsAbout(m_id);
    worker().restart();
    worker().faults.notListening = true;
    m_site.clock.runFor(absl::Milliseconds(500));
    worker().faults.notListening = false;
    port.start = send;
    m_site.clock.runFor(absl::Milliseconds(300));
    const std::string second = batch_site::idOf(2);
    loseAgentAfterALateStart(second);
    EXPECT_THAT(m_site.history.breaches, IsEmpty()) << m_site.decisionsAbout(second);
}

// Guards against runs that are taken for lapsed, and run again after they were done, because a
// worker lists only some of its ends at a time.
TEST(batch_listed_ends_test, runWhoseEndIsNotListedYetHasNotVanished)
{
    batch_site site(1, 1, 1);
    site.clock.runFor(StartTime);
    site.workers.at("agent-0")->listedEnds = 2;
    const std::string id = batch_site::idOf(1);
    site.submit("entry-0", id, "normal", batch_site::stepOf(5, 1, false));
    site.clock.runFor(absl::Seconds(20));
    EXPECT_THAT(site.history.breaches, IsEmpty()) << site.decisionsAbout(id);
    EXPECT_EQ(site.history.starts, 5U) << site.decisionsAbout(id);
    EXPECT_EQ(site.history.done, 5U) << site.decisionsAbout(id);
}

// Guards against two runs of an item whose worker lists entries that cannot be read for long, while
// its agent is replaced: the agent knows nothing of the run and is given up, and the run must have
// ended by then.
TEST(batch_odd_lists_test, agentThatCannotReadTheListsForLongKeepsTheLeaseRule)
{
    for (const bool isReplaced : {false, true}) {
        batch_site site(1, 2, 1);
        site.clock.runFor(StartTime);
        for (auto &[name, worker] : site.workers)
            worker->itemTime = absl::Seconds(40);
        const std::string id = batch_site::idOf(1);
        site.submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
        site.clock.runFor(absl::Seconds(1));
        for (auto &[name, worker] : site.workers) {
            if (worker->running() == 0)
                continue;
            worker->faults.oddEntries = true;
            if (isReplaced) {
                site.kill(name);
                site.startAgent(name);
            }
        }
        site.clock.runFor(absl::Seconds(100));
        EXPECT_THAT(site.history.breaches, IsEmpty()) << site.decisionsAbout(id);
        for (auto &[name, worker] : site.workers)
            worker->faults.oddEntries = false;
        site.clock.runFor(absl::Seconds(50));
        EXPECT_THAT(site.history.breaches, IsEmpty()) << site.decisionsAbout(id);
        EXPECT_EQ(site.history.done, 1U) << site.decisionsAbout(id);
    }
}

} // namespace
} // namespace hyssoppond::batch
