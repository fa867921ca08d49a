/// @file HTTP server on libmicrohttpd that runs inside an event loop.
#pragma once

#include "hyssoppond/base/client_budget_base.h"
#include "hyssoppond/loop/event_loop_base.h"
#include "hyssoppond/loop/http_limit_type.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
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
    std::string body;       ///< only of POST and PUT
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
    client_listener listener = client_listener::Front; ///< share of the budget
    /// Budget for connections, bodies and unread answers; must outlive the server. nullptr: none.
    client_budget *budget = nullptr;
    /// Size of a usual answer, charged before the request runs.
    std::size_t expectedAnswerBytes = 512;
    /// See connection_table_options::stallTime.
    absl::Duration stallTime = absl::Seconds(2);
    /// The answer to a request that is refused by its head, before its body is read. Not called for
    /// requests that the server refuses itself.
    std::function<std::optional<http_response>(const http_request &head)> refuseHead;
    /// Called when a limit has an effect on a client.
    std::function<void(http_limit, const std::string &address)> onLimit;
};

/// Accepts connections and passes complete requests to a handler. Answers 413 to a request whose
/// body is too large and 503 to one for which the budget is short; the handler is not called for
/// them. Not thread-safe.
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
