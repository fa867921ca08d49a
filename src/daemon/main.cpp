/// @file The daemon, which runs as an entry or as an agent depending on its settings.
#include "client_limits.h"
#include "hyssoppond/agent/agent_node_base.h"
#include "hyssoppond/base/log_func.h"
#include "hyssoppond/base/process_clock_base.h"
#include "hyssoppond/base/settings_base.h"
#include "hyssoppond/entry/entry_node_base.h"
#include "hyssoppond/platform/http_log_port.h"
#include "hyssoppond/platform/http_runner_port.h"
#include "hyssoppond/platform/http_worker_port.h"
#include "platform/platform_node.h"

#include <absl/strings/str_format.h>
#include <csignal>
#include <curl/curl.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

namespace hyssoppond {
namespace {

const std::vector<setting_rule> &rules()
{
    using kind = setting_kind;
    static const std::vector<setting_rule> all {
        {"role", kind::Text, "", "role of the process", 0, 0, {"entry", "agent"}, true},
        {"name", kind::Text, "", "unique name of the process, at most 40 bytes", 0, 0, {}, true},
        {"zone", kind::Text, "", "availability zone of the process", 0, 0, {}, true},
        {"control",
         kind::Address,
         "127.0.0.1:7000",
         "address for frames of the hyssoppond protocol",
         0,
         0,
         {},
         true},
        {"http",
         kind::Address,
         "127.0.0.1:8000",
         "address of the procedures (entry), /metrics and /healthz",
         0,
         0,
         {},
         true},
        {"seeds", kind::AddressList, "", "control addresses of other processes to join through"},
        {"log", kind::Address, "", "address of the platform's log service (entry)"},
        {"domain", kind::Text, "site", "placement domain (entry)"},
        {"threads", kind::Number, "2", "threads that run the state machines", 1, 64},
        {"worker-url", kind::Text, "", "URL of the worker that the agent serves"},
        {"worker", kind::Text, "", "name of the worker (agent)"},
        {"rack", kind::Text, "", "rack of the worker (agent)"},
        {"accelerators", kind::Number, "8", "accelerators of the worker", 1,
         MaxAcceleratorsPerWorker},
        {"runner-url", kind::Text, "", "URL of the runner that the agent serves"},
        {"runner", kind::Text, "", "name of the runner (agent)"},
        {"runner-slots", kind::Number, "8", "calls that the runner answers at once", 1, 1000},
        {"runner-connections", kind::Number, "64", "connections of the runner", 1, 10'000},
        {"gang-interval-ms", kind::Number, "1000", "between two lease renewals, in ms", 50, 60'000},
        {"gang-lease-ms", kind::Number, "3000", "lease of a gang's tasks, in ms", 150, 600'000},
        {"checkpoint-ms", kind::Number, "5000", "time for a checkpoint before a stop, in ms", 0,
         3'600'000},
        {"max-clock-skew-ms", kind::Number, "250", "largest clock difference assumed, in ms", 0,
         10'000},
        {"outage-right-seconds", kind::Number, "1800",
         "time for which the decider may start urgent work while the log is down, in s", 10,
         86'400},
        {"shutdown-seconds", kind::Number, "30", "time to finish requests at shutdown, in s", 0,
         3600},
        {"memory-mb", kind::Number, "0", "memory of the machine in MB; 0: as the system reports", 0,
         16'777'216},
        {"rpc-connections", kind::Number, "1000", "connections at the address --http", 16, 100'000},
        {"peer-connections", kind::Number, "1024", "connections at the address --control", 16,
         100'000},
        {"peer-connections-per-address", kind::Number, "256",
         "connections at the address --control from one address", 1, 100'000},
        {"log-level",
         kind::Text,
         "info",
         "least severity that is logged",
         0,
         0,
         {"debug", "info", "warn", "error"}},
    };
    return all;
}

/// Invalid combinations of settings, one line for each; empty if there are none.
std::string combinationErrors(const settings &values)
{
    std::string errors;
    const auto require = [&](bool valid, const char *text) {
        if (!valid)
            errors += std::string("  ") + text + "\n";
    };
    const bool entry = values.text("role") == "entry";
    require(!entry || !values.text("log").empty(), "--log is required for --role entry");
    require(entry || !values.text("worker").empty() || !values.text("runner").empty(),
            "--role agent needs --worker or --runner");
    require(values.text("worker").empty() == values.text("worker-url").empty(),
            "--worker and --worker-url go together");
    require(values.text("runner").empty() == values.text("runner-url").empty(),
            "--runner and --runner-url go together");
    require(values.text("worker").empty() || !values.text("rack").empty(),
            "--rack is required with --worker");
    require(values.text("name").size() <= MaxMemberNameBytes, "--name is longer than 40 bytes");
    require(values.number("gang-interval-ms") * 3 <= values.number("gang-lease-ms"),
            "--gang-lease-ms must be at least 3 times --gang-interval-ms");
    return errors;
}

address addressOf(const host_port &value)
{
    return {value.host, value.port};
}

std::vector<address> seedsOf(const settings &values)
{
    std::vector<address> seeds;
    for (const host_port &seed : values.addresses("seeds"))
        seeds.push_back(addressOf(seed));
    return seeds;
}

endpoint endpointOf(const settings &values)
{
    endpoint self;
    self.agent = process_id(values.text("name"));
    self.incarnation = static_cast<incarnation_number>(absl::ToUnixMicros(processNow()));
    self.control = addressOf(values.address("control"));
    self.zone = zone_id(values.text("zone"));
    if (values.text("role") == "entry")
        return self;
    if (!values.text("worker").empty()) {
        self.servedWorker.id = worker_id(values.text("worker"));
        self.servedWorker.agent = self.agent;
        self.servedWorker.rack = rack_id(values.text("rack"));
        self.servedWorker.zone = self.zone;
        self.servedWorker.accelerators = static_cast<std::uint32_t>(values.number("accelerators"));
    }
    if (!values.text("runner").empty()) {
        self.servedRunner.id = runner_id(values.text("runner"));
        self.servedRunner.agent = self.agent;
        self.servedRunner.zone = self.zone;
        self.servedRunner.slots = static_cast<std::uint32_t>(values.number("runner-slots"));
        self.servedRunner.connections
            = static_cast<std::uint32_t>(values.number("runner-connections"));
    }
    return self;
}

gang_options gangOptions(const settings &values)
{
    gang_options gang;
    gang.interval = absl::Milliseconds(values.number("gang-interval-ms"));
    gang.lease = absl::Milliseconds(values.number("gang-lease-ms"));
    gang.maxClockSkew = absl::Milliseconds(values.number("max-clock-skew-ms"));
    gang.checkpointTimeout = absl::Milliseconds(values.number("checkpoint-ms"));
    return gang;
}

/// Starts the node, waits for one of `signals` and stops the node within shutdown-seconds.
/// Returns the exit code of the process.
template<class node_type>
int serve(node_type *node, const settings &values, const sigset_t &signals)
{
    const auto started = node->start();
    if (!started) {
        writeLog(log_level::Error, started.error().message);
        return 1;
    }
    writeLog(log_level::Info, "started", {{"role", values.text("role")}});
    int signal = 0;
    sigwait(&signals, &signal);
    writeLog(log_level::Info, "leaving");
    node->stop(processNow() + absl::Seconds(values.number("shutdown-seconds")));
    writeLog(log_level::Info, "stopped");
    return 0;
}

int serveEntry(const settings &values, const sigset_t &signals)
{
    counter_registry counters;
    entry_settings entry;
    entry.self = endpointOf(values);
    entry.seeds = seedsOf(values);
    entry.http = addressOf(values.address("http"));
    entry.threads = static_cast<std::size_t>(values.number("threads"));
    entry.cluster.self = entry.self.agent;
    entry.cluster.incarnation = entry.self.incarnation;
    entry.cluster.domain = journal::domain_id(values.text("domain"));
    entry.cluster.gang = gangOptions(values);
    entry.cluster.maxClockSkew = entry.cluster.gang.maxClockSkew;
    entry.cluster.outageLease = absl::Seconds(values.number("outage-right-seconds"));
    http_log_options log;
    log.server = addressOf(values.address("log"));
    client_budget budget(clientLimits(values));
    entry.clients = clientSettings(values, &budget);
    entry_node node(entry, std::make_unique<http_log_port>(log), &counters);
    return serve(&node, values, signals);
}

int serveAgent(const settings &values, const sigset_t &signals)
{
    counter_registry counters;
    agent_settings agent;
    agent.self = endpointOf(values);
    agent.seeds = seedsOf(values);
    agent.metrics = addressOf(values.address("http"));
    agent.threads = static_cast<std::size_t>(values.number("threads"));
    agent.gang = gangOptions(values);
    std::unique_ptr<worker_port> worker;
    if (!values.text("worker-url").empty()) {
        http_worker_options options;
        options.url = values.text("worker-url");
        worker = std::make_unique<http_worker_port>(options);
    }
    std::unique_ptr<runner_port> runner;
    if (!values.text("runner-url").empty())
        runner = std::make_unique<http_runner_port>(http_runner_options {
            values.text("runner-url"), static_cast<std::size_t>(values.number("runner-slots"))});
    client_budget budget(clientLimits(values));
    agent.clients = clientSettings(values, &budget);
    agent_node node(agent, std::move(worker), std::move(runner), &counters);
    return serve(&node, values, signals);
}

/// Prepares the process before it starts threads: blocks SIGTERM and SIGINT in all of them, so that
/// only sigwait() receives these signals, ignores SIGPIPE and initializes curl.
void initializeProcess(sigset_t *signals)
{
    sigemptyset(signals);
    sigaddset(signals, SIGTERM);
    sigaddset(signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

/// Role from the arguments "--role ROLE", or empty if they differ from that form. At the users'
/// platform all other settings come from the platform's file.
std::string platformRole(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() == 2 && arguments[0] == "--role"
        && (arguments[1] == "entry" || arguments[1] == "agent"))
        return arguments[1];
    return "";
}

int run(int argc, char **argv)
{
    if (const auto path = processEnvironment(platform::SettingsVariable)) {
        const std::string role = platformRole(argc, argv);
        if (role.empty()) {
            std::cerr << "with " << platform::SettingsVariable
                      << " the only argument is --role entry or --role agent\n";
            return 2;
        }
        sigset_t signals;
        initializeProcess(&signals);
        sigaddset(&signals, SIGHUP);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        // Exits without running static destructors. One of them lets log4cplus join its idle
        // threads, which does not return on the platform's machines, so that the platform kills
        // the process after its grace period.
        std::quick_exit(platform::runAtPlatform(role, *path));
    }
    std::vector<char *> arguments;
    bool checkOnly = false;
    for (int i = 0; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument == "--help") {
            std::cout << describeRules("hyssoppond", rules())
                      << "  --check-settings           print the settings in force and exit\n";
            return 0;
        }
        if (argument == "--check-settings")
            checkOnly = true;
        else
            arguments.push_back(argv[i]);
    }
    const auto values = settings::read(rules(), static_cast<int>(arguments.size()),
                                       arguments.data(), processEnvironment);
    if (!values) {
        std::cerr << values.error().message << "\n";
        return 2;
    }
    const std::string errors = combinationErrors(*values);
    if (!errors.empty()) {
        std::cerr << "invalid combination of settings; correct the following:\n" << errors;
        return 2;
    }
    if (checkOnly) {
        std::cout << values->describe();
        return 0;
    }
    sigset_t signals;
    initializeProcess(&signals);
    returnLargeBlocks();
    startLog(LogLevelNames.find(values->text("log-level")).value_or(log_level::Info),
             values->text("name"), values->text("zone"));
    return values->text("role") == "entry" ? serveEntry(*values, signals)
                                           : serveAgent(*values, signals);
}

} // namespace
} // namespace hyssoppond

int main(int argc, char **argv)
{
    return hyssoppond::run(argc, argv);
}
