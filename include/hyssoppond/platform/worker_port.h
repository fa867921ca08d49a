/// @file Interface to a worker of the platform.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/world/job_type.h"

#include <functional>
#include <string>
#include <vector>

namespace hyssoppond {

/// Names one task on a worker. Starting the same task twice has no further effect.
struct task_id
{
    job_id job;
    attempt_number attempt = 0;
    std::uint32_t member = 0; ///< index in the member list of the gang

    auto operator<=>(const task_id &) const = default;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(job, attempt, member);
    }
};

/// State of a task on a worker.
enum class task_state : std::uint8_t { Running, Completed, Failed, Stopped };

inline constexpr name_table<task_state, 4> TaskStateNames {
    {"Running", "Completed", "Failed", "Stopped"}};

/// One entry of a worker's own task list.
struct task_status
{
    task_id id;
    task_state state = task_state::Running;
    absl::Time leaseUntil; ///< the worker stops the task by itself at this time
    accelerator_mask accelerators = 0;
};

/// Order to start a task.
struct task_start
{
    task_id id;
    accelerator_mask accelerators = 0;
    std::string command;
    absl::Time startBefore; ///< the worker refuses to start it at or after this time
    absl::Time leaseUntil;
};

/// One worker. Completions may come late, in another order than the requests, or never. An error
/// with execution::Unknown means that the request may have taken effect.
/// A worker measures leases by a clock that, like a process_clock, is never stepped while it runs.
class worker_port
{
public:
    virtual ~worker_port() = default;

    /// Starts a task. A task id that the worker already knows is not started again; the completion
    /// then gives its present state. A stopped task id is never started again.
    virtual void startTask(task_start order, std::function<void(result<task_status>)> done) = 0;
    /// Extends the lease of a running task.
    virtual void renewLease(task_id id, absl::Time leaseUntil,
                            std::function<void(result<task_status>)> done)
        = 0;
    /// Asks for a checkpoint; completes when it is written or the deadline passes.
    virtual void checkpointTask(task_id id, absl::Time deadline,
                                std::function<void(result<task_status>)> done)
        = 0;
    /// Limits a task to `percent` of its processor time, 0 to 100. 0 pauses it.
    virtual void throttleTask(task_id id, std::uint32_t percent,
                              std::function<void(result<task_status>)> done)
        = 0;
    /// Stops a task; an unknown task id is recorded as stopped, so that it never starts.
    virtual void stopTask(task_id id, std::function<void(result<task_status>)> done) = 0;
    /// Reads the worker's own task list.
    virtual void listTasks(std::function<void(result<std::vector<task_status>>)> done) = 0;
};

} // namespace hyssoppond
