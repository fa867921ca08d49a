/// @file State of one member of a gang at its agent.
#pragma once

#include "hyssoppond/gang/gang_member_agent_base.h"

#include <algorithm>

namespace hyssoppond {

/// Answer of another member in settlement, where a member whose reservation expired queries the
/// others whether one has started. Lost: the member has ended, is fenced or has restarted.
enum class peer_answer : std::uint8_t { None, NotStarted, Started, Lost };

struct gang_member_agent::member_record
{
    task_id id;
    epoch_number placed = 0;
    epoch_number epoch = 0; ///< epoch of the latest coordinator
    process_id coordinator;
    gang_plan plan; ///< has no members if the attempt was never reserved here
    gang_member_state state = gang_member_state::Reserved;
    reason why = reason::None;
    accelerator_mask accelerators = 0;

    bool startRequested = false; ///< the worker may have received the start
    bool mayHaveRun = false;
    bool completed = false;
    bool failed = false;
    bool settling = false;
    bool stopConfirmed = false; ///< in Ended or Fenced: the task does not run and will never start
    bool checkpointed = false;
    bool endKnownToCoordinator = false; ///< the coordinator requested or confirmed the end

    absl::Time leaseUntil = absl::InfinitePast(); ///< latest lease given to the worker
    /// Upper bound of the first lease, equal for the gang.
    absl::Time firstLease = absl::InfiniteFuture();
    absl::Time startRequestedAt = absl::InfinitePast(); ///< when the last start request was sent
    absl::Time startedAt = absl::InfinitePast();
    absl::Time endedAt = absl::InfinitePast();
    /// Time of the latest request that the worker answered with Running.
    absl::Time confirmedAt = absl::InfinitePast();
    absl::Time stopAt = absl::InfiniteFuture();    ///< deadline of the checkpoint before a stop
    absl::Time nextRetry = absl::InfiniteFuture(); ///< when the start, stop or query is repeated
    /// When gang_started or gang_stopped is repeated.
    absl::Time nextReport = absl::InfiniteFuture();
    absl::Duration reportDelay;
    absl::Time forgetAt = absl::InfiniteFuture(); ///< when the record is deleted

    std::vector<peer_answer> answers;     ///< by member index, in settlement
    std::vector<absl::Time> childAliveAt; ///< by child in the tree: latest gang_keepalive::aliveAt
    absl::Time reportedAliveAt = absl::InfinitePast(); ///< aliveAt of the last gang_keepalive sent
    absl::Time nextKeepalive = absl::InfiniteFuture(); ///< when gang_keepalive is repeated
    absl::Time contactAt = absl::InfinitePast();       ///< last known message of the coordinator

    std::uint32_t size() const { return static_cast<std::uint32_t>(plan.members.size()); }
    /// The state is Ended or Fenced and does not change any more.
    bool isTerminal() const
    {
        return state == gang_member_state::Ended || state == gang_member_state::Fenced;
    }
    /// Whether the member counts as alive in the tree. A completed member does until the
    /// coordinator knows of its end, so that the leases of members that still run are renewed.
    bool isAlive() const
    {
        return state == gang_member_state::Running || (completed && !endKnownToCoordinator);
    }
    /// Index of the first child in the tree; may be beyond the last member.
    std::uint32_t firstChild(std::uint32_t fanOut) const { return id.member * fanOut + 1; }
    /// Index of the parent in the tree. The root, member 0, has none.
    std::uint32_t parent(std::uint32_t fanOut) const { return (id.member - 1) / fanOut; }
};

} // namespace hyssoppond
