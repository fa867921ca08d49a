/// @file Tests of the adapter to the users' platform.
#include "platform/deploy_settings_type.h"
#include "platform/front_adapter.h"
#include "platform/json_field_func.h"
#include "platform/store_adapter.h"
#include "platform/wire_decode_func.h"

#include "hyssoppond/loop/http_server_base.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck.h>

namespace hyssoppond::platform {
namespace {

constexpr const char *Heartbeat
    = R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,"state":"ready",)"
      R"("coldLeftMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":8},"labels":["a","r1-3"],)"
      R"("clockMs":482113,"seq":4,"born":1700000000123})";

const worker_identity Runner {"s", "10.0.0.9:80"};

constexpr const char *Job = R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,)"
                            R"("estimateMs":900,"affinity":"r1-3"},{"count":20,"cpu":2000,)"
                            R"("gpu":1,"gang":true,"sameRack":true,"dependsOn":[0],)"
                            R"("checkpointed":true}]})";

constexpr const char *RunLists
    = R"({"clockMs":482113,"born":17,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00ff",41]],)"
      R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

constexpr const char *Config
    = R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","priority":1,)"
      R"("service":"s","maxAttempts":3,"stretch":3.0,"targetLatencyMs":1000,"public":false}],)"
      R"("services":[{"name":"s","admissionCheck":true}],)"
      R"("tenants":[{"name":"t","apiKeys":["k1","k2"],"guaranteed":{"gpu":24}}]})";

/// Returns `text` with one byte changed, bytes inserted, the end cut off or a huge number put in.
/// The seed determines the damage.
std::string damaged(std::string text, std::uint32_t seed)
{
    std::mt19937 random(seed);
    switch (random() % 4) {
    case 0:
        text[random() % text.size()] = static_cast<char>(random());
        break;
    case 1:
        text.resize(random() % text.size());
        break;
    case 2:
        text.insert(random() % text.size(), 1 + random() % 3, static_cast<char>(random()));
        break;
    default:
        text.replace(random() % text.size(), 1, "9999999999999999999999");
    }
    return text;
}

// Guards against a settings file whose faults are reported one at a time or not at all.
TEST(deploy_settings_test, listsAllFaultsAtOnce)
{
    const auto read = parseDeploySettings(R"({"name": "", "zone": 3, "front": "10.0.0.1"})");
    ASSERT_FALSE(read.has_value());
    for (const char *field : {"name", "zone", "front", "store_address"})
        EXPECT_NE(read.error().message.find(field), std::string::npos) << field;
}

// Guards against a process that does not start because the platform renders a field that is new,
// empty or null.
TEST(deploy_settings_test, ignoresUnknownAndEmptyFields)
{
    const auto read = parseDeploySettings(
        R"({"name":"n","zone":"z","front":"10.0.0.1:80","readiness":"10.0.0.1:81","control":"",)"
        R"("worker_address":"","service":"","store_address":"10.0.0.2:90","new":{},)"
        R"("address":"10.0.0.1","own_ports":[7000,7015],"longest_lease_ms":null})");
    ASSERT_TRUE(read.has_value()) << read.error().message;
    EXPECT_EQ(read->front.port, 80);
    EXPECT_EQ(read->metricsPort, 7000);
    EXPECT_EQ(read->wakePort, 7001);
    EXPECT_FALSE(read->worker.isSet());
    EXPECT_EQ(read->checkpointInterval, absl::ZeroDuration());
}

// Guards against a bound of the platform that is rendered under another name than it is read.
TEST(deploy_settings_test, readsTheTimeBetweenCheckpoints)
{
    const auto read = parseDeploySettings(
        R"({"name":"n","zone":"z","front":"10.0.0.1:80","readiness":"10.0.0.1:81",)"
        R"("store_address":"10.0.0.2:90","checkpoint_seconds":0.5})");
    ASSERT_TRUE(read.has_value()) << read.error().message;
    EXPECT_EQ(read->checkpointInterval, absl::Milliseconds(500));
}

// Guards against a job field that is decoded under a wrong name or not at all.
TEST(wire_decode_test, decodesAJob)
{
    const auto job = decodeJob(Job);
    ASSERT_TRUE(job.has_value());
    ASSERT_EQ(job->steps.size(), 2U);
    EXPECT_EQ(job->steps[0].dataRack, "r1-3");
    EXPECT_EQ(job->steps[0].item.accelerators, 0);
    EXPECT_TRUE(job->steps[1].gang && job->steps[1].sameRack && job->steps[1].checkpointed);
    EXPECT_EQ(job->steps[1].dependsOn, std::vector<std::uint32_t> {0});
}

// Guards against accepting a job with a field of the wrong type or out of range.
TEST(wire_decode_test, rejectsWrongTypesAndOverflows)
{
    for (const char *body :
         {"", "[]", "{}", R"({"steps":{}})", R"({"steps":[{"count":-1}]})",
          R"({"steps":[{"count":1,"cpu":1e300}]})", R"({"steps":[{"count":99999999999}]})",
          R"({"steps":[{"count":1,"gang":1}]})", R"({"steps":[{"count":1,"dependsOn":[0]}]})",
          R"({"steps":[{"count":1,"dependsOn":"x"}]})", R"({"spec":7,"steps":[{"count":1}]})"}) {
        const auto job = decodeJob(body);
        EXPECT_FALSE(job.has_value()) << body;
    }
}

