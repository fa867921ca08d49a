/// @file Headroom: accelerators that stay free for the next urgent jobs.
#include "plan_maker.h"

#include <algorithm>
#include <cmath>

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

} // namespace

std::int64_t plan_maker::freeAccelerators() const
{
    std::int64_t available = 0;
    for (const worker_availability &worker : workers) {
        if (takesWork(worker))
            available += std::max<std::int64_t>(0, worker.free.accelerators);
    }
    return available;
}

void plan_maker::computeHeadroom()
{
    std::int64_t demand = 0;
    std::int64_t wholeDemand = 0;
    std::int64_t count = 0;
    std::int64_t capacity = 0;
    std::int64_t largestWorker = 0;
    for (const worker_availability &worker : workers) {
        if (worker.evacuated)
            continue;
        capacity += worker.description->capacity.accelerators;
        largestWorker = std::max(largestWorker, worker.description->capacity.accelerators);
    }
    for (const auto &[id, job] : input.state->jobs()) {
        if (input.nowMs - job.job.submittedMs > HeadroomWindowMs)
            continue;
        const queue_policy *queue = queueOf(job);
        if (queue == nullptr || queue->priority != 0)
            continue;
        ++count;
        const batch_step &first = job.job.steps.front();
        demand += first.item.accelerators * first.count;
        if (first.item.accelerators * 2 > largestWorker)
            wholeDemand += first.item.accelerators * first.count;
    }
    // No worker is left when all zones are evacuated.
    if (demand == 0 || largestWorker == 0)
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
        if (!takesWork(worker) || !(worker.free == worker.description->capacity))
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
