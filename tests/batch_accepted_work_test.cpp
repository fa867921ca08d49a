/// @file Tests of what a later configuration may change for accepted work. Each names the failure
/// that it guards against.
#include "batch_site_base.h"

#include "hyssoppond/base/checksummed_archive_func.h"

#include <gtest/gtest.h>

#include <limits>

namespace hyssoppond::batch {
namespace {

class batch_accepted_work_test : public testing::Test
{
protected:
    void SetUp() override
    {
        m_site.clock.runFor(absl::Seconds(5));
        for (auto &[name, worker] : m_site.workers)
            worker->itemTime = absl::Seconds(2);
    }

    /// Publishes the configuration after `change`, and waits until it is in force.
    void publish(const std::function<void(site_config *)> &change)
    {
        change(&m_site.config);
        m_site.store.put("op", "config", std::to_string(++m_site.config.version));
        m_site.clock.runFor(absl::Milliseconds(500));
    }

    void removeQueue(const std::string &name = "normal")
    {
        publish([&name](site_config *config) {
            std::erase_if(config->queues, [&name](const auto &one) { return one.name == name; });
        });
    }

    void removeTeams()
    {
        publish([](site_config *config) { config->teams.clear(); });
    }

    /// Submits a job of two steps, of which the second one depends on the first one.
    void submitTwoSteps()
    {
        batch_job job = jobOf(batch_site::stepOf(2, 2, false));
        job.steps.push_back(job.steps.front());
        job.steps.back().dependsOn = {0};
        submit(job);
    }

    static batch_job jobOf(const batch_step &step)
    {
        batch_job job;
        job.payload = "payload";
        job.steps.push_back(step);
        return job;
    }

    void submit(const batch_job &job)
    {
        const auto reply = m_site.call("entry-0", call_kind::Submit, m_path, job);
        m_site.clock.runFor(absl::Seconds(1));
        ASSERT_EQ(reply->kind, reply_kind::Accepted) << reply->message;
    }

    void restartEntries()
    {
        for (const char *name : {"entry-0", "entry-1"})
            m_site.kill(name);
        for (const char *name : {"entry-0", "entry-1"})
            m_site.startEntry(name);
    }

    job_status status() const
    {
        return m_site.entries.at("entry-1")->node->state().find(job_id(m_job))->status();
    }

    void expectCompletesWithin(absl::Duration span)
    {
        m_site.clock.runFor(span);
        EXPECT_EQ(status(), job_status::Completed) << m_site.decisionsAbout(m_job);
        EXPECT_TRUE(m_site.history.breaches.empty());
    }

    /// Answer to a call of a caller with `key`, which arrives at an entry that did not accept the
    /// job.
    reply_kind answerTo(call_kind kind, const std::string &path, const std::string &key)
    {
        job_call request;
        request.kind = kind;
        request.host = "host";
        request.path = path;
        request.key = key;
        if (kind == call_kind::Submit)
            request.job = jobOf(batch_site::stepOf(1, 1, false));
        request.deadline = m_site.clock.now() + absl::Seconds(3);
        reply_kind kindOfReply = reply_kind::Unknown;
        m_site.entries.at("entry-1")->node->handle(
            request, [&kindOfReply](const job_reply &reply) { kindOfReply = reply.kind; });
        m_site.clock.runFor(absl::Milliseconds(500));
        return kindOfReply;
    }

