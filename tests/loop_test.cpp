/// @file Tests of the event loop with its HTTP client, HTTP server and datagrams on loopback.
#include "hyssoppond/loop/datagram_socket_base.h"
#include "hyssoppond/loop/http_client_base.h"
#include "hyssoppond/loop/http_server_base.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <ctime>
#include <thread>

namespace {

/// Time for which the machine of the test seems to have been suspended.
absl::Duration simulatedSuspension;

} // namespace

/// Replaces the function of the C library in this program, as a test cannot suspend its machine. Of
/// the clocks that start at boot only CLOCK_BOOTTIME counts suspended time.
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    if (syscall(SYS_clock_gettime, clock, time) != 0)
        return -1;
    if (clock == CLOCK_BOOTTIME)
        *time = absl::ToTimespec(absl::DurationFromTimespec(*time) + simulatedSuspension);
    return 0;
}

namespace hyssoppond {
namespace {

/// Returns a loopback port that was free when it was looked up. Another process may take it.
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

/// Server on loopback that answers the first request, takes the second one of the same connection
/// and then closes the connection without an answer.
class closing_server
{
public:
    /// With `refuseLater`, nobody listens any more when the connection is closed.
    explicit closing_server(bool refuseLater)
        : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        EXPECT_EQ(bind(m_listener, reinterpret_cast<sockaddr *>(&address), size), 0);
        EXPECT_EQ(listen(m_listener, 4), 0);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        port = ntohs(address.sin_port);
        m_thread = std::thread([this, refuseLater] { run(refuseLater); });
    }
    ~closing_server() { m_thread.join(); }
    closing_server(const closing_server &) = delete;
    closing_server &operator=(const closing_server &) = delete;

