/// @file Implementation of the reduction of the batch journal.
#include "hyssoppond/batch/batch_state_base.h"

#include <algorithm>

namespace hyssoppond::batch {

std::uint32_t unitsOf(const batch_step &step)
{
    return step.gang ? 1 : step.count;
}

job_status job_state::status() const
{
    if (cancelled)
        return job_status::Cancelled;
    if (failed)
        return job_status::Failed;
    if (left == 0)
        return job_status::Completed;
    return started ? job_status::Running : job_status::Queued;
}

void batch_state::clear()
{
    m_jobs.clear();
    m_agents.clear();
    m_evicted.clear();
    m_runsOn.clear();
    m_grant = {};
    m_processes.clear();
}

void batch_state::apply(const batch_record &record, std::uint64_t /*offset*/)
{
    std::visit([this](const auto &content) { on(content); }, record);
}

const job_state *batch_state::find(const job_id &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

unit_state *batch_state::unitOf(const unit_id &unit)
{
    const auto found = m_jobs.find(unit.job);
    if (found == m_jobs.end())
        return nullptr;
    job_state &job = found->second;
    if (unit.occurrence >= job.occurrences.size())
        return nullptr;
    occurrence_state &occurrence = job.occurrences[unit.occurrence];
    if (unit.step >= occurrence.steps.size())
        return nullptr;
    step_state &step = occurrence.steps[unit.step];
    return unit.index < step.units.size() ? &step.units[unit.index] : nullptr;
}

const unit_state *batch_state::findUnit(const unit_id &unit) const
{
    return const_cast<batch_state *>(this)->unitOf(unit);
}

std::vector<unit_id> batch_state::runsOn(const process_id &agent) const
{
    const auto found = m_runsOn.find(agent);
    if (found == m_runsOn.end())
        return {};
    return {found->second.begin(), found->second.end()};
}

std::size_t batch_state::pending(const std::string &queue) const
{
    return static_cast<std::size_t>(
        std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto &entry) {
            const job_state &job = entry.second;
            return job.job.queue == queue && job.job.repeats == 0 && !job.started && !job.isOver();
        }));
}

void batch_state::on(const job_submitted &r)
{
    if (m_jobs.contains(r.job.id))
        return; // a repetition
    job_state &state = m_jobs[r.job.id];
    state.job = r.job;
    state.left = r.job.occurrences();
    for (std::uint32_t k = 0; k < r.job.occurrences(); ++k) {
        occurrence_state occurrence;
        for (const batch_step &step : r.job.steps) {
            step_state one;
            one.left = unitsOf(step);
            one.units.resize(one.left);
            occurrence.steps.push_back(std::move(one));
        }
        occurrence.left = static_cast<std::uint32_t>(occurrence.steps.size());
        state.occurrences.push_back(std::move(occurrence));
    }
}

void batch_state::on(const job_cancelled &r)
{
    const auto found = m_jobs.find(r.job);
    if (found == m_jobs.end() || found->second.isOver())
        return;
    found->second.cancelled = true;
    ++m_jobsOver;
}

void batch_state::on(const job_failed &r)
{
    const auto found = m_jobs.find(r.job);
    if (found == m_jobs.end() || found->second.isOver())
        return;
    found->second.failed = true;
    ++m_jobsOver;
}

