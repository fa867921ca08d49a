/// @file The agent's records of jobs that have begun.
#include "hyssoppond/batch/batch_agent_base.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// A start is recorded after a random time of this range, so that one agent records a job whose
/// items start on many. Entries may show a job as pending for 2 s after its start.
constexpr absl::Duration MinRecordDelay = absl::Milliseconds(250);
constexpr absl::Duration MaxRecordDelay = absl::Milliseconds(750);

/// First and longest pause after an append without success; each is twice as long as the last one.
constexpr absl::Duration FirstRetryDelay = absl::Milliseconds(500);
constexpr absl::Duration MaxRetryDelay = absl::Seconds(8);
constexpr std::uint32_t MaxRetryDoublings = 4;

/// Time limit of an append.
constexpr absl::Duration AppendTimeout = absl::Milliseconds(1000);

/// The store counts as slow while a heartbeat has been without an answer for this long.
constexpr absl::Duration SlowAnswerTime = absl::Milliseconds(100);

/// Jobs that are remembered as begun. A job that is forgotten is recorded once more.
constexpr std::size_t MaxBegunJobs = 2'000;

} // namespace

void batch_agent::noteBegun(const job_id &job)
{
    if (!m_begunJobs.insert(job).second)
        return;
    m_begunJobsInOrder.push_back(job);
    if (m_begunJobsInOrder.size() > MaxBegunJobs) {
        m_begunJobs.erase(m_begunJobsInOrder.front());
        m_begunJobsInOrder.pop_front();
    }
}

bool batch_agent::isStoreSlow() const
{
    return m_unansweredHeartbeats > 1
        || (m_unansweredHeartbeats == 1 && m_hooks.now() - m_heartbeatSentAt > SlowAnswerTime);
}

std::set<job_id> batch_agent::dueBegunJobs()
{
    const absl::Time now = m_hooks.now();
    std::set<job_id> jobs;
    for (auto &[id, run] : m_runs) {
        if (run.state != phase::Running || m_begunJobs.contains(id.unit.job))
            continue;
        if (run.recordBegunAt == absl::InfiniteFuture()) {
            const double share = static_cast<double>(m_hooks.random() % 1000) / 1000.0;
            run.recordBegunAt = now + MinRecordDelay + (MaxRecordDelay - MinRecordDelay) * share;
        }
        if (run.recordBegunAt > now)
            continue;
        if (isStoreSlow())
            run.recordBegunAt = now + FirstRetryDelay;
        else
            jobs.insert(id.unit.job);
    }
    return jobs;
}

void batch_agent::recordBegunJobs()
{
    if (m_recordingBegun || !m_sessionConfirmed)
        return;
    const std::set<job_id> jobs = dueBegunJobs();
    if (!jobs.empty())
        appendBegunJobs(jobs);
}

void batch_agent::appendBegunJobs(const std::set<job_id> &jobs)
{
    append_request request;
    request.topic = m_options.journalTopic;
    for (const job_id &job : jobs) {
        const batch_record record = job_begun {job, m_options.agent};
        request.records.push_back({keyOf(record), encodeRecord(record), 0});
    }
    // These records stay true however late they are carried out. Each append has an epoch of its
    // own, so that a lost one delays neither the next one nor the ends of runs.
    request.producer = producer_stamp {
        absl::StrCat(m_options.agent.str(), "/", m_writer.epoch(), "/begun"), ++m_begunAppends, 1};
    request.deadline = m_hooks.now() + AppendTimeout;
    m_recordingBegun = true;
    m_store->append(std::move(request), [this, jobs](const append_answer &answer) {
        m_recordingBegun = false;
        if (answer.outcome == store_outcome::Ok) {
            m_failedBegunAppends = 0;
            for (const job_id &job : jobs)
                noteBegun(job);
            return;
        }
        const absl::Duration pause
            = std::min(MaxRetryDelay, FirstRetryDelay * (1U << m_failedBegunAppends));
        m_failedBegunAppends = std::min(m_failedBegunAppends + 1, MaxRetryDoublings);
        for (auto &[id, run] : m_runs) {
            if (jobs.contains(id.unit.job))
                run.recordBegunAt = m_hooks.now() + pause;
        }
    });
}

} // namespace hyssoppond::batch
