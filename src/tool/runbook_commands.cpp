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

using words = std::vector<std::string>;

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

/// Error of one step, with its line.
error atStep(const runbook_step &step, std::size_t number, error problem)
{
    problem.message = absl::StrFormat("step %d (line %d): %s", number, step.line, problem.message);
    return problem;
}

/// Runs or checks one step.
result<exit_code> runStep(tool_context *context, const runbook_step &step, bool check)
{
    words rest = step.words;
    const auto command = findCommand(&rest);
    if (!command)
        return tl::unexpected<error>(command.error());
    if (!(*command)->inRunbooks)
        return fail(reason::InvalidArgument,
                    absl::StrFormat("%s is not allowed in a runbook", (*command)->name));
    return (*command)->run(context, rest, check);
}

result<exit_code> runSteps(tool_context *context, const runbook &book, const std::string &runId,
                           bool check)
{
    for (std::size_t i = 0; i < book.steps.size(); ++i) {
        // The same run id gives the same request ids, so that a second run repeats no effect.
        context->requestId = absl::StrFormat("%s/%s/%d", book.name, runId, i + 1);
        if (!check && context->progress != nullptr)
            *context->progress << absl::StrFormat("step %d of %d: %s\n", i + 1, book.steps.size(),
                                                  book.steps[i].words.front());
        auto done = runStep(context, book.steps[i], check);
        if (!done) {
            error problem = atStep(book.steps[i], i + 1, done.error());
            if (!check)
                problem.message += absl::StrFormat("; correct the cause and run again with "
                                                   "--run-id %s to continue here",
                                                   runId);
            return tl::unexpected<error>(std::move(problem));
        }
        if (*done != exit_code::Ok) {
            *context->out << absl::StrFormat(
                "step %d (line %d) ended with code %d; correct the cause and run again with "
                "--run-id %s to continue here\n",
                i + 1, book.steps[i].line, static_cast<int>(*done), runId);
            return done;
        }
    }
    return exit_code::Ok;
}

result<exit_code> checkRunbook(tool_context *context, const words &given, bool)
{
    const auto parsed = arguments::parse(given, {{}, {}, 1, 1});
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

result<exit_code> runRunbook(tool_context *context, const words &given, bool)
{
    const auto parsed = arguments::parse(given, {{"run-id"}, {}, 1, 1});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    if (parsed->text("run-id").empty())
        return fail(reason::InvalidArgument,
                    "--run-id is required; the same id continues an interrupted run");
    const auto book = readRunbook(parsed->positional()[0]);
    if (!book)
        return tl::unexpected<error>(book.error());
    // All steps are checked before the first one has an effect.
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
