/// @file Jobs that the holder of the outage lease accepts while the log is down.
#include "hyssoppond/entry/cluster_controller_base.h"

#include "hyssoppond/config/config_value_func.h"

#include <utility>

namespace hyssoppond {

namespace {

/// The log counts as down after this time without a successful read.
constexpr absl::Duration LogDownTimeout = absl::Seconds(2);
/// Delay after which a caller may retry a request that was refused while the log is down.
constexpr absl::Duration OutageRetryDelay = absl::Seconds(5);
/// Time between two rounds in which a new decider asks the agents for their gangs.
constexpr absl::Duration DiscoveryInterval = absl::Milliseconds(400);

} // namespace

bool cluster_controller::logIsDown() const
{
    const auto progress = m_journal->progress();
    return !progress.logAvailable || progress.lastReadAt < m_env.now() - LogDownTimeout;
}

bool cluster_controller::holdsOutageLease() const
{
    const auto *domainEntry = domain();
    return m_leading && !m_leaving && !m_stale && domainEntry != nullptr
        && domainEntry->outageLeaseHolder == m_settings.self
        && domainEntry->outageLeaseIncarnation == m_settings.incarnation
        && m_env.now() + m_settings.maxClockSkew < domainEntry->outageLeaseUntil;
}

void cluster_controller::submitInOutage(const job_spec &spec, job_reply reply)
{
    if (!holdsOutageLease())
        return reply(fail(reason::NoOutageLease,
                          "the log is down and another entry may accept urgent work under "
                          "contract; ask the other entries, or retry when the log is back",
                          execution::NotRun, m_env.now() + OutageRetryDelay));
    if (spec.level != urgency::Urgent || spec.held)
        return reply(fail(reason::LogUnavailable,
                          "the log is down and only urgent jobs under contract are accepted; "
                          "retry when it is back",
                          execution::NotRun, m_env.now() + OutageRetryDelay));
    const auto queued = m_scheduler->submit(spec);
    if (!queued)
        return reply(tl::unexpected<error>(queued.error()));
    outage_job job;
    job.spec = spec;
    job.epoch = epoch();
    job.refuseAt = m_env.now() + m_settings.outageStartTimeout;
    job.replies.push_back(std::move(reply));
    m_outageJobs.emplace(spec.id, std::move(job));
    decideNow();
}

void cluster_controller::startInOutage(const place_decision &placeDecision)
{
    outage_job &job = m_outageJobs.at(placeDecision.job);
    // A gang without a contract would borrow accelerators, and other teams could not reclaim them
    // safely during the outage.
    if (placeDecision.contract.isEmpty() || !holdsOutageLease())
        return;
    if (!m_scheduler->placementAccepted(placeDecision.job, placeDecision.attempt,
                                        placeDecision.members, placeDecision.contract))
        return;
    job.members = placeDecision.members;
    job.contract = placeDecision.contract;
    gang_placement placement {job.spec, placeDecision.attempt, epoch(), epoch(), {}};
    for (const gang_member &member : placeDecision.members)
        placement.members.push_back({member, 0});
    checkApplied(m_coordinator.start(placement));
}

void cluster_controller::endInOutage(const job_id &id, attempt_outcome outcome, double runSeconds)
{
    const auto it = m_outageJobs.find(id);
    checkApplied(m_scheduler->attemptEnded(id, 1, outcome, m_env.now(), runSeconds));
    if (it->second.started || m_state.findJob(id) != nullptr) {
        // The job and its end are recorded when the log is available again.
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
                   m_env.now() + OutageRetryDelay));
}

void cluster_controller::expireOutageJobs()
{
    std::vector<job_id> due;
    for (const auto &[id, job] : m_outageJobs) {
        if (job.members.empty() && m_env.now() >= job.refuseAt)
            due.push_back(id);
    }
    for (const job_id &id : due)
        refuseOutageJob(id,
                        {reason::QuotaExceeded,
                         "no contract of the team has available capacity while the log is down; "
                         "retry when it is back",
                         execution::NotRun, m_env.now() + OutageRetryDelay});
}

void cluster_controller::refuseOutageJob(const job_id &id, const error &problem)
{
    const outage_job job = std::move(m_outageJobs.at(id));
    m_outageJobs.erase(id);
    if (!job.members.empty())
        (void)m_scheduler->attemptEnded(id, 1, attempt_outcome::Aborted, m_env.now(), 0);
    (void)m_scheduler->cancel(id);
    (void)m_scheduler->forget(id);
    if (const auto *entry = m_state.findJob(id))
        restoreJob(*entry);
    for (const job_reply &reply : job.replies)
        reply(tl::unexpected<error>(problem));
}

