/// @file Drives a scheduler or a baseline in virtual time with a plain list of running jobs.
#pragma once

#include "policy_workload.h"

#include "hyssoppond/policy/decision_type.h"

#include <absl/container/flat_hash_map.h>

#include <bit>
#include <map>
#include <queue>
#include <stdexcept>
#include <string>
#include <vector>

namespace hyssoppond::bench {

/// Latencies in seconds that replace the gang protocol and the platform.
constexpr double StartSeconds = 0.3;  ///< reservation and start of a gang
constexpr double StopSeconds = 2.0;   ///< from the checkpoint deadline until all are fenced
constexpr double RestoreSeconds = 30; ///< run time added to a gang that restarts

/// Measurements of one run.
struct run_figures
{
    std::vector<double> completionSeconds;
    /// Time to start of urgent jobs whose team had an unused guarantee when they were submitted.
    std::vector<double> contractStartSeconds;
    double adjacencyWait = 0; ///< accelerator seconds that gangs wait for adjacency alone
    std::size_t preemptions = 0;
    std::map<std::string, double> workByTeam;
};

/// Free accelerators, tracked independently of the index of the policy under test.
class free_map
{
public:
    explicit free_map(const std::vector<worker> &workers);
    /// Allocates or releases the accelerators of the members; throws if one is placed twice.
    void update(const std::vector<gang_member> &members, bool allocate);
    /// True if enough accelerators are free but not adjacent.
    bool onlyAdjacencyMissing(const shape &wanted) const;

private:
    std::map<worker_id, std::size_t> m_workerIndexes;
    std::vector<accelerator_mask> m_free;
    std::vector<std::vector<std::size_t>> m_racks;
    std::vector<std::vector<std::size_t>> m_zones;
};

/// Runs the jobs of a mix to their end.
template<class policy_type>
class simulation
{
public:
    simulation(const site_mix &mix, policy_type &policy)
        : m_mix(mix)
        , m_policy(policy)
        , m_free(mix.workers)
    {
        for (const worker &machine : mix.workers)
            check(policy.addWorker(machine));
        for (const team &value : mix.teams)
            check(policy.setTeam(value));
        for (const contract &value : mix.contracts)
            check(policy.setContract(value));
    }

    run_figures run()
    {
        for (std::size_t i = 0; i < m_mix.jobs.size(); ++i) {
            m_jobs[m_mix.jobs[i].spec.id]
                = {i, 0, 1, absl::InfinitePast(), m_mix.jobs[i].runSeconds, false, {}};
            m_events.push(
                {m_mix.jobs[i].spec.submittedAt, m_nextEventOrder++, i, 0, event_kind::Submit});
        }
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            accrueAdjacencyWait(next.time);
            apply(next);
            if (m_events.empty() || m_events.top().time > m_now)
                applyDecisions();
        }
        if (m_figures.completionSeconds.size() != m_mix.jobs.size())
            throw std::runtime_error("the simulation ended before all jobs completed");
        return std::move(m_figures);
    }

private:
    enum class event_kind { Submit, Finish, Stopped, Wake };
    struct event
    {
        absl::Time time;
        std::uint64_t order = 0;
        std::size_t job = 0;
        attempt_number attempt = 0;
        event_kind kind = event_kind::Submit;

        bool operator<(const event &other) const
        {
            return std::pair(other.time, other.order) < std::pair(time, order);
        }
    };
    struct running_job
    {
        std::size_t index = 0;
        double attained = 0;
        attempt_number attempt = 1;
        absl::Time startedAt;
        double remaining = 0;
        bool stopping = false;
        std::vector<gang_member> members;
        bool covered = false;         ///< urgent and covered by the contract of its team
        bool withinGuarantee = false; ///< a guarantee was unused when the job was submitted
    };

    template<class value>
    static void check(const value &outcome)
    {
        if (!outcome)
            throw std::runtime_error(outcome.error().message);
    }

    /// Counts the urgent jobs of a team that its contract covers. Looks at the contract alone, not
    /// at the policy under test.
    void countCoveredJob(const job_spec &spec, running_job &state)
    {
        for (const contract &guarantee : m_mix.contracts) {
            if (spec.level != urgency::Urgent || guarantee.team != spec.team
                || spec.wanted.members > guarantee.guaranteed.members
                || spec.wanted.acceleratorsPerMember > guarantee.guaranteed.acceleratorsPerMember
                || spec.wanted.within < guarantee.guaranteed.within)
                continue;
            state.covered = true;
            state.withinGuarantee = ++m_coveredJobs[spec.team] <= guarantee.count;
            return;
        }
    }

