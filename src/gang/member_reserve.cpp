/// @file Reservation, start and settlement of a member.
#include "member_record_type.h"

namespace hyssoppond {

reason gang_member_agent::refusalOf(const gang_reserve &m) const
{
    const gang_header &h = m.header;
    const bool indexed = h.to < m.plan.members.size();
    if (!indexed || m.plan.members.size() > MaxGangMembers
        || m.plan.members[h.to].where.agent != m_self || h.job != m.plan.spec.id)
        return reason::InvalidArgument;
    const gang_peer &me = m.plan.members[h.to];
    if (m_options.mechanisms.incarnationCheck && me.incarnation != 0
        && me.incarnation != m_incarnation)
        return reason::StaleIncarnation;
    if (m_leaving)
        return reason::Leaving;
    if (!m_listRead)
        return reason::WorkerUnreachable;
    if (m_env.now() >= std::min(m.plan.reserveUntil, m.plan.startBefore))
        return reason::Expired;
    if (m_records.size() >= m_options.maxRecords)
        return reason::Overloaded;
    const accelerator_mask wanted = me.where.accelerators;
    if ((wanted & ~m_accelerators) != 0)
        return reason::ImpossibleShape;
    for (const auto &[id, r] : m_records) {
        if (id.job == h.job && id.attempt != h.attempt && isHeld(*r))
            return reason::StaleAttempt;
    }
    return (wanted & ~freeAccelerators()) != 0 ? reason::AcceleratorBusy : reason::None;
}

void gang_member_agent::onReserve(const process_id &from, const gang_reserve &m)
{
    const gang_header &h = m.header;
    const gang_header answer {h.job, h.attempt,        h.epoch,      h.placed,
                              h.to,  CoordinatorIndex, m_incarnation};
    if (epochIsStale(h))
        return refuseEpoch(from, h);
    const task_id id {h.job, h.attempt, h.to};
    const auto it = m_records.find(id);
    if (it != m_records.end()) {
        record &known = *it->second;
        if (known.placed == h.placed) { // repeated
            if (known.isOver())
                return deliver(from, gang_refused {answer, reason::Fenced});
            return deliver(from, gang_reserved {answer});
        }
        // A void placement of an earlier epoch held this member without starting it.
        if (known.placed > h.placed || known.startRequested)
            return deliver(from, gang_refused {answer, reason::StaleAttempt});
        m_records.erase(it);
    }
    const reason why = refusalOf(m);
    if (why != reason::None) {
        if (why != reason::InvalidArgument && why != reason::Overloaded
            && why != reason::StaleIncarnation)
            fencedRecord(h, m.plan.startBefore, why).stopConfirmed = true;
        return deliver(from, gang_refused {answer, why});
    }
    auto r = std::make_unique<record>();
    r->id = id;
    r->placed = h.placed;
    r->epoch = h.epoch;
    r->coordinator = from;
    r->plan = m.plan;
    r->accelerators = m.plan.members[h.to].where.accelerators;
    r->contactAt = m.plan.startBefore; // known to the coordinator, unlike the time of receipt
    const std::uint32_t first = std::min(r->firstChild(m_options.fanOut), r->size());
    r->children.assign(std::min(m_options.fanOut, r->size() - first), absl::InfinitePast());
    report(*r);
    m_records[id] = std::move(r);
    deliver(from, gang_reserved {answer});
}

gang_member_agent::record &gang_member_agent::fencedRecord(const gang_header &header,
                                                           absl::Time startBefore, reason why)
{
    auto r = std::make_unique<record>();
    r->id = {header.job, header.attempt, header.to};
    r->placed = header.placed;
    r->epoch = std::max(m_epoch, header.epoch);
    r->state = gang_member_state::Fenced;
    r->why = why;
    r->plan.startBefore = startBefore;
    r->endedAt = m_env.now();
    // A start that a process before this one sent may still be on its way to the worker.
    r->leaseUntil = std::max(startBefore, m_startedAt + m_options.startWithin) + m_options.lease;
    r->forgetAt = std::max(startBefore, m_env.now() + m_options.startWithin)
        + m_options.maxClockSkew + m_options.lease;
    record &kept = *r;
    m_records[r->id] = std::move(r);
    return kept;
}

void gang_member_agent::onStart(const process_id &from, const gang_start &m)
{
    if (epochIsStale(m.header))
        return refuseEpoch(from, m.header);
    const bool indexed = m.header.to < m.plan.members.size();
    if (!indexed)
        return drop(reason::InvalidArgument);
    record *r = find(m.header);
    const bool mine = m.plan.members[m.header.to].incarnation == m_incarnation;
    if (!mine && m_options.mechanisms.incarnationCheck) {
        if (r == nullptr) {
            r = &fencedRecord(m.header, m.plan.startBefore, reason::StaleIncarnation);
            r->mayHaveRun = true;
            r->coordinator = from;
            stopTask(*r);
        }
        return drop(reason::StaleIncarnation);
    }
    if (r == nullptr) {
        if (m_options.mechanisms.incarnationCheck)
            return drop(reason::StaleAttempt);
        onReserve(from, gang_reserve {m.header, m.plan});
        r = find(m.header);
        if (r == nullptr)
            return;
    }
    r->coordinator = from;
    r->epoch = m.header.epoch;
    if (r->isOver()) {
        if (r->stopConfirmed)
            sendStopped(*r);
        return;
    }
    if (r->state == gang_member_state::Running)
        return sendToCoordinator(*r, gang_started {headerFor(*r, CoordinatorIndex)});
    if (r->state != gang_member_state::Reserved)
        return;
    r->plan.members = m.plan.members; // now with all incarnations
    // Once others may have been told "not started", only a member that started is a reason to
    // start.
    const bool late = m_env.now() >= r->plan.reserveUntil && m_options.mechanisms.startBefore;
    if (r->settling || late)
        return drop(reason::Expired);
    if (m_options.mechanisms.startBefore)
        r->firstLease = m.leaseUntil;
    r->state = gang_member_state::Starting;
    report(*r);
    startTask(*r);
}

void gang_member_agent::startTask(record &r)
{
    const absl::Time now = m_env.now();
    if (now >= r.plan.startBefore && m_options.mechanisms.startBefore) {
        // The next task list tells whether an earlier request took effect.
        if (!r.startRequested)
            return finish(r, gang_member_state::Fenced, reason::Expired);
        r.nextTry = absl::InfiniteFuture();
        return;
    }
    const absl::Time startBefore
        = m_options.mechanisms.startBefore ? r.plan.startBefore : absl::InfiniteFuture();
    // Repetitions keep the first lease, which bounds when the task can run without this agent.
    if (!r.startRequested)
        r.leaseUntil = std::min(now + m_options.lease, r.firstLease);
    r.startRequested = true;
    r.mayHaveRun = true;
    r.askedAt = now;
    r.nextTry = now + m_options.interval;
    m_worker->startTask({r.id, r.accelerators, r.plan.spec.command, startBefore, r.leaseUntil},
                        [this, alive = m_alive, id = r.id, now](const auto &status) {
                            if (*alive)
                                onTaskStatus(id, status, now);
                        });
}

void gang_member_agent::beginSettling(record &r)
{
    if (!m_options.mechanisms.settlement)
        return finish(r, gang_member_state::Fenced, reason::Expired);
    r.settling = true;
    r.answers.assign(r.size(), peer_answer::None);
    r.answers[r.id.member] = peer_answer::NotStarted;
    settle(r);
}

void gang_member_agent::settle(record &r)
{
    const absl::Time now = m_env.now();
    bool started = false;
    bool all = true;
    for (const peer_answer answer : r.answers) {
        if (answer == peer_answer::Gone)
            return finish(r, gang_member_state::Fenced, reason::MemberLost);
        started = started || answer == peer_answer::Started;
        all = all && answer != peer_answer::None;
    }
    if (started && now < r.plan.startBefore) {
        r.settling = false;
        r.state = gang_member_state::Starting;
        report(r);
        return startTask(r);
    }
    if (all || now >= r.plan.startBefore + m_options.maxClockSkew)
        return finish(r, gang_member_state::Fenced, reason::Expired);
    r.nextTry
        = std::min(now + m_options.firstRetry * 2, r.plan.startBefore + m_options.maxClockSkew);
    for (std::uint32_t i = 0; i < r.size(); ++i) {
        const auto to = static_cast<std::uint16_t>(i);
        if (r.answers[i] == peer_answer::None)
            sendToMember(r, to, gang_query {headerFor(r, to), true, false});
    }
}

void gang_member_agent::onState(const gang_state &m)
{
    record *r = find(m.header);
    if (r == nullptr || !r->settling || m.header.from >= r->size())
        return drop(reason::LateAnswer);
    const incarnation_number expected = r->plan.members[m.header.from].incarnation;
    const bool restarted = expected != 0 && expected != m.header.incarnation;
    peer_answer &answer = r->answers[m.header.from];
    if (restarted || m.state == gang_member_state::Fenced || m.state == gang_member_state::Ended) {
        answer = peer_answer::Gone;
    } else if (m.state == gang_member_state::Starting || m.state == gang_member_state::Running) {
        answer = peer_answer::Started;
        r->firstLease = std::min(r->firstLease, m.leaseUntil);
    } else if (m.settling) {
        answer = peer_answer::NotStarted;
    }
    // A repeated query would go out with each answer otherwise.
    const bool decided = answer == peer_answer::Gone || answer == peer_answer::Started
        || std::find(r->answers.begin(), r->answers.end(), peer_answer::None) == r->answers.end();
    if (decided)
        settle(*r);
}

} // namespace hyssoppond
