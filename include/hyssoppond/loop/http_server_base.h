/// @file HTTP server on libmicrohttpd that runs inside an event loop.
#pragma once

#include "hyssoppond/loop/event_loop_base.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hyssoppond {

/// A complete request.
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query; ///< decoded arguments of the query string
    std::string host;
    std::string authorization;
    std::string deadlineMs; ///< value of the header that the options name; empty if absent
    std::string body;
    bool tooLarge = false; ///< the body exceeds the limit, and `body` is incomplete
};

/// The answer to a request.
struct http_response
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Sends the answer; only the first call has an effect.
using http_responder = std::function<void(http_response)>;

struct http_server_options
{
    std::string host;
    std::uint16_t port = 0;
    std::string deadlineHeader; ///< request header with the time that the caller waits, in ms
    std::size_t maxBodyBytes = 262'144;
    unsigned maxConnections = 1'000;
    unsigned idleTimeoutSeconds = 60;
};

/// Accepts connections and passes complete requests to a handler. Not thread-safe.
class http_server
{
public:
    using handler = std::function<void(const http_request &, http_responder)>;

    /// Throws std::runtime_error if the server cannot listen on the address.
    http_server(event_loop *loop, const http_server_options &options, handler handle);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Number of requests between their first header and the end of their answer.
    std::size_t active() const;
    /// Sends "Connection: close" with each further answer, so that clients stop reusing their
    /// connections.
    void closeAfterAnswers();
    /// Stops accepting new connections.
    void stopAccepting();

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace hyssoppond
