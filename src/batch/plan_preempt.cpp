/// @file Preemption: chooses the runs that are stopped for an urgent unit.
#include "plan_maker.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>

namespace hyssoppond::batch {

namespace {

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

/// Time allowed, besides that of a stop, for delivering the orders before a guarantee has to be
/// met.
constexpr absl::Duration ReclaimMargin = absl::Milliseconds(700);

} // namespace

std::int64_t plan_maker::urgentAccelerators(const team_id &team) const
{
    const auto found = urgentUse.find(team.str());
    return found == urgentUse.end() ? 0 : found->second;
}

bool plan_maker::mayPreempt(const waiting_unit &unit, const job_state &victimJob) const
{
    const queue_policy *queue = queueOf(victimJob);
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
    // A guarantee that is due does not rely on the expected end of a run.
    const bool mayAwaitEnds = !mustReclaim(unit);
    for (const auto &[index, members] : worker.runs) {
        const active_run &run = runs[index];
        if (run.state->stopping || run.job->isOver() || stopped.contains(*run.unit)
            || !mayPreempt(unit, *run.job))
            continue;
        resources here;
        for (std::uint32_t i = 0; i < members; ++i)
            here += run.item;
        const stop_cost &cost = stopCostOf(index);
        const bool endsSoon = mayAwaitEnds && cost.endsSoon;
        victims.push_back({index, here, endsSoon ? 0.0 : cost.coreSeconds, endsSoon});
    }
    std::stable_sort(victims.begin(), victims.end(),
                     [](const victim &a, const victim &b) { return a.cost < b.cost; });
    return victims;
}

void plan_maker::evaluate(preemption_option *option, const waiting_unit &unit,
                          const std::vector<bool> &stoppedRuns) const
{
    const resources &need = unit.step->item;
    resources trial = option->available;
    option->isCurrent = true;
    option->stops.clear();
    option->cost = 0;
    for (const victim &candidate : option->victims) {
        if (fits(trial, need))
            break;
        if (stoppedRuns[candidate.run])
            continue;
        trial += candidate.here;
        option->stops.push_back(candidate);
        option->cost += candidate.cost;
    }
    // Victims are added from the cheapest on. A later, larger candidate can free so much that some
    // of the earlier ones need not be stopped.
    for (std::size_t i = option->stops.size(); i-- > 0;) {
        resources withoutStop = trial;
        withoutStop -= option->stops[i].here;
        if (!fits(withoutStop, need))
            continue;
        trial = withoutStop;
        option->cost -= option->stops[i].cost;
        option->stops.erase(option->stops.begin() + static_cast<std::ptrdiff_t>(i));
    }
    option->isFeasible = fits(trial, need);
}

plan_maker::preemption_plan plan_maker::planPreemption(const waiting_unit &unit,
                                                       const worker_filter &accept,
                                                       double maxCost) const
{
    preemption_plan result;
    std::vector<preemption_option> options;
    std::vector<std::size_t> optionOf(workers.size(), workers.size());
    for (std::size_t i = 0; i < workers.size(); ++i) {
        if (!accept(workers[i]) || !isSuitable(unit, workers[i]))
            continue;
        preemption_option option;
        option.worker = i;
        option.available = workers[i].free;
        option.available += workers[i].releasing;
        option.victims = victimsOn(unit, workers[i]);
        option.limit = unit.step->maxPerWorker == 0
            ? unit.members
            : capacityFor(unit, workers[i], workers[i].description->capacity);
        optionOf[i] = options.size();
        options.push_back(std::move(option));
    }
    std::vector<bool> stoppedRuns(runs.size(), false);
    while (result.chosen.size() < unit.members) {
        preemption_option *best = nullptr;
        for (preemption_option &option : options) {
            if (option.placed >= option.limit)
                continue;
            if (!option.isCurrent)
                evaluate(&option, unit, stoppedRuns);
            if (option.isFeasible && (best == nullptr || option.cost < best->cost))
                best = &option;
        }
        if (best == nullptr)
            return {};
        result.cost += best->cost;
        if (result.cost > maxCost) {
            result.isTooCostly = true;
            result.chosen.clear();
            return result;
        }
        best->isCurrent = false;
        for (const victim &stop : best->stops) {
            stoppedRuns[stop.run] = true;
            result.victims.push_back(stop);
            for (const member_state &member : runs[stop.run].state->members) {
                const auto found = workerIndexes.find(member.member.agent.str());
                if (member.end || found == workerIndexes.end()
                    || optionOf[found->second] == workers.size())
                    continue;
                preemption_option &option = options[optionOf[found->second]];
                option.available += runs[stop.run].item;
                option.isCurrent = false;
            }
        }
        best->available -= unit.step->item;
        ++best->placed;
        result.chosen.push_back(best->worker);
    }
    dropNeedlessStops(options, &result);
    return result;
}

plan_maker::preemption_plan plan_maker::cheapestStops(const waiting_unit &unit,
                                                      double maxCost) const
{
    preemption_plan best;
    bool isTooCostly = false;
    if (unit.step->sameRack || !unit.step->dataRack.empty()) {
        for (const std::size_t rack : candidateRacks(unit)) {
            preemption_plan rackPlan = planPreemption(
                unit, [rack](const worker_availability &worker) { return worker.rack == rack; },
                maxCost);
            isTooCostly = isTooCostly || rackPlan.isTooCostly;
            if (!rackPlan.chosen.empty() && (best.chosen.empty() || rackPlan.cost < best.cost))
                best = std::move(rackPlan);
        }
    }
    if (best.chosen.empty() && !isTooCostly && !(unit.step->sameRack && unit.lateness == 0))
        best = planPreemption(
            unit, [](const worker_availability &) { return true; }, maxCost);
    return best;
}

bool plan_maker::preempt(const waiting_unit &unit)
{
    if (unit.lateness > 0 && !unit.guaranteed)
        return false; // it can no longer end in time, so stopping other work gains nothing
    double maxCost = std::numeric_limits<double>::max();
    if (!mustReclaim(unit)) {
        const std::int64_t leftMs = unit.latestStartMs - input.nowMs;
        const double workCoreSeconds = static_cast<double>(unit.expectedMs) / 1000.0
            * weightOf(unit.step->item) * static_cast<double>(unit.members);
        // Other runs may end on their own in time.
        const bool mayWait = leftMs > absl::ToInt64Milliseconds(options.stopTime + PreemptionLead);
        maxCost = mayWait ? NegligibleCoreSeconds
                          : PreemptionBaseCoreSeconds + PreemptionWorkRatio * workCoreSeconds;
    }
    const preemption_plan best = cheapestStops(unit, maxCost);
    if (best.chosen.empty())
        return false;
    for (const victim &stop : best.victims) {
        if (stop.endsSoon)
            continue;
        stopRun(runs[stop.run],
                absl::StrCat("preempted for ", toString(unit.id), ", ", describeStop(stop.run),
                             ", ", describe(unit)));
    }
    claim(unit, best.chosen);
    return true;
}

} // namespace hyssoppond::batch
