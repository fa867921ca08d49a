/// @file Implementation of the output of the tool.
#include "tool_print_func.h"

#include <absl/strings/str_format.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>

namespace hyssoppond {

namespace {

/// Formats a time in ms since the epoch as the time of day in UTC; 0 is a time that is not set.
std::string formatTimeOfDay(std::int64_t unixMillis)
{
    return unixMillis == 0
        ? "-"
        : absl::FormatTime("%H:%M:%E3S", absl::FromUnixMillis(unixMillis), absl::UTCTimeZone());
}

std::string textOrDash(const std::string &text)
{
    return text.empty() ? "-" : text;
}

} // namespace

void print(tool_context *context, const google::protobuf::Message &message,
           const std::vector<std::vector<std::string>> &table)
{
    if (context->json) {
        std::string text;
        google::protobuf::util::JsonPrintOptions options;
        options.always_print_primitive_fields = true;
        options.preserve_proto_field_names = true;
        (void)google::protobuf::util::MessageToJsonString(message, &text, options);
        *context->out << text << "\n";
        return;
    }
    std::vector<std::size_t> widths;
    for (const auto &row : table) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : table) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i]
                + std::string(i + 1 < row.size() ? widths[i] - row[i].size() + 2 : 0, ' ');
        *context->out << line << "\n";
    }
}

std::vector<std::vector<std::string>> jobRows(const std::vector<v1::Job> &jobs)
{
    std::vector<std::vector<std::string>> rows {
        {"JOB", "TEAM", "STATE", "ATTEMPT", "SHAPE", "STARTED", "ENDED", "WORKERS", "WAITS FOR"}};
    for (const v1::Job &job : jobs) {
        std::string workers;
        for (const v1::GangMember &member : job.members())
            workers += (workers.empty() ? "" : ",") + member.worker();
        rows.push_back({job.id(), job.team(), v1::JobState_Name(job.state()),
                        absl::StrFormat("%d", job.attempt()),
                        absl::StrFormat("%dx%d/%s", job.shape().members(),
                                        job.shape().accelerators_per_member(),
                                        v1::Adjacency_Name(job.shape().within())),
                        formatTimeOfDay(job.started_unix_ms()),
                        formatTimeOfDay(job.ended_unix_ms()), textOrDash(workers),
                        textOrDash(job.waiting_for())});
    }
    return rows;
}

std::vector<std::vector<std::string>> nodeRows(const v1::NodesResponse &nodes)
{
    std::vector<std::vector<std::string>> rows {
        {"PROCESS", "ROLE", "ZONE", "STATE", "WORKER", "IN USE", "CONDITION", "RUNNER"}};
    for (const v1::Node &node : nodes.nodes()) {
        const bool hasWorker = !node.worker().empty();
        rows.push_back(
            {node.process(), node.role(), node.zone(), node.state(), textOrDash(node.worker()),
             hasWorker ? absl::StrFormat("%d/%d", node.accelerators_in_use(), node.accelerators())
                       : "-",
             node.draining() ? "Draining" : textOrDash(node.condition()),
             textOrDash(node.runner())});
    }
    rows.push_back({absl::StrFormat("decider %s, epoch %d, journal offset %d", nodes.decider(),
                                    nodes.epoch(), nodes.journal_offset())});
    for (const std::string &risk : nodes.guarantees_at_risk())
        rows.push_back({"guarantee at risk: " + risk});
    return rows;
}

std::vector<std::vector<std::string>> configRows(const v1::ShowResponse &config)
{
    std::vector<std::vector<std::string>> rows {{"KEY", "VERSION", "VALUE"}};
    for (const v1::ConfigItem &item : config.items())
        rows.push_back({item.key(), absl::StrFormat("%d", item.version()), item.value()});
    return rows;
}

std::string describe(const error &problem)
{
    std::string text = absl::StrFormat("%s: %s (%s)", ReasonNames.name(problem.why),
                                       problem.message, ExecutionNames.name(problem.state));
    if (problem.winningVersion != 0)
        absl::StrAppendFormat(&text, "; version in force: %d", problem.winningVersion);
    return text;
}

exit_code exitCodeOf(const error &problem)
{
    if (problem.why == reason::ConnectionFailed && problem.state == execution::NotRun)
        return exit_code::NoEntry;
    switch (problem.state) {
    case execution::NotRun:
        return exit_code::NotRun;
    case execution::Unknown:
        return exit_code::Unknown;
    case execution::Ran:
        break;
    }
    return exit_code::Failed;
}

} // namespace hyssoppond
