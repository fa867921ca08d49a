/// @file Implementation of the server of the remote procedure calls.
#include "hyssoppond/rpc/rpc_server_base.h"

#include "hyssoppond/base/process_clock_base.h"

#include "rpc_codec_func.h"
#include "rpc_connections.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/synchronization/mutex.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <atomic>
#include <optional>
#include <string_view>

namespace hyssoppond {

namespace {

/// A body that is longer than this many times the limit closes its connection instead of being read
/// and answered.
constexpr std::size_t MaxDiscardedBodies = 4;
/// Bodies from this size on are decoded one at a time, because decoding JSON takes several times
/// the memory of the body.
constexpr std::size_t LargeBodyBytes = 256 * 1024;
/// Time after which a client may retry that was refused because the budget was short.
constexpr absl::Duration BudgetRetryTime = absl::Seconds(1);

/// State of one HTTP request from its first header to the end of its answer.
struct exchange
{
    std::size_t received = 0;          ///< bytes of the body, also of a refused one
    std::optional<std::size_t> length; ///< of the body, if the head tells it
    /// Why the body is not stored and the request will not run.
    std::optional<error> refusal;
    const rpc_method *method = nullptr; ///< null for a GET or a refused request
    bool dispatched = false; ///< the request was answered directly or passed to its procedure
    absl::Mutex mutex;
    bool answered ABSL_GUARDED_BY(mutex) = false;
    http_page answer ABSL_GUARDED_BY(mutex);
};

http_page errorPage(const error &problem, body_encoding encoding)
{
    return {httpStatusOf(problem), contentTypeOf(encoding),
            encodeBody(toMessage(problem, processNow()), encoding)};
}

const char *headerOf(MHD_Connection *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

body_encoding encodingOf(MHD_Connection *connection)
{
    const char *type = headerOf(connection, MHD_HTTP_HEADER_CONTENT_TYPE);
    return type != nullptr && absl::StartsWith(type, "application/x-protobuf")
        ? body_encoding::Binary
        : body_encoding::Json;
}

/// Numeric address of the client, without its port.
std::string addressOf(MHD_Connection *connection)
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    char text[INET6_ADDRSTRLEN] = "";
    if (info == nullptr || info->client_addr == nullptr)
        return "";
    if (info->client_addr->sa_family == AF_INET) {
        const auto *v4 = reinterpret_cast<const sockaddr_in *>(info->client_addr);
        inet_ntop(AF_INET, &v4->sin_addr, text, sizeof text);
    } else if (info->client_addr->sa_family == AF_INET6) {
        const auto *v6 = reinterpret_cast<const sockaddr_in6 *>(info->client_addr);
        inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof text);
    }
    return text;
}

error tooLarge(std::size_t maxBodyBytes)
{
    return {reason::BodyTooLarge,
            absl::StrFormat("body is larger than %d bytes; send less", maxBodyBytes)};
}

} // namespace

struct rpc_server::implementation
{
    rpc_server_options options;
    counter_registry *counters;
    std::map<std::string, rpc_method> methods;
    std::map<std::string, std::function<http_page()>> pages;
    std::unique_ptr<rpc_connections> connections;
    absl::Mutex largeBodyMutex; ///< held while a large body is decoded
    MHD_Daemon *daemon = nullptr;
    /// Number of requests whose first header has arrived and whose answer is not completely sent.
    std::atomic<std::size_t> active {0};
    mutable absl::Mutex mutex;
    /// Procedure calls without an answer yet, with their suspended connection and the encoding of
    /// the answer.
    std::map<std::shared_ptr<exchange>, std::pair<MHD_Connection *, body_encoding>> pending
        ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false; ///< no further call is passed to its procedure

    /// Called by libmicrohttpd for the headers, for each part of the body, after the body, and when
    /// a suspended connection is resumed.
    static MHD_Result onRequest(void *self, MHD_Connection *connection, const char *url,
                                const char *method, const char *version, const char *data,
                                size_t *size, void **state);
    /// Called by libmicrohttpd after a request, whether it was answered or its connection was lost.
    static void onCompleted(void *self, MHD_Connection *connection, void **state,
                            MHD_RequestTerminationCode code);
    /// Called by libmicrohttpd when a connection is accepted and before its socket is closed.
    static void onConnection(void *self, MHD_Connection *connection, void **state,
                             MHD_ConnectionNotificationCode code);

