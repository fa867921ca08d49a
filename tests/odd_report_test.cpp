/// @file Tests of the adapter with input that another writer may have left. Each names the failure
/// that it guards against.
#include "platform/deploy_settings_type.h"
#include "platform/front_adapter.h"
#include "platform/json_field_func.h"
#include "platform/store_adapter.h"
#include "platform/wire_decode_func.h"
#include "platform/worker_adapter.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hyssoppond::platform {
namespace {

constexpr batch::unix_ms Now = 1'700'000'000'000;

/// Array that is nested `depth` levels deep.
std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// A runner's report with one field replaced by `value`; an empty value drops the field.
std::string reportWith(const std::string &name, const std::string &value)
{
    const std::vector<std::pair<std::string, std::string>> fields {
        {"service", R"("s")"},
        {"address", R"("10.0.0.9:80")"},
        {"zone", R"("z")"},
        {"state", R"("ready")"},
        {"born", "1700000000123"},
        {"seq", "4"},
        {"capacity", R"({"cpu":16000,"memMb":32768,"gpu":8})"},
        {"labels", R"(["a","r1-3"])"},
        {"remainingMs", "0"},
        {"coldLeftMs", "0"},
    };
    std::string body;
    for (const auto &[field, usual] : fields) {
        const std::string &content = field == name ? value : usual;
        if (!content.empty())
            absl::StrAppend(&body, body.empty() ? "{" : ",", "\"", field, "\":", content);
    }
    return body + "}";
}

bool isAccepted(const std::string &body, const std::string &runnerId = "i-1")
{
    return decodeHeartbeat(runnerId, body, Now, {"s", "10.0.0.9:80"}).has_value();
}

const std::vector<std::string> OddNumbers {"-1",
                                           "0.5",
                                           "1e300",
                                           "1e400",
                                           "9223372036854775807",
                                           "1e17",
                                           "9223372036854775808",
                                           "18446744073709551616",
                                           "99999999999999999999",
                                           "\"7\"",
                                           "null",
                                           "[]",
                                           "NaN",
                                           "true"};

// Guards against a process that ends or takes much memory because of deeply nested input.
TEST(odd_report_test, deepNestingIsRejectedEverywhere)
{
    for (const std::size_t depth : {100U, 100'000U, 2'000'000U}) {
        const std::string deep = nested(depth);
        EXPECT_TRUE(parseJson(deep).is_discarded()) << depth;
        EXPECT_TRUE(parseJson(deep.substr(0, depth)).is_discarded()) << depth;
        EXPECT_FALSE(isAccepted(reportWith("coldLeftMs", deep)));
        EXPECT_FALSE(isAccepted(reportWith("labels", deep)));
        EXPECT_FALSE(decodeJob(R"({"spec":"","steps":[{"count":1,"x":)" + deep + "}]}"));
        EXPECT_FALSE(decodeConfig(R"({"version":1,"x":)" + deep + "}"));
        EXPECT_FALSE(decodePollAnswer(R"({"clockMs":1,"x":)" + deep + "}"));
        EXPECT_FALSE(decodeNewest(R"({"items":[],"end":1,"x":)" + deep + "}"));
        EXPECT_FALSE(decodeJoin(R"({"generation":1,"parts":[)" + deep + "]}"));
        EXPECT_FALSE(parseDeploySettings(R"({"name":"n","zone":"z","x":)" + deep + "}"));
    }
    // Brackets inside of strings are not nesting.
    EXPECT_TRUE(parseJson("\"\\\"" + std::string(1'000, '[') + "\"").is_string());
    EXPECT_TRUE(parseJson(nested(10)).is_array());
}

// Guards against an agent that takes up a runner from a report of another writer.
TEST(odd_report_test, reportThatDoesNotFitTheRunnerIsRejected)
{
    EXPECT_TRUE(isAccepted(reportWith("", "")));
    for (const char *field :
         {"service", "address", "zone", "state", "born", "seq", "capacity", "labels"}) {
        EXPECT_FALSE(isAccepted(reportWith(field, ""))) << field;
        for (const char *value : {"7.5", "null", "{}", "[[]]", "\"odd\xff\"", "\"\"", "true"})
            EXPECT_FALSE(isAccepted(reportWith(field, value))) << field << " " << value;
    }
    EXPECT_FALSE(isAccepted(reportWith("service", "\"other\"")));
    EXPECT_FALSE(isAccepted(reportWith("state", "\"gone\"")));
    for (const char *address :
         {"10.0.0.9:70000", "10.0.0.9:-1", "10.0.0.9:99999999999999999999", "10.0.0.9", ":80"})
        EXPECT_FALSE(isAccepted(reportWith("address", absl::StrCat("\"", address, "\""))))
            << address;
    const std::string longText(10'000, 'x');
    EXPECT_FALSE(isAccepted(reportWith("zone", "\"" + longText + "\"")));
    EXPECT_FALSE(isAccepted(reportWith("labels", "[\"" + longText + "\"]")));
    std::string manyLabels = "[\"a\"";
    for (int i = 0; i < 1'000; ++i)
        manyLabels += ",\"a\"";
    EXPECT_FALSE(isAccepted(reportWith("labels", manyLabels + "]")));
}

// Guards against a header of the orders that is broken up by the id of a runner.
TEST(odd_report_test, idOfARunnerHasOnlyUsualCharacters)
{
    EXPECT_TRUE(isAccepted(reportWith("", ""), "i-7f3a91c2"));
    for (const std::string &id : {std::string(), std::string("a\r\nX: y"), std::string("a b"),
                                  std::string("\xff"), std::string(1'000, 'a')})
        EXPECT_FALSE(isAccepted(reportWith("", ""), id)) << id;
}

// Guards against numbers that overflow, or that turn into others, in what a runner reports.
TEST(odd_report_test, numbersOutOfRangeAreRejectedInReports)
{
    for (const std::string &number : OddNumbers) {
        EXPECT_FALSE(isAccepted(reportWith("born", number))) << number;
        EXPECT_FALSE(isAccepted(reportWith("seq", number))) << number;
        for (const char *amount : {"cpu", "memMb", "gpu"}) {
            std::string capacity = R"({"cpu":1,"memMb":1,"gpu":1})";
            const std::string usual = absl::StrCat("\"", amount, "\":1");
            capacity.replace(capacity.find(usual), usual.size(),
                             absl::StrCat("\"", amount, "\":", number));
            EXPECT_FALSE(isAccepted(reportWith("capacity", capacity))) << capacity;
        }
        std::string draining = reportWith("state", "\"draining\"");
        draining.replace(draining.find("\"remainingMs\":0"), 15, "\"remainingMs\":" + number);
        EXPECT_FALSE(isAccepted(draining)) << number;
    }
    for (const char *born : {"0", "5000000000000"})
        EXPECT_FALSE(isAccepted(reportWith("born", born))) << born;
}

// Guards against a run that is taken for vanished because its end is not among the 500 that a
// worker lists at a time.
TEST(odd_report_test, fullListOfEndsMayLackFurtherEnds)
{
    std::string text = R"({"clockMs":5,"ended":[)";
    for (int i = 1; i <= 500; ++i) {
        EXPECT_FALSE(decodePollAnswer(text + "]}")->moreEnds) << i;
        text += (i == 1 ? "[" : ",[") + std::to_string(i)
            + R"(,"5c0e7a21d94b36f8.0.1.17",1,"stopped",""])";
    }
    EXPECT_TRUE(decodePollAnswer(text + "]}")->moreEnds);
}

// Guards against an agent that sees none of its runs, or takes one for another, because of one odd
// entry in the lists of the worker.
TEST(odd_report_test, oddEntriesHideNoOtherRuns)
{
    const std::string item = R"("5c0e7a21d94b36f8.0.1.17")";
    const std::string lists = R"({"clockMs":5,"born":17,"running":[[)" + item
        + R"(,2,"00ff",41]RUN],"ended":[[58,)" + item + R"(,1,"done",""]END]})";
    const auto with = [&](const std::string &run, const std::string &end) {
        std::string text = lists;
        text.replace(text.find("RUN"), 3, run);
        text.replace(text.find("END"), 3, end);
        return decodePollAnswer(text);
    };
    const auto usual = with("", "");
    ASSERT_TRUE(usual.has_value());
    EXPECT_TRUE(usual->complete);
    for (const std::string &odd : std::vector<std::string> {
             std::string("7"), std::string("[]"), "[" + item + R"(,"x","",1])", "[7,7,7,7,7]",
             "[" + item + R"(,-1,"",1])", "[" + item + R"(,4294967297,"",1])",
             "[" + item + R"(,0.5,"",1])", "[" + item + R"(,1e300,"",1])",
             R"(["5c0e7a21d94b36f8.0.1",2,"",1])", R"(["?c0e7a21d94b36f8.0.1.17",2,"",1])",
             R"(["5c0e7a21d94b36f8.0.1.+7",2,"",1])"}) {
        const auto answer = with("," + odd, "");
        ASSERT_TRUE(answer.has_value()) << odd;
        EXPECT_FALSE(answer->complete) << odd;
        EXPECT_EQ(answer->running.size(), 1U) << odd;
        EXPECT_EQ(answer->ended.size(), 1U) << odd;
    }
    for (const std::string &odd : std::vector<std::string> {
             std::string("7"), std::string("[]"), "[-1," + item + R"(,1,"done",""])",
             "[18446744073709551615," + item + R"(,1,"done",""])",
             "[59," + item + R"(,-1,"done",""])", "[59," + item + R"(,1,7,""])",
             "[59," + item + R"(,1,"d?ne",""])", R"([59,"",1,"done",""])",
             R"([59,"5c0e7a21d94b36f8.0.1.17.3",1,"done",""])"}) {
        const auto answer = with("", "," + odd);
        ASSERT_TRUE(answer.has_value()) << odd;
        EXPECT_FALSE(answer->complete) << odd;
        EXPECT_EQ(answer->running.size(), 1U) << odd;
        EXPECT_EQ(answer->ended.size(), 1U) << odd;
    }
    for (const char *percent : {"1e300", "-1e300", "\"x\"", "99999999999999999999"}) {
        const auto answer = with(","
                                 "[" + item
                                     + R"(,3,"",)" + percent + "]",
                                 "");
        ASSERT_TRUE(answer.has_value()) << percent;
        ASSERT_EQ(answer->running.size(), 2U) << percent;
        EXPECT_GE(answer->running[1].percent, 0) << percent;
        EXPECT_LE(answer->running[1].percent, 100) << percent;
    }
    EXPECT_FALSE(decodePollAnswer(R"({"running":{},"ended":[]})")->complete);
    EXPECT_TRUE(decodePollAnswer(R"({"running":null,"ended":null})")->complete);
    EXPECT_TRUE(decodePollAnswer(R"({"clockMs":5})")->complete);
    EXPECT_FALSE(parseTaskName("5c0e7a21d94b36f8.+0.1.17", 1).has_value());
    EXPECT_FALSE(parseTaskName("5c0e7a21d94b36f8.0.1. 17", 1).has_value());
}

// Guards against a process that cannot load a topic because of one odd key or item in it.
TEST(odd_report_test, oddItemHidesNoOtherItemsOfATopic)
{
    const std::string usual = R"({"key":"config","value":"YWI=","offset":4})";
    for (const std::string &odd :
         {std::string("7"), std::string("{}"), std::string(R"({"key":7,"value":"","offset":3})"),
          std::string(R"({"key":"a","value":"?","offset":3})"),
          std::string(R"({"key":"a","value":"","offset":-1})"),
          std::string(R"({"key":"a","value":"","offset":1e300})"),
          std::string("{\"key\":\"a\xff\xc0\",\"value\":7,\"offset\":3}")}) {
        const auto page
            = decodeNewest(absl::StrCat(R"({"items":[)", odd, ",", usual, R"(],"end":6})"));
        ASSERT_TRUE(page.has_value()) << odd;
        ASSERT_EQ(page->records.size(), 1U) << odd;
        EXPECT_EQ(page->records[0].key, "config") << odd;
        EXPECT_EQ(page->records[0].value, "ab") << odd;
    }
    EXPECT_FALSE(decodeNewest(R"({"items":[7],"more":true,"end":6})").has_value());
    for (const char *end : {"-1", "1e300", "18446744073709551616", "\"6\""})
        EXPECT_FALSE(decodeNewest(absl::StrCat(R"({"items":[],"end":)", end, "}"))) << end;
}

// Guards against an entry that takes itself for the decider because of a partition out of range.
TEST(odd_report_test, partitionOutOfRangeIsNotPartitionZero)
{
    for (const char *partition : {"4294967296", "-4294967296", "1e300", "0.5", "\"0\"", "[]"}) {
        const auto join = decodeJoin(
            absl::StrCat(R"({"generation":3,"parts":[["t",)", partition, R"(,0],["t",7,0]]})"));
        ASSERT_TRUE(join.has_value()) << partition;
        EXPECT_EQ(join->partitions, std::vector<std::uint32_t> {7}) << partition;
    }
    for (const char *none : {R"({"generation":3})", R"({"generation":3,"parts":null})"}) {
        const auto join = decodeJoin(none);
        ASSERT_TRUE(join.has_value()) << none;
        EXPECT_EQ(join->generation, 3U) << none;
        EXPECT_TRUE(join->partitions.empty()) << none;
    }
}

// Guards against a configuration with numbers that turn into others when they are narrowed.
TEST(odd_report_test, oddNumbersOfAConfigurationCountAsAbsent)
{
    for (const char *number : {"-1", "4294967296", "1e300", "99999999999999999999"}) {
        const auto config = decodeConfig(absl::StrCat(
            R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s",)",
            R"("priority":)", number, R"(,"maxAttempts":)", number, R"(,"stretch":)", number,
            R"(,"targetLatencyMs":)", number, R"(}],"tenants":[{"name":"t","guaranteed":{"gpu":)",
            number, "}}]}"));
        ASSERT_TRUE(config.has_value()) << number;
        ASSERT_EQ(config->queues.size(), 1U) << number;
        EXPECT_EQ(config->queues[0].priority, 0) << number;
        EXPECT_EQ(config->queues[0].maxAttempts, 1U) << number;
        EXPECT_DOUBLE_EQ(config->queues[0].stretch, 1.0) << number;
        EXPECT_EQ(config->queues[0].latencyGoalMs, 0) << number;
        EXPECT_EQ(config->teams[0].guaranteedAccelerators, 0) << number;
    }
}

// Guards against messages to another port than the one that an address names, as 70000 cut to 16
// bits is 4464.
TEST(odd_report_test, portOutOfRangeIsNoAddress)
{
    const auto address = parseAddress("10.0.0.9:65535");
    ASSERT_TRUE(address.has_value());
    EXPECT_EQ(address->port, 65'535);
    for (const char *text : {"10.0.0.9:70000", "10.0.0.9:-1", "10.0.0.9:0", "10.0.0.9:", ":80", "",
                             "10.0.0.9:99999999999999999999", "10.0.0.9:80x"})
        EXPECT_FALSE(parseAddress(text).has_value()) << text;
}

// Guards against a process that follows a topic no further because one record of it has no key, or
// a key that is longer than the record.
TEST(odd_report_test, oddRecordHidesNoLaterRecordsOfATopic)
{
    const std::string header(16, '\0');
    const std::string usual = encodeRecords("keyed.t", {{"key", "value", 0}});
    for (const std::string &odd : {std::string("\0\0\0\0", 4), std::string("\0\0\0\1\xff", 5),
                                   std::string("\0\0\0\3\3ab", 7)}) {
        const auto read = decodeRecords("keyed.t", 40, absl::StrCat(header, odd, usual));
        ASSERT_TRUE(read.has_value());
        ASSERT_EQ(read->records.size(), 2U);
        EXPECT_EQ(read->records[0].value, "");
        EXPECT_EQ(read->records[1].key, "key");
        EXPECT_EQ(read->records[1].value, "value");
        EXPECT_EQ(read->records[1].offset, 41U);
    }
}

// Guards against an agent that answers an odd report as if it had used it.
TEST(odd_report_test, oddReportIsAnsweredWith400)
{
    http_request request;
    request.method = "POST";
    request.path = "/-/Instances.Heartbeat/i-1";
    for (const std::string &body : {std::string(), nested(100'000), reportWith("service", "7")}) {
        request.body = body;
        int status = 0;
        handleRunnerReport(request, nullptr, {"s", "10.0.0.9:80"}, Now,
                           [&](const http_response &response) { status = response.status; });
        EXPECT_EQ(status, 400);
    }
}

/// Listens on loopback and counts the requests of the connections that it accepts. It answers the
/// first request and closes the connection of the second one, which it has read, without an answer.
class closing_worker
{
public:
    explicit closing_worker(event_loop *loop)
        : m_loop(loop)
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        EXPECT_EQ(bind(m_listener, reinterpret_cast<sockaddr *>(&address), size), 0);
        EXPECT_EQ(listen(m_listener, 4), 0);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        port = ntohs(address.sin_port);
        m_loop->watch(m_listener, EPOLLIN, [this](std::uint32_t) {
            const int connection = accept(m_listener, nullptr, nullptr);
            m_loop->watch(connection, EPOLLIN,
                          [this, connection](std::uint32_t) { onReadable(connection); });
        });
    }
    ~closing_worker()
    {
        m_loop->unwatch(m_listener);
        close(m_listener);
    }
    closing_worker(const closing_worker &) = delete;
    closing_worker &operator=(const closing_worker &) = delete;

    std::uint16_t port = 0;
    int firstStatus = 200; ///< of the answer to the first request
    int requests = 0;

private:
    void onReadable(int connection)
    {
        char data[2'000];
        const bool isRequest = read(connection, data, sizeof data) > 0;
        if (isRequest && ++requests != 2) {
            const std::string answer = requests == 1
                ? "HTTP/1.1 " + std::to_string(firstStatus) + " X\r\nContent-Length: 0\r\n\r\n"
                : "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";
            EXPECT_EQ(write(connection, answer.data(), answer.size()),
                      static_cast<ssize_t>(answer.size()));
            return;
        }
        m_loop->unwatch(connection);
        close(connection);
    }

    event_loop *m_loop;
    int m_listener;
};

// Guards against a start that is recorded as not started although the worker may carry it out: its
// connection is closed without an answer, and a repetition that the agent knows nothing of is
// refused.
TEST(worker_adapter_test, orderWhoseConnectionClosesIsNotRepeated)
{
    event_loop loop;
    loop.callAt(event_loop::steadyNow() + absl::Seconds(10), [&] { loop.stop(); });
    closing_worker worker(&loop);
    http_client client(&loop);
    const batch::item_worker_port port = makeWorkerPort(&client, {"127.0.0.1", worker.port});
    batch::start_order order;
    order.deadline = event_loop::steadyNow() + absl::Seconds(5);
    batch::order_outcome first = batch::order_outcome::Rejected;
    batch::order_outcome second = batch::order_outcome::Rejected;
    port.start(order, [&](const batch::order_answer &answer) {
        first = answer.outcome;
        port.start(order, [&](const batch::order_answer &repeated) {
            second = repeated.outcome;
            loop.stop();
        });
    });
    loop.run();
    EXPECT_EQ(first, batch::order_outcome::Done);
    EXPECT_EQ(second, batch::order_outcome::NoAnswer);
    EXPECT_EQ(worker.requests, 2);
}

// Guards against a start that is recorded as not started because of an answer that does not say so.
TEST(worker_adapter_test, onlyAnswersThatSayThatNothingWasDoneCountSo)
{
    using batch::order_outcome;
    const std::vector<std::pair<int, order_outcome>> outcomes {
        {200, order_outcome::Done},      {201, order_outcome::NoAnswer},
        {202, order_outcome::NoAnswer},  {302, order_outcome::NoAnswer},
        {400, order_outcome::Rejected},  {421, order_outcome::WorkerRestarted},
        {429, order_outcome::Unhealthy}, {500, order_outcome::NoAnswer},
        {502, order_outcome::NoAnswer},  {503, order_outcome::Unhealthy},
        {504, order_outcome::NoAnswer}};
    for (const auto &[status, expected] : outcomes) {
        event_loop loop;
        loop.callAt(event_loop::steadyNow() + absl::Seconds(10), [&] { loop.stop(); });
        closing_worker worker(&loop);
        worker.firstStatus = status;
        http_client client(&loop);
        const batch::item_worker_port port = makeWorkerPort(&client, {"127.0.0.1", worker.port});
        batch::start_order order;
        order.deadline = event_loop::steadyNow() + absl::Seconds(5);
        std::optional<order_outcome> outcome;
        port.start(order, [&](const batch::order_answer &answer) {
            outcome = answer.outcome;
            loop.stop();
        });
        loop.run();
        EXPECT_EQ(outcome, expected) << status;
    }
}

} // namespace
} // namespace hyssoppond::platform
