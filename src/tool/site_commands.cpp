/// @file Commands for calls, configuration, nodes and counters.
#include "arguments_base.h"
#include "command_groups_func.h"
#include "tool_print_func.h"

#include "hyssoppond/base/process_clock_base.h"

#include <absl/strings/str_format.h>

namespace hyssoppond {

namespace {

using word_list = std::vector<std::string>;

result<exit_code> call(tool_context *context, const word_list &commandWords, bool checkOnly)
{
    const auto parsed = arguments::parse(
        commandWords,
        {{"team", "caller", "urgency", "request-id", "token"}, {"not-repeatable"}, 1, 1});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    const auto urgency = parseUrgency(parsed->text("urgency", "normal"));
    if (!urgency)
        return tl::unexpected<error>(urgency.error());
    if (checkOnly)
        return exit_code::Ok;
    v1::CallRequest request;
    request.set_team(parsed->text("team"));
    request.set_caller(parsed->text("caller"));
    request.set_urgency(*urgency);
    request.set_token(parsed->text("token"));
    request.set_not_repeatable(parsed->has("not-repeatable"));
    request.set_payload(parsed->positional()[0]);
    request.set_request_id(requestIdFor(context, parsed->text("request-id")));
    request.set_timeout_ms(absl::ToInt64Milliseconds(context->timeout));
    v1::CallResponse response;
    // The request id or the token identifies the call, so that it may be sent to another entry as
    // well.
    const auto outcome
        = context->client->call("/hyssoppond.v1.Calls/Call", request, &response,
                                processNow() + context->timeout, repetition::Allowed);
    if (!outcome)
        return tl::unexpected<error>(outcome.error());
    print(context, response, {{response.payload()}});
    return exit_code::Ok;
}

result<exit_code> reserve(tool_context *context, const word_list &commandWords, bool checkOnly)
{
    const auto parsed = arguments::parse(commandWords, {{"team", "valid-seconds"}, {}, 0, 0});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    const auto validSeconds = parsed->number("valid-seconds", 60, 1800);
    if (!validSeconds)
        return tl::unexpected<error>(validSeconds.error());
    if (checkOnly)
        return exit_code::Ok;
    v1::ReserveRequest request;
    request.set_team(parsed->text("team"));
    request.set_timeout_ms(static_cast<std::int64_t>(*validSeconds) * 1000);
    v1::ReserveResponse response;
    const auto outcome = callProcedure(context, "Calls/Reserve", request, &response);
    if (!outcome)
        return tl::unexpected<error>(outcome.error());
    print(context, response, {{response.token()}});
    return exit_code::Ok;
}

/// Publishes one key and prints its new version. Without --expect, it replaces any version.
result<exit_code> publishKey(tool_context *context, const arguments &parsedArguments,
                             const std::string &key, const std::string &value, bool checkOnly)
{
    v1::PublishRequest request;
    request.set_key(key);
    request.set_value(value);
    request.set_any_version(!parsedArguments.has("expect"));
    const auto expectedVersion = parsedArguments.number("expect", 0, UINT64_MAX);
    if (!expectedVersion)
        return tl::unexpected<error>(expectedVersion.error());
    if (checkOnly)
        return exit_code::Ok;
    request.set_expected_version(*expectedVersion);
    request.set_request_id(requestIdFor(context, parsedArguments.text("request-id")));
    v1::PublishResponse response;
    const auto outcome = callProcedure(context, "Config/Publish", request, &response);
    if (!outcome)
        return tl::unexpected<error>(outcome.error());
    print(context, response, {{absl::StrFormat("%s version %d", key, response.version())}});
    return exit_code::Ok;
}

const argument_rules PublishRules {{"expect", "request-id"}, {}, 2, 2};

result<exit_code> publish(tool_context *context, const word_list &commandWords, bool checkOnly)
{
    const auto parsed = arguments::parse(commandWords, PublishRules);
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    return publishKey(context, *parsed, parsed->positional()[0], parsed->positional()[1],
                      checkOnly);
}

result<exit_code> remove(tool_context *context, const word_list &commandWords, bool checkOnly)
{
    const auto parsed = arguments::parse(commandWords, {{"expect", "request-id"}, {}, 1, 1});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    return publishKey(context, *parsed, parsed->positional()[0], "", checkOnly);
}

/// Returns a handler that publishes a value under `prefix` and the first positional word. `quota
/// TEAM VALUE` and `reservation TEAM/NAME VALUE` use it.
std::function<result<exit_code>(tool_context *, const word_list &, bool)> publishUnderPrefix(
    const std::string &prefix)
{
    return [prefix](tool_context *context, const word_list &commandWords,
                    bool checkOnly) -> result<exit_code> {
        const auto parsed = arguments::parse(commandWords, PublishRules);
        if (!parsed)
            return tl::unexpected<error>(parsed.error());
        return publishKey(context, *parsed, prefix + parsed->positional()[0],
                          parsed->positional()[1], checkOnly);
    };
}

result<exit_code> show(tool_context *context, const word_list &commandWords, bool checkOnly)
{
    const auto parsed = arguments::parse(commandWords, {{}, {}, 0, 1});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    if (checkOnly)
        return exit_code::Ok;
    v1::ShowRequest request;
    if (!parsed->positional().empty())
        request.set_prefix(parsed->positional()[0]);
    v1::ShowResponse response;
    const auto outcome = callProcedure(context, "Config/Show", request, &response);
    if (!outcome)
        return tl::unexpected<error>(outcome.error());
    print(context, response, configRows(response));
    return exit_code::Ok;
}

result<exit_code> nodes(tool_context *context, const word_list &commandWords, bool checkOnly)
{
    const auto parsed = arguments::parse(commandWords, {});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    if (checkOnly)
        return exit_code::Ok;
    v1::NodesResponse response;
    const auto outcome = callProcedure(context, "Nodes/List", v1::NodesRequest(), &response);
    if (!outcome)
        return tl::unexpected<error>(outcome.error());
    print(context, response, nodeRows(response));
    return exit_code::Ok;
}

/// Returns a handler that starts or ends the drain of an endpoint by the procedure `method`.
std::function<result<exit_code>(tool_context *, const word_list &, bool)> drainHandler(
    const std::string &method)
{
    return [method](tool_context *context, const word_list &commandWords,
                    bool checkOnly) -> result<exit_code> {
        const auto parsed = arguments::parse(commandWords, {{"request-id"}, {}, 1, 1});
        if (!parsed)
            return tl::unexpected<error>(parsed.error());
        if (checkOnly)
            return exit_code::Ok;
        v1::DrainRequest request;
        request.set_endpoint(parsed->positional()[0]);
        request.set_request_id(requestIdFor(context, parsed->text("request-id")));
        v1::PublishResponse response;
        const auto outcome = callProcedure(context, method, request, &response);
        if (!outcome)
            return tl::unexpected<error>(outcome.error());
        print(context, response, {{absl::StrFormat("version %d", response.version())}});
        return exit_code::Ok;
    };
}

result<exit_code> counters(tool_context *context, const word_list &commandWords, bool checkOnly)
{
    const auto parsed = arguments::parse(commandWords, {});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    if (checkOnly)
        return exit_code::Ok;
    const auto page = context->client->get("/metrics", processNow() + context->timeout);
    if (!page)
        return tl::unexpected<error>(page.error());
    *context->out << *page;
    return exit_code::Ok;
}

} // namespace

std::vector<tool_command> siteCommands()
{
    return {
        {"call",
         "[--team TEAM] [--caller NAME] [--urgency U] [--not-repeatable] [--token T] "
         "[--request-id ID] PAYLOAD",
         "send a call to a runner and print its answer", true, call},
        {"reserve", "[--team TEAM] [--valid-seconds N]",
         "get a token for one call that is not repeatable", true, reserve},
        {"config publish", "KEY VALUE [--expect VERSION] [--request-id ID]",
         "put a configuration value in force", true, publish},
        {"config remove", "KEY [--expect VERSION] [--request-id ID]", "remove a configuration key",
         true, remove},
        {"config show", "[PREFIX]", "show the configuration in force", true, show},
        {"quota", "TEAM VALUE [--expect VERSION] [--request-id ID]", "publish team/<TEAM>", true,
         publishUnderPrefix("team/")},
        {"reservation", "TEAM/NAME VALUE [--expect VERSION] [--request-id ID]",
         "publish contract/<TEAM>/<NAME>", true, publishUnderPrefix("contract/")},
        {"nodes", "", "list the processes and what they serve", true, nodes},
        {"drain", "ENDPOINT [--request-id ID]", "give an endpoint no new work", true,
         drainHandler("Nodes/Drain")},
        {"undrain", "ENDPOINT [--request-id ID]", "end a drain", true,
         drainHandler("Nodes/Undrain")},
        {"counters", "", "print the counters of one entry", true, counters},
    };
}

} // namespace hyssoppond
