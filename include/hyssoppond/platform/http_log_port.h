/// @file Adapter to the platform's log over HTTP, as docs/platform-protocol.md defines it.
#pragma once

#include "hyssoppond/platform/log_port.h"
#include "hyssoppond/world/machine_type.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <thread>
#include <vector>

namespace hyssoppond {

/// Settings of an http_log_port.
struct http_log_options
{
    address server;
    std::size_t appendThreads = 4; ///< largest number of appends in flight
    std::size_t readThreads = 2;   ///< two: one may wait for a silent log
    std::size_t maxQueued = 256;   ///< waiting appends, and also waiting reads
    absl::Duration connectTimeout = absl::Seconds(1);
    /// Without any byte moved; rounded up to seconds.
    absl::Duration stallTimeout = absl::Seconds(3);
};

/// Adapter to the log service. Completions run on the threads of the port. The destructor waits
/// for the requests in flight, which end at their deadlines, and completes the queued ones with
/// LogUnavailable.
class http_log_port : public log_port
{
public:
    explicit http_log_port(http_log_options options);
    ~http_log_port() override;
    http_log_port(const http_log_port &) = delete;
    http_log_port &operator=(const http_log_port &) = delete;

    void append(std::string payload, absl::Time deadline,
                std::function<void(result<journal_offset>)> done) override;
    void read(journal_offset from, std::size_t maxRecords, absl::Time deadline,
              std::function<void(result<log_batch>)> done) override;

private:
    struct connection;
    /// One request. Runs on a pool thread, or with a null connection if it is refused unsent.
    using task = std::function<void(connection *)>;

    /// Requests of one kind, oldest first.
    struct queue
    {
        std::deque<task> waiting;
    };

    /// Queues `work`, or runs it at once with a null connection if the queue is full.
    void enqueue(queue http_log_port::*requests, task work);
    /// Main function of a pool thread: runs requests of one kind until the port stops.
    void processQueue(queue http_log_port::*requests);

    http_log_options m_options;
    absl::Mutex m_mutex;
    queue m_appends ABSL_GUARDED_BY(m_mutex);
    queue m_reads ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_threads;
};

} // namespace hyssoppond
