/// @file Implementation of the HTTP server.
#include "hyssoppond/loop/http_server_base.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <set>
#include <stdexcept>

namespace hyssoppond {

namespace {

/// Memory for the headers of one connection, in bytes. Requests with larger headers are rejected.
constexpr std::size_t ConnectionMemoryBytes = 20'480;

/// One request from its first header to the end of its answer.
struct exchange
{
    http_request request;
    http_response answer;
    MHD_Connection *connection = nullptr;
    bool handled = false;
    bool answered = false;
    bool suspended = false;
    bool completed = false;
};

MHD_Result addArgument(void *query, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(query))[name]
        = value == nullptr ? "" : value;
    return MHD_YES;
}

std::string headerOf(MHD_Connection *connection, const char *name)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value == nullptr ? "" : value;
}

} // namespace

struct http_server::implementation
{
    event_loop *loop;
    http_server_options options;
    handler handle;
    MHD_Daemon *daemon = nullptr;
    int epoll = -1;
    std::size_t active = 0;
    bool closeConnections = false;
    /// Exchanges whose connection is suspended until the answer is known.
    std::set<exchange *> suspendedExchanges = {};

    static MHD_Result onRequest(void *self, MHD_Connection *connection, const char *url,
                                const char *method, const char * /*version*/, const char *data,
                                size_t *size, void **state)
    {
        return static_cast<implementation *>(self)->processRequest(connection, url, method, data,
                                                                   size, state);
    }

    static void onCompleted(void *self, MHD_Connection * /*connection*/, void **state,
                            MHD_RequestTerminationCode /*code*/)
    {
        auto *exchangeHolder = static_cast<std::shared_ptr<exchange> *>(*state);
        if (exchangeHolder == nullptr)
            return;
        (*exchangeHolder)->completed = true;
        --static_cast<implementation *>(self)->active;
        delete exchangeHolder;
        *state = nullptr;
    }

    /// Called by the daemon for the headers, for each part of the body and at the end of a request.
    MHD_Result processRequest(MHD_Connection *connection, const char *url, const char *method,
                              const char *data, size_t *size, void **state);
    MHD_Result queueResponse(MHD_Connection *connection, const http_response &answer) const;
    void dispatch(const std::shared_ptr<exchange> &current);

    void runDaemon() const { MHD_run(daemon); }

    /// Time at which the daemon must run next. Runs it at once if it is already due.
    absl::Time nextDeadline() const
    {
        MHD_UNSIGNED_LONG_LONG timeoutMs = 0;
        if (MHD_get_timeout(daemon, &timeoutMs) != MHD_YES)
            return absl::InfiniteFuture();
        if (timeoutMs == 0) {
            runDaemon();
            if (MHD_get_timeout(daemon, &timeoutMs) != MHD_YES)
                return absl::InfiniteFuture();
        }
        return event_loop::steadyNow() + absl::Milliseconds(static_cast<std::int64_t>(timeoutMs));
    }
};

