/// @file Tests of evictions and reinstatements of agents. Each names the failure that it guards
/// against.
#include "batch_site_base.h"

#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

/// All records of the journal in `site`.
std::vector<stored_record> journalOf(batch_site *site)
{
    store_port port = site->store.portOf("reader", std::make_shared<bool>(true));
    std::vector<stored_record> records;
    port.read({JournalTopic, 0, absl::ZeroDuration(), site->clock.now() + absl::Seconds(1), false},
              [&records](read_answer answer) { records = std::move(answer.records); });
    site->clock.runFor(absl::Seconds(1));
    return records;
}

/// Expects that each run that was declared lost in the journal of `site` was on an agent that was
/// evicted at that time.
void expectRunsLostOnlyWhileEvicted(batch_site *site, const std::string &job)
{
    bool evicted = false;
    bool reinstated = false;
    for (const stored_record &stored : journalOf(site)) {
        const result<batch_record> record = decodeRecord(stored.value);
        ASSERT_TRUE(record);
        if (const auto *eviction = std::get_if<agent_evicted>(&*record)) {
            evicted = eviction->evicted;
            reinstated = reinstated || !eviction->evicted;
        }
        const auto *ended = std::get_if<run_ended>(&*record);
        if (ended != nullptr && ended->byDecider) {
            EXPECT_TRUE(evicted) << stored.key << " at offset " << stored.offset << "\n"
                                 << site->decisionsAbout(job);
        }
    }
    EXPECT_TRUE(reinstated) << site->decisionsAbout(job);
}

class batch_eviction_test : public testing::Test
{
protected:
    /// Starts a job of two items on agent-0, which cannot record from then on that the leases have
    /// run out.
    void SetUp() override
    {
        m_site.clock.runFor(absl::Seconds(5));
        m_site.workers.at("agent-1")->setDraining(0);
        m_site.clock.runFor(absl::Seconds(2));
        m_site.workers.at("agent-0")->itemTime = absl::Seconds(60);
        m_site.submit("entry-0", m_job, "normal", batch_site::stepOf(2, 2, false));
        m_site.clock.runFor(absl::Seconds(1));
        ASSERT_EQ(m_site.workers.at("agent-0")->running(), 2U);
        m_site.store.faults["agent-0"].silentAppendsTo = {JournalTopic};
    }

    /// Cuts agent-0 off from the store and from its peers, or restores the way.
    void cutAgent(bool cut)
    {
        m_site.store.faults["agent-0"].silent = cut;
        m_site.datagramLoss = cut ? 1.0 : 0.0;
    }

    void silenceAppendsOfEntries(bool silent)
    {
        for (const char *entry : {"entry-0", "entry-1"})
            m_site.store.faults[entry].silentAppendsTo
                = silent ? std::set<std::string> {JournalTopic} : std::set<std::string> {};
    }

    const std::string m_job = batch_site::idOf(1);
    batch_site m_site {1, 2};
};

// Guards against runs that are declared lost right after their agent was reinstated: the outcome of
// the reinstatement was unknown for 5 s, and the decider went on as if it had not been written.
TEST_F(batch_eviction_test, noRunIsDeclaredLostWhileAReinstatementMayStillBeWritten)
{
    cutAgent(true);
    m_site.clock.runFor(absl::Seconds(13));
    silenceAppendsOfEntries(true);
    cutAgent(false);
    m_site.clock.runFor(absl::Seconds(2));
    cutAgent(true);
    m_site.clock.runFor(absl::Seconds(9));
    silenceAppendsOfEntries(false);
    m_site.clock.runFor(absl::Seconds(2));
    cutAgent(false);
    m_site.clock.runFor(absl::Seconds(8));
    expectRunsLostOnlyWhileEvicted(&m_site, m_job);
}

// Guards against runs that are declared lost after their agent was reinstated: the decider had
// written the reinstatement but not yet read it, and the agent's heartbeats failed again.
TEST_F(batch_eviction_test, noRunIsDeclaredLostBeforeTheReinstatementIsRead)
{
    cutAgent(true);
    m_site.clock.runFor(absl::Seconds(10));
    m_site.store.faults["entry-0"].silentReadsOf = JournalTopic;
    m_site.clock.runFor(absl::Seconds(3));
    m_site.store.faults["agent-0"].silent = false;
    m_site.clock.runFor(absl::Seconds(2));
    m_site.store.faults["agent-0"].silentAppendsTo = {JournalTopic, HeartbeatTopic};
    m_site.clock.runFor(absl::Seconds(7));
    m_site.store.faults["entry-0"].silentReadsOf.clear();
    m_site.store.faults["agent-0"].silentAppendsTo.clear();
    cutAgent(false);
    m_site.clock.runFor(absl::Seconds(8));
    expectRunsLostOnlyWhileEvicted(&m_site, m_job);
}

} // namespace
} // namespace hyssoppond::batch
