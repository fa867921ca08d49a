/// @file The one rule that decides on which workers a unit may run.
#include "plan_maker.h"

#include <algorithm>

namespace hyssoppond::batch {

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
    const worker_description &description = *worker.description;
    if (!takesWork(worker) || description.service != unit.queue->service)
        return false;
    if (unit.state->failedOn.contains(worker.agent)
        && unit.state->failedOn.size() * 2 < workers.size())
        return false;
    const std::string &label = unit.step->requiredLabel;
    return label.empty()
        || std::find(description.labels.begin(), description.labels.end(), label)
        != description.labels.end();
}

} // namespace hyssoppond::batch