MHD_Result http_server::implementation::queueResponse(MHD_Connection *connection,
                                                      const http_response &answer) const
{
    MHD_Response *response = MHD_create_response_from_buffer(
        answer.body.size(), const_cast<char *>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
    if (response == nullptr)
        return MHD_NO;
    if (!answer.body.empty())
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, answer.contentType.c_str());
    for (const auto &[name, value] : answer.headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
    if (closeConnections)
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    const MHD_Result queued
        = MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    return queued;
}

void http_server::implementation::dispatch(const std::shared_ptr<exchange> &current)
{
    const std::weak_ptr<exchange> weakExchange = current;
    handle(current->request, [this, weakExchange](http_response answer) {
        const std::shared_ptr<exchange> unanswered = weakExchange.lock();
        if (unanswered == nullptr || unanswered->answered)
            return;
        unanswered->answered = true;
        unanswered->answer = std::move(answer);
        if (unanswered->suspended) {
            unanswered->suspended = false;
            suspendedExchanges.erase(unanswered.get());
            MHD_resume_connection(unanswered->connection);
            // The daemon must run again to send the answer of the resumed connection.
            loop->callAt(event_loop::steadyNow(), [this] { runDaemon(); });
        }
    });
}

MHD_Result http_server::implementation::processRequest(MHD_Connection *connection, const char *url,
                                                       const char *method, const char *data,
                                                       size_t *size, void **state)
{
    if (*state == nullptr) {
        auto current = std::make_shared<exchange>();
        current->connection = connection;
        current->request.method = method;
        current->request.path = url;
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &addArgument,
                                  &current->request.query);
        current->request.host = headerOf(connection, MHD_HTTP_HEADER_HOST);
        current->request.authorization = headerOf(connection, MHD_HTTP_HEADER_AUTHORIZATION);
        if (!options.deadlineHeader.empty())
            current->request.deadlineMs = headerOf(connection, options.deadlineHeader.c_str());
        ++active;
        *state = new std::shared_ptr<exchange>(std::move(current));
        return MHD_YES;
    }
    const std::shared_ptr<exchange> current = *static_cast<std::shared_ptr<exchange> *>(*state);
    if (*size != 0) {
        if (current->request.body.size() + *size > options.maxBodyBytes)
            current->request.tooLarge = true;
        else
            current->request.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (!current->handled) {
        current->handled = true;
        dispatch(current);
        if (!current->answered) {
            current->suspended = true;
            suspendedExchanges.insert(current.get());
            MHD_suspend_connection(connection);
            return MHD_YES;
        }
    }
    return current->answered ? queueResponse(connection, current->answer) : MHD_YES;
}

http_server::http_server(event_loop *loop, const http_server_options &options, handler handle)
    : m_impl(std::make_unique<implementation>())
{
    m_impl->loop = loop;
    m_impl->options = options;
    m_impl->handle = std::move(handle);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.host.c_str(), &address.sin_addr) != 1)
        throw std::runtime_error("the address " + options.host
                                 + " is not an IPv4 address; give a numeric IPv4 address");
    m_impl->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, options.port, nullptr, nullptr,
        &implementation::onRequest, m_impl.get(), MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, &implementation::onCompleted, m_impl.get(),
        MHD_OPTION_CONNECTION_LIMIT, options.maxConnections, MHD_OPTION_CONNECTION_TIMEOUT,
        options.idleTimeoutSeconds, MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionMemoryBytes,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (m_impl->daemon == nullptr)
        throw std::runtime_error("cannot listen on " + options.host + ":"
                                 + std::to_string(options.port) + "; choose a free address");
    m_impl->epoll = MHD_get_daemon_info(m_impl->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    loop->watch(m_impl->epoll, EPOLLIN,
                [impl = m_impl.get()](std::uint32_t) { impl->runDaemon(); });
    loop->onRound([impl = m_impl.get()] { return impl->nextDeadline(); });
}

http_server::~http_server()
{
    m_impl->loop->unwatch(m_impl->epoll);
    // libmicrohttpd aborts the process if a connection is still suspended when the daemon stops.
    for (exchange *current : m_impl->suspendedExchanges) {
        current->suspended = false;
        current->answered = true;
        current->answer.status = MHD_HTTP_GATEWAY_TIMEOUT;
        MHD_resume_connection(current->connection);
    }
    m_impl->suspendedExchanges.clear();
    m_impl->runDaemon();
    m_impl->runDaemon();
    MHD_stop_daemon(m_impl->daemon);
}

std::size_t http_server::active() const
{
    return m_impl->active;
}

void http_server::closeAfterAnswers()
{
    m_impl->closeConnections = true;
}

void http_server::stopAccepting()
{
    const MHD_socket listening = MHD_quiesce_daemon(m_impl->daemon);
    if (listening != MHD_INVALID_SOCKET)
        close(listening);
}

} // namespace hyssoppond
