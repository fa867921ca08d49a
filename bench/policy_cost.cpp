/// @file Cost of a placement decision from 11 to 21,000 workers, in counted steps and in time.
#include "figure_base.h"

#include "hyssoppond/policy/scheduler_base.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace hyssoppond::bench {
namespace {

constexpr std::array<std::size_t, 5> WorkerCounts {11, 100, 1'000, 10'000, 21'000};
constexpr std::size_t MeasuredEvents = 4'000;
const absl::Time Start = absl::FromUnixSeconds(1'000'000);

/// Fleet of the design size, scaled down to a number of workers: 49,000 accelerators on 21,000
/// workers, racks of 30, 15 zones, one team per 28 workers and at least 4.
class scaled_site
{
public:
    explicit scaled_site(std::size_t workers)
        : m_random(workers)
        , m_teams(std::max<std::size_t>(4, workers / 28))
    {
        for (std::size_t i = 0; i < workers; ++i)
            addWorker(i);
        for (std::size_t i = 0; i < m_teams; ++i) {
            const team_id name(absl::StrCat("t", i));
            m_policy.setTeam({name, 1.0, 100'000, 200});
            // Guarantees of about a third of the fleet.
            const shape guaranteed
                = i % 4 == 0 ? shape {4, 4, adjacency::Rack} : shape {1, 4, adjacency::Worker};
            m_policy.setContract({contract_id(absl::StrCat("g", i)), name, guaranteed,
                                  i % 4 == 0 ? 1U : 2U, zone_id()});
        }
    }

    /// Fills the fleet, then measures decisions while gangs end and jobs arrive.
    void run()
    {
        while (m_policy.queueLength() < 20 + m_teams) {
            submit();
            decide(false);
        }
        for (std::size_t i = 0; i < MeasuredEvents; ++i) {
            m_now += absl::Seconds(1);
            if (i % 2 == 0)
                completeRandomJob();
            else
                submit();
            decide(true);
        }
    }

    std::vector<double> steps;
    std::vector<double> microseconds;
    std::size_t placements = 0;

private:
    void addWorker(std::size_t index)
    {
        // 0.8 with 1, 0.1 with 4 and 0.1 with 11 accelerators: 2.3 on average.
        const std::size_t kind = index % 10;
        const std::uint32_t accelerators = kind < 8 ? 1 : kind == 8 ? 4 : 11;
        m_policy.addWorker({worker_id(absl::StrCat("w", index)),
                            process_id(absl::StrCat("p", index)),
                            rack_id(absl::StrCat("r", index / 30)),
                            zone_id(absl::StrCat("z", index / 30 % 15)), accelerators, 64, 0});
    }

    void submit()
    {
        static constexpr std::array<shape, 6> Shapes {{{1, 1, adjacency::Worker},
                                                       {1, 2, adjacency::Worker},
                                                       {1, 4, adjacency::Worker},
                                                       {1, 8, adjacency::Worker},
                                                       {4, 1, adjacency::Rack},
                                                       {8, 1, adjacency::Zone}}};
        job_spec spec;
        spec.request = request_id(absl::StrCat("q", m_nextRequest++));
        spec.team = team_id(absl::StrCat("t", m_random() % m_teams));
        spec.id = jobIdFor(spec.team, spec.request);
        spec.caller = caller_id(absl::StrCat("c", m_random() % 4));
        spec.wanted = Shapes[m_random() % Shapes.size()];
        spec.level = m_random() % 20 == 0 ? urgency::Urgent : urgency::Normal;
        spec.submittedAt = m_now;
        m_policy.submit(spec);
    }

    void completeRandomJob()
    {
        if (m_running.empty())
            return;
        const std::size_t position = m_random() % m_running.size();
        endJob(position, attempt_outcome::Completed);
    }

    void endJob(std::size_t position, attempt_outcome outcome)
    {
        const auto [id, attempt] = m_running[position];
        m_running[position] = m_running.back();
        m_running.pop_back();
        m_policy.attemptEnded(id, attempt, outcome, m_now, 600);
        if (outcome == attempt_outcome::Completed)
            m_policy.forget(id);
    }

    void decide(bool measured)
    {
        const std::uint64_t stepsBefore = m_policy.steps();
        const absl::Time before = absl::Now();
        const std::vector<decision> proposals = m_policy.decide(m_now);
        if (measured) {
            microseconds.push_back(absl::ToDoubleMicroseconds(absl::Now() - before));
            steps.push_back(static_cast<double>(m_policy.steps() - stepsBefore));
            placements += proposals.size();
        }
        for (const decision &proposal : proposals)
            accept(proposal);
    }

    void accept(const decision &proposal)
    {
        if (const auto *place = std::get_if<place_decision>(&proposal)) {
            m_policy.placementAccepted(place->job, place->attempt, place->members, place->contract);
            m_policy.gangStarted(place->job, place->attempt, m_now);
            m_running.emplace_back(place->job, place->attempt);
            return;
        }
        const auto &preempt = std::get<preempt_decision>(proposal);
        m_policy.preemptionAccepted(preempt);
        const auto found = std::find(m_running.begin(), m_running.end(),
                                     std::pair(preempt.job, preempt.attempt));
        if (found != m_running.end())
            endJob(static_cast<std::size_t>(found - m_running.begin()), attempt_outcome::Preempted);
    }

    std::mt19937_64 m_random;
    std::size_t m_teams;
    scheduler m_policy;
    absl::Time m_now = Start;
    std::vector<std::pair<job_id, attempt_number>> m_running;
    std::uint64_t m_nextRequest = 0;
};

double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

std::vector<figure> decisionCost()
{
    std::vector<figure> out;
    double firstSteps = 0;
    double lastSteps = 0;
    for (const std::size_t workers : WorkerCounts) {
        scaled_site site(workers);
        site.run();
        const std::string name = absl::StrCat(workers, "-workers");
        const auto add = [&](const char *measure, double value) {
            out.push_back({measure, name, "scheduler", "1", value});
        };
        lastSteps = quantile(site.steps, 0.99);
        firstSteps = firstSteps == 0 ? lastSteps : firstSteps;
        add("decision_steps_p50", quantile(site.steps, 0.5));
        add("decision_steps_p99", lastSteps);
        add("decision_microseconds_p50", quantile(site.microseconds, 0.5));
        add("decision_microseconds_p99", quantile(site.microseconds, 0.99));
        add("proposals_per_decision", static_cast<double>(site.placements) / MeasuredEvents);
    }
    // Target: the steps grow no faster than the logarithm of the number of workers.
    const double logGrowth = std::log2(static_cast<double>(WorkerCounts.back()))
        / std::log2(static_cast<double>(WorkerCounts.front()));
    out.push_back({"decision_steps_p99_growth_over_log_growth", "design-size", "scheduler", "1",
                   lastSteps / firstSteps / logGrowth, bound_kind::AtMost, 1.0});
    return out;
}

const part_registration DecisionCost("policy_cost", decisionCost);

} // namespace
} // namespace hyssoppond::bench
