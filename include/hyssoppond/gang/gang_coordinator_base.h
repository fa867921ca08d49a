/// @file The entry's side of the gang protocol: starts, watches and ends attempts.
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

/// One attempt of a job as the journal (or the holder of the outage right) placed it.
struct gang_placement
{
    job_spec spec;
    attempt_number attempt = 0;
    epoch_number placed = 0;        ///< epoch of the placement
    epoch_number epoch = 0;         ///< of the grant of this coordinator; at least `placed`
    std::vector<gang_peer> members; ///< an incarnation of 0 accepts any
};

/// A member that refused its reservation or could not start its task.
struct gang_refusal
{
    job_id job;
    attempt_number attempt = 0;
    worker_id worker;
    reason why = reason::None;
};

/// Effects of a gang_coordinator. Only `send` may not be empty.
struct gang_coordinator_hooks
{
    std::function<void(const process_id &to, const gang_message &)> send;
    std::function<void(const job_id &, attempt_number)> onStarted; ///< all members run
    /// Called once, when every member is fenced. Seconds are the longest run of a member.
    std::function<void(const job_id &, attempt_number, attempt_outcome, double runSeconds)> onEnded;
    std::function<void(const gang_refusal &)> onRefused;
    /// All members have applied a suspension (0) or resumption (100).
    std::function<void(const job_id &, attempt_number, std::uint32_t percent)> onThrottled;
    std::function<void(reason)> onDropped;
    /// An agent knows a higher epoch: the attempt is forgotten here without onEnded.
    std::function<void(const job_id &, attempt_number, epoch_number)> onSuperseded;
    /// An attempt that discover() found on an agent and that is not coordinated here.
    std::function<void(const gang_placement &)> onDiscovered;
};

/// Coordinator of all gangs that one decider has placed.
class gang_coordinator
{
public:
    gang_coordinator(process_id self, gang_options options, environment env,
                     gang_coordinator_hooks hooks);
    ~gang_coordinator();
    gang_coordinator(const gang_coordinator &) = delete;
    gang_coordinator &operator=(const gang_coordinator &) = delete;

    /// Reserves and starts a new attempt. Errors: InvalidArgument, WrongState (already known).
    result<void> start(const gang_placement &placement);
    /// Takes over an attempt that another coordinator placed and may have started.
    result<void> takeOver(const gang_placement &placement);
    /// Ends an attempt; onEnded follows. Errors: UnknownJob.
    result<void> stop(const job_id &job, attempt_number attempt, stop_cause why);
    /// Errors: UnknownJob, WrongState (not running).
    result<void> suspend(const job_id &job, attempt_number attempt);
    result<void> resume(const job_id &job, attempt_number attempt);
    /// Asks agents for their attempts, so that a decider can rebuild what runs without the journal.
    void discover(const std::vector<process_id> &agents, epoch_number epoch);
    /// Forgets all attempts without an effect, when this process is no longer the decider.
    void resign();

    void receive(const process_id &from, const gang_message &what);
    void tick();
    absl::Time nextDeadline() const;
    /// Attempts that have not ended.
    std::size_t active() const { return m_attempts.size(); }

private:
    struct attempt;
    using key = std::pair<job_id, attempt_number>;

    result<attempt *> add(const gang_placement &placement);
    attempt *find(const gang_header &header);
    result<void> throttle(const job_id &job, attempt_number number, std::uint32_t percent);
    void onReserved(attempt &a, const gang_header &header);
    void onStopped(attempt &a, const gang_stopped &m);
    void onState(attempt &a, const gang_state &m) const;
    void onUnknown(const process_id &from, const gang_header &header, const gang_message &what);
    void onKeepalive(const process_id &from, attempt &a, const gang_keepalive &m);
    void advance(attempt &a);
    void advanceQuery(attempt &a);
    void beginStop(attempt &a, attempt_outcome outcome);
    void refused(attempt &a, std::uint16_t member, reason why);
    bool everyMemberFenced(const attempt &a) const;
    void finish(attempt &a);
    void transmit(attempt &a);
    void transmitTo(attempt &a, std::uint16_t member);
    void tickAttempt(attempt &a, absl::Time now);
    gang_header headerFor(const attempt &a, std::uint16_t to) const;
    void sendTo(const attempt &a, std::uint16_t member, const gang_message &what) const;
    void drop(reason why) const;
    void noticePause();

    process_id m_self;
    epoch_number m_epoch = 0; ///< of the last discover()
    gang_options m_options;
    environment m_env;
    gang_coordinator_hooks m_hooks;
    std::map<key, std::unique_ptr<attempt>> m_attempts;
    absl::Time m_lastTick = absl::InfinitePast();
    absl::Time m_resumedAt = absl::InfinitePast(); ///< end of the last pause of this process
    std::map<key, absl::Time> m_ended;             ///< until when a late gang_stopped is confirmed
};

} // namespace hyssoppond
