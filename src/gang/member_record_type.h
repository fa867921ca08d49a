/// @file What an agent keeps about one member of a gang.
#pragma once

#include "hyssoppond/gang/gang_member_agent_base.h"

#include <algorithm>

namespace hyssoppond {

/// Answer of another member during settlement.
enum class peer_answer : std::uint8_t { None, NotStarted, Started, Gone };

struct gang_member_agent::record
{
    task_id id;
    epoch_number placed = 0;
    epoch_number epoch = 0; ///< of the latest coordinator
    process_id coordinator;
    gang_plan plan; ///< without members if the attempt was never reserved here
    gang_member_state state = gang_member_state::Reserved;
    reason why = reason::None;
    accelerator_mask accelerators = 0;

    bool startRequested = false; ///< the worker may have received the start
    bool mayHaveRun = false;
    bool completed = false;
    bool failed = false;
    bool settling = false;
    bool stopConfirmed = false; ///< Ended and Fenced: the task does not run and never starts
    bool checkpointed = false;
    bool finished = false; ///< the coordinator has asked for the end or confirmed it

    absl::Time leaseUntil = absl::InfinitePast();   ///< highest lease given to the worker
    absl::Time firstLease = absl::InfiniteFuture(); ///< latest first lease, given by the gang
    absl::Time askedAt = absl::InfinitePast();      ///< last request to start
    absl::Time startedAt = absl::InfinitePast();
    absl::Time endedAt = absl::InfinitePast();
    absl::Time confirmedAt = absl::InfinitePast();  ///< the worker was asked and said "running"
    absl::Time stopAt = absl::InfiniteFuture();     ///< end of the checkpoint before a stop
    absl::Time nextTry = absl::InfiniteFuture();    ///< of the start, the stop or the query
    absl::Time nextReport = absl::InfiniteFuture(); ///< of gang_started or gang_stopped
    absl::Duration reportDelay;
    absl::Time forgetAt = absl::InfiniteFuture();

    std::vector<peer_answer> answers; ///< per member, during settlement
    std::vector<absl::Time> children; ///< last gang_keepalive of each child in the tree
    absl::Time reportedAlive = absl::InfinitePast();
    absl::Time nextAlive = absl::InfiniteFuture();
    absl::Time contactAt = absl::InfinitePast();

    std::uint32_t size() const { return static_cast<std::uint32_t>(plan.members.size()); }
    bool isOver() const
    {
        return state == gang_member_state::Ended || state == gang_member_state::Fenced;
    }
    /// Counts as alive in the tree.
    bool isAlive() const { return state == gang_member_state::Running || (completed && !finished); }
    std::uint32_t firstChild(std::uint32_t fanOut) const { return id.member * fanOut + 1; }
    std::uint32_t parent(std::uint32_t fanOut) const { return (id.member - 1) / fanOut; }
};

} // namespace hyssoppond
