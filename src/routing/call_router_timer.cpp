/// @file Entry side of calls: deadlines, queries, fences and retries.
#include "call_router_state_type.h"

namespace hyssoppond {
namespace {

/// Full jitter: uniform between zero and a bound that doubles with each backoff.
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
        next = std::min(next, reservation->giveUpAt);
    return next;
}

void call_router::tick()
{
    const absl::Time now = m_env.now();
    // A timer that is set again during this tick waits for the next one.
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
    std::vector<call_done> givenUp;
    std::erase_if(m_reservations, [&](auto &one) {
        if (one.second->giveUpAt > now)
            return false;
        givenUp.push_back(std::move(one.second->done));
        return true;
    });
    for (const call_done &done : givenUp) {
        done(hyssoppond::fail(reason::ConnectionSilent, "the agent did not answer; retry",
                              execution::NotRun, refusalRetry()));
    }
    dispatch();
}

void call_router::onTimer(pending_call &call)
{
    if (m_env.now() >= call.what.deadline) {
        const reason why = call.lastReason == reason::None ? reason::Expired : call.lastReason;
        return fail(call, why, "the deadline passed before the call ended", refusalRetry());
    }
    switch (call.at) {
    case pending_call::phase::Queued:
    case pending_call::phase::Binding:
        return schedule(call, call.what.deadline);
    case pending_call::phase::Sent:
        return onSentTimer(call);
    case pending_call::phase::Backoff:
        return onBackoffEnd(call);
    }
}

void call_router::onBackoffEnd(pending_call &call)
{
    if (m_env.now() < call.retryAt)
        return schedule(call, std::min(call.retryAt, call.what.deadline));
    // A draining entry accepts no new calls, so that its retries are bounded without the budget.
    if (m_draining || m_budget.take(m_env.now())) {
        m_hooks.count(disposition::Retried, call.lastReason);
        return enqueue(call);
    }
    ++call.dryBackoffs;
    if (call.dryBackoffs >= m_settings.maxDryBackoffs && stateOf(call) == execution::NotRun) {
        return fail(call, reason::RetryBudgetExhausted, "the endpoints are overloaded; retry later",
                    refusalRetry());
    }
    retryLater(call, call.lastReason);
}

void call_router::retryLater(pending_call &call, reason why)
{
    call.at = pending_call::phase::Backoff;
    call.lastReason = why;
    call.retryAt = m_env.now() + backoffOf(m_settings, call.backoffs++, m_env.random());
    schedule(call, std::min(call.retryAt, call.what.deadline));
}

absl::Time call_router::fenceAt(const pending_call &call) const
{
    if (call.what.repeatable)
        return call.what.deadline;
    const absl::Duration most = (call.what.deadline - call.attempts.back().sentAt) / 3;
    return call.what.deadline - std::min(m_settings.fenceMargin, most);
}

void call_router::onSentTimer(pending_call &call)
{
    const absl::Time now = m_env.now();
    const auto &present = call.present();
    const call_attempt attempt {call.what.id, m_settings.entry, m_settings.incarnation,
                                present.number};
    const absl::Time fenceAt = this->fenceAt(call);
    if (!call.what.repeatable && now >= fenceAt) {
        m_hooks.send(present.agent,
                     call_fence {attempt, present.incarnation, false, call.what.token,
                                 call.binding ? call.binding->until : call.what.deadline});
        return schedule(call,
                        std::min(now + (call.what.deadline - fenceAt) / 3, call.what.deadline));
    }
    if (now >= call.askAt) {
        if (call.unanswered >= m_settings.unansweredQueries) {
            onSilence(call);
            if (call.at != pending_call::phase::Sent)
                return;
        }
        ++call.unanswered;
        call.askAt = now + m_settings.askInterval;
        m_hooks.send(
            present.agent,
            call_query {attempt, present.incarnation, call.what.repeatable, call.what.token});
    }
    schedule(call, std::min(call.askAt, fenceAt));
}

void call_router::onSilence(pending_call &call)
{
    m_hooks.count(disposition::Retried, reason::ConnectionSilent);
    releaseSlot(call, attempt_sample::outcome::Failed);
    if (!call.what.repeatable)
        return; // only this agent may run it: the entry asks on until the deadline
    call.present().state = pending_call::attempt_state::Lost;
    retryLater(call, reason::ConnectionSilent);
}

void call_router::loseAgent(const process_id &agent)
{
    std::vector<call_number> lost;
    for (const auto &[number, call] : m_calls) {
        if (call->at == pending_call::phase::Binding && call->slotOf == agent)
            call->slotOf = {}; // the route was reset or removed with its counts
        if (call->at == pending_call::phase::Sent && call->present().agent == agent)
            lost.push_back(number);
    }
    for (const call_number number : lost) {
        pending_call *call = find(number);
        if (call == nullptr)
            continue;
        releaseSlot(*call, attempt_sample::outcome::Cancelled);
        call->present().state = pending_call::attempt_state::Lost;
        if (call->what.repeatable)
            retryLater(*call, reason::AgentLost);
        else
            fail(*call, reason::AgentLost, "the agent of this call is lost",
                 absl::InfiniteFuture());
    }
}

} // namespace hyssoppond
