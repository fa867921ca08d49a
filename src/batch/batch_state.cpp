/// @file Implementation of applying the batch journal.
#include "hyssoppond/batch/batch_state_base.h"

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Failures of a unit that lie further apart have separate causes, in ms.
constexpr unix_ms FailureMemoryMs = 60'000;

void noteFailure(unit_state *unit, const run_member &member, std::int64_t runTimeMs)
{
    const failed_run failure {member.workerStartMs, unit->active->orderedMs + runTimeMs};
    std::erase_if(unit->failedOn, [&](const auto &entry) {
        return failure.failedMs - entry.second.failedMs > FailureMemoryMs;
    });
    unit->failedOn[member.agent] = failure;
}

} // namespace

std::uint32_t unitCount(const batch_step &step)
{
    return step.gang ? 1 : step.count;
}

job_status job_state::status() const
{
    if (cancelled)
        return job_status::Cancelled;
    if (failed)
        return job_status::Failed;
    if (occurrencesLeft == 0)
        return job_status::Completed;
    return begun ? job_status::Running : job_status::Queued;
}

void batch_state::clear()
{
    m_jobs.clear();
    m_policies.clear();
    m_earlyCancellations.clear();
    m_agents.clear();
    m_evicted.clear();
    m_ending.clear();
    m_evacuations.clear();
    m_runsOn.clear();
    m_grant = {};
    m_processes.clear();
}

void batch_state::apply(const batch_record &record, std::uint64_t offset)
{
    m_offset = offset;
    std::visit([this](const auto &content) { applyRecord(content); }, record);
}

const job_state *batch_state::find(const job_id &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

unit_state *batch_state::mutableUnit(const unit_id &unit)
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
    return const_cast<batch_state *>(this)->mutableUnit(unit);
}

std::vector<unit_id> batch_state::runsOn(const process_id &agent) const
{
    const auto found = m_runsOn.find(agent);
    if (found == m_runsOn.end())
        return {};
    return {found->second.begin(), found->second.end()};
}

std::size_t batch_state::pendingJobs(const std::string &queue) const
{
    return static_cast<std::size_t>(
        std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto &entry) {
            const job_state &job = entry.second;
            return job.job.queue == queue && job.job.repeats == 0 && !job.begun && !job.isOver();
        }));
}

std::shared_ptr<const queue_policy> batch_state::sharedPolicy(const queue_policy &policy)
{
    std::shared_ptr<const queue_policy> &newest = m_policies[policy.name];
    if (!newest || *newest != policy)
        newest = std::make_shared<const queue_policy>(policy);
    return newest;
}

void batch_state::applyRecord(const job_submitted &record)
{
    if (m_jobs.contains(record.job.id))
        return; // the same submission was recorded again
    job_state &state = m_jobs[record.job.id];
    state.job = record.job;
    if (record.policy)
        state.acceptedPolicy = sharedPolicy(*record.policy);
    state.occurrencesLeft = record.job.occurrences();
    for (std::uint32_t k = 0; k < record.job.occurrences(); ++k) {
        occurrence_state occurrence;
        for (const batch_step &step : record.job.steps) {
            step_state stepState;
            stepState.unitsLeft = unitCount(step);
            stepState.units.resize(stepState.unitsLeft);
            occurrence.steps.push_back(std::move(stepState));
        }
        occurrence.stepsLeft = static_cast<std::uint32_t>(occurrence.steps.size());
        state.occurrences.push_back(std::move(occurrence));
    }
    if (isCancelledEarly(state.job.id, state.job.team)) {
        cancel(&state);
        state.needsCancellation = true;
    }
}

bool batch_state::isCancelledEarly(const job_id &id, const team_id &team) const
{
    // Every caller may cancel a job of no team.
    return std::any_of(
        m_earlyCancellations.begin(), m_earlyCancellations.end(), [&](const auto &entry) {
            return (team.str().empty() || entry.first == team) && entry.second.contains(id);
        });
}

void batch_state::applyDrop(const std::string &key)
{
    const std::optional<job_id> job = jobOfEarlyCancellation(key);
    if (!job)
        return;
    for (auto &[team, jobs] : m_earlyCancellations) {
        if (keyOf(job_cancelled {*job, early_cancellation {team, 0}}) == key)
            jobs.erase(*job);
    }
}

void batch_state::cancel(job_state *job)
{
    // Also if the job is over: several entries may record a cancellation, and the store keeps the
    // last one, which may be later than the end of the job.
    if (!job->isOver())
        ++m_jobsOver;
    job->cancelled = true;
}

void batch_state::applyRecord(const job_cancelled &record)
{
    const auto found = m_jobs.find(record.job);
    if (record.early) {
        m_earlyCancellations[record.early->team][record.job] = record.early->cancelledMs;
        if (found == m_jobs.end() || found->second.cancelled
            || !isCancelledEarly(record.job, found->second.job.team))
            return;
        found->second.needsCancellation = true;
    } else if (found != m_jobs.end()) {
        found->second.needsCancellation = false;
    }
    if (found != m_jobs.end())
        cancel(&found->second);
}

