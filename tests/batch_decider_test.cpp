/// @file Tests of which entry decides, and when it must not. Each names the failure that it guards
/// against.
#include "batch_site_base.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

using testing::IsEmpty;

/// Time until entries and agents know each other and one entry decides.
constexpr absl::Duration StartTime = absl::Seconds(5);

class batch_decider_test : public testing::Test
{
protected:
    void start(std::size_t entries, const std::set<std::string> &reserve = {})
    {
        m_site = std::make_unique<batch_site>(1, 3, 0);
        m_site->reserveEntries = reserve;
        for (std::size_t i = 0; i < entries; ++i)
            m_site->startEntry(absl::StrCat("entry-", i));
        m_site->clock.runFor(StartTime);
    }

    std::vector<std::string> deciders() const
    {
        std::vector<std::string> names;
        for (const auto &[name, entry] : m_site->entries) {
            if (entry->node->isDeciding())
                names.push_back(name);
        }
        return names;
    }

    epoch_number epochSeenBy(const std::string &entry) const
    {
        return m_site->entries.at(entry)->node->state().grant().epoch;
    }

    /// Lets the joins of an entry have no answer, or answers them again.
    void loseJoins(const std::string &entry, bool lose)
    {
        store_port &port = m_site->entries.at(entry)->port;
        if (!m_join)
            m_join = port.join;
        if (!lose) {
            port.join = m_join;
            return;
        }
        port.join
            = [this](const join_request &request, const std::function<void(join_answer)> &done) {
                  m_site->clock.at(request.deadline, [done] { done({}); });
              };
    }

    std::unique_ptr<batch_site> m_site;
    std::function<void(join_request, std::function<void(join_answer)>)> m_join;
};

