/// @file Commands that check and run runbooks.
#include "arguments_base.h"
#include "command_groups_func.h"
#include "tool_print_func.h"

#include "hyssoppond/tool/runbook_type.h"

#include <absl/strings/str_format.h>

#include <fstream>
#include <sstream>

namespace hyssoppond {

namespace {

using word_list = std::vector<std::string>;

result<runbook> readRunbook(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return fail(reason::InvalidArgument,
                    absl::StrFormat("cannot read the runbook %s; check the path", path));
    std::ostringstream text;
    text << file.rdbuf();
    return parseRunbook(text.str());
}

/// Returns the error with the number of the step, from 1, and its line at the start of the message.
error addStepLocation(const runbook_step &step, std::size_t stepNumber, error problem)
{
    problem.message
        = absl::StrFormat("step %d (line %d): %s", stepNumber, step.line, problem.message);
    return problem;
}

/// Runs one step; with `checkOnly`, only checks it.
result<exit_code> runStep(tool_context *context, const runbook_step &step, bool checkOnly)
{
    word_list remainingWords = step.words;
    const auto command = findCommand(&remainingWords);
    if (!command)
        return tl::unexpected<error>(command.error());
    if (!(*command)->inRunbooks)
        return fail(reason::InvalidArgument,
                    absl::StrFormat("%s is not allowed in a runbook; remove the step and run the "
                                    "command by itself",
                                    (*command)->name));
    return (*command)->run(context, remainingWords, checkOnly);
}

/// Runs all steps; with `checkOnly`, only checks them. Stops at the first step that fails or whose
/// exit code is not Ok.
result<exit_code> runSteps(tool_context *context, const runbook &book, const std::string &runId,
                           bool checkOnly)
{
    for (std::size_t i = 0; i < book.steps.size(); ++i) {
        // The request ids are derived from the run id, so that a second run with the same run id
        // does not repeat the effects of the first.
        context->requestId = absl::StrFormat("%s/%s/%d", book.name, runId, i + 1);
        if (!checkOnly && context->progress != nullptr)
            *context->progress << absl::StrFormat("step %d of %d: %s\n", i + 1, book.steps.size(),
                                                  book.steps[i].words.front());
        auto outcome = runStep(context, book.steps[i], checkOnly);
        if (!outcome) {
            error problem = addStepLocation(book.steps[i], i + 1, outcome.error());
            if (!checkOnly)
                problem.message += absl::StrFormat("; correct the cause and run again with "
                                                   "--run-id %s to continue here",
                                                   runId);
            return tl::unexpected<error>(std::move(problem));
        }
        if (*outcome != exit_code::Ok) {
            *context->out << absl::StrFormat(
                "step %d (line %d) ended with code %d; correct the cause and run again with "
                "--run-id %s to continue here\n",
                i + 1, book.steps[i].line, static_cast<int>(*outcome), runId);
            return outcome;
        }
    }
    return exit_code::Ok;
}

result<exit_code> checkRunbook(tool_context *context, const word_list &commandWords, bool)
{
    const auto parsed = arguments::parse(commandWords, {{}, {}, 1, 1});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    const auto book = readRunbook(parsed->positional()[0]);
    if (!book)
        return tl::unexpected<error>(book.error());
    auto checked = runSteps(context, *book, "check", true);
    if (!checked)
        return checked;
    *context->out << absl::StrFormat("runbook %s: %d steps are valid\n", book->name,
                                     book->steps.size());
    return exit_code::Ok;
}

result<exit_code> runRunbook(tool_context *context, const word_list &commandWords, bool)
{
    const auto parsed = arguments::parse(commandWords, {{"run-id"}, {}, 1, 1});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    if (parsed->text("run-id").empty())
        return fail(reason::InvalidArgument,
                    "--run-id is required; the same id continues an interrupted run");
    const auto book = readRunbook(parsed->positional()[0]);
    if (!book)
        return tl::unexpected<error>(book.error());
    // All steps are checked before the first one runs.
    auto checked = runSteps(context, *book, parsed->text("run-id"), true);
    if (!checked)
        return checked;
    return runSteps(context, *book, parsed->text("run-id"), false);
}

} // namespace

std::vector<tool_command> runbookCommands()
{
    return {
        {"runbook check", "FILE", "validate a runbook without effect", false, checkRunbook},
        {"runbook run", "FILE --run-id ID", "run a runbook, or continue an interrupted run", false,
         runRunbook},
    };
}

} // namespace hyssoppond
