/// @file Tests of agent processes that succeed one another beside the same worker. Each names the
/// failure that it guards against.
#include "batch_site_base.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

using testing::IsEmpty;
using testing::SizeIs;

/// Time until entries and agents know each other and one entry decides.
constexpr absl::Duration StartTime = absl::Seconds(5);

/// Time within which a record takes effect at all processes.
constexpr absl::Duration SettleTime = absl::Seconds(5);

/// The agent whose processes succeed one another, and one whose worker is free. The decider prefers
/// the latter where both workers are equal.
constexpr const char *Agent = "agent-1";
constexpr const char *OtherAgent = "agent-0";

/// A site of two workers. All work goes to the worker of Agent until openOtherWorker().
class batch_successor_test : public testing::Test
{
protected:
    void start()
    {
        m_site = std::make_unique<batch_site>(1, 2);
        m_site->clock.runFor(StartTime);
        m_site->workers.at(OtherAgent)->setDraining(0);
        for (auto &[name, worker] : m_site->workers)
            worker->itemTime = absl::Seconds(30);
        m_site->clock.runFor(absl::Seconds(2));
    }

    /// Lets the decider order runs on the worker of OtherAgent.
    void openOtherWorker()
    {
        m_site->workers.at(OtherAgent)->restart();
        m_site->clock.runFor(absl::Seconds(3));
    }

    /// From now on the appends of the present process of Agent whose first key begins with
    /// `prefix` are held: the process gets no answer.
    void holdAppends(const std::string &prefix)
    {
        store_port &port = m_site->agents.at(Agent)->port;
        port.append = [this, prefix, append = port.append](
                          append_request request, std::function<void(append_answer)> done) {
            if (request.records.front().key.starts_with(prefix))
                m_held.push_back(std::move(request));
            else
                append(std::move(request), std::move(done));
        };
    }

    /// The store carries out the held appends.
    void carryOutHeldAppends()
    {
        const store_port port = m_site->store.portOf("late", std::make_shared<bool>(true));
        for (const append_request &request : m_held)
            port.append(request, [](const append_answer &) {});
        m_held.clear();
    }

    void replaceAgent()
    {
        m_site->kill(Agent);
        m_site->startAgent(Agent);
    }

    /// Submits an item and waits until the worker of Agent runs it.
    std::string submitAndRun()
    {
        std::string id = batch_site::idOf(1);
        m_site->submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
        m_site->clock.runFor(absl::Seconds(1));
        EXPECT_EQ(m_site->workers.at(Agent)->running(), 1U) << m_site->decisionsAbout(id);
        return id;
    }

    /// Counts the calls of `process` to its worker from now on.
    static std::shared_ptr<std::size_t> countWorkerCalls(batch_site::agent_process *process)
    {
        auto calls = std::make_shared<std::size_t>(0);
        const auto counted = [calls](auto call) {
            return [calls, call](auto order, auto done) {
                ++*calls;
                call(std::move(order), std::move(done));
            };
        };
        process->worker.start = counted(process->worker.start);
        process->worker.stop = counted(process->worker.stop);
        process->worker.poll = counted(process->worker.poll);
        return calls;
    }

    static std::size_t occurrences(const std::string &text, const std::string &word)
    {
        std::size_t count = 0;
        for (std::size_t at = text.find(word); at != std::string::npos;
             at = text.find(word, at + 1))
            ++count;
        return count;
    }

    std::unique_ptr<batch_site> m_site;
    std::vector<append_request> m_held;
};

/// The parameter is the step of the time of day between the two processes of Agent.
class batch_clock_step_test
    : public batch_successor_test
    , public testing::WithParamInterface<absl::Duration>
{ };

// Guards against two runs of one item when the store carries out "not started" of a killed agent
// process after the next process has started the item.
TEST_P(batch_clock_step_test, lateNotStartedOfAKilledProcessHasNoEffect)
{
    start();
    holdAppends("e:");
    m_site->agents.at(Agent)->worker.start
        = [this](const start_order &, std::function<void(order_answer)> done) {
              m_site->clock.after(absl::Milliseconds(1), [done = std::move(done)] {
                  done({order_outcome::Unhealthy, std::nullopt});
              });
          };
    const std::string id = batch_site::idOf(1);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
    m_site->clock.runFor(absl::Milliseconds(500));
    ASSERT_THAT(m_held, SizeIs(1)) << m_site->decisionsAbout(id);
    m_site->wallSkew[Agent] = GetParam();
    replaceAgent();
    m_site->clock.runFor(absl::Seconds(1));
    ASSERT_EQ(m_site->workers.at(Agent)->running(), 1U) << m_site->decisionsAbout(id);
    openOtherWorker();
    carryOutHeldAppends();
    m_site->clock.runFor(SettleTime);
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << m_site->decisionsAbout(id);
    EXPECT_EQ(m_site->history.starts, 1U);
}

