/// @file Table of commands and global options of the tool.
#include "hyssoppond/tool/tool_base.h"

#include "command_groups_func.h"
#include "tool_print_func.h"

#include "hyssoppond/base/settings_base.h"

#include <absl/random/random.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <iostream>
#include <optional>

namespace hyssoppond {

namespace {

/// Options before the command.
struct global_options
{
    std::vector<address> entries;
    bool json = false;
    absl::Duration timeout = absl::Seconds(30);
    bool help = false;
};

result<void> readEntries(const std::string &text, global_options *options)
{
    std::string rest = text;
    options->entries.clear();
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        const auto one = parseHostPort(rest.substr(0, comma));
        if (!one)
            return fail(reason::InvalidArgument,
                        absl::StrFormat("--entry \"%s\": give numeric IP addresses and ports as "
                                        "127.0.0.1:8000,127.0.0.1:8001",
                                        text));
        options->entries.push_back({one->host, one->port});
        rest = comma == std::string::npos ? "" : rest.substr(comma + 1);
    }
    return {};
}

/// Takes the global options from anywhere before "--"; the rest are the command's words.
result<global_options> takeGlobals(std::vector<std::string> *words)
{
    global_options options;
    auto read
        = readEntries(processEnvironment("HYSSOPPOND_ENTRY").value_or("127.0.0.1:8000"), &options);
    if (!read)
        return tl::unexpected<error>(read.error());
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
            read = readEntries(value, &options);
            if (!read)
                return tl::unexpected<error>(read.error());
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
            "Exit codes: 0 done, 1 the job did not complete, 2 usage, 3 not run, 4 outcome "
            "unknown, 5 failed, 6 no entry reachable.\n";
    return text;
}

} // namespace

const std::vector<tool_command> &toolCommands()
{
    static const std::vector<tool_command> all = [] {
        std::vector<tool_command> commands = jobCommands();
        for (const auto &group : {siteCommands(), runbookCommands()})
            commands.insert(commands.end(), group.begin(), group.end());
        return commands;
    }();
    return all;
}

result<const tool_command *> findCommand(std::vector<std::string> *words)
{
    for (const std::size_t length : {2U, 1U}) {
        if (words->size() < length)
            continue;
        const std::string name = length == 2 ? words->at(0) + " " + words->at(1) : words->at(0);
        for (const tool_command &command : toolCommands()) {
            if (command.name != name)
                continue;
            words->erase(words->begin(), words->begin() + static_cast<std::ptrdiff_t>(length));
            return &command;
        }
    }
    return fail(reason::InvalidArgument,
                absl::StrFormat("unknown command \"%s\"; hyssopctl --help lists the commands",
                                words->empty() ? "" : words->front()));
}

std::string requestIdFor(tool_context *context, const std::string &given)
{
    if (!given.empty())
        return given;
    if (!context->requestId.empty())
        return context->requestId;
    absl::BitGen random;
    return absl::StrFormat("ctl-%016x%016x", absl::Uniform<std::uint64_t>(random),
                           absl::Uniform<std::uint64_t>(random));
}

result<void> ask(tool_context *context, const std::string &method,
                 const google::protobuf::Message &request, google::protobuf::Message *answer)
{
    return context->client->call("/hyssoppond.v1." + method, request, answer,
                                 absl::Now() + context->timeout, repetition::Allowed);
}

result<v1::Urgency> parseUrgency(const std::string &text)
{
    v1::Urgency level = v1::NORMAL;
    if (!v1::Urgency_Parse(absl::AsciiStrToUpper(text), &level))
        return fail(reason::InvalidArgument, "--urgency must be background, normal or urgent");
    return level;
}

int runTool(const std::vector<std::string> &arguments, std::ostream *out, std::ostream *err)
{
    const auto usage = [err](const error &problem) {
        *err << "hyssopctl: " << problem.message << "\n";
        return static_cast<int>(exit_code::Usage);
    };
    std::vector<std::string> words = arguments;
    const auto options = takeGlobals(&words);
    if (!options)
        return usage(options.error());
    if (words.empty()) {
        *out << helpText();
        return static_cast<int>(options->help ? exit_code::Ok : exit_code::Usage);
    }
    const auto command = findCommand(&words);
    if (!command)
        return usage(command.error());
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
    const auto checked = (*command)->inRunbooks ? (*command)->run(&context, words, true)
                                                : result<exit_code>(exit_code::Ok);
    if (!checked)
        return usage(checked.error());
    // One id for the command, so that it can be told to the caller.
    context.requestId = requestIdFor(&context, "");
    const auto done = (*command)->run(&context, words, false);
    if (done)
        return static_cast<int>(*done);
    *err << "hyssopctl: " << describe(done.error()) << "\n";
    const bool hasOwnId = std::any_of(words.begin(), words.end(), [](const std::string &word) {
        return word.rfind("--request-id", 0) == 0;
    });
    if (done.error().state == execution::Unknown && !hasOwnId
        && (*command)->usage.find("--request-id") != std::string::npos)
        *err << "repeat the command with --request-id " << context.requestId << "\n";
    const bool badUsage = done.error().why == reason::InvalidArgument;
    return static_cast<int>(badUsage ? exit_code::Usage : exitCodeOf(done.error()));
}

} // namespace hyssoppond
