/// @file Cells of I4 and I5 for job submission and placement through the journal.
#include "journal_harness_base.h"

namespace hyssoppond::faults {
namespace {

const journal::domain_id Site("site");

job_spec specOf(const std::string &request, const std::string &command = "train")
{
    job_spec spec;
    spec.team = team_id("blue");
    spec.request = request_id(request);
    spec.id = jobIdFor(spec.team, spec.request);
    spec.repeatable = false;
    spec.command = command;
    return spec;
}

journal::job_placed placementOf(const job_spec &spec, epoch_number epoch, accelerator_mask mask)
{
    return {Site, spec.id, 1, epoch, {{worker_id("w"), process_id("a0"), mask}}};
}

journal::decider_grant grantOf(const std::string &holder, epoch_number epoch, absl::Time now)
{
    return {Site, process_id(holder), 1, epoch, absl::InfinitePast(), now};
}

bool isAccepted(const std::shared_ptr<told> &answer)
{
    return answer->has_value() && (*answer)->has_value() && (**answer)->decision.accepted;
}

bool isNotRun(const std::shared_ptr<told> &answer)
{
    return answer->has_value() && !(*answer)->has_value()
        && (*answer)->error().state == execution::NotRun;
}

reason reasonOf(const std::shared_ptr<told> &answer)
{
    return answer->has_value() && (*answer)->has_value() ? (**answer)->decision.why : reason::None;
}

cell_result repeatedElsewhere(const cell_context &context)
{
    journal_harness world(context.seed, {});
    world.clock.runFor(absl::Seconds(2));
    world.log.faults.loseAppendAnswers = true;
    const auto first = world.append("e1", journal::job_submitted {specOf("r")});
    world.clock.runFor(absl::Milliseconds(context.seed % 3 * 20));
    const auto second = world.append("e2", journal::job_submitted {specOf("r")});
    world.clock.runFor(absl::Seconds(12));
    if (!isAccepted(first) || !isAccepted(second))
        return {false, "a submission that took effect was not confirmed"};
    if ((**first)->decision.repeated == (**second)->decision.repeated)
        return {false, "not exactly one submission created the job"};
    return {world.truth().jobs().size() == 1, "the job exists more or less than once"};
}

cell_result logRefuses(const cell_context &context)
{
    journal_harness world(context.seed, {});
    world.clock.runFor(absl::Seconds(2));
    world.log.faults.refuse = true;
    const auto answer = world.append("e1", journal::job_submitted {specOf("r")});
    world.clock.runFor(absl::Seconds(3));
    if (!isNotRun(answer) || (*answer)->error().retryAt == absl::InfiniteFuture())
        return {false, "the caller was not told \"not run\" with a retry time"};
    world.log.faults.refuse = false;
    world.clock.runFor(absl::Seconds(20));
    return {world.truth().jobs().empty(), "a job exists whose caller was told \"not run\""};
}

/// The log falls silent with the append on its way, so the caller may only be told "unknown".
cell_result logSilent(const cell_context &context)
{
    journal_harness world(context.seed, {});
    world.clock.runFor(absl::Seconds(2));
    world.log.faults.loseAppendAnswers = true;
    const auto answer = world.append("e1", journal::job_submitted {specOf("r")});
    world.clock.runFor(absl::Milliseconds(20));
    world.log.faults.down = true;
    world.clock.runFor(absl::Seconds(12));
    if (world.truth().jobs().size() != 1)
        return {false, "the append did not take effect before the log fell silent"};
    return {answer->has_value() && !isNotRun(answer), "the caller was told \"not run\""};
}

cell_result requestIdReused(const cell_context &context)
{
    journal_harness world(context.seed, {});
    world.clock.runFor(absl::Seconds(2));
    const auto first = world.append("e1", journal::job_submitted {specOf("r")});
    world.clock.runFor(absl::Seconds(1));
    const auto second = world.append("e2", journal::job_submitted {specOf("r", "other")});
    world.clock.runFor(absl::Seconds(1));
    return {isAccepted(first) && reasonOf(second) == reason::RequestIdReused,
            "the same id with other content was not refused"};
}

/// A decider is paused before its placement reaches the log and resumes after the next grant.
cell_result staleDecider(const cell_context &context)
{
    harness_options options;
    options.cluster.fenceByEpoch = !context.mechanismOff;
    journal_harness world(context.seed, options);
    world.clock.runFor(absl::Seconds(2));
    const job_spec spec = specOf("r");
    world.append("e1", journal::job_submitted {spec});
    world.append("e0", grantOf("e0", 1, world.clock.now()));
    world.clock.runFor(absl::Seconds(1));
    world.pause("e0");
    const auto stale = world.append("e0", placementOf(spec, 1, 1), absl::Minutes(1));
    const auto grant = world.append("e1", grantOf("e1", 2, world.clock.now()));
    world.clock.runFor(absl::Seconds(1));
    world.resume("e0");
    world.clock.runFor(absl::Seconds(1));
    const auto fresh = world.append("e1", placementOf(spec, 2, 2));
    world.clock.runFor(absl::Seconds(2));
    if (!isAccepted(grant) || reasonOf(stale) != reason::StaleEpoch)
        return {false, "the placement of the stale decider was not void"};
    return {isAccepted(fresh), "the new decider could not place the job"};
}

cell_result twoDeciders(const cell_context &context)
{
    journal_harness world(context.seed, {});
    world.clock.runFor(absl::Seconds(2));
    const job_spec spec = specOf("r");
    world.append("e2", journal::job_submitted {spec});
    const auto a = world.append("e0", grantOf("e0", 1, world.clock.now()));
    const auto b = world.append("e1", grantOf("e1", 1, world.clock.now()));
    world.clock.runFor(absl::Seconds(1));
    if (isAccepted(a) == isAccepted(b))
        return {false, "not exactly one of two candidates became decider"};
    const auto x = world.append("e0", placementOf(spec, 1, 1));
    const auto y = world.append("e0", placementOf(spec, 1, 2));
    world.clock.runFor(absl::Seconds(1));
    return {isAccepted(x) != isAccepted(y), "the job was not placed exactly once"};
}

std::vector<cell> build()
{
    return {
        {"I4", "log-refuses", "job-submission", logRefuses, ""},
        {"I4", "log-silent", "job-submission", logSilent, ""},
        {"I5", "append-answer-lost", "repeated-elsewhere", repeatedElsewhere, ""},
        {"I5", "request-id-reused", "job-submission", requestIdReused, ""},
        {"I5", "decider-paused", "before-placement", staleDecider, "fencing by epoch"},
        {"I5", "two-deciders", "grant", twoDeciders, ""},
    };
}

const cell_registration Registration(build);

} // namespace
} // namespace hyssoppond::faults
