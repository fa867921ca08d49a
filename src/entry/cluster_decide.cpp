/// @file Leading placement: the grant, decisions, gangs and announcements.
#include "hyssoppond/entry/cluster_controller_base.h"

#include "hyssoppond/base/log_func.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <algorithm>
#include <variant>

namespace hyssoppond {

namespace {

constexpr absl::Duration GrantRetry = absl::Seconds(1);
constexpr absl::Duration RecordTimeout = absl::Seconds(30);
constexpr std::size_t MaxOwedOpen = 64;
/// A new decider asks the agents for gangs this long: enough for several rounds, and with the
/// detection of the earlier one below the 7.5 s that urgent work may take to start.
constexpr absl::Duration DiscoveryTime = absl::Seconds(2);

/// Rendezvous weight of a process for a domain; the lowest one leads. Equal in all processes.
std::uint64_t rankOf(const journal::domain_id &domain, const process_id &process)
{
    const std::string key = domain.str() + "/" + process.str();
    return XXH3_64bits(key.data(), key.size());
}

} // namespace

epoch_number cluster_controller::epoch() const
{
    const auto *known = domain();
    return known == nullptr ? 0 : known->epoch;
}

void cluster_controller::record(journal::record_body body)
{
    m_owed.push_back(std::move(body));
    sendOwed();
}

void cluster_controller::sendOwed()
{
    while (!m_owed.empty() && m_owedOpen < MaxOwedOpen && !logIsDown()) {
        journal::record_body body = std::move(m_owed.front());
        m_owed.pop_front();
        ++m_owedOpen;
        m_journal->append(body, m_env.now() + RecordTimeout, [this, body](const auto &outcome) {
            --m_owedOpen;
            // All bodies sent here are idempotent by the state that they expect, so that a record
            // whose outcome is unknown may be appended again.
            if (!outcome)
                m_owed.push_back(body);
        });
    }
}

bool cluster_controller::isNextHolder() const
{
    const absl::Time joined = m_startedAt + m_settings.joinTime;
    const auto *known = domain();
    if (known != nullptr && !known->holder.isEmpty()) {
        const auto holder = m_members.find(known->holder);
        const bool own = known->holder == m_settings.self;
        if (own && known->incarnation == m_settings.incarnation)
            return false;
        const bool replaced = holder != m_members.end()
            && (holder->second.state == member_state::Dead
                || holder->second.state == member_state::Leaving
                || holder->second.incarnation != known->incarnation);
        const bool unknown = holder == m_members.end() && m_env.now() > joined;
        if (!own && !replaced && !unknown)
            return false;
    }
    if (known == nullptr && m_env.now() < joined)
        return false;
    const std::uint64_t own = rankOf(m_settings.domain, m_settings.self);
    return std::none_of(m_members.begin(), m_members.end(), [&](const auto &member) {
        return member.second.role() == process_role::Entry
            && member.second.state == member_state::Alive
            && rankOf(m_settings.domain, member.first) < own;
    });
}

void cluster_controller::claimGrant()
{
    const absl::Time now = m_env.now();
    const auto *known = domain();
    const bool own = known != nullptr && known->holder == m_settings.self
        && known->incarnation == m_settings.incarnation;
    if (now < m_nextGrantAt || (!own && !isNextHolder()))
        return;
    m_nextGrantAt = now + (own ? m_settings.renewOutageLeaseEvery : GrantRetry);
    m_journal->append(journal::decider_grant {m_settings.domain, m_settings.self,
                                              m_settings.incarnation, own ? epoch() : epoch() + 1,
                                              now + m_settings.outageLease, now},
                      now + m_settings.proposalTimeout, [this](const auto &outcome) {
                          if (!outcome)
                              m_nextGrantAt = std::min(m_nextGrantAt, m_env.now() + GrantRetry);
                      });
}

void cluster_controller::tickDecider()
{
    if (m_leaving)
        return;
    sendOwed();
    const auto *known = domain();
    const bool holds = known != nullptr && known->holder == m_settings.self
        && known->incarnation == m_settings.incarnation && !m_stale;
    if (m_leading && !holds)
        stopLeading();
    const bool current = m_journal->progress().caughtUp && !logIsDown();
    if (current && !m_stale)
        claimGrant();
    if (!m_leading && holds && current) {
        m_leading = true;
        m_discoverUntil = epoch() > 1 ? m_env.now() + DiscoveryTime : absl::InfinitePast();
        takeOverGangs();
    }
    // Also by a holder that no longer leads: the right made these jobs valid.
    if (current)
        recordOutageJobs();
    if (!m_leading)
        return;
    if (current)
        announceMembers();
    convertUnsettled();
    expireOutageJobs();
    // A job that the earlier holder started in an outage must be known before it can be placed.
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
        const auto known = m_state.endpoints().find(process);
        const bool dead = member.state == member_state::Dead;
        const bool recorded = known != m_state.endpoints().end()
            && known->second.announced.incarnation >= member.incarnation;
        if (!dead && !recorded)
            announceOnce(process, member.incarnation,
                         journal::endpoint_announced {member.announcement->self});
        if (dead && recorded && !known->second.removed
            && known->second.announced.incarnation == member.incarnation)
            announceOnce(process, member.incarnation,
                         journal::endpoint_removed {process, member.incarnation});
    }
    if (m_env.now() < m_startedAt + 2 * m_settings.joinTime)
        return;
    // Agents that died while no entry watched.
    for (const auto &[process, entry] : m_state.endpoints()) {
        if (!entry.removed && !m_members.contains(process))
            announceOnce(process, entry.announced.incarnation,
                         journal::endpoint_removed {process, entry.announced.incarnation});
    }
}

