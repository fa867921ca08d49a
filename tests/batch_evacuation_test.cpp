/// @file Tests of the evacuation of availability zones. Each names the failure that it guards
/// against.
#include "batch_site_base.h"

#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

/// A site of nine workers in three zones, where jobs arrive all the time.
class batch_evacuation_test : public testing::Test
{
protected:
    /// Time after which no item starts in an evacuated zone, as at the sites in service.
    static constexpr absl::Duration EvacuateWithin = absl::Seconds(5);

    void SetUp() override { m_site.clock.runFor(absl::Seconds(5)); }

    void evacuate(const std::string &zone) { m_site.store.put("op", "evacuate/" + zone, "{}"); }
    void endEvacuation(const std::string &zone) { m_site.store.put("op", "evacuate/" + zone, ""); }

    void submitFor(absl::Duration duration)
    {
        const absl::Time until = m_site.clock.now() + duration;
        while (m_site.clock.now() < until) {
            ++m_jobs;
            m_site.submit(m_site.entries.begin()->first, batch_site::idOf(m_jobs), queueOf(m_jobs),
                          batch_site::stepOf(2, 2, m_jobs % 3 == 0));
            m_site.clock.runFor(absl::Milliseconds(100));
        }
    }

    static std::string queueOf(std::uint64_t job) { return job % 2 == 0 ? "urgent" : "normal"; }

    /// Items that run in `zone`.
    std::size_t runningIn(const std::string &zone) const
    {
        std::size_t running = 0;
        for (const auto &[name, worker] : m_site.workers)
            running += worker->description().zone == zone ? worker->running() : 0;
        return running;
    }

    batch_site m_site {7, 9, 3};
    std::uint64_t m_jobs = 0;
};

TEST_F(batch_evacuation_test, nothingStartsInAnEvacuatedZoneAndWorkReturnsAfterwards)
{
    submitFor(absl::Seconds(2));
    ASSERT_GT(runningIn("zone-1"), 0U);
    evacuate("zone-1");
    submitFor(EvacuateWithin);
    EXPECT_EQ(runningIn("zone-1"), 0U);
    EXPECT_GT(runningIn("zone-0"), 0U);
    endEvacuation("zone-1");
    submitFor(absl::Seconds(2));
    EXPECT_GT(runningIn("zone-1"), 0U);
    evacuate("zone-1");
    submitFor(EvacuateWithin);
    EXPECT_EQ(runningIn("zone-1"), 0U);
}

TEST_F(batch_evacuation_test, deciderThatStartsDuringAnEvacuationOrdersNothingThere)
{
    evacuate("zone-2");
    submitFor(EvacuateWithin);
    for (const char *name : {"entry-0", "entry-1", "entry-2"}) {
        m_site.kill(name);
        m_site.startEntry(name);
        submitFor(EvacuateWithin);
        EXPECT_EQ(runningIn("zone-2"), 0U) << name;
    }
    EXPECT_GT(runningIn("zone-0"), 0U);
}

TEST_F(batch_evacuation_test, orderThatIsReadLateStartsNothing)
{
    // The agent is away from the store while its orders and then the evacuation are recorded.
    for (const char *name : {"agent-1", "agent-4", "agent-7"})
        m_site.suspend(name, absl::Seconds(2), suspended_clock::GoesOn);
    submitFor(absl::Milliseconds(900));
    evacuate("zone-1");
    submitFor(absl::Milliseconds(1'000));
    const std::size_t before = runningIn("zone-1");
    submitFor(EvacuateWithin);
    EXPECT_EQ(before, 0U);
    EXPECT_EQ(runningIn("zone-1"), 0U);
    EXPECT_TRUE(m_site.history.breaches.empty());
}

TEST_F(batch_evacuation_test, allZonesAtOnceStopAllStartsAndLoseNoJob)
{
    for (const char *zone : {"zone-0", "zone-1", "zone-2"})
        evacuate(zone);
    m_site.clock.runFor(absl::Seconds(1));
    submitFor(EvacuateWithin);
    const std::size_t starts = m_site.history.starts;
    submitFor(absl::Seconds(2));
    EXPECT_EQ(m_site.history.starts, starts);
    for (const char *zone : {"zone-0", "zone-1", "zone-2"})
        endEvacuation(zone);
    m_site.clock.runFor(absl::Seconds(60));
    for (std::uint64_t job = 1; job <= m_jobs; ++job) {
        const auto reply = m_site.call("entry-0", call_kind::Status,
                                       "/" + queueOf(job) + "/" + batch_site::idOf(job));
        m_site.clock.runFor(absl::Milliseconds(50));
        EXPECT_EQ(reply->status, job_status::Completed) << job;
    }
}

TEST_F(batch_evacuation_test, storeThatIsSilentDuringTheRequestDelaysItOnly)
{
    for (const auto &[name, entry] : m_site.entries)
        m_site.store.faults[name].silent = true;
    evacuate("zone-0");
    submitFor(absl::Seconds(3));
    for (const auto &[name, entry] : m_site.entries)
        m_site.store.faults[name].silent = false;
    submitFor(absl::Seconds(3) + EvacuateWithin);
    EXPECT_EQ(runningIn("zone-0"), 0U);
}

TEST(zone_evacuations_test, readerThatKnowsLessThanTheJournalFollowsTheJournal)
{
    zone_evacuations evacuations;
    evacuations.decode = [](const stored_record &record) {
        return std::optional(zone_request {record.key, !record.value.empty()});
    };
    evacuations.load({{"east", "{}", 3}}, 4);
    // A decider that had read up to offset 9 saw "west" begin and "east" end.
    const std::map<std::string, zone_evacuated> recorded {{"east", {"east", false, 9}},
                                                          {"west", {"west", true, 9}}};
    EXPECT_EQ(evacuations.zones(recorded), std::set<std::string> {"west"});
    EXPECT_TRUE(evacuations.missingRecords(recorded).empty());
    // The records of the operator's topic up to offset 12 are newer than the journal's.
    evacuations.apply({{"west", "", 10}, {"north", "{}", 11}}, 12);
    EXPECT_EQ(evacuations.zones(recorded), (std::set<std::string> {"east", "north"}));
    EXPECT_EQ(evacuations.missingRecords(recorded).size(), 3U);
}

TEST(zone_evacuations_test, loadEndsEvacuationsWhoseKeyIsGone)
{
    zone_evacuations evacuations;
    evacuations.decode = [](const stored_record &record) {
        return std::optional(zone_request {record.key, !record.value.empty()});
    };
    evacuations.load({{"east", "{}", 3}}, 4);
    evacuations.load({}, 8);
    EXPECT_TRUE(evacuations.zones({}).empty());
    const auto missing = evacuations.missingRecords({{"east", {"east", true, 4}}});
    ASSERT_EQ(missing.size(), 1U);
    EXPECT_FALSE(missing.front().evacuated);
}

} // namespace
} // namespace hyssoppond::batch
