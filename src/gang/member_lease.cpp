/// @file The worker's task list and the tree that renews the leases of a running gang.
#include "member_record_type.h"

namespace hyssoppond {

void gang_member_agent::poll()
{
    const absl::Time now = m_env.now();
    // All agents poll at the same multiples of the interval, so that the reports of one round
    // pass through the whole tree at once.
    m_nextPoll = absl::UnixEpoch() + absl::Floor(now - absl::UnixEpoch(), m_options.interval)
        + m_options.interval;
    m_worker->listTasks([this, alive = m_alive, now](const auto &list) {
        if (*alive && list)
            onList(*list, now);
    });
}

void gang_member_agent::onList(const std::vector<task_status> &list, absl::Time asked)
{
    std::map<task_id, const task_status *> byId;
    for (const task_status &status : list) {
        byId[status.id] = &status;
        if (status.state != task_state::Running || m_records.contains(status.id))
            continue;
        // Started by an earlier process of this agent.
        gang_header header {status.id.job, status.id.attempt};
        header.to = static_cast<std::uint16_t>(status.id.member);
        record &r = fencedRecord(header, absl::InfinitePast(), reason::StaleIncarnation);
        r.accelerators = status.accelerators;
        r.mayHaveRun = true;
        stopTask(r);
    }
    m_listRead = true;
    for (const auto &[id, r] : m_records) {
        const auto it = byId.find(id);
        applyStatus(*r, it == byId.end() ? nullptr : it->second, asked);
    }
    for (const auto &[id, r] : m_records) {
        if (r->isAlive())
            reportAlive(*r, false);
    }
    drainLoopback();
}

void gang_member_agent::applyStatus(record &r, const task_status *status, absl::Time asked)
{
    const bool running = status != nullptr && status->state == task_state::Running;
    if (r.isOver()) {
        if (running && r.stopConfirmed && !r.completed && !r.failed) {
            r.stopConfirmed = false; // a delayed start took effect
            stopTask(r);
        }
        return;
    }
    if (!r.startRequested)
        return;
    if (status != nullptr)
        return onTaskStatus(r.id, *status, asked);
    // A list that was asked for before the start does not contain the task.
    const bool startSettled = r.state == gang_member_state::Running
        ? asked > r.startedAt
        : asked > r.plan.startBefore + m_options.maxClockSkew;
    if (startSettled)
        finish(r, gang_member_state::Ended, reason::WorkerRefused);
}

void gang_member_agent::onTaskStatus(const task_id &id, const result<task_status> &status,
                                     absl::Time asked)
{
    const auto it = m_records.find(id);
    if (it == m_records.end() || it->second->isOver())
        return;
    record &r = *it->second;
    if (!status) {
        const bool settled = status.error().state == execution::NotRun;
        if (r.state == gang_member_state::Starting && settled) {
            r.mayHaveRun = false;
            finish(r, gang_member_state::Ended, status.error().why);
        }
        return drainLoopback();
    }
    if (status->state != task_state::Running) {
        onTaskEnded(r, *status);
        return drainLoopback();
    }
    r.confirmedAt = std::max(r.confirmedAt, asked);
    if (r.state == gang_member_state::Starting) {
        r.state = gang_member_state::Running;
        r.startedAt = m_env.now();
        r.nextTry = absl::InfiniteFuture();
        r.reportDelay = m_options.firstRetry;
        r.nextReport = r.startedAt + r.reportDelay;
        report(r);
        sendToCoordinator(r, gang_started {headerFor(r, CoordinatorIndex)});
        reportAlive(r, false);
    }
    drainLoopback();
}

void gang_member_agent::onTaskEnded(record &r, const task_status &status)
{
    r.completed = status.state == task_state::Completed;
    r.failed = status.state == task_state::Failed;
    r.stopConfirmed = true;
    finish(r, gang_member_state::Ended, r.completed ? reason::None : reason::WorkerRefused);
}

bool gang_member_agent::isFresh(const record &r) const
{
    // Members are polled some milliseconds apart, so the lease may trail a report by that.
    return r.leaseUntil >= r.reportedAlive + m_options.lease - m_options.interval / 2;
}

void gang_member_agent::reportAlive(record &r, bool repeat)
{
    r.nextAlive = absl::InfiniteFuture();
    const absl::Time now = m_env.now();
    if (!r.isAlive() || now >= r.leaseUntil || (repeat && isFresh(r)))
        return;
    absl::Time aliveAt = r.completed ? now : r.confirmedAt;
    if (!m_options.mechanisms.treeLease)
        return applyRenew(r, aliveAt + m_options.lease, r.contactAt);
    for (const absl::Time child : r.children)
        aliveAt = std::min(aliveAt, child);
    if (aliveAt <= r.reportedAlive && !repeat)
        return;
    r.reportedAlive = aliveAt;
    if (aliveAt == absl::InfinitePast())
        return;
    gang_keepalive keepalive {headerFor(r, CoordinatorIndex), aliveAt};
    if (r.id.member == 0) {
        sendToCoordinator(r, keepalive);
        applyRenew(r, std::min(aliveAt + m_options.lease, r.contactAt + m_options.contactLimit),
                   r.contactAt);
        return;
    }
    const auto parent = static_cast<std::uint16_t>(r.parent(m_options.fanOut));
    keepalive.header.to = parent;
    sendToMember(r, parent, keepalive);
    r.nextAlive = now + m_options.interval / 4;
}

void gang_member_agent::onKeepalive(const gang_keepalive &m)
{
    record *r = find(m.header);
    if (r == nullptr || r->isOver() != r->completed)
        return drop(reason::StaleAttempt);
    const std::uint32_t child = m.header.from - r->firstChild(m_options.fanOut);
    if (child >= r->children.size())
        return drop(reason::InvalidArgument);
    const incarnation_number expected = r->plan.members[m.header.from].incarnation;
    if (m_options.mechanisms.incarnationCheck && expected != 0 && expected != m.header.incarnation)
        return drop(reason::StaleIncarnation);
    const bool repeated = m.aliveAt <= r->children[child];
    r->children[child] = std::max(r->children[child], m.aliveAt);
    if (!repeated)
        return reportAlive(*r, false);
    if (r->leaseUntil >= m.aliveAt + m_options.lease - m_options.interval / 2)
        sendRenew(*r, m.header.from); // the child has not received it
}

void gang_member_agent::onRenew(const process_id &from, const gang_renew &m)
{
    record *r = find(m.header);
    if (r == nullptr || !r->isAlive())
        return drop(reason::StaleAttempt);
    if (m.header.from == CoordinatorIndex) {
        if (epochIsStale(m.header))
            return refuseEpoch(from, m.header);
        r->coordinator = from;
        r->epoch = m.header.epoch;
        r->contactAt = std::max(r->contactAt, m.contactAt);
        return;
    }
    applyRenew(*r, m.leaseUntil, m.contactAt);
}

void gang_member_agent::applyRenew(record &r, absl::Time leaseUntil, absl::Time contactAt)
{
    r.contactAt = std::max(r.contactAt, contactAt);
    if (leaseUntil <= r.leaseUntil)
        return;
    r.leaseUntil = leaseUntil;
    if (r.state == gang_member_state::Running) {
        m_worker->renewLease(r.id, leaseUntil,
                             [this, alive = m_alive, id = r.id](const auto &status) {
                                 // The poll confirms that the task runs; only an end counts here.
                                 if (*alive && status && status->state != task_state::Running)
                                     onTaskStatus(id, status, absl::InfinitePast());
                             });
    }
    if (!m_options.mechanisms.treeLease)
        return;
    for (std::size_t i = 0; i < r.children.size(); ++i)
        sendRenew(r, static_cast<std::uint16_t>(r.firstChild(m_options.fanOut) + i));
}

void gang_member_agent::sendRenew(record &r, std::uint16_t child)
{
    sendToMember(r, child, gang_renew {headerFor(r, child), r.leaseUntil, r.contactAt});
}

} // namespace hyssoppond