void cluster_controller::decideNow()
{
    for (const decision &one : m_scheduler->decide(m_env.now())) {
        if (const auto *placement = std::get_if<place_decision>(&one))
            propose(*placement);
        else
            carryOut(std::get<preempt_decision>(one));
    }
}

void cluster_controller::propose(const place_decision &what)
{
    if (const auto outage = m_outageJobs.find(what.job); outage != m_outageJobs.end()) {
        if (outage->second.members.empty())
            startInOutage(what);
        return;
    }
    if (logIsDown())
        return adoptInOutage(what);
    if (!m_proposed.emplace(what.job, what).second)
        return;
    m_journal->append(journal::job_placed {m_settings.domain, what.job, what.attempt, epoch(),
                                           what.members, what.contract},
                      m_env.now() + m_settings.proposalTimeout,
                      [this, job = what.job](const auto &outcome) {
                          // An unknown outcome shows when the journal is read; the job is proposed
                          // again if the record is not there.
                          if (!outcome)
                              m_proposed.erase(job);
                      });
}

void cluster_controller::carryOut(const preempt_decision &what)
{
    if (!m_scheduler->preemptionAccepted(what))
        return;
    m_hooks.count(disposition::Retried, reason::Preempted);
    writeLog(log_level::Info, "gang is preempted",
             {{"job", what.job.str()},
              {"contract", what.contract.str()},
              {"cause", std::string(DecisionCauseNames.name(what.cause))}});
    (void)m_coordinator.stop(what.job, what.attempt, stop_cause::Preempt);
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
    stopFor(*entry);
}

void cluster_controller::takeOverGangs()
{
    for (const auto &[id, entry] : m_state.jobs()) {
        if (!entry.isOnWorkers())
            continue;
        gang_placement placement {entry.spec, entry.attempt, entry.epoch, epoch(), {}};
        for (const gang_member &member : entry.members)
            placement.members.push_back({member, 0});
        (void)m_coordinator.takeOver(placement); // WrongState: coordinated here already
        stopFor(entry);
    }
}

void cluster_controller::stopFor(const journal::job_entry &job)
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
        // A job that is not repeatable would fail; it keeps running until its agent has stopped.
        const bool there = entry.isOnWorkers() && entry.spec.repeatable
            && std::any_of(entry.members.begin(), entry.members.end(),
                           [&](const auto &one) { return one.agent == member.process; });
        if (there)
            (void)m_coordinator.stop(id, entry.attempt, stop_cause::Preempt);
    }
}

void cluster_controller::receiveGang(const process_id &from, const gang_message &what)
{
    m_coordinator.receive(from, what);
}

gang_coordinator_hooks cluster_controller::coordinatorHooks()
{
    gang_coordinator_hooks hooks;
    hooks.send = [this](const process_id &to, const gang_message &what) { m_hooks.send(to, what); };
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
        expect(m_scheduler->gangStarted(job, attempt, m_env.now()));
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
    // An aborted attempt counts for its workers by itself. A lost one does not, and without this
    // count a gang of which one worker started was placed on the refusing one again ten times a
    // second.
    const auto refused = m_refusedStarts.extract(job);
    if (!refused.empty() && outcome == attempt_outcome::Lost)
        expect(m_scheduler->startRefused(job, refused.mapped(), m_env.now()));
    if (m_outageJobs.contains(job))
        return endInOutage(job, outcome, runSeconds);
    // Reclaimed accelerators must be free before the log is back; follow() expects this.
    if (logIsDown() && holdsOutageLease())
        expect(m_scheduler->attemptEnded(job, attempt, outcome, m_env.now(), runSeconds));
    record(journal::attempt_ended {m_settings.domain, job, attempt, epoch(), outcome, m_env.now(),
                                   runSeconds});
}

} // namespace hyssoppond
