/// @file Placement of one unit: claims, orders and reservations.
#include "plan_maker.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace hyssoppond::batch {

namespace {

/// Gangs for which one plan reserves capacity. More would leave too many workers idle.
constexpr std::uint32_t MaxGangReservations = 2;

/// The site counts as idle when at least this share of its accelerators is free. The platform
/// demands a reason for a waiting job while less than half of a service is in use.
constexpr double IdleSiteFreeShare = 0.5;

/// A late unit that prefers one rack starts across racks when less than this time remains in which
/// such a start still lets it end within three times its objective, in ms.
constexpr std::int64_t CrossRackStartWindowMs = 500;

} // namespace

void plan_maker::reserve(const waiting_unit &unit, const std::vector<std::size_t> &chosen)
{
    for (const std::size_t worker : chosen) {
        workers[worker].free -= unit.step->item;
        if (unit.step->usesIdleCpu)
            workers[worker].free.cpuMilli += unit.step->item.cpuMilli;
    }
}

void plan_maker::unreserve(const waiting_unit &unit, const std::vector<std::size_t> &chosen)
{
    for (const std::size_t worker : chosen) {
        workers[worker].free += unit.step->item;
        if (unit.step->usesIdleCpu)
            workers[worker].free.cpuMilli -= unit.step->item.cpuMilli;
    }
}

std::vector<std::size_t> plan_maker::claimedWorkers(const waiting_unit &unit) const
{
    const auto claimed = claims.find(unit.id);
    std::vector<std::size_t> chosen;
    if (claimed == claims.end())
        return chosen;
    for (const process_id &agent : claimed->second) {
        const auto found = workerIndexes.find(agent.str());
        if (found != workerIndexes.end() && isSuitable(unit, workers[found->second]))
            chosen.push_back(found->second);
    }
    if (chosen.size() != unit.members)
        chosen.clear();
    return chosen;
}

void plan_maker::reserveClaims(const std::vector<waiting_unit> &units)
{
    for (const waiting_unit &unit : units)
        reserve(unit, claimedWorkers(unit));
}

void plan_maker::claim(const waiting_unit &unit, const std::vector<std::size_t> &chosen)
{
    reserve(unit, chosen);
    std::vector<process_id> agents;
    agents.reserve(chosen.size());
    for (const std::size_t worker : chosen)
        agents.push_back(workers[worker].agent);
    keptClaims[unit.id] = std::move(agents);
}

bool plan_maker::useClaim(const waiting_unit &unit)
{
    const std::vector<std::size_t> chosen = claimedWorkers(unit);
    if (chosen.empty())
        return false;
    // reserveClaims() has subtracted the claim, so it fits if no free resource is negative.
    const auto isNonNegative = [&](const resources &available) {
        return available.cpuMilli >= 0 && available.memoryMb >= 0 && available.accelerators >= 0;
    };
    bool fitsNow = true;
    bool fitsAfterStops = true;
    for (const std::size_t worker : chosen) {
        resources afterStops = workers[worker].free;
        afterStops += workers[worker].releasing;
        fitsNow = fitsNow && isNonNegative(workers[worker].free);
        fitsAfterStops = fitsAfterStops && isNonNegative(afterStops);
    }
    unreserve(unit, chosen);
    if (fitsNow) {
        startedByStops[unit.id] = input.nowMs;
        orderRun(unit, chosen);
    } else if (fitsAfterStops) {
        claim(unit, chosen);
    }
    return fitsNow || fitsAfterStops;
}

void plan_maker::orderRun(const waiting_unit &unit, const std::vector<std::size_t> &chosen)
{
    run_ordered ordered;
    ordered.unit = unit.id;
    ordered.run = unit.state->lastRun + 1;
    ordered.gang = unit.step->gang;
    ordered.payload = unit.job->job.payload;
    ordered.checkpoint = unit.state->checkpoint;
    ordered.orderedMs = input.nowMs;
    std::uint32_t index = unit.id.index;
    for (const std::size_t worker : chosen)
        ordered.members.push_back(
            {index++, workers[worker].agent, workers[worker].description->workerStartMs});
    if (unit.step->maxPerWorker > 0) {
        std::vector<std::uint32_t> &members = membersOfStep(unit);
        for (const std::size_t worker : chosen)
            ++members[worker];
    }
    reserve(unit, chosen);
    decisions.push_back({std::move(ordered), describe(unit)});
}

std::string plan_maker::describe(const waiting_unit &unit) const
{
    return absl::StrCat(
        "latest start in ", unit.latestStartMs - input.nowMs, " ms, lateness ",
        static_cast<int>(unit.lateness),
        unit.startClass == start_class::InTime ? "" : ", put off in overload", ", expected ",
        unit.expectedMs, " ms, ", unit.guaranteed ? "guaranteed, " : "", freeAccelerators(),
        " accelerators free",
        unit.state->failedOn.empty()
            ? ""
            : absl::StrCat(", failed on ", unit.state->failedOn.size(), " workers before"));
}

