/// @file Work of the decider: its grant, placement decisions, gangs and announcements of agents.
#include "hyssoppond/entry/cluster_controller_base.h"

#include "hyssoppond/base/log_func.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <algorithm>
#include <variant>

namespace hyssoppond {

namespace {

constexpr absl::Duration GrantRetryInterval = absl::Seconds(1);
/// Timeout of appending a record that is appended again if its outcome is unknown.
constexpr absl::Duration RecordTimeout = absl::Seconds(30);
/// Largest number of records of m_unsentRecords that are being appended at a time.
constexpr std::size_t MaxRecordsInFlight = 64;
/// Time for which a new decider asks the agents for their gangs. It is enough for several rounds.
/// Together with the time to detect the loss of the earlier decider it stays below the 7.5 s
/// within which urgent work must start.
constexpr absl::Duration DiscoveryDuration = absl::Seconds(2);

/// Rendezvous hash of a process for a domain. The live entry with the lowest value becomes the
/// decider; all processes compute the same values.
std::uint64_t rankOf(const journal::domain_id &domain, const process_id &process)
{
    const std::string key = domain.str() + "/" + process.str();
    return XXH3_64bits(key.data(), key.size());
}

} // namespace

epoch_number cluster_controller::epoch() const
{
    const auto *domainEntry = domain();
    return domainEntry == nullptr ? 0 : domainEntry->epoch;
}

void cluster_controller::record(journal::record_body body)
{
    m_unsentRecords.push_back(std::move(body));
    appendUnsentRecords();
}

void cluster_controller::appendUnsentRecords()
{
    while (!m_unsentRecords.empty() && m_recordsInFlight < MaxRecordsInFlight && !logIsDown()) {
        journal::record_body body = std::move(m_unsentRecords.front());
        m_unsentRecords.pop_front();
        ++m_recordsInFlight;
        m_journal->append(body, m_env.now() + RecordTimeout, [this, body](const auto &outcome) {
            --m_recordsInFlight;
            // A record whose outcome is unknown may be appended again. Each of these records is
            // valid only in a certain state of its subject, so a repetition has no effect.
            if (!outcome)
                m_unsentRecords.push_back(body);
        });
    }
}

bool cluster_controller::isNextDecider() const
{
    const absl::Time joinDeadline = m_startedAt + m_settings.joinTime;
    const auto *domainEntry = domain();
    if (domainEntry != nullptr && !domainEntry->holder.isEmpty()) {
        const auto holder = m_members.find(domainEntry->holder);
        const bool isHolderSelf = domainEntry->holder == m_settings.self;
        if (isHolderSelf && domainEntry->incarnation == m_settings.incarnation)
            return false;
        const bool isHolderReplaced = holder != m_members.end()
            && (holder->second.state == member_state::Dead
                || holder->second.state == member_state::Leaving
                || holder->second.incarnation != domainEntry->incarnation);
        const bool isHolderUnknown = holder == m_members.end() && m_env.now() > joinDeadline;
        if (!isHolderSelf && !isHolderReplaced && !isHolderUnknown)
            return false;
    }
    if (domainEntry == nullptr && m_env.now() < joinDeadline)
        return false;
    const std::uint64_t ownRank = rankOf(m_settings.domain, m_settings.self);
    return std::none_of(m_members.begin(), m_members.end(), [&](const auto &member) {
        return member.second.role() == process_role::Entry
            && member.second.state == member_state::Alive
            && rankOf(m_settings.domain, member.first) < ownRank;
    });
}

void cluster_controller::claimGrant()
{
    const absl::Time now = m_env.now();
    const auto *domainEntry = domain();
    const bool isOwnGrant = domainEntry != nullptr && domainEntry->holder == m_settings.self
        && domainEntry->incarnation == m_settings.incarnation;
    if (now < m_nextGrantAt || (!isOwnGrant && !isNextDecider()))
        return;
    m_nextGrantAt = now + (isOwnGrant ? m_settings.renewOutageLeaseEvery : GrantRetryInterval);
    m_journal->append(
        journal::decider_grant {m_settings.domain, m_settings.self, m_settings.incarnation,
                                isOwnGrant ? epoch() : epoch() + 1, now + m_settings.outageLease,
                                now},
        now + m_settings.proposalTimeout, [this](const auto &outcome) {
            if (!outcome)
                m_nextGrantAt = std::min(m_nextGrantAt, m_env.now() + GrantRetryInterval);
        });
}

void cluster_controller::tickDecider()
{
    if (m_leaving)
        return;
    appendUnsentRecords();
    const auto *domainEntry = domain();
    const bool holdsGrant = domainEntry != nullptr && domainEntry->holder == m_settings.self
        && domainEntry->incarnation == m_settings.incarnation && !m_stale;
    if (m_leading && !holdsGrant)
        stopLeading();
    const bool isJournalCurrent = m_journal->progress().caughtUp && !logIsDown();
    if (isJournalCurrent && !m_stale)
        claimGrant();
    if (!m_leading && holdsGrant && isJournalCurrent) {
        m_leading = true;
        m_discoverUntil = epoch() > 1 ? m_env.now() + DiscoveryDuration : absl::InfinitePast();
        takeOverGangs();
    }
    // An earlier decider records its jobs too, because its outage lease made them valid.
    if (isJournalCurrent)
        recordOutageJobs();
    if (!m_leading)
        return;
    if (isJournalCurrent)
        announceMembers();
    resubmitUnsettled();
    expireOutageJobs();
    // Jobs that the earlier decider started in an outage must be discovered before any placement,
    // so that none of them is placed a second time.
    if (m_env.now() < m_discoverUntil)
        return discoverGangs();
    decideNow();
}

void cluster_controller::stopLeading()
{
    m_leading = false;
    m_coordinator.resign();
    m_proposed.clear();
    m_discovered.clear();
    m_refusedStarts.clear();
    abandonOutageJobs();
}

void cluster_controller::announceMembers()
{
    const auto announceOnce = [this](const process_id &agent, incarnation_number incarnation,
                                     journal::record_body body) {
        if (!m_announcing.insert({agent, incarnation}).second)
            return;
        m_journal->append(std::move(body), m_env.now() + RecordTimeout,
                          [this, agent, incarnation](const auto &) {
                              m_announcing.erase({agent, incarnation});
                          });
    };
    for (const auto &[process, member] : m_members) {
        if (member.role() != process_role::Agent)
            continue;
        const auto endpointEntry = m_state.endpoints().find(process);
        const bool dead = member.state == member_state::Dead;
        const bool recorded = endpointEntry != m_state.endpoints().end()
            && endpointEntry->second.announced.incarnation >= member.incarnation;
        if (!dead && !recorded)
            announceOnce(process, member.incarnation,
                         journal::endpoint_announced {member.announcement->self});
        if (dead && recorded && !endpointEntry->second.removed
            && endpointEntry->second.announced.incarnation == member.incarnation)
            announceOnce(process, member.incarnation,
                         journal::endpoint_removed {process, member.incarnation});
    }
    if (m_env.now() < m_startedAt + 2 * m_settings.joinTime)
        return;
    // Agents that died while no entry was watching them.
    for (const auto &[process, entry] : m_state.endpoints()) {
        if (!entry.removed && !m_members.contains(process))
            announceOnce(process, entry.announced.incarnation,
                         journal::endpoint_removed {process, entry.announced.incarnation});
    }
}

void cluster_controller::decideNow()
{
    for (const decision &proposal : m_scheduler->decide(m_env.now())) {
        if (const auto *placeDecision = std::get_if<place_decision>(&proposal))
            propose(*placeDecision);
        else
            preempt(std::get<preempt_decision>(proposal));
    }
}

void cluster_controller::propose(const place_decision &placeDecision)
{
    if (const auto outage = m_outageJobs.find(placeDecision.job); outage != m_outageJobs.end()) {
        if (outage->second.members.empty())
            startInOutage(placeDecision);
        return;
    }
    if (logIsDown())
        return adoptInOutage(placeDecision);
    if (!m_proposed.emplace(placeDecision.job, placeDecision).second)
        return;
    m_journal->append(journal::job_placed {m_settings.domain, placeDecision.job,
                                           placeDecision.attempt, epoch(), placeDecision.members,
                                           placeDecision.contract},
                      m_env.now() + m_settings.proposalTimeout,
                      [this, job = placeDecision.job](const auto &outcome) {
                          // If the outcome is unknown, the scheduler proposes the job again
                          // unless the record is found when the journal is read.
                          if (!outcome)
                              m_proposed.erase(job);
                      });
}

void cluster_controller::preempt(const preempt_decision &preemptDecision)
{
    if (!m_scheduler->preemptionAccepted(preemptDecision))
        return;
    m_hooks.count(disposition::Retried, reason::Preempted);
    writeLog(log_level::Info, "preempting gang",
             {{"job", preemptDecision.job.str()},
              {"contract", preemptDecision.contract.str()},
              {"cause", std::string(DecisionCauseNames.name(preemptDecision.cause))}});
    (void)m_coordinator.stop(preemptDecision.job, preemptDecision.attempt, stop_cause::Preempt);
}

void cluster_controller::startGang(const job_id &job, attempt_number attempt)
{
    const auto *entry = m_state.findJob(job);
    if (entry == nullptr)
        return;
    gang_placement placement {entry->spec, attempt, entry->epoch, epoch(), {}};
    for (const gang_member &member : entry->members)
        placement.members.push_back({member, 0});
    if (!m_coordinator.start(placement))
        (void)m_coordinator.takeOver(placement);
    stopAsRequested(*entry);
}

void cluster_controller::takeOverGangs()
{
    for (const auto &[id, entry] : m_state.jobs()) {
        if (!entry.isOnWorkers())
            continue;
        gang_placement placement {entry.spec, entry.attempt, entry.epoch, epoch(), {}};
        for (const gang_member &member : entry.members)
            placement.members.push_back({member, 0});
        (void)m_coordinator.takeOver(placement); // WrongState: this entry coordinates it already
        stopAsRequested(entry);
    }
}

void cluster_controller::stopAsRequested(const journal::job_entry &job)
{
    if (!job.isOnWorkers())
        return;
    if (job.cancelRequested)
        (void)m_coordinator.stop(job.spec.id, job.attempt, stop_cause::Cancel);
    else if (job.suspendRequested || job.requeueRequested)
        (void)m_coordinator.stop(job.spec.id, job.attempt, stop_cause::Preempt);
}

void cluster_controller::setMember(const member_view &member)
{
    m_members[member.process] = member;
    applyDrains();
    if (!m_leading || member.state != member_state::Leaving)
        return;
    for (const auto &[id, entry] : m_state.jobs()) {
        // Preemption would fail a job that is not repeatable, so it keeps running until its agent
        // has stopped.
        const bool isAffected = entry.isOnWorkers() && entry.spec.repeatable
            && std::any_of(entry.members.begin(), entry.members.end(), [&](const auto &gangMember) {
                                    return gangMember.agent == member.process;
                                });
        if (isAffected)
            (void)m_coordinator.stop(id, entry.attempt, stop_cause::Preempt);
    }
}

void cluster_controller::receiveGang(const process_id &from, const gang_message &message)
{
    m_coordinator.receive(from, message);
}

gang_coordinator_hooks cluster_controller::coordinatorHooks()
{
    gang_coordinator_hooks hooks;
    hooks.send
        = [this](const process_id &to, const gang_message &message) { m_hooks.send(to, message); };
    hooks.onStarted
        = [this](const job_id &job, attempt_number attempt) { onGangStarted(job, attempt); };
    hooks.onEnded = [this](const job_id &job, attempt_number attempt, attempt_outcome outcome,
                           double runSeconds) { onGangEnded(job, attempt, outcome, runSeconds); };
    hooks.onDiscovered = [this](const gang_placement &found) { onGangDiscovered(found); };
    hooks.onRefused = [this](const gang_refusal &refusal) {
        m_hooks.count(disposition::Refused, refusal.why);
        if (refusal.why == reason::WorkerRefused)
            m_refusedStarts[refusal.job] = refusal.worker;
        writeLog(log_level::Warn, "worker refused a gang member",
                 {{"job", refusal.job.str()},
                  {"worker", refusal.worker.str()},
                  {"reason", std::string(ReasonNames.name(refusal.why))}});
    };
    hooks.onDropped = [this](reason why) { m_hooks.count(disposition::Dropped, why); };
    return hooks;
}

void cluster_controller::onGangStarted(const job_id &job, attempt_number attempt)
{
    writeLog(log_level::Info, "gang started",
             {{"job", job.str()}, {"attempt", absl::StrFormat("%d", attempt)}});
    if (const auto outage = m_outageJobs.find(job); outage != m_outageJobs.end()) {
        outage->second.started = true;
        checkApplied(m_scheduler->gangStarted(job, attempt, m_env.now()));
        for (const job_reply &reply : std::exchange(outage->second.replies, {}))
            reply(view(job));
        return;
    }
    record(journal::gang_started {m_settings.domain, job, attempt, epoch(), m_env.now()});
}

void cluster_controller::onGangEnded(const job_id &job, attempt_number attempt,
                                     attempt_outcome outcome, double runSeconds)
{
    writeLog(log_level::Info, "gang ended",
             {{"job", job.str()},
              {"attempt", absl::StrFormat("%d", attempt)},
              {"outcome", std::string(AttemptOutcomeNames.name(outcome))}});
    if (outcome == attempt_outcome::Lost || outcome == attempt_outcome::Aborted)
        m_hooks.count(disposition::Retried,
                      outcome == attempt_outcome::Lost ? reason::MemberLost : reason::Fenced);
    // The scheduler counts an aborted attempt as a failed start of its workers, but not a lost one.
    // Without this count, a gang of which another worker had started was placed on the refusing
    // worker again ten times a second.
    const auto refused = m_refusedStarts.extract(job);
    if (!refused.empty() && outcome == attempt_outcome::Lost)
        checkApplied(m_scheduler->startRefused(job, refused.mapped(), m_env.now()));
    if (m_outageJobs.contains(job))
        return endInOutage(job, outcome, runSeconds);
    // The scheduler must free reclaimed accelerators while the log is still down. When the record
    // arrives, apply() finds the attempt ended and does not end it again.
    if (logIsDown() && holdsOutageLease())
        checkApplied(m_scheduler->attemptEnded(job, attempt, outcome, m_env.now(), runSeconds));
    record(journal::attempt_ended {m_settings.domain, job, attempt, epoch(), outcome, m_env.now(),
                                   runSeconds});
}

} // namespace hyssoppond
