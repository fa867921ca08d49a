/// @file Seeded mixes of jobs for the scheduling figures; see docs/workloads.md.
#include "policy_workload.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace hyssoppond::bench {

namespace {

constexpr std::size_t JobsPerRun = 1500;
constexpr double OfferedLoad = 0.9;
constexpr std::uint32_t CallersPerTeam = 5;

/// A shape and its share of the jobs.
struct shape_share
{
    shape wanted;
    double share = 0;
};

constexpr std::array<shape_share, 8> Shapes {{{{1, 1, adjacency::Worker}, 0.40},
                                              {{1, 2, adjacency::Worker}, 0.20},
                                              {{1, 4, adjacency::Worker}, 0.15},
                                              {{1, 8, adjacency::Worker}, 0.10},
                                              {{4, 1, adjacency::Rack}, 0.05},
                                              {{2, 8, adjacency::Rack}, 0.06},
                                              {{4, 4, adjacency::Zone}, 0.02},
                                              {{3, 8, adjacency::Rack}, 0.02}}};

/// Parameters in which the sites differ.
struct site_profile
{
    double urgentShare = 0;
    double backgroundShare = 0;
    double burstFactor = 1; ///< rate of arrivals in a burst, relative to the rate outside
    double medianSeconds = 0;
};

site_profile profileOf(const std::string &site)
{
    if (site == "kivu")
        return {0.10, 0.30, 8, 600};
    return {0.05, 0.10, 4, 900};
}

} // namespace

site_mix siteOf(const std::string &site)
{
    site_mix mix;
    for (int i = 0; i < 11; ++i) {
        mix.workers.push_back({worker_id(absl::StrCat(site, "-w", i)),
                               process_id(absl::StrCat(site, "-p", i)),
                               rack_id(absl::StrCat("r", i / 3)), zone_id(absl::StrCat("z", i / 3)),
                               8, 64, std::uint64_t {256} << 30});
    }
    for (const char *name : {"a", "b", "c", "d"})
        mix.teams.push_back({team_id(name), 1.0, 100'000, 200});
    const auto guarantee = [&mix](const char *owner, shape guaranteed, std::uint32_t count) {
        mix.contracts.push_back({contract_id(absl::StrCat(owner, "-guaranteed")), team_id(owner),
                                 guaranteed, count, zone_id()});
    };
    guarantee("a", {2, 8, adjacency::Rack}, 1);
    guarantee("b", {1, 8, adjacency::Worker}, 1);
    guarantee("c", {1, 4, adjacency::Worker}, 2);
    guarantee("d", {1, 2, adjacency::Worker}, 2);
    return mix;
}

site_mix mixOf(const std::string &site, std::uint64_t seed)
{
    site_mix mix = siteOf(site);
    const site_profile profile = profileOf(site);
    std::mt19937_64 random(seed * 1000003 + (site == "kivu" ? 7 : 0));
    std::normal_distribution<double> normal;
    std::uniform_real_distribution<double> uniform;
    std::array<double, 4 * CallersPerTeam> callerMedian {};
    for (double &median : callerMedian)
        median = profile.medianSeconds * std::exp(1.3 * normal(random));
    double work = 0;
    double position = 0; // time of arrival before it is scaled to the offered load
    bool burst = false;
    for (std::size_t i = 0; i < JobsPerRun; ++i) {
        // Bursts last 30 jobs on average and hold about a third of all jobs.
        if (uniform(random) < (burst ? 1.0 / 30 : 1.0 / 60))
            burst = !burst;
        position += -std::log(1 - uniform(random)) / (burst ? profile.burstFactor : 1);
        // Team a submits half of all jobs.
        const auto team = static_cast<std::uint32_t>(
            uniform(random) < 0.5 ? 0 : 1 + static_cast<int>(uniform(random) * 3));
        const auto caller = static_cast<std::uint32_t>(uniform(random) * CallersPerTeam);
        double shareLeft = uniform(random);
        std::size_t chosen = 0;
        while (chosen + 1 < Shapes.size() && shareLeft >= Shapes[chosen].share)
            shareLeft -= Shapes[chosen++].share;
        mix_job job;
        job.runSeconds = std::clamp(callerMedian[team * CallersPerTeam + caller]
                                        * std::exp(0.7 * normal(random)),
                                    10.0, 12 * 3600.0);
        job.spec.request = request_id(absl::StrCat("q", i));
        job.spec.team = mix.teams[team].id;
        job.spec.id = jobIdFor(job.spec.team, job.spec.request);
        job.spec.caller = caller_id(absl::StrCat(mix.teams[team].id.str(), caller));
        job.spec.wanted = Shapes[chosen].wanted;
        const double level = uniform(random);
        job.spec.level = level < profile.urgentShare                ? urgency::Urgent
            : level < profile.urgentShare + profile.backgroundShare ? urgency::Background
                                                                    : urgency::Normal;
        job.spec.declaredRunSeconds = static_cast<std::uint32_t>(
            std::clamp(job.runSeconds * std::exp(1.5 * normal(random)), 1.0, 1e6));
        job.spec.submittedAt = mixStart() + absl::Seconds(position);
        work += job.runSeconds * static_cast<double>(job.spec.wanted.accelerators());
        mix.jobs.push_back(job);
    }
    const double scale = work / (OfferedLoad * 88) / position;
    for (mix_job &job : mix.jobs)
        job.spec.submittedAt = mixStart() + scale * (job.spec.submittedAt - mixStart());
    return mix;
}

} // namespace hyssoppond::bench
