/// @file Implementation of the batch scheduler: learning, quarantines and the waiting units.
#include "hyssoppond/batch/batch_scheduler_base.h"

#include "plan_maker.h"

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Interval between two plans while jobs are open. The time left before a latest start runs out
/// without any new record.
constexpr absl::Duration ReplanInterval = absl::Milliseconds(250);

/// A unit that failed on this many workers is taken to be at fault itself, and the workers are not.
constexpr std::size_t FailedWorkersToBlameUnit = 2;

/// Most doublings of the quarantine time of a worker on which runs keep failing.
constexpr std::uint32_t MaxQuarantineDoublings = 2;

} // namespace

std::int64_t longestChainMs(const batch_job &job, std::uint32_t firstStep,
                            const item_time_model &times)
{
    std::vector<std::int64_t> endMs(job.steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t i = firstStep; i < job.steps.size(); ++i) {
        std::int64_t start = 0;
        for (const std::uint32_t dependency : job.steps[i].dependsOn)
            start = std::max(start, endMs[dependency]);
        endMs[i] = start + times.expectedMs(job.queue, job.steps[i].estimateMs);
        longest = std::max(longest, endMs[i]);
    }
    return longest;
}

void batch_scheduler::learn(const ended_member &ended, const batch_state &state)
{
    // Later runs of a unit may continue from a checkpoint, and the members of a gang end together,
    // so only the first member of the first run counts.
    const bool isRepresentative = ended.how == run_end::Done && ended.runTimeMs > 0
        && ended.run == 1 && ended.member.index == ended.unit.index;
    const job_state *job = state.find(ended.unit.job);
    if (!isRepresentative || job == nullptr)
        return;
    const batch_step &step = job->job.steps[ended.unit.step];
    const auto rackOf = [&state](const process_id &agent) {
        const auto known = state.agents().find(agent);
        return known == state.agents().end() ? std::string() : known->second.worker.rack;
    };
    const std::string rack = rackOf(ended.member.agent);
    const auto &members = state.findUnit(ended.unit)->active->members;
    const bool spansRacks = step.sameRack
        && std::any_of(members.begin(), members.end(),
                       [&](const member_state &one) { return rackOf(one.member.agent) != rack; });
    if (spansRacks || (!step.dataRack.empty() && step.dataRack != rack))
        return; // the run was slower by the remote factor
    m_times.learn(job->job.queue, step.estimateMs, ended.runTimeMs, ended.member.agent);
}

void batch_scheduler::observe(const ended_member &ended, const batch_state &state, absl::Time now)
{
    quarantine_entry &quarantine = m_quarantines[ended.member.agent];
    if (ended.how == run_end::Done) {
        quarantine = {};
        return;
    }
    if (ended.how == run_end::NotStarted) {
        quarantine.until = std::max(quarantine.until, now + m_options.refusalQuarantine);
        return;
    }
    if (ended.how != run_end::Failed)
        return;
    const unit_state *unit = state.findUnit(ended.unit);
    if (unit != nullptr && unit->failedOn.size() >= FailedWorkersToBlameUnit) {
        for (const process_id &agent : unit->failedOn) {
            if (m_quarantines[agent].failures <= 1)
                m_quarantines[agent] = {};
        }
        return;
    }
    const std::uint32_t doublings = std::min(quarantine.failures, MaxQuarantineDoublings);
    ++quarantine.failures;
    quarantine.until = now + m_options.failureQuarantine * (1U << doublings);
}

std::vector<plan_decision> batch_scheduler::plan(const plan_input &input)
{
    plan_maker maker {input, m_options, m_times};
    maker.collectJobs();
    maker.collectWorkers(*this);
    maker.failExhaustedJobs();
    maker.stopBrokenRuns();
    maker.computeHeadroom();
    maker.claims = std::move(m_claims);
    const std::vector<waiting_unit> units = maker.waitingUnits();
    maker.reserveClaims(units);
    for (const waiting_unit &unit : units)
        maker.place(unit);
    m_claims = std::move(maker.keptClaims);
    return std::move(maker.decisions);
}

absl::Time batch_scheduler::nextDeadline(const plan_input &input) const
{
    for (const auto &[id, job] : input.state->jobs()) {
        if (!job.isOver())
            return input.now + ReplanInterval;
    }
    return absl::InfiniteFuture();
}

