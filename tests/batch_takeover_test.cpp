/// @file Tests of what a new decider knows of agents that fell silent before it took over. Each
/// names the failure that it guards against.
#include "batch_site_base.h"

#include "hyssoppond/batch/heartbeat_order_base.h"
#include "hyssoppond/batch/lease_rule_func.h"

#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

/// Longest time from the loss of agents until their items start elsewhere: the last heartbeats tell
/// up to a second later that the agents still lived, and the order has to be read and sent.
const absl::Duration StartsElsewhereWithin
    = EvictAfter + JournalReadValidity + LeaseSlack + absl::Milliseconds(1'100);

class heartbeat_order_test : public testing::Test
{
protected:
    /// Notes the next heartbeat of the store. It was sent at `sentMs`, and names the one at
    /// `stored`, which was answered at `storedMs`.
    void note(const char *agent, std::int64_t sentMs, std::uint64_t stored = NoHeartbeatStored,
              std::int64_t storedMs = 0, incarnation_number sender = 1)
    {
        agent_heartbeat heartbeat;
        heartbeat.agent = process_id(agent);
        heartbeat.sender = sender;
        heartbeat.sentUs = sentMs * 1'000;
        heartbeat.storedOffset = stored;
        heartbeat.storedUs = storedMs * 1'000;
        m_order.note(heartbeat, m_end++);
    }

    /// In ms.
    double silenceOf(const char *agent) const
    {
        return absl::ToDoubleMilliseconds(m_order.provenSilence(process_id(agent)));
    }

    std::uint64_t m_end = 0;
    heartbeat_order m_order;
};

// Guards against a silence that counts from a heartbeat of the witness that may have been stored
// before the agent's, or that trusts the rate of a clock.
TEST_F(heartbeat_order_test, silenceCountsFromTheAnswerToALaterHeartbeat)
{
    note("w", 500);           // 0
    note("a", 70'000);        // 1
    note("w", 1'500, 0, 600); // 2
    EXPECT_EQ(silenceOf("a"), 0.0);
    EXPECT_EQ(silenceOf("b"), 0.0);
    note("w", 2'500, 2, 1'600); // 3
    EXPECT_EQ(silenceOf("a"), 900.0 * 0.98);
    EXPECT_EQ(silenceOf("w"), 0.0);
    note("w", 3'500, 3, 2'600); // 4
    EXPECT_EQ(silenceOf("a"), 1'900.0 * 0.98);
    m_end = 2; // read once more
    note("w", 9'500, 0, 600);
    EXPECT_EQ(silenceOf("a"), 1'900.0 * 0.98);
    m_end = 5;
    note("a", 75'000);
    EXPECT_EQ(silenceOf("a"), 0.0);
}

// Guards against agents that are taken to be silent because the store carried out no heartbeats,
// and against times of different processes that are compared.
TEST_F(heartbeat_order_test, gapOrNewProcessOfTheWitnessProvesNothing)
{
    note("a", 70'000);        // 0
    note("w", 500);           // 1
    note("w", 1'500, 1, 600); // 2
    ASSERT_EQ(silenceOf("a"), 900.0 * 0.98);
    note("w", 9'500, 2, 1'600); // 3
    EXPECT_EQ(silenceOf("a"), 0.0);
    note("w", 10'500, 3, 9'600); // 4
    EXPECT_EQ(silenceOf("a"), 900.0 * 0.98);
    note("w", 500, NoHeartbeatStored, 0, 2); // 5
    EXPECT_EQ(silenceOf("a"), 0.0);
    note("w", 1'500, 9, 600, 2); // 6, names one that is not stored yet
    note("w", std::numeric_limits<std::int64_t>::min() / 1'000, 6, 600, 2);
    EXPECT_EQ(silenceOf("a"), 0.0);
}

class batch_takeover_test : public testing::TestWithParam<std::uint64_t>
{
protected:
    /// Starts a job with one item on each of the workers. It takes `itemTime` on the first two,
    /// which are lost in most tests, and 4 s on the others.
    void start(std::size_t entries, absl::Duration itemTime = absl::Seconds(4))
    {
        m_site = std::make_unique<batch_site>(GetParam(), Workers, entries);
        // The moment of the loss falls at any point of the intervals of heartbeats and joins.
        m_site->clock.runFor(absl::Seconds(6 + m_site->clock.uniform()));
        for (const char *lost : {"agent-0", "agent-1"})
            m_site->workers.at(lost)->itemTime = itemTime;
        for (const char *other : {"agent-2", "agent-3"})
            m_site->workers.at(other)->itemTime = absl::Seconds(4);
        m_site->submit("entry-0", m_job, "urgent", batch_site::stepOf(Workers, 8, false));
        m_site->clock.runFor(absl::Seconds(1));
        ASSERT_EQ(m_site->history.starts, Workers);
    }

    std::string decider() const
    {
        for (const auto &[name, entry] : m_site->entries) {
            if (entry->node->isDeciding())
                return name;
        }
        return "";
    }

    /// The agent is gone for good. Its worker goes on until its lease ends, but reports to nobody.
    void loseAgent(const std::string &name)
    {
        m_site->kill(name);
        m_site->workers.at(name)->faults.unreachable = true;
    }

    void expectStartElsewhereWithin(absl::Duration span)
    {
        const absl::Time lostAt = m_site->clock.now();
        while (m_site->history.starts < Workers + 2 && m_site->clock.now() < lostAt + 2 * span)
            m_site->clock.runFor(absl::Milliseconds(20));
        EXPECT_LE(m_site->clock.now() - lostAt, span) << m_site->decisionsAbout(m_job);
        m_site->clock.runFor(absl::Seconds(10));
        EXPECT_EQ(m_site->history.breaches, std::vector<std::string> {});
    }

    static constexpr std::size_t Workers = 4;
    const std::string m_job = batch_site::idOf(1);
    std::unique_ptr<batch_site> m_site;
};

// Guards against a silence that each decider counts from its own start, so that work of lost agents
// starts again later if the decider is lost with them.
TEST_P(batch_takeover_test, workOfAgentsLostWithTheDeciderStartsElsewhereInTime)
{
    start(2);
    m_site->kill(decider());
    loseAgent("agent-0");
    loseAgent("agent-1");
    expectStartElsewhereWithin(StartsElsewhereWithin);
}

// The same with an entry left that decides only if no other one does.
TEST_P(batch_takeover_test, workStartsElsewhereInTimeWhenAReserveEntryTakesOver)
{
    start(1);
    m_site->reserveEntries.insert("entry-1");
    m_site->startEntry("entry-1");
    m_site->clock.runFor(absl::Seconds(1.5));
    m_site->kill("entry-0");
    loseAgent("agent-0");
    loseAgent("agent-1");
    expectStartElsewhereWithin(StartsElsewhereWithin + absl::Milliseconds(400));
}

// Guards against a wait that starts again with the second change of the decider.
TEST_P(batch_takeover_test, secondChangeOfTheDeciderDoesNotStartTheWaitAgain)
{
    start(3);
    m_site->kill(decider());
    loseAgent("agent-0");
    loseAgent("agent-1");
    const absl::Time lostAt = m_site->clock.now();
    m_site->clock.runFor(absl::Seconds(5));
    m_site->kill(decider());
    expectStartElsewhereWithin(StartsElsewhereWithin - (m_site->clock.now() - lostAt));
}

// Guards against work that a new decider orders from agents which have been gone for long: they
// held no runs, so none was evicted, and the first plan was made before the heartbeats were read.
TEST_P(batch_takeover_test, newDeciderOrdersNothingFromAnAgentThatHasBeenGoneForLong)
{
    start(2);
    m_site->clock.runFor(absl::Seconds(5));
    ASSERT_EQ(m_site->history.done, Workers);
    loseAgent("agent-0");
    m_site->clock.runFor(absl::Seconds(5));
    const std::string lost = decider();
    m_site->kill(lost);
    const std::string left = m_site->entries.begin()->first;
    m_site->submit(left, batch_site::idOf(2), "urgent", batch_site::stepOf(Workers, 8, false));
    const batch_state &state = m_site->entries.at(left)->node->state();
    for (int i = 0; i < 40; ++i) {
        m_site->clock.runFor(absl::Milliseconds(100));
        ASSERT_TRUE(state.runsOn(process_id("agent-0")).empty()) << m_site->decisionsAbout(m_job);
    }
    EXPECT_EQ(m_site->history.starts, 2 * Workers - 1);
}

// Guards against agents that a new decider evicts because the store carried out no heartbeats
// before it took over.
TEST_P(batch_takeover_test, noAgentIsEvictedWhenTheDeciderIsLostInAnOutageOfTheStore)
{
    start(2, absl::Seconds(20));
    const std::string lost = decider();
    for (const auto &[name, worker] : m_site->workers)
        m_site->store.faults[name].silent = true;
    for (const char *entry : {"entry-0", "entry-1"})
        m_site->store.faults[entry].silent = true;
    m_site->clock.runFor(absl::Seconds(7));
    m_site->kill(lost);
    for (auto &[name, faults] : m_site->store.faults)
        faults.silent = false;
    m_site->clock.runFor(absl::Seconds(20));
    EXPECT_EQ(m_site->history.starts, Workers) << m_site->decisionsAbout(m_job);
    for (const auto &[name, entry] : m_site->entries)
        EXPECT_TRUE(entry->node->state().evicted().empty());
}

// Guards against runs that are given away while a lease of an agent that can be reached by its
// worker only is still in force, whatever the decider and its first reads do.
TEST_P(batch_takeover_test, noItemRunsTwiceWhenDecidersChangeAndReadSlowly)
{
    start(3, absl::Seconds(60));
    virtual_clock &clock = m_site->clock;
    for (auto &[name, worker] : m_site->workers)
        worker->clockRate = 1.0 - WorkerClockError * clock.uniform();
    m_site->datagramLoss = 1.0;
    // The agents lose the store, at first for heartbeats or for the journal only.
    for (const char *agent : {"agent-0", "agent-1"}) {
        store_faults &faults = m_site->store.faults[agent];
        if (clock.uniform() < 0.5)
            faults.silentAppendsTo = {HeartbeatTopic};
        else
            faults.silentReadsOf = JournalTopic;
        clock.after(absl::Seconds(3 * clock.uniform()), [&faults] { faults.silent = true; });
    }
    for (int change = 0; change < 2; ++change) {
        const std::string lost = decider();
        if (!lost.empty())
            m_site->kill(lost);
        for (const auto &[name, entry] : m_site->entries) {
            m_site->store.faults[name].answerDelay
                = absl::Milliseconds(4) + absl::Milliseconds(900) * clock.uniform();
        }
        clock.runFor(absl::Seconds(1 + 6 * clock.uniform()));
        if (!lost.empty())
            m_site->startEntry(lost);
    }
    for (const char *entry : {"entry-0", "entry-1", "entry-2"})
        m_site->store.faults[entry].answerDelay = absl::Milliseconds(4);
    clock.runFor(absl::Seconds(25));
    EXPECT_GT(m_site->history.starts, Workers) << m_site->decisionsAbout(m_job);
    EXPECT_EQ(m_site->history.breaches, std::vector<std::string> {});
}

INSTANTIATE_TEST_SUITE_P(seeds, batch_takeover_test, testing::Range<std::uint64_t>(1, 21));

} // namespace
} // namespace hyssoppond::batch
