/// @file Work that the holder of the outage right accepts while the log is down.
#include "hyssoppond/entry/cluster_table_base.h"

#include <absl/strings/str_format.h>

#include <utility>

namespace hyssoppond {

namespace {

/// Without a successful read for this long the log counts as down.
constexpr absl::Duration SilentLog = absl::Seconds(2);
constexpr absl::Duration OutageRetry = absl::Seconds(5);

} // namespace

bool cluster_table::logIsDown() const
{
    const auto progress = m_journal->progress();
    return !progress.logAvailable || progress.lastReadAt < m_env.now() - SilentLog;
}

bool cluster_table::hasOutageRight() const
{
    const auto *known = domain();
    return m_leading && !m_leaving && !m_stale && known != nullptr
        && known->rightHolder == m_settings.self
        && known->rightIncarnation == m_settings.incarnation
        && m_env.now() + m_settings.maxClockSkew < known->rightUntil;
}

void cluster_table::submitInOutage(const job_spec &spec, job_reply reply)
{
    if (!hasOutageRight())
        return reply(fail(reason::NoOutageRight,
                          "the log is down and another entry may accept urgent work under "
                          "contract; ask the other entries, or retry when the log is back",
                          execution::NotRun, m_env.now() + OutageRetry));
    if (spec.level != urgency::Urgent || spec.held)
        return reply(fail(reason::LogUnavailable,
                          "the log is down and only urgent jobs under contract are accepted; "
                          "retry when it is back",
                          execution::NotRun, m_env.now() + OutageRetry));
    const auto queued = m_scheduler->submit(spec);
    if (!queued)
        return reply(tl::unexpected<error>(queued.error()));
    outage_job job;
    job.spec = spec;
    job.epoch = epoch();
    job.refuseAt = m_env.now() + m_settings.outageStart;
    job.replies.push_back(std::move(reply));
    m_outageJobs.emplace(spec.id, std::move(job));
    decideNow();
}

void cluster_table::startInOutage(const place_decision &what)
{
    outage_job &job = m_outageJobs.at(what.job);
    // Borrowed accelerators could not be reclaimed safely by others during the outage.
    if (what.contract.isEmpty() || !hasOutageRight())
        return;
    if (!m_scheduler->placementAccepted(what.job, what.attempt, what.members, what.contract))
        return;
    job.members = what.members;
    job.contract = what.contract;
    gang_placement placement {job.spec, what.attempt, epoch(), epoch(), {}};
    for (const gang_member &member : what.members)
        placement.members.push_back({member, 0});
    expect(m_coordinator.start(placement));
}

void cluster_table::endInOutage(const job_id &id, attempt_outcome outcome, double runSeconds)
{
    const auto it = m_outageJobs.find(id);
    expect(m_scheduler->attemptEnded(id, 1, outcome, m_env.now(), runSeconds));
    if (it->second.started) {
        // The journal learns of the job and its end when the log is back.
        it->second.ended = {outcome, runSeconds};
        return;
    }
    outage_job job = std::move(it->second);
    m_outageJobs.erase(it);
    (void)m_scheduler->cancel(id);
    (void)m_scheduler->forget(id);
    for (const job_reply &reply : job.replies)
        reply(fail(reason::WorkerUnreachable,
                   "the workers of the gang could not be reserved while the log is down; retry",
                   outcome == attempt_outcome::Aborted ? execution::NotRun : execution::Ran,
                   m_env.now() + OutageRetry));
}

void cluster_table::expireOutageJobs()
{
    std::vector<job_id> due;
    for (const auto &[id, job] : m_outageJobs) {
        if (job.members.empty() && m_env.now() >= job.refuseAt)
            due.push_back(id);
    }
    for (const job_id &id : due) {
        outage_job job = std::move(m_outageJobs.at(id));
        m_outageJobs.erase(id);
        (void)m_scheduler->cancel(id);
        (void)m_scheduler->forget(id);
        for (const job_reply &reply : job.replies)
            reply(fail(reason::QuotaExceeded,
                       "no contract of the team has room while the log is down; retry when it is "
                       "back",
                       execution::NotRun, m_env.now() + OutageRetry));
    }
}

void cluster_table::recordOutageJobs()
{
    for (auto &[id, job] : m_outageJobs) {
        if (job.recording || job.members.empty() || !job.started)
            continue;
        job.recording = true;
        m_journal->append(journal::outage_placed {m_settings.domain, job.spec, job.epoch,
                                                  job.members, job.contract},
                          m_env.now() + m_settings.proposalTimeout,
                          [this, id = id](const auto &outcome) {
                              const auto it = m_outageJobs.find(id);
                              if (it == m_outageJobs.end())
                                  return; // recorded; see follow()
                              it->second.recording = false;
                              if (outcome && !outcome->decision.accepted)
                                  m_hooks.count(event::Dropped, outcome->decision.why);
                          });
    }
}

} // namespace hyssoppond
