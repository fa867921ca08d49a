/// @file Stand-in of the platform's log: records in memory, served over HTTP.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

struct MHD_Connection;
struct MHD_Daemon;

namespace hyssoppond::standins {

/// Serves the log calls of docs/platform-protocol.md with one thread per connection, at most 256 of
/// them.
class log_server
{
public:
    /// Keeps at most `maxRecords` records and drops the oldest ones beyond that.
    explicit log_server(std::size_t maxRecords)
        : m_maxRecords(maxRecords)
    { }
    ~log_server();
    log_server(const log_server &) = delete;
    log_server &operator=(const log_server &) = delete;

    /// Listens on the numeric IPv4 address; port 0 takes a free one. Returns the port, or 0.
    std::uint16_t listen(const std::string &host, std::uint16_t port);
    /// Sets the faults that a JSON object names; false if it is malformed.
    bool setFaults(const std::string &faults);
    std::uint64_t appends() const;

private:
    struct faults
    {
        bool down = false;
        bool silent = false;
        bool loseAppendAnswers = false;
        std::int64_t delayMilliseconds = 0;
    };
    struct answer;
    struct request;

    static int handle(void *self, MHD_Connection *connection, const char *url, const char *method,
                      const char *version, const char *data, std::size_t *size, void **state);
    answer serve(MHD_Connection *connection, const std::string &method, const std::string &url,
                 const std::string &body);
    answer append(const std::string &body);
    answer read(std::uint64_t from, std::uint64_t max) const;
    answer state() const;
    /// Blocks for the delay of a fault, in ms, or until the server stops. A silent log blocks until
    /// the fault is switched off, for at most one minute.
    void waitForFaultDelay(bool silent, std::int64_t milliseconds) const;

    std::size_t m_maxRecords;
    mutable absl::Mutex m_mutex;
    faults m_faults ABSL_GUARDED_BY(m_mutex);
    std::deque<std::string> m_records ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_oldest ABSL_GUARDED_BY(m_mutex) = 1;
    std::uint64_t m_appends ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    MHD_Daemon *m_daemon = nullptr;
};

} // namespace hyssoppond::standins
