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
    , m_ledger(std::make_unique<call_ledger>(m_settings.maxRecords, m_settings.maxOutcomeBytes))
    , m_calls(std::make_unique<admitted_calls>())
    , m_alive(std::make_shared<bool>(true))
{
    if (!m_hooks.count)
        m_hooks.count = [](event, reason) {};
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

std::size_t call_executor::ledgerSize() const
{
    return m_ledger->size();
}

void call_executor::receive(const process_id &from, const call_message &what)
{
    std::visit([&](const auto &message) { handle(from, message); }, what);
}

result<ledger_key> call_executor::keyOf(const call_attempt &attempt, bool repeatable,
                                        const std::string &token, absl::Time *deadline) const
{
    ledger_key key;
    if (!token.empty()) {
        const auto verified = verifyToken(token, m_secret);
        if (!verified || verified->agent != m_settings.agent
            || verified->incarnation != m_settings.incarnation || verified->team != attempt.id.team)
            return fail(reason::InvalidArgument, "the token is not of this agent and team");
        key.scope = ledger_scope::Token;
        key.attempt.id = {attempt.id.team, request_id(std::to_string(verified->nonce))};
        *deadline = std::min(*deadline, verified->deadline);
    } else if (repeatable) {
        key.attempt = attempt;
    } else {
        key.scope = ledger_scope::Id;
        key.attempt.id = attempt.id;
    }
    return key;
}

void call_executor::handle(const process_id &, const call_request &message)
{
    if (callChecksum(message.payload) != message.checksum)
        return m_hooks.count(event::Dropped, reason::ChecksumMismatch);
    call_request what = message;
    const call_attempt &attempt = what.attempt;
    // An earlier incarnation may have run the call, so that "not run" is not certain here.
    if (m_mechanisms.incarnationCheck && what.agentIncarnation != m_settings.incarnation)
        return refuse(attempt, reason::StaleIncarnation, false, what.deadline);
    const ledger_record *known = m_ledger->find({ledger_scope::Attempt, attempt});
    if (known != nullptr && known->state == ledger_state::Refused && m_mechanisms.fences)
        return reply(attempt, *known);
    auto key = keyOf(attempt, what.repeatable, what.token, &what.deadline);
    if (!key)
        return refuse(attempt, key.error().why, true, what.deadline);
    if (!m_mechanisms.ledger)
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

bool call_executor::repeatOutcome(const ledger_key &key, const call_request &what)
{
    ledger_record *record = m_ledger->find(key);
    if (record == nullptr || (record->state == ledger_state::Fenced && !m_mechanisms.fences))
        return false;
    if (record->state != ledger_state::Fenced && record->checksum != what.checksum) {
        refuse(what.attempt, reason::RequestIdReused, true, what.deadline);
        return true;
    }
    m_hooks.count(event::Dropped, reason::DuplicateMessage);
    const bool active
        = record->state == ledger_state::Waiting || record->state == ledger_state::Running;
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
        || !m_ledger->hasRoom())
        return reason::Overloaded;
    return reason::None;
}

void call_executor::refuse(const call_attempt &attempt, reason why, bool notRun,
                           absl::Time deadline)
{
    m_hooks.count(event::Refused, why);
    ledger_record record;
    record.state = ledger_state::Refused;
    record.keepUntil = deadline;
    record.refusal
        = {attempt, m_settings.incarnation, why, notRun, m_env.now() + m_settings.retryDelay};
    // A delayed copy of the request must not be admitted later. Without room to remember that, the
    // refusal is no proof. An expired or wrongly addressed request stays refused by itself.
    const bool staysRefused = why == reason::Expired || why == reason::StaleIncarnation;
    const ledger_key key {ledger_scope::Attempt, attempt};
    if (!staysRefused && notRun) {
        if (m_ledger->find(key) != nullptr || m_ledger->hasRoom())
            m_ledger->insert(key, record);
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
    ledger_record *record = m_ledger->find(*key);
    if (record == nullptr) {
        // Past the retention the record of a run may be gone; without room a fence would not hold.
        // Without an answer the entry reports the outcome as unknown.
        if (!m_ledger->hasRoom() || m_env.now() >= deadline + m_settings.retention)
            return;
        ledger_record fence;
        fence.state = ledger_state::Fenced;
        fence.keepUntil = deadline + m_settings.retention;
        return reply(what.attempt, m_ledger->insert(*key, fence));
    }
    if (record->state == ledger_state::Waiting)
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
    const ledger_record *record = m_ledger->find({ledger_scope::Attempt, what.attempt});
    if (record == nullptr)
        record = m_ledger->find(*key);
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

void call_executor::reply(const call_attempt &attempt, const ledger_record &record)
{
    switch (record.state) {
    case ledger_state::Waiting:
    case ledger_state::Running:
        return m_hooks.send(attempt.entry,
                            call_fenced {attempt, m_settings.incarnation, call_state::Running});
    case ledger_state::Fenced:
        return m_hooks.send(attempt.entry,
                            call_fenced {attempt, m_settings.incarnation, call_state::Fenced});
    case ledger_state::Ended: {
        call_response response = record.outcome;
        response.attempt = attempt;
        return m_hooks.send(attempt.entry, response);
    }
    case ledger_state::Refused: {
        call_refused refusal = record.refusal;
        refusal.attempt = attempt;
        return m_hooks.send(attempt.entry, refusal);
    }
    }
}

} // namespace hyssoppond
