/// @file A site of workers, member agents and coordinators in virtual time, and its checker.
#pragma once

#include "hyssoppond/base/process_clock_base.h"
#include "hyssoppond/fakes/fake_network_base.h"
#include "hyssoppond/fakes/fake_worker_base.h"
#include "hyssoppond/gang/gang_coordinator_base.h"
#include "hyssoppond/gang/gang_member_agent_base.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace hyssoppond::faults {

/// Defers the calls that reach a paused process until it is resumed.
struct pause_gate
{
    bool paused = false;
    std::deque<std::function<void()>> waiting;

    void pass(std::function<void()> callback);
    void resume();
};

/// Worker port whose completions pass the gate of the agent.
class gated_worker_port : public worker_port
{
public:
    gated_worker_port(worker_port *worker, pause_gate *gate)
        : m_worker(worker)
        , m_gate(gate)
    { }
    void setWorker(worker_port *worker) { m_worker = worker; }

    void startTask(task_start task, std::function<void(result<task_status>)> done) override;
    void renewLease(task_id id, absl::Time until,
                    std::function<void(result<task_status>)> done) override;
    void checkpointTask(task_id id, absl::Time deadline,
                        std::function<void(result<task_status>)> done) override;
    void throttleTask(task_id id, std::uint32_t percent,
                      std::function<void(result<task_status>)> done) override;
    void stopTask(task_id id, std::function<void(result<task_status>)> done) override;
    void listTasks(std::function<void(result<std::vector<task_status>>)> done) override;

private:
    template<class value>
    std::function<void(result<value>)> gated(std::function<void(result<value>)> done);

    worker_port *m_worker;
    pause_gate *m_gate;
};

/// A worker, its agent and the earlier workers that it replaced. The worker measures by the clock
/// of the site.
struct site_node
{
    process_id agent;
    worker_id worker;
    absl::Duration timeOfDayAhead;               ///< of the agent's machine
    std::shared_ptr<process_clock> processClock; ///< of the agent
    incarnation_number incarnation = 1;
    std::vector<std::unique_ptr<fake_worker>> workers; ///< the last one is in use
    pause_gate gate;
    std::unique_ptr<gated_worker_port> port;
    std::unique_ptr<gang_member_agent> process; ///< null: killed

    fake_worker &current() { return *workers.back(); }
};

/// An entry with a coordinator.
struct site_entry
{
    process_id id;
    absl::Duration timeOfDayAhead; ///< of its machine
    pause_gate gate;
    std::unique_ptr<gang_coordinator> process; ///< null: killed
};

/// How an attempt ended, as the coordinator reported it.
struct attempt_end
{
    job_id job;
    attempt_number attempt = 0;
    attempt_outcome outcome = attempt_outcome::Lost;
    absl::Time at;
};

/// A site of gangs. The seed determines the whole run.
class gang_site
{
public:
    gang_site(std::uint64_t seed, std::size_t nodes, gang_options options);

    virtual_clock clock;
    fake_network<gang_message> network;
    gang_options options;
    std::vector<std::unique_ptr<site_node>> nodes;
    std::vector<std::unique_ptr<site_entry>> entries;
    std::vector<attempt_end> ends;
    std::vector<std::pair<job_id, attempt_number>> starts; ///< onStarted
    std::vector<gang_refusal> refusals;
    std::uint64_t bytes = 0; ///< encoded size of all sent messages, if countBytes
    bool countBytes = false;
    std::function<void(const attempt_end &)> onEnded;
    std::function<void(const gang_placement &)> onDiscovered;
    std::function<void(const process_id &from, const gang_message &)> onSend;

    site_entry &addEntry(const std::string &name);
    gang_coordinator &coordinator() { return *entries.back()->process; }
    /// Placement of one member on each of the first `members` nodes.
    gang_placement placementOf(const std::string &job, attempt_number attempt, std::size_t members,
                               epoch_number epoch = 1, accelerator_mask mask = 0xff);

    void killAgent(site_node &node);
    void startAgent(site_node &node); ///< with a new incarnation and without state
    void crashWorker(site_node &node);
    /// Both the worker and the agent are new; the worker has no memory of its tasks.
    void replaceInstance(site_node &node);
    void killEntry(site_entry &entry);

private:
    /// Clock of a process that starts now on a machine whose time of day is `*ahead` of the site's
    /// clock.
    std::shared_ptr<process_clock> startClock(const absl::Duration *ahead);
    /// Environment of a process with that clock.
    environment environmentOf(std::shared_ptr<process_clock> processClock);
    void send(const process_id &from, const process_id &to, const gang_message &message);
    void tickAll();
};

/// Compares the workers' records of a job with the reported ends of its attempts. Returns the
/// violation that it finds, or an empty text.
std::string violationOf(gang_site &site, const job_id &job, std::size_t members, bool repeatable);

} // namespace hyssoppond::faults
