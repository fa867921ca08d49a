/// @file Implementation of the batch scheduler.
#include "hyssoppond/batch/batch_scheduler_base.h"

#include "plan_maker.h"

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Pause between two plans while units wait, as slack runs out without a record.
constexpr absl::Duration WaitingReplan = absl::Milliseconds(250);

/// Failures on so many workers are put down to the job.
constexpr std::size_t WorkersToBlameJob = 2;

/// Doublings of the quarantine time of a worker that keeps failing.
constexpr std::uint32_t MostQuarantineDoublings = 2;

} // namespace

std::int64_t chainMs(const batch_job &job, std::uint32_t from, const item_time_model &times)
{
    std::vector<std::int64_t> ends(job.steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t i = from; i < job.steps.size(); ++i) {
        std::int64_t start = 0;
        for (const std::uint32_t earlier : job.steps[i].dependsOn)
            start = std::max(start, ends[earlier]);
        ends[i] = start + times.expectedMs(job.queue, job.steps[i].estimateMs);
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

void batch_scheduler::learn(const ended_member &ended, const batch_state &state)
{
    // Repeated runs may go on from a checkpoint, and the members of a gang end together.
    const bool counts = ended.how == run_end::Done && ended.ranMs > 0 && ended.run == 1
        && ended.member.index == ended.unit.index;
    const job_state *job = state.find(ended.unit.job);
    if (!counts || job == nullptr)
        return;
    const batch_step &step = job->job.steps[ended.unit.step];
    const auto rackOf = [&state](const process_id &agent) {
        const auto known = state.agents().find(agent);
        return known == state.agents().end() ? std::string() : known->second.worker.rack;
    };
    const std::string rack = rackOf(ended.member.agent);
    const auto &members = state.findUnit(ended.unit)->active->members;
    const bool apart = step.sameRack
        && std::any_of(members.begin(), members.end(),
                       [&](const member_state &one) { return rackOf(one.member.agent) != rack; });
    if (apart || (!step.dataRack.empty() && step.dataRack != rack))
        return; // slower by the remote factor
    m_times.learn(job->job.queue, step.estimateMs, ended.ranMs, ended.member.agent);
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
    if (unit != nullptr && unit->failedOn.size() >= WorkersToBlameJob) {
        for (const process_id &agent : unit->failedOn) {
            if (m_quarantines[agent].failures <= 1)
                m_quarantines[agent] = {};
        }
        return;
    }
    const std::uint32_t doublings = std::min(quarantine.failures, MostQuarantineDoublings);
    ++quarantine.failures;
    quarantine.until = now + m_options.failureQuarantine * (1U << doublings);
}

std::vector<plan_decision> batch_scheduler::plan(const plan_input &input)
{
    plan_maker maker {input, m_options, m_times};
    maker.measureWorkers(*this);
    maker.failHopeless();
    maker.stopBroken();
    maker.measureHeadroom();
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
            return input.now + WaitingReplan;
    }
    return absl::InfiniteFuture();
}

void plan_maker::measureWorkers(const batch_scheduler &scheduler)
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
        for (const unit_id &id : input.state->runsOn(agent)) {
            const job_state *job = input.state->find(id.job);
            const run_state &run = *input.state->findUnit(id)->active;
            const resources need = job->job.steps[id.step].item;
            for (const member_state &member : run.members) {
                if (member.member.agent != agent || member.end)
                    continue;
                worker.free -= need;
                if (run.stopping || job->isOver())
                    worker.releasing += need;
            }
        }
        workers.push_back(std::move(worker));
    }
}

void plan_maker::stop(const unit_id &unit, std::string why)
{
    if (!stopped.insert(unit).second)
        return;
    decisions.push_back(
        {run_stopping {unit, input.state->findUnit(unit)->active->run}, std::move(why)});
    const resources need = input.state->find(unit.job)->job.steps[unit.step].item;
    for (const member_state &member : input.state->findUnit(unit)->active->members) {
        for (worker_availability &worker : workers) {
            if (worker.agent == member.member.agent && !member.end)
                worker.releasing += need;
        }
    }
}

