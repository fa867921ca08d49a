/// @file Checks of submissions, and of records of the journal that another writer may have left.
#include "hyssoppond/batch/batch_entry_base.h"

#include <absl/strings/str_cat.h>

#include <limits>

namespace hyssoppond::batch {

namespace {

/// Limits of a submission. The platform states the limit of the payload; the others bound memory.
constexpr std::size_t MaxPayloadBytes = 4'000;
constexpr std::size_t MaxSteps = 64;
constexpr std::uint32_t MaxItemsPerStep = 10'000;
constexpr std::uint32_t MaxOccurrences = 1'000;
/// Each unit takes some 200 bytes at every entry for as long as the job is kept.
constexpr std::uint64_t MaxUnits = 50'000;
constexpr std::size_t MaxLabelBytes = 256;

/// Bounds of the amounts and times of a job, within which no sum or product with them overflows.
constexpr std::int64_t MaxAmount = 1'000'000'000'000;
constexpr unix_ms MaxUnixMs = std::numeric_limits<unix_ms>::max() / 4;

/// Largest epoch of a decider that is accepted. There must be later ones for the next deciders.
constexpr epoch_number MaxEpoch = std::numeric_limits<epoch_number>::max() / 4;

/// Largest number of a run that is accepted. There must be later ones for the next runs of its
/// unit.
constexpr std::uint32_t MaxRun = std::numeric_limits<std::uint32_t>::max() / 4;

/// Upper bounds of the numbers in the policy of a queue, as for those of a configuration.
constexpr std::int64_t MaxPolicyNumber = 1'000'000'000;
constexpr double MaxStretch = 1e6;

bool isPolicyInRange(const queue_policy &policy)
{
    // A comparison with NaN is false.
    return policy.stretch > 0.0 && policy.stretch <= MaxStretch && policy.priority >= 0
        && policy.priority <= MaxPolicyNumber && policy.maxAttempts <= MaxPolicyNumber
        && policy.latencyGoalMs >= 0 && policy.latencyGoalMs <= MaxPolicyNumber;
}

} // namespace

result<void> checkJob(const batch_job &job)
{
    const auto invalid
        = [](std::string message) { return fail(reason::InvalidArgument, std::move(message)); };
    if (job.payload.size() > MaxPayloadBytes)
        return invalid("the payload is longer than 4000 bytes; shorten it");
    if (job.steps.empty() || job.steps.size() > MaxSteps)
        return invalid("the job has no step or more than 64; submit 1 to 64 steps");
    if (job.repeats > MaxOccurrences)
        return invalid("the job repeats more than 1000 times; submit several jobs");
    if (job.repeats > 0 && job.intervalMs < 0)
        return invalid("the interval between two occurrences is negative; set 0 ms or more");
    if (job.firstRunMs < 0 || job.firstRunMs > MaxUnixMs || job.intervalMs > MaxAmount)
        return invalid(
            "a time of the job is out of range; set 0 ms or more since 1970, and intervals of "
            "up to 10^12 ms");
    std::uint64_t units = 0;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const batch_step &step = job.steps[i];
        if (step.count == 0 || step.count > MaxItemsPerStep)
            return invalid(
                absl::StrCat("step ", i, " has no item or more than 10000; set 1 to 10000 items"));
        if (step.item.cpuMilli < 0 || step.item.memoryMb < 0 || step.item.accelerators < 0)
            return invalid(absl::StrCat(
                "step ", i, " asks for a negative amount of a resource; set 0 or more"));
        if (step.item.cpuMilli > MaxAmount || step.item.memoryMb > MaxAmount
            || step.item.accelerators > MaxAmount)
            return invalid(
                absl::StrCat("step ", i, " asks for more of a resource than exists; set less"));
        if (step.requiredLabel.size() > MaxLabelBytes || step.dataRack.size() > MaxLabelBytes)
            return invalid(
                absl::StrCat("a label of step ", i, " is longer than 256 bytes; shorten it"));
        if (step.dependsOn.size() > MaxSteps)
            return invalid(
                absl::StrCat("step ", i, " depends on more than 64 steps; name each step once"));
        units += std::uint64_t {unitCount(step)} * job.occurrences();
        if (units > MaxUnits)
            return invalid("the job has more than 50000 items over all its occurrences, where a "
                           "gang counts as one; submit several jobs");
        for (const std::uint32_t earlier : step.dependsOn) {
            if (earlier >= i)
                return invalid(absl::StrCat(
                    "step ", i, " depends on itself or on a later step; name earlier steps only"));
        }
    }
    return {};
}

result<void> checkRecord(const batch_record &record)
{
    if (const auto *submitted = std::get_if<job_submitted>(&record)) {
        if (submitted->job.submittedMs < 0 || submitted->job.submittedMs > MaxUnixMs)
            return fail(reason::InvalidArgument, "the time of the submission is out of range");
        if (submitted->policy && !isPolicyInRange(*submitted->policy))
            return fail(reason::InvalidArgument, "the policy of the queue is out of range");
        return checkJob(submitted->job);
    }
    if (const auto *ordered = std::get_if<run_ordered>(&record)) {
        if (ordered->run > MaxRun)
            return fail(reason::InvalidArgument, "the number of the run is out of range");
        if (ordered->members.empty())
            return fail(reason::InvalidArgument, "the run has no members");
        return {};
    }
    constexpr std::uint64_t MaxOffset = std::numeric_limits<std::uint64_t>::max() / 4;
    if (const auto *evicted = std::get_if<agent_evicted>(&record);
        evicted != nullptr && evicted->heartbeatsRead > MaxOffset)
        return fail(reason::InvalidArgument, "the offset of the heartbeats is out of range");
    const auto *granted = std::get_if<decider_granted>(&record);
    if (granted != nullptr && granted->epoch > MaxEpoch)
        return fail(reason::InvalidArgument, "the epoch of the decider is out of range");
    return {};
}

} // namespace hyssoppond::batch
