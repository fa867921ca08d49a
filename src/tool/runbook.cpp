/// @file Implementation of the parser of runbooks.
#include "hyssoppond/tool/runbook_type.h"

#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <optional>

namespace hyssoppond {

namespace {

constexpr std::size_t MaxSteps = 10'000;

/// Splits a line into words and drops a comment. Returns nullopt if a quote is not closed.
std::optional<std::vector<std::string>> splitWords(const std::string &line)
{
    std::vector<std::string> words;
    std::string word;
    bool inWord = false;
    char quote = 0;
    for (const char c : line) {
        if (quote != 0) {
            if (c == quote)
                quote = 0;
            else
                word += c;
        } else if (c == '"' || c == '\'') {
            quote = c;
            inWord = true;
        } else if (c == '#' && !inWord) {
            break;
        } else if (c == ' ' || c == '\t' || c == '\r') {
            if (inWord)
                words.push_back(std::exchange(word, ""));
            inWord = false;
        } else {
            word += c;
            inWord = true;
        }
    }
    if (quote != 0)
        return std::nullopt;
    if (inWord)
        words.push_back(word);
    return words;
}

} // namespace

result<runbook> parseRunbook(const std::string &text)
{
    runbook parsed;
    const std::vector<std::string> lines = absl::StrSplit(text, '\n');
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const auto words = splitWords(lines[i]);
        if (!words)
            return fail(reason::InvalidArgument,
                        absl::StrFormat("line %d: a quote is not closed; close it on the same line",
                                        i + 1));
        if (words->empty())
            continue;
        if (words->front() == "runbook" && parsed.name.empty() && words->size() == 2)
            parsed.name = words->at(1);
        else
            parsed.steps.push_back({i + 1, *words});
    }
    if (parsed.name.empty())
        return fail(reason::InvalidArgument,
                    "the runbook has no name; begin it with the line: runbook NAME");
    if (parsed.steps.empty() || parsed.steps.size() > MaxSteps)
        return fail(reason::InvalidArgument,
                    absl::StrFormat("the runbook has %d steps; allowed: 1 to %d",
                                    parsed.steps.size(), MaxSteps));
    return parsed;
}

} // namespace hyssoppond
