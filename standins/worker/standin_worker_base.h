/// @file Tasks of the worker stand-in, with leases and start times enforced by a clock.
#pragma once

#include "hyssoppond/platform/worker_port.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace hyssoppond::standins {

/// Faults that POST /admin/faults switches on.
struct standin_faults
{
    bool refuseStarts = false;
    bool loseAnswers = false; ///< acts, then closes the connection without an answer
    bool unreachable = false; ///< closes the connection without acting
    absl::Duration answerDelay;
};

/// Answer to one request.
struct standin_answer
{
    unsigned status = 200;
    std::string body;
    bool dropConnection = false; ///< close the connection instead of answering
    absl::Duration delay;
};

/// A worker whose tasks only take time: the command `sleep SECONDS` completes after that, `fail`
/// fails at once, and any other command runs until it is stopped. Thread-safe. No
/// timer ends a task: the next request computes which tasks have ended and when each one ended.
class standin_worker
{
public:
    explicit standin_worker(std::uint32_t accelerators)
        : m_accelerators(accelerators)
    { }

    standin_answer handle(const std::string &method, const std::string &path,
                          const std::string &body);

private:
    struct task
    {
        task_status status;
        absl::Time startedAt;
        absl::Time endedAt = absl::InfiniteFuture();
        absl::Duration remainingRunTime = absl::InfiniteDuration(); ///< run time left at full speed
        absl::Time remainingAsOf; ///< time for which remainingRunTime holds
        std::uint32_t speedPercent = 100;
        bool wasStarted = false;
    };

    /// Ends the tasks that completed or whose lease expired by `now`, and counts the run time of
    /// the others.
    void advance(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    result<task_status> handleTaskRequest(const std::string &path, const nlohmann::json &body,
                                          absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    result<task_status> start(const task_start &request, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    result<task_status> updateTask(const std::string &path, task &entry, const nlohmann::json &body,
                                   absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::string listTasks() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::string listRuns() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool setFaults(const nlohmann::json &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const std::uint32_t m_accelerators;
    absl::Mutex m_mutex;
    standin_faults m_faults ABSL_GUARDED_BY(m_mutex);
    std::map<task_id, task> m_tasks ABSL_GUARDED_BY(m_mutex);
};

/// HTTP server of one stand-in on a port of `host`; port 0 takes a free one.
class standin_worker_server
{
public:
    /// Throws std::runtime_error if the address cannot be listened on.
    standin_worker_server(const std::string &host, std::uint16_t port, std::uint32_t accelerators);
    ~standin_worker_server();
    standin_worker_server(const standin_worker_server &) = delete;
    standin_worker_server &operator=(const standin_worker_server &) = delete;

    std::uint16_t port() const { return m_port; }

private:
    standin_worker m_worker;
    void *m_daemon = nullptr;
    std::uint16_t m_port = 0;
};

} // namespace hyssoppond::standins
