/// @file Teams, and the contracts that guarantee them gangs of adjacent accelerators.
#pragma once

#include "hyssoppond/world/job_type.h"

#include <cstdint>

namespace hyssoppond {

/// Callers that share contracts and limits.
struct team
{
    team_id id;
    double weight = 1.0; ///< relative share of the capacity that no contract guarantees, above 0
    std::uint32_t maxQueuedJobs = 1000;
    std::uint32_t maxQueuedCalls = 200;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(id, weight, maxQueuedJobs, maxQueuedCalls);
    }
};

/// Promise to a team that `count` gangs of the shape can run at any time.
struct contract
{
    contract_id id;
    team_id team;
    shape guaranteed;
    std::uint32_t count = 1;
    zone_id zone; ///< empty: any availability zone

    template<class archive>
    void serialize(archive &ar)
    {
        ar(id, team, guaranteed, count, zone);
    }
};

} // namespace hyssoppond
