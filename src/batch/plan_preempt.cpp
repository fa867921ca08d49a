/// @file What is stopped to make room for an urgent unit.
#include "plan_maker.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>

namespace hyssoppond::batch {

namespace {

/// Seconds of work lost when a run with checkpoints is stopped: the restore and the order.
constexpr double CheckpointLossSeconds = 0.3;

/// Core-seconds that may be lost for an urgent unit: a base, and a multiple of its own work. Beyond
/// this the loss costs the callers more than the unit gains.
constexpr double PreemptionBase = 150.0;
constexpr double PreemptionRatio = 1.2;

/// A loss of so many core-seconds is accepted at once; a larger one only when a stop must begin
/// now, with this lead, for the urgent unit to be in time.
constexpr double NegligibleLoss = 30.0;
constexpr absl::Duration PreemptionLead = absl::Milliseconds(400);

/// Smallest loss of a run that is stopped, in seconds; keeps the number of victims low.
constexpr double LeastLossSeconds = 0.2;

/// Core-seconds that the stop of an urgent run counts for besides its loss: it ends late then,
/// which costs its caller about as much as the stop of other work may.
constexpr double UrgentVictimLoss = 1'000.0;

/// Kept free, besides the time of a stop, for the ways of the orders before a guarantee has to be
/// met.
constexpr absl::Duration ReclaimMargin = absl::Milliseconds(700);

} // namespace

double plan_maker::lossOf(const unit_id &unit) const
{
    const job_state &job = *input.state->find(unit.job);
    const batch_step &step = job.job.steps[unit.step];
    const run_state &run = *input.state->findUnit(unit)->active;
    const double elapsed = static_cast<double>(input.nowMs - run.orderedMs) / 1000.0;
    const double lost = step.checkpointed ? std::min(elapsed, CheckpointLossSeconds) : elapsed;
    const queue_policy *queue = input.config->findQueue(job.job.queue);
    const double lateness = queue != nullptr && queue->priority == 0 ? UrgentVictimLoss : 0.0;
    return std::max(lost, LeastLossSeconds) * weightOf(step.item)
        * static_cast<double>(run.members.size())
        + lateness;
}

std::int64_t plan_maker::urgentUse(const team_id &team) const
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

bool plan_maker::mayPreempt(const waiting_unit &unit, const job_state &victim) const
{
    const queue_policy *queue = input.config->findQueue(victim.job.queue);
    if (queue == nullptr || queue->priority > 0)
        return true;
    // Urgent work of a team beyond its guarantee gives way to urgent work within one.
    const batch_team *other = input.config->findTeam(victim.job.team);
    return other != nullptr && other->id != unit.job->job.team && unit.guaranteed
        && mustReclaim(unit) && urgentUse(other->id) > other->guaranteedAccelerators;
}

bool plan_maker::isGuaranteed(const waiting_unit &unit) const
{
    const batch_team *team = input.config->findTeam(unit.job->job.team);
    return team != nullptr
        && urgentUse(team->id) + unit.step->item.accelerators * unit.members
        <= team->guaranteedAccelerators;
}

bool plan_maker::mustReclaim(const waiting_unit &unit) const
{
    const absl::Duration patience = options.reclaimWithin - options.stopTime - ReclaimMargin;
    return unit.guaranteed
        && input.nowMs - unit.job->job.submittedMs >= absl::ToInt64Milliseconds(patience);
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
        victims.push_back({id, lossOf(id)});
    }
    std::sort(victims.begin(), victims.end(),
              [](const victim &a, const victim &b) { return a.cost < b.cost; });
    return victims;
}

plan_maker::eviction_plan plan_maker::evict(const waiting_unit &unit,
                                            const worker_filter &accept) const
{
    eviction_plan result;
    std::vector<resources> available(workers.size());
    std::vector<std::uint32_t> placed(workers.size(), 0);
    for (std::size_t i = 0; i < workers.size(); ++i) {
        available[i] = workers[i].free;
        available[i] += workers[i].releasing;
    }
    // Calls `change` with the worker of each member that still runs.
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
    const auto hold = [&](const unit_id &id, std::vector<resources> *remaining) {
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
            std::vector<unit_id> chosen;
            double cost = 0;
            for (const victim &one : victimsOn(unit, workers[i])) {
                if (fits(trial[i], unit.step->item))
                    break;
                if (result.victims.contains(one.unit))
                    continue;
                release(one.unit, &trial);
                chosen.push_back(one.unit);
                cost += one.cost;
            }
            // The cheapest victims come first, and a later one may make some of them needless.
            for (std::size_t v = chosen.size(); v-- > 0;) {
                std::vector<resources> without = trial;
                hold(chosen[v], &without);
                if (!fits(without[i], unit.step->item))
                    continue;
                trial = std::move(without);
                cost -= lossOf(chosen[v]);
                chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(v));
            }
            if (fits(trial[i], unit.step->item) && cost < bestCost) {
                bestWorker = i;
                bestCost = cost;
                bestVictims = chosen;
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
        return false; // it cannot be in time any more
    eviction_plan best;
    if (unit.step->sameRack || !unit.step->dataRack.empty()) {
        for (const std::string &rack : racksOf(unit)) {
            eviction_plan one = evict(unit, [&rack](const worker_availability &worker) {
                return worker.description->rack == rack;
            });
            if (!one.chosen.empty() && (best.chosen.empty() || one.cost < best.cost))
                best = std::move(one);
        }
    }
    if (best.chosen.empty() && !(unit.step->sameRack && unit.lateness == 0))
        best = evict(unit, [](const worker_availability &) { return true; });
    if (best.chosen.empty())
        return false;
    const std::int64_t leftMs = unit.latestStartMs - input.nowMs;
    if (!mustReclaim(unit) && best.cost > NegligibleLoss
        && leftMs > absl::ToInt64Milliseconds(options.stopTime + PreemptionLead))
        return false; // other runs may end by themselves in time
    const double work = static_cast<double>(unit.expectedMs) / 1000.0 * weightOf(unit.step->item)
        * static_cast<double>(unit.members);
    if (!mustReclaim(unit) && best.cost > PreemptionBase + PreemptionRatio * work)
        return false;
    for (const unit_id &victim : best.victims)
        stop(victim, absl::StrCat("for ", toString(unit.id), ", ", describe(unit)));
    claim(unit, best.chosen);
    return true;
}

} // namespace hyssoppond::batch
