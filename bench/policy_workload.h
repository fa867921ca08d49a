/// @file Seeded mixes of jobs for the scheduling figures; see docs/workloads.md.
#pragma once

#include "hyssoppond/world/contract_type.h"
#include "hyssoppond/world/machine_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssoppond::bench {

/// One job with the run time that the scheduler does not know.
struct mix_job
{
    job_spec spec;
    double runSeconds = 0;
};

/// Fleet, teams, contracts and jobs of one run.
struct site_mix
{
    std::vector<worker> workers;
    std::vector<team> teams;
    std::vector<contract> contracts;
    std::vector<mix_job> jobs; ///< in the order of submission
};

/// Start of every run in virtual time.
inline absl::Time mixStart()
{
    return absl::FromUnixSeconds(1'000'000);
}

/// The 11 workers, 4 teams and contracts that both sites have.
site_mix siteOf(const std::string &site);
/// The site with a seeded queue of jobs at an offered load of 0.9 of the fleet.
site_mix mixOf(const std::string &site, std::uint64_t seed);

} // namespace hyssoppond::bench
