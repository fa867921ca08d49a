/// @file End of a member: stop, fencing, queries and throttling.
#include "member_record_type.h"

namespace hyssoppond {

void gang_member_agent::finish(record &r, gang_member_state state, reason why)
{
    if (r.isOver())
        return;
    const absl::Time now = m_env.now();
    r.state = state;
    r.why = why;
    r.endedAt = now;
    r.settling = false;
    r.stopAt = absl::InfiniteFuture();
    r.nextTry = absl::InfiniteFuture();
    r.nextReport = absl::InfiniteFuture();
    // Until startBefore plus skew a delayed message can still ask for a start.
    const absl::Time safe = std::max(now, r.plan.startBefore) + m_options.maxClockSkew
        + m_options.lease + m_options.startWithin;
    r.forgetAt = std::max(safe, now + m_options.keepEvidence);
    report(r);
    // The root ends the gang at once; without this the other leases lapse.
    if (r.id.member == 0 && r.mayHaveRun && !r.completed && why != reason::Cancelled
        && why != reason::Preempted) {
        for (std::uint32_t i = 1; i < r.size(); ++i) {
            const auto to = static_cast<std::uint16_t>(i);
            sendToMember(r, to,
                         gang_stop {headerFor(r, to), stop_cause::Lost, absl::InfinitePast(),
                                    r.plan.startBefore});
        }
    }
    if (!r.startRequested)
        r.stopConfirmed = true;
    if (r.stopConfirmed)
        confirmStopped(r);
    else
        stopTask(r);
}

void gang_member_agent::stopTask(record &r)
{
    const absl::Time now = m_env.now();
    // An unreachable worker ends the task by itself when the lease has passed.
    if (r.stopConfirmed || now >= r.leaseUntil + m_options.maxClockSkew)
        return confirmStopped(r);
    r.nextTry = std::min(now + m_options.interval, r.leaseUntil + m_options.maxClockSkew);
    m_worker->stopTask(r.id, [this, alive = m_alive, id = r.id](const auto &status) {
        if (!*alive || !status || status->state == task_state::Running)
            return;
        const auto it = m_records.find(id);
        if (it == m_records.end() || !it->second->isOver() || it->second->stopConfirmed)
            return;
        it->second->completed = status->state == task_state::Completed;
        it->second->failed = status->state == task_state::Failed;
        confirmStopped(*it->second);
        drainLoopback();
    });
}

void gang_member_agent::confirmStopped(record &r)
{
    r.stopConfirmed = true;
    r.nextTry = absl::InfiniteFuture();
    r.reportDelay = m_options.interval;
    r.nextReport = r.coordinator.isEmpty() ? absl::InfiniteFuture() : m_env.now() + r.reportDelay;
    sendStopped(r);
    report(r);
}

void gang_member_agent::sendStopped(const record &r)
{
    gang_stopped m;
    m.header = headerFor(r, CoordinatorIndex);
    m.why = r.why;
    m.mayHaveRun = r.mayHaveRun;
    m.completed = r.completed;
    m.failed = r.failed;
    m.quiet = !r.isAlive();
    if (r.startedAt != absl::InfinitePast())
        m.runSeconds = absl::ToDoubleSeconds(r.endedAt - r.startedAt);
    sendToCoordinator(r, m);
}

void gang_member_agent::checkpoint(record &r, absl::Time until)
{
    if (r.checkpointed)
        return sendToCoordinator(r, gang_checkpointed {headerFor(r, CoordinatorIndex)});
    if (r.stopAt != absl::InfiniteFuture())
        return; // repeated; the checkpoint is being written
    // The task runs on after its checkpoint: if it stopped, the leases of members that are still
    // writing theirs would lapse.
    r.stopAt = until;
    m_worker->checkpointTask(r.id, until, [this, alive = m_alive, id = r.id](const auto &status) {
        const auto it = *alive ? m_records.find(id) : m_records.end();
        if (it == m_records.end() || it->second->isOver() || !status)
            return;
        it->second->checkpointed = true;
        sendToCoordinator(*it->second,
                          gang_checkpointed {headerFor(*it->second, CoordinatorIndex)});
        drainLoopback();
    });
}

void gang_member_agent::onStop(const process_id &from, const gang_stop &m)
{
    const gang_header &h = m.header;
    const bool fromCoordinator = h.from == CoordinatorIndex;
    if (fromCoordinator && epochIsStale(h))
        return refuseEpoch(from, h);
    record *r = find(h);
    if (r == nullptr) {
        const task_id id {h.job, h.attempt, h.to};
        const auto it = m_records.find(id);
        if (m.why == stop_cause::Finished || !fromCoordinator)
            return drop(reason::StaleAttempt);
        if (it != m_records.end() && it->second->placed > h.placed) {
            gang_header answer {h.job, h.attempt,        h.epoch,      h.placed,
                                h.to,  CoordinatorIndex, m_incarnation};
            gang_stopped stopped;
            stopped.header = answer;
            stopped.why = reason::StaleEpoch;
            stopped.mayHaveRun = false;
            return deliver(from, stopped);
        }
        if (it != m_records.end() && it->second->startRequested && !it->second->stopConfirmed)
            return drop(reason::StaleAttempt);
        r = &fencedRecord(h, m.startBefore, reason::StaleAttempt);
        r->coordinator = from;
        r->mayHaveRun = true; // an earlier process of this agent may have started it
        return stopTask(*r);
    }
    if (fromCoordinator) {
        r->coordinator = from;
        r->epoch = h.epoch;
    }
    if (m.why == stop_cause::Finished && r->isOver()) {
        r->finished = true;
        r->nextReport = absl::InfiniteFuture();
        const absl::Time safe = std::max(m_env.now(), r->plan.startBefore) + m_options.maxClockSkew
            + m_options.lease + m_options.startWithin;
        r->forgetAt = std::min(r->forgetAt, safe);
        return;
    }
    if (r->isOver()) {
        r->finished = r->finished || fromCoordinator;
        if (r->stopConfirmed)
            sendStopped(*r);
        return;
    }
    if (m.checkpointUntil > m_env.now() && r->state == gang_member_state::Running)
        return checkpoint(*r, m.checkpointUntil);
    const reason why = m.why == stop_cause::Preempt ? reason::Preempted
        : m.why == stop_cause::Lost                 ? reason::MemberLost
                                                    : reason::Cancelled;
    finish(*r, r->startRequested ? gang_member_state::Ended : gang_member_state::Fenced, why);
}

gang_state gang_member_agent::stateOf(const record &r, std::uint16_t to, bool wantPlan) const
{
    gang_state state;
    state.header = headerFor(r, to);
    state.state = r.state;
    state.settling = r.settling;
    state.leaseUntil = r.leaseUntil;
    state.reserveUntil = r.plan.reserveUntil;
    state.startBefore = r.plan.startBefore;
    if (wantPlan && r.size() != 0)
        state.plan.push_back(r.plan);
    return state;
}

void gang_member_agent::onQuery(const process_id &from, const gang_query &m)
{
    const gang_header &h = m.header;
    const bool fromCoordinator = h.from == CoordinatorIndex;
    if (fromCoordinator && epochIsStale(h))
        return refuseEpoch(from, h);
    if (fromCoordinator && h.job.isEmpty()) {
        for (const auto &[id, r] : m_records) {
            deliver(from, stateOf(*r, CoordinatorIndex, m.wantPlan));
        }
        return;
    }
    record *r = find(h);
    if (r == nullptr) {
        gang_header answer {h.job, h.attempt, h.epoch, h.placed, h.to, h.from, m_incarnation};
        // The answer says that this member never starts, so it must be remembered.
        const task_id id {h.job, h.attempt, h.to};
        if (!m_records.contains(id)) {
            record &fenced
                = fencedRecord(h, m_env.now() + m_options.startWithin, reason::StaleAttempt);
            fenced.mayHaveRun = true;
            fenced.coordinator = fromCoordinator ? from : process_id();
            stopTask(fenced);
        }
        gang_state state;
        state.header = answer;
        return deliver(from, state);
    }
    if (fromCoordinator) {
        r->coordinator = from;
        r->epoch = h.epoch;
    }
    if (m.settling && r->state == gang_member_state::Reserved && !r->settling)
        beginSettling(*r);
    deliver(from, stateOf(*r, h.from, m.wantPlan));
    if (fromCoordinator && r->isOver() && r->stopConfirmed)
        sendStopped(*r);
}

void gang_member_agent::onThrottle(const process_id &from, const gang_throttle &m)
{
    if (epochIsStale(m.header))
        return refuseEpoch(from, m.header);
    record *r = find(m.header);
    if (r == nullptr || r->state != gang_member_state::Running)
        return drop(reason::WrongState);
    r->coordinator = from;
    const gang_throttled answer {headerFor(*r, CoordinatorIndex), m.percent};
    m_worker->throttleTask(r->id, m.percent,
                           [this, alive = m_alive, from, answer](const auto &status) {
                               if (*alive && status)
                                   deliver(from, answer);
                           });
}

} // namespace hyssoppond
