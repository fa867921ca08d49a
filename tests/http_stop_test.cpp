/// @file Test of the end of an HTTP server under load.
#include "hyssoppond/loop/http_server_base.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace hyssoppond {
namespace {

/// Connects to the local `port` and sends `text`.
int sendTo(std::uint16_t port, const std::string &text)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
    EXPECT_EQ(send(descriptor, text.data(), text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(text.size()));
    return descriptor;
}

std::uint16_t freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    EXPECT_EQ(bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
    EXPECT_EQ(getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size), 0);
    close(descriptor);
    return ntohs(address.sin_port);
}

// Guards against a process that aborts at its stop, because requests that arrived meanwhile were
// passed to the handler and their connections were suspended when libmicrohttpd stopped.
TEST(http_stop_test, requestsThatArriveDuringTheStopDoNotRun)
{
    event_loop loop;
    http_server_options options;
    options.host = "127.0.0.1";
    options.port = freePort();
    std::vector<http_responder> unanswered;
    auto server = std::make_unique<http_server>(
        &loop, options, [&](const http_request & /*request*/, const http_responder &respond) {
            unanswered.push_back(respond);
            loop.stop();
        });
    const std::string request = "GET /path HTTP/1.1\r\nHost: host\r\n\r\n";
    const int pipelined = sendTo(options.port, request + request);
    loop.callAt(event_loop::steadyNow() + absl::Seconds(20), [&loop] { loop.stop(); });
    loop.run();
    ASSERT_EQ(unanswered.size(), 1U);
    const int late = sendTo(options.port, request);
    server.reset();
    EXPECT_EQ(unanswered.size(), 1U);
    close(pipelined);
    close(late);
}

} // namespace
} // namespace hyssoppond
