/// @file The one rule that decides on which workers a unit may run.
#include "plan_maker.h"

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Most doublings of the time for which a unit avoids a worker on which it has failed.
constexpr std::uint32_t MaxAvoidanceDoublings = 1;

} // namespace

bool plan_maker::takesWork(const worker_availability &worker)
{
    return mayTakeWorkAgain(worker) && !worker.quarantined && !worker.evicted;
}

bool plan_maker::mayTakeWorkAgain(const worker_availability &worker)
{
    return !worker.description->draining && !worker.silent && !worker.evacuated;
}

bool plan_maker::isSuitable(const waiting_unit &unit, const worker_availability &worker) const
{
    return takesWork(worker) && meetsConstraints(unit, worker)
        && !(avoids(unit, worker) && couldRunElsewhere(unit));
}

bool plan_maker::meetsConstraints(const waiting_unit &unit, const worker_availability &worker)
{
    const worker_description &description = *worker.description;
    const std::string &label = unit.step->requiredLabel;
    return description.service == unit.queue->service
        && (label.empty()
            || std::find(description.labels.begin(), description.labels.end(), label)
                != description.labels.end());
}

const failed_run *plan_maker::failureOn(const waiting_unit &unit, const worker_availability &worker)
{
    const auto failure = unit.state->failedOn.find(worker.agent);
    const bool isOfThisIncarnation = failure != unit.state->failedOn.end()
        && failure->second.workerStartMs == worker.description->workerStartMs;
    return isOfThisIncarnation ? &failure->second : nullptr;
}

bool plan_maker::avoids(const waiting_unit &unit, const worker_availability &worker) const
{
    const failed_run *failure = failureOn(unit, worker);
    if (failure == nullptr)
        return false;
    // Lasting work has no attempts that a longer wait could save.
    const std::uint32_t doublings = unit.step->longRunning
        ? 0
        : std::min(std::max(unit.state->failures, 1U) - 1, MaxAvoidanceDoublings);
    const absl::Duration wait = options.failureQuarantine * (1U << doublings);
    // After a step of the clock, a failure that seems to lie ahead tells nothing.
    return failure->failedMs <= input.nowMs
        && input.nowMs < failure->failedMs + absl::ToInt64Milliseconds(wait);
}

bool plan_maker::couldRunElsewhere(const waiting_unit &unit) const
{
    const auto [entry, added] = runnableElsewhere.try_emplace(unit.state, false);
    if (!added)
        return entry->second;
    std::uint32_t room = 0;
    for (const worker_availability &worker : workers) {
        if (mayTakeWorkAgain(worker) && !worker.evicted && meetsConstraints(unit, worker)
            && !avoids(unit, worker))
            room += capacityFor(unit, worker, worker.description->capacity);
    }
    return entry->second = room >= unit.members;
}

} // namespace hyssoppond::batch
