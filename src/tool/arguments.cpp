/// @file Parsing of the arguments of one command, with cxxopts.
#include "arguments_base.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <cxxopts.hpp>

#include <algorithm>

namespace hyssoppond {

result<arguments> arguments::parse(const std::vector<std::string> &words,
                                   const argument_rules &rules)
{
    arguments parsed;
    auto end = words.end();
    if (rules.takesCommand) {
        end = std::find(words.begin(), words.end(), "--");
        if (end != words.end())
            parsed.m_command = absl::StrJoin(std::next(end), words.end(), " ");
    }
    std::vector<const char *> argv {"hyssopctl"};
    for (auto it = words.begin(); it != end; ++it)
        argv.push_back(it->c_str());
    cxxopts::Options options("hyssopctl");
    for (const std::string &name : rules.options)
        options.add_options()(name, "", cxxopts::value<std::string>());
    for (const std::string &name : rules.switches)
        options.add_options()(name, "");
    try {
        const auto parseResult = options.parse(static_cast<int>(argv.size()), argv.data());
        for (const std::string &name : rules.options) {
            if (parseResult.count(name) != 0)
                parsed.m_options[name] = parseResult[name].as<std::string>();
        }
        for (const std::string &name : rules.switches) {
            if (parseResult.count(name) != 0)
                parsed.m_options[name] = "true";
        }
        parsed.m_positional = parseResult.unmatched();
    } catch (const std::exception &problem) {
        return fail(reason::InvalidArgument, problem.what());
    }
    const std::size_t count = parsed.m_positional.size();
    if (count < rules.minPositional || count > rules.maxPositional)
        return fail(
            reason::InvalidArgument,
            absl::StrFormat("%d words are given, %d to %d are expected; the command with --help "
                            "shows its arguments",
                            count, rules.minPositional, rules.maxPositional));
    return parsed;
}

std::string arguments::text(const std::string &name, const std::string &defaultValue) const
{
    const auto it = m_options.find(name);
    return it == m_options.end() ? defaultValue : it->second;
}

result<std::uint64_t> arguments::number(const std::string &name, std::uint64_t defaultValue,
                                        std::uint64_t maxValue) const
{
    const auto it = m_options.find(name);
    if (it == m_options.end())
        return defaultValue;
    std::uint64_t value = 0;
    if (!absl::SimpleAtoi(it->second, &value) || value > maxValue)
        return fail(reason::InvalidArgument,
                    absl::StrFormat("--%s is \"%s\"; allowed: a whole number from 0 to %d", name,
                                    it->second, maxValue));
    return value;
}

} // namespace hyssoppond