    const std::string m_job = batch_site::idOf(1);
    const std::string m_path = "/normal/" + m_job;
    batch_site m_site {1};
};

// Guards against a job that stands still for ever, because its queue was removed between two steps.
TEST_F(batch_accepted_work_test, jobGoesOnWhenItsQueueIsRemovedBetweenTwoSteps)
{
    submitTwoSteps();
    removeQueue();
    expectCompletesWithin(absl::Seconds(5));
}

// Guards against policies that are known only to processes that saw the earlier configuration.
TEST_F(batch_accepted_work_test, jobOfARemovedQueueGoesOnAfterAllEntriesStartAgain)
{
    submitTwoSteps();
    removeQueue();
    restartEntries();
    expectCompletesWithin(absl::Seconds(9));
}

// Guards against items of a removed queue that are not started again after their worker restarted.
TEST_F(batch_accepted_work_test, runningItemsOfARemovedQueueAreStartedAgain)
{
    submit(jobOf(batch_site::stepOf(3, 8, false)));
    removeQueue();
    m_site.workers.at("agent-0")->restart();
    expectCompletesWithin(absl::Seconds(7));
}

// Guards against jobs that waited for capacity when their queue was removed, and are never started.
TEST_F(batch_accepted_work_test, waitingJobOfARemovedQueueIsStarted)
{
    submit(jobOf(batch_site::stepOf(9, 8, false)));
    removeQueue();
    expectCompletesWithin(absl::Seconds(10));
}

// Guards against occurrences that fall due after their queue was removed, and are never started.
TEST_F(batch_accepted_work_test, laterOccurrencesOfARemovedQueueAreStarted)
{
    batch_job job = jobOf(batch_site::stepOf(1, 1, false));
    job.repeats = 3;
    job.firstRunMs = absl::ToUnixMillis(m_site.clock.now() + absl::Seconds(3));
    job.intervalMs = 3'000;
    submit(job);
    removeQueue();
    restartEntries();
    expectCompletesWithin(absl::Seconds(14));
}

// Guards against jobs of removed queues that use attempts without end.
TEST_F(batch_accepted_work_test, jobOfARemovedQueueFailsWhenItsAttemptsAreUsed)
{
    for (auto &[name, worker] : m_site.workers)
        worker->faults.failAll = true;
    submit(jobOf(batch_site::stepOf(1, 1, false)));
    removeQueue();
    m_site.clock.runFor(absl::Seconds(30));
    EXPECT_EQ(status(), job_status::Failed) << m_site.decisionsAbout(m_job);
}

// Guards against calls that a removed queue still answers with success: the operator's change
// counts for callers although the work that was accepted goes on.
TEST_F(batch_accepted_work_test, callsToARemovedQueueAreAnsweredAsToNone)
{
    submitTwoSteps();
    removeQueue();
    for (const std::string &path :
         {m_path, "/normal/" + batch_site::idOf(2), std::string("/normal/")}) {
        for (const call_kind kind : {call_kind::Submit, call_kind::Status, call_kind::Cancel})
            EXPECT_EQ(answerTo(kind, path, "key"), reply_kind::NoQueue) << path;
    }
    expectCompletesWithin(absl::Seconds(5));
}

// Guards against jobs that end with their team, and against keys that outlive it.
TEST_F(batch_accepted_work_test, jobGoesOnWithoutItsTeamWhoseKeysAreRefused)
{
    submitTwoSteps();
    removeTeams();
    EXPECT_EQ(answerTo(call_kind::Cancel, m_path, "key"), reply_kind::Unauthorized);
    removeQueue();
    EXPECT_EQ(answerTo(call_kind::Status, m_path, "key"), reply_kind::NoQueue);
    expectCompletesWithin(absl::Seconds(5));
}

// Guards against limits and guarantees that are frozen at the acceptance while the queue is still
// configured: an operator must be able to end the retries of accepted work.
TEST_F(batch_accepted_work_test, lowerLimitOfAConfiguredQueueTakesEffectForAcceptedWork)
{
    for (auto &[name, worker] : m_site.workers)
        worker->faults.failAll = true;
    submit(jobOf(batch_site::stepOf(1, 1, false)));
    publish([](site_config *config) {
        for (queue_policy &queue : config->queues)
            queue.maxAttempts = 1;
        config->teams.front().guaranteedAccelerators = 0;
    });
    m_site.clock.runFor(absl::Seconds(3));
    EXPECT_EQ(status(), job_status::Failed) << m_site.decisionsAbout(m_job);
    EXPECT_EQ(m_site.history.starts, 1U);
}

// Guards against jobs that their team cannot cancel any more, as their queue became public, and
// against jobs of public queues that nobody can cancel, as their queue became private.
TEST_F(batch_accepted_work_test, teamKeepsItsJobsWhenAQueueBecomesPublicOrPrivate)
{
    publish([](site_config *config) { config->queues[0].isPublic = true; });
    const std::string openPath = "/urgent/" + batch_site::idOf(2);
    EXPECT_EQ(answerTo(call_kind::Submit, openPath, ""), reply_kind::Accepted);
    submitTwoSteps();
    publish([](site_config *config) {
        config->queues[0].isPublic = false;
        config->queues[1].isPublic = true;
    });
    EXPECT_EQ(answerTo(call_kind::Status, openPath, ""), reply_kind::Unauthorized);
    EXPECT_EQ(answerTo(call_kind::Status, openPath, "key"), reply_kind::Status);
    EXPECT_EQ(answerTo(call_kind::Status, m_path, ""), reply_kind::NoJob);
    EXPECT_EQ(answerTo(call_kind::Cancel, m_path, "key"), reply_kind::Cancelled);
}

/// The record before it held the policy of the queue.
struct earlier_submission
{
    batch_job job;
    template<class archive>
    void serialize(archive &ar)
    {
        ar(job);
    }
};

// Guards against jobs that are lost with the upgrade, as their records end before the policy.
TEST_F(batch_accepted_work_test, submissionOfAnEarlierVersionIsDecodedAndRunsWithItsQueue)
{
    batch_job job = jobOf(batch_site::stepOf(1, 1, false));
    job.id = job_id(m_job);
    job.queue = "normal";
    const std::vector<queue_policy> queues = m_site.config.queues;
    removeQueue();
    const std::variant<earlier_submission, job_cancelled> record = earlier_submission {job};
    m_site.store.put(JournalTopic, "j:" + m_job, encodeChecksummed(1, record));
    m_site.clock.runFor(absl::Seconds(4));
    ASSERT_EQ(status(), job_status::Queued);
    publish([&queues](site_config *config) { config->queues = queues; });
    expectCompletesWithin(absl::Seconds(4));
}

// Guards against numbers in a record that no configuration has, with which sums overflow.
TEST(accepted_policy_test, policyOutOfRangeIsRefused)
{
    const auto isAccepted = [](const std::function<void(queue_policy *)> &change) {
        batch_job job;
        job.id = job_id(batch_site::idOf(1));
        job.steps.push_back(batch_site::stepOf(1, 1, false));
        queue_policy policy = batch_site::queueOf("normal", 1);
        change(&policy);
        const result<batch_record> decoded
            = decodeRecord(encodeRecord(job_submitted {job, policy}));
        return decoded && checkRecord(*decoded);
    };
    EXPECT_TRUE(isAccepted([](queue_policy *) {}));
    EXPECT_FALSE(isAccepted([](queue_policy *policy) { policy->priority = -1; }));
    EXPECT_FALSE(isAccepted([](queue_policy *policy) { policy->stretch = 0; }));
    EXPECT_FALSE(isAccepted(
        [](queue_policy *policy) { policy->stretch = std::numeric_limits<double>::quiet_NaN(); }));
    EXPECT_FALSE(isAccepted([](queue_policy *policy) {
        policy->latencyGoalMs = std::numeric_limits<std::int64_t>::max();
    }));
}

} // namespace
} // namespace hyssoppond::batch
