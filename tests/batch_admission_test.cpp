/// @file Tests of the refusal of submissions under overload and of impossible ones.
#include "batch_site_base.h"

#include "hyssoppond/batch/admission_rule_base.h"

#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

/// An entry's view of a service with four workers of 8 accelerators.
class batch_admission_test : public testing::Test
{
protected:
    batch_admission_test()
    {
        m_config.queues = {batch_site::queueOf("urgent", 0), batch_site::queueOf("normal", 1)};
        for (int i = 0; i < 4; ++i)
            announce(absl::StrCat("agent-", i), true);
    }

    void announce(const std::string &agent, bool hasWorker)
    {
        agent_announced announced {process_id(agent), hasWorker, {}};
        announced.worker.service = "service";
        announced.worker.labels = {"a"};
        announced.worker.capacity = {64'000, 262'144, 8};
        m_state.apply(announced, ++m_offset);
        m_rule.onAnnounced(announced);
    }

    static batch_job jobOf(const std::string &id, const std::string &queue, const batch_step &step)
    {
        batch_job job;
        job.id = job_id(id);
        job.queue = queue;
        job.steps.push_back(step);
        job.submittedMs = NowMs;
        return job;
    }

    /// Queues jobs of one whole worker for 2 s each.
    void queueJobs(int count, const std::string &queue)
    {
        for (int i = 0; i < count; ++i)
            m_state.apply(job_submitted {jobOf(absl::StrCat(queue, i), queue,
                                               batch_site::stepOf(1, 8, false))},
                          ++m_offset);
    }

    std::optional<admission_refusal> check(const std::string &queue, const batch_step &step)
    {
        const batch_job job = jobOf("new", queue, step);
        return m_rule.check({&job, &m_state, &m_config, &m_times, m_observedFor, NowMs, m_random});
    }

    static constexpr unix_ms NowMs = 1'000'000;
    site_config m_config;
    batch_state m_state;
    item_time_model m_times;
    admission_rule m_rule;
    absl::Duration m_observedFor = absl::Minutes(1);
    std::uint64_t m_random = 0;
    std::uint64_t m_offset = 0;
};

// A burst on top of a burst: the backlog takes longer than a new job can wait. A job of 2 s is of
// use for 21 s, so it can wait 19 s, and 1.5 times as long are 57 jobs on 4 workers. Guards against
// jobs that are accepted only to expire, and against refusals of jobs that may still be served.
TEST_F(batch_admission_test, jobIsRefusedWhenTheBacklogOutlastsItsUse)
{
    queueJobs(57, "normal");
    EXPECT_FALSE(check("normal", batch_site::stepOf(1, 8, false)));
    queueJobs(70, "normal");
    const auto refused = check("normal", batch_site::stepOf(1, 8, false));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->why, reason::Overloaded);
    EXPECT_GE(refused->retryAfter, absl::Seconds(6));
    // Work of lower priority, and larger work, does not go before it.
    EXPECT_FALSE(check("urgent", batch_site::stepOf(1, 8, false)));
    EXPECT_FALSE(check("normal", batch_site::stepOf(1, 4, false)));
}

// The same overload with many callers. Guards against callers that return all at once.
TEST_F(batch_admission_test, callersAreSpreadOverTime)
{
    queueJobs(70, "normal");
    const auto first = check("normal", batch_site::stepOf(1, 8, false));
    m_random = std::numeric_limits<std::uint64_t>::max();
    const auto last = check("normal", batch_site::stepOf(1, 8, false));
    EXPECT_EQ(last->retryAfter, 2 * first->retryAfter);
}

// Guards against jobs that wait for ever for a worker that does not exist, and against a refusal
// while the workers are not known.
TEST_F(batch_admission_test, impossibleShapesAreRefusedOnceTheWorkersAreKnown)
{
    batch_step otherLabel = batch_site::stepOf(1, 1, false);
    otherLabel.requiredLabel = "b";
    const std::vector<batch_step> impossible {batch_site::stepOf(1, 9, false),
                                              batch_site::stepOf(5, 8, true), otherLabel};
    for (const batch_step &step : impossible) {
        const auto refused = check("normal", step);
        ASSERT_TRUE(refused);
        EXPECT_EQ(refused->why, reason::ImpossibleShape);
    }
    EXPECT_FALSE(check("normal", batch_site::stepOf(4, 8, true)));
    EXPECT_FALSE(check("normal", batch_site::stepOf(5, 8, false)));
    announce("agent-new", false);
    EXPECT_FALSE(check("normal", impossible.front()));
    announce("agent-new", true);
    announce("agent-new", false); // a worker that restarts still counts
    EXPECT_TRUE(check("normal", impossible.front()));
    m_observedFor = absl::Seconds(5);
    EXPECT_FALSE(check("normal", impossible.front()));
}

// A refusal at an entry. Guards against a refused job that is recorded, and against a refusal of a
// job that another entry has accepted.
TEST(batch_admission_site_test, refusedJobIsNotRecorded)
{
    batch_site site(1);
    site.clock.runFor(absl::Seconds(2));
    const std::string known = batch_site::idOf(1);
    const batch_step tooLarge = batch_site::stepOf(1, 9, false);
    site.submit("entry-0", known, "normal", tooLarge);
    site.clock.runFor(absl::Seconds(40));
    const std::string refused = batch_site::idOf(2);
    const auto reply = site.submit("entry-0", refused, "normal", tooLarge);
    const auto repeated = site.submit("entry-1", known, "normal", tooLarge);
    site.clock.runFor(absl::Seconds(3));
    EXPECT_EQ(reply->kind, reply_kind::Refused);
    EXPECT_EQ(reply->why, reason::ImpossibleShape);
    EXPECT_EQ(repeated->kind, reply_kind::Accepted);
    const auto status = site.call("entry-1", call_kind::Status, "/normal/" + refused);
    site.clock.runFor(absl::Seconds(1));
    EXPECT_EQ(status->kind, reply_kind::NoJob);
}

// A store that carries out records late, shortly before the rule applies. Guards against a refusal
// of a job that an earlier attempt records afterwards. The second attempt comes before the entry
// repeats the record through a peer, which it does after 0.3 s.
TEST(batch_admission_site_test, jobThatMayStillBeRecordedIsNotRefused)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        batch_site site(seed);
        site.clock.runFor(absl::Milliseconds(29'900));
        const std::string id = batch_site::idOf(3);
        const batch_step tooLarge = batch_site::stepOf(1, 9, false);
        site.store.faults["entry-0"].executeLate = 1.0;
        site.submit("entry-0", id, "normal", tooLarge);
        site.clock.runFor(absl::Milliseconds(200));
        const auto reply = site.submit("entry-0", id, "normal", tooLarge);
        site.clock.runFor(absl::Seconds(8));
        EXPECT_NE(reply->why, reason::ImpossibleShape) << "seed " << seed;
    }
}

} // namespace
} // namespace hyssoppond::batch