    std::uint16_t port = 0;
    std::atomic<int> requests = 0;

private:
    static bool isReadable(int descriptor)
    {
        pollfd waiting {descriptor, POLLIN, 0};
        return poll(&waiting, 1, 2'000) == 1;
    }

    /// Reads a request whose body ends with "end".
    void takeRequest(int connection)
    {
        std::string text;
        char part[512];
        while (!text.ends_with("end") && isReadable(connection)) {
            const ssize_t length = read(connection, part, sizeof part);
            if (length <= 0)
                return;
            text.append(part, static_cast<std::size_t>(length));
        }
        requests += text.ends_with("end") ? 1 : 0;
    }

    static void answer(int connection, const std::string &status)
    {
        const std::string text = "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
        EXPECT_EQ(write(connection, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    }

    void run(bool refuseLater)
    {
        const int first = accept(m_listener, nullptr, nullptr);
        takeRequest(first);
        answer(first, "200 OK");
        takeRequest(first);
        if (refuseLater)
            close(m_listener);
        close(first);
        if (refuseLater)
            return;
        if (isReadable(m_listener)) {
            const int second = accept(m_listener, nullptr, nullptr);
            takeRequest(second);
            answer(second, "503 Unavailable");
            close(second);
        }
        close(m_listener);
    }

    int m_listener;
    std::thread m_thread;
};

/// Server on loopback whose first two connections answer one request each and then go silent for
/// good. Later connections answer every request. Requests end with "end".
class silent_server
{
public:
    silent_server()
        : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        EXPECT_EQ(bind(m_listener, reinterpret_cast<sockaddr *>(&address), size), 0);
        EXPECT_EQ(listen(m_listener, 4), 0);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        port = ntohs(address.sin_port);
        m_thread = std::thread([this] { run(); });
    }
    ~silent_server()
    {
        m_stop = true;
        m_thread.join();
        for (const pollfd &socketEntry : m_sockets)
            close(socketEntry.fd);
    }
    silent_server(const silent_server &) = delete;
    silent_server &operator=(const silent_server &) = delete;

    std::uint16_t port = 0;

private:
    static constexpr std::size_t SilentConnections = 2;

    void run()
    {
        m_sockets.push_back({m_listener, POLLIN, 0});
        m_answers.push_back(0);
        while (!m_stop) {
            poll(m_sockets.data(), m_sockets.size(), 20);
            for (std::size_t i = 1; i < m_sockets.size(); ++i) {
                if ((m_sockets[i].revents & POLLIN) != 0)
                    serve(i);
            }
            if ((m_sockets[0].revents & POLLIN) != 0) {
                m_sockets.push_back({accept(m_listener, nullptr, nullptr), POLLIN, 0});
                m_answers.push_back(0);
            }
        }
    }

    void serve(std::size_t index)
    {
        char part[512];
        const ssize_t length = read(m_sockets[index].fd, part, sizeof part);
        if (length <= 0) {
            m_sockets[index].events = 0;
            return;
        }
        const bool isWhole
            = std::string_view(part, static_cast<std::size_t>(length)).ends_with("end");
        const bool isSilent = index <= SilentConnections && m_answers[index] > 0;
        if (!isWhole || isSilent)
            return;
        ++m_answers[index];
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        EXPECT_EQ(write(m_sockets[index].fd, text.data(), text.size()),
                  static_cast<ssize_t>(text.size()));
    }

    int m_listener;
    std::atomic<bool> m_stop = false;
    std::vector<pollfd> m_sockets; ///< the first one is the listener
    std::vector<int> m_answers;    ///< requests answered, by socket
    std::thread m_thread;
};

class loop_test : public testing::Test
{
protected:
    loop_test()
    {
        // Ends the test if an answer never arrives.
        m_loop.callAt(event_loop::steadyNow() + absl::Seconds(20), [this] { m_loop.stop(); });
    }

    ~loop_test() override { simulatedSuspension = absl::ZeroDuration(); }

    /// Lets the machine seem to be suspended after `delay`.
    void suspendAfter(absl::Duration delay, absl::Duration duration)
    {
        m_loop.callAt(event_loop::steadyNow() + delay,
                      [duration] { simulatedSuspension += duration; });
    }

    /// Runs the loop until it is stopped and returns how long that took, without suspensions.
    absl::Duration timeToRun()
    {
        const auto startedAt = std::chrono::steady_clock::now();
        m_loop.run();
        return absl::FromChrono(std::chrono::steady_clock::now() - startedAt);
    }

    std::unique_ptr<http_server> serve(http_server::handler handle)
    {
        m_options.host = "127.0.0.1";
        m_options.port = freePort(SOCK_STREAM);
        m_options.maxBodyBytes = 100;
        return std::make_unique<http_server>(&m_loop, m_options, std::move(handle));
    }

    http_call makeCall(const std::string &body) const
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

// Guards against a clock that stands still while the machine is suspended. Leases and keys then
// stay valid for too long.
TEST_F(loop_test, steadyClockCountsSuspendedTime)
{
    constexpr absl::Duration Suspension = absl::Seconds(7);
    const absl::Time before = event_loop::steadyNow();
    const absl::Duration suspendedBefore = event_loop::suspendedTime();
    simulatedSuspension += Suspension;
    EXPECT_GE(event_loop::steadyNow() - before, Suspension);
    EXPECT_GE(event_loop::suspendedTime() - suspendedBefore, Suspension - absl::Milliseconds(1));
}

// Guards against timers that, after a suspension, fire as late as if it had not been.
TEST_F(loop_test, timersFireWhenTheSuspensionInWhichTheyWereDueHasEnded)
{
    std::string fired;
    const absl::Time now = event_loop::steadyNow();
    m_loop.callAt(now + absl::Seconds(11), [&] {
        fired += "c";
        m_loop.stop();
    });
    m_loop.callAt(now + absl::Seconds(10), [&] { fired += "b"; });
    m_loop.callAt(now + absl::Milliseconds(5), [&] { fired += "a"; });
    suspendAfter(absl::Milliseconds(20), absl::Seconds(12));
    EXPECT_LT(timeToRun(), absl::Seconds(5));
    EXPECT_EQ(fired, "abc");
}

// Guards against an answer that is never sent because the handler gives it after it has returned.
TEST_F(loop_test, delayedAnswersAreSent)
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
    client.send(makeCall("hello"), [&](http_reply answer) {
        reply = std::move(answer);
        m_loop.stop();
    });
    m_loop.run();
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body, "hello!");
}

// Guards against keeping a request body that exceeds the limit in memory.
TEST_F(loop_test, bodiesOverTheLimitAreNotKept)
{
    const auto server = serve([](const http_request & /*request*/, const http_responder &respond) {
        ADD_FAILURE() << "the handler was called";
        respond({});
    });
    http_client client(&m_loop);
    int status = 0;
    client.send(makeCall(std::string(100'000, 'x')), [&](const http_reply &answer) {
        status = answer.status;
        m_loop.stop();
    });
    m_loop.run();
    EXPECT_EQ(status, 413);
}

// Guards against reporting a call that no server received as possibly carried out, and a call that
// got no answer as not carried out.
TEST_F(loop_test, unsentCallsDifferFromUnansweredOnes)
{
    auto server = serve([](const http_request &, const http_responder &) { /* never answers */ });
    http_client client(&m_loop);
    http_call silentCall = makeCall("x");
    silentCall.deadline = event_loop::steadyNow() + absl::Milliseconds(300);
    http_call refusedCall = makeCall("x");
    refusedCall.url = "http://127.0.0.1:" + std::to_string(freePort(SOCK_STREAM)) + "/";
    http_reply refusedReply;
    http_reply silentReply;
    client.send(refusedCall, [&](http_reply answer) { refusedReply = std::move(answer); });
    client.send(silentCall, [&](http_reply answer) {
        silentReply = std::move(answer);
        m_loop.stop();
    });
    m_loop.run();
    EXPECT_EQ(refusedReply.status, 0);
    EXPECT_TRUE(refusedReply.unsent);
    EXPECT_TRUE(refusedReply.refused);
    EXPECT_EQ(silentReply.status, 0);
    EXPECT_FALSE(silentReply.unsent);
    // Destroying a server while a call is unanswered must not abort the process (hunt-d6b2-39).
    server.reset();
}

// Guards against calls that fail one after the other although new connections work: several kept
// connections went silent at the same time, and each call tried one of them until its deadline.
TEST_F(loop_test, oneCallWithoutAnswerEndsTheUseOfAllConnectionsBefore)
{
    for (const absl::Duration pause : {absl::Milliseconds(100), absl::Milliseconds(2'300)}) {
        silent_server server;
        m_options.port = server.port;
        http_client client(&m_loop);
        std::vector<int> statuses;
        const auto note = [&](const http_reply &reply) { statuses.push_back(reply.status); };
        client.send(makeCall("first end"), note);
        client.send(makeCall("second end"), [&](const http_reply &reply) {
            note(reply);
            http_call silentCall = makeCall("third end");
            silentCall.deadline = event_loop::steadyNow() + absl::Milliseconds(300);
            client.send(silentCall, [&](const http_reply &silentReply) {
                note(silentReply);
                m_loop.callAt(event_loop::steadyNow() + pause, [&] {
                    http_call later = makeCall("fourth end");
                    later.deadline = event_loop::steadyNow() + absl::Milliseconds(600);
                    client.send(later, [&](const http_reply &laterReply) {
                        note(laterReply);
                        m_loop.stop();
                    });
                });
            });
        });
        m_loop.run();
        EXPECT_EQ(statuses, (std::vector<int> {200, 200, 0, 200}));
    }
}

// Guards against an order that curl repeats by itself when its connection breaks. The answer to the
// second copy, here a refusal, hides that the server may still carry out the first one.
TEST_F(loop_test, callWhoseConnectionBreaksIsNotRepeated)
{
    for (const bool refuseLater : {false, true}) {
        closing_server server(refuseLater);
        m_options.port = server.port;
        http_client client(&m_loop);
        http_reply reply;
        client.send(makeCall("first end"), [&](const http_reply &first) {
            EXPECT_EQ(first.status, 200);
            client.send(makeCall("second end"), [&](http_reply second) {
                reply = std::move(second);
                m_loop.stop();
            });
        });
        m_loop.run();
        EXPECT_EQ(reply.status, 0) << reply.problem;
        EXPECT_FALSE(reply.unsent);
        EXPECT_FALSE(reply.refused);
        EXPECT_EQ(server.requests, 2);
    }
}

// Guards against a request that is taken for unsent although the server has read it: the server
// closes the kept connection without an answer, curl tries again, and the new connection is
// refused.
TEST_F(loop_test, callWhoseRepetitionIsRefusedIsNotUnsent)
{
    for (const bool reset : {false, true}) {
        const int listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        ASSERT_EQ(bind(listener, reinterpret_cast<sockaddr *>(&address), size), 0);
        ASSERT_EQ(listen(listener, 1), 0);
        getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_options.port = ntohs(address.sin_port);
        int requests = 0;
        m_loop.watch(listener, EPOLLIN, [&](std::uint32_t) {
            const int connection = accept(listener, nullptr, nullptr);
            m_loop.watch(connection, EPOLLIN, [&, connection](std::uint32_t) {
                char data[1'000];
                if (read(connection, data, sizeof data) <= 0)
                    return;
                if (++requests == 1) {
                    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    EXPECT_EQ(write(connection, answer.data(), answer.size()),
                              static_cast<ssize_t>(answer.size()));
                    return;
                }
                m_loop.unwatch(listener);
                close(listener);
                m_loop.unwatch(connection);
                const linger atOnce {1, 0};
                if (reset)
                    setsockopt(connection, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
                close(connection);
            });
        });
        http_client client(&m_loop);
        http_reply reply;
        client.send(makeCall("first"), [&](const http_reply &) {
            client.send(makeCall("second"), [&](http_reply answer) {
                reply = std::move(answer);
                m_loop.stop();
            });
        });
        m_loop.run();
        EXPECT_EQ(requests, 2);
        EXPECT_EQ(reply.status, 0);
        EXPECT_FALSE(reply.unsent) << reply.problem;
        EXPECT_FALSE(reply.refused) << reply.problem;
    }
}

// Guards against a call that holds up its caller after a suspension of the machine, because curl's
// clock did not count that time.
TEST_F(loop_test, callEndsWhenTheSuspensionInWhichItWasDueHasEnded)
{
    const auto server
        = serve([](const http_request &, const http_responder &) { /* never answers */ });
    http_client client(&m_loop);
    http_reply reply;
    client.send(makeCall("x"), [&](http_reply answer) {
        reply = std::move(answer);
        m_loop.stop();
    });
    suspendAfter(absl::Milliseconds(300), absl::Seconds(12));
    EXPECT_LT(timeToRun(), absl::Seconds(5));
    EXPECT_EQ(reply.status, 0);
    EXPECT_FALSE(reply.unsent);
    EXPECT_NE(reply.problem, "");
}

// Guards against datagrams, such as wake-up messages, that are not delivered, and against an
// invalid host that is reported as sent to.
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
