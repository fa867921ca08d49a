/// @file Coordinator: commands, received messages, transmission and timers.
#include "coordinator_attempt_type.h"

namespace hyssoppond {

gang_coordinator::gang_coordinator(process_id self, gang_options options, environment env,
                                   gang_coordinator_hooks hooks)
    : m_self(std::move(self))
    , m_options(options)
    , m_env(std::move(env))
    , m_hooks(std::move(hooks))
{ }

gang_coordinator::~gang_coordinator() = default;

result<gang_coordinator::attempt_state *> gang_coordinator::add(const gang_placement &placement)
{
    const attempt_key id {placement.spec.id, placement.attempt};
    if (placement.members.empty() || placement.members.size() > MaxGangMembers
        || placement.spec.id.isEmpty() || placement.epoch < placement.placementEpoch)
        return fail(reason::InvalidArgument,
                    "gang placement is invalid; give a job id, 1 to 512 members and an epoch not "
                    "below that of the placement");
    if (m_attempts.contains(id) || m_endedAttempts.contains(id))
        return fail(reason::WrongState,
                    "this attempt is already coordinated here; use a new attempt number");
    // Without attempts tick() need not be called, which is not a pause.
    if (m_attempts.empty())
        m_lastTick = m_env.now();
    auto attemptState = std::make_unique<attempt_state>();
    attemptState->placement = placement;
    attemptState->members.resize(placement.members.size());
    const absl::Time now = m_env.now();
    attemptState->plan = {placement.spec, placement.members, now + m_options.reserveTimeout,
                          now + m_options.startTimeout};
    attemptState->lastAliveAt = now;
    attemptState->lastContactAt = now;
    return (m_attempts[id] = std::move(attemptState)).get();
}

result<void> gang_coordinator::start(const gang_placement &placement)
{
    const auto added = add(placement);
    if (!added)
        return tl::unexpected(added.error());
    transmit(**added);
    return {};
}

result<void> gang_coordinator::takeOver(const gang_placement &placement)
{
    const auto added = add(placement);
    if (!added)
        return tl::unexpected(added.error());
    (*added)->phase = attempt_phase::Querying;
    (*added)->takenOver = true;
    transmit(**added);
    return {};
}

result<void> gang_coordinator::stop(const job_id &job, attempt_number number, stop_cause cause)
{
    const auto it = m_attempts.find({job, number});
    if (it == m_attempts.end())
        return fail(reason::UnknownJob,
                    "this attempt is not coordinated by this process; ask the decider");
    attempt_state &attemptState = *it->second;
    const bool wasRunning = attemptState.phase == attempt_phase::Running;
    const attempt_outcome outcome = cause == stop_cause::Preempt ? attempt_outcome::Preempted
        : cause == stop_cause::Cancel                            ? attempt_outcome::Cancelled
                                                                 : attempt_outcome::Lost;
    if (cause == stop_cause::Preempt && wasRunning)
        attemptState.checkpointUntil = m_env.now() + m_options.checkpointTimeout;
    beginStop(attemptState, outcome);
    return {};
}

result<void> gang_coordinator::throttle(const job_id &job, attempt_number number,
                                        std::uint32_t percent)
{
    const auto it = m_attempts.find({job, number});
    if (it == m_attempts.end())
        return fail(reason::UnknownJob,
                    "this attempt is not coordinated by this process; ask the decider");
    attempt_state &attemptState = *it->second;
    if (attemptState.phase != attempt_phase::Running)
        return fail(reason::WrongState,
                    "only a running gang can be suspended or resumed; wait until it runs");
    attemptState.targetPercent = percent;
    attemptState.throttlePending = true;
    for (coordinated_member &member : attemptState.members)
        member.nextSend = absl::InfinitePast();
    transmit(attemptState);
    return {};
}

result<void> gang_coordinator::suspend(const job_id &job, attempt_number number)
{
    return throttle(job, number, 0);
}

result<void> gang_coordinator::resume(const job_id &job, attempt_number number)
{
    return throttle(job, number, 100);
}

void gang_coordinator::resign()
{
    m_attempts.clear();
}

gang_coordinator::attempt_state *gang_coordinator::find(const gang_header &header)
{
    const auto it = m_attempts.find({header.job, header.attempt});
    if (it == m_attempts.end() || it->second->placement.placementEpoch != header.placementEpoch
        || header.from >= it->second->members.size())
        return nullptr;
    return it->second.get();
}

void gang_coordinator::receive(const process_id &from, const gang_message &message)
{
    detectPause();
    // Messages that were queued during a pause of this process are out of date. They are dropped;
    // the agents answer the next transmission.
    if (m_env.now() < m_pauseEndedAt + m_options.firstRetry)
        return drop(reason::LateAnswer);
    const gang_header &header = std::visit(
        [](const auto &alternative) -> const gang_header & { return alternative.header; }, message);
    attempt_state *attemptState = find(header);
    if (attemptState == nullptr)
        return onUnknownAttempt(from, header, message);
    const auto *refusal = std::get_if<gang_refused>(&message);
    if (refusal != nullptr && refusal->why == reason::StaleEpoch) {
        if (header.epoch <= attemptState->placement.epoch)
            return drop(reason::DuplicateMessage); // answers an earlier coordinator
        const auto superseded = m_attempts.extract({header.job, header.attempt});
        if (m_hooks.onSuperseded)
            m_hooks.onSuperseded(header.job, header.attempt, header.epoch);
        return;
    }
    coordinated_member &member = attemptState->members[header.from];
    if (std::holds_alternative<gang_reserved>(message))
        onReserved(*attemptState, header);
    else if (refusal != nullptr)
        onMemberRefused(*attemptState, header.from, refusal->why);
    else if (std::holds_alternative<gang_started>(message)
             && member.observedState != observed_member_state::Stopped)
        member.observedState = observed_member_state::Started;
    else if (const auto *keepalive = std::get_if<gang_keepalive>(&message))
        onKeepalive(from, *attemptState, *keepalive);
    else if (const auto *stopped = std::get_if<gang_stopped>(&message))
        onStopped(*attemptState, *stopped);
    else if (const auto *state = std::get_if<gang_state>(&message))
        onState(*attemptState, *state);
    else if (const auto *throttled = std::get_if<gang_throttled>(&message))
        member.appliedPercent = throttled->percent;
    else if (std::holds_alternative<gang_checkpointed>(message))
        member.checkpointed = true;
    else
        drop(reason::WrongState);
    advance(*attemptState);
}

void gang_coordinator::onUnknownAttempt(const process_id &from, const gang_header &header,
                                        const gang_message &message)
{
    const auto *state = std::get_if<gang_state>(&message);
    // A member that is reserved or fenced has no run to take over, and its coordinator may already
    // have told the caller that the job did not run.
    const bool mayRun = state != nullptr && state->state != gang_member_state::Reserved
        && state->state != gang_member_state::Fenced;
    if (mayRun && state->plan.size() == 1 && m_hooks.onDiscovered) {
        const gang_plan &plan = state->plan.front();
        return m_hooks.onDiscovered(
            {plan.spec, header.attempt, header.placementEpoch, m_discoveryEpoch, plan.members});
    }
    if (!m_endedAttempts.contains({header.job, header.attempt})
        || !std::holds_alternative<gang_stopped>(message))
        return drop(reason::LateAnswer);
    gang_stop confirmation;
    confirmation.header = {header.job,
                           header.attempt,
                           header.epoch,
                           header.placementEpoch,
                           CoordinatorIndex,
                           header.from,
                           0};
    confirmation.why = stop_cause::Finished;
    m_hooks.send(from, confirmation);
}

void gang_coordinator::discover(const std::vector<process_id> &agents, epoch_number epoch)
{
    m_discoveryEpoch = epoch;
    gang_query query;
    query.header.epoch = epoch;
    query.wantPlan = true;
    for (const process_id &agent : agents)
        m_hooks.send(agent, query);
}

void gang_coordinator::detectPause()
{
    const absl::Time now = m_env.now();
    if (!m_attempts.empty() && now - m_lastTick > m_options.lease)
        m_pauseEndedAt = now;
    m_lastTick = now;
}

void gang_coordinator::tick()
{
    const absl::Time now = m_env.now();
    detectPause();
    // The keys are copied, since m_attempts changes when an attempt ends or a hook starts another.
    std::vector<attempt_key> ids;
    for (const auto &[id, attemptState] : m_attempts)
        ids.push_back(id);
    for (const attempt_key &id : ids) {
        const auto it = m_attempts.find(id);
        if (it != m_attempts.end())
            tickAttempt(*it->second, now);
    }
    std::erase_if(m_endedAttempts, [now](const auto &entry) { return entry.second <= now; });
}

absl::Time gang_coordinator::nextDeadline() const
{
    // No retransmission is due earlier than firstRetry after the previous one, timeouts are longer
    // than that, and a tick without work is cheap.
    return m_attempts.empty() ? absl::InfiniteFuture() : m_env.now() + m_options.firstRetry;
}

gang_header gang_coordinator::headerFor(const attempt_state &attemptState, std::uint16_t to) const
{
    return {attemptState.placement.spec.id,
            attemptState.placement.attempt,
            attemptState.placement.epoch,
            attemptState.placement.placementEpoch,
            CoordinatorIndex,
            to,
            0};
}

void gang_coordinator::sendTo(const attempt_state &attemptState, std::uint16_t index,
                              const gang_message &message) const
{
    m_hooks.send(attemptState.placement.members[index].member.agent, message);
}

void gang_coordinator::drop(reason why) const
{
    if (m_hooks.onDropped)
        m_hooks.onDropped(why);
}

void gang_coordinator::transmit(attempt_state &attemptState)
{
    const absl::Time now = m_env.now();
    for (std::size_t i = 0; i < attemptState.members.size(); ++i) {
        if (now >= attemptState.members[i].nextSend)
            transmitTo(attemptState, static_cast<std::uint16_t>(i));
    }
}

void gang_coordinator::transmitTo(attempt_state &attemptState, std::uint16_t index)
{
    coordinated_member &member = attemptState.members[index];
    const gang_header header = headerFor(attemptState, index);
    const absl::Time now = m_env.now();
    switch (attemptState.phase) {
    case attempt_phase::Querying:
        if (member.observedState != observed_member_state::Unknown)
            return;
        sendTo(attemptState, index, gang_query {header, false, false});
        break;
    case attempt_phase::Reserving:
        if (member.observedState != observed_member_state::Unknown)
            return;
        sendTo(attemptState, index, gang_reserve {header, attemptState.plan});
        break;
    case attempt_phase::Starting:
        if (member.observedState != observed_member_state::Reserved)
            return;
        attemptState.startSent = true;
        attemptState.firstLease = std::min(attemptState.firstLease, now + m_options.lease);
        sendTo(attemptState, index,
               gang_start {header, attemptState.plan, attemptState.firstLease});
        break;
    case attempt_phase::Running:
        if (member.observedState == observed_member_state::Stopped)
            return;
        if (member.appliedPercent != attemptState.targetPercent)
            sendTo(attemptState, index, gang_throttle {header, attemptState.targetPercent});
        else if (now >= attemptState.lastAliveAt + m_options.interval * 2)
            sendTo(attemptState, index, gang_query {header, false, false});
        else
            return;
        break;
    case attempt_phase::Stopping:
        if (member.observedState == observed_member_state::Stopped && member.keepalivesEnded)
            return;
        if (member.checkpointed && attemptState.checkpointUntil > now)
            return;
        const stop_cause cause = attemptState.outcome == attempt_outcome::Preempted
            ? stop_cause::Preempt
            : attemptState.outcome == attempt_outcome::Cancelled ? stop_cause::Cancel
                                                                 : stop_cause::Lost;
        sendTo(
            attemptState, index,
            gang_stop {header, cause, attemptState.checkpointUntil, attemptState.plan.startBefore});
        break;
    }
    member.retryDelay = std::clamp(member.retryDelay * 2, m_options.firstRetry, m_options.interval);
    // Jitter of up to 25 % spreads the retransmissions to many members.
    const double jitter = static_cast<double>(m_env.random() % 256) / 1024;
    member.nextSend = now + member.retryDelay * (1 + jitter);
}

} // namespace hyssoppond
