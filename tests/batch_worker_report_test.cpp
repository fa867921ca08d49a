/// @file Tests of an agent whose worker leaves, is replaced or is named by odd reports. Each names
/// the failure that it guards against.
#include "batch_site_base.h"

#include "hyssoppond/batch/lease_rule_func.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

using testing::IsEmpty;

/// Time until entries and agents know each other and one entry decides.
constexpr absl::Duration StartTime = absl::Seconds(5);

/// Time within which the lease of a worker that was told nothing further has expired, with the
/// error of its clock and LeaseSlack.
constexpr absl::Duration LongestLease = absl::Milliseconds(6'700);

class batch_worker_report_test : public testing::Test
{
protected:
    void start(std::size_t workers, double clockRate = 1.0)
    {
        m_site = std::make_unique<batch_site>(1, workers);
        for (auto &[name, worker] : m_site->workers)
            worker->clockRate = clockRate;
        m_site->clock.runFor(StartTime);
    }

    /// Starts an item that runs for `itemTime` and returns the agent that runs it.
    std::string startItem(absl::Duration itemTime)
    {
        for (auto &[name, worker] : m_site->workers)
            worker->itemTime = itemTime;
        m_site->submit("entry-0", m_id, "normal", batch_site::stepOf(1, 1, false));
        m_site->clock.runFor(absl::Seconds(2));
        for (const auto &[name, worker] : m_site->workers) {
            if (worker->running() == 1)
                return name;
        }
        return "";
    }

    batch_agent &agentOf(const std::string &name) { return *m_site->agents.at(name)->node; }
    fake_item_worker &workerOf(const std::string &name) { return *m_site->workers.at(name); }

    job_status status() const
    {
        const job_state *job = m_site->entries.at("entry-0")->node->state().find(job_id(m_id));
        return job == nullptr ? job_status::Queued : job->status();
    }

    std::string decisions() const { return m_site->decisionsAbout(m_id); }

    std::unique_ptr<batch_site> m_site;
    std::string m_id = batch_site::idOf(1);
};

// Guards against a second run of an item while the worker that gave notice still runs it, because
// the answer to the notice was lost or the notice is one of an earlier incarnation.
TEST_F(batch_worker_report_test, noticeOfAWorkerThatRunsOnStartsNoSecondRun)
{
    start(2);
    const std::string agent = startItem(absl::Seconds(20));
    ASSERT_NE(agent, "");
    agentOf(agent).onWorkerLeft(workerOf(agent).description().worker);
    m_site->clock.runFor(absl::Seconds(60));
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << decisions();
    EXPECT_EQ(status(), job_status::Completed) << decisions();
}

// Guards against a second run of an item while a worker that gave notice, and that the agent cannot
// reach any more, still holds a lease.
TEST_F(batch_worker_report_test, noticeOfAnUnreachableWorkerWaitsForItsLease)
{
    start(2, 1.0 - WorkerClockError);
    const std::string agent = startItem(absl::Seconds(20));
    ASSERT_NE(agent, "");
    workerOf(agent).faults.unreachable = true;
    agentOf(agent).onWorkerLeft(workerOf(agent).description().worker);
    m_site->clock.runFor(absl::Seconds(60));
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << decisions();
    EXPECT_EQ(status(), job_status::Completed) << decisions();
}

// Guards against runs that wait for ever for a worker that has left and never answers again.
TEST_F(batch_worker_report_test, runsOfAWorkerThatLeftAreOrderedAgain)
{
    start(2);
    const std::string agent = startItem(absl::Seconds(20));
    ASSERT_NE(agent, "");
    workerOf(agent).restart();
    workerOf(agent).faults.unreachable = true;
    for (auto &[name, worker] : m_site->workers)
        worker->itemTime = absl::Seconds(1);
    agentOf(agent).onWorkerLeft(workerOf(agent).description().worker);
    m_site->clock.runFor(LongestLease + absl::Seconds(2));
    EXPECT_EQ(status(), job_status::Completed) << decisions();
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << decisions();
}

// Guards against runs that lose their work, or wait for the end of a lease, when a worker that
// leaves still answers: the agent stops them before it answers the notice.
TEST_F(batch_worker_report_test, runsOfALeavingWorkerAreStoppedBeforeTheNoticeIsAnswered)
{
    start(2);
    const std::string agent = startItem(absl::Seconds(3));
    ASSERT_NE(agent, "");
    bool answered = false;
    agentOf(agent).onWorkerLeft(workerOf(agent).description().worker, [&] {
        answered = true;
        EXPECT_EQ(workerOf(agent).running(), 0U);
        workerOf(agent).faults.unreachable = true;
    });
    m_site->clock.runFor(absl::Milliseconds(900));
    EXPECT_TRUE(answered) << decisions();
    m_site->clock.runFor(absl::Seconds(4));
    EXPECT_EQ(status(), job_status::Completed) << decisions();
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << decisions();
}

// Guards against a worker that ends without an answer to its notice because its runs did not stop
// in time.
TEST_F(batch_worker_report_test, noticeIsAnsweredWithinASecond)
{
    start(2);
    const std::string agent = startItem(absl::Seconds(20));
    ASSERT_NE(agent, "");
    workerOf(agent).faults.unreachable = true;
    bool answered = false;
    agentOf(agent).onWorkerLeft(workerOf(agent).description().worker, [&] { answered = true; });
    m_site->clock.runFor(absl::Seconds(1));
    EXPECT_TRUE(answered) << decisions();
}

// Guards against a worker that gets no work for ever because of a notice that it did not send.
TEST_F(batch_worker_report_test, workerIsUsedAgainAfterAFalseNotice)
{
    start(1);
    agentOf("agent-0").onWorkerLeft(workerOf("agent-0").description().worker);
    m_site->clock.runFor(absl::Seconds(5));
    EXPECT_EQ(startItem(absl::Seconds(20)), "agent-0") << decisions();
}

// Guards against runs that are lost for ever when the agent dies after the notice of its worker.
TEST_F(batch_worker_report_test, agentThatRestartsAfterTheNoticeLosesNoRun)
{
    start(2);
    const std::string agent = startItem(absl::Seconds(20));
    ASSERT_NE(agent, "");
    agentOf(agent).onWorkerLeft(workerOf(agent).description().worker);
    m_site->kill(agent);
    workerOf(agent).restart();
    workerOf(agent).faults.unreachable = true;
    for (auto &[name, worker] : m_site->workers)
        worker->itemTime = absl::Seconds(1);
    m_site->clock.runFor(absl::Seconds(2));
    m_site->startAgent(agent);
    m_site->clock.runFor(JournalReadValidity + absl::Seconds(12));
    EXPECT_EQ(status(), job_status::Completed) << decisions();
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << decisions();
}

// Guards against runs that are never declared lost because an agent without a usable worker is
// reinstated each time that it is evicted.
TEST_F(batch_worker_report_test, runsOfAnAgentThatFindsNoWorkerAreOrderedAgain)
{
    start(2);
    const std::string agent = startItem(absl::Seconds(20));
    ASSERT_NE(agent, "");
    m_site->kill(agent);
    workerOf(agent).restart();
    workerOf(agent).faults.unreachable = true;
    for (auto &[name, worker] : m_site->workers)
        worker->itemTime = absl::Seconds(1);
    m_site->startAgent(agent);
    m_site->clock.runFor(JournalReadValidity + absl::Seconds(12));
    EXPECT_EQ(status(), job_status::Completed) << decisions();
    EXPECT_THAT(m_site->history.breaches, IsEmpty()) << decisions();
}

} // namespace
} // namespace hyssoppond::batch
