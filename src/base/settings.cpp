/// @file Reading and checking of settings.
#include "hyssoppond/base/settings_base.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <arpa/inet.h>
#include <cxxopts.hpp>

#include <algorithm>
#include <cstdlib>

namespace hyssoppond {

namespace {

bool isNumericHost(const std::string &host)
{
    unsigned char buffer[sizeof(in6_addr)];
    return inet_pton(AF_INET, host.c_str(), buffer) == 1
        || inet_pton(AF_INET6, host.c_str(), buffer) == 1;
}

std::string environmentName(const std::string &name)
{
    return "HYSSOPPOND_" + absl::AsciiStrToUpper(absl::StrReplaceAll(name, {{"-", "_"}}));
}

std::vector<std::string> splitList(const std::string &text)
{
    return absl::StrSplit(text, ',', absl::SkipEmpty());
}

/// Describes the allowed values of a setting, for error messages and the help text.
std::string describeAllowed(const setting_rule &rule)
{
    switch (rule.kind) {
    case setting_kind::Text:
        return rule.choices.empty() ? "any text" : "one of " + absl::StrJoin(rule.choices, ", ");
    case setting_kind::Number:
        return absl::StrFormat("a whole number from %d to %d", rule.lowest, rule.highest);
    case setting_kind::Address:
        return "a numeric IP address and port as 127.0.0.1:7000 or [::1]:7000";
    case setting_kind::AddressList:
        return "numeric IP addresses and ports, separated by commas";
    case setting_kind::Switch:
        return "true or false";
    }
    return "";
}

bool isAllowed(const setting_rule &rule, const std::string &value)
{
    if (value.empty())
        return !rule.required;
    switch (rule.kind) {
    case setting_kind::Text:
        return rule.choices.empty()
            || std::find(rule.choices.begin(), rule.choices.end(), value) != rule.choices.end();
    case setting_kind::Number: {
        std::int64_t number = 0;
        return absl::SimpleAtoi(value, &number) && number >= rule.lowest && number <= rule.highest;
    }
    case setting_kind::Address:
        return parseHostPort(value).has_value();
    case setting_kind::AddressList: {
        const auto list = splitList(value);
        return std::all_of(list.begin(), list.end(),
                           [](const auto &item) { return parseHostPort(item).has_value(); });
    }
    case setting_kind::Switch:
        return value == "true" || value == "false";
    }
    return false;
}

std::string describeInvalid(const setting_rule &rule, const std::string &value)
{
    return absl::StrFormat("--%s (or %s) is \"%s\"; allowed: %s%s", rule.name,
                           environmentName(rule.name), rule.secret ? "***" : value,
                           describeAllowed(rule), rule.required ? ", required" : "");
}

/// Values of the flags that were given, by name. Error: an unknown flag or an argument that is no
/// flag.
result<std::map<std::string, std::string>> readFlags(const std::vector<setting_rule> &rules,
                                                     int argc, const char *const *argv)
{
    cxxopts::Options options(argv[0]);
    for (const setting_rule &rule : rules) {
        const auto value = rule.kind == setting_kind::Switch
            ? cxxopts::value<std::string>()->implicit_value("true")
            : cxxopts::value<std::string>();
        options.add_options()(rule.name, rule.help, value);
    }
    std::map<std::string, std::string> given;
    try {
        const auto parsed = options.parse(argc, argv);
        for (const setting_rule &rule : rules) {
            if (parsed.count(rule.name) != 0)
                given[rule.name] = parsed[rule.name].as<std::string>();
        }
        if (!parsed.unmatched().empty()) {
            return fail(
                reason::InvalidArgument,
                absl::StrFormat("unexpected argument \"%s\"; settings are flags, see --help",
                                parsed.unmatched().front()));
        }
    } catch (const std::exception &problem) {
        return fail(reason::InvalidArgument,
                    absl::StrFormat("%s; see --help for the settings", problem.what()));
    }
    return given;
}

} // namespace

std::optional<host_port> parseHostPort(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    else if (host.find(':') != std::string::npos)
        return std::nullopt; // an IPv6 address must be in brackets
    std::uint32_t port = 0;
    if (!isNumericHost(host) || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > 65535)
        return std::nullopt;
    return host_port {host, static_cast<std::uint16_t>(port)};
}

result<settings> settings::read(const std::vector<setting_rule> &rules, int argc,
                                const char *const *argv, const environment_reader &environment)
{
    const auto flags = readFlags(rules, argc, argv);
    if (!flags)
        return tl::unexpected<error>(flags.error());
    settings values;
    values.m_rules = rules;
    std::vector<std::string> errors;
    for (const setting_rule &rule : rules) {
        const auto flag = flags->find(rule.name);
        const std::string value = flag != flags->end()
            ? flag->second
            : environment(environmentName(rule.name)).value_or(rule.defaultValue);
        if (!isAllowed(rule, value))
            errors.push_back(describeInvalid(rule, value));
        values.m_values[rule.name] = value;
    }
    if (!errors.empty()) {
        return fail(reason::InvalidArgument,
                    absl::StrFormat("%d settings are wrong:\n  %s", errors.size(),
                                    absl::StrJoin(errors, "\n  ")));
    }
    return values;
}

std::int64_t settings::number(const std::string &name) const
{
    std::int64_t value = 0;
    (void)absl::SimpleAtoi(text(name), &value); // read() has checked the value
    return value;
}

host_port settings::address(const std::string &name) const
{
    return parseHostPort(text(name)).value_or(host_port {});
}

std::vector<host_port> settings::addresses(const std::string &name) const
{
    std::vector<host_port> list;
    for (const std::string &item : splitList(text(name)))
        list.push_back(parseHostPort(item).value_or(host_port {}));
    return list;
}

std::string settings::describe() const
{
    std::string lines;
    for (const setting_rule &rule : m_rules) {
        const std::string &value = m_values.at(rule.name);
        lines += rule.name + "=" + (rule.secret && !value.empty() ? "***" : value) + "\n";
    }
    return lines;
}

std::string describeRules(const std::string &program, const std::vector<setting_rule> &rules)
{
    std::string lines = absl::StrFormat("Usage: %s [--SETTING VALUE]...\n\n", program);
    for (const setting_rule &rule : rules) {
        absl::StrAppendFormat(&lines, "  --%-24s %s\n  %-26s %s; default \"%s\"; %s\n", rule.name,
                              rule.help, "", describeAllowed(rule), rule.defaultValue,
                              environmentName(rule.name));
    }
    return lines;
}

std::optional<std::string> processEnvironment(const std::string &name)
{
    const char *value = std::getenv(name.c_str()); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

} // namespace hyssoppond
