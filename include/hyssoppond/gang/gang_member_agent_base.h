/// @file The agent's side of the gang protocol: one worker, its reservations and its tasks.
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

/// One member as reported to the rest of the agent.
struct member_report
{
    task_id id;
    gang_member_state state = gang_member_state::Fenced;
    accelerator_mask accelerators = 0;
    reason why = reason::None; ///< of Ended and Fenced
};

/// Effects of a gang_member_agent.
struct gang_agent_hooks
{
    std::function<void(const process_id &to, const gang_message &)> send;
    std::function<void(const member_report &)> onMemberState; ///< may be empty
    std::function<void(reason)> onDropped;                    ///< may be empty
};

/// Member agent of all gangs on one worker. Completions of the worker must be delivered on the
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

    void receive(const process_id &from, const gang_message &what);
    /// Performs all that is due. The first call reads the worker's task list.
    void tick();
    absl::Time nextDeadline() const;

    /// Refuses reservations from now on; running gangs continue.
    void setLeaving(bool leaving) { m_leaving = leaving; }
    /// Members that hold accelerators.
    std::vector<member_report> members() const;
    /// Accelerators that no member holds.
    accelerator_mask freeAccelerators() const;
    epoch_number highestEpoch() const { return m_epoch; }
    std::size_t records() const { return m_records.size(); }

private:
    struct record;

    void handle(const process_id &from, const gang_message &what);
    void onReserve(const process_id &from, const gang_reserve &m);
    void onStart(const process_id &from, const gang_start &m);
    void onRenew(const process_id &from, const gang_renew &m);
    void onKeepalive(const gang_keepalive &m);
    void onStop(const process_id &from, const gang_stop &m);
    void onQuery(const process_id &from, const gang_query &m);
    void onState(const gang_state &m);
    void onThrottle(const process_id &from, const gang_throttle &m);

    reason refusalOf(const gang_reserve &m) const;
    bool epochIsStale(const gang_header &header);
    void refuseEpoch(const process_id &to, const gang_header &header);
    bool isHeld(const record &r) const;
    record *find(const gang_header &header);
    record &fencedRecord(const gang_header &header, absl::Time startBefore, reason why);

    void beginSettling(record &r);
    void settle(record &r);
    void startTask(record &r);
    void onTaskStatus(const task_id &id, const result<task_status> &status, absl::Time asked);
    void onTaskEnded(record &r, const task_status &status);
    void stopTask(record &r);
    void confirmStopped(record &r);
    void checkpoint(record &r, absl::Time until);
    gang_state stateOf(const record &r, std::uint16_t to, bool wantPlan) const;
    void finish(record &r, gang_member_state state, reason why);
    void tickRecord(record &r, absl::Time now);
    void poll();
    void onList(const std::vector<task_status> &list, absl::Time asked);
    void applyStatus(record &r, const task_status *status, absl::Time asked);

    void reportAlive(record &r, bool repeat);
    void applyRenew(record &r, absl::Time leaseUntil, absl::Time contactAt);
    void sendRenew(record &r, std::uint16_t child);
    bool isFresh(const record &r) const;

    gang_header headerFor(const record &r, std::uint16_t to) const;
    void sendToMember(const record &r, std::uint16_t index, const gang_message &what);
    void sendToCoordinator(const record &r, const gang_message &what);
    void sendStopped(const record &r);
    void deliver(const process_id &to, const gang_message &what);
    void drainLoopback();
    void drop(reason why) const;
    void report(const record &r) const;

    process_id m_self;
    incarnation_number m_incarnation;
    accelerator_mask m_accelerators;
    worker_port *m_worker;
    gang_options m_options;
    environment m_env;
    gang_agent_hooks m_hooks;
    std::map<task_id, std::unique_ptr<record>> m_records;
    std::deque<gang_message> m_loopback; ///< messages between members on this agent
    epoch_number m_epoch = 0;
    bool m_leaving = false;
    bool m_draining = false; ///< within drainLoopback()
    bool m_listRead = false; ///< the worker's task list is known since the start or a pause
    absl::Time m_startedAt;
    absl::Time m_lastTick = absl::InfinitePast();
    absl::Time m_nextPoll = absl::InfinitePast();
    std::shared_ptr<bool> m_alive; ///< completions of the worker after destruction do nothing
};

} // namespace hyssoppond
