/// @file Entry side of calls: admission, endpoint choice, retries and matching of answers.
#pragma once

#include "hyssoppond/base/counters_base.h"
#include "hyssoppond/routing/call_message_type.h"
#include "hyssoppond/routing/call_queue_base.h"
#include "hyssoppond/routing/retry_budget_type.h"
#include "hyssoppond/routing/route_table_base.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace hyssoppond {

/// A call as its caller submits it.
struct call_submission
{
    call_id id;
    caller_id caller;
    urgency level = urgency::Normal;
    bool repeatable = false;
    std::string token; ///< of a call that is not repeatable; empty: the id is bound in the journal
    absl::Time deadline;
    std::string payload;
};

/// Agent incarnation that a request id is bound to.
struct call_binding
{
    process_id agent;
    incarnation_number incarnation = 0;
    /// Deadline of the request that was bound first. No request with the same id runs after this
    /// time, because the agent drops the stored outcome some time after it.
    absl::Time until = absl::InfiniteFuture();
};

/// Settings of a call_router.
struct router_settings
{
    process_id entry;
    incarnation_number incarnation = 0;
    route_settings routes;
    queue_settings queues;
    absl::Duration maxCallDuration = absl::Minutes(30); ///< later deadlines are shortened to this
    /// Time from sending an attempt to the first query about it.
    absl::Duration queryAfter = absl::Milliseconds(500);
    absl::Duration queryInterval = absl::Milliseconds(250); ///< between further queries
    std::uint32_t maxUnansweredQueries = 2; ///< number after which an attempt counts as lost
    /// Time before the deadline at which a fence is sent; at most a third of the time from sending
    /// the attempt to the deadline.
    absl::Duration fenceMargin = absl::Seconds(1);
    retry_settings retries;
    std::uint32_t maxFailures = 3; ///< failed attempts after which a repeatable call fails
    absl::Duration firstBackoff = absl::Milliseconds(20);
    absl::Duration longestBackoff = absl::Seconds(1);
    /// Number of backoffs that ended with the retry budget empty after which a call that certainly
    /// did not run is refused.
    std::uint32_t maxBackoffsWithoutBudget = 4;
    absl::Duration refusalDelay = absl::Milliseconds(500); ///< retry time sent with refusals
};

/// Mechanisms that fault-injection runs switch off one at a time.
struct router_mechanisms
{
    bool verifyAnswers = true;
    bool bindRequests = true;
    bool certainNotRun = true; ///< off: an attempt without an answer counts as not run
    bool drain = true;         ///< off: drain() drops the calls in flight
};

/// Functions through which a call_router acts on its surroundings.
struct router_hooks
{
    std::function<void(const process_id &to, const call_message &callMessage)> send;
    /// Binds a request id to `proposed` unless it is bound already; completes with the binding
    /// that was made first. An error means that it is not known which binding holds.
    std::function<void(const call_id &id, const call_binding &proposed,
                       std::function<void(result<call_binding>)> done)>
        bindRequest;
    std::function<void(disposition, reason)> count; ///< optional
};

using call_done = std::function<void(result<std::string>)>;

/// State machine of the calls of one entry. Not thread-safe; the calling code serialises access.
/// `done` and the hooks may be called from within any member function.
class call_router
{
public:
    call_router(router_settings settings, environment env, router_hooks hooks,
                router_mechanisms mechanisms = {});
    ~call_router();
    call_router(const call_router &) = delete;
    call_router &operator=(const call_router &) = delete;

    /// Adds or replaces an endpoint, as membership reports it.
    void setEndpoint(const endpoint &target, bool leaving);
    /// Removes a lost endpoint: its calls are retried elsewhere or reported as unknown.
    void removeEndpoint(const process_id &agent);
    /// Sets weight and queue bound of a team.
    void setTeam(const team_id &team, double weight, std::uint32_t maxQueued);