// Guards against a heartbeat in another format that is taken for that of a usable worker.
TEST(wire_decode_test, heartbeatInAnotherFormatIsRejected)
{
    const auto worker = decodeHeartbeat("i-1", Heartbeat, 0, Runner);
    ASSERT_TRUE(worker.has_value());
    EXPECT_EQ(worker->worker.rack, "r1-3");
    EXPECT_EQ(worker->worker.capacity.accelerators, 8);
    EXPECT_EQ(worker->worker.workerStartMs, 1'700'000'000'123);
    EXPECT_EQ(worker->number, 4U);
    for (const char *body : {"", "7", R"({"service":"s"})",
                             R"({"service":"s","zone":"z","state":"odd","born":1,"capacity":{}})",
                             R"({"service":3,"zone":"z","state":"ready","born":1,"capacity":{}})"})
        EXPECT_FALSE(decodeHeartbeat("i-1", body, 0, Runner).has_value()) << body;
}

// Guards against a decoder that crashes on damaged bytes.
TEST(wire_decode_test, damagedInputCrashesNoDecoder)
{
    for (std::uint32_t seed = 0; seed < 4'000; ++seed) {
        (void)decodeJob(damaged(Job, seed));
        (void)decodeConfig(damaged(Config, seed));
        (void)decodeHeartbeat("i-1", damaged(Heartbeat, seed), 0, Runner);
        (void)decodePollAnswer(damaged(RunLists, seed));
        (void)decodeNewest(damaged(
            R"({"items":[{"key":"config","value":"YWI=","offset":4}],"more":false,"end":6})",
            seed));
        (void)parseDeploySettings(damaged(R"({"name":"n","zone":"z"})", seed));
    }
}

// Guards against a decoder that drops queues, keys or guarantees from the configuration.
TEST(wire_decode_test, decodesAConfiguration)
{
    const auto config = decodeConfig(Config);
    ASSERT_TRUE(config.has_value());
    ASSERT_EQ(config->queues.size(), 1U);
    EXPECT_EQ(config->queues[0].maxAttempts, 3U);
    EXPECT_DOUBLE_EQ(config->queues[0].stretch, 3.0);
    ASSERT_EQ(config->teams.size(), 1U);
    EXPECT_EQ(config->teams[0].keys.size(), 2U);
    EXPECT_EQ(config->teams[0].guaranteedAccelerators, 24);
    EXPECT_FALSE(decodeConfig("{}").has_value());
}

// Guards against a run end that is decoded as another one, and against accepting item names that
// the scheduler did not give.
TEST(wire_decode_test, decodesListsOfRuns)
{
    const auto lists = decodePollAnswer(RunLists);
    ASSERT_TRUE(lists.has_value());
    ASSERT_EQ(lists->running.size(), 1U);
    EXPECT_EQ(taskName(lists->running[0].run), "5c0e7a21d94b36f8.0.1.17");
    EXPECT_EQ(lists->running[0].percent, 41);
    ASSERT_EQ(lists->ended.size(), 1U);
    EXPECT_EQ(lists->ended[0].how, batch::run_end::Done);
    EXPECT_EQ(lists->workerStartMs, 17);
    EXPECT_FALSE(parseTaskName("a.b.c.d", 1).has_value());
    EXPECT_FALSE(parseTaskName("a.0.1", 1).has_value());
}

// Guards against records that differ after encoding and decoding, and against accepting truncated
// bodies.
TEST(store_adapter_test, recordsAreUnchangedAfterRoundTrip)
{
    rc::check([](const std::vector<std::pair<std::string, std::string>> &content) {
        std::vector<batch::stored_record> records;
        records.reserve(content.size());
        for (const auto &[key, value] : content)
            records.push_back({key.substr(0, 255), value, 0});
        const std::string header(16, '\0');
        const auto read = decodeRecords("keyed.t", 40, header + encodeRecords("keyed.t", records));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->records.size() == records.size());
        for (std::size_t i = 0; i < records.size(); ++i) {
            RC_ASSERT(read->records[i].key == records[i].key);
            RC_ASSERT(read->records[i].value == records[i].value);
            RC_ASSERT(read->records[i].offset == 40 + i);
        }
    });
    EXPECT_FALSE(decodeRecords("keyed.t", 0, "short").has_value());
    EXPECT_FALSE(decodeRecords("t", 0, std::string(16, '\0') + "\x7f\xff\xff\xff").has_value());
}