bool plan_maker::shouldSpanRacks(const waiting_unit &unit) const
{
    if (unit.lateness == 0)
        return false; // waiting for a rack takes less time than a run slowed down across racks
    std::int64_t capacity = 0;
    for (const worker_availability &worker : workers) {
        if (!worker.evacuated)
            capacity += worker.description->capacity.accelerators;
    }
    if (static_cast<double>(freeAccelerators())
        >= IdleSiteFreeShare * static_cast<double>(capacity))
        return true;
    // The latest start of a late unit allows three times its objective. True if a run across racks
    // can still end by then, but could not after a short further wait.
    const auto slowdownMs = static_cast<std::int64_t>((options.remoteFactor - 1.0)
                                                      * static_cast<double>(unit.expectedMs));
    const std::int64_t leftMs = unit.latestStartMs - slowdownMs - input.nowMs;
    return unit.lateness < 2 && leftMs >= 0 && leftMs < CrossRackStartWindowMs;
}

bool plan_maker::isKnownUnplaceable(const waiting_unit &unit) const
{
    if (unit.queue->priority == 0 || unit.members > 1 || !unit.state->failedOn.empty())
        return false;
    const batch_step &step = *unit.step;
    return std::any_of(unplaced.begin(), unplaced.end(), [&](const unplaced_shape &other) {
        if (other.step == &step)
            return true;
        const bool isPlain = !step.sameRack && step.dataRack.empty() && step.maxPerWorker == 0
            && !step.usesIdleCpu;
        const bool isOtherPlain = !other.step->sameRack && other.step->dataRack.empty()
            && other.step->maxPerWorker == 0 && !other.step->usesIdleCpu;
        return isPlain && isOtherPlain && step.item == other.step->item
            && unit.queue->service == other.queue->service
            && step.requiredLabel == other.step->requiredLabel;
    });
}

void plan_maker::noteUnplaceable(const waiting_unit &unit)
{
    if (unit.queue->priority != 0 && unit.members == 1 && unit.state->failedOn.empty())
        unplaced.push_back({unit.step, unit.queue});
}

void plan_maker::place(const waiting_unit &unit)
{
    // The entry refuses submissions to queues with advice.
    if (unit.queue->needsAdvice || isKnownUnplaceable(unit))
        return;
    if (placeNow(unit))
        return;
    noteUnplaceable(unit);
    reserveForUrgent(unit);
}

bool plan_maker::placeNow(const waiting_unit &unit)
{
    const auto freeNow = [](const worker_availability &worker) { return worker.free; };
    const auto freeAfterStops = [](const worker_availability &worker) {
        resources sum = worker.free;
        return sum += worker.releasing;
    };
    const auto anywhere = [](const worker_availability &) { return true; };
    const auto inUse = [](const worker_availability &worker) {
        return !(worker.free == worker.description->capacity);
    };
    const bool prefersRack = unit.step->sameRack || !unit.step->dataRack.empty();
    const bool urgent = unit.queue->priority == 0;
    if (urgent && useClaim(unit))
        return true;
    if (!urgent && !leavesHeadroom(unit)) {
        reserveForGang(unit);
        return false;
    }
    if (prefersRack) {
        std::vector<std::size_t> chosenInRack = fitInOneRack(unit, freeNow, anywhere);
        // The order by speed may have chosen idle workers although others have room.
        if (!urgent && !chosenInRack.empty() && !leavesIdleWorkers(chosenInRack))
            chosenInRack = fitInOneRack(unit, freeNow, inUse);
        if (!chosenInRack.empty() && (urgent || leavesIdleWorkers(chosenInRack))) {
            orderRun(unit, chosenInRack);
            return true;
        }
        const bool someRackHoldsUnit = someRackCouldHold(unit);
        if (someRackHoldsUnit && urgent && preempt(unit))
            return true;
        if (someRackHoldsUnit && !unit.guaranteed && !shouldSpanRacks(unit)) {
            if (!urgent)
                reserveForGang(unit);
            return false;
        }
    }
    std::vector<std::size_t> chosen = fit(unit, anywhere, freeNow);
    if (!urgent && !chosen.empty() && !leavesIdleWorkers(chosen))
        chosen = fit(unit, inUse, freeNow);
    if (!chosen.empty() && (urgent || leavesIdleWorkers(chosen))) {
        orderRun(unit, chosen);
        return true;
    }
    if (!urgent) {
        reserveForGang(unit);
        return false;
    }
    const std::vector<std::size_t> chosenAfterStops = fit(unit, anywhere, freeAfterStops);
    if (chosenAfterStops.empty())
        return preempt(unit);
    claim(unit, chosenAfterStops);
    return true;
}

void plan_maker::reserveForGang(const waiting_unit &unit)
{
    if (reservations >= MaxGangReservations || unit.lateness > 0 || unit.members < 2
        || unit.startClass != start_class::InTime)
        return;
    const auto wholeCapacity
        = [](const worker_availability &worker) { return worker.description->capacity; };
    std::vector<std::int64_t> freeInRack(racks.size(), 0);
    for (const worker_availability &worker : workers)
        freeInRack[worker.rack] += worker.free.accelerators;
    std::vector<std::size_t> best;
    std::int64_t mostFree = std::numeric_limits<std::int64_t>::min();
    for (const std::size_t rack : candidateRacks(unit)) {
        if (freeInRack[rack] <= mostFree)
            continue;
        std::vector<std::size_t> chosen = fit(
            unit, [rack](const worker_availability &worker) { return worker.rack == rack; },
            wholeCapacity);
        if (chosen.empty())
            continue;
        mostFree = freeInRack[rack];
        best = std::move(chosen);
    }
    if (best.empty())
        return;
    ++reservations;
    reserve(unit, best);
}

} // namespace hyssoppond::batch
