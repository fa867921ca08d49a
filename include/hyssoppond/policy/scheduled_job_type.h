/// @file State of one job in the scheduler.
#pragma once

#include "hyssoppond/policy/guarantee_packing_base.h"
#include "hyssoppond/world/job_type.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hyssoppond {

/// A job from its submission until `scheduler::forget`.
struct scheduled_job
{
    job_spec spec;
    job_state state = job_state::Queued;
    attempt_number attempt = 1;       ///< current attempt, or the next one while queued
    std::vector<gang_member> members; ///< empty unless placed or running
    gang_location location;           ///< `members` as worker indexes and accelerator counts
    contract_id contract;             ///< empty: accelerators borrowed, or job not placed
    std::optional<guarantee_index> guaranteeIndex; ///< guarantee in use or claimed
    gang_location claim;                           ///< accelerators being reclaimed for this job
    bool stopping = false; ///< preemption accepted; the gang stops at the checkpoint deadline
    /// State that an operator asked for while the job was active: Queued, Suspended or Cancelled.
    std::optional<job_state> afterStop;
    bool mayHaveRun = false;    ///< an earlier attempt did not end as Aborted
    absl::Time startedAt;       ///< start of the running gang
    double attainedSeconds = 0; ///< total run time of earlier attempts
    double key = 0;             ///< position in the queue, lowest first; seconds since the epoch
    double callerCharge = 0;    ///< seconds that the job added to its caller's virtual time
    std::uint64_t sequence = 0; ///< order of submission, breaks ties
    std::uint32_t team = 0;     ///< number of the team in the queue

    bool isActive() const { return state == job_state::Placed || state == job_state::Running; }
    bool isQueued() const { return state == job_state::Queued; }
};

} // namespace hyssoppond
