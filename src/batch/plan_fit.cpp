/// @file The workers that a unit fits on.
#include "plan_maker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace hyssoppond::batch {

namespace {

/// Workers whose slowness differs by less than this, as a logarithm, count as equally fast: fitting
/// tightly is worth more than a smaller difference.
constexpr double SpeedStep = 0.3;

/// More than the speed steps between any two workers.
constexpr int MaxSpeedSteps = 1'000;

/// A unit that ends in time on workers that are slower than this goes to slow workers first, so
/// that the fast ones stay free for units that need them.
constexpr double PatientSlowness = 2.0;

} // namespace

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

int plan_maker::speedRank(const waiting_unit &unit, const worker_availability &worker)
{
    const int step = static_cast<int>(std::lround(std::log(worker.slowness) / SpeedStep));
    if (worker.slowness > unit.maxSlowness)
        return MaxSpeedSteps + step; // it would end too late there
    return unit.maxSlowness > PatientSlowness ? -step : step;
}

double plan_maker::slownessOf(const std::vector<std::size_t> &chosen) const
{
    double slowest = 0;
    for (const std::size_t worker : chosen)
        slowest = std::max(slowest, workers[worker].slowness);
    return slowest;
}

std::vector<std::size_t> plan_maker::fit(const waiting_unit &unit, const worker_filter &accept,
                                         const resource_measure &available) const
{
    struct candidate
    {
        std::size_t worker;
        std::uint32_t capacity;
        bool hasFailedUnit;
        int speedRank;
        resources available;
    };
    std::vector<candidate> candidates;
    std::uint32_t total = 0;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        if (!accept(workers[i]) || !isSuitable(unit, workers[i]))
            continue;
        const resources free = available(workers[i]);
        const std::uint32_t capacity = capacityFor(unit, workers[i], free);
        if (capacity == 0)
            continue;
        candidates.push_back({i, capacity, failureOn(unit, workers[i]) != nullptr,
                              speedRank(unit, workers[i]), free});
        total += capacity;
    }
    if (total < unit.members)
        return {};
    // Best fit: workers with the fewest free accelerators first, so that whole workers stay free
    // for items that need all accelerators of one.
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const candidate &a, const candidate &b) {
                         if (a.hasFailedUnit != b.hasFailedUnit)
                             return b.hasFailedUnit;
                         if (a.speedRank != b.speedRank)
                             return a.speedRank < b.speedRank;
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
            && worker.description->service == unit.queue->service && mayTakeWorkAgain(worker))
            total[worker.rack] += capacityFor(unit, worker, worker.description->capacity);
    }
    return std::any_of(total.begin(), total.end(),
                       [&unit](std::uint32_t members) { return members >= unit.members; });
}

std::vector<std::size_t> plan_maker::fitInOneRack(const waiting_unit &unit,
                                                  const resource_measure &available,
                                                  const worker_filter &accept) const
{
    std::vector<std::int64_t> freeInRack(racks.size(), 0);
    for (const worker_availability &worker : workers)
        freeInRack[worker.rack] += available(worker).accelerators;
    std::vector<std::size_t> best;
    std::pair<int, std::int64_t> bestRank {std::numeric_limits<int>::max(), 0};
    for (const std::size_t rack : candidateRacks(unit)) {
        const std::vector<std::size_t> chosen = fit(
            unit,
            [rack, &accept](const worker_availability &worker) {
                return worker.rack == rack && accept(worker);
            },
            available);
        if (chosen.empty())
            continue;
        int slowestRank = std::numeric_limits<int>::min();
        for (const std::size_t worker : chosen)
            slowestRank = std::max(slowestRank, speedRank(unit, workers[worker]));
        const std::pair<int, std::int64_t> rank {slowestRank, freeInRack[rack]};
        if (rank >= bestRank)
            continue;
        bestRank = rank;
        best = chosen;
    }
    return best;
}

} // namespace hyssoppond::batch
