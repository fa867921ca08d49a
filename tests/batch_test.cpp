/// @file Tests of batch jobs over several processes in virtual time. Each names the failure that it
/// guards against.
#include "batch_site_base.h"

#include "hyssoppond/batch/lease_rule_func.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

using testing::IsEmpty;

/// Time until entries and agents know each other and one entry decides.
constexpr absl::Duration StartTime = absl::Seconds(5);

job_status statusAt(batch_site *site, const std::string &entry, const std::string &id)
{
    const job_state *job = site->entries.at(entry)->node->state().find(job_id(id));
    return job == nullptr ? job_status::Queued : job->status();
}

std::string deciderOf(const batch_site &site)
{
    for (const auto &[name, entry] : site.entries) {
        if (entry->node->isDeciding())
            return name;
    }
    return "";
}

class batch_test : public testing::Test
{
protected:
    /// Starts a site and waits until an entry decides.
    void start(std::uint64_t seed = 1, std::size_t workers = 3)
    {
        m_site = std::make_unique<batch_site>(seed, workers);
        m_site->clock.runFor(StartTime);
        ASSERT_NE(deciderOf(*m_site), "");
    }

    std::unique_ptr<batch_site> m_site;
};

// Guards against a site that accepts a job and never shows its end at one of the entries.
TEST_F(batch_test, jobRunsAndIsShownCompletedAtEveryEntry)
{
    start();
    const std::string id = batch_site::idOf(1);
    const auto reply = m_site->submit("entry-0", id, "normal", batch_site::stepOf(4, 2, true));
    m_site->clock.runFor(absl::Seconds(4));
    EXPECT_EQ(reply->kind, reply_kind::Accepted);
    EXPECT_EQ(statusAt(m_site.get(), "entry-0", id), job_status::Completed);
    EXPECT_EQ(statusAt(m_site.get(), "entry-1", id), job_status::Completed);
    EXPECT_EQ(m_site->history.starts, 4U);
}

// Guards against two jobs with one id when the answer to the first submission was lost.
TEST_F(batch_test, repeatedSubmissionAfterLostAnswerIsOneJob)
{
    start();
    const std::string id = batch_site::idOf(2);
    for (const char *name : {"entry-0", "entry-1"})
        m_site->store.faults[name].loseAnswers = 1.0;
    const auto first = m_site->submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
    m_site->clock.runFor(absl::Seconds(3));
    EXPECT_EQ(first->kind, reply_kind::Unknown);
    const auto second = m_site->submit("entry-1", id, "normal", batch_site::stepOf(1, 1, false));
    for (const char *name : {"entry-0", "entry-1"})
        m_site->store.faults[name].loseAnswers = 0.0;
    m_site->clock.runFor(absl::Seconds(6));
    EXPECT_EQ(second->kind, reply_kind::Accepted);
    EXPECT_EQ(statusAt(m_site.get(), "entry-1", id), job_status::Completed);
    EXPECT_EQ(m_site->history.starts, 1U);
}

// Guards against a job that is recorded although its submission was answered with Refused.
TEST_F(batch_test, refusedSubmissionIsNeverRecorded)
{
    start();
    const std::string id = batch_site::idOf(3);
    for (const char *name : {"entry-0", "entry-1"})
        m_site->store.faults[name].refuse = true;
    const auto reply = m_site->submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
    m_site->clock.runFor(absl::Seconds(3));
    EXPECT_EQ(reply->kind, reply_kind::Refused);
    EXPECT_GT(reply->retryAfter, absl::ZeroDuration());
    for (const char *name : {"entry-0", "entry-1"})
        m_site->store.faults[name].refuse = false;
    m_site->clock.runFor(absl::Seconds(5));
    EXPECT_EQ(m_site->history.starts, 0U);
    EXPECT_EQ(m_site->entries.at("entry-1")->node->state().find(job_id(id)), nullptr);
}

// Guards against runs that continue after their job was cancelled.
TEST_F(batch_test, cancelStopsRunsAndIsAcknowledged)
{
    start();
    const std::string id = batch_site::idOf(4);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(2, 1, false));
    m_site->clock.runFor(absl::Seconds(1));
    const auto reply = m_site->call("entry-1", call_kind::Cancel, "/normal/" + id);
    m_site->clock.runFor(absl::Seconds(1));
    EXPECT_EQ(reply->kind, reply_kind::Cancelled);
    EXPECT_EQ(statusAt(m_site.get(), "entry-0", id), job_status::Cancelled);
    for (const auto &[name, worker] : m_site->workers)
        EXPECT_EQ(worker->running(), 0U) << name;
}

