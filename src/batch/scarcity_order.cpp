/// @file Order of the waiting units while there is more work than can end in time.
///
/// The earliest latest start first is the best order while all work can end in time. Under overload
/// it serves each unit just when it becomes late, and so makes all of them late. Then the units of
/// some jobs are put off, so that the others end in time.
#include "scarcity_order.h"

#include "plan_maker.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <queue>
#include <tuple>

namespace hyssoppond::batch {

namespace {

/// Share of its run time that a unit with a checkpoint is taken to need still. How much a run had
/// saved is not known.
constexpr double CheckpointedWorkShare = 0.5;

/// Waiting units of one step.
struct waiting_step
{
    std::vector<std::size_t> units; ///< indexes
    due_work inTime;                ///< due within the objective
    double lastDueInMs = 0;         ///< three times the objective
};

} // namespace

double dominantShare(const resources &need, const resources &total)
{
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return part <= 0 || whole <= 0 ? 0.0
                                       : static_cast<double>(part) / static_cast<double>(whole);
    };
    return std::max({share(need.cpuMilli, total.cpuMilli), share(need.memoryMb, total.memoryMb),
                     share(need.accelerators, total.accelerators)});
}

bool startsBefore(const waiting_unit &a, const waiting_unit &b)
{
    const auto rank = [](const waiting_unit &unit) {
        if (unit.goesFirst())
            return 0;
        if (unit.lateness == 2)
            return 4;
        if (unit.startClass == start_class::Hopeless)
            return 3;
        return unit.lateness == 0 && unit.startClass == start_class::InTime ? 1 : 2;
    };
    const int rankOfA = rank(a);
    if (rankOfA != rank(b))
        return rankOfA < rank(b);
    if (rankOfA >= 3 && a.serveCost != b.serveCost)
        return a.serveCost < b.serveCost;
    const auto key = [rankOfA](const waiting_unit &unit) {
        // A guarantee that is due is not put behind units in time, which would reserve its victims.
        const double lateness = unit.reclaimDue ? -1.0 : unit.lateness;
        // Among the units of one step, those that only have to go on end first.
        return std::make_tuple(rankOfA == 0 ? lateness : 0.0,
                               rankOfA < 2 ? unit.latestStartMs : unit.lastStartMs,
                               unit.state->checkpoint.empty());
    };
    return key(a) < key(b);
}

double capacity_forecast::workWithin(double withinMs) const
{
    if (!m_isSorted) {
        m_isSorted = true;
        std::sort(m_uses.begin(), m_uses.end(),
                  [](const capacity_use &a, const capacity_use &b) { return a.leftMs < b.leftMs; });
        capacity_use sum;
        for (capacity_use &use : m_uses) {
            use.shareBefore = sum.shareBefore;
            use.workBefore = sum.workBefore;
            sum.shareBefore += use.share;
            sum.workBefore += use.share * use.leftMs;
        }
        // An entry behind all others, so that the search always finds one.
        m_uses.push_back(
            {std::numeric_limits<double>::max(), 0.0, sum.shareBefore, sum.workBefore});
    }
    const auto longer = std::upper_bound(
        m_uses.begin(), m_uses.end(), withinMs,
        [](double within, const capacity_use &use) { return within < use.leftMs; });
    const double shareOfLonger = m_uses.back().shareBefore - longer->shareBefore;
    return (m_usableShare - shareOfLonger) * withinMs - longer->workBefore;
}

std::vector<bool> lateWork(const std::vector<due_work> &work, const capacity_forecast &capacity)
{
    std::vector<std::size_t> order(work.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return work[a].dueInMs < work[b].dueInMs;
    });
    std::vector<bool> isLate(work.size(), false);
    std::priority_queue<std::pair<double, std::size_t>> admitted; // the costliest first
    double load = 0;
    for (const std::size_t i : order) {
        const double possible = capacity.workWithin(work[i].dueInMs);
        if (work[i].workMs > possible) {
            isLate[i] = true; // giving up others does not help
            continue;
        }
        load += work[i].workMs;
        admitted.emplace(work[i].cost, i);
        while (load > possible && !admitted.empty()) {
            const std::size_t costliest = admitted.top().second;
            admitted.pop();
            load -= work[costliest].workMs;
            isLate[costliest] = true;
        }
    }
    return isLate;
}

double plan_maker::investedShare(const job_state &job, std::uint32_t occurrence) const
{
    double total = 0;
    double invested = 0;
    for (std::size_t i = 0; i < job.job.steps.size(); ++i) {
        const batch_step &step = job.job.steps[i];
        const double unitWork = weightOf(step.item) * static_cast<double>(step.estimateMs)
            * (step.gang ? step.count : 1.0);
        for (const unit_state &unit : job.occurrences[occurrence].steps[i].units) {
            total += unitWork;
            if (unit.done || unit.active)
                invested += unitWork;
        }
    }
    return total > 0 ? invested / total : 0.0;
}

