/// @file Entry side of calls: deadlines, queries, fences and retries.
#include "call_router_state_type.h"

namespace hyssoppond {
namespace {

/// Duration of a backoff with full jitter: uniformly random between zero and a bound that doubles
/// with each backoff, up to the longest backoff. `random` supplies the random bits.
absl::Duration backoffOf(const router_settings &settings, std::uint32_t backoffs,
                         std::uint64_t random)
{
    const absl::Duration bound
        = std::min(settings.longestBackoff,
                   settings.firstBackoff * (std::int64_t {1} << std::min(backoffs, 16U)));
    return bound * (static_cast<double>(random >> 11) * 0x1p-53);
}

} // namespace

void call_router::schedule(pending_call &call, absl::Time when)
{
    m_timers.erase({call.timer, call.number});
    call.timer = when;
    m_timers.insert({when, call.number});
}

absl::Time call_router::nextDeadline() const
{
    absl::Time next = m_timers.empty() ? absl::InfiniteFuture() : m_timers.begin()->first;
    for (const auto &[number, reservation] : m_reservations)
        next = std::min(next, reservation->timeoutAt);
    return next;
}

void call_router::tick()
{
    const absl::Time now = m_env.now();
    // The due calls are collected first: a timer that is set again during this tick is handled by
    // the next tick.
    std::vector<call_number> due;
    for (const auto &[when, number] : m_timers) {
        if (when > now)
            break;
        due.push_back(number);
    }
    for (const call_number number : due) {
        pending_call *call = find(number);
        if (call != nullptr && call->timer <= now)
            onTimer(*call);
    }
    std::vector<call_done> timedOut;
    std::erase_if(m_reservations, [&](auto &item) {
        if (item.second->timeoutAt > now)
            return false;
        timedOut.push_back(std::move(item.second->done));
        return true;
    });
    for (const call_done &done : timedOut) {
        done(hyssoppond::fail(reason::ConnectionSilent,
                              "the agent did not answer the token request; retry",
                              execution::NotRun, refusalRetryAt()));
    }
    dispatch();
}

void call_router::onTimer(pending_call &call)
{
    if (m_env.now() >= call.submission.deadline) {
        const reason why = call.lastReason == reason::None ? reason::Expired : call.lastReason;
        return fail(call, why, "the deadline passed before the call ended; allow more time",
                    refusalRetryAt());
    }
    switch (call.currentPhase) {
    case pending_call::phase::Queued:
    case pending_call::phase::Binding:
        return schedule(call, call.submission.deadline);
    case pending_call::phase::Sent:
        return onSentTimer(call);
    case pending_call::phase::Backoff:
        return onBackoffEnd(call);
    }
}

void call_router::onBackoffEnd(pending_call &call)
{
    if (m_env.now() < call.retryAt)
        return schedule(call, std::min(call.retryAt, call.submission.deadline));
    // A draining entry accepts no new calls, so its retries are bounded without the budget.
    if (m_draining || m_budget.take(m_env.now())) {
        m_hooks.count(disposition::Retried, call.lastReason);
        return enqueue(call);
    }
    ++call.backoffsWithoutBudget;
    if (call.backoffsWithoutBudget >= m_settings.maxBackoffsWithoutBudget
        && stateOf(call) == execution::NotRun) {
        return fail(call, reason::RetryBudgetExhausted,
                    "the retry budget of this entry is exhausted; retry later", refusalRetryAt());
    }
    retryLater(call, call.lastReason);
}

void call_router::retryLater(pending_call &call, reason why)
{
    call.currentPhase = pending_call::phase::Backoff;
    call.lastReason = why;
    call.retryAt = m_env.now() + backoffOf(m_settings, call.backoffs++, m_env.random());
    schedule(call, std::min(call.retryAt, call.submission.deadline));
}

absl::Time call_router::fenceAt(const pending_call &call) const
{
    if (call.submission.repeatable)
        return call.submission.deadline;
    const absl::Duration maxMargin = (call.submission.deadline - call.attempts.back().sentAt) / 3;
    return call.submission.deadline - std::min(m_settings.fenceMargin, maxMargin);
}

void call_router::onSentTimer(pending_call &call)
{
    const absl::Time now = m_env.now();
    const auto &current = call.currentAttempt();
    const call_attempt attempt {call.submission.id, m_settings.entry, m_settings.incarnation,
                                current.number};
    const absl::Time fenceAt = this->fenceAt(call);
    if (!call.submission.repeatable && now >= fenceAt) {
        m_hooks.send(current.agent,
                     call_fence {attempt, current.incarnation, false, call.submission.token,
                                 call.binding ? call.binding->until : call.submission.deadline});
        return schedule(
            call,
            std::min(now + (call.submission.deadline - fenceAt) / 3, call.submission.deadline));
    }
    if (now >= call.nextQueryAt) {
        if (call.unanswered >= m_settings.maxUnansweredQueries) {
            onSilence(call);
            if (call.currentPhase != pending_call::phase::Sent)
                return;
        }
        ++call.unanswered;
        call.nextQueryAt = now + m_settings.queryInterval;
        m_hooks.send(current.agent,
                     call_query {attempt, current.incarnation, call.submission.repeatable,
                                 call.submission.token});
    }
    schedule(call, std::min(call.nextQueryAt, fenceAt));
}

void call_router::onSilence(pending_call &call)
{
    m_hooks.count(disposition::Retried, reason::ConnectionSilent);
    releaseSlot(call, attempt_sample::outcome::Failed);
    if (!call.submission.repeatable)
        return; // only this agent may run the call, so the entry queries it until the deadline
    call.currentAttempt().state = pending_call::attempt_state::Lost;
    retryLater(call, reason::ConnectionSilent);
}

void call_router::onAgentLost(const process_id &agent)
{
    std::vector<call_number> lost;
    for (const auto &[number, call] : m_calls) {
        if (call->currentPhase == pending_call::phase::Binding && call->slotAgent == agent)
            call->slotAgent
                = {}; // the route was reset or removed, and its attempts in flight with it
        if (call->currentPhase == pending_call::phase::Sent
            && call->currentAttempt().agent == agent)
            lost.push_back(number);
    }
    for (const call_number number : lost) {
        pending_call *call = find(number);
        if (call == nullptr)
            continue;
        releaseSlot(*call, attempt_sample::outcome::Cancelled);
        call->currentAttempt().state = pending_call::attempt_state::Lost;
        if (call->submission.repeatable)
            retryLater(*call, reason::AgentLost);
        else
            fail(*call, reason::AgentLost,
                 "the agent of this call is lost; check whether the call took effect before "
                 "using a new request id",
                 absl::InfiniteFuture());
    }
}

} // namespace hyssoppond
