/// @file Entry side of calls: admission, dispatch and completion.
#include "call_router_state_type.h"

#include <absl/strings/str_format.h>

#include <utility>

namespace hyssoppond {

call_router::call_router(router_settings settings, environment env, router_hooks hooks,
                         router_mechanisms mechanisms)
    : m_settings(std::move(settings))
    , m_env(std::move(env))
    , m_hooks(std::move(hooks))
    , m_mechanisms(mechanisms)
    , m_routes(m_settings.routes, m_env)
    , m_queue(m_settings.queues)
    , m_budget(m_settings.retries)
    , m_alive(std::make_shared<bool>(true))
{
    if (!m_hooks.count)
        m_hooks.count = [](disposition, reason) {};
}

call_router::~call_router() = default;

void call_router::setEndpoint(const endpoint &target, bool leaving)
{
    if (m_routes.setEndpoint(target, leaving))
        onAgentLost(target.agent);
    dispatch();
}

void call_router::removeEndpoint(const process_id &agent)
{
    m_routes.removeEndpoint(agent);
    onAgentLost(agent);
    dispatch();
}

void call_router::setTeam(const team_id &team, double weight, std::uint32_t maxQueued)
{
    m_queue.setTeam(team, weight, maxQueued);
}

reason call_router::submissionRefusal(const call_submission &submission) const
{
    if (m_draining)
        return reason::Draining;
    if (submission.deadline <= m_env.now())
        return reason::Expired;
    if (submission.payload.size() > MaxCallPayloadBytes)
        return reason::BodyTooLarge;
    if (submission.id.request.isEmpty() || submission.id.request.str().size() > MaxCallNameBytes
        || submission.id.team.str().size() > MaxCallNameBytes
        || submission.caller.str().size() > MaxCallNameBytes
        || submission.token.size() > MaxCallNameBytes
        || (submission.repeatable && !submission.token.empty()))
        return reason::InvalidArgument;
    if (!m_routes.hasEndpoint())
        return reason::NoEndpoint;
    return m_calls.size() >= MaxPendingCalls ? reason::Overloaded : reason::None;
}

void call_router::submit(call_submission submission, call_done done)
{
    const reason why = submissionRefusal(submission);
    if (why != reason::None) {
        m_hooks.count(disposition::Refused, why);
        const bool permanent = why == reason::BodyTooLarge || why == reason::InvalidArgument
            || why == reason::Expired;
        done(hyssoppond::fail(
            why,
            permanent ? "the call is not valid; correct its deadline, payload size, ids or token"
                      : "this entry cannot take the call; retry at another entry",
            execution::NotRun, permanent ? absl::InfiniteFuture() : refusalRetryAt()));
        return;
    }
    m_budget.earn();
    auto call = std::make_unique<pending_call>();
    call->number = m_nextCall++;
    call->submission = std::move(submission);
    call->done = std::move(done);
    call->submission.deadline
        = std::min(call->submission.deadline, m_env.now() + m_settings.maxCallDuration);
    pending_call &added = *call;
    m_calls[added.number] = std::move(call);
    schedule(added, added.submission.deadline);
    enqueue(added);
    dispatch();
}

void call_router::enqueue(pending_call &call)
{
    call.currentPhase = pending_call::phase::Queued;
    schedule(call, call.submission.deadline);
    const auto evicted = m_queue.push(call.number, call.flow());
    if (evicted) {
        fail(*find(*evicted), reason::QueueFull, "the queue of the team is full; retry later",
             refusalRetryAt());
    }
}

void call_router::dispatch()
{
    if (std::exchange(m_dispatching, true))
        return;
    while (m_queue.size() > 0 && m_routes.hasCapacity()) {
        pending_call &call = *find(*m_queue.pop());
        const absl::Time earliestEnd = m_env.now() + m_queue.estimate(call.flow());
        if (earliestEnd >= call.submission.deadline) {
            m_queue.refund(call.flow());
            fail(call, reason::DeadlineTooShort,
                 "the call cannot end before its deadline; allow more time", refusalRetryAt());
        } else {
            dispatchOne(call);
        }
    }
    m_dispatching = false;
}

void call_router::dispatchOne(pending_call &call)
{
    if (!call.submission.token.empty() && !call.binding) {
        const auto token = readToken(call.submission.token);
        if (!token) {
            return fail(call, token.error().why, token.error().message, absl::InfiniteFuture());
        }
        call.binding = call_binding {token->agent, token->incarnation, token->deadline};
    }
    if (call.binding)
        return sendBound(call);
    std::set<process_id> tried;
    for (const auto &attempt : call.attempts)
        tried.insert(attempt.agent);
    const process_id agent = *m_routes.choose(tried);
    if (call.submission.repeatable || !m_mechanisms.bindRequests)
        sendAttempt(call, agent, m_routes.find(agent)->incarnation);
    else
        bind(call, agent);
}

void call_router::bind(pending_call &call, const process_id &agent)
{
    call.currentPhase = pending_call::phase::Binding;
    call.slotAgent = agent;
    m_routes.beginAttempt(agent);
    const call_binding proposed {agent, m_routes.find(agent)->incarnation,
                                 call.submission.deadline};
    m_hooks.bindRequest(call.submission.id, proposed,
                        [this, number = call.number,
                         alive = std::weak_ptr<bool>(m_alive)](result<call_binding> binding) {
                            if (!alive.expired())
                                onBound(number, std::move(binding));
                        });
}

void call_router::onBound(call_number number, result<call_binding> binding)
{
    pending_call *call = find(number);
    if (call == nullptr || call->currentPhase != pending_call::phase::Binding)
        return;
    if (binding && binding->agent == call->slotAgent) {
        call->binding = *binding;
        sendBound(*call);
    } else {
        releaseSlot(*call, attempt_sample::outcome::Cancelled);
        if (binding) {
            call->binding = *binding;
            sendBound(*call);
        } else {
            fail(*call, reason::LogUnavailable,
                 "the log does not answer; retry later, or use a token or a repeatable call",
                 refusalRetryAt());
        }
    }
    dispatch();
}

void call_router::sendBound(pending_call &call)
{
    const call_binding &binding = *call.binding;
    const endpoint *target = m_routes.find(binding.agent);
    call.submission.deadline = std::min(call.submission.deadline, binding.until);
    if (target == nullptr || target->incarnation != binding.incarnation) {
        // Another entry may have sent the call to that agent, so "not run" is not certain.
        releaseSlot(call, attempt_sample::outcome::Cancelled);
        return finish(call,
                      hyssoppond::fail(reason::AgentLost,
                                       "the agent of this call is lost; use a new request id",
                                       execution::Unknown));
    }
    sendAttempt(call, binding.agent, binding.incarnation);
}

void call_router::sendAttempt(pending_call &call, const process_id &agent,
                              incarnation_number incarnation)
{
    call.currentPhase = pending_call::phase::Sent;
    if (call.slotAgent != agent) {
        call.slotAgent = agent;
        m_routes.beginAttempt(agent);
    }
    call.attempts.push_back({m_nextAttempt++, agent, incarnation, m_env.now()});
    m_attempts[call.currentAttempt().number] = call.number;
    call.unanswered = 0;
    call.nextQueryAt = m_env.now() + m_settings.queryAfter;
    sendRequest(call);
}

void call_router::sendRequest(pending_call &call)
{
    const auto &current = call.currentAttempt();
    call_request request;
    request.attempt
        = {call.submission.id, m_settings.entry, m_settings.incarnation, current.number};
    request.agentIncarnation = current.incarnation;
    request.caller = call.submission.caller;
    request.level = call.submission.level;
    request.repeatable = call.submission.repeatable;
    request.deadline = call.submission.deadline;
    request.token = call.submission.token;
    request.payload = call.submission.payload;
    request.checksum = callChecksum(request.payload);
    ++m_requestsSent;
    schedule(call, std::min(call.nextQueryAt, fenceAt(call)));
    m_hooks.send(current.agent, request);
}

void call_router::drain()
{
    m_draining = true;
    if (m_mechanisms.drain)
        return;
    while (!m_calls.empty())
        fail(*m_calls.begin()->second, reason::Draining,
             "the entry is shutting down; retry at another entry", refusalRetryAt());
}

call_router::pending_call *call_router::find(call_number number)
{
    const auto it = m_calls.find(number);
    return it == m_calls.end() ? nullptr : it->second.get();
}

void call_router::releaseSlot(pending_call &call, attempt_sample::outcome outcome, bool waited)
{
    if (call.slotAgent.isEmpty())
        return;
    const process_id agent = std::exchange(call.slotAgent, {});
    attempt_sample sample {outcome, absl::ZeroDuration(), waited};
    if (!call.attempts.empty())
        sample.latency = m_env.now() - call.currentAttempt().sentAt;
    m_routes.endAttempt(agent, sample);
    if (outcome == attempt_sample::outcome::Succeeded || outcome == attempt_sample::outcome::Failed)
        m_queue.correct(call.flow(), sample.latency);
    else
        m_queue.refund(call.flow());
}

execution call_router::stateOf(const pending_call &call) const
{
    execution state = execution::NotRun;
    for (const auto &attempt : call.attempts) {
        if (attempt.state == pending_call::attempt_state::Failed)
            state = execution::Ran;
        if (attempt.state == pending_call::attempt_state::Open
            || attempt.state == pending_call::attempt_state::Lost)
            return m_mechanisms.certainNotRun ? execution::Unknown : execution::NotRun;
    }
    return state;
}

void call_router::fail(pending_call &call, reason why, std::string message, absl::Time retryAt)
{
    m_hooks.count(disposition::Refused, why);
    const execution state = stateOf(call);
    finish(call, hyssoppond::fail(why, std::move(message), state, retryAt));
}

void call_router::finish(pending_call &call, result<std::string> outcome)
{
    if (call.currentPhase == pending_call::phase::Queued)
        m_queue.remove(call.number, call.flow());
    releaseSlot(call, attempt_sample::outcome::Cancelled);
    for (const auto &attempt : call.attempts)
        m_attempts.erase(attempt.number);
    m_timers.erase({call.timer, call.number});
    const call_done done = std::move(call.done);
    m_calls.erase(call.number);
    done(std::move(outcome));
}

void call_router::reserve(const team_id &team, absl::Time deadline, call_done done)
{
    const auto agent = m_draining ? std::nullopt : m_routes.choose({});
    if (!agent) {
        m_hooks.count(disposition::Refused, reason::NoEndpoint);
        done(hyssoppond::fail(reason::NoEndpoint, "no endpoint has available capacity; retry later",
                              execution::NotRun, refusalRetryAt()));
        return;
    }
    const std::uint64_t number = m_nextAttempt++;
    const call_id id {team, request_id(absl::StrFormat("reserve-%d", number))};
    m_reservations[number] = std::make_unique<pending_reservation>(pending_reservation {
        id, *agent, std::min(deadline, m_env.now() + m_settings.queryAfter), std::move(done)});
    m_hooks.send(*agent,
                 call_reserve {{id, m_settings.entry, m_settings.incarnation, number}, deadline});
}

} // namespace hyssoppond