    /// Takes a call; `done` is called once, at the latest when tick() runs after the deadline.
    void submit(call_submission submission, call_done done);
    /// Obtains a token for one call that is not repeatable; `done` is called once.
    void reserve(const team_id &team, absl::Time deadline, call_done done);
    /// Handles a message from an agent.
    void receive(const process_id &from, const call_message &callMessage);
    /// Handles the timers that are due.
    void tick();
    /// Time at which tick() is next needed.
    absl::Time nextDeadline() const;

    /// Refuses new calls from now on; the calls in flight are finished.
    void drain();
    bool isDrained() const { return m_draining && m_calls.empty() && m_reservations.empty(); }

    std::size_t queuedCalls() const { return m_queue.size(); }
    std::size_t pendingCalls() const { return m_calls.size(); }
    std::uint64_t requestsSent() const { return m_requestsSent; }
    const route_table &routes() const { return m_routes; }

private:
    struct pending_call;
    struct pending_reservation;
    using call_number = std::uint64_t;

    // Dispatch.
    /// Reason for which the call is refused; None if it is accepted.
    reason submissionRefusal(const call_submission &submission) const;
    void enqueue(pending_call &call);
    void dispatch();
    void dispatchOne(pending_call &call);
    void bind(pending_call &call, const process_id &agent);
    void onBound(call_number number, result<call_binding> binding);
    void sendBound(pending_call &call);
    void sendAttempt(pending_call &call, const process_id &agent, incarnation_number incarnation);
    void sendRequest(pending_call &call);
    // Answers.
    void handle(const process_id &from, const call_response &response);
    void handle(const process_id &from, const call_refused &refusal);
    void handle(const process_id &from, const call_fenced &answer);
    void handle(const process_id &from, const call_reserved &reserved);
    template<class message>
    void handle(const process_id &, const message &)
    { }
    /// Call that the answer belongs to, or null if it is late or belongs to another attempt.
    pending_call *match(const process_id &from, const call_attempt &attempt,
                        incarnation_number agentIncarnation);
    /// Whether length and checksum fit the payload; counts the answer as dropped if not.
    bool isIntact(const call_response &response) const;
    void onRunnerFailure(pending_call &call, const call_response &response);
    void onRefusalOfBound(pending_call &call, const call_refused &refusal);
    // Timers.
    void onTimer(pending_call &call);
    void onSentTimer(pending_call &call);
    void onSilence(pending_call &call);
    /// Time at which a fence is sent for a call that is not repeatable.
    absl::Time fenceAt(const pending_call &call) const;
    void schedule(pending_call &call, absl::Time when);
    void retryLater(pending_call &call, reason why);
    void onBackoffEnd(pending_call &call);
    // Completion.
    void onAgentLost(const process_id &agent);
    void releaseSlot(pending_call &call, attempt_sample::outcome outcome, bool waited = false);
    /// Whether the call ran, as far as its attempts show.
    execution stateOf(const pending_call &call) const;
    void fail(pending_call &call, reason why, std::string message, absl::Time retryAt);
    void finish(pending_call &call, result<std::string> outcome);
    absl::Time refusalRetryAt() const { return m_env.now() + m_settings.refusalDelay; }
    pending_call *find(call_number number);

    router_settings m_settings;
    environment m_env;
    router_hooks m_hooks;
    router_mechanisms m_mechanisms;
    route_table m_routes;
    call_queue m_queue;
    retry_budget m_budget;
    bool m_draining = false;
    bool m_dispatching = false;
    call_number m_nextCall = 1;
    std::uint64_t m_nextAttempt = 1;
    std::uint64_t m_requestsSent = 0;
    std::map<call_number, std::unique_ptr<pending_call>> m_calls;
    std::map<std::uint64_t, call_number> m_attempts; ///< attempt number to call
    std::map<std::uint64_t, std::unique_ptr<pending_reservation>>
        m_reservations; ///< by attempt number
    std::set<std::pair<absl::Time, call_number>> m_timers;
    std::shared_ptr<bool> m_alive; ///< lets bindings that complete after destruction be ignored
};

} // namespace hyssoppond
