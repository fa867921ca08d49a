/// @file Coordinator of the gang protocol, which runs in the entry: starts, monitors and ends
/// attempts.
#pragma once

#include "hyssoppond/base/environment_type.h"
#include "hyssoppond/gang/gang_message_type.h"
#include "hyssoppond/gang/gang_options_type.h"

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace hyssoppond {

/// One attempt of a job as placed through the journal or, while the journal is unavailable, by the
/// holder of the outage lease.
struct gang_placement
{
    job_spec spec;
    attempt_number attempt = 0;
    epoch_number placementEpoch = 0; ///< epoch of the placement
    epoch_number epoch = 0; ///< epoch of this coordinator's grant; at least `placementEpoch`
    std::vector<gang_peer> members; ///< an incarnation of 0 matches any agent incarnation
};

/// A member that refused its reservation or could not start its task.
struct gang_refusal
{
    job_id job;
    attempt_number attempt = 0;
    worker_id worker;
    reason why = reason::None;
};

/// Callbacks of a gang_coordinator. `send` is required; the others may be empty.
struct gang_coordinator_hooks
{
    std::function<void(const process_id &to, const gang_message &)> send;
    std::function<void(const job_id &, attempt_number)> onStarted; ///< called when all members run
    /// Called once per attempt, when every member is fenced. `runSeconds` is the run time of the
    /// member that ran longest.
    std::function<void(const job_id &, attempt_number, attempt_outcome, double runSeconds)> onEnded;
    /// Called when a member refused its reservation or could not start its task.
    std::function<void(const gang_refusal &)> onRefused;
    /// Called when all members have applied a suspension (`percent` is 0) or a resumption (100).
    std::function<void(const job_id &, attempt_number, std::uint32_t percent)> onThrottled;
    std::function<void(reason)>
        onDropped; ///< called with the reason when a received message is dropped
    /// Called when an agent reports an epoch higher than that of this coordinator, so another
    /// decider has taken over. The attempt is forgotten here without a call of onEnded.
    std::function<void(const job_id &, attempt_number, epoch_number)> onSuperseded;
    /// Called for an attempt that discover() found on an agent and that is not coordinated here.
    std::function<void(const gang_placement &)> onDiscovered;
};

/// Coordinates all gangs that one decider has placed.
class gang_coordinator
{
public:
    gang_coordinator(process_id self, gang_options options, environment env,
                     gang_coordinator_hooks hooks);
    ~gang_coordinator();
    gang_coordinator(const gang_coordinator &) = delete;
    gang_coordinator &operator=(const gang_coordinator &) = delete;

    /// Reserves all members of a new attempt and then starts them. Errors: InvalidArgument,
    /// WrongState (the attempt is already coordinated here, or ended recently).
    result<void> start(const gang_placement &placement);
    /// Takes over an attempt that another coordinator placed and may have started. Errors: as for
    /// start().
    result<void> takeOver(const gang_placement &placement);
    /// Begins to end an attempt; onEnded is called when all members are fenced. A running attempt
    /// that is preempted may write a checkpoint first. Errors: UnknownJob.
    result<void> stop(const job_id &job, attempt_number number, stop_cause cause);
    /// Reduces the processor time of all tasks of a running attempt to 0; onThrottled is called
    /// when all members have applied it. Errors: UnknownJob, WrongState (not running).
    result<void> suspend(const job_id &job, attempt_number number);
    /// Reverses suspend(). Errors and completion as for suspend().
    result<void> resume(const job_id &job, attempt_number number);
    /// Queries agents for their attempts, so that a decider can find the running attempts without
    /// the journal. onDiscovered is called for each answer about an attempt that may run.
    void discover(const std::vector<process_id> &agents, epoch_number epoch);
    /// Forgets all attempts without stopping them or calling a hook. Used when this process is no
    /// longer the decider.
    void resign();

    /// Handles a message of a member agent.
    void receive(const process_id &from, const gang_message &message);
    /// Sends what is due and ends attempts whose deadline has passed.
    void tick();
    /// Time at which tick() must be called next; InfiniteFuture without attempts.
    absl::Time nextDeadline() const;
    /// Number of attempts that have not ended.
    std::size_t active() const { return m_attempts.size(); }

private:
    struct attempt_state;
    using attempt_key = std::pair<job_id, attempt_number>;

    result<attempt_state *> add(const gang_placement &placement);
    attempt_state *find(const gang_header &header);
    result<void> throttle(const job_id &job, attempt_number number, std::uint32_t percent);
    void onReserved(attempt_state &attemptState, const gang_header &header);
    void onStopped(attempt_state &attemptState, const gang_stopped &message);
    void onState(attempt_state &attemptState, const gang_state &message) const;
    void onUnknownAttempt(const process_id &from, const gang_header &header,
                          const gang_message &message);
    void onKeepalive(const process_id &from, attempt_state &attemptState,
                     const gang_keepalive &message);
    void advance(attempt_state &attemptState);
    void advanceQuery(attempt_state &attemptState);
    void beginStop(attempt_state &attemptState, attempt_outcome outcome);
    void onMemberRefused(attempt_state &attemptState, std::uint16_t index, reason why);
    bool everyMemberFenced(const attempt_state &attemptState) const;
    void finish(attempt_state &attemptState);
    void transmit(attempt_state &attemptState);
    void transmitTo(attempt_state &attemptState, std::uint16_t index);
    void tickAttempt(attempt_state &attemptState, absl::Time now);
    gang_header headerFor(const attempt_state &attemptState, std::uint16_t to) const;
    void sendTo(const attempt_state &attemptState, std::uint16_t index,
                const gang_message &message) const;
    void drop(reason why) const;
    void detectPause();

    process_id m_self;
    epoch_number m_discoveryEpoch = 0; ///< epoch given to the last discover()
    gang_options m_options;
    environment m_env;
    gang_coordinator_hooks m_hooks;
    std::map<attempt_key, std::unique_ptr<attempt_state>> m_attempts;
    absl::Time m_lastTick = absl::InfinitePast();
    /// When the last pause of this process was noticed.
    absl::Time m_pauseEndedAt = absl::InfinitePast();
    /// Ended attempts, with the time until which a late gang_stopped is still confirmed.
    std::map<attempt_key, absl::Time> m_endedAttempts;
};

} // namespace hyssoppond
