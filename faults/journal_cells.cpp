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

bool isAccepted(const std::shared_ptr<append_answer> &answer)
{
    return answer->has_value() && (*answer)->has_value() && (**answer)->decision.accepted;
}

bool isNotRun(const std::shared_ptr<append_answer> &answer)
{
    return answer->has_value() && !(*answer)->has_value()
        && (*answer)->error().state == execution::NotRun;
}

reason reasonOf(const std::shared_ptr<append_answer> &answer)
{
    return answer->has_value() && (*answer)->has_value() ? (**answer)->decision.why : reason::None;
}

cell_result repeatedElsewhere(const cell_context &context)
{
    journal_harness harness(context.seed, {});
    harness.clock.runFor(absl::Seconds(2));
    harness.log.faults.loseAppendAnswers = true;
    const auto first = harness.append("e1", journal::job_submitted {specOf("r")});
    harness.clock.runFor(absl::Milliseconds(context.seed % 3 * 20));
    const auto second = harness.append("e2", journal::job_submitted {specOf("r")});
    harness.clock.runFor(absl::Seconds(12));
    if (!isAccepted(first) || !isAccepted(second))
        return {false, "a submission that took effect was not confirmed"};
    if ((**first)->decision.repeated == (**second)->decision.repeated)
        return {false, "not exactly one submission created the job"};
    return {harness.replayedState().jobs().size() == 1, "the job exists more or less than once"};
}

cell_result logRefuses(const cell_context &context)
{
    journal_harness harness(context.seed, {});
    harness.clock.runFor(absl::Seconds(2));
    harness.log.faults.refuse = true;
    const auto answer = harness.append("e1", journal::job_submitted {specOf("r")});
    harness.clock.runFor(absl::Seconds(3));
    if (!isNotRun(answer) || (*answer)->error().retryAt == absl::InfiniteFuture())
        return {false, "the caller was not told \"not run\" with a retry time"};
    harness.log.faults.refuse = false;
    harness.clock.runFor(absl::Seconds(20));
    return {harness.replayedState().jobs().empty(),
            "a job exists whose caller was told \"not run\""};
}

/// The log stops answering while the append is in flight, so the caller may only be told "unknown".
cell_result logSilent(const cell_context &context)
{
    journal_harness harness(context.seed, {});
    harness.clock.runFor(absl::Seconds(2));
    harness.log.faults.loseAppendAnswers = true;
    const auto answer = harness.append("e1", journal::job_submitted {specOf("r")});
    harness.clock.runFor(absl::Milliseconds(20));
    harness.log.faults.down = true;
    harness.clock.runFor(absl::Seconds(12));
    if (harness.replayedState().jobs().size() != 1)
        return {false, "the append did not take effect before the log fell silent"};
    return {answer->has_value() && !isNotRun(answer), "the caller was told \"not run\""};
}

cell_result requestIdReused(const cell_context &context)
{
    journal_harness harness(context.seed, {});
    harness.clock.runFor(absl::Seconds(2));
    const auto first = harness.append("e1", journal::job_submitted {specOf("r")});
    harness.clock.runFor(absl::Seconds(1));
    const auto second = harness.append("e2", journal::job_submitted {specOf("r", "other")});
    harness.clock.runFor(absl::Seconds(1));
    return {isAccepted(first) && reasonOf(second) == reason::RequestIdReused,
            "the same id with other content was not refused"};
}

/// A decider is paused before its placement reaches the log and resumes after the next grant.
cell_result staleDecider(const cell_context &context)
{
    harness_options options;
    options.cluster.fenceByEpoch = !context.mechanismOff;
    journal_harness harness(context.seed, options);
    harness.clock.runFor(absl::Seconds(2));
    const job_spec spec = specOf("r");
    harness.append("e1", journal::job_submitted {spec});
    harness.append("e0", grantOf("e0", 1, harness.clock.now()));
    harness.clock.runFor(absl::Seconds(1));
    harness.pause("e0");
    const auto stale = harness.append("e0", placementOf(spec, 1, 1), absl::Minutes(1));
    const auto grant = harness.append("e1", grantOf("e1", 2, harness.clock.now()));
    harness.clock.runFor(absl::Seconds(1));
    harness.resume("e0");
    harness.clock.runFor(absl::Seconds(1));
    const auto fresh = harness.append("e1", placementOf(spec, 2, 2));
    harness.clock.runFor(absl::Seconds(2));
    if (!isAccepted(grant) || reasonOf(stale) != reason::StaleEpoch)
        return {false, "the placement of the stale decider was not void"};
    return {isAccepted(fresh), "the new decider could not place the job"};
}

cell_result twoDeciders(const cell_context &context)
{
    journal_harness harness(context.seed, {});
    harness.clock.runFor(absl::Seconds(2));
    const job_spec spec = specOf("r");
    harness.append("e2", journal::job_submitted {spec});
    const auto firstGrant = harness.append("e0", grantOf("e0", 1, harness.clock.now()));
    const auto secondGrant = harness.append("e1", grantOf("e1", 1, harness.clock.now()));
    harness.clock.runFor(absl::Seconds(1));
    if (isAccepted(firstGrant) == isAccepted(secondGrant))
        return {false, "not exactly one of two candidates became decider"};
    const auto firstPlacement = harness.append("e0", placementOf(spec, 1, 1));
    const auto secondPlacement = harness.append("e0", placementOf(spec, 1, 2));
    harness.clock.runFor(absl::Seconds(1));
    return {isAccepted(firstPlacement) != isAccepted(secondPlacement),
            "the job was not placed exactly once"};
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
