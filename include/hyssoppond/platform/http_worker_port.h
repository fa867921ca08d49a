/// @file Adapter to a worker over HTTP and JSON, as docs/platform-protocol-worker.md defines it.
#pragma once

#include "hyssoppond/platform/worker_port.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <thread>
#include <vector>

namespace hyssoppond {

/// Settings of an http_worker_port.
struct http_worker_options
{
    std::string url; ///< for example "http://127.0.0.1:8080", without a path
    absl::Duration connectTimeout = absl::Milliseconds(500);
    /// Of one request; limits the wait for a silent worker.
    absl::Duration exchangeTimeout = absl::Seconds(2);
    std::uint32_t threads = 4;    ///< a checkpoint request occupies one until it is written
    std::size_t maxQueued = 1024; ///< waiting requests; further ones get Overloaded
};

/// Sends each request from a small pool of threads; completions run on these threads. Errors:
/// WorkerUnreachable and ConnectionSilent (Unknown if the request may have arrived), Overloaded,
/// Expired and Cancelled (NotRun), MalformedMessage (Unknown or NotRun), and those that the worker
/// answers.
class http_worker_port : public worker_port
{
public:
    explicit http_worker_port(http_worker_options options);
    /// Completes all queued requests with Cancelled and waits for those in flight.
    ~http_worker_port() override;
    http_worker_port(const http_worker_port &) = delete;
    http_worker_port &operator=(const http_worker_port &) = delete;

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
    /// One request to the worker.
    struct exchange
    {
        std::string path;
        std::string body; ///< empty: GET
        absl::Time deadline;
        std::function<void(result<std::string>)> done;
    };

    /// Queues a POST request whose answer is the state of a task.
    void post(const std::string &path, std::string body, absl::Time deadline,
              std::function<void(result<task_status>)> done);
    void enqueue(exchange request);
    /// Main function of a pool thread: runs exchanges until the port stops.
    void processQueue();
    bool hasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    http_worker_options m_options;
    absl::Mutex m_mutex;
    std::deque<exchange> m_queue ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_threads;
};

} // namespace hyssoppond