void plan_maker::failHopeless()
{
    for (const auto &[id, job] : input.state->jobs()) {
        const queue_policy *queue = input.config->findQueue(job.job.queue);
        if (job.isOver() || queue == nullptr)
            continue;
        bool hopeless = false;
        for (const occurrence_state &occurrence : job.occurrences) {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
                if (job.job.steps[s].longRunning)
                    continue;
                for (const unit_state &unit : occurrence.steps[s].units)
                    hopeless = hopeless || (!unit.done && unit.failures >= queue->maxAttempts);
            }
        }
        if (hopeless)
            decisions.push_back({job_failed {id}, "an item used all its attempts"});
    }
}

void plan_maker::stopBroken()
{
    for (const auto &[id, job] : input.state->jobs()) {
        if (job.isOver())
            continue;
        for (const unit_id &unit : job.activeUnits) {
            const run_state &run = *input.state->findUnit(unit)->active;
            if (run.stopping)
                continue;
            bool broken = false;
            bool done = false;
            bool doomed = false;
            for (const member_state &member : run.members) {
                if (member.end) {
                    done = done || *member.end == run_end::Done;
                    broken = true;
                    continue;
                }
                const auto agent = input.state->agents().find(member.member.agent);
                if (agent == input.state->agents().end() || !agent->second.worker.draining)
                    continue;
                // Work that cannot end before its worker leaves is moved while little is lost.
                const unix_ms endsMs = run.orderedMs
                    + times.expectedMs(job.job.queue, job.job.steps[unit.step].estimateMs);
                const unix_ms leavesMs = agent->second.worker.leavesAtMs;
                doomed = doomed || (leavesMs != 0 && endsMs > leavesMs);
            }
            if (doomed)
                stop(unit, "its worker leaves before it can end");
            else if (broken && !done)
                stop(unit, "a member of its gang has ended");
        }
    }
}

void plan_maker::addUnits(const job_state &job, std::vector<waiting_unit> *units) const
{
    const queue_policy *queue = input.config->findQueue(job.job.queue);
    if (queue == nullptr)
        return;
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        const occurrence_state &occurrence = job.occurrences[k];
        const unix_ms dueMs = job.job.dueMs(k);
        if (occurrence.left == 0 || dueMs > input.nowMs)
            continue;
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            const batch_step &step = job.job.steps[s];
            const bool ready = std::all_of(
                step.dependsOn.begin(), step.dependsOn.end(),
                [&](std::uint32_t earlier) { return occurrence.steps[earlier].left == 0; });
            if (occurrence.steps[s].left == 0 || !ready)
                continue;
            const double work = static_cast<double>(chainMs(job.job, 0, times));
            const std::int64_t rest = chainMs(job.job, s, times);
            const auto objective
                = static_cast<std::int64_t>(queue->stretch * work) + queue->latencyGoalMs;
            waiting_unit unit;
            unit.job = &job;
            unit.step = &step;
            unit.queue = queue;
            unit.members = step.gang ? step.count : 1;
            unit.expectedMs = times.expectedMs(queue->name, step.estimateMs);
            unit.guaranteed = queue->priority == 0 && isGuaranteed(unit);
            unit.latestStartMs = dueMs + objective - rest;
            if (unit.latestStartMs < input.nowMs) {
                unit.lateness = 1;
                unit.latestStartMs = dueMs + 3 * objective - rest; // late up to three times
                if (unit.latestStartMs < input.nowMs)
                    unit.lateness = 2;
            }
            for (std::uint32_t i = 0; i < occurrence.steps[s].units.size(); ++i) {
                const unit_state &state = occurrence.steps[s].units[i];
                if (state.done || state.active)
                    continue;
                unit.id = {job.job.id, k, s, i};
                unit.state = &state;
                units->push_back(unit);
            }
        }
    }
}

std::vector<waiting_unit> plan_maker::waitingUnits() const
{
    std::vector<waiting_unit> units;
    for (const auto &[id, job] : input.state->jobs()) {
        if (!job.isOver())
            addUnits(job, &units);
    }
    std::stable_sort(units.begin(), units.end(), [](const waiting_unit &a, const waiting_unit &b) {
        // Urgent work that is late and not guaranteed is worth less than other work in time.
        const auto first = [](const waiting_unit &unit) {
            return unit.queue->priority == 0 && (unit.lateness == 0 || unit.guaranteed);
        };
        if (first(a) != first(b))
            return first(a);
        if (a.lateness != b.lateness)
            return a.lateness < b.lateness;
        return a.latestStartMs < b.latestStartMs;
    });
    return units;
}

} // namespace hyssoppond::batch
