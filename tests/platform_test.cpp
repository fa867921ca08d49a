/// @file Tests of the HTTP log adapter against the stand-in. They wait for events, never for a
/// fixed time.
#include "hyssoppond/platform/http_log_port.h"
#include "standins/log/log_server_base.h"

#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <future>

namespace hyssoppond {
namespace {

struct http_log_port_test : testing::Test
{
    standins::log_server server {100};
    address serverAddress {"127.0.0.1", server.listen("127.0.0.1", 0)};
    http_log_port port {{.server = serverAddress}};

    result<journal_offset> append(const std::string &payload,
                                  absl::Duration timeout = absl::Seconds(20))
    {
        std::promise<result<journal_offset>> answer;
        port.append(payload, absl::Now() + timeout,
                    [&](result<journal_offset> outcome) { answer.set_value(std::move(outcome)); });
        return answer.get_future().get();
    }
    result<log_batch> read(journal_offset from)
    {
        std::promise<result<log_batch>> answer;
        port.read(from, 10, absl::Now() + absl::Seconds(20),
                  [&](result<log_batch> outcome) { answer.set_value(std::move(outcome)); });
        return answer.get_future().get();
    }
};

// Guards against payloads that the transfer changes (zero byte, high byte, line end) and against
// wrong offsets.
TEST_F(http_log_port_test, readsBackWhatWasAppended)
{
    const std::string binary("\0\xff\n", 3);
    EXPECT_EQ(append("first").value(), 1U);
    EXPECT_EQ(append(binary).value(), 2U);
    const log_batch batch = read(1).value();
    ASSERT_EQ(batch.records.size(), 2U);
    EXPECT_EQ(batch.records[1].payload, binary);
    EXPECT_EQ(batch.next, 3U);
    EXPECT_TRUE(read(INT64_MAX).value().records.empty());
    server.setFaults(R"({"retainFrom": 2})");
    EXPECT_EQ(read(1).error().why, reason::Expired);
}

// Guards against NotRun for an append that took effect or may still do so: the server lost its
// answer or is silent. A refused append and one whose deadline has passed are NotRun.
TEST_F(http_log_port_test, distinguishesNotRunFromUnknown)
{
    ASSERT_TRUE(append("kept"));
    server.setFaults(R"({"down": true})");
    EXPECT_EQ(append("refused").error().state, execution::NotRun);
    server.setFaults(R"({"down": false, "loseAppendAnswers": true})");
    EXPECT_EQ(append("lost").error().state, execution::Unknown);
    EXPECT_EQ(server.appends(), 2U); // libcurl must not repeat the append by itself
    EXPECT_EQ(append("late", -absl::Seconds(1)).error().state, execution::NotRun);
    server.setFaults(R"({"loseAppendAnswers": false, "silent": true})");
    EXPECT_EQ(append("silent", absl::Milliseconds(200)).error().state, execution::Unknown);
    server.setFaults(R"({"silent": false})");
    EXPECT_TRUE(append("after"));
}

// Guards against Unknown for an append to a port where no server listens: nothing was sent.
TEST_F(http_log_port_test, refusedConnectionIsNotRun)
{
    std::uint16_t closedPort = 0;
    {
        standins::log_server closed(1);
        closedPort = closed.listen("127.0.0.1", 0);
    }
    http_log_port portToNothing {{.server = {"127.0.0.1", closedPort}}};
    std::promise<result<journal_offset>> answer;
    portToNothing.append("x", absl::Now() + absl::Seconds(20), [&](result<journal_offset> outcome) {
        answer.set_value(std::move(outcome));
    });
    EXPECT_EQ(answer.get_future().get().error().state, execution::NotRun);
}

} // namespace
} // namespace hyssoppond