// Guards against two runs of one item when the store carries out the announcement of an earlier
// worker incarnation by a killed agent process after the next process has announced a later one.
TEST_P(batch_clock_step_test, lateAnnouncementOfAKilledProcessHasNoEffect)
{
    start();
    fake_item_worker &worker = *m_site->workers.at(Agent);
    holdAppends("n:");
    worker.restart();
    m_site->clock.runFor(absl::Seconds(3));
    ASSERT_THAT(m_held, SizeIs(1));
    worker.restart();
    m_site->wallSkew[Agent] = GetParam();
    replaceAgent();
    m_site->clock.runFor(absl::Seconds(2));
    const std::string id = batch_site::idOf(1);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
    m_site->clock.runFor(absl::Seconds(1));
    ASSERT_EQ(worker.running(), 1U) << m_site->decisionsAbout(id);
    openOtherWorker();
    carryOutHeldAppends();
    m_site->clock.runFor(SettleTime);
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << m_site->decisionsAbout(id);
    EXPECT_EQ(m_site->history.starts, 1U);
}

INSTANTIATE_TEST_SUITE_P(steps, batch_clock_step_test,
                         testing::Values(absl::ZeroDuration(), absl::Seconds(-2)));

// Guards against an agent process that goes on after its replacement has started: it called the
// worker without end, with fencing tokens that rise up to those of its successor.
TEST_F(batch_successor_test, predecessorThatStillRunsStopsActing)
{
    start();
    m_site->endSupersededAgents = false;
    const std::string id = submitAndRun();
    const auto predecessor = m_site->agents.at(Agent);
    m_site->startAgent(Agent);
    m_site->clock.runFor(absl::Seconds(1));
    const auto calls = countWorkerCalls(predecessor.get());
    m_site->workers.at(Agent)->restart();
    m_site->clock.runFor(absl::Seconds(5));
    EXPECT_EQ(*calls, 0U) << m_site->decisionsAbout(id);
    EXPECT_EQ(occurrences(m_site->decisionsAbout(Agent), "superseded"), 1U);
    EXPECT_EQ(m_site->workers.at(Agent)->running(), 1U) << "the successor starts the next run";
    EXPECT_THAT(m_site->history.breaches, IsEmpty());
}

// Guards against a frozen agent process that acts on its worker after it was replaced. The store
// does not answer it until then.
TEST_F(batch_successor_test, predecessorThatReturnsStopsActing)
{
    start();
    m_site->endSupersededAgents = false;
    const std::string id = submitAndRun();
    const auto predecessor = m_site->agents.at(Agent);
    const store_port reachable = predecessor->port;
    predecessor->port.append
        = [](const append_request &, const std::function<void(append_answer)> &) {};
    predecessor->port.read
        = [this](const read_request &request, std::function<void(read_answer)> done) {
              m_site->clock.at(request.deadline, [done = std::move(done)] { done({}); });
          };
    m_site->startAgent(Agent);
    m_site->clock.runFor(absl::Seconds(8));
    predecessor->port = reachable;
    m_site->clock.runFor(absl::Seconds(3));
    const auto calls = countWorkerCalls(predecessor.get());
    m_site->clock.runFor(absl::Seconds(30));
    EXPECT_EQ(*calls, 0U) << m_site->decisionsAbout(id);
    EXPECT_EQ(occurrences(m_site->decisionsAbout(Agent), "superseded"), 1U);
    EXPECT_EQ(m_site->history.starts, 1U) << "the run goes on under the successor";
    EXPECT_EQ(m_site->history.done, 1U);
}

