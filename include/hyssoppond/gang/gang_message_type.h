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

/// Why a gang is stopped. Finished confirms to a member that the attempt has ended.
enum class stop_cause : std::uint8_t { Cancel, Preempt, Lost, Finished };

/// Value of gang_header::from and gang_header::to that denotes the coordinator.
constexpr std::uint16_t CoordinatorIndex = 0xffff;

/// Header of every gang message.
struct gang_header
{
    job_id job;
    attempt_number attempt = 0;
    /// Epoch of the sending coordinator, or of the latest one known to a member.
    epoch_number epoch = 0;
    epoch_number placementEpoch = 0;       ///< epoch of the placement; identifies void placements
    std::uint16_t from = CoordinatorIndex; ///< index of the sending member
    std::uint16_t to = CoordinatorIndex;   ///< index of the addressed member
    incarnation_number incarnation = 0;    ///< of the sending agent; 0 for a coordinator

    template<class archive>
    void serialize(archive &ar)
    {
        ar(job, attempt, epoch, placementEpoch, from, to, incarnation);
    }
};

/// A member and the incarnation of its agent. The incarnation is 0 until the agent has reserved.
struct gang_peer
{
    gang_member member;
    incarnation_number incarnation = 0;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(member, incarnation);
    }
};

/// Plan of an attempt, sent to each of its agents.
struct gang_plan
{
    job_spec spec;
    std::vector<gang_peer> members;
    absl::Time reserveUntil; ///< a reservation that has not been started by then expires
    absl::Time startBefore;  ///< no task of the attempt may start at or after this time

    template<class archive>
    void serialize(archive &ar)
    {
        ar(spec, members, reserveUntil, startBefore);
    }
};

/// Asks an agent to reserve the accelerators of one member.
struct gang_reserve
{
    gang_header header;
    gang_plan plan;
};
/// The member is reserved.
struct gang_reserved
{
    gang_header header;
};
/// The reservation is refused, or the message had an epoch that is too low (StaleEpoch).
struct gang_refused
{
    gang_header header;
    reason why = reason::None;
};
/// Sent to each member when all have reserved. The plan contains the incarnation of each agent.
struct gang_start
{
    gang_header header;
    gang_plan plan;
    /// Upper bound of the first lease, equal for all members, so that a member that starts late
    /// does not run longer without the others than one that started early.
    absl::Time leaseUntil = absl::InfinitePast();
};
/// The task of the sender runs.
struct gang_started
{
    gang_header header;
};
/// Sent from a parent to its children in the tree with a new lease. The coordinator sends it to the
/// root with `contactAt` only, without a lease.
struct gang_renew
{
    gang_header header;
    absl::Time leaseUntil = absl::InfinitePast();
    absl::Time contactAt = absl::InfinitePast(); ///< when the coordinator sent its last message
};
/// Sent from a child to its parent in the tree, and from the root to the coordinator: every member
/// of the subtree ran at `aliveAt`.
struct gang_keepalive
{
    gang_header header;
    absl::Time aliveAt = absl::InfinitePast();
};
/// Asks a member to end, after a checkpoint if there is time for one.
struct gang_stop
{
    gang_header header;
    stop_cause why = stop_cause::Cancel;
    absl::Time checkpointUntil = absl::InfinitePast(); ///< InfinitePast: no checkpoint
    absl::Time startBefore = absl::InfinitePast();     ///< gang_plan::startBefore of the attempt
};
/// The task of the sender does not run and never starts.
struct gang_stopped
{
    gang_header header;
    reason why = reason::None;
    bool mayHaveRun = true; ///< false only if the task certainly never ran
    bool completed = false;
    bool failed = false;
    bool keepalivesEnded = true; ///< the member sends no gang_keepalive any more
    double runSeconds = 0;       ///< 0 if the task did not run
};
/// Asks a member for its state, or an agent for the states of all its members.
struct gang_query
{
    gang_header header;    ///< an empty job asks for all attempts of the agent
    bool settling = false; ///< sent by a member whose reservation expired, in settlement
    bool wantPlan = false; ///< the answer shall contain the plan
};
/// Answer to gang_query.
struct gang_state
{
    gang_header header;
    gang_member_state state = gang_member_state::Fenced;
    bool settling = false; ///< in settlement: it starts only if another member has started
    absl::Time leaseUntil = absl::InfinitePast();
    absl::Time reserveUntil = absl::InfinitePast();
    absl::Time startBefore = absl::InfinitePast();
    std::vector<gang_plan> plan; ///< empty or one element
};
/// Limits the processor time of a member's task; 0 percent suspends it, 100 percent resumes it.
struct gang_throttle
{
    gang_header header;
    std::uint32_t percent = 100;
};
/// The limit of a gang_throttle is applied.
struct gang_throttled
{
    gang_header header;
    std::uint32_t percent = 100;
};
/// The checkpoint that a gang_stop requested is written; the task still runs.
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
