/// @file Implementation of the HTTP server.
#include "hyssoppond/loop/http_server_base.h"

#include "connection_table.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <set>
#include <stdexcept>

namespace hyssoppond {

namespace {

/// Connections that the daemon accepts beyond the limit while closed ones are not yet freed.
constexpr unsigned SpareConnections = 16;

/// Sizes of the kernel's buffers of one connection. By default the kernel lets them grow to several
/// MB, which pipelined requests fill whose answers are not read; at a round trip of 10 ms these
/// still carry 3 MB/s and more.
constexpr int SendBufferBytes = 32'768;
constexpr int ReceiveBufferBytes = 65'536;

/// Smallest part in which the charge of a body of unknown length grows.
constexpr std::size_t BodyStepBytes = 16'384;

/// A refused request with a body of at most this length is read to its end and dropped, as a client
/// that still sends may not see the answer if the connection is closed before.
constexpr std::size_t DrainedBodyBytes = 1'048'576;

/// Times to retry after, in seconds. Different ones spread the clients that come back.
constexpr std::array<const char *, 3> RetryAfterSeconds {"1", "2", "3"};

/// One request from its first header to the end of its answer.
struct exchange
{
    http_request request;
    http_response answer;
    MHD_Connection *connection = nullptr;
    bool handled = false;
    bool answered = false;
    bool suspended = false;
    bool dropsBody = false;       ///< the body is read and not kept
    std::size_t droppedBytes = 0; ///< of the body
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

/// Length of the body by its head; nothing if it is sent in chunks.
std::optional<std::size_t> bodyLength(MHD_Connection *connection)
{
    if (!headerOf(connection, MHD_HTTP_HEADER_TRANSFER_ENCODING).empty())
        return std::nullopt;
    std::uint64_t length = 0;
    // The daemon itself refuses a length that is not a number.
    if (!absl::SimpleAtoi(headerOf(connection, MHD_HTTP_HEADER_CONTENT_LENGTH), &length))
        return 0;
    return length;
}

http_response tooLargeResponse()
{
    http_response response;
    response.status = MHD_HTTP_CONTENT_TOO_LARGE;
    response.body = R"({"message":"the body is too large; send a smaller one"})";
    return response;
}

std::string addressText(const sockaddr *address)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    const auto *internet = reinterpret_cast<const sockaddr_in *>(address);
    if (address == nullptr || address->sa_family != AF_INET
        || inet_ntop(AF_INET, &internet->sin_addr, text.data(), text.size()) == nullptr)
        return "unknown";
    return text.data();
}

client_connection *stateOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr ? nullptr : static_cast<client_connection *>(info->socket_context);
}

connection_table_options tableOptions(const http_server_options &options)
{
    return {options.listener, options.budget, options.maxConnections, options.stallTime};
}

} // namespace

struct http_server::implementation
{
    implementation(event_loop *loop, const http_server_options &options, handler handle)
        : loop(loop)
        , options(options)
        , handle(std::move(handle))
        , connections(tableOptions(options))
    {
        // The daemon sees the end of the connection and frees it.
        connections.close = [](int descriptor) { shutdown(descriptor, SHUT_RDWR); };
        connections.onLimit = options.onLimit;
    }

    event_loop *loop;
    http_server_options options;
    handler handle;
    connection_table connections;
    MHD_Daemon *daemon = nullptr;
    int epoll = -1;
    std::size_t active = 0;
    bool closeConnections = false;
    /// No further request is passed to the handler: libmicrohttpd ends the process if a connection
    /// is suspended when the daemon stops.
    bool stopping = false;
    std::size_t refusals = 0; ///< for lack of budget
    /// Exchanges whose connection is suspended until the answer is known.
    std::set<exchange *> suspendedExchanges = {};

    static MHD_Result onRequest(void *self, MHD_Connection *connection, const char *url,
                                const char *method, const char * /*version*/, const char *data,
                                size_t *size, void **state)
    {
        return static_cast<implementation *>(self)->processRequest(connection, url, method, data,
                                                                   size, state);
    }

    static MHD_Result onAccept(void *self, const sockaddr *address, socklen_t /*length*/)
    {
        return static_cast<implementation *>(self)->connections.admit(addressText(address),
                                                                      event_loop::steadyNow())
            ? MHD_YES
            : MHD_NO;
    }

