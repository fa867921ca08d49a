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

/// Answer of a procedure: the response message or a typed error.
using rpc_reply = std::function<void(result<std::unique_ptr<google::protobuf::Message>>)>;

/// One remote procedure.
struct rpc_method
{
    std::string path; ///< "/hyssoppond.v1.<Service>/<Method>"
    std::function<std::unique_ptr<google::protobuf::Message>()> newRequest;
    /// Handles one request on a server thread; must not block. The reply may come on any thread.
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

/// A plain page answered to GET.
struct http_page
{
    int status = 200;
    std::string contentType = "text/plain; charset=utf-8";
    std::string body;
};

/// Limits of the server.
struct rpc_server_options
{
    address listen; ///< port 0: any free port
    std::size_t maxBodyBytes = 2 * 1024 * 1024;
    unsigned maxConnections = 1000;
    unsigned threads = 4;
    unsigned idleSeconds = 60; ///< an idle connection is closed after this time
};

/// Serves procedures and pages. Methods and pages are added before start().
class rpc_server
{
public:
    rpc_server(rpc_server_options options, counter_registry *counters);
    ~rpc_server();
    rpc_server(const rpc_server &) = delete;
    rpc_server &operator=(const rpc_server &) = delete;

    void add(rpc_method method);
    void addPage(std::string path, std::function<http_page()> page);
    /// Begins to listen. Error: the address cannot be bound.
    result<void> start();
    /// Stops accepting connections, waits for requests in flight until `deadline`, then answers
    /// what is left with reason::Leaving and execution::Unknown, and closes.
    void stop(absl::Time deadline);
    /// Port in use after start().
    std::uint16_t port() const;
    /// Requests whose answer is not completely on the wire yet.
    std::size_t inFlight() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// HTTP status for an error.
int httpStatusOf(const error &problem);

} // namespace hyssoppond
