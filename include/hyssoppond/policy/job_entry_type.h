/// @file What the scheduler knows about one job.
#pragma once

#include "hyssoppond/policy/guarantee_packing_base.h"
#include "hyssoppond/world/job_type.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hyssoppond {

/// A job from its submission until it is forgotten.
struct job_entry
{
    job_spec spec;
    job_state state = job_state::Queued;
    attempt_number attempt = 1;       ///< current attempt, or the next one while queued
    std::vector<gang_member> members; ///< empty unless placed or running
    gang_location at;                 ///< the same as worker numbers and counts
    contract_id contract;             ///< empty: borrowed, or not placed
    std::optional<unit_index> unit;   ///< guaranteed gang in use or claimed
    gang_location claim;              ///< accelerators being reclaimed for this job
    bool stopping = false;            ///< preemption accepted; ends at the checkpoint deadline
    /// Where an operator sent an active job, if any: Queued, Suspended or Cancelled.
    std::optional<job_state> afterStop;
    bool mayHaveRun = false;    ///< an earlier attempt did not end as Aborted
    absl::Time startedAt;       ///< start of the running gang
    double attainedSeconds = 0; ///< run time of earlier attempts
    double key = 0;             ///< order in the queue, seconds since the epoch
    double callerCharge = 0;    ///< what the job added to its caller's tag, seconds
    std::uint64_t sequence = 0; ///< order of submission, breaks ties
    std::uint32_t team = 0;     ///< number of the team in the queue

    bool isActive() const { return state == job_state::Placed || state == job_state::Running; }
    bool isQueued() const { return state == job_state::Queued; }
};

} // namespace hyssoppond