    static void onConnection(void *self, MHD_Connection *connection, void **context,
                             MHD_ConnectionNotificationCode code)
    {
        connection_table &table = static_cast<implementation *>(self)->connections;
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            const MHD_ConnectionInfo *address
                = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
            const MHD_ConnectionInfo *descriptor
                = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
            const int client = descriptor->connect_fd;
            setsockopt(client, SOL_SOCKET, SO_SNDBUF, &SendBufferBytes, sizeof SendBufferBytes);
            setsockopt(client, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
                       sizeof ReceiveBufferBytes);
            *context
                = table.open(client, addressText(address->client_addr), event_loop::steadyNow());
        } else if (*context != nullptr) {
            table.remove(static_cast<client_connection *>(*context));
            *context = nullptr;
        }
    }

    static void onCompleted(void *self, MHD_Connection *connection, void **state,
                            MHD_RequestTerminationCode /*code*/)
    {
        auto *exchangeHolder = static_cast<std::shared_ptr<exchange> *>(*state);
        if (exchangeHolder == nullptr)
            return;
        auto *server = static_cast<implementation *>(self);
        --server->active;
        delete exchangeHolder;
        *state = nullptr;
        if (client_connection *client = stateOf(connection))
            server->connections.endRequest(client, event_loop::steadyNow());
    }

    /// Called by the daemon for the headers, for each part of the body and at the end of a request.
    MHD_Result processRequest(MHD_Connection *connection, const char *url, const char *method,
                              const char *data, size_t *size, void **state);
    /// Decides by the head whether the request is refused, and charges its body.
    MHD_Result beginRequest(MHD_Connection *connection, client_connection *client,
                            const std::shared_ptr<exchange> &current);
    /// Keeps or drops a part of the body.
    MHD_Result addToBody(client_connection *client, exchange *current, const char *data,
                         std::size_t size);
    http_response shortageResponse(const client_connection &client);
    MHD_Result queueResponse(MHD_Connection *connection, const http_response &answer);
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
                                                      const http_response &answer)
{
    if (client_connection *client = stateOf(connection))
        connections.answer(client, answer.body.size(), event_loop::steadyNow());
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

http_response http_server::implementation::shortageResponse(const client_connection &client)
{
    connections.report(http_limit::Budget, client.charge.address());
    http_response response;
    response.status = MHD_HTTP_SERVICE_UNAVAILABLE;
    response.body = R"({"message":"too much is held for clients; retry"})";
    response.headers.emplace_back("Retry-After",
                                  RetryAfterSeconds[refusals++ % RetryAfterSeconds.size()]);
    return response;
}

MHD_Result http_server::implementation::beginRequest(MHD_Connection *connection,
                                                     client_connection *client,
                                                     const std::shared_ptr<exchange> &current)
{
    const absl::Time now = event_loop::steadyNow();
    connections.beginRequest(client, now);
    const std::optional<std::size_t> length = bodyLength(connection);
    const http_request &request = current->request;
    current->dropsBody
        = request.method != MHD_HTTP_METHOD_POST && request.method != MHD_HTTP_METHOD_PUT;
    const std::size_t kept = current->dropsBody ? 0 : length.value_or(BodyStepBytes);
    std::optional<http_response> refusal;
    if (length.value_or(0) > options.maxBodyBytes) {
        connections.report(http_limit::BodyTooLarge, client->charge.address());
        refusal = tooLargeResponse();
    } else {
        refusal = options.refuseHead ? options.refuseHead(request) : std::nullopt;
        if (!refusal && !connections.reserve(client, kept + options.expectedAnswerBytes, now))
            refusal = shortageResponse(*client);
    }
    if (!refusal) {
        current->request.body.reserve(kept);
        return MHD_YES;
    }
    current->answered = true;
    current->handled = true;
    current->dropsBody = true;
    current->answer = std::move(*refusal);
    // A response before the body is read makes the daemon close the connection after it.
    return length && *length <= DrainedBodyBytes ? MHD_YES
                                                 : queueResponse(connection, current->answer);
}

MHD_Result http_server::implementation::addToBody(client_connection *client, exchange *current,
                                                  const char *data, std::size_t size)
{
    const absl::Time now = event_loop::steadyNow();
    connections.received(client, size, now);
    std::string &body = current->request.body;
    if (!current->dropsBody && body.size() + size > options.maxBodyBytes) {
        connections.report(http_limit::BodyTooLarge, client->charge.address());
        current->answered = true;
        current->handled = true;
        current->answer = tooLargeResponse();
        current->dropsBody = true;
        std::string().swap(body); // an assignment of {} would keep the buffer
    }
    if (current->dropsBody) {
        current->droppedBytes += size;
        // The end of a chunked body is unknown; a client that goes on is closed.
        return current->droppedBytes > DrainedBodyBytes ? MHD_NO : MHD_YES;
    }
    if (body.size() + size > body.capacity()) {
        const std::size_t capacity
            = std::min(options.maxBodyBytes,
                       std::max({2 * body.capacity(), body.size() + size, BodyStepBytes}));
        // The daemon takes no answer within a body, so the connection is closed.
        if (!connections.reserve(client, capacity + options.expectedAnswerBytes, now)) {
            connections.report(http_limit::Budget, client->charge.address());
            return MHD_NO;
        }
        body.reserve(capacity);
    }
    body.append(data, size);
    return MHD_YES;
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
    client_connection *client = stateOf(connection);
    // What a closed connection has sent before must not run.
    if (client == nullptr || client->evicted)
        return MHD_NO;
    const auto *holder = static_cast<std::shared_ptr<exchange> *>(*state);
    if (stopping && (holder == nullptr || !(*holder)->handled))
        return MHD_NO;
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
        *state = new std::shared_ptr<exchange>(current);
        return beginRequest(connection, client, current);
    }
    const std::shared_ptr<exchange> current = *static_cast<std::shared_ptr<exchange> *>(*state);
    if (*size != 0) {
        const MHD_Result kept = addToBody(client, current.get(), data, *size);
        *size = 0;
        return kept;
    }
    if (!current->handled) {
        current->handled = true;
        client->waitsForHandler = true;
        dispatch(current);
        // The charge stays until the answer, for what the handler keeps of the request.
        std::string().swap(current->request.body); // an assignment of {} would keep the buffer
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
    : m_impl(std::make_unique<implementation>(loop, options, std::move(handle)))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.host.c_str(), &address.sin_addr) != 1)
        throw std::runtime_error("the address " + options.host
                                 + " is not an IPv4 address; give a numeric IPv4 address");
    m_impl->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, options.port, &implementation::onAccept,
        m_impl.get(), &implementation::onRequest, m_impl.get(), MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, &implementation::onCompleted, m_impl.get(),
        MHD_OPTION_NOTIFY_CONNECTION, &implementation::onConnection, m_impl.get(),
        MHD_OPTION_CONNECTION_LIMIT, options.maxConnections + SpareConnections,
        MHD_OPTION_CONNECTION_TIMEOUT, options.idleTimeoutSeconds,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, connection_table::BufferBytes,
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
    m_impl->stopping = true;
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
