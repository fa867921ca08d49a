/// @file The batch scheduler on a simulated site, whose runs end when the test ends them.
#pragma once

#include "hyssoppond/batch/batch_scheduler_base.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <string>
#include <vector>

namespace hyssoppond::batch {

/// A site with workers of 8 accelerators, three in a rack, the teams "a" with a guarantee and "b"
/// without one, and the queues "urgent", "normal" and "low".
class plan_site
{
public:
    static constexpr std::int64_t Guarantee = 16; ///< accelerators of team "a"

    explicit plan_site(std::size_t workers, scheduler_options options = {})
        : m_scheduler(options)
    {
        m_config.version = 1;
        m_config.queues = {queueOf("urgent", 0, 1.5, 300), queueOf("normal", 1, 3.0, 1'000),
                           queueOf("low", 2, 3.0, 3'000)};
        m_config.services.push_back({"service", true});
        m_config.teams.push_back({team_id("a"), {"key-a"}, Guarantee});
        m_config.teams.push_back({team_id("b"), {"key-b"}, 0});
        for (std::size_t i = 0; i < workers; ++i)
            announce(i);
        m_state.onMemberEnded = [this](const ended_member &ended) {
            m_scheduler.learn(ended, m_state);
            if (!m_isReloading)
                m_scheduler.observe(ended, m_state, absl::FromUnixMillis(m_nowMs));
        };
    }

    static process_id agentOf(std::size_t number)
    {
        return process_id(absl::StrFormat("agent-%02d", number));
    }

    static batch_step stepOf(std::uint32_t count, std::int64_t accelerators, bool gang = false,
                             std::uint32_t estimateMs = 2'000)
    {
        batch_step step;
        step.count = count;
        step.item = {1'000, 1'000, accelerators};
        step.estimateMs = estimateMs;
        step.gang = gang;
        return step;
    }

    void submit(const std::string &id, const std::string &queue, const std::string &team,
                const batch_step &step)
    {
        batch_job job;
        job.id = job_id(id);
        job.queue = queue;
        job.team = team_id(team);
        job.steps.push_back(step);
        job.submittedMs = m_nowMs;
        apply(job_submitted {job});
    }

    /// Records an order to run the whole first step on `workers`, as if by an earlier plan.
    void run(const std::string &id, const std::vector<std::size_t> &workers, bool gang = false)
    {
        const auto member = [](std::uint32_t index, std::size_t worker) {
            return run_member {index, agentOf(worker), WorkerStartMs};
        };
        run_ordered ordered;
        ordered.run = 1;
        ordered.gang = gang;
        ordered.orderedMs = m_nowMs;
        for (std::uint32_t i = 0; i < workers.size(); ++i) {
            ordered.unit = {job_id(id), 0, 0, gang ? 0 : i};
            ordered.members.push_back(member(i, workers[i]));
            if (gang && i + 1 < workers.size())
                continue;
            apply(ordered);
            ordered.members.clear();
        }
    }

    /// Records the end of the active runs of a job.
    void end(const std::string &id, run_end how = run_end::Done, std::int64_t runTimeMs = 0)
    {
        const auto units = m_state.find(job_id(id))->activeUnits;
        for (const unit_id &unit : units)
            endUnit(unit, how, runTimeMs);
    }

    /// Records the end of the active run of a unit.
    void endUnit(const unit_id &unit, run_end how, std::int64_t runTimeMs = 0,
                 const std::string &checkpoint = "")
    {
        const run_state run = *m_state.findUnit(unit)->active;
        for (const member_state &memberState : run.members) {
            run_ended ended;
            ended.unit = unit;
            ended.run = run.run;
            ended.member = memberState.member.index;
            ended.agent = memberState.member.agent;
            ended.how = how;
            ended.runTimeMs = runTimeMs;
            ended.checkpoint = checkpoint;
            apply(ended);
        }
    }

    /// Records the end of a gang's active run: `first` of the member `index`, then `others`.
    void endGang(const std::string &id, std::uint32_t index, run_end first, run_end others)
    {
        const unit_id unit {job_id(id), 0, 0, 0};
        const run_state run = *m_state.findUnit(unit)->active;
        for (const bool isFirst : {true, false}) {
            for (const member_state &one : run.members) {
                if ((one.member.index == index) == isFirst)
                    apply(run_ended {unit, run.run, one.member.index, one.member.agent,
                                     isFirst ? first : others, ""});
            }
        }
    }

    job_status statusOf(const std::string &id) const { return m_state.find(job_id(id))->status(); }

    bool runs(const unit_id &unit) const { return m_state.findUnit(unit)->active.has_value(); }

    /// Advances the clock by `ms`, which may be negative.
    void advance(std::int64_t ms) { m_nowMs += ms; }

    /// Jobs whose runs a plan ordered and stopped, one entry for each run.
    struct outcome
    {
        std::vector<std::string> ordered;
        std::vector<std::string> stopped;
    };
    /// Makes a plan and records its decisions.
    outcome plan()
    {
        plan_input input;
        input.state = &m_state;
        input.config = &m_config;
        input.now = absl::FromUnixMillis(m_nowMs);
        input.nowMs = m_nowMs;
        outcome planned;
        for (const plan_decision &decision : m_scheduler.plan(input)) {
            if (const auto *ordered = std::get_if<run_ordered>(&decision.record))
                planned.ordered.push_back(ordered->unit.job.str());
            if (const auto *stopping = std::get_if<run_stopping>(&decision.record))
                planned.stopped.push_back(stopping->unit.job.str());
            apply(decision.record);
        }
        return planned;
    }

    /// Agents that run the items of the job.
    std::vector<process_id> agentsOf(const std::string &id) const
    {
        std::vector<process_id> agents;
        for (const unit_id &unit : m_state.find(job_id(id))->activeUnits) {
            for (const member_state &memberState : m_state.findUnit(unit)->active->members)
                agents.push_back(memberState.member.agent);
        }
        return agents;
    }

    batch_scheduler &scheduler() { return m_scheduler; }

    /// Applies all records again as a load of the journal does: the announcements of the workers,
    /// whose keys were written again since, come last.
    void reload()
    {
        m_isReloading = true;
        m_scheduler.forgetRunTimes();
        m_state.clear();
        for (const bool announcements : {false, true}) {
            for (const batch_record &record : m_records) {
                if (std::holds_alternative<agent_announced>(record) == announcements)
                    m_state.apply(record, ++m_offset);
            }
        }
        m_scheduler.learnReplayed(m_state);
        m_isReloading = false;
    }

    /// Announces that a worker has other labels.
    void setLabels(std::size_t number, std::vector<std::string> labels)
    {
        agent_announced announced = m_state.agents().at(agentOf(number));
        announced.worker.labels = std::move(labels);
        apply(announced);
    }

    /// Announces another incarnation of a worker.
    void restart(std::size_t number)
    {
        agent_announced announced = m_state.agents().at(agentOf(number));
        ++announced.worker.workerStartMs;
        apply(announced);
    }

    /// Announces that a worker drains, and leaves in `leavesInMs` at the earliest.
    void drain(std::size_t number, std::int64_t leavesInMs)
    {
        agent_announced announced = m_state.agents().at(agentOf(number));
        announced.worker.draining = true;
        announced.worker.earliestLeaveMs = m_nowMs + leavesInMs;
        apply(announced);
    }

private:
    static constexpr unix_ms WorkerStartMs = 1;

    static queue_policy queueOf(const std::string &name, int priority, double stretch,
                                std::int64_t goalMs)
    {
        queue_policy queue;
        queue.name = name;
        queue.service = "service";
        queue.priority = priority;
        queue.maxAttempts = 3;
        queue.stretch = stretch;
        queue.latencyGoalMs = goalMs;
        return queue;
    }

    void announce(std::size_t number)
    {
        worker_description worker;
        worker.worker = absl::StrCat("worker-", number);
        worker.workerStartMs = WorkerStartMs;
        worker.service = "service";
        worker.rack = absl::StrCat("rack-", number / 3);
        worker.labels = {"a", worker.rack};
        worker.capacity = {64'000, 262'144, 8};
        apply(agent_announced {agentOf(number), true, worker});
    }

    void apply(const batch_record &record)
    {
        m_records.push_back(record);
        m_state.apply(record, ++m_offset);
    }

    site_config m_config;
    std::vector<batch_record> m_records;
    batch_state m_state;
    batch_scheduler m_scheduler;
    bool m_isReloading = false;
    unix_ms m_nowMs = 1'000'000;
    std::uint64_t m_offset = 0;
};

} // namespace hyssoppond::batch
