/// @file Implementation of the refusal of jobs under overload and of impossible ones.
#include "hyssoppond/batch/admission_rule_base.h"

#include "hyssoppond/batch/batch_scheduler_base.h"

#include "scarcity_order.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>

namespace hyssoppond::batch {

namespace {

/// The workers of a service count as known after this time. It is twice the time in which the
/// platform demands that lost workers are made up for.
constexpr absl::Duration ObservationTime = absl::Seconds(30);

/// The backlog has to exceed the time that the job can wait by this factor. The expected run times
/// and the use of the capacity are estimates.
constexpr double BacklogSafety = 1.5;

/// A job is of use to its caller up to this multiple of its objective.
constexpr std::int64_t LastUsefulObjectives = 3;

/// Bounds of the delay that a refusal advises. It is drawn between once and twice the time that the
/// backlog takes, so that the callers do not return together.
constexpr absl::Duration MinReturn = absl::Seconds(2);
constexpr absl::Duration MaxReturn = absl::Seconds(30);

absl::Duration spread(absl::Duration delay, std::uint64_t random)
{
    const double share = static_cast<double>(random)
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return std::clamp(delay, MinReturn, MaxReturn) * (1.0 + share);
}

/// Latest start of the first of the steps from `step` on that is still of use.
unix_ms lastStartOf(const batch_job &job, const queue_policy &queue, std::uint32_t step,
                    unix_ms dueMs, const item_time_model &times)
{
    const auto objectiveMs = static_cast<std::int64_t>(
                                 queue.stretch * static_cast<double>(longestChainMs(job, 0, times)))
        + queue.latencyGoalMs;
    return dueMs + LastUsefulObjectives * objectiveMs - longestChainMs(job, step, times);
}

/// Time that the whole service takes for `units` units of the step, in ms.
double workOf(const batch_job &job, const batch_step &step, std::size_t units,
              const resources &total, const item_time_model &times)
{
    const std::size_t items = step.gang ? units * step.count : units;
    return dominantShare(step.item, total) * static_cast<double>(items)
        * static_cast<double>(times.expectedMs(job.queue, step.estimateMs, job.team));
}

/// Waiting work of a job that starts before other work of size `workMs` that can wait until
/// `lastStartMs`, as the scheduler puts off the largest work first under overload.
double workAhead(const job_state &job, const queue_policy &queue, const resources &total,
                 double workMs, unix_ms lastStartMs, const admission_input &input)
{
    double ahead = 0;
    for (std::uint32_t i = 0; i < job.occurrences.size(); ++i) {
        const occurrence_state &occurrence = job.occurrences[i];
        const unix_ms dueMs = job.job.dueMs(i);
        if (occurrence.stepsLeft == 0 || dueMs > input.nowMs)
            continue;
        for (std::uint32_t stepIndex = 0; stepIndex < occurrence.steps.size(); ++stepIndex) {
            const batch_step &step = job.job.steps[stepIndex];
            const auto &units = occurrence.steps[stepIndex].units;
            const auto waiting = static_cast<std::size_t>(
                std::count_if(units.begin(), units.end(),
                              [](const unit_state &unit) { return !unit.done && !unit.active; }));
            const bool isReady = std::all_of(step.dependsOn.begin(), step.dependsOn.end(),
                                             [&](std::uint32_t dependency) {
                                                 return occurrence.steps[dependency].unitsLeft == 0;
                                             });
            if (waiting == 0 || !isReady)
                continue;
            const unix_ms stepLastMs = lastStartOf(job.job, queue, stepIndex, dueMs, *input.times);
            if (stepLastMs < input.nowMs || stepLastMs > lastStartMs)
                continue;
            const double stepMs = workOf(job.job, step, waiting, total, *input.times);
            if (stepMs <= workMs)
                ahead += stepMs;
        }
    }
    return ahead;
}

} // namespace

void admission_rule::onAnnounced(const agent_announced &announced)
{
    if (announced.hasWorker)
        m_workers[announced.agent] = announced.worker;
}

bool admission_rule::isKnownImpossible(const admission_input &input, const queue_policy &queue,
                                       const batch_step &step) const
{
    // An agent whose worker was never seen may have one that fits.
    for (const auto &[agent, announced] : input.state->agents()) {
        if (!m_workers.contains(agent))
            return false;
    }
    const std::int64_t needed = step.gang ? step.count : 1;
    std::int64_t held = 0;
    bool isServiceKnown = false;
    for (const auto &[agent, worker] : m_workers) {
        if (worker.service != queue.service)
            continue;
        isServiceKnown = true;
        if (!step.requiredLabel.empty()
            && std::find(worker.labels.begin(), worker.labels.end(), step.requiredLabel)
                == worker.labels.end())
            continue;
        std::int64_t count = needed;
        const auto limit = [&count](std::int64_t amount, std::int64_t perItem) {
            if (perItem > 0)
                count = std::min(count, amount / perItem);
        };
        if (!step.usesIdleCpu)
            limit(worker.capacity.cpuMilli, step.item.cpuMilli);
        limit(worker.capacity.memoryMb, step.item.memoryMb);
        limit(worker.capacity.accelerators, step.item.accelerators);
        if (step.maxPerWorker > 0)
            count = std::min<std::int64_t>(count, step.maxPerWorker);
        held += count;
    }
    return isServiceKnown && held < needed;
}

std::optional<admission_refusal> admission_rule::check(const admission_input &input) const
{
    const batch_job &job = *input.job;
    const queue_policy *queue = input.config->findQueue(job.queue);
    if (queue == nullptr || input.observedFor < ObservationTime)
        return std::nullopt;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        if (isKnownImpossible(input, *queue, job.steps[i]))
            return admission_refusal {reason::ImpossibleShape,
                                      absl::StrCat("no workers of the service ", queue->service,
                                                   " can hold step ", i,
                                                   "; ask for less, or for another label"),
                                      spread(ObservationTime, input.random)};
    }
    if (job.repeats > 0)
        return std::nullopt; // it is due later
    resources total;
    for (const auto &[agent, announced] : input.state->agents()) {
        if (announced.hasWorker && announced.worker.service == queue->service)
            total += announced.worker.capacity;
    }
    const unix_ms lastStartMs = lastStartOf(job, *queue, 0, input.nowMs, *input.times);
    const batch_step &first = job.steps.front();
    const double workMs = workOf(job, first, unitCount(first), total, *input.times);
    // A unit within its team's guarantee does not wait for the work of others.
    const batch_team *team = input.config->findTeam(job.team);
    const std::int64_t members = first.gang ? first.count : 1;
    if (queue->priority == 0 && team != nullptr
        && first.item.accelerators * members <= team->guaranteedAccelerators)
        return std::nullopt;
    double aheadMs = 0;
    for (const auto &[id, other] : input.state->jobs()) {
        if (other.isOver())
            continue;
        const queue_policy *otherQueue = input.config->findQueue(other.job.queue);
        if (otherQueue == nullptr)
            otherQueue = other.acceptedPolicy.get(); // accepted work of a removed queue goes on
        if (otherQueue != nullptr && otherQueue->service == queue->service
            && otherQueue->priority <= queue->priority)
            aheadMs += workAhead(other, *otherQueue, total, workMs, lastStartMs, input);
    }
    const double allowedMs
        = BacklogSafety * static_cast<double>(std::max<std::int64_t>(0, lastStartMs - input.nowMs));
    if (aheadMs <= allowedMs)
        return std::nullopt;
    return admission_refusal {
        reason::Overloaded,
        absl::StrCat("work for ", static_cast<std::int64_t>(aheadMs / 1000.0),
                     " s is waiting before it, so it would end too late to be of use; retry"),
        spread(absl::Milliseconds(aheadMs - allowedMs), input.random)};
}

} // namespace hyssoppond::batch
