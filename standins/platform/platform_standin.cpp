/// @file Stand-in for the users' platform on loopback: the store, the runners and the heartbeats of
/// their agents. Its state outlives restarts of the processes under test.
#include "hyssoppond/fakes/fake_item_worker_base.h"
#include "hyssoppond/fakes/fake_store_base.h"
#include "hyssoppond/loop/http_client_base.h"
#include "hyssoppond/loop/http_server_base.h"
#include "platform/json_field_func.h"
#include "platform/store_adapter.h"
#include "platform/wire_decode_func.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <cxxopts.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace hyssoppond {
namespace {

using platform::json;

/// Largest append that the store takes. Some hundred submissions at once come in one of 3 MB.
constexpr std::size_t MaxAppendBytes = 8'388'608;

/// Time between two heartbeats of a runner.
constexpr absl::Duration HeartbeatInterval = absl::Milliseconds(500);

/// Deadline of a heartbeat, from its sending.
constexpr absl::Duration HeartbeatTimeout = absl::Seconds(1);

std::string bigEndian(std::uint64_t value)
{
    std::string out;
    for (int shift = 56; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>((value >> shift) & 0xff));
    return out;
}

http_response jsonResponse(int status, const json &body)
{
    http_response response;
    response.status = status;
    // Keys of other writers may hold bytes that are not UTF-8.
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

std::string argument(const http_request &request, const char *name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

std::uint64_t numberArgument(const http_request &request, const char *name)
{
    std::uint64_t value = 0;
    return absl::SimpleAtoi(argument(request, name), &value) ? value : 0;
}

/// Runs the fakes in real time: each round of the loop advances the virtual clock to the time that
/// has passed on the steady clock. Breaches that the fakes record are printed to standard output.
class platform_standin
{
public:
    platform_standin()
        : m_client(&m_loop)
        , m_store(&m_clock)
        , m_history(&m_clock)
        , m_storePort(m_store.portOf("any", m_alive))
    {
        m_loop.onRound([this] {
            m_clock.runUntil(m_virtualStart + (event_loop::steadyNow() - m_steadyStart));
            for (; m_printedBreaches < m_history.breaches.size(); ++m_printedBreaches)
                std::cout << "BREACH " << m_history.breaches[m_printedBreaches] << std::endl;
            return m_steadyStart + (m_clock.nextEvent() - m_virtualStart);
        });
    }

    void putConfig(const std::string &text)
    {
        m_store.put(platform::OperatorTopic, "config", text);
    }

    void serveStore(const std::string &host, std::uint16_t port)
    {
        http_server_options options;
        options.host = host;
        options.port = port;
        options.maxBodyBytes = MaxAppendBytes;
        m_storeServer = std::make_unique<http_server>(
            &m_loop, options, [this](const http_request &request, const http_responder &respond) {
                handleStore(request, respond);
            });
    }

    void addRunner(const std::string &host, std::uint16_t port, const std::string &agentControl)
    {
        auto runner = std::make_unique<runner_entry>();
        batch::worker_description description;
        description.worker = absl::StrCat("i-", port);
        description.service = "service";
        description.zone = "zone-1";
        description.capacity = {64'000, 262'144, 8};
        description.labels = {"a", "r1-1"};
        runner->worker
            = std::make_unique<fake_item_worker>(&m_clock, &m_history, std::move(description));
        runner->worker->itemTime = absl::Seconds(3);
        runner->port = runner->worker->portTo(m_alive);
        runner->control = agentControl;
        runner->address = absl::StrCat(host, ":", port);
        http_server_options options;
        options.host = host;
        options.port = port;
        runner->server = std::make_unique<http_server>(
            &m_loop, options,
            [this, entry = runner.get()](const http_request &request,
                                         const http_responder &respond) {
                handleRunner(entry, request, respond);
            });
        sendHeartbeat(runner.get());
        m_runners.push_back(std::move(runner));
    }

    void run() { m_loop.run(); }

private:
    struct runner_entry
    {
        std::unique_ptr<fake_item_worker> worker;
        batch::item_worker_port port;
        std::unique_ptr<http_server> server;
        std::string control;
        std::string address; ///< HOST:PORT at which it takes orders
        std::uint64_t sequence = 0;
    };

    void handleStore(const http_request &request, const http_responder &respond);
    void append(const http_request &request, const http_responder &respond);
    void handleRunner(runner_entry *runner, const http_request &request,
                      const http_responder &respond);
    void sendHeartbeat(runner_entry *runner);
    static absl::Time noDeadline() { return absl::InfiniteFuture(); }

    event_loop m_loop;
    http_client m_client;
    virtual_clock m_clock;
    absl::Time m_virtualStart = m_clock.now();
    absl::Time m_steadyStart = event_loop::steadyNow();
    fake_store m_store;
    item_history m_history;
    std::size_t m_printedBreaches = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    batch::store_port m_storePort;
    std::unique_ptr<http_server> m_storeServer;
    std::vector<std::unique_ptr<runner_entry>> m_runners;
};

void platform_standin::append(const http_request &request, const http_responder &respond)
{
    batch::append_request call;
    call.topic = argument(request, "topic");
    call.deadline = noDeadline();
    const auto records
        = platform::decodeRecords(call.topic, 0, std::string(16, '\0') + request.body);
    if (!records) {
        respond(jsonResponse(400, json::object()));
        return;
    }
    call.records = records->records;
    if (request.query.contains("producer"))
        call.producer = {argument(request, "producer"), numberArgument(request, "epoch"),
                         numberArgument(request, "seq")};
    m_storePort.append(
        call, [this, respond, topic = call.topic](const batch::append_answer &answer) {
            if (answer.outcome == batch::store_outcome::Ok)
                respond(
                    jsonResponse(200, {{"offset", answer.offset}, {"end", m_store.endOf(topic)}}));
            else
                respond(jsonResponse(409, {{"reason", "fenced"}}));
        });
}

void platform_standin::handleStore(const http_request &request, const http_responder &respond)
{
    const std::string topic = argument(request, "topic");
    if (request.path == "/-/log-append") {
        append(request, respond);
    } else if (request.path == "/-/log-read") {
        const auto wait
            = absl::Milliseconds(static_cast<std::int64_t>(numberArgument(request, "waitMs")));
        m_storePort.read({topic, numberArgument(request, "from"), wait, noDeadline()},
                         [respond, topic](const batch::read_answer &answer) {
                             http_response response;
                             response.contentType = "application/octet-stream";
                             response.body = bigEndian(answer.end) + bigEndian(answer.first)
                                 + platform::encodeRecords(topic, answer.records);
                             respond(response);
                         });
    } else if (request.path == "/-/log-newest") {
        m_storePort.newest(
            {topic, "", noDeadline()}, [respond](const batch::newest_answer &answer) {
                json items = json::array();
                for (const batch::stored_record &record : answer.records)
                    items.push_back({{"key", record.key},
                                     {"value", absl::Base64Escape(record.value)},
                                     {"offset", record.offset}});
                respond(
                    jsonResponse(200, {{"items", items}, {"more", false}, {"end", answer.end}}));
            });
    } else if (request.path == "/-/log-join") {
        const json body = platform::parseJson(request.body);
        batch::join_request call;
        call.group = platform::textField(body, "group").value_or("");
        call.member = platform::textField(body, "member").value_or("");
        call.ttl = absl::Milliseconds(platform::numberField(body, "ttlMs").value_or(1000));
        call.generation
            = static_cast<std::uint64_t>(platform::numberField(body, "generation").value_or(0));
        call.deadline = noDeadline();
        const std::string joined = body["topics"][0].get<std::string>();
        m_storePort.join(call, [respond, joined](const batch::join_answer &answer) {
            json parts = json::array();
            for (const std::uint32_t part : answer.partitions)
                parts.push_back(json::array({joined, part, 0}));
            respond(jsonResponse(200, {{"generation", answer.generation}, {"parts", parts}}));
        });
    } else {
        respond(jsonResponse(200, json::object()));
    }
}

void platform_standin::handleRunner(runner_entry *runner, const http_request &request,
                                    const http_responder &respond)
{
    const json body = platform::parseJson(request.body);
    if (!body.is_object()) {
        respond(jsonResponse(400, json::object()));
        return;
    }
    const auto number = [&body](const char *name) {
        return static_cast<std::uint64_t>(platform::numberField(body, name).value_or(0));
    };
    const auto run = platform::parseTaskName(platform::textField(body, "task").value_or(""),
                                             static_cast<std::uint32_t>(number("runId")));
    const auto respondToOrder = [respond](const batch::order_answer &answer) {
        const bool done = answer.outcome == batch::order_outcome::Done;
        const bool stale = answer.outcome == batch::order_outcome::StaleToken;
        json content = {{"clockMs", answer.workerClockMs.value_or(0)}};
        if (!done)
            content["reason"] = stale ? "fence" : "old";
        respond(jsonResponse(done ? 200 : 409, content));
    };
    const std::string worker = runner->worker->description().worker;
    if (request.path == "/-/run-start" && run) {
        runner->port.start({*run, platform::textField(body, "spec").value_or(""),
                            platform::textField(body, "checkpoint").value_or(""),
                            static_cast<std::int64_t>(number("untilMs")), number("fenceToken"),
                            worker, noDeadline()},
                           respondToOrder);
    } else if (request.path == "/-/run-stop" && run) {
        runner->port.stop({*run, number("fenceToken"), worker, noDeadline()}, respondToOrder);
    } else if (request.path == "/-/hold") {
        batch::poll_request poll;
        poll.leaseUntilMs = platform::numberField(body, "untilMs");
        poll.fencingToken = number("fenceToken");
        poll.acknowledgedEnd = number("lastSeen");
        poll.wait = absl::Milliseconds(static_cast<std::int64_t>(number("waitMs")));
        poll.worker = worker;
        poll.deadline = noDeadline();
        runner->port.poll(poll, [respond](const batch::poll_answer &answer) {
            if (answer.outcome != batch::order_outcome::Done) {
                respond(jsonResponse(409, {{"reason", "fence"}}));
                return;
            }
            json running = json::array();
            for (const batch::running_item &item : answer.running)
                running.push_back(json::array(
                    {platform::taskName(item.run), item.run.run, item.checkpoint, item.percent}));
            json ended = json::array();
            for (const batch::ended_item &item : answer.ended)
                ended.push_back(json::array(
                    {item.number, platform::taskName(item.run), item.run.run,
                     item.how == batch::run_end::Done ? "done" : "stopped", item.checkpoint}));
            respond(jsonResponse(200,
                                 {{"clockMs", answer.workerClockMs.value_or(0)},
                                  {"born", answer.workerStartMs.value_or(0)},
                                  {"running", running},
                                  {"ended", ended}}));
        });
    } else {
        respond(jsonResponse(404, json::object()));
    }
}

void platform_standin::sendHeartbeat(runner_entry *runner)
{
    const batch::worker_description &worker = runner->worker->description();
    http_call call;
    call.method = "POST";
    call.url = "http://" + runner->control + "/-/Instances.Heartbeat/" + worker.worker;
    call.contentType = "application/json";
    call.body = json {{"service", worker.service},
                      {"address", runner->address},
                      {"zone", worker.zone},
                      {"state", "ready"},
                      {"capacity",
                       {{"cpu", worker.capacity.cpuMilli},
                        {"memMb", worker.capacity.memoryMb},
                        {"gpu", worker.capacity.accelerators}}},
                      {"labels", worker.labels},
                      {"born", worker.workerStartMs},
                      {"seq", ++runner->sequence}}
                    .dump();
    call.deadline = event_loop::steadyNow() + HeartbeatTimeout;
    // A failed heartbeat is not retried, because the next one replaces it.
    m_client.send(call, [](const http_reply &) {});
    m_loop.callAt(event_loop::steadyNow() + HeartbeatInterval,
                  [this, runner] { sendHeartbeat(runner); });
}

int serve(int argc, char **argv)
{
    cxxopts::Options options("hyssoppond-platform-standin", "the users' platform on loopback");
    options.add_options()("store", "HOST:PORT of the store", cxxopts::value<std::string>())(
        "runner", "HOST:PORT=AGENT_HOST:PORT, repeatable",
        cxxopts::value<std::vector<std::string>>())("config", "file with the configuration",
                                                    cxxopts::value<std::string>());
    const auto values = options.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    platform_standin standin;
    std::ifstream file(values["config"].as<std::string>());
    std::ostringstream text;
    text << file.rdbuf();
    standin.putConfig(std::move(text).str());
    const auto split = [](const std::string &address) {
        const std::vector<std::string> parts = absl::StrSplit(address, ':');
        std::uint32_t port = 0;
        if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &port))
            throw std::runtime_error("'" + address + "' is not HOST:PORT");
        return std::make_pair(parts[0], static_cast<std::uint16_t>(port));
    };
    const auto store = split(values["store"].as<std::string>());
    standin.serveStore(store.first, store.second);
    for (const std::string &mapping : values["runner"].as<std::vector<std::string>>()) {
        const std::vector<std::string> pair = absl::StrSplit(mapping, '=');
        const auto runner = split(pair.at(0));
        standin.addRunner(runner.first, runner.second, pair.at(1));
    }
    standin.run();
    return 0;
}

} // namespace
} // namespace hyssoppond

int main(int argc, char **argv)
{
    try {
        return hyssoppond::serve(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
