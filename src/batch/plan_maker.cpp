/// @file Placement of one unit: the workers it fits on, claims and reservations.
#include "plan_maker.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace hyssoppond::batch {

namespace {

/// Urgent jobs submitted within this time determine the headroom, in ms.
constexpr unix_ms HeadroomWindowMs = 10'000;

/// The headroom lets this many urgent jobs of mean size start without stopping other work, times
/// the square root of the number that is expected, as the number varies by that.
constexpr double HeadroomJobs = 1.2;

/// The headroom also covers the urgent jobs that arrive within this time, in seconds. It is about
/// the time in which a stop frees capacity for more of them.
constexpr double HeadroomSeconds = 2.2;

/// Largest share of all accelerators that is kept free as headroom.
constexpr double HeadroomShare = 0.5;

/// Gangs for which one plan reserves capacity. More would leave too many workers idle.
constexpr std::uint32_t MaxGangReservations = 2;

/// The site counts as idle when at least this share of its accelerators is free. The platform
/// demands a reason for a waiting job while less than half of a service is in use.
constexpr double IdleSiteFreeShare = 0.5;

/// A late unit that prefers one rack starts across racks when less than this time remains in which
/// such a start still lets it end within three times its objective, in ms.
constexpr std::int64_t CrossRackStartWindowMs = 500;

} // namespace

bool plan_maker::isSuitable(const waiting_unit &unit, const worker_availability &worker) const
{
    const worker_description &description = *worker.description;
    if (description.draining || worker.quarantined || worker.silent || worker.evicted
        || description.service != unit.queue->service)
        return false;
    if (unit.state->failedOn.contains(worker.agent)
        && unit.state->failedOn.size() * 2 < workers.size())
        return false;
    const std::string &label = unit.step->requiredLabel;
    return label.empty()
        || std::find(description.labels.begin(), description.labels.end(), label)
        != description.labels.end();
}

std::uint32_t plan_maker::capacityFor(const waiting_unit &unit, const worker_availability &worker,
                                      const resources &available) const
{
    const resources &need = unit.step->item;
    std::int64_t count = unit.members;
    const auto limit = [&count](std::int64_t amount, std::int64_t perItem) {
        if (perItem > 0)
            count = std::min(count, std::max<std::int64_t>(0, amount) / perItem);
    };
    if (!unit.step->usesIdleCpu)
        limit(available.cpuMilli, need.cpuMilli);
    limit(available.memoryMb, need.memoryMb);
    limit(available.accelerators, need.accelerators);
    if (unit.step->maxPerWorker > 0) {
        const auto index = static_cast<std::size_t>(&worker - workers.data());
        const std::int64_t membersOnWorker = membersOfStep(unit)[index];
        count
            = std::min(count, std::max<std::int64_t>(0, unit.step->maxPerWorker - membersOnWorker));
    }
    return static_cast<std::uint32_t>(count);
}

std::vector<std::uint32_t> &plan_maker::membersOfStep(const waiting_unit &unit) const
{
    const step_state &step = unit.job->occurrences[unit.id.occurrence].steps[unit.id.step];
    const auto [entry, added] = stepMembers.try_emplace(&step);
    if (!added)
        return entry->second;
    entry->second.resize(workers.size());
    for (const unit_state &other : step.units) {
        if (!other.active)
            continue;
        for (const member_state &member : other.active->members) {
            const auto found = workerIndexes.find(member.member.agent.str());
            if (!member.end && found != workerIndexes.end())
                ++entry->second[found->second];
        }
    }
    return entry->second;
}

std::vector<std::size_t> plan_maker::fit(const waiting_unit &unit, const worker_filter &accept,
                                         const resource_measure &available) const
{
    struct candidate
    {
        std::size_t worker;
        std::uint32_t capacity;
        resources available;
    };
    std::vector<candidate> candidates;
    std::uint32_t total = 0;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        if (!isSuitable(unit, workers[i]) || !accept(workers[i]))
            continue;
        const resources free = available(workers[i]);
        const std::uint32_t capacity = capacityFor(unit, workers[i], free);
        if (capacity == 0)
            continue;
        candidates.push_back({i, capacity, free});
        total += capacity;
    }
    if (total < unit.members)
        return {};
    // Best fit: workers with the fewest free accelerators first, so that whole workers stay free
    // for items that need all accelerators of one.
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const candidate &a, const candidate &b) {
                         if (a.available.accelerators != b.available.accelerators)
                             return a.available.accelerators < b.available.accelerators;
                         return a.available.cpuMilli < b.available.cpuMilli;
                     });
    std::vector<std::size_t> chosen;
    for (const candidate &candidateWorker : candidates) {
        for (std::uint32_t i = 0; i < candidateWorker.capacity && chosen.size() < unit.members; ++i)
            chosen.push_back(candidateWorker.worker);
    }
    return chosen;
}

std::vector<std::size_t> plan_maker::candidateRacks(const waiting_unit &unit) const
{
    std::vector<std::size_t> candidates;
    for (std::size_t rack = 0; rack < racks.size(); ++rack) {
        if (unit.step->dataRack.empty() || unit.step->dataRack == racks[rack])
            candidates.push_back(rack);
    }
    return candidates;
}

bool plan_maker::someRackCouldHold(const waiting_unit &unit) const
{
    std::vector<std::uint32_t> total(racks.size(), 0);
    const bool anyRack = unit.step->dataRack.empty();
    for (const worker_availability &worker : workers) {
        if ((anyRack || worker.description->rack == unit.step->dataRack)
            && worker.description->service == unit.queue->service && !worker.description->draining
            && !worker.silent)
            total[worker.rack] += capacityFor(unit, worker, worker.description->capacity);
    }
    return std::any_of(total.begin(), total.end(),
                       [&unit](std::uint32_t members) { return members >= unit.members; });
}

