/// @file Commands that submit, show and control jobs.
#include "arguments_base.h"
#include "command_groups_func.h"
#include "tool_print_func.h"

#include "hyssoppond/base/process_clock_base.h"
#include "hyssoppond/world/job_type.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace hyssoppond {

namespace {

/// Longest time for which one Wait request asks the entry to wait. It is short so that a connection
/// on which no answers arrive is noticed.
constexpr absl::Duration MaxWaitRequestTime = absl::Seconds(5);
/// For this time after the start of a wait, UnknownJob is not an error: an entry that did not
/// accept the job itself learns of it from the journal with a delay.
constexpr absl::Duration UnknownJobGrace = absl::Seconds(5);
constexpr absl::Duration UnknownJobRetryInterval = absl::Milliseconds(200);

using word_list = std::vector<std::string>;

/// Returns the job id of an argument: the argument itself, or for $NAME the id of the job that an
/// earlier step named. Error: InvalidArgument if no earlier step gave the name.
result<std::string> resolveJobId(tool_context *context, const std::string &text, bool checkOnly)
{
    if (text.empty() || text.front() != '$')
        return text;
    const auto it = context->jobIdsByName.find(text.substr(1));
    if (it != context->jobIdsByName.end())
        return it->second;
    return fail(reason::InvalidArgument,
                absl::StrFormat("no earlier step has the name %s; give it with submit --as",
                                text.substr(checkOnly ? 0 : 1)));
}

void printJob(tool_context *context, const v1::Job &job)
{
    print(context, job, jobRows({job}));
}

/// Builds the request of a submit command. Error: InvalidArgument.
result<v1::SubmitRequest> submitRequest(tool_context *context, const arguments &parsedArguments)
{
    v1::SubmitRequest request;
    request.set_team(parsedArguments.text("team"));
    request.set_caller(parsedArguments.text("caller"));
    request.set_command(parsedArguments.command());
    request.set_hold(parsedArguments.has("hold"));
    request.set_not_repeatable(parsedArguments.has("not-repeatable"));
    request.set_request_id(requestIdFor(context, parsedArguments.text("request-id")));
    const auto members = parsedArguments.number("members", 1, MaxGangMembers);
    const auto acceleratorsPerMember
        = parsedArguments.number("accelerators", 1, MaxAcceleratorsPerWorker);
    const auto runSeconds = parsedArguments.number("run-seconds", 0, UINT32_MAX);
    for (const auto *number : {&members, &acceleratorsPerMember, &runSeconds}) {
        if (!*number)
            return tl::unexpected<error>(number->error());
    }
    request.mutable_shape()->set_members(static_cast<std::uint32_t>(*members));
    request.mutable_shape()->set_accelerators_per_member(
        static_cast<std::uint32_t>(*acceleratorsPerMember));
    request.set_declared_run_seconds(static_cast<std::uint32_t>(*runSeconds));
    v1::Adjacency within = v1::WORKER;
    if (!v1::Adjacency_Parse(absl::AsciiStrToUpper(parsedArguments.text("within", "worker")),
                             &within))
        return fail(reason::InvalidArgument, "--within must be worker, rack or zone");
    request.mutable_shape()->set_within(within);
    const auto urgency = parseUrgency(parsedArguments.text("urgency", "normal"));
    if (!urgency)
        return tl::unexpected<error>(urgency.error());
    request.set_urgency(*urgency);
    if (request.team().empty())
        return fail(reason::InvalidArgument, "--team is required");
    return request;
}

result<exit_code> submit(tool_context *context, const word_list &commandWords, bool checkOnly)
{
    const auto parsed = arguments::parse(commandWords,
                                         {{"team", "caller", "members", "accelerators", "within",
                                           "urgency", "run-seconds", "request-id", "as"},
                                          {"hold", "not-repeatable", "wait"},
                                          0,
                                          0,
                                          true});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    const auto request = submitRequest(context, *parsed);
    if (!request)
        return tl::unexpected<error>(request.error());
    // The id is derived from the request, so that later steps can use it in a check, and also when
    // a run continues after an interruption.
    const job_id id = jobIdFor(team_id(request->team()), request_id(request->request_id()));
    if (parsed->has("as"))
        context->jobIdsByName[parsed->text("as")] = id.str();
    if (checkOnly)
        return exit_code::Ok;
    v1::SubmitResponse response;
    const auto outcome
        = context->client->call("/hyssoppond.v1.Jobs/Submit", *request, &response,
                                processNow() + context->timeout, repetition::Allowed);
    if (!outcome)
        return tl::unexpected<error>(outcome.error());
    printJob(context, response.job());
    if (!parsed->has("wait"))
        return exit_code::Ok;
    return waitForJob(context, response.job().id());
}

result<exit_code> wait(tool_context *context, const word_list &commandWords, bool checkOnly)
{
    const auto parsed = arguments::parse(commandWords, {{}, {}, 1, 1});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    const auto jobId = resolveJobId(context, parsed->positional()[0], checkOnly);
    if (!jobId)
        return tl::unexpected<error>(jobId.error());
    return checkOnly ? exit_code::Ok : waitForJob(context, *jobId);
}

result<exit_code> list(tool_context *context, const word_list &commandWords, bool checkOnly)
{
    const auto parsed = arguments::parse(commandWords, {{"team", "limit"}, {"all"}, 0, 0});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    const auto limit = parsed->number("limit", 100, 1000);
    if (!limit)
        return tl::unexpected<error>(limit.error());
    v1::ListRequest request;
    request.set_team(parsed->text("team"));
    request.set_ended_too(parsed->has("all"));
    request.set_limit(static_cast<std::uint32_t>(*limit));
    if (checkOnly)
        return exit_code::Ok;
    v1::ListResponse response;
    const auto outcome = callProcedure(context, "Jobs/List", request, &response);
    if (!outcome)
        return tl::unexpected<error>(outcome.error());
    print(context, response, jobRows({response.jobs().begin(), response.jobs().end()}));
    return exit_code::Ok;
}

/// Returns a command that calls a procedure for one job and prints the job of the answer.
tool_command jobCommand(const std::string &name, const std::string &method,
                        const std::string &summary)
{
    return {name, "JOB [--request-id ID]", summary, true,
            [method](tool_context *context, const word_list &commandWords,
                     bool checkOnly) -> result<exit_code> {
                const auto parsed = arguments::parse(commandWords, {{"request-id"}, {}, 1, 1});
                if (!parsed)
                    return tl::unexpected<error>(parsed.error());
                const auto jobId = resolveJobId(context, parsed->positional()[0], checkOnly);
                if (!jobId)
                    return tl::unexpected<error>(jobId.error());
                if (checkOnly)
                    return exit_code::Ok;
                v1::JobRequest request;
                request.set_job_id(*jobId);
                request.set_request_id(requestIdFor(context, parsed->text("request-id")));
                v1::Job answer;
                const auto outcome = callProcedure(context, method, request, &answer);
                if (!outcome)
                    return tl::unexpected<error>(outcome.error());
                printJob(context, answer);
                return exit_code::Ok;
            }};
}

} // namespace