void batch_state::on(const run_ordered &r)
{
    unit_state *unit = unitOf(r.unit);
    if (unit == nullptr || unit->done || r.run <= unit->lastRun)
        return;
    // A unit is ordered again only when its run is over. After a reload the announcement that
    // ended that run may be replaced by a later one of the same agent.
    for (std::size_t i = 0; unit->active && i < unit->active->members.size(); ++i) {
        if (!unit->active->members[i].end)
            endMember(r.unit, unit, &unit->active->members[i], run_end::Lost, "");
    }
    unit->lastRun = r.run;
    unit->lastOrderedMs = r.orderedMs;
    run_state run;
    run.run = r.run;
    run.orderedMs = r.orderedMs;
    for (const run_member &member : r.members) {
        run.members.push_back({member, std::nullopt});
        m_runsOn[member.agent].insert(r.unit);
    }
    unit->active = std::move(run);
    job_state &job = m_jobs.at(r.unit.job);
    job.started = true;
    ++job.activeRuns;
    job.activeUnits.insert(r.unit);
    // An order for a life of a worker that is over is void.
    for (std::size_t i = 0; unit->active && i < unit->active->members.size(); ++i) {
        const run_member &member = r.members[i];
        const auto agent = m_agents.find(member.agent);
        if (agent != m_agents.end()
            && (!agent->second.hasWorker
                || agent->second.worker.workerStartMs != member.workerStartMs))
            endMember(r.unit, unit, &unit->active->members[i], run_end::Lost, "");
    }
}

void batch_state::on(const run_stopping &r)
{
    unit_state *unit = unitOf(r.unit);
    if (unit != nullptr && unit->active && unit->active->run == r.run)
        unit->active->stopping = true;
}

void batch_state::on(const run_ended &r)
{
    unit_state *unit = unitOf(r.unit);
    if (unit == nullptr || !unit->active || unit->active->run != r.run)
        return;
    for (member_state &member : unit->active->members) {
        if (member.member.index == r.member && !member.end) {
            endMember(r.unit, unit, &member, r.how, r.checkpoint, r.ranMs);
            return;
        }
    }
}

void batch_state::on(const process_started &r)
{
    m_processes[r.process] = r;
}

void batch_state::on(const agent_announced &r)
{
    m_agents[r.agent] = r;
    for (const unit_id &id : runsOn(r.agent)) {
        unit_state *unit = unitOf(id);
        for (std::size_t i = 0; unit->active && i < unit->active->members.size(); ++i) {
            member_state &member = unit->active->members[i];
            const bool sameLife
                = r.hasWorker && member.member.workerStartMs == r.worker.workerStartMs;
            if (member.member.agent == r.agent && !member.end && !sameLife)
                endMember(id, unit, &member, run_end::Lost, "");
        }
    }
}

void batch_state::on(const agent_evicted &r)
{
    if (r.evicted)
        m_evicted.insert(r.agent);
    else
        m_evicted.erase(r.agent);
}

void batch_state::on(const decider_granted &r)
{
    if (r.epoch > m_grant.epoch)
        m_grant = r;
}

void batch_state::endMember(const unit_id &unit, unit_state *state, member_state *member,
                            run_end how, const std::string &checkpoint, std::int64_t ranMs)
{
    member->end = how;
    if (!checkpoint.empty())
        state->checkpoint = checkpoint;
    if (how == run_end::Failed)
        state->failedOn.insert(member->member.agent);
    if (onMemberEnded)
        onMemberEnded({unit, state->active->run, member->member, how, ranMs});
    const auto &members = state->active->members;
    const bool running = std::any_of(members.begin(), members.end(),
                                     [](const member_state &one) { return !one.end; });
    if (!running)
        closeRun(unit, state);
}

void batch_state::closeRun(const unit_id &unit, unit_state *state)
{
    const run_state run = std::move(*state->active);
    state->active.reset();
    for (const member_state &member : run.members)
        m_runsOn[member.member.agent].erase(unit);
    job_state &job = m_jobs.at(unit.job);
    --job.activeRuns;
    job.activeUnits.erase(unit);
    const auto ended = [&](run_end how) {
        return std::any_of(run.members.begin(), run.members.end(),
                           [how](const member_state &member) { return member.end == how; });
    };
    const batch_step &step = job.job.steps[unit.step];
    if (ended(run_end::Done) && !step.longRunning) {
        state->done = true;
        occurrence_state &occurrence = job.occurrences[unit.occurrence];
        if (--occurrence.steps[unit.step].left == 0 && --occurrence.left == 0 && --job.left == 0)
            ++m_jobsOver;
    } else if (ended(run_end::Failed)) {
        ++state->failures;
    }
}

} // namespace hyssoppond::batch
