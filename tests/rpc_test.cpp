/// @file Tests of the remote procedure calls over loopback.
#include "hyssoppond/base/client_budget_base.h"
#include "hyssoppond/rpc/rpc_client_base.h"
#include "hyssoppond/rpc/rpc_server_base.h"

#include "rpc_codec_func.h"

#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <curl/curl.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <thread>

namespace hyssoppond {
namespace {

absl::Time secondsFromNow(int seconds)
{
    return absl::Now() + absl::Seconds(seconds);
}

std::size_t append(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

/// Sends a POST request without rpc_client, so that malformed input can be sent as well. Returns
/// the HTTP status, 0 if there was no answer, and the body.
std::pair<long, std::string> post(std::uint16_t port, const std::string &path,
                                  const std::string &type, const std::string &body)
{
    CURL *curl = curl_easy_init();
    std::string answer;
    const std::string url = "http://127.0.0.1:" + std::to_string(port) + path;
    curl_slist *headers = curl_slist_append(nullptr, ("Content-Type: " + type).c_str());
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &append);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 10000L);
    curl_easy_perform(curl);
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    return {status, answer};
}

/// Runs a server whose only procedure answers with a job of the team in the request, or with
/// reason::UnknownTeam for the team "none".
class rpc_test : public testing::Test
{
protected:
    rpc_test()
        : m_server({{"127.0.0.1", 0}, 100'000}, &m_counters)
    {
        m_server.add(makeMethod<v1::SubmitRequest, v1::SubmitResponse>(
            "/hyssoppond.v1.Jobs/Submit", [this](const auto &request, auto reply) {
                ++m_calls;
                if (request.team() == "none") {
                    reply(fail(reason::UnknownTeam, "no team none; publish team/none"));
                    return;
                }
                v1::SubmitResponse response;
                response.mutable_job()->set_team(request.team());
                // The daemon replies on another thread than the one that received the request.
                m_threads.emplace_back([reply, response] { reply(response); });
            }));
        m_server.addPage("/metrics",
                         [this] { return http_page {.body = m_counters.renderPrometheus()}; });
        EXPECT_TRUE(m_server.start().has_value());
    }
    ~rpc_test() override
    {
        for (std::thread &thread : m_threads)
            thread.join();
    }

    counter_registry m_counters;
    rpc_server m_server;
    std::vector<std::thread> m_threads;
    int m_calls = 0;
};

// Guards against an encoding that loses fields or the typed error.
TEST_F(rpc_test, carriesMessagesAndErrorsInBothEncodings)
{
    for (const bool json : {false, true}) {
        rpc_client_options options {{{"127.0.0.1", m_server.port()}}, json};
        rpc_client client(options);
        v1::SubmitRequest request;
        request.set_team("north");
        v1::SubmitResponse response;
        ASSERT_TRUE(client.call("/hyssoppond.v1.Jobs/Submit", request, &response,
                                secondsFromNow(10), repetition::Allowed));
        EXPECT_EQ(response.job().team(), "north");
        request.set_team("none");
        const auto refused = client.call("/hyssoppond.v1.Jobs/Submit", request, &response,
                                         secondsFromNow(10), repetition::Allowed);
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().why, reason::UnknownTeam);
        EXPECT_EQ(refused.error().state, execution::NotRun);
        EXPECT_EQ(refused.error().retryAt, absl::InfiniteFuture());
    }
    EXPECT_EQ(m_counters.value(disposition::Refused, reason::UnknownTeam), 2);
}

// Guards against invalid input that reaches a handler or is answered without a typed error.
TEST_F(rpc_test, refusesBadInputWithTypedErrors)
{
    const std::string json = "application/json";
    const std::string binary = "application/x-protobuf";
    const std::string submit = "/hyssoppond.v1.Jobs/Submit";
    struct bad_input
    {
        std::string path, type, body;
        long status;
        std::string reason;
    };
    const std::vector<bad_input> inputs {
        {submit, json, R"({"taem":"north"})", 400, "UnknownField"},
        {submit, json, R"({"team":)", 400, "MalformedRequest"},
        {submit, json, R"({"shape":{"members":-1}})", 400, "MalformedRequest"},
        {submit, json, R"({"shape":{"members":99999999999}})", 400, "MalformedRequest"},
        {submit, json, "{\"team\":\"\xff\xfe\"}", 400, "MalformedRequest"},
        {submit, binary, "\x12\x05north-cut-short\xff", 400, "MalformedRequest"},
        {submit, binary, "\x12\x02\xff\xfe", 400, "MalformedRequest"},
        {submit, binary, "\xf8\x3f\x01", 400, "UnknownField"},
        {submit, json, std::string(200'000, ' '), 413, "BodyTooLarge"},
        {"/hyssoppond.v2.Jobs/Submit", json, "{}", 400, "UnsupportedVersion"},
        {"/hyssoppond.v1.Jobs/Sumbit", json, "{}", 400, "InvalidArgument"},
    };
    for (const bad_input &input : inputs) {
        const auto [status, body] = post(m_server.port(), input.path, input.type, input.body);
        EXPECT_EQ(status, input.status) << input.body;
        EXPECT_THAT(body, testing::HasSubstr(input.reason));
    }
    EXPECT_EQ(m_calls, 0);
    EXPECT_GE(m_counters.value(disposition::Refused, reason::MalformedRequest), 6);
}

// Guards against a decoder that crashes on malformed input or refuses it without a message.
TEST(rpc_codec_test, survivesRandomAndMutatedInput)
{
    std::mt19937_64 random(7);
    v1::SubmitRequest valid;
    valid.set_team("north");
    valid.mutable_shape()->set_members(4);
    for (int i = 0; i < 20'000; ++i) {
        const auto encoding = i % 2 == 0 ? body_encoding::Json : body_encoding::Binary;
        std::string body = encodeBody(valid, encoding);
        for (std::uint64_t change = random() % 4; change > 0 && !body.empty(); --change)
            body[random() % body.size()] = static_cast<char>(random());
        body.resize(random() % (body.size() + 1));
        v1::SubmitRequest decoded;
        const auto outcome = decodeBody(body, encoding, &decoded);
        if (!outcome) {
            EXPECT_FALSE(outcome.error().message.empty());
        }
    }
}

// Guards against a client that fails on an entry that refuses connections although another entry
// would answer.
TEST_F(rpc_test, skipsAnEntryThatCannotBeReached)
{
    rpc_client_options options;
    options.entries = {{"127.0.0.1", 1}, {"127.0.0.1", m_server.port()}};
    for (int i = 0; i < 4; ++i) {
        rpc_client client(options);
        v1::SubmitRequest request;
        v1::SubmitResponse response;
        EXPECT_TRUE(client.call("/hyssoppond.v1.Jobs/Submit", request, &response,
                                secondsFromNow(10), repetition::Forbidden));
    }
    rpc_client client(options);
    EXPECT_THAT(*client.get("/metrics", secondsFromNow(10)),
                testing::HasSubstr("hyssoppond_reason_total"));
}

// Guards against execution::NotRun for a request that may have run. The first attempt is sent and
// gets no answer; the repetition cannot connect, which by itself would mean NotRun.
TEST(rpc_client_test, tellsUnknownAfterALostAnswer)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in listenAddress {};
    listenAddress.sin_family = AF_INET;
    listenAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof listenAddress;
    ASSERT_EQ(bind(listener, reinterpret_cast<sockaddr *>(&listenAddress), size), 0);
    ASSERT_EQ(listen(listener, 1), 0);
    ASSERT_EQ(getsockname(listener, reinterpret_cast<sockaddr *>(&listenAddress), &size), 0);
    std::thread server([listener] {
        const int connection = accept(listener, nullptr, nullptr);
        char request[64];
        EXPECT_GT(recv(connection, request, sizeof request, 0), 0);
        close(listener);
        close(connection);
    });
    rpc_client_options options;
    options.entries = {{"127.0.0.1", ntohs(listenAddress.sin_port)}};
    rpc_client client(options);
    v1::SubmitResponse response;
    const auto lost = client.call("/hyssoppond.v1.Jobs/Submit", v1::SubmitRequest(), &response,
                                  secondsFromNow(2), repetition::Allowed);
    server.join();
    ASSERT_FALSE(lost);
    EXPECT_EQ(lost.error().state, execution::Unknown);
}

// Guards against a shutdown that closes the connection of a request before its answer is sent.
TEST(rpc_server_test, stopWaitsForRequestsInFlight)
{
    counter_registry counters;
    rpc_server server({{"127.0.0.1", 0}}, &counters);
    absl::Notification arrived;
    std::function<void(result<v1::Job>)> answer;
    server.add(makeMethod<v1::JobRequest, v1::Job>("/hyssoppond.v1.Jobs/Status",
                                                   [&](const auto &, auto reply) {
                                                       answer = reply;
                                                       arrived.Notify();
                                                   }));
    ASSERT_TRUE(server.start());
    rpc_client client({{{"127.0.0.1", server.port()}}});
    std::thread caller([&] {
        v1::Job job;
        EXPECT_TRUE(client.call("/hyssoppond.v1.Jobs/Status", v1::JobRequest(), &job,
                                secondsFromNow(20), repetition::Forbidden));
        EXPECT_EQ(job.id(), "j");
    });
    arrived.WaitForNotification();
    std::thread stopper([&] { server.stop(secondsFromNow(20)); });
    v1::Job job;
    job.set_id("j");
    answer(job);
    caller.join();
    stopper.join();
}

// Guards against bodies whose parsed form takes many times their size, and against a bound that
// refuses large values with few fields.
TEST(rpc_codec_test, boundsFieldsAndDepth)
{
    const auto repeated = [](const std::string &text, int count) {
        std::string all;
        for (int i = 0; i < count; ++i)
            all += text;
        return all;
    };
    const auto check = [](const std::string &body, body_encoding encoding) {
        v1::SubmitRequest request;
        const auto decoded = decodeBody(body, encoding, &request);
        return decoded ? std::string() : decoded.error().message;
    };
    const auto bounded = testing::HasSubstr("more than 10000 fields");
    EXPECT_EQ(
        check("{" + repeated(R"("hold":true,)", 9'000) + R"("team":"a"})", body_encoding::Json),
        "");
    EXPECT_EQ(
        check(R"({"command":")" + repeated(R"(\":,{[)", 60'000) + R"("})", body_encoding::Json),
        "");
    EXPECT_THAT(
        check("{" + repeated(R"("hold":true,)", 11'000) + R"("team":"a"})", body_encoding::Json),
        bounded);
    EXPECT_THAT(check(repeated(R"({"shape":)", 40), body_encoding::Json), bounded);
    const std::string hold("\x40\x01", 2);
    EXPECT_EQ(check(repeated(hold, 9'000), body_encoding::Binary), "");
    EXPECT_THAT(check(repeated(hold, 11'000), body_encoding::Binary), bounded);
    // The field `shape` with 11,000 fields of its own.
    EXPECT_THAT(check("\x2a\xf0\xab\x01" + repeated(std::string("\x08\x01", 2), 11'000),
                      body_encoding::Binary),
                bounded);
}

/// A server with a budget of 256 KiB for bodies of up to 1,000,000 bytes.
class rpc_budget_test : public testing::Test
{
protected:
    rpc_budget_test()
        : m_budget(limits())
        , m_server({.listen = {"127.0.0.1", 0}, .maxBodyBytes = 1'000'000, .budget = &m_budget},
                   &m_counters)
    {
        m_server.add(makeMethod<v1::SubmitRequest, v1::SubmitResponse>(
            "/hyssoppond.v1.Jobs/Submit",
            [](const auto &, auto reply) { reply(v1::SubmitResponse()); }));
        EXPECT_TRUE(m_server.start().has_value());
    }
    static budget_limits limits()
    {
        budget_limits values;
        values.totalBytes = 256 * 1024;
        values.of(client_listener::Rpc) = {0, 256 * 1024, 256 * 1024};
        return values;
    }
    /// Sends a head that announces `announced` bytes, and `sent` bytes of the body.
    int sendPart(const std::string &path, std::size_t announced, std::size_t sent) const
    {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(m_server.port());
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target), 0);
        const std::string text = "POST " + path + " HTTP/1.1\r\nHost: entry\r\nContent-Length: "
            + std::to_string(announced) + "\r\n\r\n" + std::string(sent, ' ');
        EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL), text.size());
        return fd;
    }
    /// Waits until the clients hold `bytes`.
    void awaitUsed(std::size_t bytes) const
    {
        const absl::Time end = secondsFromNow(30);
        while (m_budget.used() != bytes && absl::Now() < end)
            absl::SleepFor(absl::Milliseconds(5));
        EXPECT_EQ(m_budget.used(), bytes);
    }

    counter_registry m_counters;
    client_budget m_budget;
    rpc_server m_server;
};

// Guards against a refusal that does not say that the request has not run, and against bytes that
// stay charged.
TEST_F(rpc_budget_test, refusesABodyBeyondTheBudgetAsNotRun)
{
    const auto [status, body] = post(m_server.port(), "/hyssoppond.v1.Jobs/Submit",
                                     "application/json", std::string(600'000, ' '));
    EXPECT_EQ(status, 503);
    EXPECT_THAT(body, testing::HasSubstr("Overloaded"));
    EXPECT_THAT(body, testing::HasSubstr("NOT_RUN"));
    EXPECT_EQ(m_counters.value(disposition::Refused, reason::Overloaded), 1);
    awaitUsed(0);
    const auto later = post(m_server.port(), "/hyssoppond.v1.Jobs/Submit", "application/json",
                            "{" + std::string(200'000, ' ') + "}");
    EXPECT_EQ(later.first, 200);
}

// Guards against clients that stop halfway and keep others from being served, and against stored
// bodies of requests that will be refused.
TEST_F(rpc_budget_test, closesTheConnectionWithoutProgress)
{
    std::vector<int> held;
    for (int i = 0; i < 3; ++i) {
        held.push_back(sendPart("/hyssoppond.v1.Jobs/Submit", 65'000, 64'999));
        awaitUsed(65'000 * held.size());
    }
    held.push_back(sendPart("/none", 65'000, 64'999));
    held.push_back(sendPart("/hyssoppond.v1.Jobs/Submit", 1'000'001, 64'999));
    const auto [status, body] = post(m_server.port(), "/hyssoppond.v1.Jobs/Submit",
                                     "application/json", "{" + std::string(100'000, ' ') + "}");
    EXPECT_EQ(status, 200) << body;
    char byte = 0;
    EXPECT_EQ(recv(held[0], &byte, 1, 0), 0); // the oldest one was closed
    EXPECT_EQ(m_counters.value("rpc_connections_closed_early"), 1);
    awaitUsed(2 * 65'000);
    for (const int fd : held)
        close(fd);
    awaitUsed(0);
}

} // namespace
} // namespace hyssoppond
