/// @file Tests of what callers are shown of jobs that were ordered to run and may not have begun.
/// Each names the failure that it guards against.
#include "batch_site_base.h"

#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

/// What an entry shows may be older than it by this time.
constexpr absl::Duration ShownWithin = absl::Seconds(2);

class batch_begun_job_test : public testing::Test
{
protected:
    void startSite(std::size_t workers)
    {
        m_site = std::make_unique<batch_site>(1, workers);
        m_site->clock.runFor(absl::Seconds(5));
        for (auto &[name, worker] : m_site->workers)
            worker->itemTime = absl::Seconds(60);
    }

    void submit(std::uint64_t firstId, std::size_t jobs, std::uint32_t items = 1)
    {
        for (std::size_t i = 0; i < jobs; ++i)
            m_site->submit("entry-0", batch_site::idOf(firstId + i), "normal",
                           batch_site::stepOf(items, 1, false));
        m_site->clock.runFor(absl::Milliseconds(200));
    }

    /// As submit(), and waits until all entries have read of the jobs.
    void submitAndWait(std::uint64_t firstId, std::size_t jobs)
    {
        submit(firstId, jobs);
        m_site->clock.runFor(absl::Seconds(1));
    }

    /// Runs the site for `span`, in which each entry has to give `pending` jobs at all times.
    void expectPendingFor(absl::Duration span, std::size_t pending)
    {
        for (const absl::Time end = m_site->clock.now() + span; m_site->clock.now() < end;) {
            m_site->clock.runFor(absl::Milliseconds(20));
            for (const auto &[name, entry] : m_site->entries)
                ASSERT_EQ(entry->node->state().pendingJobs("normal"), pending)
                    << name << "\n"
                    << m_site->decisionsAbout(batch_site::idOf(1));
        }
    }

    void expectStatus(std::uint64_t id, job_status status)
    {
        for (const auto &[name, entry] : m_site->entries)
            EXPECT_EQ(entry->node->state().find(job_id(batch_site::idOf(id)))->status(), status)
                << name;
    }

    void restartEntries()
    {
        for (const char *name : {"entry-0", "entry-1"})
            m_site->kill(name);
        for (const char *name : {"entry-0", "entry-1"})
            m_site->startEntry(name);
        m_site->clock.runFor(absl::Seconds(4));
    }

    std::size_t recordsWithPrefix(const std::string &prefix)
    {
        const auto &records = m_site->store.recordsOf(JournalTopic);
        return static_cast<std::size_t>(
            std::count_if(records.begin(), records.end(), [&](const stored_record &record) {
                return record.key.starts_with(prefix);
            }));
    }

    std::unique_ptr<batch_site> m_site;
};

// Guards against jobs that leave the pending count when they are ordered, although the worker
// refuses every start.
TEST_F(batch_begun_job_test, refusedOrdersAreNotStarts)
{
    startSite(1);
    m_site->workers.at("agent-0")->faults.notListening = true;
    submitAndWait(1, 6);
    expectPendingFor(absl::Seconds(8), 6);
    expectStatus(1, job_status::Queued);
    m_site->workers.at("agent-0")->faults.notListening = false;
    m_site->clock.runFor(absl::Seconds(5));
    expectPendingFor(absl::Seconds(1), 0);
    expectStatus(1, job_status::Running);
}

// Guards against the same where orders are neither carried out nor answered.
TEST_F(batch_begun_job_test, unansweredOrdersAreNotStarts)
{
    startSite(1);
    m_site->workers.at("agent-0")->faults.unreachable = true;
    submitAndWait(1, 3);
    expectPendingFor(absl::Seconds(10), 3);
    expectStatus(1, job_status::Queued);
}

// Guards against the same where the machine that the orders went to is gone.
TEST_F(batch_begun_job_test, ordersToALostMachineAreNotStarts)
{
    startSite(1);
    m_site->kill("agent-0");
    m_site->workers.at("agent-0")->faults.unreachable = true;
    submitAndWait(1, 3);
    expectPendingFor(absl::Seconds(20), 3);
    expectStatus(1, job_status::Queued);
}

// Guards against the same where the order is void, as the worker has restarted.
TEST_F(batch_begun_job_test, voidOrdersAreNotStarts)
{
    startSite(1);
    m_site->workers.at("agent-0")->restart();
    m_site->workers.at("agent-0")->faults.unreachable = true;
    submitAndWait(1, 2);
    expectPendingFor(absl::Seconds(6), 2);
}

