/// @file Tests of calls about a job whose submission is still being written. Each names the failure
/// that it guards against.
#include "batch_site_base.h"

#include "hyssoppond/base/checksummed_archive_func.h"

#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

/// Time after an acknowledged cancelling within which the job's items are gone.
constexpr absl::Duration CancelWithin = absl::Seconds(4);

class batch_early_cancel_test : public testing::Test
{
protected:
    void SetUp() override
    {
        m_site.config.teams.push_back({team_id("other"), {"other-key"}, 0});
        m_site.clock.runFor(absl::Seconds(5));
        for (auto &[name, worker] : m_site.workers)
            worker->itemTime = absl::Seconds(20);
    }

    /// From now on the store carries out what the entry appends 1 to 6 s later, without an answer.
    void setLateAppends(const std::string &entry, bool areLate)
    {
        m_site.store.faults[entry].executeLate = areLate ? 1.0 : 0.0;
    }

    /// Submits the job to entry-0, which cannot tell for some seconds whether it is recorded.
    void submitLate()
    {
        // Peers do not carry the append out sooner.
        for (const char *entry : {"entry-0", "entry-1"})
            setLateAppends(entry, true);
        m_submission = call("entry-0", call_kind::Submit, "key");
        m_site.clock.runFor(absl::Milliseconds(600));
        for (const char *entry : {"entry-0", "entry-1"})
            setLateAppends(entry, false);
        ASSERT_EQ(m_submission->kind, reply_kind::Unknown);
    }

    std::shared_ptr<job_reply> call(const std::string &entry, call_kind kind,
                                    const std::string &key)
    {
        job_call request;
        request.kind = kind;
        request.host = "host";
        request.path = m_path;
        request.key = key;
        if (kind == call_kind::Submit) {
            request.job.emplace();
            request.job->payload = "payload";
            request.job->steps.push_back(batch_site::stepOf(2, 1, false));
        }
        request.deadline = m_site.clock.now() + absl::Seconds(3);
        auto reply = std::make_shared<job_reply>();
        reply->kind = reply_kind::Unknown;
        m_site.entries.at(entry)->node->handle(request,
                                               [reply](const job_reply &r) { *reply = r; });
        return reply;
    }

    reply_kind answerTo(const std::string &entry, call_kind kind, const std::string &key = "key")
    {
        const auto reply = call(entry, kind, key);
        m_site.clock.runFor(absl::Seconds(3));
        return reply->kind;
    }

    /// Repeats the cancelling until it is acknowledged.
    void cancelAt(const std::string &entry)
    {
        reply_kind kind = reply_kind::Unknown;
        for (int i = 0; i < 20 && kind != reply_kind::Cancelled && kind != reply_kind::NoJob; ++i) {
            const auto reply = call(entry, call_kind::Cancel, "key");
            for (int wait = 0; wait < 30 && reply->kind == reply_kind::Unknown; ++wait)
                m_site.clock.runFor(absl::Milliseconds(100));
            kind = reply->kind;
        }
        ASSERT_TRUE(kind == reply_kind::Cancelled || kind == reply_kind::NoJob);
    }

    /// Checks that no item of the job runs from the end of `CancelWithin` on.
    void expectNeverRuns()
    {
        m_site.clock.runFor(CancelWithin);
        const std::size_t starts = m_site.history.starts;
        for (int i = 0; i < 100; ++i) {
            m_site.clock.runFor(absl::Milliseconds(100));
            for (const auto &[name, worker] : m_site.workers)
                ASSERT_EQ(worker->running(), 0U) << m_site.decisionsAbout(m_job);
        }
        EXPECT_EQ(m_site.history.starts, starts) << m_site.decisionsAbout(m_job);
    }

    void restartEntries()
    {
        for (const char *name : {"entry-0", "entry-1"})
            m_site.kill(name);
        for (const char *name : {"entry-0", "entry-1"})
            m_site.startEntry(name);
        m_site.clock.runFor(absl::Seconds(5));
    }

    bool storeHoldsEarlyCancellation()
    {
        std::string newest;
        for (const stored_record &record : m_site.store.recordsOf(JournalTopic))
            newest = jobOfEarlyCancellation(record.key) == job_id(m_job) ? record.value : newest;
        return !newest.empty();
    }

    const std::string m_job = batch_site::idOf(1);
    const std::string m_path = "/normal/" + m_job;
    std::shared_ptr<job_reply> m_submission;
    batch_site m_site {1};
};

// Guards against a job that runs after its cancelling was answered with "no such job" by the entry
// that was still writing it.
TEST_F(batch_early_cancel_test, jobCancelledAtTheEntryThatWritesItNeverRuns)
{
    submitLate();
    cancelAt("entry-0");
    expectNeverRuns();
}

