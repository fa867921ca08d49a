/// @file Member agent: polling of the worker's task list and the tree that renews the leases of a
/// running gang.
#include "member_record_type.h"

namespace hyssoppond {

void gang_member_agent::poll()
{
    const absl::Time now = m_env.now();
    // All agents poll at the same multiples of the interval, so that the keepalives of one round
    // pass through the whole tree without waiting for a later poll.
    m_nextPoll = absl::UnixEpoch() + absl::Floor(now - absl::UnixEpoch(), m_options.interval)
        + m_options.interval;
    m_worker->listTasks([this, alive = m_alive, now](const auto &list) {
        if (*alive && list)
            onTaskList(*list, now);
    });
}

void gang_member_agent::onTaskList(const std::vector<task_status> &list, absl::Time requestedAt)
{
    std::map<task_id, const task_status *> byId;
    for (const task_status &status : list) {
        byId[status.id] = &status;
        if (status.state != task_state::Running || m_records.contains(status.id))
            continue;
        // The task was started by an earlier incarnation of this agent, so it is stopped.
        gang_header header {status.id.job, status.id.attempt};
        header.to = static_cast<std::uint16_t>(status.id.member);
        member_record &record
            = addFencedRecord(header, absl::InfinitePast(), reason::StaleIncarnation);
        record.accelerators = status.accelerators;
        record.mayHaveRun = true;
        stopTask(record);
    }
    m_taskListRead = true;
    for (const auto &[id, record] : m_records) {
        const auto it = byId.find(id);
        applyStatus(*record, it == byId.end() ? nullptr : it->second, requestedAt);
    }
    for (const auto &[id, record] : m_records) {
        if (record->isAlive())
            reportAlive(*record, false);
    }
    deliverLoopback();
}

void gang_member_agent::applyStatus(member_record &record, const task_status *status,
                                    absl::Time requestedAt)
{
    const bool running = status != nullptr && status->state == task_state::Running;
    if (record.isTerminal()) {
        if (running && record.stopConfirmed && !record.completed && !record.failed) {
            record.stopConfirmed = false; // a delayed start request took effect after the stop
            stopTask(record);
        }
        return;
    }
    if (!record.startRequested)
        return;
    if (status != nullptr)
        return onTaskStatus(record.id, *status, requestedAt);
    // A list that was requested before the start does not contain the task.
    const bool startSettled = record.state == gang_member_state::Running
        ? requestedAt > record.startedAt
        : requestedAt > record.plan.startBefore + m_options.maxClockSkew;
    if (startSettled)
        finish(record, gang_member_state::Ended, reason::WorkerRefused);
}

void gang_member_agent::onTaskStatus(const task_id &id, const result<task_status> &status,
                                     absl::Time requestedAt)
{
    const auto it = m_records.find(id);
    if (it == m_records.end() || it->second->isTerminal())
        return;
    member_record &record = *it->second;
    if (!status) {
        const bool startNotRun = status.error().state == execution::NotRun;
        if (record.state == gang_member_state::Starting && startNotRun) {
            record.mayHaveRun = false;
            finish(record, gang_member_state::Ended, status.error().why);
        }
        return deliverLoopback();
    }
    if (status->state != task_state::Running) {
        onTaskEnded(record, *status);
        return deliverLoopback();
    }
    record.confirmedAt = std::max(record.confirmedAt, requestedAt);
    if (record.state == gang_member_state::Starting) {
        record.state = gang_member_state::Running;
        record.startedAt = m_env.now();
        record.nextRetry = absl::InfiniteFuture();
        record.reportDelay = m_options.firstRetry;
        record.nextReport = record.startedAt + record.reportDelay;
        notifyMemberState(record);
        sendToCoordinator(record, gang_started {headerFor(record, CoordinatorIndex)});
        reportAlive(record, false);
    }
    deliverLoopback();
}

void gang_member_agent::onTaskEnded(member_record &record, const task_status &status)
{
    record.completed = status.state == task_state::Completed;
    record.failed = status.state == task_state::Failed;
    record.stopConfirmed = true;
    finish(record, gang_member_state::Ended,
           record.completed ? reason::None : reason::WorkerRefused);
}

bool gang_member_agent::leaseCoversReport(const member_record &record) const
{
    // The agents poll their workers some milliseconds apart, so the lease may lie behind the
    // keepalive by that much. Half an interval is tolerated.
    return record.leaseUntil >= record.reportedAliveAt + m_options.lease - m_options.interval / 2;
}

void gang_member_agent::reportAlive(member_record &record, bool repeat)
{
    record.nextKeepalive = absl::InfiniteFuture();
    const absl::Time now = m_env.now();
    if (!record.isAlive() || now >= record.leaseUntil || (repeat && leaseCoversReport(record)))
        return;
    absl::Time aliveAt = record.completed ? now : record.confirmedAt;
    if (!m_options.mechanisms.treeLease)
        return applyRenew(record, aliveAt + m_options.lease, record.contactAt);
    for (const absl::Time child : record.childAliveAt)
        aliveAt = std::min(aliveAt, child);
    if (aliveAt <= record.reportedAliveAt && !repeat)
        return;
    record.reportedAliveAt = aliveAt;
    if (aliveAt == absl::InfinitePast())
        return;
    gang_keepalive keepalive {headerFor(record, CoordinatorIndex), aliveAt};
    if (record.id.member == 0) {
        sendToCoordinator(record, keepalive);
        applyRenew(record,
                   std::min(aliveAt + m_options.lease, record.contactAt + m_options.contactLimit),
                   record.contactAt);
        return;
    }
    const auto parent = static_cast<std::uint16_t>(record.parent(m_options.fanOut));
    keepalive.header.to = parent;
    sendToMember(record, parent, keepalive);
    record.nextKeepalive = now + m_options.interval / 4;
}

void gang_member_agent::onKeepalive(const gang_keepalive &message)
{
    member_record *record = find(message.header);
    if (record == nullptr || record->isTerminal() != record->completed)
        return drop(reason::StaleAttempt);
    const std::uint32_t child = message.header.from - record->firstChild(m_options.fanOut);
    if (child >= record->childAliveAt.size())
        return drop(reason::InvalidArgument);
    const incarnation_number expected = record->plan.members[message.header.from].incarnation;
    if (m_options.mechanisms.incarnationCheck && expected != 0
        && expected != message.header.incarnation)
        return drop(reason::StaleIncarnation);
    const bool repeated = message.aliveAt <= record->childAliveAt[child];
    record->childAliveAt[child] = std::max(record->childAliveAt[child], message.aliveAt);
    if (!repeated)
        return reportAlive(*record, false);
    if (record->leaseUntil >= message.aliveAt + m_options.lease - m_options.interval / 2)
        sendRenew(*record, message.header.from); // the renewal to the child was lost
}

void gang_member_agent::onRenew(const process_id &from, const gang_renew &message)
{
    member_record *record = find(message.header);
    if (record == nullptr || !record->isAlive())
        return drop(reason::StaleAttempt);
    if (message.header.from == CoordinatorIndex) {
        if (epochIsStale(message.header))
            return refuseEpoch(from, message.header);
        record->coordinator = from;
        record->epoch = message.header.epoch;
        record->contactAt = std::max(record->contactAt, message.contactAt);
        return;
    }
    applyRenew(*record, message.leaseUntil, message.contactAt);
}

void gang_member_agent::applyRenew(member_record &record, absl::Time leaseUntil,
                                   absl::Time contactAt)
{
    record.contactAt = std::max(record.contactAt, contactAt);
    if (leaseUntil <= record.leaseUntil)
        return;
    record.leaseUntil = leaseUntil;
    if (record.state == gang_member_state::Running) {
        m_worker->renewLease(record.id, leaseUntil,
                             [this, alive = m_alive, id = record.id](const auto &status) {
                                 // Only the poll confirms that the task runs. Here only its end is
                                 // taken from the answer.
                                 if (*alive && status && status->state != task_state::Running)
                                     onTaskStatus(id, status, absl::InfinitePast());
                             });
    }
    if (!m_options.mechanisms.treeLease)
        return;
    for (std::size_t i = 0; i < record.childAliveAt.size(); ++i)
        sendRenew(record, static_cast<std::uint16_t>(record.firstChild(m_options.fanOut) + i));
}

void gang_member_agent::sendRenew(member_record &record, std::uint16_t child)
{
    sendToMember(record, child,
                 gang_renew {headerFor(record, child), record.leaseUntil, record.contactAt});
}

} // namespace hyssoppond
