/// @file The platform's log over HTTP, as docs/platform-protocol.md defines it.
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
    std::size_t appendThreads = 4; ///< appends in flight
    std::size_t readThreads = 2;   ///< the second one serves while the first waits for a silent log
    std::size_t maxQueued = 256;   ///< requests waiting per kind
    absl::Duration connectTimeout = absl::Seconds(1);
    absl::Duration stallTimeout = absl::Seconds(3); ///< without any byte moved; whole seconds
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
    /// Runs on a pool thread; a null connection means that the request is refused unsent.
    using task = std::function<void(connection *)>;

    struct queue
    {
        std::deque<task> waiting;
    };

    void enqueue(queue http_log_port::*where, task what);
    void serve(queue http_log_port::*from);

    http_log_options m_options;
    absl::Mutex m_mutex;
    queue m_appends ABSL_GUARDED_BY(m_mutex);
    queue m_reads ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_threads;
};

} // namespace hyssoppond
