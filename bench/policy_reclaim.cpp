/// @file Reclaim of all guarantees at the same time while borrowed work fills the site.
#include "figure_base.h"
#include "policy_simulation.h"

#include "hyssoppond/policy/scheduler_base.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <random>

namespace hyssoppond::bench {
namespace {

/// Limit of a reclaim in seconds: checkpoint deadline of 5 s plus 2 s (docs/design.md, section 9).
constexpr double ReclaimSeconds = 7.0;

mix_job jobOf(const std::string &name, const team_id &team, const shape &wanted, urgency level,
              absl::Time submittedAt, double runSeconds)
{
    mix_job job;
    job.spec.request = request_id(name);
    job.spec.team = team;
    job.spec.id = jobIdFor(team, job.spec.request);
    job.spec.caller = caller_id(team.str());
    job.spec.wanted = wanted;
    job.spec.level = level;
    job.spec.submittedAt = submittedAt;
    job.runSeconds = runSeconds;
    return job;
}

/// Queues borrowed work of team d for twice the 88 accelerators of the fleet; ten minutes later all
/// gangs of all contracts are submitted.
site_mix fullSite(const std::string &site, std::uint64_t seed)
{
    static constexpr std::array<shape, 4> Borrowed {{{1, 1, adjacency::Worker},
                                                     {1, 2, adjacency::Worker},
                                                     {1, 4, adjacency::Worker},
                                                     {2, 4, adjacency::Rack}}};
    std::mt19937_64 random(seed);
    site_mix mix = siteOf(site);
    std::uint64_t accelerators = 0;
    for (int i = 0; accelerators < 176; ++i) {
        const shape &wanted = Borrowed[random() % Borrowed.size()];
        accelerators += wanted.accelerators();
        mix.jobs.push_back(jobOf(absl::StrCat("borrowed-", i), team_id("d"), wanted,
                                 urgency::Normal, mixStart(), 6 * 3600));
    }
    for (const contract &guarantee : mix.contracts) {
        for (std::uint32_t i = 0; i < guarantee.count; ++i)
            mix.jobs.push_back(jobOf(absl::StrCat("urgent-", i), guarantee.team,
                                     guarantee.guaranteed, urgency::Urgent,
                                     mixStart() + absl::Minutes(10), 3600));
    }
    return mix;
}

std::vector<figure> reclaimEverything()
{
    std::vector<figure> out;
    for (const char *site : {"burrowline", "kivu"}) {
        double worstStartSeconds = 0;
        std::size_t expected = 0;
        std::size_t inTime = 0;
        for (std::uint64_t seed = 101; seed <= 110; ++seed) {
            const site_mix mix = fullSite(site, seed);
            scheduler policy;
            const run_figures figures = simulation(mix, policy).run();
            for (const contract &guarantee : mix.contracts)
                expected += guarantee.count;
            for (const double start : figures.contractStartSeconds) {
                worstStartSeconds = std::max(worstStartSeconds, start);
                inTime += start - StartSeconds <= ReclaimSeconds + 1e-6 ? 1 : 0;
            }
        }
        out.push_back({"full_site_urgent_start_seconds_max", site, "scheduler", "final:101-110",
                       worstStartSeconds, bound_kind::AtMost, 7.5});
        out.push_back({"guaranteed_shapes_not_reclaimed_in_time", site, "scheduler",
                       "final:101-110", static_cast<double>(expected - inTime), bound_kind::AtMost,
                       0});
    }
    return out;
}

const part_registration ReclaimEverything("policy_reclaim", reclaimEverything);

} // namespace
} // namespace hyssoppond::bench