void cluster_controller::onOutageJobRecorded(const job_id &id)
{
    const outage_job job = std::move(m_outageJobs.at(id));
    m_outageJobs.erase(id);
    if (job.started)
        record(journal::gang_started {m_settings.domain, id, 1, epoch(), m_env.now()});
    if (job.ended)
        record(journal::attempt_ended {m_settings.domain, id, 1, epoch(), job.ended->first,
                                       m_env.now(), job.ended->second});
    for (const job_reply &reply : job.replies)
        reply(view(id));
}

void cluster_controller::adoptInOutage(const place_decision &placeDecision)
{
    const scheduled_job *scheduledJob = m_scheduler->find(placeDecision.job);
    const auto proposed = m_proposed.find(placeDecision.job);
    // A placement that is still being appended may take effect later, so the gang starts on the
    // members of that placement.
    const place_decision chosen = proposed == m_proposed.end() ? placeDecision : proposed->second;
    if (!holdsOutageLease() || scheduledJob == nullptr
        || scheduledJob->spec.level != urgency::Urgent || chosen.attempt != 1
        || chosen.contract.isEmpty()
        || !m_scheduler->placementAccepted(chosen.job, chosen.attempt, chosen.members,
                                           chosen.contract, command_mode::Test))
        return;
    outage_job job;
    job.spec = scheduledJob->spec;
    job.epoch = epoch();
    m_outageJobs.emplace(chosen.job, std::move(job));
    startInOutage(chosen);
}

void cluster_controller::resubmitUnsettled()
{
    if (!logIsDown() || !holdsOutageLease())
        return;
    for (auto &[number, submission] : std::exchange(m_unsettled, {})) {
        // The append may still take effect later, so the submission counts as a retry: a refusal
        // must not claim that the job will not run.
        submit(std::move(submission.spec), true, absl::InfinitePast(), std::move(submission.reply));
    }
}

void cluster_controller::abandonOutageJobs()
{
    std::vector<job_id> unstarted;
    for (const auto &[id, job] : m_outageJobs) {
        if (!job.started)
            unstarted.push_back(id);
    }
    for (const job_id &id : unstarted) {
        // The members may have started without this process having received their answers.
        const bool mayHaveStarted = !m_outageJobs.at(id).members.empty();
        refuseOutageJob(id,
                        {reason::NoOutageLease, "this entry is no longer the decider; retry",
                         mayHaveStarted ? execution::Unknown : execution::NotRun,
                         m_env.now() + OutageRetryDelay});
    }
}

void cluster_controller::discoverGangs()
{
    if (m_env.now() < m_nextDiscoverAt)
        return;
    m_nextDiscoverAt = m_env.now() + DiscoveryInterval;
    std::vector<process_id> agents;
    for (const auto &[process, member] : m_members) {
        if (member.role() == process_role::Agent && member.state != member_state::Dead)
            agents.push_back(process);
    }
    m_coordinator.discover(agents, epoch());
}

void cluster_controller::onGangDiscovered(const gang_placement &found)
{
    const job_id &id = found.spec.id;
    const auto *recordedJob = m_state.findJob(id);
    // Only the first attempt of a job can start without a record of its placement.
    const bool recorded = recordedJob != nullptr
        && (recordedJob->state != job_state::Queued || recordedJob->attempt != 1);
    if (!m_leading || found.attempt != 1 || recorded || m_outageJobs.contains(id)
        || !m_discovered.insert(id).second)
        return;
    std::vector<gang_member> members;
    for (const gang_peer &peer : found.members)
        members.push_back(peer.member);
    record(journal::outage_placed {m_settings.domain, found.spec, found.placementEpoch,
                                   std::move(members), contractFor(found.spec)});
}

contract_id cluster_controller::contractFor(const job_spec &spec) const
{
    const std::string prefix = "contract/" + spec.team.str() + "/";
    for (auto it = m_config.lower_bound(prefix);
         it != m_config.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        const auto value = parseConfig(it->first, it->second.value);
        const auto *contractValue = value ? std::get_if<contract>(&*value) : nullptr;
        if (contractValue != nullptr && !it->second.value.empty()
            && contractValue->guaranteed == spec.wanted)
            return contractValue->id;
    }
    return {};
}

void cluster_controller::recordOutageJobs()
{
    for (auto &[id, job] : m_outageJobs) {
        if (job.recording || job.members.empty() || (!job.started && !job.ended))
            continue;
        job.recording = true;
        m_journal->append(journal::outage_placed {m_settings.domain, job.spec, job.epoch,
                                                  job.members, job.contract},
                          m_env.now() + m_settings.proposalTimeout,
                          [this, id = id](const auto &outcome) {
                              const auto it = m_outageJobs.find(id);
                              if (it == m_outageJobs.end())
                                  return; // apply() has found the record
                              it->second.recording = false;
                              if (outcome && !outcome->decision.accepted)
                                  m_hooks.count(disposition::Dropped, outcome->decision.why);
                          });
    }
}

} // namespace hyssoppond
