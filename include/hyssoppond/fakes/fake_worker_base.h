/// @file A worker in memory that keeps its own record of what it ran.
#pragma once

#include "hyssoppond/fakes/virtual_clock_base.h"
#include "hyssoppond/platform/worker_port.h"

#include <map>
#include <vector>

namespace hyssoppond {

/// Faults of a fake worker.
struct worker_faults
{
    bool refuseStarts = false; ///< fails everything it starts
    bool loseAnswers = false;  ///< acts, but the completion never comes
    bool unreachable = false;  ///< neither acts nor answers
    absl::Duration answerDelay = absl::Milliseconds(2);
};

/// One stretch of time in which a task ran, as the worker saw it.
struct task_run
{
    task_id id;
    absl::Time from;
    absl::Time until = absl::InfiniteFuture(); ///< InfiniteFuture: still running
};

/// Fake of one worker; tasks complete after `runTime`, and lapse with their lease.
class fake_worker : public worker_port
{
public:
    fake_worker(virtual_clock *clock, std::uint32_t accelerators)
        : m_clock(clock)
        , m_accelerators(accelerators)
    { }

    worker_faults faults;
    absl::Duration runTime = absl::InfiniteDuration(); ///< of the tasks started from now on

    /// Every run of every task, oldest first. This is the outside record that checkers use.
    const std::vector<task_run> &runs() const { return m_runs; }
    std::uint32_t accelerators() const { return m_accelerators; }
    /// Stops all tasks, as the loss of the instance does.
    void crash();
    /// Ends a running task from the worker's own side.
    void finish(const task_id &id, task_state state);

    void startTask(task_start what, std::function<void(result<task_status>)> done) override;
    void renewLease(task_id id, absl::Time leaseUntil,
                    std::function<void(result<task_status>)> done) override;
    void checkpointTask(task_id id, absl::Time deadline,
                        std::function<void(result<task_status>)> done) override;
    void throttleTask(task_id id, std::uint32_t percent,
                      std::function<void(result<task_status>)> done) override;
    void stopTask(task_id id, std::function<void(result<task_status>)> done) override;
    void listTasks(std::function<void(result<std::vector<task_status>>)> done) override;

private:
    template<class value>
    void answer(std::function<void(result<value>)> done, result<value> what);
    void scheduleLapse(const task_id &id);
    result<task_status> find(const task_id &id) const;

    virtual_clock *m_clock;
    std::uint32_t m_accelerators;
    std::map<task_id, task_status> m_tasks;
    std::vector<task_run> m_runs;
};

} // namespace hyssoppond