// Guards against jobs that are shown as begun by a decider that took over from the one that
// ordered them.
TEST_F(batch_begun_job_test, nextDeciderCountsNoOrdersAsStarts)
{
    startSite(1);
    m_site->workers.at("agent-0")->faults.unreachable = true;
    submitAndWait(1, 3);
    restartEntries();
    expectPendingFor(absl::Seconds(5), 3);
}

// Guards against jobs that have begun and are shown as pending for longer than the platform allows.
TEST_F(batch_begun_job_test, startIsShownInTime)
{
    startSite(3);
    submit(1, 5, 3);
    ASSERT_GE(m_site->history.starts, 5U);
    m_site->clock.runFor(ShownWithin - absl::Milliseconds(200));
    expectPendingFor(absl::Seconds(1), 0);
    expectStatus(1, job_status::Running);
    restartEntries();
    expectPendingFor(absl::Seconds(1), 0);
    expectStatus(5, job_status::Running);
}

// Guards against a start that is never shown, because its agent ended before it told.
TEST_F(batch_begun_job_test, startIsShownAfterItsAgentHasRestarted)
{
    startSite(1);
    submit(1, 1);
    ASSERT_EQ(m_site->history.starts, 1U);
    m_site->kill("agent-0");
    m_site->clock.runFor(absl::Milliseconds(300));
    m_site->startAgent("agent-0");
    m_site->clock.runFor(absl::Seconds(4));
    EXPECT_EQ(m_site->workers.at("agent-0")->running(), 1U);
    expectPendingFor(absl::Seconds(1), 0);
}

// Guards against a start that is never shown, because the store lost the agent's record of it.
TEST_F(batch_begun_job_test, startIsShownAlthoughTheStoreLosesAppends)
{
    startSite(1);
    submit(1, 1);
    ASSERT_EQ(m_site->history.starts, 1U);
    m_site->withoutDatagrams = {"agent-0"};
    m_site->store.faults["agent-0"].silentAppendsTo = {JournalTopic};
    m_site->clock.runFor(absl::Seconds(3));
    m_site->store.faults["agent-0"].silentAppendsTo.clear();
    m_site->clock.runFor(absl::Seconds(3));
    expectPendingFor(absl::Seconds(1), 0);
}

// Guards against agents that keep a store busy which does not answer, with ever more records of the
// same start.
TEST_F(batch_begun_job_test, recordIsRepeatedLessAndLessOften)
{
    startSite(1);
    submit(1, 1);
    ASSERT_EQ(m_site->history.starts, 1U);
    m_site->withoutDatagrams = {"agent-0"};
    m_site->store.faults["agent-0"].silentAppendsTo = {JournalTopic};
    std::size_t appends = 0;
    store_port &direct = m_site->agents.at("agent-0")->direct;
    direct.append = [&appends, append = direct.append](const append_request &request, auto done) {
        appends += request.records.front().key.starts_with("b:") ? 1 : 0;
        append(request, done);
    };
    m_site->clock.runFor(absl::Seconds(20));
    EXPECT_GE(appends, 2U);
    EXPECT_LE(appends, 6U);
    m_site->store.faults["agent-0"].silentAppendsTo.clear();
    m_site->clock.runFor(absl::Seconds(9));
    expectPendingFor(absl::Seconds(1), 0);
}

// Guards against a record for each item of a wide job, which the store would have to take.
TEST_F(batch_begun_job_test, wideJobsAddFewRecords)
{
    startSite(3);
    submit(1, 2, 12);
    m_site->clock.runFor(absl::Seconds(5));
    ASSERT_EQ(m_site->history.starts, 24U);
    EXPECT_LE(recordsWithPrefix("b:"), 2U * 3U);
}

// Guards against a job of short items that is shown as pending after its first item has ended.
TEST_F(batch_begun_job_test, endOfAnItemShowsThatItsJobHasBegun)
{
    startSite(1);
    m_site->workers.at("agent-0")->itemTime = absl::Milliseconds(50);
    submit(1, 1, 20);
    m_site->clock.runFor(absl::Milliseconds(600));
    ASSERT_GE(m_site->history.done, 1U);
    for (const auto &[name, entry] : m_site->entries)
        EXPECT_EQ(entry->node->state().pendingJobs("normal"), 0U) << name;
}

} // namespace
} // namespace hyssoppond::batch