void batch_state::applyRecord(const job_failed &record)
{
    const auto found = m_jobs.find(record.job);
    if (found == m_jobs.end() || found->second.isOver())
        return;
    found->second.failed = true;
    ++m_jobsOver;
}

void batch_state::applyRecord(const run_ordered &record)
{
    unit_state *unit = mutableUnit(record.unit);
    if (unit == nullptr || unit->done || record.run <= unit->lastRun)
        return;
    // The decider orders a unit again only when its earlier run is over. After a reload the
    // announcement that ended that run can be missing, because a later one of the same agent
    // replaced it in the store. The members that are still open are therefore lost.
    for (std::size_t i = 0; unit->active && i < unit->active->members.size(); ++i) {
        if (!unit->active->members[i].end)
            endMember(record.unit, unit, &unit->active->members[i], run_end::Lost, "",
                      end_evidence::LaterOrder);
    }
    unit->lastRun = record.run;
    unit->lastOrderedMs = record.orderedMs;
    run_state run;
    run.run = record.run;
    run.orderedMs = record.orderedMs;
    run.orderOffset = m_offset;
    for (const run_member &member : record.members) {
        run.members.push_back({member, std::nullopt});
        m_runsOn[member.agent].insert(record.unit);
    }
    unit->active = std::move(run);
    job_state &job = m_jobs.at(record.unit.job);
    ++job.activeRuns;
    job.activeUnits.insert(record.unit);
    // A member ordered for an earlier incarnation of its worker is lost at once.
    for (std::size_t i = 0; unit->active && i < unit->active->members.size(); ++i) {
        const run_member &member = record.members[i];
        const auto agent = m_agents.find(member.agent);
        if (agent != m_agents.end()
            && (!agent->second.hasWorker
                || agent->second.worker.workerStartMs != member.workerStartMs))
            endMember(record.unit, unit, &unit->active->members[i], run_end::Lost, "",
                      end_evidence::WorkerIncarnation);
    }
}

void batch_state::applyRecord(const run_stopping &record)
{
    unit_state *unit = mutableUnit(record.unit);
    if (unit != nullptr && unit->active && unit->active->run == record.run)
        unit->active->stopping = true;
}

void batch_state::applyRecord(const run_ended &record)
{
    unit_state *unit = mutableUnit(record.unit);
    if (unit == nullptr || !unit->active || unit->active->run != record.run)
        return;
    for (member_state &member : unit->active->members) {
        if (member.member.index == record.member && !member.end) {
            endMember(record.unit, unit, &member, record.how, record.checkpoint,
                      record.byDecider ? end_evidence::DeciderRecord : end_evidence::AgentRecord,
                      record.runTimeMs);
            return;
        }
    }
}

void batch_state::applyRecord(const process_started &record)
{
    m_processes[record.process] = record;
    m_ending.erase(record.process);
}

void batch_state::applyRecord(const process_ending &record)
{
    const auto newest = m_processes.find(record.process);
    if (newest != m_processes.end() && newest->second.incarnation == record.incarnation)
        m_ending.insert(record.process);
}

void batch_state::applyRecord(const zone_evacuated &record)
{
    m_evacuations[record.zone] = record;
}

void batch_state::applyRecord(const job_begun &record)
{
    if (const auto found = m_jobs.find(record.job); found != m_jobs.end())
        found->second.begun = true;
}

void batch_state::applyRecord(const agent_announced &record)
{
    m_agents[record.agent] = record;
    for (const unit_id &id : runsOn(record.agent)) {
        unit_state *unit = mutableUnit(id);
        for (std::size_t i = 0; unit->active && i < unit->active->members.size(); ++i) {
            member_state &member = unit->active->members[i];
            const bool isValid = record.hasWorker
                && member.member.workerStartMs == record.worker.workerStartMs
                && unit->active->orderOffset >= record.firstValidOrder(m_offset);
            if (member.member.agent == record.agent && !member.end && !isValid)
                endMember(id, unit, &member, run_end::Lost, "", end_evidence::WorkerIncarnation);
        }
    }
}

void batch_state::applyRecord(const agent_evicted &record)
{
    if (record.evicted)
        m_evicted.insert(record.agent);
    else
        m_evicted.erase(record.agent);
}

void batch_state::applyRecord(const decider_granted &record)
{
    if (record.epoch > m_grant.epoch)
        m_grant = record;
}

void batch_state::endMember(const unit_id &unit, unit_state *state, member_state *member,
                            run_end how, const std::string &checkpoint, end_evidence evidence,
                            std::int64_t runTimeMs)
{
    member->end = how;
    if (!checkpoint.empty())
        state->checkpoint = checkpoint;
    if (hadStarted(how))
        m_jobs.at(unit.job).begun = true;
    if (how == run_end::Failed)
        noteFailure(state, member->member, runTimeMs);
    if (onMemberEnded)
        onMemberEnded(
            {unit, state->active->run, member->member, how, runTimeMs, evidence, m_offset});
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
        if (--occurrence.steps[unit.step].unitsLeft == 0 && --occurrence.stepsLeft == 0
            && --job.occurrencesLeft == 0)
            ++m_jobsOver;
    } else if (ended(run_end::Failed)) {
        ++state->failures;
    }
}

} // namespace hyssoppond::batch
