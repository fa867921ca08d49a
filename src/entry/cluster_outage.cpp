/// @file Work that the holder of the outage right accepts while the log is down.
#include "hyssoppond/entry/cluster_controller_base.h"

#include "hyssoppond/entry/config_value_func.h"

#include <utility>

namespace hyssoppond {

namespace {

/// Without a successful read for this long the log counts as down.
constexpr absl::Duration SilentLog = absl::Seconds(2);
constexpr absl::Duration OutageRetry = absl::Seconds(5);
constexpr absl::Duration DiscoveryInterval = absl::Milliseconds(400);

} // namespace

bool cluster_controller::logIsDown() const
{
    const auto progress = m_journal->progress();
    return !progress.logAvailable || progress.lastReadAt < m_env.now() - SilentLog;
}

bool cluster_controller::holdsOutageLease() const
{
    const auto *known = domain();
    return m_leading && !m_leaving && !m_stale && known != nullptr
        && known->outageLeaseHolder == m_settings.self
        && known->outageLeaseIncarnation == m_settings.incarnation
        && m_env.now() + m_settings.maxClockSkew < known->outageLeaseUntil;
}

void cluster_controller::submitInOutage(const job_spec &spec, job_reply reply)
{
    if (!holdsOutageLease())
        return reply(fail(reason::NoOutageLease,
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

void cluster_controller::startInOutage(const place_decision &what)
{
    outage_job &job = m_outageJobs.at(what.job);
    // Borrowed accelerators could not be reclaimed safely by others during the outage.
    if (what.contract.isEmpty() || !holdsOutageLease())
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

void cluster_controller::endInOutage(const job_id &id, attempt_outcome outcome, double runSeconds)
{
    const auto it = m_outageJobs.find(id);
    expect(m_scheduler->attemptEnded(id, 1, outcome, m_env.now(), runSeconds));
    if (it->second.started || m_state.findJob(id) != nullptr) {
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
                         "no contract of the team has room while the log is down; retry when it is "
                         "back",
                         execution::NotRun, m_env.now() + OutageRetry});
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
        replay(*entry);
    for (const job_reply &reply : job.replies)
        reply(tl::unexpected<error>(problem));
}

void cluster_controller::settleOutageJob(const job_id &id)
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

void cluster_controller::adoptInOutage(const place_decision &what)
{
    const job_entry *known = m_scheduler->find(what.job);
    const auto proposed = m_proposed.find(what.job);
    // A proposal on the way may take effect, so the gang starts where it says.
    const place_decision chosen = proposed == m_proposed.end() ? what : proposed->second;
    if (!holdsOutageLease() || known == nullptr || known->spec.level != urgency::Urgent
        || chosen.attempt != 1 || chosen.contract.isEmpty()
        || !m_scheduler->placementAccepted(chosen.job, chosen.attempt, chosen.members,
                                           chosen.contract, command_mode::Test))
        return;
    outage_job job;
    job.spec = known->spec;
    job.epoch = epoch();
    m_outageJobs.emplace(chosen.job, std::move(job));
    startInOutage(chosen);
}

void cluster_controller::convertUnsettled()
{
    if (!logIsDown() || !holdsOutageLease())
        return;
    for (auto &[number, open] : std::exchange(m_unsettled, {})) {
        // The record may take effect later, so a refusal cannot say that the job will not run.
        submit(std::move(open.spec), true, absl::InfinitePast(), std::move(open.reply));
    }
}

void cluster_controller::abandonOutageJobs()
{
    std::vector<job_id> open;
    for (const auto &[id, job] : m_outageJobs) {
        if (!job.started)
            open.push_back(id);
    }
    for (const job_id &id : open) {
        // The members may have started although this process was not told.
        const bool asked = !m_outageJobs.at(id).members.empty();
        refuseOutageJob(id,
                        {reason::NoOutageLease, "this entry is no longer the decider; retry",
                         asked ? execution::Unknown : execution::NotRun,
                         m_env.now() + OutageRetry});
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
    const auto *known = m_state.findJob(id);
    // Only the first attempt of a job can start without a record of its placement.
    const bool recorded
        = known != nullptr && (known->state != job_state::Queued || known->attempt != 1);
    if (!m_leading || found.attempt != 1 || recorded || m_outageJobs.contains(id)
        || !m_discovered.insert(id).second)
        return;
    std::vector<gang_member> members;
    for (const gang_peer &peer : found.members)
        members.push_back(peer.where);
    record(journal::outage_placed {m_settings.domain, found.spec, found.placed, std::move(members),
                                   contractFor(found.spec)});
}

contract_id cluster_controller::contractFor(const job_spec &spec) const
{
    const std::string prefix = "contract/" + spec.team.str() + "/";
    for (auto it = m_config.lower_bound(prefix);
         it != m_config.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        const auto value = parseConfig(it->first, it->second.value);
        const auto *guarantee = value ? std::get_if<contract>(&*value) : nullptr;
        if (guarantee != nullptr && !it->second.value.empty()
            && guarantee->guaranteed == spec.wanted)
            return guarantee->id;
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
                                  return; // recorded; see follow()
                              it->second.recording = false;
                              if (outcome && !outcome->decision.accepted)
                                  m_hooks.count(disposition::Dropped, outcome->decision.why);
                          });
    }
}

} // namespace hyssoppond