// Guards against an agent that never works again after the store has carried out, late and with a
// higher epoch, the session of a killed process whose time of day was ahead.
TEST_F(batch_successor_test, agentWorksAfterALateSessionOfAKilledProcess)
{
    start();
    m_site->store.faults[Agent].executeLate = 1.0;
    m_site->datagramLoss = 1.0;
    m_site->wallSkew[Agent] = absl::Seconds(2);
    replaceAgent();
    m_site->clock.runFor(absl::Milliseconds(100));
    m_site->store.faults[Agent].executeLate = 0.0;
    m_site->datagramLoss = 0.0;
    m_site->wallSkew[Agent] = absl::ZeroDuration();
    replaceAgent();
    m_site->clock.runFor(absl::Milliseconds(500));
    const std::string id = submitAndRun();
    m_site->clock.runFor(absl::Seconds(8));
    EXPECT_EQ(occurrences(m_site->decisionsAbout(Agent), "superseded"), 1U);
    m_site->clock.runFor(absl::Seconds(25));
    EXPECT_EQ(m_site->history.starts, 1U) << m_site->decisionsAbout(id);
    EXPECT_EQ(m_site->history.done, 1U);
}

// Guards against two processes of one agent that fence each other in turn.
TEST_F(batch_successor_test, oneOfTwoProcessesPrevails)
{
    start();
    m_site->endSupersededAgents = false;
    std::vector<std::shared_ptr<batch_site::agent_process>> processes {m_site->agents.at(Agent)};
    for (const int skewSeconds : {2, -2, 0}) {
        m_site->wallSkew[Agent] = absl::Seconds(skewSeconds);
        m_site->startAgent(Agent);
        processes.push_back(m_site->agents.at(Agent));
    }
    m_site->clock.runFor(absl::Seconds(20));
    const auto remaining = std::count_if(processes.begin(), processes.end(), [](const auto &one) {
        return !one->node->isSuperseded();
    });
    EXPECT_EQ(remaining, 1);
    EXPECT_LE(occurrences(m_site->decisionsAbout(Agent), absl::StrCat("session recorded ", Agent)),
              processes.size());
    submitAndRun();
}

// Guards against an agent that is evicted because the store refuses its heartbeats, as those of an
// earlier process that started at the same time of day. The clock was stepped back in between.
TEST_F(batch_successor_test, heartbeatsArriveAfterAStartAtTheSameTimeOfDay)
{
    start();
    m_site->fixedIncarnation = 1'000;
    replaceAgent();
    m_site->clock.runFor(absl::Seconds(30));
    replaceAgent();
    m_site->clock.runFor(absl::Seconds(2));
    const std::string id = submitAndRun();
    m_site->clock.runFor(absl::Seconds(20));
    EXPECT_FALSE(m_site->entries.at("entry-0")->node->state().isEvicted(process_id(Agent)))
        << m_site->decisionsAbout(id);
}

// Guards against two deciders at once. Two entries drew the same epoch, because the first one's
// grant had no answer when the second one took over. The store answered the first one's repetition
// with the offset of the other grant.
TEST_F(batch_successor_test, entriesWithTheSameEpochDoNotBothDecide)
{
    m_site = std::make_unique<batch_site>(1, 2);
    m_site->fixedRandom = 7;
    store_port &port = m_site->entries.at("entry-0")->port;
    const store_port reachable = port;
    port.append = [this](const append_request &request, std::function<void(append_answer)> done) {
        m_site->clock.at(request.deadline, [done = std::move(done)] { done({}); });
    };
    const auto deciding
        = [this](const char *name) { return m_site->entries.at(name)->node->isDeciding(); };
    m_site->clock.runFor(absl::Seconds(1)); // entry-0 holds the partition and sends its grant
    ASSERT_FALSE(deciding("entry-0"));
    port.join = [this](const join_request &request, std::function<void(join_answer)> done) {
        m_site->clock.at(request.deadline, [done = std::move(done)] { done({}); });
    };
    for (int i = 0; i < 300 && !deciding("entry-1"); ++i)
        m_site->clock.runFor(absl::Milliseconds(10));
    ASSERT_TRUE(deciding("entry-1"));
    port.append = reachable.append;
    for (int i = 0; i < 300; ++i) {
        m_site->clock.runFor(absl::Milliseconds(10));
        ASSERT_FALSE(deciding("entry-0") && deciding("entry-1")) << m_site->decisionsAbout("entry");
    }
}