    /// Decides from the head whether the body is stored, and answers at once if it need not be
    /// read.
    MHD_Result handleHead(MHD_Connection *connection, const std::string &url,
                          const std::string &method, exchange *current) const;
    /// Stores or drops a part of the body. MHD_NO closes the connection.
    MHD_Result handleBody(MHD_Connection *connection, std::string_view part,
                          exchange *current) const;
    /// Handles a request whose body is complete. Sends the answer if there is one already.
    MHD_Result handleRequest(MHD_Connection *connection, const std::string &url,
                             const std::string &method, const std::shared_ptr<exchange> &current);
    /// Suspends the connection and passes the request to its procedure.
    MHD_Result dispatch(MHD_Connection *connection, const std::shared_ptr<exchange> &current);
    result<void> decode(const std::string &body, body_encoding encoding,
                        google::protobuf::Message *request);
    /// Sets the answer and resumes the connection. Does nothing if the request has an answer or its
    /// connection was lost.
    void finish(const std::shared_ptr<exchange> &current, http_page page);
    result<const rpc_method *> findMethod(const std::string &url) const;
    /// Sends a page, with the header Retry-After if `retryAfter` is not 0.
    static MHD_Result respond(MHD_Connection *connection, const http_page &page,
                              absl::Duration retryAfter = absl::ZeroDuration());
    /// Counts a refusal and returns its page.
    http_page refusalPage(const error &problem, body_encoding encoding) const;
};

http_page rpc_server::implementation::refusalPage(const error &problem,
                                                  body_encoding encoding) const
{
    counters->count(disposition::Refused, problem.why);
    return errorPage(problem, encoding);
}

MHD_Result rpc_server::implementation::respond(MHD_Connection *connection, const http_page &page,
                                               absl::Duration retryAfter)
{
    MHD_Response *response = MHD_create_response_from_buffer(
        page.body.size(), const_cast<char *>(page.body.data()), MHD_RESPMEM_MUST_COPY);
    if (response == nullptr)
        return MHD_NO;
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, page.contentType.c_str());
    if (retryAfter > absl::ZeroDuration()) {
        const std::string seconds = absl::StrCat(absl::ToInt64Seconds(retryAfter));
        MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, seconds.c_str());
    }
    const MHD_Result queued
        = MHD_queue_response(connection, static_cast<unsigned>(page.status), response);
    MHD_destroy_response(response);
    return queued;
}

result<const rpc_method *> rpc_server::implementation::findMethod(const std::string &url) const
{
    const auto it = methods.find(url);
    if (it != methods.end())
        return &it->second;
    if (absl::StartsWith(url, "/hyssoppond.") && !absl::StartsWith(url, "/hyssoppond.v1.")) {
        return fail(reason::UnsupportedVersion,
                    "this server speaks version 1 of the schema; use /hyssoppond.v1.<Service>/"
                    "<Method>");
    }
    return fail(reason::InvalidArgument,
                absl::StrFormat("no procedure %s; see schema/hyssoppond.proto", url));
}

void rpc_server::implementation::finish(const std::shared_ptr<exchange> &current, http_page page)
{
    MHD_Connection *connection = nullptr;
    {
        const absl::MutexLock lock(&mutex);
        const auto it = pending.find(current);
        if (it == pending.end())
            return; // answered already, or the connection was lost
        connection = it->second.first;
        pending.erase(it);
    }
    {
        const absl::MutexLock lock(&current->mutex);
        current->answered = true;
        current->answer = std::move(page);
    }
    MHD_resume_connection(connection);
}

result<void> rpc_server::implementation::decode(const std::string &body, body_encoding encoding,
                                                google::protobuf::Message *request)
{
    if (body.size() < LargeBodyBytes)
        return decodeBody(body, encoding, request);
    const absl::MutexLock lock(&largeBodyMutex);
    return decodeBody(body, encoding, request);
}

MHD_Result rpc_server::implementation::dispatch(MHD_Connection *connection,
                                                const std::shared_ptr<exchange> &current)
{
    std::optional<std::string> body = connections->takeBody(connection);
    if (!body)
        return MHD_NO;
    const body_encoding encoding = encodingOf(connection);
    {
        const absl::MutexLock lock(&mutex);
        if (stopping)
            return MHD_NO; // nothing would answer it before the daemon stops
        pending[current] = {connection, encoding};
        // Under the lock: an answer must not resume the connection before it is suspended.
        MHD_suspend_connection(connection);
    }
    const auto request = current->method->newRequest();
    const auto decoded = decode(*body, encoding, request.get());
    body.reset();
    if (!decoded) {
        finish(current, refusalPage(decoded.error(), encoding));
        return MHD_YES;
    }
    current->method->handle(*request, [this, current, encoding](auto answer) {
        if (!answer)
            finish(current, refusalPage(answer.error(), encoding));
        else
            finish(current, {200, contentTypeOf(encoding), encodeBody(**answer, encoding)});
    });
    return MHD_YES;
}

