/// @file Command table, global options and main function of the tool.
#include "hyssoppond/tool/tool_base.h"

#include "command_groups_func.h"
#include "tool_print_func.h"

#include "hyssoppond/base/process_clock_base.h"
#include "hyssoppond/base/settings_base.h"

#include <absl/random/random.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <iostream>
#include <optional>

namespace hyssoppond {

namespace {

/// Options that apply to every command.
struct global_options
{
    std::vector<address> entries;
    bool json = false;
    absl::Duration timeout = absl::Seconds(30);
    bool help = false;
};

/// Parses a comma-separated list of entries, each a numeric IP address and a port, and replaces
/// those of `options`. Error: InvalidArgument.
result<void> parseEntries(const std::string &text, global_options *options)
{
    std::string rest = text;
    options->entries.clear();
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        const auto entryAddress = parseHostPort(rest.substr(0, comma));
        if (!entryAddress)
            return fail(reason::InvalidArgument,
                        absl::StrFormat("--entry \"%s\": give numeric IP addresses and ports as "
                                        "127.0.0.1:8000,127.0.0.1:8001",
                                        text));
        options->entries.push_back({entryAddress->host, entryAddress->port});
        rest = comma == std::string::npos ? "" : rest.substr(comma + 1);
    }
    return {};
}

/// Removes the global options from the words before "--" and returns them. The remaining words
/// belong to the command. Error: InvalidArgument.
result<global_options> extractGlobalOptions(std::vector<std::string> *words)
{
    global_options options;
    auto entriesRead
        = parseEntries(processEnvironment("HYSSOPPOND_ENTRY").value_or("127.0.0.1:8000"), &options);
    if (!entriesRead)
        return tl::unexpected<error>(entriesRead.error());
    std::vector<std::string> rest;
    for (std::size_t i = 0; i < words->size(); ++i) {
        const std::string &word = words->at(i);
        if (word == "--") {
            rest.insert(rest.end(), words->begin() + static_cast<std::ptrdiff_t>(i), words->end());
            break;
        }
        if (word == "--help") {
            options.help = true;
            continue;
        }
        if (word != "--entry" && word != "--output" && word != "--timeout") {
            rest.push_back(word);
            continue;
        }
        if (++i == words->size())
            return fail(reason::InvalidArgument, word + " needs a value");
        const std::string &value = words->at(i);
        if (word == "--entry") {
            entriesRead = parseEntries(value, &options);
            if (!entriesRead)
                return tl::unexpected<error>(entriesRead.error());
        } else if (word == "--output") {
            if (value != "json" && value != "table")
                return fail(reason::InvalidArgument, "--output must be json or table");
            options.json = value == "json";
        } else {
            int seconds = 0;
            if (!absl::SimpleAtoi(value, &seconds) || seconds < 1 || seconds > 86'400)
                return fail(reason::InvalidArgument,
                            "--timeout must be a number of seconds from 1 to 86400");
            options.timeout = absl::Seconds(seconds);
        }
    }
    *words = std::move(rest);
    return options;
}

std::string helpText()
{
    std::string text = "Usage: hyssopctl [--entry HOST:PORT,...] [--output json|table] "
                       "[--timeout SECONDS] COMMAND ...\n\nCommands:\n";
    for (const tool_command &command : toolCommands())
        absl::StrAppendFormat(&text, "  %-16s %s\n", command.name, command.summary);
    text += "\nhyssopctl COMMAND --help shows the arguments of a command.\n"
            "HYSSOPPOND_ENTRY names the entries when --entry is not given.\n"
            "Exit codes: 0 done, 1 the job did not complete or a check has findings, 2 usage, 3 "
            "not run, 4 outcome "
            "unknown, 5 failed, 6 no entry reachable.\n";
    return text;
}

} // namespace

const std::vector<tool_command> &toolCommands()
{
    static const std::vector<tool_command> all = [] {
        std::vector<tool_command> commands = jobCommands();
        for (const auto &group : {siteCommands(), configCheckCommands(), runbookCommands()})
            commands.insert(commands.end(), group.begin(), group.end());
        return commands;
    }();
    return all;
}

result<const tool_command *> findCommand(std::vector<std::string> *words)
{
    for (const std::size_t wordCount : {2U, 1U}) {
        if (words->size() < wordCount)
            continue;
        const std::string name = wordCount == 2 ? words->at(0) + " " + words->at(1) : words->at(0);
        for (const tool_command &command : toolCommands()) {
            if (command.name != name)
                continue;
            words->erase(words->begin(), words->begin() + static_cast<std::ptrdiff_t>(wordCount));
            return &command;
        }
    }
    return fail(reason::InvalidArgument,
                absl::StrFormat("unknown command \"%s\"; hyssopctl --help lists the commands",
                                words->empty() ? "" : words->front()));
}

std::string requestIdFor(tool_context *context, const std::string &explicitId)
{
    if (!explicitId.empty())
        return explicitId;
    if (!context->requestId.empty())
        return context->requestId;
    absl::BitGen random;
    return absl::StrFormat("ctl-%016x%016x", absl::Uniform<std::uint64_t>(random),
                           absl::Uniform<std::uint64_t>(random));
}

result<void> callProcedure(tool_context *context, const std::string &method,
                           const google::protobuf::Message &request,
                           google::protobuf::Message *answer)
{
    return context->client->call("/hyssoppond.v1." + method, request, answer,
                                 processNow() + context->timeout, repetition::Allowed);
}

result<v1::Urgency> parseUrgency(const std::string &text)
{
    v1::Urgency urgency = v1::NORMAL;
    if (!v1::Urgency_Parse(absl::AsciiStrToUpper(text), &urgency))
        return fail(reason::InvalidArgument, "--urgency must be background, normal or urgent");
    return urgency;
}

int runTool(const std::vector<std::string> &arguments, std::ostream *out, std::ostream *err)
{
    const auto reportUsageError = [err](const error &problem) {
        *err << "hyssopctl: " << problem.message << "\n";
        return static_cast<int>(exit_code::Usage);
    };
    std::vector<std::string> words = arguments;
    const auto options = extractGlobalOptions(&words);
    if (!options)
        return reportUsageError(options.error());
    if (words.empty()) {
        *out << helpText();
        return static_cast<int>(options->help ? exit_code::Ok : exit_code::Usage);
    }
    const auto command = findCommand(&words);
    if (!command)
        return reportUsageError(command.error());
    if (options->help) {
        *out << "Usage: hyssopctl " << (*command)->name << " " << (*command)->usage << "\n"
             << (*command)->summary << "\n";
        return 0;
    }
    rpc_client client({options->entries, false});
    tool_context context;
    context.client = &client;
    context.out = out;
    context.progress = err;
    context.json = options->json;
    context.timeout = options->timeout;
    const auto checkOutcome = (*command)->inRunbooks ? (*command)->run(&context, words, true)
                                                     : result<exit_code>(exit_code::Ok);
    if (!checkOutcome)
        return reportUsageError(checkOutcome.error());
    // The command uses one request id, which is printed below if the outcome is unknown, so that
    // the caller can repeat the command safely.
    context.requestId = requestIdFor(&context, "");
    const auto outcome = (*command)->run(&context, words, false);
    if (outcome)
        return static_cast<int>(*outcome);
    *err << "hyssopctl: " << describe(outcome.error()) << "\n";
    const bool requestIdGiven
        = std::any_of(words.begin(), words.end(),
                      [](const std::string &word) { return word.rfind("--request-id", 0) == 0; });
    if (outcome.error().state == execution::Unknown && !requestIdGiven
        && (*command)->usage.find("--request-id") != std::string::npos)
        *err << "repeat the command with --request-id " << context.requestId << "\n";
    const bool invalidArgument = outcome.error().why == reason::InvalidArgument;
    return static_cast<int>(invalidArgument ? exit_code::Usage : exitCodeOf(outcome.error()));
}

} // namespace hyssoppond
