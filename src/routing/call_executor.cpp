/// @file Agent side of calls: handling of the messages from entries.
#include "call_executor_state_type.h"

namespace hyssoppond {

call_executor::call_executor(executor_settings settings, environment env, executor_hooks hooks,
                             executor_mechanisms mechanisms)
    : m_settings(std::move(settings))
    , m_env(std::move(env))
    , m_hooks(std::move(hooks))
    , m_mechanisms(mechanisms)
    , m_secret(m_env.random())
    , m_dedupTable(
          std::make_unique<call_dedup_table>(m_settings.maxRecords, m_settings.maxOutcomeBytes))
    , m_calls(std::make_unique<admitted_calls>())
    , m_alive(std::make_shared<bool>(true))
{
    if (!m_hooks.count)
        m_hooks.count = [](disposition, reason) {};
}

call_executor::~call_executor() = default;

bool call_executor::isIdle() const
{
    return m_busySlots == 0 && m_calls->waiting.empty();
}

std::size_t call_executor::waitingCalls() const
{
    return m_calls->waiting.size();
}

std::size_t call_executor::dedupRecords() const
{
    return m_dedupTable->size();
}

void call_executor::receive(const process_id &from, const call_message &callMessage)
{
    std::visit([&](const auto &message) { handle(from, message); }, callMessage);
}

result<dedup_key> call_executor::keyOf(const call_attempt &attempt, bool repeatable,
                                       const std::string &token, absl::Time *deadline) const
{
    dedup_key key;
    if (!token.empty()) {
        const auto verified = verifyToken(token, m_secret);
        if (!verified || verified->agent != m_settings.agent
            || verified->incarnation != m_settings.incarnation || verified->team != attempt.id.team)
            return fail(reason::InvalidArgument,
                        "the token was not issued by this agent for this team; obtain a new one "
                        "with Calls/Reserve");
        key.scope = dedup_scope::Token;
        key.attempt.id = {attempt.id.team, request_id(std::to_string(verified->nonce))};
        *deadline = std::min(*deadline, verified->deadline);
    } else if (repeatable) {
        key.attempt = attempt;
    } else {
        key.scope = dedup_scope::Id;
        key.attempt.id = attempt.id;
    }
    return key;
}

void call_executor::handle(const process_id &, const call_request &message)
{
    if (callChecksum(message.payload) != message.checksum)
        return m_hooks.count(disposition::Dropped, reason::ChecksumMismatch);
    call_request request = message;
    const call_attempt &attempt = request.attempt;
    // An earlier incarnation may have run the call, so this refusal does not claim "not run".
    if (m_mechanisms.incarnationCheck && request.agentIncarnation != m_settings.incarnation)
        return refuse(attempt, reason::StaleIncarnation, false, request.deadline);
    const dedup_record *known = m_dedupTable->find({dedup_scope::Attempt, attempt});
    if (known != nullptr && known->state == dedup_state::Refused && m_mechanisms.fences)
        return reply(attempt, *known);
    auto key = keyOf(attempt, request.repeatable, request.token, &request.deadline);
    if (!key)
        return refuse(attempt, key.error().why, true, request.deadline);
    if (!m_mechanisms.deduplication)
        key->attempt.number = ++m_runs;
    if (repeatOutcome(*key, request))
        return;
    const reason why = admissionRefusal(request);
    if (why == reason::None)
        return admit(*key, request);
    // After the retention the record of a call that ran may already be dropped, so the refusal of
    // an expired request no longer proves that it did not run.
    const bool forgotten = m_env.now() >= request.deadline + m_settings.retention;
    refuse(attempt, why, why != reason::Expired || !forgotten, request.deadline);
}

bool call_executor::repeatOutcome(const dedup_key &key, const call_request &request)
{
    dedup_record *record = m_dedupTable->find(key);
    if (record == nullptr || (record->state == dedup_state::Fenced && !m_mechanisms.fences))
        return false;
    if (record->state != dedup_state::Fenced && record->checksum != request.checksum) {
        refuse(request.attempt, reason::RequestIdReused, true, request.deadline);
        return true;
    }
    m_hooks.count(disposition::Dropped, reason::DuplicateMessage);
    const bool active
        = record->state == dedup_state::Waiting || record->state == dedup_state::Running;
    if (!active) {
        reply(request.attempt, *record);
        return true;
    }
    auto &waiters = record->waiters;
    if (std::find(waiters.begin(), waiters.end(), request.attempt) == waiters.end()) {
        if (waiters.size() < MaxWaiters)
            waiters.push_back(request.attempt);
    }
    return true;
}

reason call_executor::admissionRefusal(const call_request &request) const
{
    if (m_leaving && m_mechanisms.leavingCheck)
        return reason::Leaving;
    const absl::Time now = m_env.now();
    if (request.deadline <= now && m_mechanisms.deadlineCheck)
        return reason::Expired;
    if (request.deadline > now + m_settings.maxCallDuration)
        return reason::InvalidArgument;
    const bool slotFree = m_busySlots < m_settings.slots && m_calls->waiting.empty();
    const bool connectionFree = m_busySlots + m_calls->waiting.size() < m_settings.connections;
    if (!connectionFree || (!slotFree && m_calls->waiting.size() >= m_settings.maxWaiting)
        || !m_dedupTable->hasCapacity())
        return reason::Overloaded;
    return reason::None;
}

void call_executor::refuse(const call_attempt &attempt, reason why, bool notRun,
                           absl::Time deadline)
{
    m_hooks.count(disposition::Refused, why);
    dedup_record record;
    record.state = dedup_state::Refused;
    record.keepUntil = deadline;
    record.refusal
        = {attempt, m_settings.incarnation, why, notRun, m_env.now() + m_settings.retryDelay};
    // The refusal is recorded so that a delayed copy of the request is not admitted later. If the
    // table is full, the refusal does not claim "not run". An expired request and one for another
    // incarnation would be refused again anyway and need no record.
    const bool staysRefused = why == reason::Expired || why == reason::StaleIncarnation;
    const dedup_key key {dedup_scope::Attempt, attempt};
    if (!staysRefused && notRun) {
        if (m_dedupTable->find(key) != nullptr || m_dedupTable->hasCapacity())
            m_dedupTable->insert(key, record);
        else
            record.refusal.notRun = false;
    }
    reply(attempt, record);
}

void call_executor::handle(const process_id &, const call_fence &fenceMessage)
{
    if (fenceMessage.agentIncarnation != m_settings.incarnation)
        return refuse(fenceMessage.attempt, reason::StaleIncarnation, false, fenceMessage.deadline);
    absl::Time deadline = fenceMessage.deadline;
    const auto key
        = keyOf(fenceMessage.attempt, fenceMessage.repeatable, fenceMessage.token, &deadline);
    if (!key)
        return refuse(fenceMessage.attempt, key.error().why, true, fenceMessage.deadline);
    dedup_record *record = m_dedupTable->find(*key);
    if (record == nullptr) {
        // After the retention the record of a run may be dropped, and in a full table the fence
        // could not be stored. The agent then sends no answer, and the entry reports the outcome as
        // unknown.
        if (!m_dedupTable->hasCapacity() || m_env.now() >= deadline + m_settings.retention)
            return;
        dedup_record fenceRecord;
        fenceRecord.state = dedup_state::Fenced;
        fenceRecord.keepUntil = deadline + m_settings.retention;
        return reply(fenceMessage.attempt, m_dedupTable->insert(*key, fenceRecord));
    }
    if (record->state == dedup_state::Waiting)
        abandon(*key, *record, reason::Fenced);
    reply(fenceMessage.attempt, *record);
}

void call_executor::handle(const process_id &, const call_query &query)
{
    if (query.agentIncarnation != m_settings.incarnation)
        return refuse(query.attempt, reason::StaleIncarnation, false, m_env.now());
    absl::Time deadline = absl::InfiniteFuture();
    const auto key = keyOf(query.attempt, query.repeatable, query.token, &deadline);
    if (!key)
        return;
    const dedup_record *record = m_dedupTable->find({dedup_scope::Attempt, query.attempt});
    if (record == nullptr)
        record = m_dedupTable->find(*key);
    if (record != nullptr)
        return reply(query.attempt, *record);
    m_hooks.send(query.attempt.entry,
                 call_fenced {query.attempt, m_settings.incarnation, call_state::Unknown});
}

void call_executor::handle(const process_id &, const call_reserve &reservation)
{
    const absl::Time latest = m_env.now() + m_settings.maxCallDuration;
    if (m_leaving)
        return refuse(reservation.attempt, reason::Leaving, true, reservation.deadline);
    const std::string token
        = issueToken({m_settings.agent, m_settings.incarnation, reservation.attempt.id.team,
                      m_env.random(), std::min(reservation.deadline, latest)},
                     m_secret);
    m_hooks.send(reservation.attempt.entry, call_reserved {reservation.attempt, token});
}

void call_executor::reply(const call_attempt &attempt, const dedup_record &record)
{
    switch (record.state) {
    case dedup_state::Waiting:
    case dedup_state::Running:
        return m_hooks.send(attempt.entry,
                            call_fenced {attempt, m_settings.incarnation, call_state::Running});
    case dedup_state::Fenced:
        return m_hooks.send(attempt.entry,
                            call_fenced {attempt, m_settings.incarnation, call_state::Fenced});
    case dedup_state::Ended: {
        call_response response = record.outcome;
        response.attempt = attempt;
        return m_hooks.send(attempt.entry, response);
    }
    case dedup_state::Refused: {
        call_refused refusal = record.refusal;
        refusal.attempt = attempt;
        return m_hooks.send(attempt.entry, refusal);
    }
    }
}

} // namespace hyssoppond