// Guards against the same where another entry is told to cancel.
TEST_F(batch_early_cancel_test, jobCancelledAtAnotherEntryNeverRuns)
{
    submitLate();
    cancelAt("entry-1");
    expectNeverRuns();
    EXPECT_EQ(m_site.entries.at("entry-0")->node->state().find(job_id(m_job))->status(),
              job_status::Cancelled);
}

// Guards against the same where the entry ends, and the store carries out its append afterwards.
TEST_F(batch_early_cancel_test, jobOfAnEntryThatHasEndedNeverRuns)
{
    submitLate();
    m_site.kill("entry-0");
    cancelAt("entry-1");
    m_site.startEntry("entry-0");
    expectNeverRuns();
}

// Guards against a cancelling that is forgotten when all entries load the journal again.
TEST_F(batch_early_cancel_test, cancellingOutlivesAllEntries)
{
    submitLate();
    m_site.kill("entry-0");
    cancelAt("entry-1");
    restartEntries();
    expectNeverRuns();
}

// Guards against a repetition of the submission that arrives after the cancelling.
TEST_F(batch_early_cancel_test, submissionAfterTheCancellingIsRejected)
{
    EXPECT_EQ(answerTo("entry-1", call_kind::Cancel), reply_kind::NoJob);
    EXPECT_EQ(answerTo("entry-0", call_kind::Submit), reply_kind::Malformed);
    restartEntries();
    EXPECT_EQ(answerTo("entry-1", call_kind::Submit), reply_kind::Malformed);
    EXPECT_EQ(answerTo("entry-1", call_kind::Status), reply_kind::NoJob);
    expectNeverRuns();
}

// Guards against a cancelling that is acknowledged before the store has it.
TEST_F(batch_early_cancel_test, cancellingWithoutAnOutcomeIsNotAcknowledged)
{
    m_site.withoutDatagrams = {"entry-0"};
    setLateAppends("entry-0", true);
    const auto reply = call("entry-0", call_kind::Cancel, "key");
    m_site.clock.runFor(absl::Milliseconds(900));
    EXPECT_TRUE(storeHoldsEarlyCancellation() || reply->kind == reply_kind::Unknown);
    setLateAppends("entry-0", false);
    m_site.clock.runFor(absl::Seconds(8));
    EXPECT_EQ(answerTo("entry-1", call_kind::Submit), reply_kind::Malformed);
}

// Guards against "no such job" from the entry that is recording the job.
TEST_F(batch_early_cancel_test, jobThatIsBeingRecordedIsNotUnknown)
{
    submitLate();
    const auto reply = call("entry-0", call_kind::Status, "key");
    m_site.clock.runFor(absl::Milliseconds(100));
    EXPECT_NE(reply->kind, reply_kind::NoJob);
    m_site.clock.runFor(absl::Seconds(3));
    EXPECT_EQ(answerTo("entry-0", call_kind::Status), reply_kind::Status);
}

// Guards against a repeated submission that is refused as not run while the entry still records the
// first one, because the store is slow to answer.
TEST_F(batch_early_cancel_test, repetitionIsNotRefusedWhileTheFirstOneIsRecorded)
{
    submitLate();
    m_site.clock.runFor(absl::Milliseconds(250)); // the append counts as stalled
    EXPECT_EQ(answerTo("entry-0", call_kind::Submit), reply_kind::Accepted);
}

