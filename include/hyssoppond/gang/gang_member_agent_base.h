/// @file Member agent of the gang protocol: the reservations and tasks of one worker.
#pragma once

#include "hyssoppond/base/environment_type.h"
#include "hyssoppond/gang/gang_message_type.h"
#include "hyssoppond/gang/gang_options_type.h"
#include "hyssoppond/platform/worker_port.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace hyssoppond {

/// State of one member, as reported to the other parts of the agent.
struct member_report
{
    task_id id;
    gang_member_state state = gang_member_state::Fenced;
    accelerator_mask accelerators = 0;
    reason why = reason::None; ///< why the state is Ended or Fenced; None if the task completed
};

/// Callbacks of a gang_member_agent.
struct gang_agent_hooks
{
    std::function<void(const process_id &to, const gang_message &)> send;
    /// Called after each state change; may be empty.
    std::function<void(const member_report &)> onMemberState;
    std::function<void(reason)> onDropped; ///< when a received message is dropped; may be empty
};

/// Runs the members of all gangs on one worker. Completions of the worker must be delivered on the
/// thread that calls receive() and tick(), or under the same lock.
class gang_member_agent
{
public:
    /// `worker` must outlive the agent. `incarnation` is not 0.
    gang_member_agent(process_id self, incarnation_number incarnation,
                      accelerator_mask accelerators, worker_port *worker, gang_options options,
                      environment env, gang_agent_hooks hooks);
    ~gang_member_agent();
    gang_member_agent(const gang_member_agent &) = delete;
    gang_member_agent &operator=(const gang_member_agent &) = delete;

    /// Handles a message of a coordinator or of another member.
    void receive(const process_id &from, const gang_message &message);
    /// Sends and checks all that is due. The first call requests the worker's task list; until it
    /// has arrived, reservations are refused.
    void tick();
    /// Time at which tick() must be called next.
    absl::Time nextDeadline() const;

    /// While `leaving` is true, new reservations are refused; running gangs continue.
    void setLeaving(bool leaving) { m_leaving = leaving; }
    /// Members whose accelerators are not free yet.
    std::vector<member_report> members() const;
    /// Accelerators that no member holds.
    accelerator_mask freeAccelerators() const;
    /// Highest epoch received from a coordinator.
    epoch_number highestEpoch() const { return m_highestEpoch; }
    /// Number of members that are remembered, including ended ones.
    std::size_t records() const { return m_records.size(); }

private:
    struct member_record;

    void handle(const process_id &from, const gang_message &message);
    void onReserve(const process_id &from, const gang_reserve &message);
    void onStart(const process_id &from, const gang_start &message);
    void onRenew(const process_id &from, const gang_renew &message);
    void onKeepalive(const gang_keepalive &message);
    void onStop(const process_id &from, const gang_stop &message);
    void onQuery(const process_id &from, const gang_query &message);
    void onState(const gang_state &message);
    void onThrottle(const process_id &from, const gang_throttle &message);

    reason checkReservation(const gang_reserve &message) const;
    bool epochIsStale(const gang_header &header);
    void refuseEpoch(const process_id &to, const gang_header &header);
    bool holdsAccelerators(const member_record &record) const;
    member_record *find(const gang_header &header);
    member_record &addFencedRecord(const gang_header &header, absl::Time startBefore, reason why);

    void beginSettling(member_record &record);
    void settle(member_record &record);
    void startTask(member_record &record);
    void onTaskStatus(const task_id &id, const result<task_status> &status, absl::Time requestedAt);
    void onTaskEnded(member_record &record, const task_status &status);
    void stopTask(member_record &record);
    void confirmStopped(member_record &record);
    void checkpoint(member_record &record, absl::Time until);
    gang_state stateOf(const member_record &record, std::uint16_t to, bool wantPlan) const;
    void finish(member_record &record, gang_member_state state, reason why);
    void tickRecord(member_record &record, absl::Time now);
    void poll();
    void onTaskList(const std::vector<task_status> &list, absl::Time requestedAt);
    void applyStatus(member_record &record, const task_status *status, absl::Time requestedAt);

    void reportAlive(member_record &record, bool repeat);
    void applyRenew(member_record &record, absl::Time leaseUntil, absl::Time contactAt);
    void sendRenew(member_record &record, std::uint16_t child);
    bool leaseCoversReport(const member_record &record) const;

    gang_header headerFor(const member_record &record, std::uint16_t to) const;
    void sendToMember(const member_record &record, std::uint16_t index,
                      const gang_message &message);
    void sendToCoordinator(const member_record &record, const gang_message &message);
    void sendStopped(const member_record &record);
    void deliver(const process_id &to, const gang_message &message);
    void deliverLoopback();
    void drop(reason why) const;
    void notifyMemberState(const member_record &record) const;

    process_id m_self;
    incarnation_number m_incarnation;
    accelerator_mask m_accelerators;
    worker_port *m_worker;
    gang_options m_options;
    environment m_env;
    gang_agent_hooks m_hooks;
    std::map<task_id, std::unique_ptr<member_record>> m_records;
    /// Messages between members of this agent, not yet handled.
    std::deque<gang_message> m_loopback;
    epoch_number m_highestEpoch = 0;
    bool m_leaving = false;
    bool m_deliveringLoopback = false; ///< prevents recursion of deliverLoopback()
    bool m_taskListRead = false; ///< the task list has arrived since the start or the last pause
    absl::Time m_startedAt;
    absl::Time m_lastTick = absl::InfinitePast();
    absl::Time m_nextPoll = absl::InfinitePast();
    std::shared_ptr<bool> m_alive; ///< false after destruction, for completions that arrive later
};

} // namespace hyssoppond