MHD_Result rpc_server::implementation::handleHead(MHD_Connection *connection,
                                                  const std::string &url, const std::string &method,
                                                  exchange *current) const
{
    std::uint64_t length = 0;
    const char *lengthText = headerOf(connection, MHD_HTTP_HEADER_CONTENT_LENGTH);
    if (lengthText != nullptr && absl::SimpleAtoi(lengthText, &length))
        current->length = length;
    if (method == MHD_HTTP_METHOD_POST) {
        const auto found = findMethod(url);
        if (found)
            current->method = *found;
        else
            current->refusal = found.error();
        if (length > options.maxBodyBytes)
            current->refusal = tooLarge(options.maxBodyBytes);
    } else if (method != MHD_HTTP_METHOD_GET) {
        current->refusal
            = error {reason::MalformedRequest,
                     "the HTTP method is neither GET nor POST; use POST for procedures"};
    }
    // A client that waits for the interim answer has not sent its body yet. The answer to any other
    // client may be lost when the connection is closed with unread bytes, so that bodies which are
    // not far over the limit are read first.
    const bool waits = headerOf(connection, MHD_HTTP_HEADER_EXPECT) != nullptr;
    if (length > MaxDiscardedBodies * options.maxBodyBytes || (current->refusal && waits)) {
        current->dispatched = true;
        return respond(connection,
                       refusalPage(current->refusal.value_or(tooLarge(options.maxBodyBytes)),
                                   encodingOf(connection)));
    }
    return MHD_YES;
}

MHD_Result rpc_server::implementation::handleBody(MHD_Connection *connection, std::string_view part,
                                                  exchange *current) const
{
    current->received += part.size();
    if (current->received > MaxDiscardedBodies * options.maxBodyBytes)
        return MHD_NO;
    if (current->received > options.maxBodyBytes && !current->refusal) {
        current->refusal = tooLarge(options.maxBodyBytes);
        connections->endRequest(connection); // frees what was stored
    }
    // The pages take no body, and bodies of refused requests are not stored.
    if (current->method == nullptr || current->refusal)
        return MHD_YES;
    if (!connections->appendBody(connection, part, current->length)) {
        current->refusal = error {reason::Overloaded,
                                  "clients make this entry hold too much; retry at another one",
                                  execution::NotRun, processNow() + BudgetRetryTime};
    }
    return MHD_YES;
}

MHD_Result rpc_server::implementation::handleRequest(MHD_Connection *connection,
                                                     const std::string &url,
                                                     const std::string &method,
                                                     const std::shared_ptr<exchange> &current)
{
    {
        const absl::MutexLock lock(&current->mutex);
        if (current->answered) {
            connections->beginAnswer(connection, current->answer.body.size());
            const MHD_Result queued = respond(connection, current->answer);
            std::string().swap(current->answer.body); // the response has a copy
            return queued;
        }
    }
    if (current->dispatched)
        return MHD_YES;
    current->dispatched = true;
    if (method == MHD_HTTP_METHOD_GET) {
        const auto page = pages.find(url);
        return respond(connection,
                       page != pages.end() ? page->second() : http_page {404, "text/plain", ""});
    }
    if (current->refusal) {
        http_page page = refusalPage(*current->refusal, encodingOf(connection));
        if (current->refusal->why != reason::Overloaded)
            return respond(connection, page);
        page.status = MHD_HTTP_SERVICE_UNAVAILABLE;
        return respond(connection, page, BudgetRetryTime);
    }
    return dispatch(connection, current);
}

MHD_Result rpc_server::implementation::onRequest(void *self, MHD_Connection *connection,
                                                 const char *url, const char *method, const char *,
                                                 const char *data, size_t *size, void **state)
{
    auto *server = static_cast<implementation *>(self);
    if (*state == nullptr) {
        *state = new std::shared_ptr<exchange>(std::make_shared<exchange>());
        ++server->active;
        return server->handleHead(connection, url, method,
                                  static_cast<std::shared_ptr<exchange> *>(*state)->get());
    }
    const std::shared_ptr<exchange> current = *static_cast<std::shared_ptr<exchange> *>(*state);
    if (*size != 0) {
        const std::string_view part(data, *size);
        *size = 0;
        return server->handleBody(connection, part, current.get());
    }
    return server->handleRequest(connection, url, method, current);
}

void rpc_server::implementation::onCompleted(void *self, MHD_Connection *connection, void **state,
                                             MHD_RequestTerminationCode)
{
    auto *server = static_cast<implementation *>(self);
    auto *current = static_cast<std::shared_ptr<exchange> *>(*state);
    if (current == nullptr)
        return;
    {
        const absl::MutexLock lock(&server->mutex);
        server->pending.erase(*current);
    }
    server->connections->endRequest(connection);
    delete current;
    *state = nullptr;
    --server->active;
}

