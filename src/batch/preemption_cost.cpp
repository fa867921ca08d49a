/// @file What the stop of a run throws away, while urgent work waits on a full site.
#include "plan_maker.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Seconds that a run with checkpoints loses besides its work since the newest checkpoint: the time
/// of the order and of the restore.
constexpr double RestoreSeconds = 0.3;

/// Least loss that a stopped run counts for, in seconds. It keeps the number of victims low.
constexpr double MinLossSeconds = 0.2;

/// Core-seconds added to the cost of stopping an urgent run. The run then ends late, which costs
/// its caller about as much as the stop of other work may.
constexpr double UrgentVictimCoreSeconds = 1'000.0;

/// Core-seconds added for a run that was itself started by stops a moment ago. Stopping it throws
/// away the earlier victims' work for nothing, so any other urgent run is stopped before it.
constexpr double RecentPreemptorCoreSeconds = 10'000.0;

} // namespace

int plan_maker::latenessOfEnd(const active_run &run, unix_ms endMs) const
{
    const batch_job &job = run.job->job;
    const queue_policy *queue = queueOf(*run.job);
    if (queue == nullptr)
        return 0;
    const std::uint32_t step = run.unit->step;
    const std::int64_t laterStepsMs = std::max<std::int64_t>(
        0,
        longestChainMs(job, step, times)
            - times.expectedMs(job.queue, job.steps[step].estimateMs, job.team));
    const auto objectiveMs
        = static_cast<std::int64_t>(queue->stretch
                                    * static_cast<double>(longestChainMs(job, 0, times)))
        + queue->latencyGoalMs;
    const std::int64_t jobTimeMs = endMs + laterStepsMs - job.dueMs(run.unit->occurrence);
    if (jobTimeMs <= objectiveMs)
        return 0;
    return jobTimeMs <= 3 * objectiveMs ? 1 : 2;
}

std::int64_t plan_maker::expectedRunMs(const active_run &run) const
{
    double slowest = 0;
    for (const member_state &member : run.state->members) {
        const auto found = workerIndexes.find(member.member.agent.str());
        if (found != workerIndexes.end())
            slowest = std::max(slowest, workers[found->second].slowness);
    }
    const std::int64_t meanMs = times.expectedMs(
        run.job->job.queue, run.job->job.steps[run.unit->step].estimateMs, run.job->job.team);
    return slowest > 0 ? static_cast<std::int64_t>(static_cast<double>(meanMs) * slowest) : meanMs;
}

plan_maker::stop_cost plan_maker::computeStopCost(const active_run &run) const
{
    const batch_step &step = run.job->job.steps[run.unit->step];
    const queue_policy *queue = queueOf(*run.job);
    const bool isUrgent = queue != nullptr && queue->priority == 0;
    const std::int64_t elapsedMs = std::max<std::int64_t>(0, input.nowMs - run.state->orderedMs);
    const std::int64_t expectedMs = expectedRunMs(run);
    // A restart goes to a worker of mean speed.
    const std::int64_t meanMs
        = times.expectedMs(run.job->job.queue, step.estimateMs, run.job->job.team);
    const std::int64_t stopMs = absl::ToInt64Milliseconds(options.stopTime);
    const double elapsedSeconds = static_cast<double>(elapsedMs) / 1000.0;
    // The moment of the newest checkpoint is not known here; its age is half an interval on
    // average.
    const double checkpointAge = absl::ToDoubleSeconds(options.checkpointInterval) / 2.0;
    double lostSeconds = step.checkpointed
        ? std::min(elapsedSeconds, RestoreSeconds + checkpointAge)
        : elapsedSeconds;
    stop_cost cost;
    if (!step.longRunning) {
        // An overdue run is expected to last as long again as it has been overdue.
        const std::int64_t leftMs
            = elapsedMs < expectedMs ? expectedMs - elapsedMs : elapsedMs - expectedMs;
        cost.endsSoon = elapsedMs <= expectedMs && leftMs <= stopMs;
        const auto lostMs = static_cast<std::int64_t>(lostSeconds * 1000.0);
        const std::int64_t restartedMs = step.checkpointed ? leftMs + lostMs : meanMs;
        const int lateness = latenessOfEnd(run, input.nowMs + leftMs);
        if (lateness == 2) {
            // No caller loses by the stop, but the work done so far is thrown away all the same.
            cost.why = "its work is of no use any more";
        } else if (latenessOfEnd(run, input.nowMs + stopMs + restartedMs) > lateness) {
            // Its caller loses more than the time: all of the run's work then ends too late.
            lostSeconds = std::max(lostSeconds, static_cast<double>(meanMs) / 1000.0);
            cost.why = "it ends too late after a restart";
        }
    }
    // A stopped gang loses the work of all its members.
    cost.coreSeconds = std::max(lostSeconds, MinLossSeconds) * weightOf(step.item)
        * static_cast<double>(run.state->members.size());
    if (isUrgent)
        cost.coreSeconds += UrgentVictimCoreSeconds;
    const auto started = startedByStops.find(*run.unit);
    if (started != startedByStops.end()
        && input.nowMs - started->second < absl::ToInt64Milliseconds(options.reclaimWithin))
        cost.coreSeconds += RecentPreemptorCoreSeconds;
    return cost;
}

const plan_maker::stop_cost &plan_maker::stopCostOf(std::size_t run) const
{
    stopCosts.resize(runs.size());
    if (!stopCosts[run])
        stopCosts[run] = computeStopCost(runs[run]);
    return *stopCosts[run];
}

std::string plan_maker::describeStop(std::size_t run) const
{
    const stop_cost &cost = stopCostOf(run);
    return absl::StrCat("throws away ", static_cast<std::int64_t>(cost.coreSeconds),
                        " core-seconds", cost.why.empty() ? "" : ", ", cost.why);
}

void plan_maker::dropNeedlessStops(const std::vector<preemption_option> &options,
                                   preemption_plan *plan) const
{
    std::vector<resources> unused(workers.size());
    std::vector<bool> isChosen(workers.size(), false);
    for (const preemption_option &option : options) {
        unused[option.worker] = option.available;
        isChosen[option.worker] = option.placed > 0;
    }
    std::vector<victim> kept;
    std::stable_sort(plan->victims.begin(), plan->victims.end(),
                     [](const victim &a, const victim &b) { return a.cost > b.cost; });
    for (const victim &candidate : plan->victims) {
        const active_run &run = runs[candidate.run];
        std::vector<resources> trial = unused;
        bool isNeedless = true;
        for (const member_state &member : run.state->members) {
            const auto found = workerIndexes.find(member.member.agent.str());
            if (member.end || found == workerIndexes.end() || !isChosen[found->second])
                continue;
            trial[found->second] -= run.item;
            isNeedless = isNeedless && fits(trial[found->second], resources {});
        }
        if (isNeedless) {
            unused = std::move(trial);
            plan->cost -= candidate.cost;
        } else {
            kept.push_back(candidate);
        }
    }
    plan->victims = std::move(kept);
}

} // namespace hyssoppond::batch
