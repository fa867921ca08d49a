/// @file Messages of the gang protocol between the coordinator and the member agents.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/world/job_type.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace hyssoppond {

/// State of one member of a gang on its agent.
enum class gang_member_state : std::uint8_t { Reserved, Starting, Running, Ended, Fenced };

inline constexpr name_table<gang_member_state, 5> GangMemberStateNames {
    {"Reserved", "Starting", "Running", "Ended", "Fenced"}};

/// Why a gang is stopped.
enum class stop_cause : std::uint8_t { Cancel, Preempt, Lost, Finished };

/// Index that stands for the coordinator in gang_header.
constexpr std::uint16_t CoordinatorIndex = 0xffff;

/// Common part of all messages.
struct gang_header
{
    job_id job;
    attempt_number attempt = 0;
    epoch_number epoch = 0;                ///< of the sending coordinator's grant
    epoch_number placed = 0;               ///< epoch of the placement; tells void placements apart
    std::uint16_t from = CoordinatorIndex; ///< index of the sending member
    std::uint16_t to = CoordinatorIndex;   ///< index of the addressed member
    incarnation_number incarnation = 0;    ///< of the sending agent; 0 for a coordinator

    template<class archive>
    void serialize(archive &ar)
    {
        ar(job, attempt, epoch, placed, from, to, incarnation);
    }
};

/// A member and the incarnation of its agent; 0 until the agent has reserved.
struct gang_peer
{
    gang_member where;
    incarnation_number incarnation = 0;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(where, incarnation);
    }
};

/// What an agent needs to know about an attempt.
struct gang_plan
{
    job_spec spec;
    std::vector<gang_peer> members;
    absl::Time reserveUntil;
    absl::Time startBefore;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(spec, members, reserveUntil, startBefore);
    }
};

struct gang_reserve
{
    gang_header header;
    gang_plan plan;
};
struct gang_reserved
{
    gang_header header;
};
struct gang_refused
{
    gang_header header;
    reason why = reason::None;
};
/// Sent when all members have reserved; the plan names the incarnation of each agent.
struct gang_start
{
    gang_header header;
    gang_plan plan;
    /// Latest first lease, equal for all members: members that start late do not run longer
    /// without the others than those that started early.
    absl::Time leaseUntil = absl::InfinitePast();
};
struct gang_started
{
    gang_header header;
};
/// Down the tree with a new lease; from the coordinator to the root only with `contactAt`.
struct gang_renew
{
    gang_header header;
    absl::Time leaseUntil = absl::InfinitePast();
    absl::Time contactAt = absl::InfinitePast(); ///< when the coordinator sent its last message
};
/// Up the tree; every member of the subtree ran at `aliveAt`.
struct gang_keepalive
{
    gang_header header;
    absl::Time aliveAt = absl::InfinitePast();
};
struct gang_stop
{
    gang_header header;
    stop_cause why = stop_cause::Cancel;
    absl::Time checkpointUntil = absl::InfinitePast(); ///< InfinitePast: no checkpoint
    absl::Time startBefore = absl::InfinitePast();     ///< of the attempt
};
/// The task of the sender does not run and never starts.
struct gang_stopped
{
    gang_header header;
    reason why = reason::None;
    bool mayHaveRun = true; ///< false only if the task certainly never ran
    bool completed = false;
    bool failed = false;
    bool quiet = true; ///< does not report itself alive in the tree any more
    double runSeconds = 0;
};
struct gang_query
{
    gang_header header;    ///< with an empty job, asks for all attempts of the agent
    bool settling = false; ///< from a member whose reservation ended
    bool wantPlan = false;
};
struct gang_state
{
    gang_header header;
    gang_member_state state = gang_member_state::Fenced;
    bool settling = false; ///< the sender starts only when another member has started
    absl::Time leaseUntil = absl::InfinitePast();
    absl::Time reserveUntil = absl::InfinitePast();
    absl::Time startBefore = absl::InfinitePast();
    std::vector<gang_plan> plan; ///< empty or one
};
/// Limits the processor time of the tasks; 0 suspends, 100 resumes.
struct gang_throttle
{
    gang_header header;
    std::uint32_t percent = 100;
};
struct gang_throttled
{
    gang_header header;
    std::uint32_t percent = 100;
};
/// The checkpoint that a gang_stop asked for is written; the task still runs.
struct gang_checkpointed
{
    gang_header header;
};

using gang_message
    = std::variant<gang_reserve, gang_reserved, gang_refused, gang_start, gang_started, gang_renew,
                   gang_keepalive, gang_stop, gang_stopped, gang_query, gang_state, gang_throttle,
                   gang_throttled, gang_checkpointed>;

/// Names of the messages in the order of the variant.
inline constexpr std::array<std::string_view, 14> GangMessageNames {
    "gang_reserve", "gang_reserved", "gang_refused",   "gang_start",       "gang_started",
    "gang_renew",   "gang_alive",    "gang_stop",      "gang_stopped",     "gang_query",
    "gang_state",   "gang_throttle", "gang_throttled", "gang_checkpointed"};

} // namespace hyssoppond
