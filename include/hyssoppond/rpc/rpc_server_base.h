/// @file HTTP server of the remote procedure calls, on libmicrohttpd.
#pragma once

#include "hyssoppond/base/counters_base.h"
#include "hyssoppond/base/error_type.h"
#include "hyssoppond/world/machine_type.h"

#include <google/protobuf/message.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hyssoppond {

class client_budget;

/// Function that sends the answer of a procedure: the response message or a typed error.
using rpc_reply = std::function<void(result<std::unique_ptr<google::protobuf::Message>>)>;

/// Path and handler of one remote procedure.
struct rpc_method
{
    std::string path; ///< "/hyssoppond.v1.<Service>/<Method>"
    std::function<std::unique_ptr<google::protobuf::Message>()> newRequest;
    /// Handles one request on a server thread and must not block. The reply may be called later and
    /// on any thread.
    std::function<void(const google::protobuf::Message &, rpc_reply)> handle;
};

/// Builds an rpc_method from a handler with typed messages.
template<class request, class response>
rpc_method makeMethod(
    std::string path,
    std::function<void(const request &, std::function<void(result<response>)>)> handler)
{
    return {std::move(path), [] { return std::make_unique<request>(); },
            [handler = std::move(handler)](const google::protobuf::Message &message,
                                           const rpc_reply &reply) {
                handler(static_cast<const request &>(message), [reply](result<response> answer) {
                    if (!answer)
                        reply(tl::unexpected<error>(std::move(answer.error())));
                    else
                        reply(std::make_unique<response>(std::move(*answer)));
                });
            }};
}

/// HTTP answer with its status, content type and body.
struct http_page
{
    int status = 200;
    std::string contentType = "text/plain; charset=utf-8";
    std::string body;
};

/// Address and limits of the server.
struct rpc_server_options
{
    address listen; ///< port 0: any free port
    std::size_t maxBodyBytes = 2 * 1024 * 1024;
    unsigned maxConnections = 1000;
    unsigned threads = 4;
    unsigned idleSeconds = 60; ///< idle time in s after which a connection is closed
    /// Accounts for what clients make the server hold; null: without a limit of the total. Must
    /// outlive the server.
    client_budget *budget = nullptr;
};

/// Serves procedures to POST and pages to GET. They are added before start().
class rpc_server
{
public:
    rpc_server(rpc_server_options options, counter_registry *counters);
    ~rpc_server();
    rpc_server(const rpc_server &) = delete;
    rpc_server &operator=(const rpc_server &) = delete;

    void add(rpc_method method);
    void addPage(std::string path, std::function<http_page()> page);
    /// Starts to listen. Error: reason::InvalidArgument if the host is not a numeric IP address or
    /// the address cannot be bound.
    result<void> start();
    /// Stops accepting connections, waits for requests in flight until `deadline`, then answers
    /// the remaining requests with reason::Leaving and execution::Unknown, and closes.
    void stop(absl::Time deadline);
    /// Returns the port on which the server listens, 0 if it is unknown. Call only after start().
    std::uint16_t port() const;
    /// Returns the number of requests whose answer is not completely sent yet.
    std::size_t inFlight() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Returns the HTTP status code for an error.
int httpStatusOf(const error &problem);

} // namespace hyssoppond
