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

/// Newest runs of a replay that are learned. Earlier ones have decayed, and at 30 us a run an entry
/// with a tenth of a core needs 0.6 s for so many, during which it decides nothing.
constexpr std::size_t MaxReplayedRuns = 2'000;

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
        endMs[i] = start + times.expectedMs(job.queue, job.steps[i].estimateMs, job.team);
        longest = std::max(longest, endMs[i]);
    }
    return longest;
}

void batch_scheduler::learn(const ended_member &ended, const batch_state &state)
{
    // Later runs of a unit may continue from a checkpoint.
    const job_state *job = state.find(ended.unit.job);
    if (ended.how != run_end::Done || ended.runTimeMs < 1 || ended.run != 1 || job == nullptr)
        return;
    const auto &members = state.findUnit(ended.unit)->active->members;
    // The members of a gang end together, so only the first end of a run counts.
    const auto done = std::count_if(members.begin(), members.end(), [](const member_state &one) {
        return one.end == run_end::Done;
    });
    if (done != 1)
        return;
    learnable_run run {ended.unit, ended.runTimeMs, {}};
    for (const member_state &one : members)
        run.agents.push_back(one.member.agent);
    if (!m_isReplaying) {
        learnRun(run, state);
        return;
    }
    m_replayedRuns.push_back(std::move(run));
    if (m_replayedRuns.size() > MaxReplayedRuns)
        m_replayedRuns.pop_front();
}

void batch_scheduler::learnProgress(const run_progress &progress, const batch_state &state)
{
    const unit_state *unit = state.findUnit(progress.unit);
    if (progress.run != 1 || progress.expectedMs < 1 || unit == nullptr || !unit->active
        || unit->active->run != progress.run)
        return;
    learnable_run run {progress.unit, progress.expectedMs, {}};
    for (const member_state &one : unit->active->members) {
        if (one.end)
            return; // the end was learned, or the run is broken
        run.agents.push_back(one.member.agent);
    }
    learnRun(run, state, true);
}

void batch_scheduler::learnRun(const learnable_run &run, const batch_state &state, bool isProgress)
{
    const job_state &job = *state.find(run.unit.job);
    const batch_step &step = job.job.steps[run.unit.step];
    finished_run finished {job.job.queue, step.estimateMs, run.runTimeMs, run.unit, {},
                           job.job.team};
    std::string rack;
    for (const process_id &agent : run.agents) {
        const auto known = state.agents().find(agent);
        const worker_description worker
            = known == state.agents().end() ? worker_description() : known->second.worker;
        const bool isFarFromData = !step.dataRack.empty() && step.dataRack != worker.rack;
        const bool spansRacks = step.sameRack && !finished.members.empty() && worker.rack != rack;
        if (isFarFromData || spansRacks)
            return; // the run was slower by the remote factor
        rack = worker.rack;
        finished.members.push_back({agent, worker.kind});
    }
    const step_evidence evidence
        = isProgress ? m_times.learnProgress(finished) : m_times.learn(finished);
    m_changedSpeeds.insert(evidence.changed.begin(), evidence.changed.end());
}

void batch_scheduler::forgetRunTimes()
{
    m_times = {};
    m_changedSpeeds.clear();
    m_replayedRuns.clear();
    m_isReplaying = true;
}

std::vector<std::pair<process_id, speed_estimate>> batch_scheduler::takeChangedSpeeds(
    std::size_t limit)
{
    std::vector<std::pair<process_id, speed_estimate>> changes;
    while (!m_changedSpeeds.empty() && changes.size() < limit) {
        const process_id worker = *m_changedSpeeds.begin();
        m_changedSpeeds.erase(m_changedSpeeds.begin());
        changes.emplace_back(worker, m_times.speeds().estimateOf(worker));
    }
    return changes;
}

void batch_scheduler::learnReplayed(const batch_state &state)
{
    m_isReplaying = false;
    for (const learnable_run &run : m_replayedRuns)
        learnRun(run, state);
    m_replayedRuns.clear();
}

