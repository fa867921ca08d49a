/// @file Commands, messages and time of the coordinator.
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

result<gang_coordinator::attempt *> gang_coordinator::add(const gang_placement &placement)
{
    const key id {placement.spec.id, placement.attempt};
    if (placement.members.empty() || placement.members.size() > MaxGangMembers
        || placement.spec.id.isEmpty() || placement.epoch < placement.placed)
        return fail(reason::InvalidArgument,
                    "a placement needs a job, 1 to 512 members and a current epoch");
    if (m_attempts.contains(id) || m_ended.contains(id))
        return fail(reason::WrongState, "this attempt is already coordinated; use a new attempt");
    if (m_attempts.empty())
        m_lastTick = m_env.now(); // without attempts nobody has to call tick()
    auto a = std::make_unique<attempt>();
    a->placement = placement;
    a->members.resize(placement.members.size());
    const absl::Time now = m_env.now();
    a->plan = {placement.spec, placement.members, now + m_options.reserveFor,
               now + m_options.startWithin};
    a->lastAlive = now;
    a->lastContact = now;
    return (m_attempts[id] = std::move(a)).get();
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

result<void> gang_coordinator::stop(const job_id &job, attempt_number number, stop_cause why)
{
    const auto it = m_attempts.find({job, number});
    if (it == m_attempts.end())
        return fail(reason::UnknownJob, "this attempt does not run here; ask the decider");
    attempt &a = *it->second;
    const bool wasRunning = a.phase == attempt_phase::Running;
    const attempt_outcome outcome = why == stop_cause::Preempt ? attempt_outcome::Preempted
        : why == stop_cause::Cancel                            ? attempt_outcome::Cancelled
                                                               : attempt_outcome::Lost;
    if (why == stop_cause::Preempt && wasRunning)
        a.checkpointUntil = m_env.now() + m_options.checkpointFor;
    beginStop(a, outcome);
    return {};
}

result<void> gang_coordinator::throttle(const job_id &job, attempt_number number,
                                        std::uint32_t percent)
{
    const auto it = m_attempts.find({job, number});
    if (it == m_attempts.end())
        return fail(reason::UnknownJob, "this attempt does not run here; ask the decider");
    attempt &a = *it->second;
    if (a.phase != attempt_phase::Running)
        return fail(reason::WrongState, "only a running gang can be suspended; wait for its start");
    a.percent = percent;
    a.throttling = true;
    for (coordinated_member &member : a.members)
        member.nextSend = absl::InfinitePast();
    transmit(a);
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

gang_coordinator::attempt *gang_coordinator::find(const gang_header &header)
{
    const auto it = m_attempts.find({header.job, header.attempt});
    if (it == m_attempts.end() || it->second->placement.placed != header.placed
        || header.from >= it->second->members.size())
        return nullptr;
    return it->second.get();
}

void gang_coordinator::receive(const process_id &from, const gang_message &what)
{
    noticePause();
    // What was waiting during the pause says nothing about now; the agents answer again.
    if (m_env.now() < m_resumedAt + m_options.firstRetry)
        return drop(reason::LateAnswer);
    const gang_header &header
        = std::visit([](const auto &m) -> const gang_header & { return m.header; }, what);
    attempt *a = find(header);
    if (a == nullptr)
        return onUnknown(from, header, what);
    const auto *no = std::get_if<gang_refused>(&what);
    if (no != nullptr && no->why == reason::StaleEpoch) {
        if (header.epoch <= a->placement.epoch)
            return drop(reason::DuplicateMessage); // of an earlier coordinator
        const auto superseded = m_attempts.extract({header.job, header.attempt});
        if (m_hooks.onSuperseded)
            m_hooks.onSuperseded(header.job, header.attempt, header.epoch);
        return;
    }
    coordinated_member &member = a->members[header.from];
    if (std::holds_alternative<gang_reserved>(what))
        onReserved(*a, header);
    else if (no != nullptr)
        refused(*a, header.from, no->why);
    else if (std::holds_alternative<gang_started>(what) && member.view != member_view::Stopped)
        member.view = member_view::Started;
    else if (const auto *keepalive = std::get_if<gang_keepalive>(&what))
        onKeepalive(from, *a, *keepalive);
    else if (const auto *stopped = std::get_if<gang_stopped>(&what))
        onStopped(*a, *stopped);
    else if (const auto *state = std::get_if<gang_state>(&what))
        onState(*a, *state);
    else if (const auto *throttled = std::get_if<gang_throttled>(&what))
        member.percent = throttled->percent;
    else if (std::holds_alternative<gang_checkpointed>(what))
        member.checkpointed = true;
    else
        drop(reason::WrongState);
    advance(*a);
}

void gang_coordinator::onUnknown(const process_id &from, const gang_header &header,
                                 const gang_message &what)
{
    const auto *state = std::get_if<gang_state>(&what);
    // A member that is only reserved or fenced has no run to take over; its coordinator may have
    // told the caller that the job did not run.
    const bool mayRun = state != nullptr && state->state != gang_member_state::Reserved
        && state->state != gang_member_state::Fenced;
    if (mayRun && state->plan.size() == 1 && m_hooks.onDiscovered) {
        const gang_plan &plan = state->plan.front();
        return m_hooks.onDiscovered(
            {plan.spec, header.attempt, header.placed, m_epoch, plan.members});
    }
    if (!m_ended.contains({header.job, header.attempt})
        || !std::holds_alternative<gang_stopped>(what))
        return drop(reason::LateAnswer);
    gang_stop confirm;
    confirm.header = {
        header.job, header.attempt, header.epoch, header.placed, CoordinatorIndex, header.from, 0};
    confirm.why = stop_cause::Finished;
    m_hooks.send(from, confirm);
}

void gang_coordinator::discover(const std::vector<process_id> &agents, epoch_number epoch)
{
    m_epoch = epoch;
    gang_query query;
    query.header.epoch = epoch;
    query.wantPlan = true;
    for (const process_id &agent : agents)
        m_hooks.send(agent, query);
}

void gang_coordinator::noticePause()
{
    const absl::Time now = m_env.now();
    if (!m_attempts.empty() && now - m_lastTick > m_options.lease)
        m_resumedAt = now;
    m_lastTick = now;
}

void gang_coordinator::tick()
{
    const absl::Time now = m_env.now();
    noticePause();
    std::vector<key> ids; // an attempt may end, and a hook may start another
    for (const auto &[id, a] : m_attempts)
        ids.push_back(id);
    for (const key &id : ids) {
        const auto it = m_attempts.find(id);
        if (it != m_attempts.end())
            tickAttempt(*it->second, now);
    }
    std::erase_if(m_ended, [now](const auto &entry) { return entry.second <= now; });
}

absl::Time gang_coordinator::nextDeadline() const
{
    // All retransmissions and timeouts are multiples of this, and a tick without work is cheap.
    return m_attempts.empty() ? absl::InfiniteFuture() : m_env.now() + m_options.firstRetry;
}

gang_header gang_coordinator::headerFor(const attempt &a, std::uint16_t to) const
{
    return {a.placement.spec.id,
            a.placement.attempt,
            a.placement.epoch,
            a.placement.placed,
            CoordinatorIndex,
            to,
            0};
}

void gang_coordinator::sendTo(const attempt &a, std::uint16_t member,
                              const gang_message &what) const
{
    m_hooks.send(a.placement.members[member].where.agent, what);
}

void gang_coordinator::drop(reason why) const
{
    if (m_hooks.onDropped)
        m_hooks.onDropped(why);
}

void gang_coordinator::transmit(attempt &a)
{
    const absl::Time now = m_env.now();
    for (std::size_t i = 0; i < a.members.size(); ++i) {
        if (now >= a.members[i].nextSend)
            transmitTo(a, static_cast<std::uint16_t>(i));
    }
}

void gang_coordinator::transmitTo(attempt &a, std::uint16_t i)
{
    coordinated_member &member = a.members[i];
    const gang_header header = headerFor(a, i);
    const absl::Time now = m_env.now();
    switch (a.phase) {
    case attempt_phase::Querying:
        if (member.view != member_view::Unknown)
            return;
        sendTo(a, i, gang_query {header, false, false});
        break;
    case attempt_phase::Reserving:
        if (member.view != member_view::Unknown)
            return;
        sendTo(a, i, gang_reserve {header, a.plan});
        break;
    case attempt_phase::Starting:
        if (member.view != member_view::Reserved)
            return;
        a.startSent = true;
        a.firstLease = std::min(a.firstLease, now + m_options.lease);
        sendTo(a, i, gang_start {header, a.plan, a.firstLease});
        break;
    case attempt_phase::Running:
        if (member.view == member_view::Stopped)
            return;
        if (member.percent != a.percent)
            sendTo(a, i, gang_throttle {header, a.percent});
        else if (now >= a.lastAlive + m_options.interval * 2)
            sendTo(a, i, gang_query {header, false, false});
        else
            return;
        break;
    case attempt_phase::Stopping:
        if (member.view == member_view::Stopped && member.quiet)
            return;
        if (member.checkpointed && a.checkpointUntil > now)
            return;
        const stop_cause why = a.outcome == attempt_outcome::Preempted ? stop_cause::Preempt
            : a.outcome == attempt_outcome::Cancelled                  ? stop_cause::Cancel
                                                                       : stop_cause::Lost;
        sendTo(a, i, gang_stop {header, why, a.checkpointUntil, a.plan.startBefore});
        break;
    }
    member.delay = std::clamp(member.delay * 2, m_options.firstRetry, m_options.interval);
    // Jitter keeps the retransmissions to many members apart.
    const double jitter = static_cast<double>(m_env.random() % 256) / 1024;
    member.nextSend = now + member.delay * (1 + jitter);
}

} // namespace hyssoppond