void plan_maker::collectJobs()
{
    for (const auto &[id, job] : input.state->jobs()) {
        if (!job.isOver())
            openJobs.push_back(&job);
        if (job.isOver() && job.activeUnits.empty())
            continue;
        const queue_policy *queue = queueOf(job);
        if (queue != nullptr && queue == job.acceptedPolicy.get())
            removedQueues.try_emplace(job.job.queue, queue);
        const bool isUrgent = queue != nullptr && queue->priority == 0;
        for (const unit_id &unit : job.activeUnits) {
            const unit_state &state
                = job.occurrences[unit.occurrence].steps[unit.step].units[unit.index];
            const resources &item = job.job.steps[unit.step].item;
            runs.push_back({&job, &unit, &*state.active, item});
            if (isUrgent)
                urgentUse[job.job.team.str()]
                    += item.accelerators * static_cast<std::int64_t>(state.active->members.size());
        }
    }
}

const queue_policy *plan_maker::queueOf(const job_state &job) const
{
    const queue_policy *configured = configuredQueue(job.job.queue);
    return configured != nullptr ? configured : job.acceptedPolicy.get();
}

const queue_policy *plan_maker::queueOf(const std::string &name) const
{
    if (const queue_policy *configured = configuredQueue(name))
        return configured;
    const auto removed = removedQueues.find(name);
    return removed == removedQueues.end() ? nullptr : removed->second;
}

const queue_policy *plan_maker::configuredQueue(const std::string &name) const
{
    const auto [entry, added] = knownQueues.try_emplace(name, nullptr);
    if (added)
        entry->second = input.config->findQueue(name);
    return entry->second;
}

void plan_maker::collectWorkers(const batch_scheduler &scheduler)
{
    for (const auto &[agent, announced] : input.state->agents()) {
        if (!announced.hasWorker)
            continue;
        worker_availability worker;
        worker.agent = agent;
        worker.description = &announced.worker;
        worker.free = announced.worker.capacity;
        const auto quarantine = scheduler.m_quarantines.find(agent);
        worker.quarantined
            = quarantine != scheduler.m_quarantines.end() && quarantine->second.until > input.now;
        worker.silent = input.silent.contains(agent);
        worker.evicted = input.state->isEvicted(agent);
        worker.evacuated = input.evacuatedZones.contains(announced.worker.zone);
        const auto rack = std::find(racks.begin(), racks.end(), announced.worker.rack);
        worker.rack = static_cast<std::size_t>(rack - racks.begin());
        if (rack == racks.end())
            racks.push_back(announced.worker.rack);
        workerIndexes.emplace(agent.str(), workers.size());
        workers.push_back(std::move(worker));
    }
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const active_run &run = runs[i];
        for (const member_state &member : run.state->members) {
            const auto found = workerIndexes.find(member.member.agent.str());
            if (member.end || found == workerIndexes.end())
                continue;
            worker_availability &worker = workers[found->second];
            worker.free -= run.item;
            if (run.state->stopping || run.job->isOver())
                worker.releasing += run.item;
            if (worker.runs.empty() || worker.runs.back().first != i)
                worker.runs.emplace_back(i, 0);
            ++worker.runs.back().second;
        }
    }
}

void plan_maker::stopRun(const active_run &run, std::string why)
{
    if (!stopped.insert(*run.unit).second)
        return;
    decisions.push_back({run_stopping {*run.unit, run.state->run}, std::move(why)});
    for (const member_state &member : run.state->members) {
        const auto found = workerIndexes.find(member.member.agent.str());
        if (!member.end && found != workerIndexes.end())
            workers[found->second].releasing += run.item;
    }
}

void plan_maker::failExhaustedJobs()
{
    for (const job_state *job : openJobs) {
        const queue_policy *queue = queueOf(*job);
        if (queue == nullptr)
            continue;
        bool isExhausted = false;
        for (const occurrence_state &occurrence : job->occurrences) {
            for (std::size_t stepIndex = 0; stepIndex < occurrence.steps.size(); ++stepIndex) {
                if (job->job.steps[stepIndex].longRunning)
                    continue;
                for (const unit_state &unit : occurrence.steps[stepIndex].units)
                    isExhausted
                        = isExhausted || (!unit.done && unit.failures >= queue->maxAttempts);
            }
        }
        if (isExhausted)
            decisions.push_back({job_failed {job->job.id}, "an item used all its attempts"});
    }
}