void rpc_server::implementation::onConnection(void *self, MHD_Connection *connection, void **,
                                              MHD_ConnectionNotificationCode code)
{
    auto *server = static_cast<implementation *>(self);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED)
        return server->connections->remove(connection);
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    server->connections->add(connection, info->connect_fd, addressOf(connection));
}

rpc_server::rpc_server(rpc_server_options options, counter_registry *counters)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->options = std::move(options);
    m_implementation->counters = counters;
    m_implementation->connections = std::make_unique<rpc_connections>(
        m_implementation->options.maxConnections, m_implementation->options.budget, counters);
}

rpc_server::~rpc_server()
{
    stop(absl::InfinitePast());
}

void rpc_server::add(rpc_method method)
{
    m_implementation->methods[method.path] = std::move(method);
}

void rpc_server::addPage(std::string path, std::function<http_page()> page)
{
    m_implementation->pages[std::move(path)] = std::move(page);
}

result<void> rpc_server::start()
{
    const rpc_server_options &options = m_implementation->options;
    sockaddr_in v4 {};
    sockaddr_in6 v6 {};
    const sockaddr *listenAddress = nullptr;
    // Not MHD_USE_EPOLL: MHD_quiesce_daemon and a polling thread may then both remove the listening
    // socket from the epoll set, and libmicrohttpd aborts the process when the second one fails.
    unsigned flags
        = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
    if (inet_pton(AF_INET, options.listen.host.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(options.listen.port);
        listenAddress = reinterpret_cast<const sockaddr *>(&v4);
    } else if (inet_pton(AF_INET6, options.listen.host.c_str(), &v6.sin6_addr) == 1) {
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(options.listen.port);
        listenAddress = reinterpret_cast<const sockaddr *>(&v6);
        flags |= MHD_USE_IPv6;
    } else {
        return fail(reason::InvalidArgument,
                    absl::StrFormat("%s is not a numeric IP address; name one of this machine",
                                    options.listen.host));
    }
    m_implementation->daemon = MHD_start_daemon(
        flags, options.listen.port, nullptr, nullptr, &implementation::onRequest,
        m_implementation.get(), MHD_OPTION_SOCK_ADDR, listenAddress, MHD_OPTION_THREAD_POOL_SIZE,
        options.threads, MHD_OPTION_CONNECTION_LIMIT, options.maxConnections,
        MHD_OPTION_CONNECTION_TIMEOUT, options.idleSeconds, MHD_OPTION_NOTIFY_COMPLETED,
        &implementation::onCompleted, m_implementation.get(), MHD_OPTION_NOTIFY_CONNECTION,
        &implementation::onConnection, m_implementation.get(), MHD_OPTION_END);
    if (m_implementation->daemon == nullptr) {
        return fail(reason::InvalidArgument,
                    absl::StrFormat("cannot listen on %s:%d; choose a free port of this machine",
                                    options.listen.host, options.listen.port));
    }
    return {};
}

void rpc_server::stop(absl::Time deadline)
{
    implementation &server = *m_implementation;
    if (server.daemon == nullptr)
        return;
    const MHD_socket listener = MHD_quiesce_daemon(server.daemon);
    while (inFlight() > 0 && processNow() < deadline)
        absl::SleepFor(absl::Milliseconds(10));
    std::vector<std::pair<std::shared_ptr<exchange>, body_encoding>> unanswered;
    {
        const absl::MutexLock lock(&server.mutex);
        server.stopping = true;
        for (const auto &[current, connectionAndEncoding] : server.pending)
            unanswered.emplace_back(current, connectionAndEncoding.second);
    }
    for (const auto &[current, encoding] : unanswered) {
        server.finish(current,
                      errorPage({reason::Leaving,
                                 "this entry stopped before the answer came; ask another entry",
                                 execution::Unknown, processNow()},
                                encoding));
    }
    for (int i = 0; i < 50 && inFlight() > 0; ++i)
        absl::SleepFor(absl::Milliseconds(10)); // at most 500 ms in all, to send the answers
    MHD_stop_daemon(server.daemon);
    server.daemon = nullptr;
    if (listener != MHD_INVALID_SOCKET)
        close(listener);
}

std::uint16_t rpc_server::port() const
{
    const MHD_DaemonInfo *info
        = MHD_get_daemon_info(m_implementation->daemon, MHD_DAEMON_INFO_BIND_PORT);
    return info == nullptr ? 0 : info->port;
}

std::size_t rpc_server::inFlight() const
{
    return m_implementation->active;
}

} // namespace hyssoppond
