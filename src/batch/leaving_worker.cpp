/// @file Runs on workers that are about to leave, also while there is no room elsewhere.
#include "plan_maker.h"

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Time, besides that of a stop, in which the order reaches the agent before its worker leaves.
constexpr absl::Duration LeaveMargin = absl::Seconds(1);

} // namespace

bool plan_maker::mustLeaveNow(const active_run &run, const worker_description &worker) const
{
    if (!worker.draining || worker.earliestLeaveMs == 0)
        return false;
    const batch_step &step = run.job->job.steps[run.unit->step];
    const unix_ms expectedEndMs = run.state->orderedMs + expectedRunMs(run);
    if (expectedEndMs <= worker.earliestLeaveMs)
        return false;
    // A run that cannot end before its worker leaves is stopped early, while little work is lost,
    // and starts again elsewhere. One with checkpoints loses nothing by going on, which is of use
    // while it would only wait for room.
    const unix_ms lastStopMs
        = worker.earliestLeaveMs - absl::ToInt64Milliseconds(options.stopTime + LeaveMargin);
    return !step.checkpointed || input.nowMs >= lastStopMs || hasRoomElsewhere(run);
}

bool plan_maker::hasRoomElsewhere(const active_run &run) const
{
    const queue_policy *queue = queueOf(*run.job);
    std::size_t room = 0;
    for (const worker_availability &worker : workers) {
        if (queue == nullptr || !takesWork(worker) || worker.description->service != queue->service)
            continue;
        resources left = worker.free;
        for (; room < run.state->members.size() && fits(left, run.item); ++room)
            left -= run.item;
    }
    return room >= run.state->members.size();
}

} // namespace hyssoppond::batch
