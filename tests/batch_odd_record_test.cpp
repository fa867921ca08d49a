/// @file Tests of a site whose journal or peers hold what another writer left there. Each names the
/// failure that it guards against.
#include "batch_site_base.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <limits>

namespace hyssoppond::batch {
namespace {

/// Time until entries and agents know each other and one entry decides.
constexpr absl::Duration StartTime = absl::Seconds(5);

/// Time in which a short job of an idle site ends.
constexpr absl::Duration JobTime = absl::Seconds(5);

class batch_odd_record_test : public testing::Test
{
protected:
    void SetUp() override { m_site.clock.runFor(StartTime); }

    void put(const batch_record &record)
    {
        m_site.store.put(JournalTopic, keyOf(record), encodeRecord(record));
    }

    /// Submits a job to `entry` and returns what the entry shows after JobTime.
    job_status runJob(const std::string &entry, const std::string &id)
    {
        m_site.submit(entry, id, "normal", batch_site::stepOf(2, 1, true));
        m_site.clock.runFor(JobTime);
        return statusOf(entry, id);
    }

    job_status statusOf(const std::string &entry, const std::string &id) const
    {
        const job_state *job = m_site.entries.at(entry)->node->state().find(job_id(id));
        return job == nullptr ? job_status::Queued : job->status();
    }

    /// Ends both entries and starts them again, so that they load the journal.
    void restartEntries()
    {
        for (const char *name : {"entry-0", "entry-1"}) {
            m_site.kill(name);
            m_site.startEntry(name);
        }
        m_site.clock.runFor(StartTime);
    }

    std::uint64_t relayedCalls() const
    {
        std::uint64_t calls = 0;
        for (const auto &[name, entry] : m_site.entries)
            calls += entry->relay->relayedCalls();
        for (const auto &[name, agent] : m_site.agents)
            calls += agent->relay->relayedCalls();
        return calls;
    }

    batch_site m_site {1};
};

batch_job usualJob(const std::string &id)
{
    batch_job job;
    job.id = job_id(id);
    job.queue = "normal";
    job.team = team_id("team");
    job.steps = {batch_site::stepOf(1, 1, false)};
    return job;
}

// Guards against entries that end, and end again whenever they start, because a record names more
// items than fit into memory or a step that does not exist.
TEST_F(batch_odd_record_test, submissionBeyondTheLimitsIsIgnored)
{
    constexpr std::uint32_t MaxCount = std::numeric_limits<std::uint32_t>::max();
    constexpr std::int64_t MaxNumber = std::numeric_limits<std::int64_t>::max();
    std::vector<batch_job> jobs;
    for (std::uint64_t i = 0; i < 6; ++i)
        jobs.push_back(usualJob(batch_site::idOf(100 + i)));
    jobs[0].steps[0].count = MaxCount;
    jobs[1].repeats = MaxCount;
    jobs[2].steps[0].dependsOn = {MaxCount};
    jobs[3].steps[0].item = {MaxNumber, MaxNumber, MaxNumber};
    jobs[4].repeats = 2;
    jobs[4].firstRunMs = MaxNumber;
    jobs[4].intervalMs = MaxNumber;
    jobs[5].submittedMs = std::numeric_limits<std::int64_t>::min();
    for (const batch_job &job : jobs)
        put(job_submitted {job});
    EXPECT_EQ(runJob("entry-0", batch_site::idOf(1)), job_status::Completed);
    restartEntries();
    EXPECT_EQ(runJob("entry-1", batch_site::idOf(2)), job_status::Completed);
    for (const batch_job &job : jobs) {
        EXPECT_EQ(m_site.entries.at("entry-0")->node->state().find(job.id), nullptr);
        EXPECT_THAT(m_site.decisionsAbout("j:" + job.id.str()),
                    testing::HasSubstr("record ignored j:" + job.id.str()));
    }
}

// Guards against entries of which none decides any more: an epoch after the largest one does not
// exist.
TEST_F(batch_odd_record_test, grantWithTheLargestEpochEndsNoDecider)
{
    put(decider_granted {process_id("odd"), std::numeric_limits<epoch_number>::max()});
    EXPECT_EQ(runJob("entry-0", batch_site::idOf(1)), job_status::Completed);
    restartEntries();
    EXPECT_EQ(runJob("entry-1", batch_site::idOf(2)), job_status::Completed);
}

// Guards against a unit that never runs: an order without members has no end, and a run after the
// largest number does not exist.
TEST_F(batch_odd_record_test, orderThatCannotEndIsIgnored)
{
    const std::string id = batch_site::idOf(1);
    const std::string otherId = batch_site::idOf(2);
    put(job_submitted {usualJob(id)});
    put(job_submitted {usualJob(otherId)});
    run_ordered ordered;
    ordered.unit = {job_id(id), 0, 0, 0};
    ordered.run = 1;
    put(ordered);
    ordered.unit.job = job_id(otherId);
    ordered.run = std::numeric_limits<std::uint32_t>::max();
    ordered.members = {{0, process_id("agent-0"), 1}};
    put(ordered);
    m_site.clock.runFor(JobTime);
    EXPECT_EQ(statusOf("entry-0", id), job_status::Completed) << m_site.decisionsAbout(id);
    EXPECT_EQ(statusOf("entry-0", otherId), job_status::Completed)
        << m_site.decisionsAbout(otherId);
}

// Guards against reads that all go through peers, as if the store did not answer, because one
// message named records that do not exist.
TEST_F(batch_odd_record_test, wakeUpForRecordsThatDoNotExistIsForgotten)
{
    for (auto &[name, entry] : m_site.entries) {
        entry->relay->expectRecords(JournalTopic, std::numeric_limits<std::uint64_t>::max());
        entry->node->onWake();
    }
    for (auto &[name, agent] : m_site.agents) {
        agent->relay->expectRecords(JournalTopic, std::numeric_limits<std::uint64_t>::max());
        agent->node->onWake();
    }
    m_site.clock.runFor(absl::Seconds(5));
    const std::uint64_t calls = relayedCalls();
    m_site.clock.runFor(absl::Seconds(60));
    EXPECT_EQ(relayedCalls(), calls);
    EXPECT_EQ(runJob("entry-0", batch_site::idOf(1)), job_status::Completed);
}

} // namespace
} // namespace hyssoppond::batch
