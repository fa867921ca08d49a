/// @file Progress of one attempt at the coordinator.
#include "coordinator_attempt_type.h"

namespace hyssoppond {

namespace {

bool isStopped(const coordinated_member &member)
{
    return member.observedState == observed_member_state::Stopped;
}

bool isCompleted(const coordinated_member &member)
{
    return isStopped(member) && member.completed;
}

bool hasStarted(const coordinated_member &member)
{
    return member.observedState == observed_member_state::Started || isCompleted(member);
}

} // namespace

void gang_coordinator::onReserved(attempt_state &attemptState, const gang_header &header)
{
    coordinated_member &member = attemptState.members[header.from];
    incarnation_number &incarnation = attemptState.plan.members[header.from].incarnation;
    if (member.observedState == observed_member_state::Unknown
        && attemptState.phase == attempt_phase::Reserving) {
        member.observedState = observed_member_state::Reserved;
        incarnation = header.incarnation;
    } else if (member.observedState == observed_member_state::Reserved
               && incarnation != header.incarnation) {
        beginStop(attemptState, attempt_outcome::Lost); // the agent has restarted since it reserved
    }
}

void gang_coordinator::onMemberRefused(attempt_state &attemptState, std::uint16_t index, reason why)
{
    coordinated_member &member = attemptState.members[index];
    // A gang_reserve that is repeated after the member has ended is refused too, with Fenced. Such
    // a refusal is ignored here.
    if (member.observedState != observed_member_state::Unknown
        || attemptState.phase != attempt_phase::Reserving)
        return;
    member.observedState = observed_member_state::Stopped;
    member.mayHaveRun = false;
    member.keepalivesEnded = true;
    attemptState.keepalivesEndedAt = std::min(attemptState.keepalivesEndedAt, m_env.now());
    if (m_hooks.onRefused) {
        m_hooks.onRefused({attemptState.placement.spec.id, attemptState.placement.attempt,
                           attemptState.placement.members[index].member.worker, why});
    }
    beginStop(attemptState, attempt_outcome::Aborted);
}

void gang_coordinator::onStopped(attempt_state &attemptState, const gang_stopped &message)
{
    coordinated_member &member = attemptState.members[message.header.from];
    const bool firstReport = !isStopped(member);
    member.observedState = observed_member_state::Stopped;
    member.keepalivesEnded = member.keepalivesEnded || message.keepalivesEnded;
    if (message.keepalivesEnded)
        attemptState.keepalivesEndedAt = std::min(attemptState.keepalivesEndedAt, m_env.now());
    if (!firstReport)
        return;
    member.mayHaveRun = message.mayHaveRun;
    member.completed = message.completed;
    member.failed = message.failed;
    attemptState.runSeconds = std::max(attemptState.runSeconds, message.runSeconds);
    if (message.completed || attemptState.phase == attempt_phase::Stopping)
        return;
    if (!message.mayHaveRun && !attemptState.startReported && m_hooks.onRefused) {
        m_hooks.onRefused({attemptState.placement.spec.id, attemptState.placement.attempt,
                           attemptState.placement.members[message.header.from].member.worker,
                           message.why});
    }
    beginStop(attemptState, message.failed ? attempt_outcome::Failed : attempt_outcome::Lost);
}

void gang_coordinator::onState(attempt_state &attemptState, const gang_state &message) const
{
    coordinated_member &member = attemptState.members[message.header.from];
    if (isStopped(member))
        return;
    const bool hasPlanTimes = message.startBefore != absl::InfinitePast();
    switch (message.state) {
    case gang_member_state::Reserved:
        if (attemptState.phase != attempt_phase::Querying)
            return;
        member.observedState = observed_member_state::Reserved;
        break;
    case gang_member_state::Starting:
        if (attemptState.phase != attempt_phase::Querying)
            return;
        // The agent sends gang_started when the task runs.
        member.observedState = observed_member_state::Reserved;
        attemptState.firstLease = std::min(attemptState.firstLease, message.leaseUntil);
        break;
    case gang_member_state::Running:
        member.observedState = observed_member_state::Started;
        attemptState.firstLease = std::min(attemptState.firstLease, message.leaseUntil);
        attemptState.lastAliveAt
            = std::max(attemptState.lastAliveAt, message.leaseUntil - m_options.lease);
        break;
    case gang_member_state::Ended:
    case gang_member_state::Fenced:
        return; // the agent sends gang_stopped when the worker has confirmed the stop
    }
    attemptState.plan.members[message.header.from].incarnation = message.header.incarnation;
    if (hasPlanTimes && attemptState.takenOver) {
        attemptState.plan.reserveUntil = message.reserveUntil;
        attemptState.plan.startBefore
            = std::max(attemptState.plan.startBefore, message.startBefore);
    }
}

void gang_coordinator::onKeepalive(const process_id &from, attempt_state &attemptState,
                                   const gang_keepalive &message)
{
    attemptState.lastAliveAt = std::max(attemptState.lastAliveAt, message.aliveAt);
    if (attemptState.phase == attempt_phase::Stopping
        && attemptState.checkpointUntil <= m_env.now())
        return;
    // The root sends keepalives only while all members are alive, so this message also replaces a
    // gang_started that was lost.
    for (coordinated_member &member : attemptState.members) {
        if (!isStopped(member))
            member.observedState = observed_member_state::Started;
    }
    attemptState.lastContactAt = m_env.now();
    m_hooks.send(
        from,
        gang_renew {headerFor(attemptState, 0), absl::InfinitePast(), attemptState.lastContactAt});
}

void gang_coordinator::advance(attempt_state &attemptState)
{
    if (attemptState.allMembers(isCompleted)) {
        attemptState.outcome = attempt_outcome::Completed;
        return finish(attemptState);
    }
    switch (attemptState.phase) {
    case attempt_phase::Querying:
        advanceQuery(attemptState);
        break;
    case attempt_phase::Reserving:
        if (!attemptState.allMembers([](const auto &member) {
                return member.observedState == observed_member_state::Reserved;
            }))
            break;
        attemptState.phase = attempt_phase::Starting;
        for (coordinated_member &member : attemptState.members) {
            member.nextSend = absl::InfinitePast();
            member.retryDelay = absl::ZeroDuration();
        }
        transmit(attemptState);
        break;
    case attempt_phase::Starting:
        if (!attemptState.allMembers(hasStarted))
            break;
        attemptState.phase = attempt_phase::Running;
        attemptState.lastAliveAt = std::max(attemptState.lastAliveAt, m_env.now());
        attemptState.startReported = true;
        if (m_hooks.onStarted)
            m_hooks.onStarted(attemptState.placement.spec.id, attemptState.placement.attempt);
        break;
    case attempt_phase::Running:
        if (!attemptState.throttlePending
            || !attemptState.allMembers([&attemptState](const auto &member) {
                   return member.appliedPercent == attemptState.targetPercent;
               }))
            break;
        attemptState.throttlePending = false;
        if (m_hooks.onThrottled)
            m_hooks.onThrottled(attemptState.placement.spec.id, attemptState.placement.attempt,
                                attemptState.targetPercent);
        break;
    case attempt_phase::Stopping:
        if (attemptState.checkpointUntil > m_env.now()
            && attemptState.allMembers(
                [](const auto &member) { return member.checkpointed || isStopped(member); })) {
            attemptState.checkpointUntil = absl::InfinitePast();
            for (coordinated_member &member : attemptState.members)
                member.nextSend = absl::InfinitePast();
            transmit(attemptState);
        }
        if (everyMemberFenced(attemptState))
            finish(attemptState);
        break;
    }
}

void gang_coordinator::advanceQuery(attempt_state &attemptState)
{
    if (attemptState.anyMember([](const auto &member) {
            return member.observedState == observed_member_state::Unknown;
        }))
        return;
    attemptState.phase = attempt_phase::Starting;
    for (coordinated_member &member : attemptState.members)
        member.nextSend = absl::InfinitePast();
    advance(attemptState);
    if (attemptState.phase == attempt_phase::Starting)
        transmit(attemptState);
}

void gang_coordinator::beginStop(attempt_state &attemptState, attempt_outcome outcome)
{
    if (attemptState.phase == attempt_phase::Stopping) {
        // A cancellation replaces the outcome of an attempt that has not ended yet.
        if (outcome == attempt_outcome::Cancelled)
            attemptState.outcome = outcome;
        return;
    }
    attemptState.phase = attempt_phase::Stopping;
    attemptState.outcome = outcome;
    for (coordinated_member &member : attemptState.members) {
        member.nextSend = absl::InfinitePast();
        member.retryDelay = absl::ZeroDuration();
    }
    transmit(attemptState);
}

bool gang_coordinator::everyMemberFenced(const attempt_state &attemptState) const
{
    if (!m_options.mechanisms.waitForFencing)
        return true;
    if (attemptState.allMembers(isStopped))
        return true;
    const absl::Time now = m_env.now();
    // Another decider may have taken over while this process was paused; the agents get the time of
    // one lease to report its higher epoch.
    if (now < m_pauseEndedAt + m_options.lease)
        return false;
    // Leases are renewed only with a keepalive of every member. Once a member is known to send
    // none, no lease extends beyond that time plus the lease duration. Without such a member, the
    // gang may run on without a coordinator until contactLimit after the last contact or
    // startBefore.
    absl::Time lastRunEnd = attemptState.plan.startBefore + m_options.lease;
    if (attemptState.startSent || attemptState.takenOver) {
        const absl::Time contactEnd
            = std::max(attemptState.lastContactAt, attemptState.plan.startBefore)
            + m_options.contactLimit;
        lastRunEnd = std::max(
            lastRunEnd, std::min(attemptState.keepalivesEndedAt + m_options.lease, contactEnd));
    }
    return now > lastRunEnd + m_options.maxClockSkew * 2;
}

void gang_coordinator::finish(attempt_state &attemptState)
{
    const bool neverRan = (!attemptState.startSent && !attemptState.takenOver)
        || attemptState.allMembers(
            [](const auto &member) { return isStopped(member) && !member.mayHaveRun; });
    if (attemptState.outcome == attempt_outcome::Lost
        || attemptState.outcome == attempt_outcome::Aborted
        || attemptState.outcome == attempt_outcome::Preempted) {
        if (neverRan)
            attemptState.outcome = attempt_outcome::Aborted;
        else if (attemptState.outcome == attempt_outcome::Aborted)
            attemptState.outcome = attempt_outcome::Lost;
    }
    const absl::Time now = m_env.now();
    for (std::size_t i = 0; i < attemptState.members.size(); ++i) {
        const auto to = static_cast<std::uint16_t>(i);
        sendTo(attemptState, to,
               gang_stop {headerFor(attemptState, to), stop_cause::Finished, absl::InfinitePast(),
                          attemptState.plan.startBefore});
    }
    const attempt_key id {attemptState.placement.spec.id, attemptState.placement.attempt};
    const auto ended = m_attempts.extract(id);
    m_endedAttempts[id] = now + m_options.endedRetention;
    if (m_hooks.onEnded)
        m_hooks.onEnded(id.first, id.second, ended.mapped()->outcome, ended.mapped()->runSeconds);
}

void gang_coordinator::tickAttempt(attempt_state &attemptState, absl::Time now)
{
    const absl::Duration silenceLimit = m_options.lease + m_options.maxClockSkew;
    if (attemptState.phase == attempt_phase::Reserving && now >= attemptState.plan.reserveUntil)
        beginStop(attemptState, attempt_outcome::Aborted);
    else if ((attemptState.phase < attempt_phase::Running
              && now >= attemptState.plan.startBefore + silenceLimit)
             || (attemptState.phase == attempt_phase::Running
                 && now >= attemptState.lastAliveAt + silenceLimit))
        beginStop(attemptState, attempt_outcome::Lost);
    else
        transmit(attemptState);
    advance(attemptState);
}

} // namespace hyssoppond
