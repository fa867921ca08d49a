/// @file Agent side of calls: admits each call into a slot of the runner at most once.
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
    std::uint32_t slots = 8;
    std::uint32_t connections = 64; ///< calls running or waiting
    std::uint32_t maxWaiting = 4;   ///< a short queue keeps slots busy during a round trip
    std::size_t maxRecords = 20000;
    std::size_t maxOutcomeBytes = std::size_t {64} << 20;
    absl::Duration retention = absl::Seconds(60);       ///< of a record after the call's deadline
    absl::Duration maxCallDuration = absl::Minutes(30); ///< refuses later deadlines
    absl::Duration runnerGrace = absl::Seconds(2);      ///< after the deadline of a running call
    absl::Duration leavingGrace = absl::Seconds(2);     ///< waiting calls may start after departure
    absl::Duration retryDelay = absl::Milliseconds(100); ///< told with refusals
};

/// Mechanisms that fault cells switch off one by one.
struct executor_mechanisms
{
    bool deduplication = true;
    bool incarnationCheck = true;
    bool leavingCheck = true;
    bool deadlineCheck = true;
    bool fences = true;        ///< includes the memory of refused attempts
    bool finishRunning = true; ///< off: a departure drops the running calls
};

/// Effects of a call_executor.
struct executor_hooks
{
    std::function<void(const process_id &to, const call_message &what)> send;
    std::function<void(disposition, reason)> count; ///< optional
    runner_port *runner = nullptr;
};

/// State machine of one agent's calls. Not thread-safe; the calling code serialises access.
class call_executor
{
public:
    call_executor(executor_settings settings, environment env, executor_hooks hooks,
                  executor_mechanisms mechanisms = {});
    ~call_executor();
    call_executor(const call_executor &) = delete;
    call_executor &operator=(const call_executor &) = delete;

    void receive(const process_id &from, const call_message &what);
    void tick();
    absl::Time nextDeadline() const;

    /// Refuses new calls while set. Running calls are finished; waiting ones may start within
    /// `leavingGrace`, because they were admitted before.
    void setLeaving(bool leaving);
    /// Whether no call is running or waiting.
    bool isIdle() const;
    std::uint32_t busySlots() const { return m_busy; }
    std::size_t waitingCalls() const;
    std::size_t dedupRecords() const;

private:
    struct admitted_call;
    struct admitted_calls;

    void handle(const process_id &from, const call_request &what);
    void handle(const process_id &from, const call_fence &what);
    void handle(const process_id &from, const call_query &what);
    void handle(const process_id &from, const call_reserve &what);
    template<class message>
    void handle(const process_id &, const message &)
    { }

    bool repeatOutcome(const dedup_key &key, const call_request &what);
    reason admissionFault(const call_request &what) const;
    void admit(const dedup_key &key, const call_request &what);
    void start(const admitted_call &call);
    void startWaiting();
    void finish(const dedup_key &key, std::uint64_t run, result<std::string> answer);
    void refuse(const call_attempt &attempt, reason why, bool notRun, absl::Time deadline);
    void abandon(const dedup_key &key, dedup_record &record, reason why);
    void reply(const call_attempt &attempt, const dedup_record &record);
    result<dedup_key> keyOf(const call_attempt &attempt, bool repeatable, const std::string &token,
                            absl::Time *deadline) const;
    void expireRunning();
    void dropRunning();
    void refuseWaiting();

    executor_settings m_settings;
    environment m_env;
    executor_hooks m_hooks;
    executor_mechanisms m_mechanisms;
    std::uint64_t m_secret; ///< keys the tokens of this incarnation
    bool m_leaving = false;
    absl::Time m_leavingAt = absl::InfiniteFuture();
    std::uint32_t m_busy = 0;
    std::uint64_t m_runs = 0;
    std::unique_ptr<call_dedup_table> m_dedupTable;
    std::unique_ptr<admitted_calls> m_calls;
    std::shared_ptr<bool> m_alive; ///< completions of the runner may come after destruction
};

} // namespace hyssoppond
