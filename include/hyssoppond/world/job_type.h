/// @file Jobs, gangs and their shapes.
#pragma once

#include "hyssoppond/base/id_type.h"
#include "hyssoppond/base/name_table_type.h"
#include "hyssoppond/base/time_serialize_func.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hyssoppond {

/// Urgency class of a job or call, least urgent first.
enum class urgency : std::uint8_t { Background, Normal, Urgent };

inline constexpr name_table<urgency, 3> UrgencyNames {{"Background", "Normal", "Urgent"}};

/// Placement limit: how near to each other the accelerators of a gang must be.
enum class adjacency : std::uint8_t {
    Worker, ///< all on one worker
    Rack,   ///< all in one rack
    Zone,   ///< all in one availability zone
};

inline constexpr name_table<adjacency, 3> AdjacencyNames {{"Worker", "Rack", "Zone"}};

/// Accelerators that a gang needs at the same time.
struct shape
{
    std::uint32_t members = 1;               ///< tasks of the gang, 1 to MaxGangMembers
    std::uint32_t acceleratorsPerMember = 1; ///< all on the worker of that member
    adjacency within = adjacency::Worker;    ///< where all members must be

    std::uint64_t accelerators() const { return std::uint64_t {members} * acceleratorsPerMember; }
    auto operator<=>(const shape &) const = default;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(members, acceleratorsPerMember, within);
    }
};

constexpr std::uint32_t MaxGangMembers = 512;
/// Number of bits of an accelerator_mask.
constexpr std::uint32_t MaxAcceleratorsPerWorker = 16;

/// A job as its caller submitted it.
struct job_spec
{
    job_id id; ///< derived from team and request, see jobIdFor
    request_id request;
    team_id team;
    caller_id caller;
    urgency level = urgency::Normal;
    shape wanted;
    absl::Time submittedAt;
    std::uint32_t declaredRunSeconds = 0; ///< often far off; 0 means not declared
    bool repeatable = true;               ///< may be started again after it may have run
    bool held = false;                    ///< submitted on hold
    std::string command;                  ///< opaque to the scheduler, handed to the worker

    template<class archive>
    void serialize(archive &ar)
    {
        ar(id, request, team, caller, level, wanted, submittedAt, declaredRunSeconds, repeatable,
           held, command);
    }
};

/// Set of accelerators of one worker, bit i for accelerator i.
using accelerator_mask = std::uint16_t;

/// One task of a gang on one worker.
struct gang_member
{
    worker_id worker;
    process_id agent; ///< the agent that runs beside the worker
    accelerator_mask accelerators = 0;

    auto operator<=>(const gang_member &) const = default;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(worker, agent, accelerators);
    }
};

/// State of a job as callers see it.
enum class job_state : std::uint8_t {
    Queued,
    Held,
    Placed, ///< accelerators chosen, gang not yet started
    Running,
    Suspended,
    Completed,
    Failed,
    Cancelled,
};

inline constexpr name_table<job_state, 8> JobStateNames {
    {"Queued", "Held", "Placed", "Running", "Suspended", "Completed", "Failed", "Cancelled"}};

/// How an attempt of a job ended.
enum class attempt_outcome : std::uint8_t {
    Completed,
    Failed,    ///< a task ended with an error
    Lost,      ///< a member was lost after the start; every member is fenced
    Aborted,   ///< no member started; every member is fenced
    Preempted, ///< stopped for a guarantee; every member is fenced
    Cancelled,
};

inline constexpr name_table<attempt_outcome, 6> AttemptOutcomeNames {
    {"Completed", "Failed", "Lost", "Aborted", "Preempted", "Cancelled"}};

/// Job id of `request` of `team`. Every process derives the same id from the same arguments, so
/// that a repeated request gives the same job.
job_id jobIdFor(const team_id &team, const request_id &request);

} // namespace hyssoppond