/// The worker of Agent has restarted after its time of day was stepped back, so that its present
/// incarnation has the earlier start.
class batch_reborn_test : public batch_successor_test
{
protected:
    void startWithRebornWorker()
    {
        startWithWorkerOfLaterTime();
        m_site->clock.runFor(absl::Seconds(1));
        restartWithEarlierTime();
        m_site->clock.runFor(absl::Milliseconds(500));
    }

    void startWithWorkerOfLaterTime()
    {
        start();
        worker().wallSkew = absl::Seconds(6);
        worker().restart();
    }

    void restartWithEarlierTime()
    {
        m_earlier = worker().heartbeat();
        worker().wallSkew = absl::ZeroDuration();
        worker().restart();
        ASSERT_LT(worker().description().workerStartMs, m_earlier.worker.workerStartMs);
    }

    fake_item_worker &worker() { return *m_site->workers.at(Agent); }

    worker_heartbeat m_earlier;
};

// Guards against two runs of one item on a worker that has restarted with an earlier time of day.
// Its agent took its heartbeats for delayed ones, sent it an order for the incarnation before, and
// then announced it, which ended that run for the decider.
TEST_F(batch_reborn_test, orderForTheIncarnationBeforeIsStopped)
{
    startWithWorkerOfLaterTime();
    m_site->clock.runFor(absl::Seconds(4));
    // The order is sent to one incarnation and reaches the next one.
    worker().faults.startTransit = absl::Milliseconds(600);
    const std::string id = batch_site::idOf(1);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
    m_site->clock.runFor(absl::Milliseconds(50));
    restartWithEarlierTime();
    m_site->clock.runFor(absl::Milliseconds(600));
    worker().faults.startTransit = absl::ZeroDuration();
    m_site->clock.runFor(absl::Seconds(40));
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << m_site->decisionsAbout(id);
    EXPECT_EQ(m_site->history.starts, 2U) << "one for each incarnation";
    EXPECT_EQ(m_site->history.done, 1U) << m_site->decisionsAbout(id);
}

// Guards against work that is thrown away, as an order for the incarnation before runs on such a
// worker until its agent learns of the restart.
TEST_F(batch_reborn_test, orderForTheIncarnationBeforeIsNotSent)
{
    startWithRebornWorker();
    const std::string id = batch_site::idOf(1);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
    m_site->clock.runFor(absl::Seconds(40));
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << m_site->decisionsAbout(id);
    EXPECT_EQ(m_site->history.starts, 1U) << m_site->decisionsAbout(id);
    EXPECT_EQ(m_site->history.done, 1U) << m_site->decisionsAbout(id);
}

// Guards against a worker that gets no orders for its present incarnation because its heartbeats
// are taken for delayed ones.
TEST_F(batch_reborn_test, idleWorkerIsAnnounced)
{
    startWithRebornWorker();
    m_site->clock.runFor(absl::Seconds(4));
    const auto &agents = m_site->entries.at("entry-0")->node->state().agents();
    EXPECT_EQ(agents.at(process_id(Agent)).worker.workerStartMs,
              m_site->workers.at(Agent)->description().workerStartMs);
    submitAndRun();
    EXPECT_EQ(m_site->history.starts, 1U);
    EXPECT_THAT(m_site->history.breaches, IsEmpty());
}

// Guards against a run that is stopped, and whose end is never recorded, when a delayed heartbeat
// of an earlier incarnation with a later start arrives.
TEST_F(batch_reborn_test, delayedHeartbeatEndsNoRun)
{
    startWithRebornWorker();
    m_site->clock.runFor(absl::Seconds(4));
    const std::string id = submitAndRun();
    m_site->agents.at(Agent)->node->onHeartbeat(m_earlier);
    m_site->clock.runFor(absl::Seconds(40));
    EXPECT_EQ(m_site->history.starts, 1U) << m_site->decisionsAbout(id);
    EXPECT_EQ(m_site->history.done, 1U);
}

