/// @file Member agent: stop and fencing of a member, queries and throttling.
#include "member_record_type.h"

namespace hyssoppond {

void gang_member_agent::finish(member_record &record, gang_member_state state, reason why)
{
    if (record.isTerminal())
        return;
    const absl::Time now = m_env.now();
    record.state = state;
    record.why = why;
    record.endedAt = now;
    record.settling = false;
    record.stopAt = absl::InfiniteFuture();
    record.nextRetry = absl::InfiniteFuture();
    record.nextReport = absl::InfiniteFuture();
    // A delayed message can still request a start until startBefore plus the clock skew, so the
    // record must be kept for longer than that.
    const absl::Time earliestForget = std::max(now, record.plan.startBefore)
        + m_options.maxClockSkew + m_options.lease + m_options.startTimeout;
    record.forgetAt = std::max(earliestForget, now + m_options.endedRetention);
    notifyMemberState(record);
    // The root stops the other members at once. Otherwise they would run until their leases expire.
    if (record.id.member == 0 && record.mayHaveRun && !record.completed && why != reason::Cancelled
        && why != reason::Preempted) {
        for (std::uint32_t i = 1; i < record.size(); ++i) {
            const auto to = static_cast<std::uint16_t>(i);
            sendToMember(record, to,
                         gang_stop {headerFor(record, to), stop_cause::Lost, absl::InfinitePast(),
                                    record.plan.startBefore});
        }
    }
    if (!record.startRequested)
        record.stopConfirmed = true;
    if (record.stopConfirmed)
        confirmStopped(record);
    else
        stopTask(record);
}

void gang_member_agent::stopTask(member_record &record)
{
    const absl::Time now = m_env.now();
    // A worker stops the task by itself when the lease expires, also when it is unreachable, so
    // after that and the clock skew no answer is needed.
    if (record.stopConfirmed || now >= record.leaseUntil + m_options.maxClockSkew)
        return confirmStopped(record);
    record.nextRetry
        = std::min(now + m_options.interval, record.leaseUntil + m_options.maxClockSkew);
    m_worker->stopTask(record.id, [this, alive = m_alive, id = record.id](const auto &status) {
        if (!*alive || !status || status->state == task_state::Running)
            return;
        const auto it = m_records.find(id);
        if (it == m_records.end() || !it->second->isTerminal() || it->second->stopConfirmed)
            return;
        it->second->completed = status->state == task_state::Completed;
        it->second->failed = status->state == task_state::Failed;
        confirmStopped(*it->second);
        deliverLoopback();
    });
}

void gang_member_agent::confirmStopped(member_record &record)
{
    record.stopConfirmed = true;
    record.nextRetry = absl::InfiniteFuture();
    record.reportDelay = m_options.interval;
    record.nextReport
        = record.coordinator.isEmpty() ? absl::InfiniteFuture() : m_env.now() + record.reportDelay;
    sendStopped(record);
    notifyMemberState(record);
}

void gang_member_agent::sendStopped(const member_record &record)
{
    gang_stopped message;
    message.header = headerFor(record, CoordinatorIndex);
    message.why = record.why;
    message.mayHaveRun = record.mayHaveRun;
    message.completed = record.completed;
    message.failed = record.failed;
    message.keepalivesEnded = !record.isAlive();
    if (record.startedAt != absl::InfinitePast())
        message.runSeconds = absl::ToDoubleSeconds(record.endedAt - record.startedAt);
    sendToCoordinator(record, message);
}

void gang_member_agent::checkpoint(member_record &record, absl::Time until)
{
    if (record.checkpointed)
        return sendToCoordinator(record, gang_checkpointed {headerFor(record, CoordinatorIndex)});
    if (record.stopAt != absl::InfiniteFuture())
        return; // repeated request; the checkpoint is being written
    // The task runs on after its checkpoint. If it stopped, the leases of members that are still
    // writing their checkpoints would expire.
    record.stopAt = until;
    m_worker->checkpointTask(
        record.id, until, [this, alive = m_alive, id = record.id](const auto &status) {
            const auto it = *alive ? m_records.find(id) : m_records.end();
            if (it == m_records.end() || it->second->isTerminal() || !status)
                return;
            it->second->checkpointed = true;
            sendToCoordinator(*it->second,
                              gang_checkpointed {headerFor(*it->second, CoordinatorIndex)});
            deliverLoopback();
        });
}

void gang_member_agent::onStop(const process_id &from, const gang_stop &message)
{
    const gang_header &header = message.header;
    const bool fromCoordinator = header.from == CoordinatorIndex;
    if (fromCoordinator && epochIsStale(header))
        return refuseEpoch(from, header);
    member_record *record = find(header);
    if (record == nullptr) {
        const task_id id {header.job, header.attempt, header.to};
        const auto it = m_records.find(id);
        if (message.why == stop_cause::Finished || !fromCoordinator)
            return drop(reason::StaleAttempt);
        if (it != m_records.end() && it->second->placed > header.placementEpoch) {
            gang_header answerHeader {
                header.job, header.attempt,   header.epoch, header.placementEpoch,
                header.to,  CoordinatorIndex, m_incarnation};
            gang_stopped stopped;
            stopped.header = answerHeader;
            stopped.why = reason::StaleEpoch;
            stopped.mayHaveRun = false;
            return deliver(from, stopped);
        }
        if (it != m_records.end() && it->second->startRequested && !it->second->stopConfirmed)
            return drop(reason::StaleAttempt);
        record = &addFencedRecord(header, message.startBefore, reason::StaleAttempt);
        record->coordinator = from;
        record->mayHaveRun = true; // an earlier incarnation of this agent may have started it
        return stopTask(*record);
    }
    if (fromCoordinator) {
        record->coordinator = from;
        record->epoch = header.epoch;
    }
    if (message.why == stop_cause::Finished && record->isTerminal()) {
        record->endKnownToCoordinator = true;
        record->nextReport = absl::InfiniteFuture();
        const absl::Time earliestForget = std::max(m_env.now(), record->plan.startBefore)
            + m_options.maxClockSkew + m_options.lease + m_options.startTimeout;
        record->forgetAt = std::min(record->forgetAt, earliestForget);
        return;
    }
    if (record->isTerminal()) {
        record->endKnownToCoordinator = record->endKnownToCoordinator || fromCoordinator;
        if (record->stopConfirmed)
            sendStopped(*record);
        return;
    }
    if (message.checkpointUntil > m_env.now() && record->state == gang_member_state::Running)
        return checkpoint(*record, message.checkpointUntil);
    const reason why = message.why == stop_cause::Preempt ? reason::Preempted
        : message.why == stop_cause::Lost                 ? reason::MemberLost
                                                          : reason::Cancelled;
    finish(*record, record->startRequested ? gang_member_state::Ended : gang_member_state::Fenced,
           why);
}

gang_state gang_member_agent::stateOf(const member_record &record, std::uint16_t to,
                                      bool wantPlan) const
{
    gang_state state;
    state.header = headerFor(record, to);
    state.state = record.state;
    state.settling = record.settling;
    state.leaseUntil = record.leaseUntil;
    state.reserveUntil = record.plan.reserveUntil;
    state.startBefore = record.plan.startBefore;
    if (wantPlan && record.size() != 0)
        state.plan.push_back(record.plan);
    return state;
}

void gang_member_agent::onQuery(const process_id &from, const gang_query &message)
{
    const gang_header &header = message.header;
    const bool fromCoordinator = header.from == CoordinatorIndex;
    if (fromCoordinator && epochIsStale(header))
        return refuseEpoch(from, header);
    if (fromCoordinator && header.job.isEmpty()) {
        for (const auto &[id, record] : m_records) {
            deliver(from, stateOf(*record, CoordinatorIndex, message.wantPlan));
        }
        return;
    }
    member_record *record = find(header);
    if (record == nullptr) {
        gang_header answerHeader {header.job, header.attempt, header.epoch, header.placementEpoch,
                                  header.to,  header.from,    m_incarnation};
        // The answer says that this member never starts, so a fenced record must be kept.
        const task_id id {header.job, header.attempt, header.to};
        if (!m_records.contains(id)) {
            member_record &fenced = addFencedRecord(header, m_env.now() + m_options.startTimeout,
                                                    reason::StaleAttempt);
            fenced.mayHaveRun = true;
            fenced.coordinator = fromCoordinator ? from : process_id();
            stopTask(fenced);
        }
        gang_state state;
        state.header = answerHeader;
        return deliver(from, state);
    }
    if (fromCoordinator) {
        record->coordinator = from;
        record->epoch = header.epoch;
    }
    if (message.settling && record->state == gang_member_state::Reserved && !record->settling)
        beginSettling(*record);
    deliver(from, stateOf(*record, header.from, message.wantPlan));
    if (fromCoordinator && record->isTerminal() && record->stopConfirmed)
        sendStopped(*record);
}

void gang_member_agent::onThrottle(const process_id &from, const gang_throttle &message)
{
    if (epochIsStale(message.header))
        return refuseEpoch(from, message.header);
    member_record *record = find(message.header);
    if (record == nullptr || record->state != gang_member_state::Running)
        return drop(reason::WrongState);
    record->coordinator = from;
    const gang_throttled answer {headerFor(*record, CoordinatorIndex), message.percent};
    m_worker->throttleTask(record->id, message.percent,
                           [this, alive = m_alive, from, answer](const auto &status) {
                               if (*alive && status)
                                   deliver(from, answer);
                           });
}

} // namespace hyssoppond