std::vector<std::size_t> plan_maker::fitInOneRack(const waiting_unit &unit,
                                                  const resource_measure &available) const
{
    std::vector<std::int64_t> freeInRack(racks.size(), 0);
    for (const worker_availability &worker : workers)
        freeInRack[worker.rack] += available(worker).accelerators;
    std::vector<std::size_t> best;
    std::int64_t fewestFree = std::numeric_limits<std::int64_t>::max();
    for (const std::size_t rack : candidateRacks(unit)) {
        if (freeInRack[rack] >= fewestFree)
            continue;
        const std::vector<std::size_t> chosen = fit(
            unit, [rack](const worker_availability &worker) { return worker.rack == rack; },
            available);
        if (chosen.empty())
            continue;
        fewestFree = freeInRack[rack];
        best = chosen;
    }
    return best;
}

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
    if (fitsNow)
        orderRun(unit, chosen);
    else if (fitsAfterStops)
        claim(unit, chosen);
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

std::int64_t plan_maker::freeAccelerators() const
{
    std::int64_t available = 0;
    for (const worker_availability &worker : workers) {
        if (!worker.description->draining && !worker.quarantined && !worker.silent)
            available += std::max<std::int64_t>(0, worker.free.accelerators);
    }
    return available;
}

std::string plan_maker::describe(const waiting_unit &unit) const
{
    return absl::StrCat("latest start in ", unit.latestStartMs - input.nowMs, " ms, lateness ",
                        static_cast<int>(unit.lateness), ", expected ", unit.expectedMs, " ms, ",
                        unit.guaranteed ? "guaranteed, " : "", freeAccelerators(),
                        " accelerators free");
}

bool plan_maker::shouldSpanRacks(const waiting_unit &unit) const
{
    if (unit.lateness == 0)
        return false; // waiting for a rack takes less time than a run slowed down across racks
    std::int64_t capacity = 0;
    for (const worker_availability &worker : workers)
        capacity += worker.description->capacity.accelerators;
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
    if (!placeNow(unit))
        noteUnplaceable(unit);
}

bool plan_maker::placeNow(const waiting_unit &unit)
{
    const auto freeNow = [](const worker_availability &worker) { return worker.free; };
    const auto freeAfterStops = [](const worker_availability &worker) {
        resources sum = worker.free;
        return sum += worker.releasing;
    };
    const auto anywhere = [](const worker_availability &) { return true; };
    const bool prefersRack = unit.step->sameRack || !unit.step->dataRack.empty();
    const bool urgent = unit.queue->priority == 0;
    if (urgent && useClaim(unit))
        return true;
    if (!urgent && !leavesHeadroom(unit)) {
        reserveForGang(unit);
        return false;
    }
    if (prefersRack) {
        const std::vector<std::size_t> chosenInRack = fitInOneRack(unit, freeNow);
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
    const std::vector<std::size_t> chosen = fit(unit, anywhere, freeNow);
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
    if (reservations >= MaxGangReservations || unit.lateness > 0 || unit.members < 2)
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

void plan_maker::computeHeadroom()
{
    std::int64_t demand = 0;
    std::int64_t wholeDemand = 0;
    std::int64_t count = 0;
    std::int64_t capacity = 0;
    std::int64_t largestWorker = 0;
    for (const worker_availability &worker : workers) {
        capacity += worker.description->capacity.accelerators;
        largestWorker = std::max(largestWorker, worker.description->capacity.accelerators);
    }
    for (const auto &[id, job] : input.state->jobs()) {
        if (input.nowMs - job.job.submittedMs > HeadroomWindowMs)
            continue;
        const queue_policy *queue = queueOf(job.job.queue);
        if (queue == nullptr || queue->priority != 0)
            continue;
        ++count;
        const batch_step &first = job.job.steps.front();
        demand += first.item.accelerators * first.count;
        if (first.item.accelerators * 2 > largestWorker)
            wholeDemand += first.item.accelerators * first.count;
    }
    if (demand == 0)
        return;
    const double arrivals = HeadroomSeconds * 1000.0 * static_cast<double>(count)
        / static_cast<double>(HeadroomWindowMs);
    const double jobs = arrivals + HeadroomJobs * std::max(1.0, std::sqrt(arrivals));
    const double wantedAccelerators
        = jobs * static_cast<double>(demand) / static_cast<double>(count);
    headroom = static_cast<std::int64_t>(
        std::min(wantedAccelerators, HeadroomShare * static_cast<double>(capacity)));
    if (wholeDemand > 0)
        wholeHeadroom = headroom * wholeDemand / demand / largestWorker * largestWorker;
}

bool plan_maker::leavesIdleWorkers(const std::vector<std::size_t> &chosen) const
{
    std::int64_t idle = 0;
    std::int64_t used = 0;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        const worker_availability &worker = workers[i];
        if (worker.description->draining || worker.quarantined || worker.silent
            || !(worker.free == worker.description->capacity))
            continue;
        idle += worker.free.accelerators;
        if (std::find(chosen.begin(), chosen.end(), i) != chosen.end())
            used += worker.free.accelerators;
    }
    return used == 0 || idle - used >= wholeHeadroom;
}

bool plan_maker::leavesHeadroom(const waiting_unit &unit) const
{
    return freeAccelerators() - unit.step->item.accelerators * unit.members >= headroom;
}

} // namespace hyssoppond::batch
