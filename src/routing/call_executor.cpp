/// @file Agent side of calls: messages from entries.
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
    return m_busy == 0 && m_calls->waiting.empty();
}

std::size_t call_executor::waitingCalls() const
{
    return m_calls->waiting.size();
}

std::size_t call_executor::dedupRecords() const
{
    return m_dedupTable->size();
}

void call_executor::receive(const process_id &from, const call_message &what)
{
    std::visit([&](const auto &message) { handle(from, message); }, what);
}

result<dedup_key> call_executor::keyOf(const call_attempt &attempt, bool repeatable,
                                       const std::string &token, absl::Time *deadline) const
{
    dedup_key key;
    if (!token.empty()) {
        const auto verified = verifyToken(token, m_secret);
        if (!verified || verified->agent != m_settings.agent
            || verified->incarnation != m_settings.incarnation || verified->team != attempt.id.team)
            return fail(reason::InvalidArgument, "the token is not of this agent and team");
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
    call_request what = message;
    const call_attempt &attempt = what.attempt;
    // An earlier incarnation may have run the call, so that "not run" is not certain here.
    if (m_mechanisms.incarnationCheck && what.agentIncarnation != m_settings.incarnation)
        return refuse(attempt, reason::StaleIncarnation, false, what.deadline);
    const dedup_record *known = m_dedupTable->find({dedup_scope::Attempt, attempt});
    if (known != nullptr && known->state == dedup_state::Refused && m_mechanisms.fences)
        return reply(attempt, *known);
    auto key = keyOf(attempt, what.repeatable, what.token, &what.deadline);
    if (!key)
        return refuse(attempt, key.error().why, true, what.deadline);
    if (!m_mechanisms.deduplication)
        key->attempt.number = ++m_runs;
    if (repeatOutcome(*key, what))
        return;
    const reason why = admissionFault(what);
    if (why == reason::None)
        return admit(*key, what);
    // The record of an expired call may already be gone.
    const bool forgotten = m_env.now() >= what.deadline + m_settings.retention;
    refuse(attempt, why, why != reason::Expired || !forgotten, what.deadline);
}

bool call_executor::repeatOutcome(const dedup_key &key, const call_request &what)
{
    dedup_record *record = m_dedupTable->find(key);
    if (record == nullptr || (record->state == dedup_state::Fenced && !m_mechanisms.fences))
        return false;
    if (record->state != dedup_state::Fenced && record->checksum != what.checksum) {
        refuse(what.attempt, reason::RequestIdReused, true, what.deadline);
        return true;
    }
    m_hooks.count(disposition::Dropped, reason::DuplicateMessage);
    const bool active
        = record->state == dedup_state::Waiting || record->state == dedup_state::Running;
    if (!active) {
        reply(what.attempt, *record);
        return true;
    }
    auto &waiters = record->waiters;
    if (std::find(waiters.begin(), waiters.end(), what.attempt) == waiters.end()) {
        if (waiters.size() < MaxWaiters)
            waiters.push_back(what.attempt);
    }
    return true;
}

reason call_executor::admissionFault(const call_request &what) const
{
    if (m_leaving && m_mechanisms.leavingCheck)
        return reason::Leaving;
    const absl::Time now = m_env.now();
    if (what.deadline <= now && m_mechanisms.deadlineCheck)
        return reason::Expired;
    if (what.deadline > now + m_settings.maxCallDuration)
        return reason::InvalidArgument;
    const bool slotFree = m_busy < m_settings.slots && m_calls->waiting.empty();
    const bool connectionFree = m_busy + m_calls->waiting.size() < m_settings.connections;
    if (!connectionFree || (!slotFree && m_calls->waiting.size() >= m_settings.maxWaiting)
        || !m_dedupTable->hasRoom())
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
    // A delayed copy of the request must not be admitted later. Without room to remember that, the
    // refusal is no proof. An expired or wrongly addressed request stays refused by itself.
    const bool staysRefused = why == reason::Expired || why == reason::StaleIncarnation;
    const dedup_key key {dedup_scope::Attempt, attempt};
    if (!staysRefused && notRun) {
        if (m_dedupTable->find(key) != nullptr || m_dedupTable->hasRoom())
            m_dedupTable->insert(key, record);
        else
            record.refusal.notRun = false;
    }
    reply(attempt, record);
}

void call_executor::handle(const process_id &, const call_fence &what)
{
    if (what.agentIncarnation != m_settings.incarnation)
        return refuse(what.attempt, reason::StaleIncarnation, false, what.deadline);
    absl::Time deadline = what.deadline;
    const auto key = keyOf(what.attempt, what.repeatable, what.token, &deadline);
    if (!key)
        return refuse(what.attempt, key.error().why, true, what.deadline);
    dedup_record *record = m_dedupTable->find(*key);
    if (record == nullptr) {
        // Past the retention the record of a run may be gone; without room a fence would not hold.
        // Without an answer the entry reports the outcome as unknown.
        if (!m_dedupTable->hasRoom() || m_env.now() >= deadline + m_settings.retention)
            return;
        dedup_record fence;
        fence.state = dedup_state::Fenced;
        fence.keepUntil = deadline + m_settings.retention;
        return reply(what.attempt, m_dedupTable->insert(*key, fence));
    }
    if (record->state == dedup_state::Waiting)
        abandon(*key, *record, reason::Fenced);
    reply(what.attempt, *record);
}

void call_executor::handle(const process_id &, const call_query &what)
{
    if (what.agentIncarnation != m_settings.incarnation)
        return refuse(what.attempt, reason::StaleIncarnation, false, m_env.now());
    absl::Time deadline = absl::InfiniteFuture();
    const auto key = keyOf(what.attempt, what.repeatable, what.token, &deadline);
    if (!key)
        return;
    const dedup_record *record = m_dedupTable->find({dedup_scope::Attempt, what.attempt});
    if (record == nullptr)
        record = m_dedupTable->find(*key);
    if (record != nullptr)
        return reply(what.attempt, *record);
    m_hooks.send(what.attempt.entry,
                 call_fenced {what.attempt, m_settings.incarnation, call_state::Unknown});
}

void call_executor::handle(const process_id &, const call_reserve &what)
{
    const absl::Time latest = m_env.now() + m_settings.maxCallDuration;
    if (m_leaving)
        return refuse(what.attempt, reason::Leaving, true, what.deadline);
    const std::string token
        = issueToken({m_settings.agent, m_settings.incarnation, what.attempt.id.team,
                      m_env.random(), std::min(what.deadline, latest)},
                     m_secret);
    m_hooks.send(what.attempt.entry, call_reserved {what.attempt, token});
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