// Guards against deciders that take turns, and order the same run twice, whenever some joins of one
// of them are late: the store moves the partition away and back, although the decider is well.
TEST_F(batch_decider_test, deciderThatIsWellStaysWhileThePartitionMovesAwayAndBack)
{
    start(3);
    ASSERT_THAT(deciders(), testing::ElementsAre("entry-0"));
    const epoch_number epoch = epochSeenBy("entry-2");
    for (int i = 0; i < 4; ++i) {
        loseJoins("entry-0", true);
        m_site->clock.runFor(absl::Milliseconds(1'500));
        loseJoins("entry-0", false);
        m_site->clock.runFor(absl::Milliseconds(1'500));
        EXPECT_THAT(deciders(), testing::ElementsAre("entry-0"));
    }
    EXPECT_EQ(epochSeenBy("entry-2"), epoch);
}

// Guards against a well decider that loses its office because datagrams are lost.
TEST_F(batch_decider_test, deciderStaysWhileDatagramsAreLost)
{
    start(3);
    const epoch_number epoch = epochSeenBy("entry-2");
    m_site->datagramLoss = 0.1;
    loseJoins("entry-0", true);
    m_site->clock.runFor(absl::Seconds(3));
    EXPECT_EQ(epochSeenBy("entry-2"), epoch);
}

// Guards against a site that is left to a decider that stands still.
TEST_F(batch_decider_test, suspendedDeciderIsReplacedSoon)
{
    start(3);
    m_site->suspend("entry-0", absl::Seconds(6), suspended_clock::GoesOn);
    m_site->clock.runFor(absl::Milliseconds(1'900));
    EXPECT_THAT(deciders(), testing::Contains("entry-1"));
    m_site->clock.runFor(absl::Seconds(7));
    EXPECT_EQ(deciders().size(), 1U);
}

// Guards against a pause of the membership's length when the decider leaves in an orderly way.
TEST_F(batch_decider_test, leavingDeciderIsReplacedAtOnce)
{
    start(3);
    m_site->entries.at("entry-0")->node->leave();
    m_site->clock.runFor(absl::Milliseconds(600));
    EXPECT_THAT(deciders(), testing::ElementsAre("entry-1"));
}

// Guards against plans for hundreds of workers that are made by an entry with little processor time
// while another one has more.
TEST_F(batch_decider_test, reserveEntryDecidesOnlyWhileNoOtherOneDoes)
{
    start(2, {"entry-0"});
    EXPECT_THAT(deciders(), testing::ElementsAre("entry-1"));
    m_site->clock.runFor(absl::Seconds(10));
    EXPECT_THAT(deciders(), testing::ElementsAre("entry-1"));
    m_site->kill("entry-1");
    m_site->clock.runFor(absl::Seconds(6));
    EXPECT_THAT(deciders(), testing::ElementsAre("entry-0"));
}

// Guards against a site whose entries all are reserves and of which none decides.
TEST_F(batch_decider_test, oneOfTheReserveEntriesDecides)
{
    start(3, {"entry-0", "entry-1", "entry-2"});
    m_site->clock.runFor(absl::Seconds(3));
    ASSERT_EQ(deciders().size(), 1U);
    const epoch_number epoch = epochSeenBy("entry-2");
    m_site->clock.runFor(absl::Seconds(10));
    EXPECT_EQ(epochSeenBy("entry-2"), epoch);
}

// Guards against a reserve entry that goes on deciding after another one has returned.
TEST_F(batch_decider_test, reserveEntryGivesWayToAnEntryThatReturns)
{
    start(2, {"entry-1"});
    m_site->kill("entry-0");
    m_site->clock.runFor(absl::Seconds(6));
    ASSERT_THAT(deciders(), testing::ElementsAre("entry-1"));
    m_site->startEntry("entry-0");
    m_site->clock.runFor(absl::Seconds(5));
    EXPECT_THAT(deciders(), testing::ElementsAre("entry-0"));
}

// Guards against an eviction that is decided on an old state: the store serves the heartbeats to
// the decider, but not the journal.
TEST_F(batch_decider_test, nothingIsDecidedOnAnOldState)
{
    start(1);
    m_site->submit("entry-0", batch_site::idOf(1), "normal", batch_site::stepOf(3, 8, false));
    for (auto &[name, worker] : m_site->workers)
        worker->itemTime = absl::Seconds(60);
    m_site->clock.runFor(absl::Seconds(1));
    m_site->withoutDatagrams.insert("entry-0");
    m_site->store.faults["entry-0"].silentReadsOf = JournalTopic;
    m_site->clock.runFor(absl::Seconds(4));
    const std::uint64_t end = m_site->store.endOf(JournalTopic);
    m_site->kill("agent-0");
    m_site->clock.runFor(absl::Seconds(8));
    const auto &records = m_site->store.recordsOf(JournalTopic);
    for (std::uint64_t offset = end; offset < records.size(); ++offset)
        EXPECT_FALSE(records[offset].key.starts_with("v:"));
    m_site->store.faults["entry-0"].silentReadsOf.clear();
    m_site->clock.runFor(absl::Seconds(8));
    EXPECT_TRUE(m_site->entries.at("entry-0")->node->state().isEvicted(process_id("agent-0")));
    EXPECT_THAT(m_site->history.breaches, IsEmpty());
}

// Guards against a worker that rests once more for failures of long ago, because the decider loads
// the journal again.
TEST(batch_decider_reload_test, loadOfTheJournalSetsNoQuarantine)
{
    batch_site site(1, 1, 1);
    site.datagramLoss = 1.0;
    site.clock.runFor(absl::Seconds(5));
    fake_item_worker &worker = *site.workers.at("agent-0");
    worker.itemTime = absl::Milliseconds(100);
    worker.faults.failAll = true;
    for (std::uint64_t i = 1; i <= 3; ++i)
        site.submit("entry-0", batch_site::idOf(i), "normal", batch_site::stepOf(1, 1, false));
    site.clock.runFor(absl::Seconds(2));
    for (std::uint64_t i = 1; i <= 3; ++i)
        site.call("entry-0", call_kind::Cancel, "/normal/" + batch_site::idOf(i));
    worker.faults.failAll = false;
    site.clock.runFor(absl::Seconds(60));

    // The records that the decider would have to read next expire.
    site.store.faults["entry-0"].silentReadsOf = JournalTopic;
    site.store.keptRecords = 3;
    for (int i = 0; i < 10; ++i)
        site.store.put(JournalTopic, "none", "");
    site.clock.runFor(absl::Seconds(2));
    site.store.faults["entry-0"].silentReadsOf.clear();
    site.clock.runFor(absl::Seconds(6));
    const std::string decisions = site.decisionsAbout("none");
    ASSERT_NE(decisions.rfind("entry-0: journal loaded"), decisions.find("entry-0: journal loaded"))
        << decisions;

    site.submit("entry-0", batch_site::idOf(4), "normal", batch_site::stepOf(1, 1, false));
    site.clock.runFor(absl::Seconds(2));
    EXPECT_EQ(site.entries.at("entry-0")->node->state().find(job_id(batch_site::idOf(4)))->status(),
              job_status::Completed)
        << site.decisionsAbout(batch_site::idOf(4));
}

} // namespace
} // namespace hyssoppond::batch
