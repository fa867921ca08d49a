/// @file Tests of the event loop with its HTTP client, HTTP server and datagrams on loopback.
#include "hyssoppond/loop/datagram_socket_base.h"
#include "hyssoppond/loop/http_client_base.h"
#include "hyssoppond/loop/http_server_base.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hyssoppond {
namespace {

/// A port of loopback that was free a moment ago.
std::uint16_t freePort(int type)
{
    const int descriptor = socket(AF_INET, type, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    close(descriptor);
    return ntohs(address.sin_port);
}

class loop_test : public testing::Test
{
protected:
    loop_test()
    {
        // Bounds the test if an answer never comes.
        m_loop.callAt(event_loop::steadyNow() + absl::Seconds(20), [this] { m_loop.stop(); });
    }

    std::unique_ptr<http_server> serve(http_server::handler handle)
    {
        m_options.host = "127.0.0.1";
        m_options.port = freePort(SOCK_STREAM);
        m_options.maxBodyBytes = 100;
        return std::make_unique<http_server>(&m_loop, m_options, std::move(handle));
    }

    http_call callTo(const std::string &body) const
    {
        http_call call;
        call.method = "POST";
        call.url = "http://127.0.0.1:" + std::to_string(m_options.port) + "/path";
        call.body = body;
        call.deadline = event_loop::steadyNow() + absl::Seconds(10);
        return call;
    }

    event_loop m_loop;
    http_server_options m_options;
};

// Guards against timers that fire out of order or after they were cancelled.
TEST_F(loop_test, timersFireInOrderUnlessCancelled)
{
    std::string fired;
    const absl::Time now = event_loop::steadyNow();
    m_loop.callAt(now + absl::Milliseconds(20), [&] {
        fired += "b";
        m_loop.stop();
    });
    m_loop.callAt(now + absl::Milliseconds(5), [&] { fired += "a"; });
    m_loop.cancel(m_loop.callAt(now + absl::Milliseconds(10), [&] { fired += "x"; }));
    m_loop.run();
    EXPECT_EQ(fired, "ab");
}

// Guards against an answer that is given later and never sent.
TEST_F(loop_test, answersThatComeLaterAreSent)
{
    const auto server = serve([this](const http_request &request, const http_responder &respond) {
        m_loop.callAt(event_loop::steadyNow() + absl::Milliseconds(10), [respond, request] {
            http_response response;
            response.body = request.body + "!";
            respond(response);
        });
    });
    http_client client(&m_loop);
    http_reply reply;
    client.send(callTo("hello"), [&](http_reply answer) {
        reply = std::move(answer);
        m_loop.stop();
    });
    m_loop.run();
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body, "hello!");
}

// Guards against a body over the limit that is kept in memory.
TEST_F(loop_test, bodiesOverTheLimitAreNotKept)
{
    const auto server = serve([](const http_request &request, const http_responder &respond) {
        http_response response;
        response.status = request.tooLarge && request.body.size() <= 100 ? 413 : 200;
        respond(response);
    });
    http_client client(&m_loop);
    int status = 0;
    client.send(callTo(std::string(100'000, 'x')), [&](const http_reply &answer) {
        status = answer.status;
        m_loop.stop();
    });
    m_loop.run();
    EXPECT_EQ(status, 413);
}

// Guards against "may have been done" for a call that reached nobody, and the other way round.
TEST_F(loop_test, tellsUnsentCallsFromUnansweredOnes)
{
    auto server = serve([](const http_request &, const http_responder &) { /* never answers */ });
    http_client client(&m_loop);
    http_call silent = callTo("x");
    silent.deadline = event_loop::steadyNow() + absl::Milliseconds(300);
    http_call refused = callTo("x");
    refused.url = "http://127.0.0.1:" + std::to_string(freePort(SOCK_STREAM)) + "/";
    http_reply first;
    http_reply second;
    client.send(refused, [&](http_reply answer) { first = std::move(answer); });
    client.send(silent, [&](http_reply answer) {
        second = std::move(answer);
        m_loop.stop();
    });
    m_loop.run();
    EXPECT_EQ(first.status, 0);
    EXPECT_TRUE(first.unsent);
    EXPECT_EQ(second.status, 0);
    EXPECT_FALSE(second.unsent);
    // A server that stops while a call is open must not abort the process (hunt-d6b2-39).
    server.reset();
}

// Guards against wake-up messages that do not arrive.
TEST_F(loop_test, datagramsArrive)
{
    const std::uint16_t port = freePort(SOCK_DGRAM);
    std::string received;
    const datagram_socket receiver(&m_loop, "127.0.0.1", port, [&](const std::string &content) {
        received = content;
        m_loop.stop();
    });
    const datagram_socket sender(&m_loop, "127.0.0.1", freePort(SOCK_DGRAM),
                                 [](const std::string &) {});
    EXPECT_TRUE(sender.send("127.0.0.1", port, "wake"));
    EXPECT_FALSE(sender.send("no address", port, "wake"));
    m_loop.run();
    EXPECT_EQ(received, "wake");
}

} // namespace
} // namespace hyssoppond
