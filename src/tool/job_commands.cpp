/// @file Commands on jobs.
#include "arguments_base.h"
#include "command_groups_func.h"
#include "tool_print_func.h"

#include "hyssoppond/world/job_type.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace hyssoppond {

namespace {

/// One Wait request is bounded, so that a silent connection is noticed.
constexpr absl::Duration LongestWait = absl::Seconds(5);
/// An entry that did not accept the job itself learns of it from the journal a moment later.
constexpr absl::Duration JournalLag = absl::Seconds(5);
constexpr absl::Duration AskAgain = absl::Milliseconds(200);

using words = std::vector<std::string>;

/// Job id of an argument: an id, or $NAME of an earlier step.
result<std::string> jobOf(tool_context *context, const std::string &text, bool check)
{
    if (text.empty() || text.front() != '$')
        return text;
    const auto it = context->names.find(text.substr(1));
    if (it != context->names.end())
        return it->second;
    return fail(reason::InvalidArgument,
                absl::StrFormat("no earlier step has the name %s; give it with submit --as",
                                text.substr(check ? 0 : 1)));
}

void printJob(tool_context *context, const v1::Job &job)
{
    print(context, job, jobRows({job}));
}

result<v1::SubmitRequest> submitRequest(tool_context *context, const arguments &given)
{
    v1::SubmitRequest request;
    request.set_team(given.text("team"));
    request.set_caller(given.text("caller"));
    request.set_command(given.command());
    request.set_hold(given.has("hold"));
    request.set_not_repeatable(given.has("not-repeatable"));
    request.set_request_id(requestIdFor(context, given.text("request-id")));
    const auto members = given.number("members", 1, MaxGangMembers);
    const auto each = given.number("accelerators", 1, MaxAcceleratorsPerWorker);
    const auto runTime = given.number("run-seconds", 0, UINT32_MAX);
    for (const auto *number : {&members, &each, &runTime}) {
        if (!*number)
            return tl::unexpected<error>(number->error());
    }
    request.mutable_shape()->set_members(static_cast<std::uint32_t>(*members));
    request.mutable_shape()->set_accelerators_per_member(static_cast<std::uint32_t>(*each));
    request.set_declared_run_seconds(static_cast<std::uint32_t>(*runTime));
    v1::Adjacency within = v1::WORKER;
    if (!v1::Adjacency_Parse(absl::AsciiStrToUpper(given.text("within", "worker")), &within))
        return fail(reason::InvalidArgument, "--within must be worker, rack or zone");
    request.mutable_shape()->set_within(within);
    const auto level = parseUrgency(given.text("urgency", "normal"));
    if (!level)
        return tl::unexpected<error>(level.error());
    request.set_urgency(*level);
    if (request.team().empty())
        return fail(reason::InvalidArgument, "--team is required");
    return request;
}

result<exit_code> submit(tool_context *context, const words &given, bool check)
{
    const auto parsed = arguments::parse(given,
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
    // The id follows from the request, so that later steps know it also after an interruption.
    const job_id id = jobIdFor(team_id(request->team()), request_id(request->request_id()));
    if (parsed->has("as"))
        context->names[parsed->text("as")] = id.str();
    if (check)
        return exit_code::Ok;
    v1::SubmitResponse response;
    const auto done = context->client->call("/hyssoppond.v1.Jobs/Submit", *request, &response,
                                            absl::Now() + context->timeout, repetition::Allowed);
    if (!done)
        return tl::unexpected<error>(done.error());
    printJob(context, response.job());
    if (!parsed->has("wait"))
        return exit_code::Ok;
    return waitForJob(context, response.job().id());
}

result<exit_code> wait(tool_context *context, const words &given, bool check)
{
    const auto parsed = arguments::parse(given, {{}, {}, 1, 1});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    const auto job = jobOf(context, parsed->positional()[0], check);
    if (!job)
        return tl::unexpected<error>(job.error());
    return check ? exit_code::Ok : waitForJob(context, *job);
}

result<exit_code> list(tool_context *context, const words &given, bool check)
{
    const auto parsed = arguments::parse(given, {{"team", "limit"}, {"all"}, 0, 0});
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    const auto limit = parsed->number("limit", 100, 1000);
    if (!limit)
        return tl::unexpected<error>(limit.error());
    v1::ListRequest request;
    request.set_team(parsed->text("team"));
    request.set_ended_too(parsed->has("all"));
    request.set_limit(static_cast<std::uint32_t>(*limit));
    if (check)
        return exit_code::Ok;
    v1::ListResponse response;
    const auto done = ask(context, "Jobs/List", request, &response);
    if (!done)
        return tl::unexpected<error>(done.error());
    print(context, response, jobRows({response.jobs().begin(), response.jobs().end()}));
    return exit_code::Ok;
}

/// Command that takes one job and shows it afterwards.
tool_command jobCommand(const std::string &name, const std::string &method,
                        const std::string &summary)
{
    return {name, "JOB [--request-id ID]", summary, true,
            [method](tool_context *context, const words &given, bool check) -> result<exit_code> {
                const auto parsed = arguments::parse(given, {{"request-id"}, {}, 1, 1});
                if (!parsed)
                    return tl::unexpected<error>(parsed.error());
                const auto job = jobOf(context, parsed->positional()[0], check);
                if (!job)
                    return tl::unexpected<error>(job.error());
                if (check)
                    return exit_code::Ok;
                v1::JobRequest request;
                request.set_job_id(*job);
                request.set_request_id(requestIdFor(context, parsed->text("request-id")));
                v1::Job answer;
                const auto done = ask(context, method, request, &answer);
                if (!done)
                    return tl::unexpected<error>(done.error());
                printJob(context, answer);
                return exit_code::Ok;
            }};
}

} // namespace

result<exit_code> waitForJob(tool_context *context, const std::string &job)
{
    const absl::Time deadline = absl::Now() + context->timeout;
    const absl::Time knownBy = std::min(deadline, absl::Now() + JournalLag);
    std::string shown;
    while (true) {
        const absl::Duration left = std::min(deadline - absl::Now(), LongestWait);
        v1::WaitRequest request;
        request.set_job_id(job);
        request.set_timeout_ms(std::max<std::int64_t>(1, absl::ToInt64Milliseconds(left)));
        v1::Job answer;
        const auto done
            = context->client->call("/hyssoppond.v1.Jobs/Wait", request, &answer,
                                    absl::Now() + left + absl::Seconds(10), repetition::Allowed);
        if (!done && done.error().why == reason::UnknownJob && absl::Now() < knownBy) {
            absl::SleepFor(AskAgain);
            continue;
        }
        if (!done)
            return tl::unexpected<error>(done.error());
        const std::string state = v1::JobState_Name(answer.state());
        if (answer.state() >= v1::COMPLETED) {
            printJob(context, answer);
            return answer.state() == v1::COMPLETED ? exit_code::Ok : exit_code::JobNotCompleted;
        }
        if (state != shown && context->progress != nullptr)
            *context->progress << "job " << job << " is " << state << "\n";
        shown = state;
        if (absl::Now() >= deadline)
            return fail(reason::Expired,
                        absl::StrFormat("job %s is still %s; wait again or with a longer "
                                        "--timeout",
                                        job, state),
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