// Guards against idle processes that take their journal for older than it is, so that an agent
// refuses the orders of gangs as late: the wait of a long read was not passed on.
TEST(store_adapter_test, emptyAnswerOfALongReadTellsItsWait)
{
    event_loop loop;
    loop.callAt(event_loop::steadyNow() + absl::Seconds(20), [&loop] { loop.stop(); });
    http_server_options options;
    options.host = "127.0.0.1";
    std::string body(16, '\0');
    std::unique_ptr<http_server> server;
    for (options.port = 21'000; !server; ++options.port) {
        try {
            server = std::make_unique<http_server>(
                &loop, options, [&body](const http_request &, const http_responder &respond) {
                    http_response response;
                    response.body = body;
                    respond(response);
                });
        } catch (const std::exception &) { // the port is taken
            ASSERT_LT(options.port, 21'100);
        }
    }
    http_client client(&loop);
    const batch::store_port store
        = makeStorePort(&client, {options.host, static_cast<std::uint16_t>(options.port - 1)});
    const absl::Duration wait = absl::Milliseconds(30);
    const auto read = [&] {
        batch::read_answer result;
        store.read({"keyed.t", 5, wait, event_loop::steadyNow() + absl::Seconds(10), false},
                   [&](batch::read_answer answer) {
                       result = std::move(answer);
                       loop.stop();
                   });
        loop.run();
        return result;
    };
    // The store answers at once about a topic that was never written to.
    batch::read_answer answer = read();
    EXPECT_EQ(answer.outcome, batch::store_outcome::Ok);
    EXPECT_EQ(answer.waited, absl::ZeroDuration());
    body[7] = 5; // the end
    answer = read();
    EXPECT_EQ(answer.outcome, batch::store_outcome::Ok);
    EXPECT_EQ(answer.waited, wait);
}

// Guards against short texts that take the memory of the process when they are parsed, and against
// a limit that refuses the largest legal job or a heartbeat with long lists.
TEST(json_limit_test, valuesAreLimitedAndTheLargestLegalBodiesAreNot)
{
    const auto repeated = [](const std::string &text, std::size_t count) {
        std::string all;
        for (std::size_t i = 0; i < count; ++i)
            all += (i == 0 ? "" : ",") + text;
        return "[" + all + "]";
    };
    json job = {{"spec", std::string(4'000, 'x')}, {"steps", json::array()}};
    for (int step = 0; step < 64; ++step) {
        json fields = {{"count", 1}, {"cpu", 1'000}, {"memMb", 100}, {"gpu", 0}, {"estimateMs", 1}};
        for (const char *flag : {"gang", "checkpointed", "speculative", "longRunning", "fills"})
            fields[flag] = false;
        fields["dependsOn"] = json::array();
        for (int earlier = 0; earlier < step; ++earlier)
            fields["dependsOn"].push_back(earlier);
        job["steps"].push_back(fields);
    }
    EXPECT_TRUE(decodeJob(job.dump()).has_value());
    const std::string step = R"({"count":1,"cpu":1,"memMb":1,"gpu":0,"estimateMs":1})";
    const auto jobWith = [&](std::size_t values) {
        return R"({"spec":"","steps":[)" + step + R"(],"x":)" + repeated("{}", values) + "}";
    };
    EXPECT_TRUE(decodeJob(jobWith(16'000)).has_value());
    EXPECT_FALSE(decodeJob(jobWith(87'000)).has_value());
    EXPECT_FALSE(decodeJob(R"({"spec":"","steps":)" + repeated("{}", 80'000) + "}").has_value());

    const worker_identity worker {"s", "127.0.0.1:1"};
    const auto heartbeatWith = [&](const std::string &list) {
        return R"({"service":"s","address":"127.0.0.1:1","zone":"z","state":"ready","born":1,)"
               R"("seq":1,"capacity":{"cpu":1,"memMb":1,"gpu":0},"labels":["a"],"running":)"
            + list + "}";
    };
    const std::string row = R"({"task":"0123456789abcdef.0.0.0","runId":1,"percent":50})";
    EXPECT_TRUE(decodeHeartbeat("i-1", heartbeatWith(repeated(row, 70'000)), 1, worker));
    EXPECT_FALSE(decodeHeartbeat("i-1", heartbeatWith(repeated("{}", 1'000'000)), 1, worker));
}

// Guards against a refusal without a Retry-After header or with a wrong status, and against call
// fields that are lost.
TEST(front_adapter_test, translatesCallsAndReplies)
{
    http_request request;
    request.method = "POST";
    request.host = "host:8521";
    request.path = "/p/5c0e7a21d94b36f8";
    request.authorization = "Bearer k1";
    request.deadlineMs = "1500";
    request.body = Job;
    const absl::Time now = absl::UnixEpoch();
    const auto call = decodeCall(request, now);
    ASSERT_TRUE(call.has_value());
    EXPECT_EQ(call->host, "host");
    EXPECT_EQ(call->key, "k1");
    EXPECT_EQ(call->deadline, now + absl::Milliseconds(1500));
    ASSERT_TRUE(call->job.has_value());
    request.method = "PATCH";
    EXPECT_FALSE(decodeCall(request, now).has_value());

    batch::job_reply reply;
    reply.kind = batch::reply_kind::Refused;
    reply.retryAfter = absl::Milliseconds(1200);
    const http_response response = encodeReply(reply);
    EXPECT_EQ(response.status, 503);
    ASSERT_EQ(response.headers.size(), 1U);
    EXPECT_EQ(response.headers[0].second, "2");
}

} // namespace
} // namespace hyssoppond::platform
