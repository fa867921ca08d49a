/// @file Implementation of the log stand-in.
#include "log_server_base.h"

#include <absl/strings/escaping.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace hyssoppond::standins {
namespace {

using json = nlohmann::json;

constexpr std::size_t MaxPayloadBytes = 1024 * 1024;
constexpr std::size_t MaxAnswerBytes = 8 * 1024 * 1024;
constexpr unsigned MaxConnections = 256;
constexpr unsigned IdleSeconds = 120;
constexpr absl::Duration MaxSilentDelay = absl::Minutes(1);

std::uint64_t numberArgument(MHD_Connection *connection, const char *name, std::uint64_t fallback)
{
    const char *text = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

struct log_server::answer
{
    unsigned status = MHD_HTTP_OK;
    json body = json::object();
    bool dropConnection = false; ///< close the connection instead of answering
};

/// Body of a request while it arrives.
struct log_server::request
{
    std::string body;
    bool tooLarge = false;
};

log_server::~log_server()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    if (m_daemon != nullptr)
        MHD_stop_daemon(m_daemon);
}

std::uint16_t log_server::listen(const std::string &host, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1)
        return 0;
    const auto handler
        = [](void *self, MHD_Connection *connection, const char *url, const char *method,
             const char *version, const char *data, std::size_t *size, void **state) {
              return static_cast<MHD_Result>(
                  handle(self, connection, url, method, version, data, size, state));
          };
    const auto completed = [](void *, MHD_Connection *, void **state, MHD_RequestTerminationCode) {
        delete static_cast<request *>(*state);
        *state = nullptr;
    };
    m_daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, port, nullptr, nullptr,
        static_cast<MHD_AccessHandlerCallback>(handler), this, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_CONNECTION_LIMIT, MaxConnections, MHD_OPTION_CONNECTION_TIMEOUT, IdleSeconds,
        MHD_OPTION_NOTIFY_COMPLETED, static_cast<MHD_RequestCompletedCallback>(completed), nullptr,
        MHD_OPTION_END);
    if (m_daemon == nullptr)
        return 0;
    const MHD_DaemonInfo *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
    return info == nullptr ? 0 : info->port;
}

int log_server::handle(void *self, MHD_Connection *connection, const char *url, const char *method,
                       const char *, const char *data, std::size_t *size, void **state)
{
    if (*state == nullptr) {
        *state = new request;
        return MHD_YES;
    }
    auto *arriving = static_cast<request *>(*state);
    if (*size > 0) {
        arriving->tooLarge = arriving->tooLarge || arriving->body.size() + *size > MaxPayloadBytes;
        if (!arriving->tooLarge)
            arriving->body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    answer out;
    if (arriving->tooLarge)
        out = {MHD_HTTP_CONTENT_TOO_LARGE, {{"error", "the payload exceeds 1 MiB"}}, false};
    else
        out = static_cast<log_server *>(self)->serve(connection, method, url, arriving->body);
    if (out.dropConnection)
        return MHD_NO;
    const std::string text = out.body.dump();
    MHD_Response *response = MHD_create_response_from_buffer(
        text.size(), const_cast<char *>(text.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
    const int queued = MHD_queue_response(connection, out.status, response);
    MHD_destroy_response(response);
    return queued;
}

log_server::answer log_server::serve(MHD_Connection *connection, const std::string &method,
                                     const std::string &url, const std::string &body)
{
    if (url == "/admin/faults" && method == "POST") {
        if (setFaults(body))
            return {};
        return {MHD_HTTP_BAD_REQUEST, {{"error", "a field is unknown or has a wrong type"}}, false};
    }
    if (url == "/admin/state" && method == "GET")
        return state();
    faults active;
    {
        const absl::MutexLock lock(&m_mutex);
        active = m_faults;
    }
    waitForFaultDelay(active.silent, active.delayMilliseconds);
    if (active.silent)
        return {MHD_HTTP_OK, {}, true};
    if (active.down)
        return {MHD_HTTP_SERVICE_UNAVAILABLE, {{"error", "the log is down"}}, false};
    if (url == "/append" && method == "POST") {
        answer out = append(body);
        out.dropConnection = active.loseAppendAnswers;
        return out;
    }
    if (url == "/read" && method == "GET")
        return read(numberArgument(connection, "from", 1), numberArgument(connection, "max", 512));
    return {MHD_HTTP_NOT_FOUND, {{"error", "unknown path or method"}}, false};
}

void log_server::waitForFaultDelay(bool silent, std::int64_t milliseconds) const
{
    const absl::Time until
        = absl::Now() + (silent ? MaxSilentDelay : absl::Milliseconds(milliseconds));
    const absl::MutexLock lock(&m_mutex);
    const auto released = [this, silent]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_stopping || (silent && !m_faults.silent);
    };
    m_mutex.AwaitWithDeadline(absl::Condition(&released), until);
}

log_server::answer log_server::append(const std::string &body)
{
    const absl::MutexLock lock(&m_mutex);
    m_records.push_back(body);
    ++m_appends;
    const std::uint64_t offset = m_oldest + m_records.size() - 1;
    if (m_records.size() > m_maxRecords) {
        m_records.pop_front();
        ++m_oldest;
    }
    return {MHD_HTTP_OK, {{"offset", offset}}, false};
}

log_server::answer log_server::read(std::uint64_t from, std::uint64_t max) const
{
    const absl::MutexLock lock(&m_mutex);
    if (from < m_oldest)
        return {MHD_HTTP_GONE, {{"error", "the offset is no longer kept"}}, false};
    const std::uint64_t next = m_oldest + m_records.size();
    json records = json::array();
    std::size_t bytes = 0;
    for (std::uint64_t offset = from; offset < next && records.size() < max; ++offset) {
        const std::string encoded = absl::Base64Escape(m_records[offset - m_oldest]);
        bytes += encoded.size();
        if (bytes > MaxAnswerBytes && !records.empty())
            break;
        records.push_back({{"offset", offset}, {"payload", encoded}});
    }
    return {MHD_HTTP_OK, {{"records", records}, {"oldest", m_oldest}, {"next", next}}, false};
}

log_server::answer log_server::state() const
{
    const absl::MutexLock lock(&m_mutex);
    return {MHD_HTTP_OK,
            {{"appends", m_appends}, {"oldest", m_oldest}, {"next", m_oldest + m_records.size()}},
            false};
}

bool log_server::setFaults(const std::string &text)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return false;
    const absl::MutexLock lock(&m_mutex);
    faults updated = m_faults;
    std::uint64_t retainFrom = 0;
    try {
        for (const auto &[name, value] : parsed.items()) {
            if (name == "down")
                updated.down = value.get<bool>();
            else if (name == "silent")
                updated.silent = value.get<bool>();
            else if (name == "loseAppendAnswers")
                updated.loseAppendAnswers = value.get<bool>();
            else if (name == "delayMilliseconds")
                updated.delayMilliseconds = value.get<std::int64_t>();
            else if (name == "retainFrom")
                retainFrom = value.get<std::uint64_t>();
            else
                return false;
        }
    } catch (const json::exception &) {
        return false;
    }
    m_faults = updated;
    while (!m_records.empty() && m_oldest < retainFrom) {
        m_records.pop_front();
        ++m_oldest;
    }
    return true;
}

std::uint64_t log_server::appends() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_appends;
}

} // namespace hyssoppond::standins