// Guards against two processes of one agent that share an epoch: the store answers the session of
// the second one as if it repeated that of the first one, and stores nothing.
TEST(batch_session_test, processesWithTheSameClockHaveDifferentEpochs)
{
    virtual_clock clock;
    fake_store store(&clock);
    const loop_hooks hooks {[&] { return clock.now(); },
                            [] { return absl::FromUnixSeconds(1'000); }, [] { return 7; }};
    item_worker_port worker;
    std::vector<store_port> ports(2, store.portOf("agent", std::make_shared<bool>(true)));
    std::vector<std::unique_ptr<batch_agent>> processes;
    for (store_port &port : ports) {
        batch_agent_options options;
        options.agent = process_id("agent");
        options.incarnation = processes.size() + 1;
        processes.push_back(std::make_unique<batch_agent>(options, &port, &worker, hooks));
        for (int i = 0; i < 400; ++i) {
            for (const auto &process : processes)
                process->tick();
            clock.runFor(absl::Milliseconds(5));
        }
    }
    EXPECT_EQ(store.endOf(JournalTopic), 2U) << "each process has recorded its session";
    EXPECT_TRUE(processes[0]->isSuperseded());
    EXPECT_FALSE(processes[1]->isSuperseded());
}

// Guards against two runs of one item while agent processes and incarnations of their workers
// follow one another with a stepped time of day, heartbeats are delayed, and the store carries out
// late or does not answer what they sent.
class batch_succession_test : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(batch_succession_test, noItemRunsTwice)
{
    batch_site site(GetParam(), 4, 3);
    virtual_clock &clock = site.clock;
    for (auto &[name, worker] : site.workers)
        worker->itemTime = absl::Seconds(1 + 6 * clock.uniform());
    clock.runFor(StartTime);
    std::vector<std::string> ids;
    constexpr int FaultSteps = 40;
    for (int i = 0; i < FaultSteps; ++i) {
        ids.push_back(batch_site::idOf(1'000 + static_cast<std::uint64_t>(i)));
        site.submit(absl::StrCat("entry-", clock.random() % 3), ids.back(), "normal",
                    batch_site::stepOf(1 + clock.random() % 4, 1 + clock.random() % 4,
                                       clock.uniform() < 0.4));
        const std::string agent = absl::StrCat("agent-", clock.random() % 4);
        store_faults &storeFaults = site.store.faults[agent];
        storeFaults.executeLate = 0.5;
        storeFaults.loseAnswers = 0.3;
        fake_item_worker &worker = *site.workers.at(agent);
        worker.wallSkew = absl::Seconds(4 * clock.uniform() - 2);
        const worker_heartbeat earlier = worker.heartbeat();
        site.datagramLoss
            = clock.uniform() < 0.5 ? 1.0 : 0.001; // otherwise peers relay the appends
        if (clock.uniform() < 0.5)
            worker.restart();
        else if (clock.uniform() < 0.5)
            worker.faults.unreachable = true;
        clock.runFor(absl::Seconds(2 * clock.uniform()));
        site.kill(agent);
        clock.runFor(absl::Seconds(0.5 * clock.uniform()));
        if (clock.uniform() < 0.5)
            worker.restart();
        worker.faults.unreachable = false;
        if (clock.uniform() < 0.7)
            storeFaults = {};
        site.wallSkew[agent] = absl::Seconds(4 * clock.uniform() - 2);
        if (!site.agents.contains(agent))
            site.startAgent(agent);
        if (clock.uniform() < 0.5) // a delayed heartbeat
            site.agents.at(agent)->node->onHeartbeat(earlier);
        clock.runFor(absl::Seconds(2 * clock.uniform()));
        storeFaults = {};
        site.datagramLoss = 0.001;
    }
    clock.runFor(absl::Seconds(90));
    for (const std::string &breach : site.history.breaches)
        ADD_FAILURE() << breach << "; now " << absl::FormatTime(clock.now()) << "\n"
                      << site.decisionsAbout(breach.substr(0, breach.find(' ')));
    const batch_state &state = site.entries.begin()->second->node->state();
    for (const std::string &id : ids) {
        const job_state *job = state.find(job_id(id));
        if (job == nullptr)
            continue; // its submission was refused
        EXPECT_EQ(job->status(), job_status::Completed) << site.decisionsAbout(id);
    }
    EXPECT_GT(site.history.done, 0U);
}

INSTANTIATE_TEST_SUITE_P(seeds, batch_succession_test, testing::Range<std::uint64_t>(1, 31));

} // namespace
} // namespace hyssoppond::batch
