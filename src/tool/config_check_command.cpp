/// @file Command that checks a configuration file before it is published.
#include "arguments_base.h"
#include "command_groups_func.h"

#include "hyssoppond/config/config_check_func.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace hyssoppond {

namespace {

result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    std::error_code ignored;
    // A directory can be opened, and reads as if it were empty.
    if (!file || std::filesystem::is_directory(path, ignored))
        return fail(reason::InvalidArgument,
                    absl::StrFormat("cannot read %s; check the path", path));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void printFindings(const std::vector<config_finding> &findings, bool asJson, std::ostream *out)
{
    if (asJson) {
        nlohmann::json list = nlohmann::json::array();
        for (const config_finding &finding : findings)
            list.push_back({{"kind", FindingKindNames.name(finding.kind)},
                            {"key", finding.key},
                            {"value", finding.value},
                            {"message", finding.message}});
        *out << nlohmann::json {{"findings", std::move(list)}}.dump() << "\n";
        return;
    }
    for (const config_finding &finding : findings)
        *out << absl::StrFormat("%s %s %s: %s\n", FindingKindNames.name(finding.kind),
                                finding.key.empty() ? "(file)" : finding.key, finding.value,
                                finding.message);
}

result<exit_code> checkConfigFile(tool_context *context, const std::vector<std::string> &words,
                                  bool checkOnly)
{
    const auto parsed = arguments::parse(words, {{"against", "fleet", "format"}, {}, 1, 1});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    const std::string format = parsed->text("format", context->json ? "json" : "text");
    if (format != "json" && format != "text")
        return fail(reason::InvalidArgument, "--format must be json or text");
    if (checkOnly)
        return exit_code::Ok;
    config_check_input input;
    const auto config = readFile(parsed->positional()[0]);
    if (!config)
        return tl::unexpected<error>(config.error());
    input.config = *config;
    for (const auto &[option, target] :
         {std::pair("against", &input.inForce), std::pair("fleet", &input.fleet)}) {
        if (!parsed->has(option))
            continue;
        const auto text = readFile(parsed->text(option));
        if (!text)
            return tl::unexpected<error>(text.error());
        *target = *text;
    }
    const std::vector<config_finding> findings = checkConfig(input);
    printFindings(findings, format == "json", context->out);
    const bool isClean = std::all_of(findings.begin(), findings.end(), [](const auto &finding) {
        return finding.kind == finding_kind::Difference;
    });
    return isClean ? exit_code::Ok : exit_code::Findings;
}

} // namespace

std::vector<tool_command> configCheckCommands()
{
    return {{"config check", "FILE [--against FILE] [--fleet FILE] [--format json|text]",
             "check a configuration file without a network", false, checkConfigFile}};
}

} // namespace hyssoppond
