/// @file Implementation of the server of the remote procedure calls.
#include "hyssoppond/rpc/rpc_server_base.h"

#include "hyssoppond/base/process_clock_base.h"

#include "rpc_codec_func.h"

#include <absl/strings/match.h>
#include <absl/strings/str_format.h>
#include <absl/synchronization/mutex.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <atomic>

namespace hyssoppond {

namespace {

/// State of one HTTP request from its first header to the end of its answer.
struct exchange
{
    std::string body;
    bool tooLarge = false;
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

} // namespace

struct rpc_server::implementation
{
    rpc_server_options options;
    counter_registry *counters;
    std::map<std::string, rpc_method> methods;
    std::map<std::string, std::function<http_page()>> pages;
    MHD_Daemon *daemon = nullptr;
    /// Number of requests whose first header has arrived and whose answer is not completely sent.
    std::atomic<std::size_t> active {0};
    mutable absl::Mutex mutex;
    /// Procedure calls without an answer yet, with their suspended connection and the encoding of
    /// the answer.
    std::map<std::shared_ptr<exchange>, std::pair<MHD_Connection *, body_encoding>> pending
        ABSL_GUARDED_BY(mutex);

    /// Called by libmicrohttpd for the headers, for each part of the body, after the body, and when
    /// a suspended connection is resumed.
    static MHD_Result onRequest(void *self, MHD_Connection *connection, const char *url,
                                const char *method, const char *version, const char *data,
                                size_t *size, void **state);
    /// Called by libmicrohttpd after a request, whether it was answered or its connection was lost.
    static void onCompleted(void *self, MHD_Connection *connection, void **state,
                            MHD_RequestTerminationCode code);

    /// Handles a request whose body is complete. Sends the answer if there is one already.
    MHD_Result handleRequest(MHD_Connection *connection, const std::string &url,
                             const std::string &method, const std::shared_ptr<exchange> &current);
    /// Suspends the connection and passes the request to its procedure.
    void dispatch(MHD_Connection *connection, const std::string &url,
                  const std::shared_ptr<exchange> &current);
    /// Sets the answer and resumes the connection. Does nothing if the request has an answer or its
    /// connection was lost.
    void finish(const std::shared_ptr<exchange> &current, http_page page);
    result<const rpc_method *> findMethod(const std::string &url) const;
    static MHD_Result respond(MHD_Connection *connection, const http_page &page);
    /// Counts a refusal and returns its page.
    http_page refusalPage(const error &problem, body_encoding encoding) const;
};

http_page rpc_server::implementation::refusalPage(const error &problem,
                                                  body_encoding encoding) const
{
    counters->count(disposition::Refused, problem.why);
    return errorPage(problem, encoding);
}

MHD_Result rpc_server::implementation::respond(MHD_Connection *connection, const http_page &page)
{
    MHD_Response *response = MHD_create_response_from_buffer(
        page.body.size(), const_cast<char *>(page.body.data()), MHD_RESPMEM_MUST_COPY);
    if (response == nullptr)
        return MHD_NO;
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, page.contentType.c_str());
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

void rpc_server::implementation::dispatch(MHD_Connection *connection, const std::string &url,
                                          const std::shared_ptr<exchange> &current)
{
    const char *type
        = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_TYPE);
    const auto encoding = type != nullptr && absl::StartsWith(type, "application/x-protobuf")
        ? body_encoding::Binary
        : body_encoding::Json;
    {
        const absl::MutexLock lock(&mutex);
        pending[current] = {connection, encoding};
    }
    MHD_suspend_connection(connection);
    const auto method = findMethod(url);
    if (!method)
        return finish(current, refusalPage(method.error(), encoding));
    const auto request = (*method)->newRequest();
    const auto decoded = decodeBody(current->body, encoding, request.get());
    if (!decoded)
        return finish(current, refusalPage(decoded.error(), encoding));
    (*method)->handle(*request, [this, current, encoding](auto answer) {
        if (!answer)
            finish(current, refusalPage(answer.error(), encoding));
        else
            finish(current, {200, contentTypeOf(encoding), encodeBody(**answer, encoding)});
    });
}

MHD_Result rpc_server::implementation::handleRequest(MHD_Connection *connection,
                                                     const std::string &url,
                                                     const std::string &method,
                                                     const std::shared_ptr<exchange> &current)
{
    {
        const absl::MutexLock lock(&current->mutex);
        if (current->answered)
            return respond(connection, current->answer);
    }
    if (current->dispatched)
        return MHD_YES;
    current->dispatched = true;
    if (method == MHD_HTTP_METHOD_GET) {
        const auto page = pages.find(url);
        return respond(connection,
                       page != pages.end() ? page->second() : http_page {404, "text/plain", ""});
    }
    if (method != MHD_HTTP_METHOD_POST) {
        return respond(
            connection,
            refusalPage({reason::MalformedRequest,
                         "the HTTP method is neither GET nor POST; use POST for procedures"},
                        body_encoding::Json));
    }
    if (current->tooLarge) {
        const error problem {
            reason::BodyTooLarge,
            absl::StrFormat("body is larger than %d bytes; send less", options.maxBodyBytes)};
        return respond(connection, refusalPage(problem, body_encoding::Json));
    }
    dispatch(connection, url, current);
    return MHD_YES;
}

MHD_Result rpc_server::implementation::onRequest(void *self, MHD_Connection *connection,
                                                 const char *url, const char *method, const char *,
                                                 const char *data, size_t *size, void **state)
{
    auto *server = static_cast<implementation *>(self);
    if (*state == nullptr) {
        *state = new std::shared_ptr<exchange>(std::make_shared<exchange>());
        ++server->active;
        return MHD_YES;
    }
    const std::shared_ptr<exchange> current = *static_cast<std::shared_ptr<exchange> *>(*state);
    if (*size != 0) {
        if (current->body.size() + *size > server->options.maxBodyBytes)
            current->tooLarge = true;
        else
            current->body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    return server->handleRequest(connection, url, method, current);
}

void rpc_server::implementation::onCompleted(void *self, MHD_Connection *, void **state,
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
    delete current;
    *state = nullptr;
    --server->active;
}

rpc_server::rpc_server(rpc_server_options options, counter_registry *counters)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->options = std::move(options);
    m_implementation->counters = counters;
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
        &implementation::onCompleted, m_implementation.get(), MHD_OPTION_END);
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
