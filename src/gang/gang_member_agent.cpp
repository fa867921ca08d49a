/// @file Member agent: dispatch of messages, timers and transmission.
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

void gang_member_agent::receive(const process_id &from, const gang_message &message)
{
    handle(from, message);
    deliverLoopback();
}

void gang_member_agent::handle(const process_id &from, const gang_message &message)
{
    if (const auto *reserve = std::get_if<gang_reserve>(&message))
        onReserve(from, *reserve);
    else if (const auto *start = std::get_if<gang_start>(&message))
        onStart(from, *start);
    else if (const auto *renew = std::get_if<gang_renew>(&message))
        onRenew(from, *renew);
    else if (const auto *keepalive = std::get_if<gang_keepalive>(&message))
        onKeepalive(*keepalive);
    else if (const auto *stop = std::get_if<gang_stop>(&message))
        onStop(from, *stop);
    else if (const auto *query = std::get_if<gang_query>(&message))
        onQuery(from, *query);
    else if (const auto *state = std::get_if<gang_state>(&message))
        onState(*state);
    else if (const auto *throttle = std::get_if<gang_throttle>(&message))
        onThrottle(from, *throttle);
    else
        drop(reason::WrongState); // only a coordinator accepts the other types
}

void gang_member_agent::deliverLoopback()
{
    if (m_deliveringLoopback)
        return;
    m_deliveringLoopback = true;
    while (!m_loopback.empty()) {
        const gang_message next = std::move(m_loopback.front());
        m_loopback.pop_front();
        handle(m_self, next);
    }
    m_deliveringLoopback = false;
}

void gang_member_agent::tick()
{
    const absl::Time now = m_env.now();
    // During a pause of this process the worker may have ended tasks, and another process of this
    // agent may have started some.
    if (m_lastTick != absl::InfinitePast() && now - m_lastTick > m_options.lease) {
        m_taskListRead = false;
        m_nextPoll = now;
    }
    m_lastTick = now;
    if (now >= m_nextPoll)
        poll();
    for (auto it = m_records.begin(); it != m_records.end();) {
        tickRecord(*it->second, now);
        it = now >= it->second->forgetAt ? m_records.erase(it) : std::next(it);
    }
    deliverLoopback();
}

absl::Time gang_member_agent::nextDeadline() const
{
    absl::Time next = m_nextPoll;
    for (const auto &[id, record] : m_records) {
        next = std::min({next, record->nextRetry, record->nextReport, record->nextKeepalive,
                         record->stopAt, record->forgetAt});
        if (record->state == gang_member_state::Reserved && !record->settling)
            next = std::min(next, record->plan.reserveUntil);
        if (record->state == gang_member_state::Running)
            next = std::min(next, record->leaseUntil);
    }
    return next;
}

void gang_member_agent::tickRecord(member_record &record, absl::Time now)
{
    if (record.state == gang_member_state::Reserved && !record.settling
        && now >= record.plan.reserveUntil)
        beginSettling(record);
    if (record.state == gang_member_state::Running && now >= record.leaseUntil)
        finish(record, gang_member_state::Ended, reason::LeaseLapsed);
    if (now >= record.stopAt) {
        record.stopAt = absl::InfiniteFuture();
        if (!record.isTerminal())
            finish(record, gang_member_state::Ended, reason::Preempted);
    }
    if (now >= record.nextRetry) {
        if (record.isTerminal())
            stopTask(record);
        else if (record.state == gang_member_state::Starting)
            startTask(record);
        else if (record.settling)
            settle(record);
        else
            record.nextRetry = absl::InfiniteFuture();
    }
    if (now >= record.nextReport) {
        record.reportDelay = std::min(record.reportDelay * 2, absl::Seconds(30));
        record.nextReport = now + record.reportDelay;
        if (record.isTerminal())
            sendStopped(record);
        else
            sendToCoordinator(record, gang_started {headerFor(record, CoordinatorIndex)});
    }
    if (now >= record.nextKeepalive)
        reportAlive(record, true);
}

bool gang_member_agent::holdsAccelerators(const member_record &record) const
{
    return !record.stopConfirmed;
}

accelerator_mask gang_member_agent::freeAccelerators() const
{
    accelerator_mask held = 0;
    for (const auto &[id, record] : m_records) {
        if (holdsAccelerators(*record))
            held = static_cast<accelerator_mask>(held | record->accelerators);
    }
    return static_cast<accelerator_mask>(m_accelerators & ~held);
}

std::vector<member_report> gang_member_agent::members() const
{
    std::vector<member_report> reports;
    for (const auto &[id, record] : m_records) {
        if (holdsAccelerators(*record))
            reports.push_back({id, record->state, record->accelerators, record->why});
    }
    return reports;
}

gang_header gang_member_agent::headerFor(const member_record &record, std::uint16_t to) const
{
    return {record.id.job,
            record.id.attempt,
            record.epoch,
            record.placed,
            static_cast<std::uint16_t>(record.id.member),
            to,
            m_incarnation};
}

void gang_member_agent::deliver(const process_id &to, const gang_message &message)
{
    if (to == m_self)
        m_loopback.push_back(message);
    else if (!to.isEmpty())
        m_hooks.send(to, message);
}

void gang_member_agent::sendToMember(const member_record &record, std::uint16_t index,
                                     const gang_message &message)
{
    deliver(record.plan.members[index].member.agent, message);
}

void gang_member_agent::sendToCoordinator(const member_record &record, const gang_message &message)
{
    deliver(record.coordinator, message);
}

void gang_member_agent::drop(reason why) const
{
    if (m_hooks.onDropped)
        m_hooks.onDropped(why);
}

void gang_member_agent::notifyMemberState(const member_record &record) const
{
    if (m_hooks.onMemberState)
        m_hooks.onMemberState({record.id, record.state, record.accelerators, record.why});
}

bool gang_member_agent::epochIsStale(const gang_header &header)
{
    if (header.epoch < m_highestEpoch)
        return m_options.mechanisms.epochCheck;
    m_highestEpoch = header.epoch;
    return false;
}

void gang_member_agent::refuseEpoch(const process_id &to, const gang_header &header)
{
    drop(reason::StaleEpoch);
    gang_header answerHeader {header.job, header.attempt,   m_highestEpoch, header.placementEpoch,
                              header.to,  CoordinatorIndex, m_incarnation};
    deliver(to, gang_refused {answerHeader, reason::StaleEpoch});
}

gang_member_agent::member_record *gang_member_agent::find(const gang_header &header)
{
    const auto it = m_records.find({header.job, header.attempt, header.to});
    if (it == m_records.end())
        return nullptr;
    const bool samePlacement
        = it->second->placed == header.placementEpoch || !m_options.mechanisms.epochCheck;
    return samePlacement ? it->second.get() : nullptr;
}

} // namespace hyssoppond