// Guards against NoJob at an entry that has not yet read the record of the submission.
TEST_F(batch_test, statusIsKnownAtAnotherEntryRightAfterAcceptance)
{
    start();
    const std::string id = batch_site::idOf(5);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
    m_site->clock.runFor(absl::Milliseconds(9));
    const auto reply = m_site->call("entry-1", call_kind::Status, "/normal/" + id);
    const auto missing
        = m_site->call("entry-1", call_kind::Status, "/normal/" + batch_site::idOf(6));
    m_site->clock.runFor(absl::Seconds(1));
    EXPECT_EQ(reply->kind, reply_kind::Status);
    EXPECT_EQ(missing->kind, reply_kind::NoJob);
}

// Guards against a read of the store, and so a connection, for each of many calls with unknown ids,
// and against calls among them that are not answered or miss a job accepted just before.
TEST_F(batch_test, manyLookupsShareReadsOfTheStore)
{
    constexpr std::uint64_t Calls = 500;
    start();
    const std::string id = batch_site::idOf(5);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
    m_site->clock.runFor(absl::Milliseconds(9));
    std::size_t reads = 0;
    store_port &port = m_site->entries.at("entry-1")->port;
    const auto read = port.read;
    port.read = [&reads, read](const auto &request, const auto &done) {
        ++reads;
        read(request, done);
    };
    std::vector<std::shared_ptr<job_reply>> missing;
    for (std::uint64_t i = 0; i < Calls; ++i)
        missing.push_back(
            m_site->call("entry-1", call_kind::Status, "/normal/" + batch_site::idOf(1'000 + i)));
    const auto reply = m_site->call("entry-1", call_kind::Status, "/normal/" + id);
    m_site->clock.runFor(absl::Milliseconds(200));
    port.read = read;
    EXPECT_LT(reads, Calls / 4);
    EXPECT_EQ(reply->kind, reply_kind::Status);
    for (const auto &answer : missing)
        EXPECT_EQ(answer->kind, reply_kind::NoJob);
}

// Guards against a restarted agent that stops or repeats the runs of its previous process.
TEST_F(batch_test, restartedAgentAdoptsTheRunsOfItsWorker)
{
    start(1, 1);
    m_site->workers.at("agent-0")->itemTime = absl::Seconds(8);
    const std::string id = batch_site::idOf(7);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(3, 1, false));
    m_site->clock.runFor(absl::Seconds(2));
    m_site->kill("agent-0");
    m_site->clock.runFor(absl::Seconds(3));
    m_site->startAgent("agent-0");
    m_site->clock.runFor(absl::Seconds(10));
    EXPECT_EQ(statusAt(m_site.get(), "entry-0", id), job_status::Completed);
    EXPECT_EQ(m_site->history.starts, 3U);
}

// Guards against a site in which no entry decides after the decider has died.
TEST_F(batch_test, anotherEntryDecidesAfterTheDeciderDied)
{
    start();
    const std::string first = deciderOf(*m_site);
    m_site->kill(first);
    m_site->clock.runFor(absl::Seconds(3));
    const std::string second = deciderOf(*m_site);
    ASSERT_NE(second, "");
    ASSERT_NE(second, first);
    const std::string id = batch_site::idOf(8);
    m_site->submit(second, id, "normal", batch_site::stepOf(1, 1, false));
    m_site->clock.runFor(absl::Seconds(4));
    EXPECT_EQ(statusAt(m_site.get(), second, id), job_status::Completed);
}

// Guards against a pause in which no entry decides (0.9 s each time), and against a needless change
// of the decider, while the partition of a living decider moves to an entry that was started again.
TEST_F(batch_test, decidingGoesOnWhileThePartitionMoves)
{
    start();
    m_site->kill("entry-0");
    m_site->clock.runFor(absl::Seconds(4));
    ASSERT_EQ(deciderOf(*m_site), "entry-1");
    m_site->startEntry("entry-0");
    absl::Duration paused;
    constexpr absl::Duration Sample = absl::Milliseconds(5);
    for (absl::Duration passed; passed < absl::Seconds(5); passed += Sample) {
        m_site->clock.runFor(Sample);
        paused += deciderOf(*m_site).empty() ? Sample : absl::ZeroDuration();
    }
    EXPECT_EQ(deciderOf(*m_site), "entry-1");
    EXPECT_EQ(paused, absl::ZeroDuration());
}

// Guards against urgent jobs that wait longer than allowed while a dead decider is replaced.
TEST_F(batch_test, deadDeciderIsReplacedSoon)
{
    start();
    m_site->kill(deciderOf(*m_site));
    m_site->clock.runFor(absl::Milliseconds(1'700));
    EXPECT_NE(deciderOf(*m_site), "");
}

// Guards against runs that are lost because the store does not answer for some seconds.
TEST_F(batch_test, runsSurviveAnOutageOfTheStore)
{
    start();
    for (auto &[name, worker] : m_site->workers)
        worker->itemTime = absl::Seconds(11);
    const std::string id = batch_site::idOf(9);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(6, 2, false));
    m_site->clock.runFor(absl::Seconds(1));
    for (const char *name : {"agent-0", "agent-1", "agent-2", "entry-0", "entry-1"})
        m_site->store.faults[name].silent = true;
    m_site->clock.runFor(absl::Seconds(9));
    for (auto &[name, fault] : m_site->store.faults)
        fault.silent = false;
    m_site->clock.runFor(absl::Seconds(6));
    EXPECT_EQ(statusAt(m_site.get(), "entry-0", id), job_status::Completed);
    EXPECT_EQ(m_site->history.starts, 6U);
}

// Guards against a second run of an item while an unreachable agent still extends the lease of its
// worker.
TEST_F(batch_test, runsOfASilentAgentAreDeclaredLostAfterItsLastLease)
{
    start(1, 2);
    m_site->workers.at("agent-0")->itemTime = absl::Seconds(40);
    m_site->workers.at("agent-0")->clockRate = 1.0 - WorkerClockError;
    m_site->workers.at("agent-1")->setDraining(0);
    m_site->clock.runFor(absl::Seconds(2));
    const std::string id = batch_site::idOf(10);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(2, 2, false));
    m_site->clock.runFor(absl::Seconds(2));
    ASSERT_EQ(m_site->workers.at("agent-0")->running(), 2U);
    m_site->store.faults["agent-0"].silent = true;
    m_site->datagramLoss = 1.0;
    m_site->workers.at("agent-1")->restart();
    m_site->clock.runFor(absl::Seconds(10));
    EXPECT_EQ(m_site->history.starts, 2U) << "declared lost while the lease may still be extended";
    m_site->clock.runFor(absl::Seconds(12));
    EXPECT_EQ(statusAt(m_site.get(), "entry-0", id), job_status::Completed);
    EXPECT_THAT(m_site->history.breaches, IsEmpty());
}

// Guards against a wait for the end of the last lease that starts again with every new decider. The
// runs of a machine that is gone for good then wait for tens of seconds.
TEST_F(batch_test, newDeciderCountsTheWaitFromTheEviction)
{
    m_site = std::make_unique<batch_site>(1, 2, 3);
    m_site->clock.runFor(StartTime);
    m_site->workers.at("agent-1")->setDraining(0);
    m_site->clock.runFor(absl::Seconds(2));
    const std::string id = batch_site::idOf(40);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(2, 2, false));
    m_site->clock.runFor(absl::Milliseconds(500));
    ASSERT_EQ(m_site->workers.at("agent-0")->running(), 2U);
    m_site->kill("agent-0");
    m_site->workers.at("agent-0")->restart();
    m_site->workers.at("agent-1")->restart();
    constexpr absl::Duration UntilEvicted = absl::Seconds(5);
    m_site->clock.runFor(UntilEvicted);
    m_site->clock.runFor(JournalReadValidity - absl::Seconds(3));
    m_site->kill(deciderOf(*m_site));
    m_site->clock.runFor(absl::Seconds(9));
    EXPECT_EQ(statusAt(m_site.get(), m_site->entries.begin()->first, id), job_status::Completed)
        << m_site->decisionsAbout(id);
    EXPECT_THAT(m_site->history.breaches, IsEmpty());
}

// Guards against an eviction that loses the runs of an agent that returns in time.
TEST_F(batch_test, agentThatReturnsInTimeKeepsItsRuns)
{
    start(1, 2);
    m_site->workers.at("agent-0")->itemTime = absl::Seconds(14);
    m_site->workers.at("agent-1")->itemTime = absl::Seconds(14);
    const std::string id = batch_site::idOf(11);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(4, 4, false));
    m_site->clock.runFor(absl::Seconds(1));
    m_site->store.faults["agent-0"].silent = true;
    m_site->datagramLoss = 1.0;
    m_site->clock.runFor(absl::Seconds(9));
    m_site->store.faults["agent-0"].silent = false;
    m_site->datagramLoss = 0.0;
    m_site->clock.runFor(absl::Seconds(10));
    EXPECT_EQ(statusAt(m_site.get(), "entry-0", id), job_status::Completed);
    EXPECT_EQ(m_site->history.starts, 4U);
}

