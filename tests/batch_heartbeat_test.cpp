/// @file Tests of what a heartbeat proves about its agent, and when. Each names the failure that it
/// guards against.
#include "batch_site_base.h"

#include "hyssoppond/base/checksummed_archive_func.h"
#include "hyssoppond/batch/heartbeat_ages_base.h"
#include "hyssoppond/batch/lease_rule_func.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

using testing::HasSubstr;
using testing::IsEmpty;
using testing::Not;

/// Time until entries and agents know each other and one entry decides.
constexpr absl::Duration StartTime = absl::Seconds(8);

/// Heartbeat of a process that sent it `sentMs` after its start. It names the heartbeat at
/// `stored`, which was answered at `storedMs`.
agent_heartbeat heartbeatOf(incarnation_number sender, std::int64_t sentMs,
                            std::uint64_t stored = NoHeartbeatStored, std::int64_t storedMs = 0)
{
    agent_heartbeat heartbeat;
    heartbeat.agent = process_id("agent");
    heartbeat.sender = sender;
    heartbeat.sentUs = sentMs * 1'000;
    heartbeat.storedOffset = stored;
    heartbeat.storedUs = storedMs * 1'000;
    return heartbeat;
}

class heartbeat_ages_test : public testing::Test
{
protected:
    /// Bound of the time at which the heartbeat was sent, in ms on the reader's clock; none if it
    /// is not known.
    std::optional<double> boundOf(const agent_heartbeat &heartbeat, std::uint64_t offset)
    {
        const absl::Time bound = m_ages.sentAfter(heartbeat, offset);
        if (bound == absl::InfinitePast())
            return std::nullopt;
        return absl::ToDoubleMilliseconds(bound - absl::UnixEpoch());
    }
    void read(std::int64_t startMs, std::uint64_t end)
    {
        m_ages.noteRead(absl::UnixEpoch() + absl::Milliseconds(startMs), end);
    }

    heartbeat_ages m_ages;
};

