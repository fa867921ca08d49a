/// @file Entry side of calls: handling of the answers from agents.
#include "call_router_state_type.h"

#include <absl/strings/str_format.h>

namespace hyssoppond {

void call_router::receive(const process_id &from, const call_message &callMessage)
{
    std::visit([&](const auto &message) { handle(from, message); }, callMessage);
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
    const auto attemptIt = std::find_if(
        call->attempts.begin(), call->attempts.end(),
        [&attempt](const auto &candidate) { return candidate.number == attempt.number; });
    if (verify
        && (attempt.id != call->submission.id || attemptIt->agent != from
            || attemptIt->incarnation != agentIncarnation)) {
        m_hooks.count(disposition::Dropped, reason::CrossedAnswer);
        return nullptr;
    }
    return call;
}

bool call_router::isIntact(const call_response &response) const
{
    if (!m_mechanisms.verifyAnswers)
        return true;
    if (response.length != response.payload.size()) {
        m_hooks.count(disposition::Dropped, reason::TruncatedAnswer);
        return false;
    }
    if (response.checksum != callChecksum(response.payload)) {
        m_hooks.count(disposition::Dropped, reason::ChecksumMismatch);
        return false;
    }
    return true;
}

void call_router::handle(const process_id &from, const call_response &response)
{
    pending_call *call = match(from, response.attempt, response.agentIncarnation);
    if (call == nullptr || !isIntact(response))
        return;
    const bool isCurrent = call->currentPhase == pending_call::phase::Sent
        && call->currentAttempt().number == response.attempt.number;
    if (response.succeeded) {
        if (isCurrent)
            releaseSlot(*call, attempt_sample::outcome::Succeeded, response.waited);
        return finish(*call, response.payload);
    }
    if (isCurrent)
        onRunnerFailure(*call, response);
    else
        m_hooks.count(disposition::Dropped, reason::LateAnswer);
}

void call_router::onRunnerFailure(pending_call &call, const call_response &response)
{
    releaseSlot(call, attempt_sample::outcome::Failed, response.waited);
    call.currentAttempt().state = response.state == execution::Ran
        ? pending_call::attempt_state::Failed
        : pending_call::attempt_state::Lost;
    ++call.failures;
    if (call.submission.repeatable && call.failures < m_settings.maxFailures)
        return retryLater(call, reason::RunnerFailed);
    fail(call, reason::RunnerFailed, "the runner failed the call: " + response.payload,
         absl::InfiniteFuture());
}

void call_router::handle(const process_id &from, const call_refused &refusal)
{
    if (const auto it = m_reservations.find(refusal.attempt.number);
        it != m_reservations.end() && it->second->id == refusal.attempt.id) {
        const call_done done = std::move(it->second->done);
        m_reservations.erase(it);
        done(hyssoppond::fail(refusal.why, "the agent issues no token; retry", execution::NotRun,
                              refusal.retryAt));
        return;
    }
    // A restarted agent answers with its new incarnation, so match() is given the incarnation that
    // the attempt was sent to.
    const bool restarted = refusal.why == reason::StaleIncarnation;
    const auto known = m_attempts.find(refusal.attempt.number);
    pending_call *call = restarted && known != m_attempts.end()
        ? match(from, refusal.attempt, find(known->second)->currentAttempt().incarnation)
        : match(from, refusal.attempt, refusal.agentIncarnation);
    if (call == nullptr)
        return;
    if (call->currentPhase != pending_call::phase::Sent
        || call->currentAttempt().number != refusal.attempt.number)
        return m_hooks.count(disposition::Dropped, reason::LateAnswer);
    if (refusal.why == reason::Leaving) {
        if (const endpoint *target = m_routes.find(from))
            m_routes.setEndpoint(endpoint(*target), true);
    }
    call->currentAttempt().state
        = refusal.notRun ? pending_call::attempt_state::NotRun : pending_call::attempt_state::Lost;
    releaseSlot(*call, attempt_sample::outcome::Refused);
    if (refusal.why == reason::Expired || refusal.why == reason::InvalidArgument) {
        return fail(*call, refusal.why, "the agent refused the call; check its deadline and token",
                    absl::InfiniteFuture());
    }
    if (call->submission.repeatable)
        return retryLater(*call, refusal.why);
    onRefusalOfBound(*call, refusal);
}

void call_router::onRefusalOfBound(pending_call &call, const call_refused &refusal)
{
    if (refusal.why == reason::Overloaded)
        return retryLater(call, refusal.why);
    const std::string name(ReasonNames.name(refusal.why));
    fail(call, refusal.why,
         absl::StrFormat("the agent of this call refused it (%s); use a new request id or token",
                         name),
         absl::InfiniteFuture());
}

void call_router::handle(const process_id &from, const call_fenced &answer)
{
    pending_call *call = match(from, answer.attempt, answer.agentIncarnation);
    if (call == nullptr || call->currentPhase != pending_call::phase::Sent
        || call->currentAttempt().number != answer.attempt.number)
        return;
    call->unanswered = 0;
    switch (answer.state) {
    case call_state::Running:
        call->nextQueryAt = m_env.now() + m_settings.queryAfter;
        return;
    case call_state::Fenced:
        call->currentAttempt().state = pending_call::attempt_state::NotRun;
        return fail(*call, reason::Fenced,
                    "the call did not start before its deadline; retry with a new request id",
                    refusalRetryAt());
    case call_state::Unknown:
        // The agent did not get the request. Sending it again is safe, because the agent admits an
        // attempt only once.
        if (m_budget.take(m_env.now())) {
            m_hooks.count(disposition::Retried, reason::ConnectionSilent);
            call->nextQueryAt = m_env.now() + m_settings.queryAfter;
            sendRequest(*call);
        }
        return;
    case call_state::Ended:
        return;
    }
}

void call_router::handle(const process_id &from, const call_reserved &reserved)
{
    const auto it = m_reservations.find(reserved.attempt.number);
    if (it == m_reservations.end() || it->second->id != reserved.attempt.id
        || it->second->agent != from)
        return m_hooks.count(disposition::Dropped, reason::LateAnswer);
    const call_done done = std::move(it->second->done);
    m_reservations.erase(it);
    done(reserved.token);
}

} // namespace hyssoppond