result<exit_code> waitForJob(tool_context *context, const std::string &jobId)
{
    const absl::Time deadline = processNow() + context->timeout;
    const absl::Time graceEnd = std::min(deadline, processNow() + UnknownJobGrace);
    std::string printedState;
    while (true) {
        const absl::Duration requestTime = std::min(deadline - processNow(), MaxWaitRequestTime);
        v1::WaitRequest request;
        request.set_job_id(jobId);
        request.set_timeout_ms(std::max<std::int64_t>(1, absl::ToInt64Milliseconds(requestTime)));
        v1::Job answer;
        const auto outcome = context->client->call("/hyssoppond.v1.Jobs/Wait", request, &answer,
                                                   processNow() + requestTime + absl::Seconds(10),
                                                   repetition::Allowed);
        if (!outcome && outcome.error().why == reason::UnknownJob && processNow() < graceEnd) {
            absl::SleepFor(UnknownJobRetryInterval);
            continue;
        }
        if (!outcome)
            return tl::unexpected<error>(outcome.error());
        const std::string state = v1::JobState_Name(answer.state());
        if (answer.state() >= v1::COMPLETED) {
            printJob(context, answer);
            return answer.state() == v1::COMPLETED ? exit_code::Ok : exit_code::JobNotCompleted;
        }
        if (state != printedState && context->progress != nullptr)
            *context->progress << "job " << jobId << " is " << state << "\n";
        printedState = state;
        if (processNow() >= deadline)
            return fail(reason::Expired,
                        absl::StrFormat("job %s is still %s; wait again or with a longer "
                                        "--timeout",
                                        jobId, state),
                        execution::Unknown);
    }
}

std::vector<tool_command> jobCommands()
{
    return {
        {"submit",
         "--team TEAM [--members N] [--accelerators N] [--within worker|rack|zone] "
         "[--urgency background|normal|urgent] [--caller NAME] [--run-seconds N] [--hold] "
         "[--not-repeatable] [--wait] [--as NAME] [--request-id ID] -- COMMAND",
         "submit a gang job", true, submit},
        jobCommand("status", "Jobs/Status", "show a job"),
        {"wait", "JOB", "wait until a job has ended", true, wait},
        {"list", "[--team TEAM] [--all] [--limit N]", "list jobs", true, list},
        jobCommand("cancel", "Jobs/Cancel", "end a job"),
        jobCommand("hold", "Jobs/Hold", "keep a queued job from starting"),
        jobCommand("release", "Jobs/Release", "end a hold"),
        jobCommand("suspend", "Jobs/Suspend", "checkpoint a job and free its accelerators"),
        jobCommand("resume", "Jobs/Resume", "queue a suspended job again"),
        jobCommand("requeue", "Jobs/Requeue", "stop a job and queue it again"),
    };
}

} // namespace hyssoppond
