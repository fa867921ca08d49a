/// @file Agent side of calls: admits each call to the runner at most once.
#pragma once

#include "hyssoppond/base/counters_base.h"
#include "hyssoppond/base/environment_type.h"
#include "hyssoppond/platform/runner_port.h"
#include "hyssoppond/routing/call_message_type.h"

#include <functional>
#include <memory>

namespace hyssoppond {

class call_dedup_table;
struct dedup_key;
struct dedup_record;

/// Limits of a call_executor.
struct executor_settings
{
    process_id agent;
    incarnation_number incarnation = 0;
    std::uint32_t slots = 8;        ///< calls that the runner runs at the same time
    std::uint32_t connections = 64; ///< limit of running and waiting calls together
    std::uint32_t maxWaiting = 4;   ///< calls; a short queue keeps slots busy during a round trip
    std::size_t maxRecords = 20000; ///< of the deduplication table
    std::size_t maxOutcomeBytes = std::size_t {64} << 20; ///< stored outcomes; 64 MiB
    absl::Duration retention = absl::Seconds(60);       ///< of a record, after the call's deadline
    absl::Duration maxCallDuration = absl::Minutes(30); ///< later deadlines are refused
    absl::Duration runnerGrace = absl::Seconds(2);      ///< for a running call, after its deadline
    absl::Duration leavingGrace
        = absl::Seconds(2); ///< for waiting calls to start after setLeaving()
    absl::Duration retryDelay = absl::Milliseconds(100); ///< retry time sent with refusals
};

/// Mechanisms that fault-injection runs switch off one at a time.
struct executor_mechanisms
{
    bool deduplication = true;
    bool incarnationCheck = true;
    bool leavingCheck = true;
    bool deadlineCheck = true;
    bool fences = true;        ///< includes the records of refused attempts
    bool finishRunning = true; ///< off: setLeaving() drops the running calls
};

/// Functions through which a call_executor acts on its surroundings.
struct executor_hooks
{
    std::function<void(const process_id &to, const call_message &callMessage)> send;
    std::function<void(disposition, reason)> count; ///< optional
    runner_port *runner = nullptr;
};

/// State machine of the calls of one agent. Not thread-safe; the calling code serialises access.
class call_executor
{
public:
    call_executor(executor_settings settings, environment env, executor_hooks hooks,
                  executor_mechanisms mechanisms = {});
    ~call_executor();
    call_executor(const call_executor &) = delete;
    call_executor &operator=(const call_executor &) = delete;

    /// Handles a message from an entry.
    void receive(const process_id &from, const call_message &callMessage);
    /// Expires calls and records, and starts waiting calls.
    void tick();
    /// Time at which tick() is next needed.
    absl::Time nextDeadline() const;

    /// Refuses new calls while set. Running calls are finished. Waiting calls may start within
    /// `leavingGrace`, because they were admitted before the agent began to leave.
    void setLeaving(bool leaving);
    /// Whether no call is running or waiting.
    bool isIdle() const;
    std::uint32_t busySlots() const { return m_busySlots; }
    std::size_t waitingCalls() const;
    std::size_t dedupRecords() const;

private:
    struct admitted_call;
    struct admitted_calls;

    void handle(const process_id &from, const call_request &request);
    void handle(const process_id &from, const call_fence &fenceMessage);
    void handle(const process_id &from, const call_query &query);
    void handle(const process_id &from, const call_reserve &reservation);
    template<class message>
    void handle(const process_id &, const message &)
    { }

    /// Answers a request whose call has a record; returns false if it has none.
    bool repeatOutcome(const dedup_key &key, const call_request &request);
    /// Reason for which the call is not admitted; None if it is admitted.
    reason admissionRefusal(const call_request &request) const;
    void admit(const dedup_key &key, const call_request &request);
    void start(const admitted_call &call);
    void startWaiting();
    void finish(const dedup_key &key, std::uint64_t run, result<std::string> answer);
    void refuse(const call_attempt &attempt, reason why, bool notRun, absl::Time deadline);
    /// Refuses a waiting call that does not start any more.
    void abandon(const dedup_key &key, dedup_record &record, reason why);
    void reply(const call_attempt &attempt, const dedup_record &record);
    /// Key of the call's record. Reduces `deadline` to that of the token. Error: InvalidArgument.
    result<dedup_key> keyOf(const call_attempt &attempt, bool repeatable, const std::string &token,
                            absl::Time *deadline) const;
    void expireRunning();
    void dropRunning();
    void refuseWaiting();

    executor_settings m_settings;
    environment m_env;
    executor_hooks m_hooks;
    executor_mechanisms m_mechanisms;
    std::uint64_t m_secret; ///< key of the hash in the tokens of this incarnation
    bool m_leaving = false;
    absl::Time m_leavingSince = absl::InfiniteFuture();
    std::uint32_t m_busySlots = 0;
    std::uint64_t m_runs = 0;
    std::unique_ptr<call_dedup_table> m_dedupTable;
    std::unique_ptr<admitted_calls> m_calls;
    std::shared_ptr<bool> m_alive; ///< lets completions of the runner after destruction be ignored
};

} // namespace hyssoppond
