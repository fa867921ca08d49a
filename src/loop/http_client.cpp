/// @file Implementation of the HTTP client on curl's multi interface.
#include "hyssoppond/loop/http_client_base.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>

namespace hyssoppond {

namespace {

/// A connection is closed if sent data stays unacknowledged for this time in milliseconds. A peer
/// that lost power sends no reset, so a connection to it would hang.
constexpr int UnacknowledgedTimeoutMs = 4'000;

/// Limit of curl handles kept for reuse.
constexpr std::size_t MaxIdleHandles = 8;

/// Upper bound of the connect timeout in milliseconds. It allows for one lost packet, which is sent
/// again after 1 s.
constexpr std::int64_t MaxConnectTimeoutMs = 1'500;

/// A call that curl has not ended this long after its deadline is ended here.
constexpr absl::Duration DeadlineTolerance = absl::Milliseconds(50);

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *body)
{
    static_cast<std::string *>(body)->append(data, size * count);
    return size * count;
}

/// The part of a URL that names the server: scheme, host and port.
std::string serverOf(const std::string &url)
{
    return url.substr(0, url.find('/', url.find("://") + 3));
}

int setSocketOptions(void * /*context*/, curl_socket_t socket, curlsocktype /*purpose*/)
{
    const int timeout = UnacknowledgedTimeoutMs;
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
    return CURL_SOCKOPT_OK;
}

} // namespace

struct http_client::transfer
{
    http_call call;
    std::size_t sentBytes = 0; ///< of the call's body
    http_reply reply;
    std::function<void(http_reply)> done;
    curl_slist *headers = nullptr;

    ~transfer() { curl_slist_free_all(headers); }

    /// Gives curl the next part of the call's body.
    static std::size_t readBody(char *data, std::size_t size, std::size_t count, void *self)
    {
        auto *current = static_cast<transfer *>(self);
        const std::size_t length = current->call.body.copy(data, size * count, current->sentBytes);
        current->sentBytes += length;
        return length;
    }
};

http_client::http_client(event_loop *loop)
    : m_loop(loop)
    , m_multi(curl_multi_init())
{
    if (m_multi == nullptr)
        throw std::runtime_error("curl_multi_init failed; check the memory limit");
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &http_client::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &http_client::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

http_client::~http_client()
{
    for (auto &[easy, current] : m_transfers) {
        curl_multi_remove_handle(m_multi, easy);
        curl_easy_cleanup(easy);
    }
    for (CURL *easy : m_idleHandles)
        curl_easy_cleanup(easy);
    m_loop->cancel(m_timer);
    curl_multi_cleanup(m_multi);
}

void http_client::send(const http_call &call, std::function<void(http_reply)> done)
{
    CURL *easy = nullptr;
    if (m_idleHandles.empty()) {
        easy = curl_easy_init();
    } else {
        easy = m_idleHandles.back();
        m_idleHandles.pop_back();
        curl_easy_reset(easy);
    }
    auto current = std::make_unique<transfer>();
    current->call = call;
    current->done = std::move(done);
    for (const std::string &header : call.headers)
        current->headers = curl_slist_append(current->headers, header.c_str());
    // An empty "Expect:" keeps curl from waiting a second for "100 Continue" before a larger body.
    current->headers = curl_slist_append(current->headers, "Expect:");
    if (!call.contentType.empty())
        current->headers
            = curl_slist_append(current->headers, ("Content-Type: " + call.contentType).c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, current->headers);
    curl_easy_setopt(easy, CURLOPT_URL, current->call.url.c_str());
    if (call.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        // When a kept connection breaks, curl sends the request again by itself, unless that needs
        // a body that it cannot rewind. The server may still carry out the first copy, whatever it
        // answers to the second one.
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, &transfer::readBody);
        curl_easy_setopt(easy, CURLOPT_READDATA, current.get());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(current->call.body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &current->reply.body);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &setSocketOptions);
    if (call.freshConnection)
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    avoidSilentConnections(easy, call);
    const std::int64_t remainingMs = std::max<std::int64_t>(
        1, absl::ToInt64Milliseconds(call.deadline - event_loop::steadyNow()));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(remainingMs));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(std::min(remainingMs, MaxConnectTimeoutMs)));
    m_transfers[easy] = std::move(current);
    curl_multi_add_handle(m_multi, easy);
}