// Guards against the time of reading that is taken for the time of sending.
TEST_F(heartbeat_ages_test, heartbeatCountsFromTheLastReadWithoutTheOneThatItNames)
{
    EXPECT_EQ(boundOf(heartbeatOf(1, 0), 7), std::nullopt);
    read(10'000, 7);
    EXPECT_EQ(boundOf(heartbeatOf(1, 0), 7), std::nullopt);
    read(10'800, 8);
    EXPECT_EQ(boundOf(heartbeatOf(1, 1'000, 7, 500), 8), 10'000.0 + 490.0);
    read(11'600, 9);
    // Sent long after the one that it names, and stored late or not.
    EXPECT_EQ(boundOf(heartbeatOf(1, 3'500, 7, 500), 9), 10'000.0 + 2'940.0);
    // The later read proves more.
    EXPECT_EQ(boundOf(heartbeatOf(1, 3'500, 8, 1'200), 10), 10'800.0 + 2'254.0);
    // What was learned of the clock of the process stays true.
    EXPECT_EQ(boundOf(heartbeatOf(1, 4'500, 7, 500), 11), 10'800.0 + 3'234.0);
}

// Guards against bounds that are concluded from the clock of another process, or from a heartbeat
// that names itself, one that is not stored yet, or one that no read tells of.
TEST_F(heartbeat_ages_test, boundNeedsAnEarlierHeartbeatOfTheSameProcess)
{
    read(10'000, 7);
    ASSERT_EQ(boundOf(heartbeatOf(1, 1'000, 7, 500), 8), 10'490.0);
    EXPECT_EQ(boundOf(heartbeatOf(2, 1'000), 9), std::nullopt);
    EXPECT_EQ(boundOf(heartbeatOf(2, 1'000, 10, 500), 10), std::nullopt);
    EXPECT_EQ(boundOf(heartbeatOf(2, 1'000, 99, 500), 11), std::nullopt);
    EXPECT_EQ(boundOf(heartbeatOf(2, 1'000, 6, 500), 12), std::nullopt);
    EXPECT_EQ(boundOf(heartbeatOf(2, 1'000, 9, 1'500), 13), std::nullopt);
    EXPECT_EQ(boundOf(heartbeatOf(2, 2'000, 9, 1'500), 14), 10'490.0);
}

/// The record before it named the heartbeats that were read.
struct earlier_eviction
{
    process_id agent {"agent"};
    bool evicted = true;
    template<class archive>
    void serialize(archive &ar)
    {
        ar(agent, evicted);
    }
};

// Guards against evictions that are not read, and leases that go on after them, because an entry of
// an earlier version recorded them.
TEST(heartbeat_codec_test, evictionOfAnEarlierVersionIsDecoded)
{
    const std::variant<job_submitted, job_cancelled, job_failed, run_ordered, run_stopping,
                       run_ended, process_started, agent_announced, earlier_eviction>
        record = earlier_eviction {};
    const result<batch_record> decoded = decodeRecord(encodeChecksummed(1, record));
    ASSERT_TRUE(decoded);
    const auto *eviction = std::get_if<agent_evicted>(&*decoded);
    ASSERT_NE(eviction, nullptr);
    EXPECT_TRUE(eviction->evicted);
    EXPECT_EQ(eviction->heartbeatsRead, 0U);
}

// Guards against agents that are evicted while the processes of a site are replaced one by one:
// a heartbeat of an earlier version has no times.
TEST(heartbeat_codec_test, heartbeatOfAnEarlierVersionIsDecoded)
{
    struct earlier_heartbeat
    {
        process_id agent {"agent"};
        unix_ms workerStartMs = 5;
        std::vector<std::pair<std::string, std::uint32_t>> stalled {{"x", 1}};
        void serialize(cereal::PortableBinaryOutputArchive &ar)
        {
            ar(agent, workerStartMs, stalled);
        }
    };
    const result<agent_heartbeat> decoded
        = decodeAgentHeartbeat(encodeChecksummed(1, earlier_heartbeat {}));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->workerStartMs, 5);
    EXPECT_EQ(decoded->stalled.size(), 1U);
    EXPECT_EQ(decoded->storedOffset, NoHeartbeatStored);
}

class batch_heartbeat_test : public testing::Test
{
protected:
    void start(std::size_t workers)
    {
        m_site = std::make_unique<batch_site>(1, workers);
        for (auto &[name, worker] : m_site->workers)
            worker->itemTime = absl::Seconds(60);
        m_site->clock.runFor(StartTime);
    }

    void runFor(absl::Duration span) { m_site->clock.runFor(span); }

    /// From now on the heartbeats of `agent` are stored late by `delay`, even if it has ended by
    /// then, and it gets no answer to them.
    void delayHeartbeats(const std::string &agent, absl::Duration delay)
    {
        store_port &port = m_site->agents.at(agent)->port;
        m_append[agent] = port.append;
        port.append = [this, delay, append = port.append](append_request request,
                                                          std::function<void(append_answer)> done) {
            if (request.topic != HeartbeatTopic)
                append(std::move(request), std::move(done));
            else
                m_site->clock.after(delay, [this, value = request.records.front().value] {
                    m_site->store.put(HeartbeatTopic, "", value);
                });
        };
    }

    void delayNoHeartbeats()
    {
        for (const auto &[agent, append] : m_append)
            m_site->agents.at(agent)->port.append = append;
    }

    void submit(std::uint64_t number, std::uint32_t count, bool gang)
    {
        m_site->submit("entry-0", batch_site::idOf(number), "normal",
                       batch_site::stepOf(count, 8, gang));
    }

    /// Orders in the journal, from offset `begin` on, that name `agent`.
    std::size_t ordersTo(const std::string &agent, std::uint64_t begin) const
    {
        const auto &records = m_site->store.recordsOf(JournalTopic);
        std::size_t orders = 0;
        for (std::uint64_t offset = begin; offset < records.size(); ++offset) {
            const result<batch_record> record = decodeRecord(records[offset].value);
            const auto *ordered = record ? std::get_if<run_ordered>(&*record) : nullptr;
            if (ordered == nullptr)
                continue;
            for (const run_member &member : ordered->members)
                orders += member.agent == process_id(agent) ? 1 : 0;
        }
        return orders;
    }

    bool isEvicted(const std::string &agent) const
    {
        return m_site->entries.at("entry-0")->node->state().isEvicted(process_id(agent));
    }

    /// Runs until agent-0 is evicted.
    void runUntilEvicted()
    {
        for (int i = 0; i < 1'000 && !isEvicted("agent-0"); ++i)
            runFor(absl::Milliseconds(10));
        ASSERT_TRUE(isEvicted("agent-0"));
    }

    /// When the runs of agent-0 were declared lost, within `limit` from now; InfiniteFuture if not.
    absl::Time runUntilRunsAreLost(absl::Duration limit)
    {
        const absl::Time until = m_site->clock.now() + limit;
        std::uint64_t offset = m_site->store.endOf(JournalTopic);
        while (m_site->clock.now() < until) {
            runFor(absl::Milliseconds(10));
            const auto &records = m_site->store.recordsOf(JournalTopic);
            for (; offset < records.size(); ++offset) {
                if (records[offset].key.starts_with("l:"))
                    return m_site->clock.now();
            }
        }
        return absl::InfiniteFuture();
    }

    /// Runs until the next heartbeat of agent-0 is stored.
    void runUntilNextHeartbeat()
    {
        const auto &records = m_site->store.recordsOf(HeartbeatTopic);
        std::size_t offset = records.size();
        for (bool stored = false; !stored;) {
            runFor(absl::Milliseconds(1));
            for (; offset < records.size(); ++offset) {
                const result<agent_heartbeat> heartbeat
                    = decodeAgentHeartbeat(records[offset].value);
                stored = stored || (heartbeat && heartbeat->agent == process_id("agent-0"));
            }
        }
    }

    std::unique_ptr<batch_site> m_site;
    std::map<std::string, std::function<void(append_request, std::function<void(append_answer)>)>>
        m_append; ///< of the agents whose heartbeats are late
};

// Guards against an agent that has ended and is taken for living: the store carried out its last
// heartbeats late, and the decider reinstated it as if they had just been sent. The members of a
// gang that were ordered elsewhere then waited for the one that was ordered there.
TEST_F(batch_heartbeat_test, lateHeartbeatsOfAnEndedAgentDoNotReinstateIt)
{
    start(3);
    submit(1, 3, false);
    runFor(absl::Seconds(2));
    ASSERT_EQ(m_site->history.starts, 3U);
    delayHeartbeats("agent-0", absl::Seconds(4));
    runUntilEvicted();
    runFor(absl::Milliseconds(500));
    m_site->kill("agent-0");
    runFor(absl::Seconds(8));
    EXPECT_TRUE(isEvicted("agent-0"));
    EXPECT_THAT(m_site->decisionsAbout("agent-0"), Not(HasSubstr("reinstated")));
}

// Guards against work for an idle agent that has ended, for as long as its late heartbeats are
// read.
TEST_F(batch_heartbeat_test, lateHeartbeatsOfAnEndedAgentGetItNoWork)
{
    start(1);
    delayHeartbeats("agent-0", absl::Seconds(4));
    runFor(absl::Seconds(6));
    m_site->kill("agent-0");
    const std::uint64_t end = m_site->store.endOf(JournalTopic);
    runFor(absl::Milliseconds(3'600));
    submit(1, 1, false);
    runFor(absl::Seconds(3));
    EXPECT_EQ(ordersTo("agent-0", end), 0U) << m_site->decisionsAbout(batch_site::idOf(1));
}

// Guards against runs that are given away while a lease of their agent may be in force: it rests on
// a heartbeat that the decider before had not read when it evicted the agent, and that the new one
// did not count, as it was in its first read.
TEST_F(batch_heartbeat_test, newDeciderCountsTheHeartbeatsSinceTheEviction)
{
    start(2);
    submit(1, 2, false);
    runFor(absl::Seconds(2));
    ASSERT_EQ(m_site->history.starts, 2U);
    delayHeartbeats("agent-0", absl::Hours(1));
    runUntilEvicted();
    m_site->kill("entry-0");
    delayNoHeartbeats();
    runUntilNextHeartbeat();
    m_site->kill("agent-0");
    const absl::Time heartbeatAt = m_site->clock.now();
    const absl::Time lostAt = runUntilRunsAreLost(absl::Seconds(30));
    EXPECT_GE(lostAt, runsLostAt(heartbeatAt, heartbeatAt)) << lostAt
            - heartbeatAt << "\n" << m_site->decisionsAbout(batch_site::idOf(1));
    EXPECT_LT(lostAt, absl::InfiniteFuture());
}

// Guards against the same within the term of one decider that could not read the heartbeats for
// some seconds.
TEST_F(batch_heartbeat_test, deciderCountsTheHeartbeatsThatItReadsAfterAGap)
{
    start(2);
    submit(1, 2, false);
    runFor(absl::Seconds(2));
    ASSERT_EQ(m_site->history.starts, 2U);
    delayHeartbeats("agent-0", absl::Hours(1));
    runUntilEvicted();
    m_site->store.faults["entry-0"].silentReadsOf = HeartbeatTopic;
    m_site->datagramLoss = 1.0;
    runFor(absl::Seconds(1));
    delayNoHeartbeats();
    runUntilNextHeartbeat();
    m_site->kill("agent-0");
    const absl::Time heartbeatAt = m_site->clock.now();
    runFor(absl::Seconds(3));
    m_site->store.faults["entry-0"].silentReadsOf.clear();
    m_site->datagramLoss = 0.0;
    const absl::Time lostAt = runUntilRunsAreLost(absl::Seconds(30));
    EXPECT_GE(lostAt, runsLostAt(heartbeatAt, heartbeatAt)) << lostAt
            - heartbeatAt << "\n" << m_site->decisionsAbout(batch_site::idOf(1));
    EXPECT_LT(lostAt, absl::InfiniteFuture());
}

// Guards against runs of an agent that is lost for good and that wait longer because the decider
// has changed, although no heartbeat has come since the eviction.
TEST_F(batch_heartbeat_test, newDeciderDoesNotCountTheHeartbeatsBeforeTheEviction)
{
    start(2);
    submit(1, 2, false);
    runFor(absl::Seconds(2));
    ASSERT_EQ(m_site->history.starts, 2U);
    m_site->kill("agent-0");
    runUntilEvicted();
    const absl::Time evictedAt = m_site->clock.now();
    m_site->kill("entry-0");
    const absl::Time lostAt = runUntilRunsAreLost(absl::Seconds(30));
    EXPECT_GE(lostAt, leasesOverAt(evictedAt));
    EXPECT_LE(lostAt, leasesOverAt(evictedAt) + absl::Seconds(1))
        << m_site->decisionsAbout(batch_site::idOf(1));
}

// Guards against living agents that stay evicted, or get no work, long after the store was so slow
// that all heartbeats were late.
TEST_F(batch_heartbeat_test, livingAgentsAreBackSoonAfterTheirHeartbeatsWereLate)
{
    start(3);
    submit(1, 3, false);
    runFor(absl::Seconds(2));
    ASSERT_EQ(m_site->history.starts, 3U);
    for (const auto &[name, agent] : m_site->agents)
        delayHeartbeats(name, absl::Seconds(4));
    runFor(absl::Seconds(8));
    EXPECT_TRUE(isEvicted("agent-0"));
    delayNoHeartbeats();
    runFor(absl::Seconds(3));
    for (const auto &[name, agent] : m_site->agents)
        EXPECT_FALSE(isEvicted(name)) << m_site->decisionsAbout(name);
    m_site->call("entry-0", call_kind::Cancel, "/normal/" + batch_site::idOf(1));
    const std::size_t starts = m_site->history.starts;
    submit(2, 3, true);
    runFor(absl::Seconds(2));
    EXPECT_EQ(m_site->history.starts, starts + 3) << m_site->decisionsAbout(batch_site::idOf(2));
    EXPECT_THAT(m_site->history.breaches, IsEmpty());
}

// Guards against agents that live and get no work while the store is slow for all, also from a
// decider that has just taken over.
TEST_F(batch_heartbeat_test, agentsStayUsableWhileTheStoreIsSlowForAll)
{
    constexpr std::uint32_t Workers = 6;
    start(Workers);
    for (const auto &[name, entry] : m_site->entries)
        m_site->store.faults[name].answerDelay = absl::Milliseconds(300);
    for (const auto &[name, agent] : m_site->agents)
        m_site->store.faults[name].answerDelay = absl::Milliseconds(300);
    for (auto &[name, worker] : m_site->workers)
        worker->itemTime = absl::Milliseconds(1'500);
    runFor(absl::Seconds(8));
    std::uint32_t submitted = 0;
    for (std::uint64_t round = 1; round <= 8; ++round) {
        if (round == 5)
            m_site->kill("entry-0");
        if (round == 6)
            m_site->startEntry("entry-0");
        m_site->submit("entry-1", batch_site::idOf(round), "normal",
                       batch_site::stepOf(Workers, 8, true));
        submitted += Workers;
        runFor(absl::Seconds(8));
        EXPECT_EQ(m_site->history.starts, submitted)
            << round << "\n"
            << m_site->decisionsAbout(batch_site::idOf(round));
    }
    EXPECT_THAT(m_site->history.breaches, IsEmpty());
}

} // namespace
} // namespace hyssoppond::batch