// Guards against the same while the store answers nothing, so that the repetition is withdrawn and
// then the configuration is outdated.
TEST_F(batch_early_cancel_test, repetitionIsNotRefusedWhileTheStoreIsSilent)
{
    m_site.withoutDatagrams = {"entry-0"};
    m_site.store.faults["entry-0"].silent = true;
    call("entry-0", call_kind::Submit, "key");
    m_site.clock.runFor(absl::Milliseconds(100));
    for (int i = 0; i < 4; ++i) {
        const auto repetition = call("entry-0", call_kind::Submit, "key");
        m_site.clock.runFor(absl::Milliseconds(2'000));
        EXPECT_EQ(repetition->kind, reply_kind::Unknown) << "repetition " << i;
        EXPECT_NE(repetition->message, "") << "repetition " << i;
    }
    m_site.store.faults["entry-0"].silent = false;
    m_site.clock.runFor(absl::Seconds(5));
    EXPECT_EQ(answerTo("entry-1", call_kind::Status), reply_kind::Status);
}

// Guards against a team that cancels jobs of another one before they are submitted.
TEST_F(batch_early_cancel_test, otherTeamsJobIsNotCancelled)
{
    EXPECT_EQ(answerTo("entry-1", call_kind::Cancel, "other-key"), reply_kind::NoJob);
    EXPECT_EQ(answerTo("entry-0", call_kind::Submit), reply_kind::Accepted);
    restartEntries();
    EXPECT_EQ(answerTo("entry-0", call_kind::Status), reply_kind::Status);
    EXPECT_EQ(m_site.entries.at("entry-0")->node->state().find(job_id(m_job))->status(),
              job_status::Running);
    // Its own team can still cancel it, and that is not lost behind the other team's record.
    EXPECT_EQ(answerTo("entry-0", call_kind::Cancel), reply_kind::Cancelled);
    restartEntries();
    expectNeverRuns();
}

// Guards against records of early cancellations that the store keeps for ever.
TEST_F(batch_early_cancel_test, oldCancellationsAreDropped)
{
    m_site.wallSkew = {{"entry-0", -absl::Hours(2)}, {"entry-1", -absl::Hours(2)}};
    restartEntries();
    EXPECT_EQ(answerTo("entry-0", call_kind::Cancel), reply_kind::NoJob);
    EXPECT_TRUE(storeHoldsEarlyCancellation());
    m_site.wallSkew.clear();
    restartEntries();
    m_site.clock.runFor(absl::Minutes(1));
    EXPECT_FALSE(storeHoldsEarlyCancellation());
    for (const auto &[name, entry] : m_site.entries)
        EXPECT_TRUE(entry->node->state().earlyCancellations().at(team_id("team")).empty());
}

// Guards against a job that runs again when the early cancellation that it met is dropped.
TEST_F(batch_early_cancel_test, jobStaysCancelledWhenTheEarlyCancellationIsDropped)
{
    m_site.wallSkew = {{"entry-0", -absl::Hours(2)}, {"entry-1", -absl::Hours(2)}};
    restartEntries();
    submitLate();
    cancelAt("entry-1");
    m_site.clock.runFor(absl::Seconds(10));
    m_site.wallSkew.clear();
    restartEntries();
    m_site.clock.runFor(absl::Minutes(1));
    EXPECT_FALSE(storeHoldsEarlyCancellation());
    restartEntries();
    expectNeverRuns();
    EXPECT_EQ(m_site.entries.at("entry-0")->node->state().find(job_id(m_job))->status(),
              job_status::Cancelled);
}

// Guards against a caller that fills the entries and the store with cancellations of unknown jobs.
TEST_F(batch_early_cancel_test, earlyCancellationsOfATeamAreLimited)
{
    constexpr std::size_t Limit = 2'000;
    std::size_t refused = 0;
    for (std::size_t i = 0; i < Limit + 50; ++i) {
        job_call request;
        request.kind = call_kind::Cancel;
        request.host = "host";
        request.path = "/normal/" + batch_site::idOf(1'000 + i);
        request.key = "other-key";
        request.deadline = m_site.clock.now() + absl::Seconds(3);
        m_site.entries.at("entry-0")->node->handle(request, [&refused](const job_reply &reply) {
            refused += reply.kind == reply_kind::Refused ? 1 : 0;
        });
        m_site.clock.runFor(absl::Milliseconds(20));
    }
    m_site.clock.runFor(absl::Seconds(3));
    EXPECT_GE(refused, 40U);
    EXPECT_LE(
        m_site.entries.at("entry-1")->node->state().earlyCancellations().begin()->second.size(),
        Limit + 10);
    EXPECT_EQ(answerTo("entry-0", call_kind::Cancel), reply_kind::NoJob); // of another team
}

// Guards against a cancelling of a recorded job that processes of the earlier version cannot read.
TEST(batch_early_cancel_record_test, cancellingOfARecordedJobIsAsBefore)
{
    const job_cancelled cancelled {job_id("00000000000000a1")};
    EXPECT_EQ(keyOf(cancelled), "c:00000000000000a1");
    struct earlier_cancellation
    {
        job_id job;
        void serialize(cereal::PortableBinaryOutputArchive &ar) { ar(job); }
    };
    using earlier_record = std::variant<job_submitted, earlier_cancellation>;
    EXPECT_EQ(encodeRecord(cancelled),
              encodeChecksummed(1, earlier_record(earlier_cancellation {cancelled.job})));
    const result<batch_record> decoded = decodeRecord(
        encodeRecord(job_cancelled {cancelled.job, early_cancellation {team_id("team"), 5}}));
    ASSERT_TRUE(decoded);
    const auto &early = std::get<job_cancelled>(*decoded).early;
    ASSERT_TRUE(early);
    EXPECT_EQ(early->team, team_id("team"));
    EXPECT_EQ(early->cancelledMs, 5);
}

} // namespace
} // namespace hyssoppond::batch