std::optional<worker_quarantine> batch_scheduler::observe(const ended_member &ended,
                                                          const batch_state &state, absl::Time now)
{
    quarantine_entry &quarantine = m_quarantines[ended.member.agent];
    if (ended.how == run_end::Done || quarantine.workerStartMs != ended.member.workerStartMs)
        quarantine = {ended.member.workerStartMs};
    if (ended.how == run_end::Done) {
        return std::nullopt;
    }
    if (ended.how == run_end::NotStarted) {
        quarantine.until = std::max(quarantine.until, now + m_options.refusalQuarantine);
        return worker_quarantine {quarantine.until, quarantine.failures};
    }
    if (ended.how != run_end::Failed)
        return std::nullopt;
    const unit_state *unit = state.findUnit(ended.unit);
    if (unit != nullptr && unit->failedOn.size() >= FailedWorkersToBlameUnit) {
        for (const auto &[agent, failure] : unit->failedOn) {
            if (m_quarantines[agent].failures <= 1)
                m_quarantines[agent] = {};
        }
        return std::nullopt;
    }
    if (now >= quarantine.forgetFailuresAt)
        quarantine.failures = 0;
    const absl::Duration rest = m_options.failureQuarantine
        * (1U << std::min(quarantine.failures, MaxQuarantineDoublings));
    ++quarantine.failures;
    quarantine.until = now + rest;
    quarantine.forgetFailuresAt = quarantine.until + rest;
    return worker_quarantine {quarantine.until, quarantine.failures};
}

std::vector<plan_decision> batch_scheduler::plan(const plan_input &input)
{
    plan_maker maker {input, m_options, m_times};
    maker.collectJobs();
    maker.collectWorkers(*this);
    maker.cancelLateSubmissions();
    maker.failExhaustedJobs();
    maker.stopBrokenRuns();
    maker.computeHeadroom();
    maker.claims = std::move(m_claims);
    maker.startedByStops = std::move(m_startedByStops);
    std::erase_if(maker.startedByStops, [&](const auto &started) {
        return input.nowMs - started.second > absl::ToInt64Milliseconds(m_options.reclaimWithin);
    });
    const std::vector<waiting_unit> units = maker.waitingUnits();
    maker.reserveClaims(units);
    for (const waiting_unit &unit : units)
        maker.place(unit);
    m_claims = std::move(maker.keptClaims);
    m_startedByStops = std::move(maker.startedByStops);
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
        if (job.activeUnits.empty())
            continue;
        const queue_policy *queue = queueOf(job);
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
        worker.quarantined = quarantine != scheduler.m_quarantines.end()
            && quarantine->second.workerStartMs == announced.worker.workerStartMs
            && quarantine->second.until > input.now;
        worker.silent = input.silent.contains(agent);
        worker.evicted = input.state->isEvicted(agent);
        worker.slowness = times.slownessOf(agent);
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

void plan_maker::cancelLateSubmissions()
{
    for (const auto &[id, job] : input.state->jobs()) {
        if (job.needsCancellation)
            decisions.push_back({job_cancelled {id}, "cancelled before it was recorded"});
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
            outlivesWorker = outlivesWorker
                || (found != workerIndexes.end()
                    && mustLeaveNow(run, *workers[found->second].description));
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
            unit.expectedMs = times.expectedMs(queue->name, step.estimateMs, job.job.team);
            unit.guaranteed = queue->priority == 0 && isGuaranteed(unit);
            // One that is missed already is ordered as other late work.
            unit.reclaimDue = mustReclaim(unit)
                && input.nowMs - job.job.submittedMs
                    <= absl::ToInt64Milliseconds(options.reclaimWithin);
            // A late unit is still of use up to three times its objective.
            unit.latestStartMs = dueMs + objectiveMs - remainingMs;
            unit.lastStartMs = dueMs + 3 * objectiveMs - remainingMs;
            if (unit.latestStartMs < input.nowMs) {
                unit.lateness = unit.lastStartMs < input.nowMs ? 2 : 1;
                unit.latestStartMs = unit.lastStartMs;
            }
            unit.maxSlowness
                = static_cast<double>(unit.latestStartMs + unit.expectedMs - input.nowMs)
                / static_cast<double>(std::max<std::int64_t>(1, unit.expectedMs));
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
    putOffLateWork(&units);
    std::stable_sort(units.begin(), units.end(), startsBefore);
    return units;
}

} // namespace hyssoppond::batch
