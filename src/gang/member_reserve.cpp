/// @file Member agent: reservation, start and settlement of a member.
#include "member_record_type.h"

namespace hyssoppond {

reason gang_member_agent::checkReservation(const gang_reserve &message) const
{
    const gang_header &header = message.header;
    const bool indexIsValid = header.to < message.plan.members.size();
    if (!indexIsValid || message.plan.members.size() > MaxGangMembers
        || message.plan.members[header.to].member.agent != m_self
        || header.job != message.plan.spec.id)
        return reason::InvalidArgument;
    const gang_peer &ownPeer = message.plan.members[header.to];
    if (m_options.mechanisms.incarnationCheck && ownPeer.incarnation != 0
        && ownPeer.incarnation != m_incarnation)
        return reason::StaleIncarnation;
    if (m_leaving)
        return reason::Leaving;
    if (!m_taskListRead)
        return reason::WorkerUnreachable;
    if (m_env.now() >= std::min(message.plan.reserveUntil, message.plan.startBefore))
        return reason::Expired;
    if (m_records.size() >= m_options.maxRecords)
        return reason::Overloaded;
    const accelerator_mask requested = ownPeer.member.accelerators;
    if ((requested & ~m_accelerators) != 0)
        return reason::ImpossibleShape;
    for (const auto &[id, record] : m_records) {
        if (id.job == header.job && id.attempt != header.attempt && holdsAccelerators(*record))
            return reason::StaleAttempt;
    }
    return (requested & ~freeAccelerators()) != 0 ? reason::AcceleratorBusy : reason::None;
}

void gang_member_agent::onReserve(const process_id &from, const gang_reserve &message)
{
    const gang_header &header = message.header;
    const gang_header answerHeader {
        header.job, header.attempt,   header.epoch, header.placementEpoch,
        header.to,  CoordinatorIndex, m_incarnation};
    if (epochIsStale(header))
        return refuseEpoch(from, header);
    const task_id id {header.job, header.attempt, header.to};
    const auto it = m_records.find(id);
    if (it != m_records.end()) {
        member_record &existing = *it->second;
        if (existing.placed == header.placementEpoch) { // repeated request
            if (existing.isTerminal())
                return deliver(from, gang_refused {answerHeader, reason::Fenced});
            return deliver(from, gang_reserved {answerHeader});
        }
        // The record belongs to a void placement of an earlier epoch, which reserved this member
        // but did not start it.
        if (existing.placed > header.placementEpoch || existing.startRequested)
            return deliver(from, gang_refused {answerHeader, reason::StaleAttempt});
        m_records.erase(it);
    }
    const reason why = checkReservation(message);
    if (why != reason::None) {
        if (why != reason::InvalidArgument && why != reason::Overloaded
            && why != reason::StaleIncarnation)
            addFencedRecord(header, message.plan.startBefore, why).stopConfirmed = true;
        return deliver(from, gang_refused {answerHeader, why});
    }
    auto record = std::make_unique<member_record>();
    record->id = id;
    record->placed = header.placementEpoch;
    record->epoch = header.epoch;
    record->coordinator = from;
    record->plan = message.plan;
    record->accelerators = message.plan.members[header.to].member.accelerators;
    // Unlike the time of receipt, startBefore is known to the coordinator too.
    record->contactAt = message.plan.startBefore;
    const std::uint32_t firstChildIndex
        = std::min(record->firstChild(m_options.fanOut), record->size());
    record->childAliveAt.assign(std::min(m_options.fanOut, record->size() - firstChildIndex),
                                absl::InfinitePast());
    notifyMemberState(*record);
    m_records[id] = std::move(record);
    deliver(from, gang_reserved {answerHeader});
}

gang_member_agent::member_record &gang_member_agent::addFencedRecord(const gang_header &header,
                                                                     absl::Time startBefore,
                                                                     reason why)
{
    auto record = std::make_unique<member_record>();
    record->id = {header.job, header.attempt, header.to};
    record->placed = header.placementEpoch;
    record->epoch = std::max(m_highestEpoch, header.epoch);
    record->state = gang_member_state::Fenced;
    record->why = why;
    record->plan.startBefore = startBefore;
    record->endedAt = m_env.now();
    // A start request of an earlier incarnation of this agent may still be on its way to the
    // worker.
    record->leaseUntil
        = std::max(startBefore, m_startedAt + m_options.startTimeout) + m_options.lease;
    record->forgetAt = std::max(startBefore, m_env.now() + m_options.startTimeout)
        + m_options.maxClockSkew + m_options.lease;
    member_record &stored = *record;
    m_records[record->id] = std::move(record);
    return stored;
}

void gang_member_agent::onStart(const process_id &from, const gang_start &message)
{
    if (epochIsStale(message.header))
        return refuseEpoch(from, message.header);
    const bool indexIsValid = message.header.to < message.plan.members.size();
    if (!indexIsValid)
        return drop(reason::InvalidArgument);
    member_record *record = find(message.header);
    const bool incarnationMatches
        = message.plan.members[message.header.to].incarnation == m_incarnation;
    if (!incarnationMatches && m_options.mechanisms.incarnationCheck) {
        if (record == nullptr) {
            record = &addFencedRecord(message.header, message.plan.startBefore,
                                      reason::StaleIncarnation);
            record->mayHaveRun = true;
            record->coordinator = from;
            stopTask(*record);
        }
        return drop(reason::StaleIncarnation);
    }
    if (record == nullptr) {
        if (m_options.mechanisms.incarnationCheck)
            return drop(reason::StaleAttempt);
        onReserve(from, gang_reserve {message.header, message.plan});
        record = find(message.header);
        if (record == nullptr)
            return;
    }
    record->coordinator = from;
    record->epoch = message.header.epoch;
    if (record->isTerminal()) {
        if (record->stopConfirmed)
            sendStopped(*record);
        return;
    }
    if (record->state == gang_member_state::Running)
        return sendToCoordinator(*record, gang_started {headerFor(*record, CoordinatorIndex)});
    if (record->state != gang_member_state::Reserved)
        return;
    record->plan.members = message.plan.members; // includes the incarnations of all agents
    // In settlement this member may have answered others that it has not started, so they may have
    // been fenced. From then on it starts only if it learns that another member has started.
    const bool reservationExpired
        = m_env.now() >= record->plan.reserveUntil && m_options.mechanisms.startBefore;
    if (record->settling || reservationExpired)
        return drop(reason::Expired);
    if (m_options.mechanisms.startBefore)
        record->firstLease = message.leaseUntil;
    record->state = gang_member_state::Starting;
    notifyMemberState(*record);
    startTask(*record);
}

void gang_member_agent::startTask(member_record &record)
{
    const absl::Time now = m_env.now();
    if (now >= record.plan.startBefore && m_options.mechanisms.startBefore) {
        // If a start was requested, the next task list shows whether it took effect.
        if (!record.startRequested)
            return finish(record, gang_member_state::Fenced, reason::Expired);
        record.nextRetry = absl::InfiniteFuture();
        return;
    }
    const absl::Time startBefore
        = m_options.mechanisms.startBefore ? record.plan.startBefore : absl::InfiniteFuture();
    // A repeated request keeps the first lease, which limits how long the task can run without this
    // agent.
    if (!record.startRequested)
        record.leaseUntil = std::min(now + m_options.lease, record.firstLease);
    record.startRequested = true;
    record.mayHaveRun = true;
    record.startRequestedAt = now;
    record.nextRetry = now + m_options.interval;
    m_worker->startTask(
        {record.id, record.accelerators, record.plan.spec.command, startBefore, record.leaseUntil},
        [this, alive = m_alive, id = record.id, now](const auto &status) {
            if (*alive)
                onTaskStatus(id, status, now);
        });
}

void gang_member_agent::beginSettling(member_record &record)
{
    if (!m_options.mechanisms.settlement)
        return finish(record, gang_member_state::Fenced, reason::Expired);
    record.settling = true;
    record.answers.assign(record.size(), peer_answer::None);
    record.answers[record.id.member] = peer_answer::NotStarted;
    settle(record);
}

void gang_member_agent::settle(member_record &record)
{
    const absl::Time now = m_env.now();
    bool anyStarted = false;
    bool allAnswered = true;
    for (const peer_answer answer : record.answers) {
        if (answer == peer_answer::Lost)
            return finish(record, gang_member_state::Fenced, reason::MemberLost);
        anyStarted = anyStarted || answer == peer_answer::Started;
        allAnswered = allAnswered && answer != peer_answer::None;
    }
    if (anyStarted && now < record.plan.startBefore) {
        record.settling = false;
        record.state = gang_member_state::Starting;
        notifyMemberState(record);
        return startTask(record);
    }
    if (allAnswered || now >= record.plan.startBefore + m_options.maxClockSkew)
        return finish(record, gang_member_state::Fenced, reason::Expired);
    record.nextRetry = std::min(now + m_options.firstRetry * 2,
                                record.plan.startBefore + m_options.maxClockSkew);
    for (std::uint32_t i = 0; i < record.size(); ++i) {
        const auto to = static_cast<std::uint16_t>(i);
        if (record.answers[i] == peer_answer::None)
            sendToMember(record, to, gang_query {headerFor(record, to), true, false});
    }
}

void gang_member_agent::onState(const gang_state &message)
{
    member_record *record = find(message.header);
    if (record == nullptr || !record->settling || message.header.from >= record->size())
        return drop(reason::LateAnswer);
    const incarnation_number expected = record->plan.members[message.header.from].incarnation;
    const bool restarted = expected != 0 && expected != message.header.incarnation;
    peer_answer &answer = record->answers[message.header.from];
    if (restarted || message.state == gang_member_state::Fenced
        || message.state == gang_member_state::Ended) {
        answer = peer_answer::Lost;
    } else if (message.state == gang_member_state::Starting
               || message.state == gang_member_state::Running) {
        answer = peer_answer::Started;
        record->firstLease = std::min(record->firstLease, message.leaseUntil);
    } else if (message.settling) {
        answer = peer_answer::NotStarted;
    }
    // settle() repeats the queries that are not answered, so it is called only when the answers
    // decide the outcome, not on every answer.
    const bool decided = answer == peer_answer::Lost || answer == peer_answer::Started
        || std::find(record->answers.begin(), record->answers.end(), peer_answer::None)
            == record->answers.end();
    if (decided)
        settle(*record);
}

} // namespace hyssoppond