    void accrueAdjacencyWait(absl::Time until)
    {
        const double seconds = absl::ToDoubleSeconds(until - m_now);
        if (seconds > 0 && m_now > absl::InfinitePast()) {
            for (const auto &[wanted, count] : m_waiting) {
                if (count > 0 && m_free.onlyAdjacencyMissing(wanted))
                    m_figures.adjacencyWait
                        += seconds * count * static_cast<double>(wanted.accelerators());
            }
        }
        m_now = until;
    }

    void apply(const event &next)
    {
        const mix_job &job = m_mix.jobs[next.job];
        running_job &state = m_jobs[job.spec.id];
        if (next.kind == event_kind::Submit) {
            check(m_policy.submit(job.spec));
            ++m_waiting[job.spec.wanted];
            countCoveredJob(job.spec, state);
            return;
        }
        if (next.kind == event_kind::Wake || next.attempt != state.attempt || state.members.empty())
            return;
        const double ranSeconds = std::max(0.0, absl::ToDoubleSeconds(m_now - state.startedAt));
        const bool completed = next.kind == event_kind::Finish;
        m_free.update(state.members, false);
        state.members.clear();
        m_figures.workByTeam[job.spec.team.str()]
            += ranSeconds * static_cast<double>(job.spec.wanted.accelerators());
        check(m_policy.attemptEnded(job.spec.id, state.attempt,
                                    completed ? attempt_outcome::Completed
                                              : attempt_outcome::Preempted,
                                    m_now, ranSeconds));
        ++state.attempt;
        state.stopping = false;
        if (completed) {
            if (state.covered)
                --m_coveredJobs[job.spec.team];
            m_figures.completionSeconds.push_back(
                absl::ToDoubleSeconds(m_now - job.spec.submittedAt));
            return;
        }
        ++m_figures.preemptions;
        state.remaining += RestoreSeconds - ranSeconds;
        ++m_waiting[job.spec.wanted];
    }

    void applyDecisions()
    {
        for (bool placed = true; placed;) {
            placed = false;
            for (const decision &proposal : m_policy.decide(m_now)) {
                if (const auto *place = std::get_if<place_decision>(&proposal)) {
                    accept(*place);
                    placed = true;
                } else {
                    accept(std::get<preempt_decision>(proposal));
                }
            }
        }
    }

    void accept(const place_decision &place)
    {
        running_job &state = m_jobs[place.job];
        const mix_job &job = m_mix.jobs[state.index];
        check(m_policy.placementAccepted(place.job, place.attempt, place.members, place.contract));
        state.startedAt = m_now + absl::Seconds(StartSeconds);
        check(m_policy.gangStarted(place.job, place.attempt, state.startedAt));
        state.members = place.members;
        m_free.update(place.members, true);
        --m_waiting[job.spec.wanted];
        if (state.withinGuarantee && state.attempt == 1)
            m_figures.contractStartSeconds.push_back(
                absl::ToDoubleSeconds(state.startedAt - job.spec.submittedAt));
        m_events.push({state.startedAt + absl::Seconds(state.remaining), m_nextEventOrder++,
                       state.index, state.attempt, event_kind::Finish});
    }

    void accept(const preempt_decision &preempt)
    {
        running_job &state = m_jobs[preempt.job];
        check(m_policy.preemptionAccepted(preempt));
        if (state.stopping)
            return;
        state.stopping = true;
        m_events.push({preempt.checkpointBefore + absl::Seconds(StopSeconds), m_nextEventOrder++,
                       state.index, state.attempt, event_kind::Stopped});
    }

    const site_mix &m_mix;
    policy_type &m_policy;
    free_map m_free;
    absl::Time m_now = absl::InfinitePast();
    std::priority_queue<event> m_events;
    absl::flat_hash_map<job_id, running_job> m_jobs;
    std::map<shape, std::size_t> m_waiting;
    std::map<team_id, std::uint32_t> m_coveredJobs;
    run_figures m_figures;
    std::uint64_t m_nextEventOrder = 0;
};

} // namespace hyssoppond::bench
