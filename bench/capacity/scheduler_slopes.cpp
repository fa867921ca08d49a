/// @file Slopes of the scheduler's memory. The cost of decisions is in the bench part policy_cost.
#include "slope_base.h"
#include "traffic_base.h"

#include "hyssoppond/policy/scheduler_base.h"

#include <algorithm>
#include <stdexcept>

namespace hyssoppond::capacity {
namespace {

using report_hook = std::function<void(const point &)>;

void throwOnError(const result<void> &outcome)
{
    if (!outcome)
        throw std::runtime_error(outcome.error().message);
}

void addWorkers(scheduler &policy, std::size_t workers)
{
    for (std::size_t i = 0; i < workers; ++i) {
        const std::string name = std::to_string(i);
        // 2.3 accelerators on average, as 49,000 accelerators on 21,000 workers.
        const std::uint32_t accelerators = i % 10 < 8 ? 1 : i % 10 == 8 ? 4 : 11;
        throwOnError(policy.addWorker({worker_id("worker-" + name), process_id("agent-" + name),
                                       rack_id("rack-" + std::to_string(i / 30)),
                                       zone_id("zone-" + std::to_string(i / 30 % 15)), accelerators,
                                       64, 0}));
    }
}

/// One team per 28 workers as at the design size, at least 4, with one contract each.
std::size_t addTeams(scheduler &policy, std::size_t workers)
{
    const std::size_t teams = std::max<std::size_t>(4, workers / 28);
    for (std::size_t i = 0; i < teams; ++i) {
        const team_id name("team-" + std::to_string(i));
        throwOnError(policy.setTeam({name, 1.0, 100'000, 200}));
        throwOnError(policy.setContract({contract_id("contract-" + std::to_string(i)),
                                         name,
                                         {1, 4, adjacency::Worker},
                                         2,
                                         zone_id()}));
    }
    return teams;
}

void measureSize(std::size_t workers, const report_hook &report)
{
    const absl::Time now = absl::FromUnixSeconds(1'000'000);
    double lastHeap = heapBytes();
    const auto heapGrowthPer = [&lastHeap](std::size_t count) {
        const double before = lastHeap;
        lastHeap = heapBytes();
        return (lastHeap - before) / static_cast<double>(count);
    };
    scheduler policy;
    addWorkers(policy, workers);
    report({"heap_bytes_per_worker", workers, heapGrowthPer(workers), true});
    const std::size_t teams = addTeams(policy, workers);
    report({"heap_bytes_per_team_with_contract", workers, heapGrowthPer(teams), true});
    const std::size_t jobs = workers;
    for (std::size_t i = 0; i < jobs; ++i) {
        job_spec spec;
        spec.request = request_id("request-" + std::to_string(i));
        spec.team = team_id("team-" + std::to_string(i % teams));
        spec.id = jobIdFor(spec.team, spec.request);
        spec.caller = caller_id("caller-" + std::to_string(i % 4));
        spec.wanted = {i % 3 == 0 ? 4U : 1U, 1, adjacency::Zone};
        spec.submittedAt = now;
        throwOnError(policy.submit(spec));
    }
    report({"heap_bytes_per_queued_job", workers, heapGrowthPer(jobs), true});
}

void measure(std::size_t /*maxSize*/, const report_hook &report)
{
    for (const std::size_t workers : {1'000, 10'000, 21'000})
        measureSize(workers, report);
}

const part_registration Registration({"scheduler", measure});

} // namespace
} // namespace hyssoppond::capacity