// Guards against jobs that are lost when all processes and workers lose power at once.
TEST_F(batch_test, jobsAreCompletedAfterEverythingLostPower)
{
    start();
    std::vector<std::string> ids;
    for (std::uint64_t i = 0; i < 5; ++i) {
        ids.push_back(batch_site::idOf(20 + i));
        m_site->submit("entry-0", ids.back(), "normal", batch_site::stepOf(2, 1, false));
    }
    m_site->clock.runFor(absl::Seconds(1));
    for (const char *name : {"agent-0", "agent-1", "agent-2", "entry-0", "entry-1"})
        m_site->kill(name);
    for (auto &[name, worker] : m_site->workers)
        worker->restart();
    m_site->clock.runFor(absl::Seconds(1));
    for (const char *name : {"agent-0", "agent-1", "agent-2"})
        m_site->startAgent(name);
    m_site->startEntry("entry-0");
    m_site->clock.runFor(absl::Seconds(12));
    for (const std::string &id : ids)
        EXPECT_EQ(statusAt(m_site.get(), "entry-0", id), job_status::Completed) << id;
    EXPECT_THAT(m_site->history.breaches, IsEmpty());
}

// Guards against keys that stay valid at an entry that cannot read the configuration.
TEST_F(batch_test, keysAreRefusedWhileTheConfigurationMayBeOutdated)
{
    start();
    m_site->store.faults["entry-0"].silent = true;
    m_site->datagramLoss = 1.0;
    // The long read in flight may still be answered, and confirms the configuration up to then.
    m_site->clock.runFor(absl::Seconds(5) + follower_options().wait);
    const auto reply = m_site->call("entry-0", call_kind::Status, "/normal/" + batch_site::idOf(1));
    EXPECT_EQ(reply->kind, reply_kind::Refused);
}

