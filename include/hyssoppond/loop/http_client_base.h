/// @file HTTP client on libcurl that runs inside an event loop.
#pragma once

#include "hyssoppond/loop/event_loop_base.h"

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hyssoppond {

/// A request to one server.
struct http_call
{
    std::string method = "GET"; ///< any other method is sent as POST
    std::string url;
    std::string body;
    std::string contentType;
    std::vector<std::string> headers; ///< "Name: value"
    absl::Time deadline;              ///< on the steady clock; the call fails when it passes
    bool freshConnection = false;     ///< open a new connection, as a kept one may no longer answer
};

/// The response to a call, or why there is none.
struct http_reply
{
    int status = 0;       ///< 0: no complete answer
    bool unsent = false;  ///< no connection was made, so the server has not seen the request
    bool refused = false; ///< unsent, as the server's machine refused the connection: nobody
                          ///< listens there
    std::string body;
    std::string problem; ///< why there is no answer
};

/// Sends requests over kept connections. A connection whose call failed is closed, because an open
/// connection can stop answering for good while new ones work. After a call without an answer no
/// connection to that server is used again that was open before. Not thread-safe.
class http_client
{
public:
    explicit http_client(event_loop *loop);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Sends `call`; `done` is called exactly once, from the loop, unless the client is destroyed
    /// first.
    void send(const http_call &call, std::function<void(http_reply)> done);

private:
    struct transfer;

    static int onSocket(CURL *easy, curl_socket_t socket, int pollAction, void *self,
                        void *socketData);
    static int onTimer(CURLM *multi, long timeoutMs, void *self);
    /// Lets curl handle `events` on `socket`, then completes the finished transfers.
    void socketAction(curl_socket_t socket, int events);
    void completeTransfers();
    /// Ends the transfers whose deadline has passed. Curl does so by a clock that stands still
    /// while the machine is suspended.
    void endOverdueTransfers();
    void finish(CURL *easy, CURLcode code);
    /// Keeps the call away from connections that were open when a call to the same server got no
    /// answer.
    void avoidSilentConnections(CURL *easy, const http_call &call) const;

    event_loop *m_loop;
    CURLM *m_multi;
    timer_id m_timer = 0;
    std::map<CURL *, std::unique_ptr<transfer>> m_transfers;
    std::vector<CURL *> m_idleHandles; ///< handles kept for reuse
    /// When a call last got no answer, by server.
    std::map<std::string, absl::Time> m_silentAt;
};

} // namespace hyssoppond
