/// @file Preemption: chooses the runs that are stopped for an urgent unit.
#include "plan_maker.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>

namespace hyssoppond::batch {

namespace {

/// Seconds lost when a run with checkpoints is stopped: the time of the order and of the restore.
constexpr double CheckpointLossSeconds = 0.3;

/// Largest cost accepted for an urgent unit that need not be started for its guarantee yet: a base
/// in core-seconds plus a multiple of the unit's own work. A higher cost harms the callers more
/// than the unit gains.
constexpr double PreemptionBaseCoreSeconds = 150.0;
constexpr double PreemptionWorkRatio = 1.2;

/// A cost of up to so many core-seconds is accepted at once. A larger one is accepted only when the
/// stop has to begin now for the urgent unit to be in time.
constexpr double NegligibleCoreSeconds = 30.0;

/// Time, besides that of a stop, by which a stop is begun before the latest start of the unit.
constexpr absl::Duration PreemptionLead = absl::Milliseconds(400);

/// Least loss that a stopped run counts for, in seconds. It keeps the number of victims low.
constexpr double MinLossSeconds = 0.2;

/// Core-seconds added to the cost of stopping an urgent run. The run then ends late, which costs
/// its caller about as much as the stop of other work may.
constexpr double UrgentVictimCoreSeconds = 1'000.0;

/// Time allowed, besides that of a stop, for delivering the orders before a guarantee has to be
/// met.
constexpr absl::Duration ReclaimMargin = absl::Milliseconds(700);

} // namespace

double plan_maker::preemptionCost(const unit_id &unit) const
{
    const job_state &job = *input.state->find(unit.job);
    const batch_step &step = job.job.steps[unit.step];
    const run_state &run = *input.state->findUnit(unit)->active;
    const double elapsedSeconds = static_cast<double>(input.nowMs - run.orderedMs) / 1000.0;
    const double lostSeconds
        = step.checkpointed ? std::min(elapsedSeconds, CheckpointLossSeconds) : elapsedSeconds;
    const queue_policy *queue = input.config->findQueue(job.job.queue);
    const double urgentPenalty
        = queue != nullptr && queue->priority == 0 ? UrgentVictimCoreSeconds : 0.0;
    return std::max(lostSeconds, MinLossSeconds) * weightOf(step.item)
        * static_cast<double>(run.members.size())
        + urgentPenalty;
}

std::int64_t plan_maker::urgentAccelerators(const team_id &team) const
{
    std::int64_t used = 0;
    for (const auto &[id, job] : input.state->jobs()) {
        const queue_policy *queue = input.config->findQueue(job.job.queue);
        if (job.job.team != team || queue == nullptr || queue->priority != 0)
            continue;
        for (const unit_id &unit : job.activeUnits)
            used += job.job.steps[unit.step].item.accelerators
                * static_cast<std::int64_t>(input.state->findUnit(unit)->active->members.size());
    }
    return used;
}

bool plan_maker::mayPreempt(const waiting_unit &unit, const job_state &victimJob) const
{
    const queue_policy *queue = input.config->findQueue(victimJob.job.queue);
    if (queue == nullptr || queue->priority > 0)
        return true;
    // Urgent work of a team that exceeds its guarantee may be stopped for urgent work of another
    // team that is within its guarantee.
    const batch_team *victimTeam = input.config->findTeam(victimJob.job.team);
    return victimTeam != nullptr && victimTeam->id != unit.job->job.team && unit.guaranteed
        && mustReclaim(unit)
        && urgentAccelerators(victimTeam->id) > victimTeam->guaranteedAccelerators;
}

bool plan_maker::isGuaranteed(const waiting_unit &unit) const
{
    const batch_team *team = input.config->findTeam(unit.job->job.team);
    return team != nullptr
        && urgentAccelerators(team->id) + unit.step->item.accelerators * unit.members
        <= team->guaranteedAccelerators;
}

bool plan_maker::mustReclaim(const waiting_unit &unit) const
{
    const absl::Duration allowedWait = options.reclaimWithin - options.stopTime - ReclaimMargin;
    return unit.guaranteed
        && input.nowMs - unit.job->job.submittedMs >= absl::ToInt64Milliseconds(allowedWait);
}

std::vector<plan_maker::victim> plan_maker::victimsOn(const waiting_unit &unit,
                                                      const worker_availability &worker) const
{
    std::vector<victim> victims;
    for (const unit_id &id : input.state->runsOn(worker.agent)) {
        const job_state &job = *input.state->find(id.job);
        const run_state &run = *input.state->findUnit(id)->active;
        if (run.stopping || job.isOver() || stopped.contains(id) || !mayPreempt(unit, job))
            continue;
        victims.push_back({id, preemptionCost(id)});
    }
    std::sort(victims.begin(), victims.end(),
              [](const victim &a, const victim &b) { return a.cost < b.cost; });
    return victims;
}

plan_maker::preemption_plan plan_maker::planPreemption(const waiting_unit &unit,
                                                       const worker_filter &accept) const
{
    preemption_plan result;
    std::vector<resources> available(workers.size());
    std::vector<std::uint32_t> placed(workers.size(), 0);
    for (std::size_t i = 0; i < workers.size(); ++i) {
        available[i] = workers[i].free;
        available[i] += workers[i].releasing;
    }
    // Calls `change` with the index of the worker and the resources of each member that still runs.
    const auto eachMember = [&](const unit_id &id, const auto &change) {
        const resources need = input.state->find(id.job)->job.steps[id.step].item;
        for (const member_state &member : input.state->findUnit(id)->active->members) {
            for (std::size_t i = 0; i < workers.size(); ++i) {
                if (workers[i].agent == member.member.agent && !member.end)
                    change(i, need);
            }
        }
    };
    const auto release = [&](const unit_id &id, std::vector<resources> *remaining) {
        eachMember(id,
                   [remaining](std::size_t i, const resources &need) { (*remaining)[i] += need; });
    };
    const auto occupy = [&](const unit_id &id, std::vector<resources> *remaining) {
        eachMember(id,
                   [remaining](std::size_t i, const resources &need) { (*remaining)[i] -= need; });
    };
    while (result.chosen.size() < unit.members) {
        std::size_t bestWorker = workers.size();
        double bestCost = std::numeric_limits<double>::max();
        std::vector<unit_id> bestVictims;
        for (std::size_t i = 0; i < workers.size(); ++i) {
            if (!isSuitable(unit, workers[i]) || !accept(workers[i]))
                continue;
            if (unit.step->maxPerWorker > 0
                && capacityFor(unit, workers[i], workers[i].description->capacity) <= placed[i])
                continue;
            std::vector<resources> trial = available;
            std::vector<unit_id> workerVictims;
            double cost = 0;
            for (const victim &candidate : victimsOn(unit, workers[i])) {
                if (fits(trial[i], unit.step->item))
                    break;
                if (result.victims.contains(candidate.unit))
                    continue;
                release(candidate.unit, &trial);
                workerVictims.push_back(candidate.unit);
                cost += candidate.cost;
            }
            // Victims are added from the cheapest on. A later, larger candidate can free so much
            // that some of the earlier ones need not be stopped.
            for (std::size_t v = workerVictims.size(); v-- > 0;) {
                std::vector<resources> trialKeepingVictim = trial;
                occupy(workerVictims[v], &trialKeepingVictim);
                if (!fits(trialKeepingVictim[i], unit.step->item))
                    continue;
                trial = std::move(trialKeepingVictim);
                cost -= preemptionCost(workerVictims[v]);
                workerVictims.erase(workerVictims.begin() + static_cast<std::ptrdiff_t>(v));
            }
            if (fits(trial[i], unit.step->item) && cost < bestCost) {
                bestWorker = i;
                bestCost = cost;
                bestVictims = workerVictims;
            }
        }
        if (bestWorker == workers.size())
            return {};
        for (const unit_id &id : bestVictims) {
            release(id, &available);
            result.victims.insert(id);
        }
        result.cost += bestCost;
        available[bestWorker] -= unit.step->item;
        ++placed[bestWorker];
        result.chosen.push_back(bestWorker);
    }
    return result;
}

bool plan_maker::preempt(const waiting_unit &unit)
{
    if (unit.lateness > 0 && !unit.guaranteed)
        return false; // it can no longer end in time, so stopping other work gains nothing
    preemption_plan best;
    if (unit.step->sameRack || !unit.step->dataRack.empty()) {
        for (const std::string &rack : candidateRacks(unit)) {
            preemption_plan rackPlan
                = planPreemption(unit, [&rack](const worker_availability &worker) {
                      return worker.description->rack == rack;
                  });
            if (!rackPlan.chosen.empty() && (best.chosen.empty() || rackPlan.cost < best.cost))
                best = std::move(rackPlan);
        }
    }
    if (best.chosen.empty() && !(unit.step->sameRack && unit.lateness == 0))
        best = planPreemption(unit, [](const worker_availability &) { return true; });
    if (best.chosen.empty())
        return false;
    const std::int64_t leftMs = unit.latestStartMs - input.nowMs;
    if (!mustReclaim(unit) && best.cost > NegligibleCoreSeconds
        && leftMs > absl::ToInt64Milliseconds(options.stopTime + PreemptionLead))
        return false; // other runs may end on their own in time
    const double workCoreSeconds = static_cast<double>(unit.expectedMs) / 1000.0
        * weightOf(unit.step->item) * static_cast<double>(unit.members);
    if (!mustReclaim(unit)
        && best.cost > PreemptionBaseCoreSeconds + PreemptionWorkRatio * workCoreSeconds)
        return false;
    for (const unit_id &victim : best.victims)
        stopRun(victim, absl::StrCat("preempted for ", toString(unit.id), ", ", describe(unit)));
    claim(unit, best.chosen);
    return true;
}

} // namespace hyssoppond::batch