// Guards against jobs whose ends are shown late, and against machines that are idle, while the
// store does not answer a third of the machines for seconds.
TEST_F(batch_test, agentWithoutTheStoreWorksThroughItsPeers)
{
    start(1, 1);
    m_site->store.faults["agent-0"].silent = true;
    const std::string first = batch_site::idOf(50);
    m_site->submit("entry-0", first, "normal", batch_site::stepOf(1, 1, false));
    m_site->clock.runFor(m_site->workers.at("agent-0")->itemTime + absl::Milliseconds(1'500));
    EXPECT_EQ(statusAt(m_site.get(), "entry-0", first), job_status::Completed)
        << m_site->decisionsAbout(first);
    m_site->clock.runFor(absl::Seconds(6));
    const std::string second = batch_site::idOf(51);
    m_site->submit("entry-0", second, "normal", batch_site::stepOf(1, 1, false));
    m_site->clock.runFor(m_site->workers.at("agent-0")->itemTime + absl::Milliseconds(1'500));
    EXPECT_EQ(statusAt(m_site.get(), "entry-0", second), job_status::Completed)
        << m_site->decisionsAbout(second);
    EXPECT_EQ(m_site->history.starts, 2U);
}

// Guards against callers that wait or get Unknown, although a peer can reach the store, while the
// store does not answer an entry. Such an entry stays in rotation for some seconds.
TEST_F(batch_test, entryWithoutTheStoreAcceptsThroughItsPeers)
{
    start(1, 1);
    for (const bool silent : {true, false}) {
        store_faults &fault = m_site->store.faults["entry-1"];
        fault.silent = silent;
        fault.refuse = !silent;
        const std::string id = batch_site::idOf(silent ? 52 : 53);
        const auto reply = m_site->submit("entry-1", id, "normal", batch_site::stepOf(1, 1, false));
        m_site->clock.runFor(absl::Milliseconds(600));
        EXPECT_EQ(reply->kind, reply_kind::Accepted);
        const auto status = m_site->call("entry-1", call_kind::Status, "/normal/" + id);
        m_site->clock.runFor(absl::Milliseconds(900));
        EXPECT_EQ(status->kind, reply_kind::Status);
    }
}

// Guards against units of lower priority that start on the capacity which is being cleared for an
// urgent gang, so that it has to be cleared repeatedly.
TEST_F(batch_test, clearedCapacityIsReservedForTheUrgentGang)
{
    start(1, 3);
    for (auto &[name, worker] : m_site->workers)
        worker->itemTime = absl::Seconds(6);
    // Items of one accelerator occupy all workers, and further ones wait.
    for (std::uint64_t i = 0; i < 40; ++i)
        m_site->submit("entry-0", batch_site::idOf(100 + i), "normal",
                       batch_site::stepOf(1, 1, false));
    m_site->clock.runFor(absl::Seconds(1));
    const std::string id = batch_site::idOf(99);
    batch_step step = batch_site::stepOf(1, 8, true);
    step.estimateMs = 100; // too short to wait for runs to end by themselves
    m_site->submit("entry-0", id, "urgent", step);
    m_site->clock.runFor(absl::Seconds(1));
    EXPECT_EQ(statusAt(m_site.get(), "entry-0", id), job_status::Running);
    m_site->clock.runFor(absl::Seconds(20));
    EXPECT_LE(m_site->history.starts, 40U + 1U + 8U)
        << "more runs were stopped than one worker holds";
}

// Guards against a stop or a poll that is repeated without a pause while a worker resets every
// connection for some seconds. This caused 10,000 connections.
TEST_F(batch_test, callsToAWorkerThatResetsConnectionsAreSpacedOut)
{
    start(1, 1);
    fake_item_worker &worker = *m_site->workers.at("agent-0");
    worker.itemTime = absl::Seconds(20);
    const std::string id = batch_site::idOf(60);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(4, 1, false));
    m_site->clock.runFor(absl::Seconds(1));
    worker.faults.resets = true;
    m_site->call("entry-0", call_kind::Cancel, "/normal/" + id);
    const std::size_t before = worker.calls;
    m_site->clock.runFor(absl::Seconds(4));
    EXPECT_LE(worker.calls - before, 4U * 5U * 5U) << "5 calls, 5 times a second";
    worker.faults.resets = false;
    m_site->clock.runFor(absl::Seconds(1));
    EXPECT_EQ(worker.running(), 0U);
}

// Guards against a job that is attempted without end because its item always fails.
TEST_F(batch_test, jobFailsAfterAllAttempts)
{
    start();
    for (auto &[name, worker] : m_site->workers)
        worker->faults.failAll = true;
    const std::string id = batch_site::idOf(12);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
    m_site->clock.runFor(absl::Seconds(60));
    EXPECT_EQ(statusAt(m_site.get(), "entry-0", id), job_status::Failed);
    EXPECT_EQ(m_site->history.starts, 3U);
}

// Guards against a submission that is accepted although it can never be carried out.
TEST(batch_check_test, refusesStepsThatDependOnThemselves)
{
    batch_job job;
    job.steps.push_back(batch_site::stepOf(1, 1, false));
    job.steps[0].dependsOn = {0};
    EXPECT_FALSE(checkJob(job).has_value());
    job.steps[0].dependsOn.clear();
    EXPECT_TRUE(checkJob(job).has_value());
    job.steps[0].count = 0;
    EXPECT_FALSE(checkJob(job).has_value());
}

// Guards against a job that takes more memory at every entry than there is, or a record larger than
// the store accepts, which holds up all others of the entry.
TEST(batch_check_test, refusesJobsThatTakeTooMuchMemory)
{
    batch_job job;
    job.steps.push_back(batch_site::stepOf(10'000, 1, false));
    EXPECT_TRUE(checkJob(job).has_value());
    job.repeats = 1'000;
    EXPECT_FALSE(checkJob(job).has_value());
    job.steps[0].gang = true;
    EXPECT_TRUE(checkJob(job).has_value());
    job.steps[0].requiredLabel = std::string(300, 'x');
    EXPECT_FALSE(checkJob(job).has_value());
    job.steps[0].requiredLabel.clear();
    job.steps[0].dataRack = std::string(300, 'x');
    EXPECT_FALSE(checkJob(job).has_value());
    job.steps[0].dataRack.clear();
    job.steps.push_back(batch_site::stepOf(1, 1, false));
    job.steps[1].dependsOn.assign(100, 0);
    EXPECT_FALSE(checkJob(job).has_value());
}

} // namespace
} // namespace hyssoppond::batch