void plan_maker::stopBrokenRuns()
{
    for (const active_run &run : runs) {
        if (run.job->isOver() || run.state->stopping)
            continue;
        bool memberEnded = false;
        bool memberDone = false;
        bool outlivesWorker = false;
        for (const member_state &member : run.state->members) {
            if (member.end) {
                memberDone = memberDone || *member.end == run_end::Done;
                memberEnded = true;
                continue;
            }
            const auto found = workerIndexes.find(member.member.agent.str());
            if (found == workerIndexes.end() || !workers[found->second].description->draining)
                continue;
            // A run that cannot end before its worker leaves is stopped early, while little
            // work is lost, and starts again elsewhere.
            const unix_ms expectedEndMs = run.state->orderedMs
                + times.expectedMs(run.job->job.queue,
                                   run.job->job.steps[run.unit->step].estimateMs);
            const unix_ms workerLeavesMs = workers[found->second].description->earliestLeaveMs;
            outlivesWorker
                = outlivesWorker || (workerLeavesMs != 0 && expectedEndMs > workerLeavesMs);
        }
        if (outlivesWorker)
            stopRun(run, "its worker leaves before the expected end of the run");
        else if (memberEnded && !memberDone)
            stopRun(run, "a member of its gang has ended");
    }
}

void plan_maker::addUnits(const job_state &job, std::vector<waiting_unit> *units) const
{
    const queue_policy *queue = queueOf(job);
    if (queue == nullptr)
        return;
    for (std::uint32_t occurrenceIndex = 0; occurrenceIndex < job.occurrences.size();
         ++occurrenceIndex) {
        const occurrence_state &occurrence = job.occurrences[occurrenceIndex];
        const unix_ms dueMs = job.job.dueMs(occurrenceIndex);
        if (occurrence.stepsLeft == 0 || dueMs > input.nowMs)
            continue;
        for (std::uint32_t stepIndex = 0; stepIndex < occurrence.steps.size(); ++stepIndex) {
            const batch_step &step = job.job.steps[stepIndex];
            const bool ready = std::all_of(step.dependsOn.begin(), step.dependsOn.end(),
                                           [&](std::uint32_t dependency) {
                                               return occurrence.steps[dependency].unitsLeft == 0;
                                           });
            if (occurrence.steps[stepIndex].unitsLeft == 0 || !ready)
                continue;
            const double chainWorkMs = static_cast<double>(longestChainMs(job.job, 0, times));
            const std::int64_t remainingMs = longestChainMs(job.job, stepIndex, times);
            const auto objectiveMs
                = static_cast<std::int64_t>(queue->stretch * chainWorkMs) + queue->latencyGoalMs;
            waiting_unit unit;
            unit.job = &job;
            unit.step = &step;
            unit.queue = queue;
            unit.members = step.gang ? step.count : 1;
            unit.expectedMs = times.expectedMs(queue->name, step.estimateMs);
            unit.guaranteed = queue->priority == 0 && isGuaranteed(unit);
            unit.latestStartMs = dueMs + objectiveMs - remainingMs;
            if (unit.latestStartMs < input.nowMs) {
                unit.lateness = 1;
                // A late unit is still of use up to three times its objective.
                unit.latestStartMs = dueMs + 3 * objectiveMs - remainingMs;
                if (unit.latestStartMs < input.nowMs)
                    unit.lateness = 2;
            }
            for (std::uint32_t unitIndex = 0; unitIndex < occurrence.steps[stepIndex].units.size();
                 ++unitIndex) {
                const unit_state &state = occurrence.steps[stepIndex].units[unitIndex];
                if (state.done || state.active)
                    continue;
                unit.id = {job.job.id, occurrenceIndex, stepIndex, unitIndex};
                unit.state = &state;
                units->push_back(unit);
            }
        }
    }
}

std::vector<waiting_unit> plan_maker::waitingUnits() const
{
    std::vector<waiting_unit> units;
    for (const job_state *job : openJobs)
        addUnits(*job, &units);
    std::stable_sort(units.begin(), units.end(), [](const waiting_unit &a, const waiting_unit &b) {
        // Urgent units go first, except late ones without a guarantee: these are worth less than
        // other work that is in time.
        const auto goesFirst = [](const waiting_unit &unit) {
            return unit.queue->priority == 0 && (unit.lateness == 0 || unit.guaranteed);
        };
        if (goesFirst(a) != goesFirst(b))
            return goesFirst(a);
        if (a.lateness != b.lateness)
            return a.lateness < b.lateness;
        return a.latestStartMs < b.latestStartMs;
    });
    return units;
}

} // namespace hyssoppond::batch
