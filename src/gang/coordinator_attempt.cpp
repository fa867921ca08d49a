/// @file Progress of one attempt at the coordinator.
#include "coordinator_attempt_type.h"

namespace hyssoppond {

namespace {

bool isStopped(const coordinated_member &member)
{
    return member.view == member_view::Stopped;
}

bool isCompleted(const coordinated_member &member)
{
    return isStopped(member) && member.completed;
}

bool hasStarted(const coordinated_member &member)
{
    return member.view == member_view::Started || isCompleted(member);
}

} // namespace

void gang_coordinator::onReserved(attempt &a, const gang_header &header)
{
    coordinated_member &member = a.members[header.from];
    incarnation_number &incarnation = a.plan.members[header.from].incarnation;
    if (member.view == member_view::Unknown && a.phase == attempt_phase::Reserving) {
        member.view = member_view::Reserved;
        incarnation = header.incarnation;
    } else if (member.view == member_view::Reserved && incarnation != header.incarnation) {
        beginStop(a, attempt_outcome::Lost); // the agent has restarted in between
    }
}

void gang_coordinator::refused(attempt &a, std::uint16_t index, reason why)
{
    coordinated_member &member = a.members[index];
    // A repeated gang_reserve that arrives after the end is refused too, as Fenced.
    if (member.view != member_view::Unknown || a.phase != attempt_phase::Reserving)
        return;
    member.view = member_view::Stopped;
    member.mayHaveRun = false;
    member.quiet = true;
    a.quietAt = std::min(a.quietAt, m_env.now());
    if (m_hooks.onRefused) {
        m_hooks.onRefused({a.placement.spec.id, a.placement.attempt,
                           a.placement.members[index].where.worker, why});
    }
    beginStop(a, attempt_outcome::Aborted);
}

void gang_coordinator::onStopped(attempt &a, const gang_stopped &m)
{
    coordinated_member &member = a.members[m.header.from];
    const bool first = !isStopped(member);
    member.view = member_view::Stopped;
    member.quiet = member.quiet || m.quiet;
    if (m.quiet)
        a.quietAt = std::min(a.quietAt, m_env.now());
    if (!first)
        return;
    member.mayHaveRun = m.mayHaveRun;
    member.completed = m.completed;
    member.failed = m.failed;
    a.runSeconds = std::max(a.runSeconds, m.runSeconds);
    if (m.completed || a.phase == attempt_phase::Stopping)
        return;
    if (!m.mayHaveRun && !a.startReported && m_hooks.onRefused) {
        m_hooks.onRefused({a.placement.spec.id, a.placement.attempt,
                           a.placement.members[m.header.from].where.worker, m.why});
    }
    beginStop(a, m.failed ? attempt_outcome::Failed : attempt_outcome::Lost);
}

void gang_coordinator::onState(attempt &a, const gang_state &m) const
{
    coordinated_member &member = a.members[m.header.from];
    if (isStopped(member))
        return;
    const bool known = m.startBefore != absl::InfinitePast();
    switch (m.state) {
    case gang_member_state::Reserved:
        if (a.phase != attempt_phase::Querying)
            return;
        member.view = member_view::Reserved;
        break;
    case gang_member_state::Starting:
        if (a.phase != attempt_phase::Querying)
            return;
        member.view = member_view::Reserved; // gang_started follows
        a.firstLease = std::min(a.firstLease, m.leaseUntil);
        break;
    case gang_member_state::Running:
        member.view = member_view::Started;
        a.firstLease = std::min(a.firstLease, m.leaseUntil);
        a.lastAlive = std::max(a.lastAlive, m.leaseUntil - m_options.lease);
        break;
    case gang_member_state::Ended:
    case gang_member_state::Fenced:
        return; // gang_stopped follows when the worker has confirmed the stop
    }
    a.plan.members[m.header.from].incarnation = m.header.incarnation;
    if (known && a.takenOver) {
        a.plan.reserveUntil = m.reserveUntil;
        a.plan.startBefore = std::max(a.plan.startBefore, m.startBefore);
    }
}

void gang_coordinator::onKeepalive(const process_id &from, attempt &a, const gang_keepalive &m)
{
    a.lastAlive = std::max(a.lastAlive, m.aliveAt);
    if (a.phase == attempt_phase::Stopping && a.checkpointUntil <= m_env.now())
        return;
    // The root counts the whole gang, so this replaces a gang_started that was lost.
    for (coordinated_member &member : a.members) {
        if (!isStopped(member))
            member.view = member_view::Started;
    }
    a.lastContact = m_env.now();
    m_hooks.send(from, gang_renew {headerFor(a, 0), absl::InfinitePast(), a.lastContact});
}

void gang_coordinator::advance(attempt &a)
{
    if (a.all(isCompleted)) {
        a.outcome = attempt_outcome::Completed;
        return finish(a);
    }
    switch (a.phase) {
    case attempt_phase::Querying:
        advanceQuery(a);
        break;
    case attempt_phase::Reserving:
        if (!a.all([](const auto &m) { return m.view == member_view::Reserved; }))
            break;
        a.phase = attempt_phase::Starting;
        for (coordinated_member &member : a.members) {
            member.nextSend = absl::InfinitePast();
            member.delay = absl::ZeroDuration();
        }
        transmit(a);
        break;
    case attempt_phase::Starting:
        if (!a.all(hasStarted))
            break;
        a.phase = attempt_phase::Running;
        a.lastAlive = std::max(a.lastAlive, m_env.now());
        a.startReported = true;
        if (m_hooks.onStarted)
            m_hooks.onStarted(a.placement.spec.id, a.placement.attempt);
        break;
    case attempt_phase::Running:
        if (!a.throttling || !a.all([&a](const auto &m) { return m.percent == a.percent; }))
            break;
        a.throttling = false;
        if (m_hooks.onThrottled)
            m_hooks.onThrottled(a.placement.spec.id, a.placement.attempt, a.percent);
        break;
    case attempt_phase::Stopping:
        if (a.checkpointUntil > m_env.now()
            && a.all([](const auto &m) { return m.checkpointed || isStopped(m); })) {
            a.checkpointUntil = absl::InfinitePast();
            for (coordinated_member &member : a.members)
                member.nextSend = absl::InfinitePast();
            transmit(a);
        }
        if (everyMemberFenced(a))
            finish(a);
        break;
    }
}

void gang_coordinator::advanceQuery(attempt &a)
{
    if (a.any([](const auto &m) { return m.view == member_view::Unknown; }))
        return;
    a.phase = attempt_phase::Starting;
    for (coordinated_member &member : a.members)
        member.nextSend = absl::InfinitePast();
    advance(a);
    if (a.phase == attempt_phase::Starting)
        transmit(a);
}

void gang_coordinator::beginStop(attempt &a, attempt_outcome outcome)
{
    if (a.phase == attempt_phase::Stopping) {
        // A cancellation outranks the outcome of an attempt that has not ended yet.
        if (outcome == attempt_outcome::Cancelled)
            a.outcome = outcome;
        return;
    }
    a.phase = attempt_phase::Stopping;
    a.outcome = outcome;
    for (coordinated_member &member : a.members) {
        member.nextSend = absl::InfinitePast();
        member.delay = absl::ZeroDuration();
    }
    transmit(a);
}

bool gang_coordinator::everyMemberFenced(const attempt &a) const
{
    if (!m_options.mechanisms.waitForFencing)
        return true;
    if (a.all(isStopped))
        return true;
    const absl::Time now = m_env.now();
    // Another decider may have taken over during a pause; its agents get time to say so.
    if (now < m_resumedAt + m_options.lease)
        return false;
    // No lease is older than the last report of a member that has stopped, because the tree needs
    // all members. Without such a member, the gang may run on without a coordinator.
    absl::Time last = a.plan.startBefore + m_options.lease;
    if (a.startSent || a.takenOver) {
        const absl::Time unheard
            = std::max(a.lastContact, a.plan.startBefore) + m_options.contactLimit;
        last = std::max(last, std::min(a.quietAt + m_options.lease, unheard));
    }
    return now > last + m_options.maxClockSkew * 2;
}

void gang_coordinator::finish(attempt &a)
{
    const bool neverRan = (!a.startSent && !a.takenOver)
        || a.all([](const auto &m) { return isStopped(m) && !m.mayHaveRun; });
    if (a.outcome == attempt_outcome::Lost || a.outcome == attempt_outcome::Aborted
        || a.outcome == attempt_outcome::Preempted) {
        if (neverRan)
            a.outcome = attempt_outcome::Aborted;
        else if (a.outcome == attempt_outcome::Aborted)
            a.outcome = attempt_outcome::Lost;
    }
    const absl::Time now = m_env.now();
    for (std::size_t i = 0; i < a.members.size(); ++i) {
        const auto to = static_cast<std::uint16_t>(i);
        sendTo(a, to,
               gang_stop {headerFor(a, to), stop_cause::Finished, absl::InfinitePast(),
                          a.plan.startBefore});
    }
    const key id {a.placement.spec.id, a.placement.attempt};
    const auto ended = m_attempts.extract(id);
    m_ended[id] = now + m_options.keepEvidence;
    if (m_hooks.onEnded)
        m_hooks.onEnded(id.first, id.second, ended.mapped()->outcome, ended.mapped()->runSeconds);
}

void gang_coordinator::tickAttempt(attempt &a, absl::Time now)
{
    const absl::Duration patience = m_options.lease + m_options.maxClockSkew;
    if (a.phase == attempt_phase::Reserving && now >= a.plan.reserveUntil)
        beginStop(a, attempt_outcome::Aborted);
    else if ((a.phase < attempt_phase::Running && now >= a.plan.startBefore + patience)
             || (a.phase == attempt_phase::Running && now >= a.lastAlive + patience))
        beginStop(a, attempt_outcome::Lost);
    else
        transmit(a);
    advance(a);
}

} // namespace hyssoppond
