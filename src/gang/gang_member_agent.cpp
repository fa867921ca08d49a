/// @file Dispatch, time and sending of the member agent.
#include "member_record_type.h"

namespace hyssoppond {

gang_member_agent::gang_member_agent(process_id self, incarnation_number incarnation,
                                     accelerator_mask accelerators, worker_port *worker,
                                     gang_options options, environment env, gang_agent_hooks hooks)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_accelerators(accelerators)
    , m_worker(worker)
    , m_options(options)
    , m_env(std::move(env))
    , m_hooks(std::move(hooks))
    , m_startedAt(m_env.now())
    , m_alive(std::make_shared<bool>(true))
{ }

gang_member_agent::~gang_member_agent()
{
    *m_alive = false;
}

void gang_member_agent::receive(const process_id &from, const gang_message &what)
{
    handle(from, what);
    drainLoopback();
}

void gang_member_agent::handle(const process_id &from, const gang_message &what)
{
    if (const auto *reserve = std::get_if<gang_reserve>(&what))
        onReserve(from, *reserve);
    else if (const auto *start = std::get_if<gang_start>(&what))
        onStart(from, *start);
    else if (const auto *renew = std::get_if<gang_renew>(&what))
        onRenew(from, *renew);
    else if (const auto *keepalive = std::get_if<gang_keepalive>(&what))
        onKeepalive(*keepalive);
    else if (const auto *stop = std::get_if<gang_stop>(&what))
        onStop(from, *stop);
    else if (const auto *query = std::get_if<gang_query>(&what))
        onQuery(from, *query);
    else if (const auto *state = std::get_if<gang_state>(&what))
        onState(*state);
    else if (const auto *throttle = std::get_if<gang_throttle>(&what))
        onThrottle(from, *throttle);
    else
        drop(reason::WrongState); // answers to a coordinator
}

void gang_member_agent::drainLoopback()
{
    if (m_draining)
        return;
    m_draining = true;
    while (!m_loopback.empty()) {
        const gang_message next = std::move(m_loopback.front());
        m_loopback.pop_front();
        handle(m_self, next);
    }
    m_draining = false;
}

void gang_member_agent::tick()
{
    const absl::Time now = m_env.now();
    // After a pause the worker may have ended tasks, and another process may have started some.
    if (m_lastTick != absl::InfinitePast() && now - m_lastTick > m_options.lease) {
        m_listRead = false;
        m_nextPoll = now;
    }
    m_lastTick = now;
    if (now >= m_nextPoll)
        poll();
    for (auto it = m_records.begin(); it != m_records.end();) {
        tickRecord(*it->second, now);
        it = now >= it->second->forgetAt ? m_records.erase(it) : std::next(it);
    }
    drainLoopback();
}

absl::Time gang_member_agent::nextDeadline() const
{
    absl::Time next = m_nextPoll;
    for (const auto &[id, r] : m_records) {
        next = std::min({next, r->nextTry, r->nextReport, r->nextAlive, r->stopAt, r->forgetAt});
        if (r->state == gang_member_state::Reserved && !r->settling)
            next = std::min(next, r->plan.reserveUntil);
        if (r->state == gang_member_state::Running)
            next = std::min(next, r->leaseUntil);
    }
    return next;
}

void gang_member_agent::tickRecord(record &r, absl::Time now)
{
    if (r.state == gang_member_state::Reserved && !r.settling && now >= r.plan.reserveUntil)
        beginSettling(r);
    if (r.state == gang_member_state::Running && now >= r.leaseUntil)
        finish(r, gang_member_state::Ended, reason::LeaseLapsed);
    if (now >= r.stopAt) {
        r.stopAt = absl::InfiniteFuture();
        if (!r.isOver())
            finish(r, gang_member_state::Ended, reason::Preempted);
    }
    if (now >= r.nextTry) {
        if (r.isOver())
            stopTask(r);
        else if (r.state == gang_member_state::Starting)
            startTask(r);
        else if (r.settling)
            settle(r);
        else
            r.nextTry = absl::InfiniteFuture();
    }
    if (now >= r.nextReport) {
        r.reportDelay = std::min(r.reportDelay * 2, absl::Seconds(30));
        r.nextReport = now + r.reportDelay;
        if (r.isOver())
            sendStopped(r);
        else
            sendToCoordinator(r, gang_started {headerFor(r, CoordinatorIndex)});
    }
    if (now >= r.nextAlive)
        reportAlive(r, true);
}

bool gang_member_agent::isHeld(const record &r) const
{
    return !r.stopConfirmed;
}

accelerator_mask gang_member_agent::freeAccelerators() const
{
    accelerator_mask held = 0;
    for (const auto &[id, r] : m_records) {
        if (isHeld(*r))
            held = static_cast<accelerator_mask>(held | r->accelerators);
    }
    return static_cast<accelerator_mask>(m_accelerators & ~held);
}

std::vector<member_report> gang_member_agent::members() const
{
    std::vector<member_report> all;
    for (const auto &[id, r] : m_records) {
        if (isHeld(*r))
            all.push_back({id, r->state, r->accelerators, r->why});
    }
    return all;
}

gang_header gang_member_agent::headerFor(const record &r, std::uint16_t to) const
{
    return {r.id.job, r.id.attempt, r.epoch, r.placed, static_cast<std::uint16_t>(r.id.member),
            to,       m_incarnation};
}

void gang_member_agent::deliver(const process_id &to, const gang_message &what)
{
    if (to == m_self)
        m_loopback.push_back(what);
    else if (!to.isEmpty())
        m_hooks.send(to, what);
}

void gang_member_agent::sendToMember(const record &r, std::uint16_t index, const gang_message &what)
{
    deliver(r.plan.members[index].where.agent, what);
}

void gang_member_agent::sendToCoordinator(const record &r, const gang_message &what)
{
    deliver(r.coordinator, what);
}

void gang_member_agent::drop(reason why) const
{
    if (m_hooks.onDropped)
        m_hooks.onDropped(why);
}

void gang_member_agent::report(const record &r) const
{
    if (m_hooks.onMemberState)
        m_hooks.onMemberState({r.id, r.state, r.accelerators, r.why});
}

bool gang_member_agent::epochIsStale(const gang_header &header)
{
    if (header.epoch < m_epoch)
        return m_options.mechanisms.epochCheck;
    m_epoch = header.epoch;
    return false;
}

void gang_member_agent::refuseEpoch(const process_id &to, const gang_header &header)
{
    drop(reason::StaleEpoch);
    gang_header answer {header.job, header.attempt,   m_epoch,      header.placed,
                        header.to,  CoordinatorIndex, m_incarnation};
    deliver(to, gang_refused {answer, reason::StaleEpoch});
}

gang_member_agent::record *gang_member_agent::find(const gang_header &header)
{
    const auto it = m_records.find({header.job, header.attempt, header.to});
    if (it == m_records.end())
        return nullptr;
    const bool same = it->second->placed == header.placed || !m_options.mechanisms.epochCheck;
    return same ? it->second.get() : nullptr;
}

} // namespace hyssoppond