void http_client::avoidSilentConnections(CURL *easy, const http_call &call) const
{
    const auto silent = m_silentAt.find(serverOf(call.url));
    if (silent == m_silentAt.end())
        return;
    // Curl closes kept connections whose age in whole seconds exceeds this.
    const std::int64_t seconds = absl::ToInt64Seconds(event_loop::steadyNow() - silent->second) - 1;
    if (seconds < 1)
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    else
        curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN, static_cast<long>(seconds));
}

int http_client::onSocket(CURL * /*easy*/, curl_socket_t socket, int pollAction, void *self,
                          void * /*socketData*/)
{
    auto *client = static_cast<http_client *>(self);
    if (pollAction == CURL_POLL_REMOVE) {
        client->m_loop->unwatch(socket);
        return 0;
    }
    std::uint32_t events = 0;
    if ((pollAction & CURL_POLL_IN) != 0)
        events |= EPOLLIN;
    if ((pollAction & CURL_POLL_OUT) != 0)
        events |= EPOLLOUT;
    client->m_loop->watch(socket, events, [client, socket](std::uint32_t ready) {
        int flags = 0;
        if ((ready & (EPOLLIN | EPOLLHUP)) != 0)
            flags |= CURL_CSELECT_IN;
        if ((ready & EPOLLOUT) != 0)
            flags |= CURL_CSELECT_OUT;
        if ((ready & EPOLLERR) != 0)
            flags |= CURL_CSELECT_ERR;
        client->socketAction(socket, flags);
    });
    return 0;
}

int http_client::onTimer(CURLM * /*multi*/, long timeoutMs, void *self)
{
    auto *client = static_cast<http_client *>(self);
    client->m_loop->cancel(client->m_timer);
    client->m_timer = 0;
    if (timeoutMs >= 0) {
        client->m_timer = client->m_loop->callAt(
            event_loop::steadyNow() + absl::Milliseconds(timeoutMs), [client] {
                client->socketAction(CURL_SOCKET_TIMEOUT, 0);
                client->endOverdueTransfers();
            });
    }
    return 0;
}

void http_client::socketAction(curl_socket_t socket, int events)
{
    int runningTransfers = 0;
    curl_multi_socket_action(m_multi, socket, events, &runningTransfers);
    completeTransfers();
}

void http_client::completeTransfers()
{
    int queuedMessages = 0;
    while (CURLMsg *message = curl_multi_info_read(m_multi, &queuedMessages)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        finish(message->easy_handle, message->data.result);
    }
}

void http_client::endOverdueTransfers()
{
    const absl::Time latest = event_loop::steadyNow() - DeadlineTolerance;
    std::vector<CURL *> overdue;
    for (const auto &[easy, current] : m_transfers) {
        if (current->call.deadline < latest)
            overdue.push_back(easy);
    }
    for (CURL *easy : overdue)
        finish(easy, CURLE_OPERATION_TIMEDOUT);
}

void http_client::finish(CURL *easy, CURLcode code)
{
    const auto found = m_transfers.find(easy);
    if (found == m_transfers.end())
        return;
    const std::unique_ptr<transfer> current = std::move(found->second);
    m_transfers.erase(found);
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        current->reply.status = static_cast<int>(status);
    } else {
        curl_off_t preTransferTime = 0;
        curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &preTransferTime);
        // Curl may have tried to connect once more after the connection of the call broke.
        const bool nothingSent = current->sentBytes == 0;
        current->reply.unsent = preTransferTime == 0 && nothingSent;
        long systemError = 0;
        curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &systemError);
        current->reply.refused
            = current->reply.unsent && code == CURLE_COULDNT_CONNECT && systemError == ECONNREFUSED;
        current->reply.problem = curl_easy_strerror(code);
        if (code == CURLE_OPERATION_TIMEDOUT && !current->reply.unsent)
            m_silentAt[serverOf(current->call.url)] = event_loop::steadyNow();
    }
    curl_multi_remove_handle(m_multi, easy);
    if (m_idleHandles.size() < MaxIdleHandles)
        m_idleHandles.push_back(easy);
    else
        curl_easy_cleanup(easy);
    current->done(std::move(current->reply));
}

} // namespace hyssoppond