capacity_forecast plan_maker::forecastFor(const std::string &service, const resources &total,
                                          const std::vector<waiting_unit> &units) const
{
    // The headroom is that of the whole site.
    std::int64_t accelerators = 0;
    for (const worker_availability &worker : workers) {
        if (takesWork(worker))
            accelerators += worker.description->capacity.accelerators;
    }
    const double headroomShare = accelerators <= 0
        ? 0.0
        : static_cast<double>(headroom) / static_cast<double>(accelerators);
    capacity_forecast forecast(std::max(0.0, 1.0 - headroomShare));
    for (const active_run &run : runs) {
        const batch_step &step = run.job->job.steps[run.unit->step];
        const std::int64_t expectedMs = expectedRunMs(run);
        const std::int64_t elapsedMs = input.nowMs - run.state->orderedMs;
        // A run that goes on until it is cancelled uses its capacity for all of the time.
        const double leftMs = step.longRunning
            ? std::numeric_limits<double>::max()
            : static_cast<double>(std::max<std::int64_t>(0, expectedMs - elapsedMs));
        for (const member_state &member : run.state->members) {
            const auto found = workerIndexes.find(member.member.agent.str());
            if (!member.end && found != workerIndexes.end() && takesWork(workers[found->second])
                && workers[found->second].description->service == service)
                forecast.addUse(dominantShare(run.item, total), leftMs);
        }
    }
    for (const waiting_unit &unit : units) {
        if (unit.goesFirst() && unit.queue->service == service)
            forecast.addUse(dominantShare(unit.step->item, total) * unit.members,
                            static_cast<double>(unit.expectedMs));
    }
    return forecast;
}

void plan_maker::putOffLateWork(std::vector<waiting_unit> *units) const
{
    std::map<std::string, resources> totals; // by service
    for (const worker_availability &worker : workers) {
        if (takesWork(worker))
            totals[worker.description->service] += worker.description->capacity;
    }
    for (const auto &[service, total] : totals)
        putOffLateWork(service, total, units);
}

void plan_maker::putOffLateWork(const std::string &service, const resources &total,
                                std::vector<waiting_unit> *units) const
{
    std::map<std::tuple<job_id, std::uint32_t, std::uint32_t>, waiting_step> steps;
    for (std::size_t i = 0; i < units->size(); ++i) {
        const waiting_unit &unit = (*units)[i];
        if (unit.goesFirst() || unit.queue->needsAdvice || unit.queue->service != service)
            continue;
        waiting_step &group = steps[{unit.id.job, unit.id.occurrence, unit.id.step}];
        const double expectedMs = static_cast<double>(unit.expectedMs)
            * (unit.state->checkpoint.empty() ? 1.0 : CheckpointedWorkShare);
        group.units.push_back(i);
        group.inTime.workMs += dominantShare(unit.step->item, total) * unit.members * expectedMs;
        group.inTime.dueInMs
            = static_cast<double>(unit.latestStartMs - input.nowMs + unit.expectedMs);
        group.lastDueInMs = static_cast<double>(unit.lastStartMs - input.nowMs + unit.expectedMs);
    }
    std::vector<waiting_step *> candidates; // units in time
    std::vector<waiting_step *> late;
    std::vector<waiting_step *> useless;
    for (auto &[key, group] : steps) {
        const waiting_unit &first = (*units)[group.units.front()];
        // Finishing a nearly done job serves its caller, starting another one does not yet.
        group.inTime.cost
            = group.inTime.workMs * (1.0 - investedShare(*first.job, first.id.occurrence));
        std::vector<waiting_step *> &groups = first.lateness == 2 ? useless
            : first.lateness == 1                                 ? late
                                                                  : candidates;
        groups.push_back(&group);
    }
    capacity_forecast forecast = forecastFor(service, total, *units);
    std::vector<due_work> work;
    work.reserve(candidates.size() + late.size());
    for (const waiting_step *group : candidates)
        work.push_back(group->inTime);
    const std::vector<bool> missesObjective = lateWork(work, forecast);
    const auto putOff = [units](const waiting_step &group, start_class to) {
        for (const std::size_t unit : group.units) {
            (*units)[unit].startClass = to;
            (*units)[unit].serveCost = group.inTime.cost;
        }
    };
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (missesObjective[i]) {
            putOff(*candidates[i], start_class::Late);
            late.push_back(candidates[i]);
        } else {
            // It goes before late work.
            forecast.addUse(1.0, candidates[i]->inTime.workMs);
        }
    }
    work.clear();
    for (const waiting_step *group : late) {
        work.push_back(group->inTime);
        work.back().dueInMs = group->lastDueInMs;
    }
    const std::vector<bool> missesUse = lateWork(work, forecast);
    for (std::size_t i = 0; i < late.size(); ++i) {
        if (missesUse[i])
            putOff(*late[i], start_class::Hopeless);
    }
    // Work beyond use only ever ends if its jobs are completed one after the other.
    for (const waiting_step *group : useless)
        putOff(*group, start_class::InTime);
}

} // namespace hyssoppond::batch
