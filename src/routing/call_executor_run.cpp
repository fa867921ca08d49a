/// @file Agent side of calls: running admitted calls in the slots of the runner.
#include "call_executor_state_type.h"

#include <utility>

namespace hyssoppond {

void call_executor::admit(const dedup_key &key, const call_request &request)
{
    dedup_record record;
    record.keepUntil = request.deadline + m_settings.retention;
    record.checksum = request.checksum;
    record.waiters = {request.attempt};
    m_dedupTable->insert(key, std::move(record));
    admitted_call call {key,
                        request.caller,
                        m_busySlots >= m_settings.slots,
                        {request.attempt.id.request, request.payload, request.deadline}};
    if (call.waited)
        m_calls->waiting.push_back(std::move(call));
    else
        start(call);
}

void call_executor::start(const admitted_call &call)
{
    dedup_record *record = m_dedupTable->find(call.key);
    if (record == nullptr || record->state != dedup_state::Waiting)
        return;
    if (call.runnerCall.deadline <= m_env.now() && m_mechanisms.deadlineCheck)
        return abandon(call.key, *record, reason::Expired);
    record->state = dedup_state::Running;
    ++m_busySlots;
    const std::uint64_t run = ++m_runs;
    m_calls->running[call.key]
        = {run, call.waited, call.runnerCall.deadline + m_settings.runnerGrace};
    m_hooks.runner->call(call.runnerCall,
                         [this, key = call.key, run,
                          alive = std::weak_ptr<bool>(m_alive)](result<std::string> answer) {
                             if (!alive.expired())
                                 finish(key, run, std::move(answer));
                         });
}

void call_executor::startWaiting()
{
    while (m_busySlots < m_settings.slots && !m_calls->waiting.empty()) {
        refuseWaiting(); // no call starts after its deadline or after the leaving grace
        if (m_calls->waiting.empty())
            return;
        const admitted_call call = std::move(m_calls->waiting.front());
        m_calls->waiting.pop_front();
        start(call);
    }
}

void call_executor::finish(const dedup_key &key, std::uint64_t run, result<std::string> answer)
{
    const auto it = m_calls->running.find(key);
    if (it == m_calls->running.end() || it->second.run != run)
        return m_hooks.count(disposition::Dropped, reason::LateAnswer);
    const bool waited = it->second.waited;
    m_calls->running.erase(it);
    --m_busySlots;
    dedup_record *record = m_dedupTable->find(key);
    const std::vector<call_attempt> waiters = record->waiters;
    if (!answer && answer.error().state == execution::NotRun) {
        // The call did not run. Another attempt may still run it, but a delayed copy of these
        // attempts may not.
        const absl::Time deadline = record->keepUntil - m_settings.retention;
        m_dedupTable->erase(key);
        for (const call_attempt &attempt : waiters)
            refuse(attempt, answer.error().why, true, deadline);
    } else {
        call_response response;
        response.agentIncarnation = m_settings.incarnation;
        response.succeeded = answer.has_value();
        response.waited = waited;
        response.state = answer ? execution::Ran : answer.error().state;
        response.payload = answer ? *std::move(answer) : answer.error().message;
        response.length = response.payload.size();
        response.checksum = callChecksum(response.payload);
        m_dedupTable->storeOutcome(*record, std::move(response));
        for (const call_attempt &attempt : waiters)
            reply(attempt, *record);
    }
    startWaiting();
}

void call_executor::abandon(const dedup_key &key, dedup_record &record, reason why)
{
    const std::vector<call_attempt> waiters = std::exchange(record.waiters, {});
    const absl::Time deadline = record.keepUntil - m_settings.retention;
    std::erase_if(m_calls->waiting, [&](const admitted_call &call) { return call.key == key; });
    if (why == reason::Leaving)
        m_dedupTable->erase(key);
    else
        record.state = dedup_state::Fenced;
    for (const call_attempt &attempt : waiters)
        refuse(attempt, why, true, deadline);
}

void call_executor::setLeaving(bool leaving)
{
    if (leaving && !m_leaving)
        m_leavingSince = m_env.now();
    m_leaving = leaving;
    if (leaving && !m_mechanisms.finishRunning)
        dropRunning();
}

void call_executor::dropRunning()
{
    const auto running = m_calls->running;
    for (const auto &[key, call] : running) {
        finish(key, call.run,
               fail(reason::Leaving,
                    "the agent stopped before the call ended; check whether the call took effect "
                    "before retrying",
                    execution::Unknown));
    }
}

void call_executor::refuseWaiting()
{
    const absl::Time now = m_env.now();
    const bool graceOver
        = m_leaving && m_mechanisms.leavingCheck && now >= m_leavingSince + m_settings.leavingGrace;
    std::vector<std::pair<dedup_key, reason>> refused;
    for (const admitted_call &call : m_calls->waiting) {
        if (call.runnerCall.deadline <= now && m_mechanisms.deadlineCheck)
            refused.emplace_back(call.key, reason::Expired);
        else if (graceOver)
            refused.emplace_back(call.key, reason::Leaving);
    }
    for (const auto &[key, why] : refused)
        abandon(key, *m_dedupTable->find(key), why);
}

void call_executor::expireRunning()
{
    const absl::Time now = m_env.now();
    std::vector<std::pair<dedup_key, std::uint64_t>> expired;
    for (const auto &[key, call] : m_calls->running) {
        if (call.timeoutAt <= now)
            expired.emplace_back(key, call.run);
    }
    for (const auto &[key, run] : expired) {
        finish(key, run,
               fail(reason::RunnerUnreachable,
                    "the runner did not answer before the deadline; check the runner",
                    execution::Unknown));
    }
}

void call_executor::tick()
{
    expireRunning();
    refuseWaiting();
    startWaiting();
    m_dedupTable->expire(m_env.now());
}

absl::Time call_executor::nextDeadline() const
{
    absl::Time next = m_dedupTable->nextExpiry();
    for (const auto &[key, call] : m_calls->running)
        next = std::min(next, call.timeoutAt);
    for (const admitted_call &call : m_calls->waiting)
        next = std::min(next, call.runnerCall.deadline);
    if (m_leaving && !m_calls->waiting.empty())
        next = std::min(next, m_leavingSince + m_settings.leavingGrace);
    return next;
}

} // namespace hyssoppond
