/// @file In-memory fake of a worker that keeps its own record of what it ran.
#pragma once

#include "hyssoppond/fakes/virtual_clock_base.h"
#include "hyssoppond/platform/worker_port.h"

#include <map>
#include <vector>

namespace hyssoppond {

/// Faults of a fake worker.
struct worker_faults
{
    bool refuseStarts = false; ///< answers each start with WorkerRefused
    bool loseAnswers = false;  ///< requests take effect without an answer
    bool unreachable = false;  ///< neither acts nor answers
    absl::Duration answerDelay = absl::Milliseconds(2);
};

/// One run of a task in the worker's own record.
struct task_run
{
    task_id id;
    absl::Time from;
    absl::Time until = absl::InfiniteFuture(); ///< InfiniteFuture while it runs
};

/// Fake of one worker. A task completes after `runTime`; it is stopped when its lease lapses.
class fake_worker : public worker_port
{
public:
    fake_worker(virtual_clock *clock, std::uint32_t accelerators)
        : m_clock(clock)
        , m_accelerators(accelerators)
    { }

    worker_faults faults;
    absl::Duration runTime = absl::InfiniteDuration(); ///< of tasks that start from now on

    /// Every run of every task, oldest first. Checkers compare this record with what the scheduler
    /// reports.
    const std::vector<task_run> &runs() const { return m_runs; }
    std::uint32_t accelerators() const { return m_accelerators; }
    /// Stops all running tasks, as the loss of the instance does.
    void crash();
    /// Ends a running task with `state`, without a request.
    void finish(const task_id &id, task_state state);

    void startTask(task_start order, std::function<void(result<task_status>)> done) override;
    void renewLease(task_id id, absl::Time leaseUntil,
                    std::function<void(result<task_status>)> done) override;
    void checkpointTask(task_id id, absl::Time deadline,
                        std::function<void(result<task_status>)> done) override;
    void throttleTask(task_id id, std::uint32_t percent,
                      std::function<void(result<task_status>)> done) override;
    void stopTask(task_id id, std::function<void(result<task_status>)> done) override;
    void listTasks(std::function<void(result<std::vector<task_status>>)> done) override;

private:
    /// Completes a request after the answer delay, unless answers are lost.
    template<class value>
    void answer(std::function<void(result<value>)> done, result<value> outcome);
    /// Stops the task at the end of its lease, unless the lease has been renewed by then.
    void scheduleLapse(const task_id &id);
    result<task_status> find(const task_id &id) const;

    virtual_clock *m_clock;
    std::uint32_t m_accelerators;
    std::map<task_id, task_status> m_tasks;
    std::vector<task_run> m_runs;
};

} // namespace hyssoppond
