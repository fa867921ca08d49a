/// @file Tests of the HTTP adapters against the stand-ins. They wait for events, never for times.
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
    address where {"127.0.0.1", server.listen("127.0.0.1", 0)};
    http_log_port port {{.server = where}};

    result<journal_offset> append(const std::string &payload,
                                  absl::Duration span = absl::Seconds(20))
    {
        std::promise<result<journal_offset>> answer;
        port.append(payload, absl::Now() + span,
                    [&](result<journal_offset> got) { answer.set_value(std::move(got)); });
        return answer.get_future().get();
    }
    result<log_batch> read(journal_offset from)
    {
        std::promise<result<log_batch>> answer;
        port.read(from, 10, absl::Now() + absl::Seconds(20),
                  [&](result<log_batch> got) { answer.set_value(std::move(got)); });
        return answer.get_future().get();
    }
};

// Guards against payloads that change on the way and against wrong offsets.
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

// Guards against "not run" for an append that took effect or may still do so.
TEST_F(http_log_port_test, tellsRefusedFromUnknown)
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

// Guards against a server that nobody listens on being reported as an open outcome.
TEST_F(http_log_port_test, refusedConnectionIsNotRun)
{
    std::uint16_t unused = 0;
    {
        standins::log_server closed(1);
        unused = closed.listen("127.0.0.1", 0);
    }
    http_log_port nowhere {{.server = {"127.0.0.1", unused}}};
    std::promise<result<journal_offset>> answer;
    nowhere.append("x", absl::Now() + absl::Seconds(20),
                   [&](result<journal_offset> got) { answer.set_value(std::move(got)); });
    EXPECT_EQ(answer.get_future().get().error().state, execution::NotRun);
}

} // namespace
} // namespace hyssoppond
