/// @file The agent's records of jobs that have begun.
#include "hyssoppond/batch/batch_agent_base.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace hyssoppond::batch {

namespace {

/// A start is recorded after a random time of this range, so that one agent tells of a job whose
/// items start on many. Entries may show a job as pending for 2 s after its start.
constexpr absl::Duration MinTellDelay = absl::Milliseconds(250);
constexpr absl::Duration MaxTellDelay = absl::Milliseconds(750);

/// Pause after an append without success.
constexpr absl::Duration RetryDelay = absl::Milliseconds(500);

/// Time limit of an append.
constexpr absl::Duration AppendTimeout = absl::Milliseconds(1000);

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

void batch_agent::recordBegunJobs()
{
    const absl::Time now = m_hooks.now();
    std::set<job_id> jobs;
    for (auto &[id, run] : m_runs) {
        if (run.state != phase::Running || m_begunJobs.contains(id.unit.job))
            continue;
        if (run.tellStartAt == absl::InfiniteFuture())
            run.tellStartAt = now + MinTellDelay
                + (MaxTellDelay - MinTellDelay)
                    * (static_cast<double>(m_hooks.random() % 1000) / 1000.0);
        if (run.tellStartAt <= now)
            jobs.insert(id.unit.job);
    }
    if (jobs.empty() || m_recordingBegun || !m_sessionConfirmed)
        return;
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
    request.deadline = now + AppendTimeout;
    m_recordingBegun = true;
    m_store->append(std::move(request), [this, jobs](const append_answer &answer) {
        m_recordingBegun = false;
        for (const job_id &job : jobs) {
            if (answer.outcome == store_outcome::Ok)
                noteBegun(job);
        }
        for (auto &[id, run] : m_runs) {
            if (jobs.contains(id.unit.job))
                run.tellStartAt = m_hooks.now() + RetryDelay;
        }
    });
}

} // namespace hyssoppond::batch
