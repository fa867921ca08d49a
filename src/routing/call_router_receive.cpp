/// @file Entry side of calls: answers of agents.
#include "call_router_state_type.h"

#include <absl/strings/str_format.h>

namespace hyssoppond {

void call_router::receive(const process_id &from, const call_message &what)
{
    std::visit([&](const auto &message) { handle(from, message); }, what);
    dispatch();
}

call_router::pending_call *call_router::match(const process_id &from, const call_attempt &attempt,
                                              incarnation_number agentIncarnation)
{
    const bool verify = m_mechanisms.verifyAnswers;
    if (verify
        && (attempt.entry != m_settings.entry
            || attempt.entryIncarnation != m_settings.incarnation)) {
        m_hooks.count(disposition::Dropped, reason::CrossedAnswer);
        return nullptr;
    }
    const auto it = m_attempts.find(attempt.number);
    if (it == m_attempts.end()) {
        m_hooks.count(disposition::Dropped, reason::LateAnswer);
        return nullptr;
    }
    pending_call *call = find(it->second);
    const auto sent
        = std::find_if(call->attempts.begin(), call->attempts.end(),
                       [&attempt](const auto &one) { return one.number == attempt.number; });
    if (verify
        && (attempt.id != call->what.id || sent->agent != from
            || sent->incarnation != agentIncarnation)) {
        m_hooks.count(disposition::Dropped, reason::CrossedAnswer);
        return nullptr;
    }
    return call;
}

bool call_router::isIntact(const call_response &what) const
{
    if (!m_mechanisms.verifyAnswers)
        return true;
    if (what.length != what.payload.size()) {
        m_hooks.count(disposition::Dropped, reason::TruncatedAnswer);
        return false;
    }
    if (what.checksum != callChecksum(what.payload)) {
        m_hooks.count(disposition::Dropped, reason::ChecksumMismatch);
        return false;
    }
    return true;
}

void call_router::handle(const process_id &from, const call_response &what)
{
    pending_call *call = match(from, what.attempt, what.agentIncarnation);
    if (call == nullptr || !isIntact(what))
        return;
    const bool present
        = call->at == pending_call::phase::Sent && call->present().number == what.attempt.number;
    if (what.succeeded) {
        if (present)
            releaseSlot(*call, attempt_sample::outcome::Succeeded, what.waited);
        return finish(*call, what.payload);
    }
    if (present)
        onRunnerFailure(*call, what);
    else
        m_hooks.count(disposition::Dropped, reason::LateAnswer);
}

void call_router::onRunnerFailure(pending_call &call, const call_response &what)
{
    releaseSlot(call, attempt_sample::outcome::Failed, what.waited);
    call.present().state = what.state == execution::Ran ? pending_call::attempt_state::Failed
                                                        : pending_call::attempt_state::Lost;
    ++call.failures;
    if (call.what.repeatable && call.failures < m_settings.maxFailures)
        return retryLater(call, reason::RunnerFailed);
    fail(call, reason::RunnerFailed, "the runner failed the call: " + what.payload,
         absl::InfiniteFuture());
}

void call_router::handle(const process_id &from, const call_refused &what)
{
    if (const auto it = m_reservations.find(what.attempt.number);
        it != m_reservations.end() && it->second->id == what.attempt.id) {
        const call_done done = std::move(it->second->done);
        m_reservations.erase(it);
        done(hyssoppond::fail(what.why, "the agent issues no token; retry", execution::NotRun,
                              what.retryAt));
        return;
    }
    // An agent that was restarted answers with its new incarnation.
    const bool restarted = what.why == reason::StaleIncarnation;
    const auto known = m_attempts.find(what.attempt.number);
    pending_call *call = restarted && known != m_attempts.end()
        ? match(from, what.attempt, find(known->second)->present().incarnation)
        : match(from, what.attempt, what.agentIncarnation);
    if (call == nullptr)
        return;
    if (call->at != pending_call::phase::Sent || call->present().number != what.attempt.number)
        return m_hooks.count(disposition::Dropped, reason::LateAnswer);
    if (what.why == reason::Leaving) {
        if (const endpoint *where = m_routes.find(from))
            m_routes.setEndpoint(endpoint(*where), true);
    }
    call->present().state
        = what.notRun ? pending_call::attempt_state::NotRun : pending_call::attempt_state::Lost;
    releaseSlot(*call, attempt_sample::outcome::Refused);
    if (what.why == reason::Expired || what.why == reason::InvalidArgument) {
        return fail(*call, what.why, "the agent refused the call; check its deadline and token",
                    absl::InfiniteFuture());
    }
    if (call->what.repeatable)
        return retryLater(*call, what.why);
    onRefusalOfBound(*call, what);
}

void call_router::onRefusalOfBound(pending_call &call, const call_refused &what)
{
    if (what.why == reason::Overloaded)
        return retryLater(call, what.why);
    const std::string name(ReasonNames.name(what.why));
    fail(call, what.why,
         absl::StrFormat("the agent of this call refused it (%s); use a new request id or token",
                         name),
         absl::InfiniteFuture());
}

void call_router::handle(const process_id &from, const call_fenced &what)
{
    pending_call *call = match(from, what.attempt, what.agentIncarnation);
    if (call == nullptr || call->at != pending_call::phase::Sent
        || call->present().number != what.attempt.number)
        return;
    call->unanswered = 0;
    switch (what.state) {
    case call_state::Running:
        call->askAt = m_env.now() + m_settings.askAfter;
        return;
    case call_state::Fenced:
        call->present().state = pending_call::attempt_state::NotRun;
        return fail(*call, reason::Fenced,
                    "the call did not start before its deadline; retry with a new request id",
                    refusalRetry());
    case call_state::Unknown:
        // The request was lost. Sending it again is safe, because the agent admits an attempt once.
        if (m_budget.take(m_env.now())) {
            m_hooks.count(disposition::Retried, reason::ConnectionSilent);
            call->askAt = m_env.now() + m_settings.askAfter;
            sendRequest(*call);
        }
        return;
    case call_state::Ended:
        return;
    }
}

void call_router::handle(const process_id &from, const call_reserved &what)
{
    const auto it = m_reservations.find(what.attempt.number);
    if (it == m_reservations.end() || it->second->id != what.attempt.id
        || it->second->agent != from)
        return m_hooks.count(disposition::Dropped, reason::LateAnswer);
    const call_done done = std::move(it->second->done);
    m_reservations.erase(it);
    done(what.token);
}

} // namespace hyssoppond
