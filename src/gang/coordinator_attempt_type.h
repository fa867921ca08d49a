/// @file State of one attempt at the coordinator.
#pragma once

#include "hyssoppond/gang/gang_coordinator_base.h"

#include <algorithm>

namespace hyssoppond {

/// Progress of an attempt. A new attempt begins with Reserving, a takeover with Querying. The
/// values are compared by order.
enum class attempt_phase : std::uint8_t { Querying, Reserving, Starting, Running, Stopping };

/// State of a member as last reported to the coordinator.
enum class observed_member_state : std::uint8_t { Unknown, Reserved, Started, Stopped };

struct coordinated_member
{
    observed_member_state observedState = observed_member_state::Unknown;
    bool mayHaveRun = true; ///< false only if the member has stopped and its task never ran
    bool completed = false;
    bool failed = false;
    bool keepalivesEnded = false; ///< the member sends no gang_keepalive any more
    bool checkpointed = false;
    std::uint32_t appliedPercent = 100; ///< last limit that the member confirmed
    absl::Time nextSend = absl::InfinitePast();
    absl::Duration retryDelay;
};

struct gang_coordinator::attempt_state
{
    gang_placement placement;
    gang_plan plan;
    attempt_phase phase = attempt_phase::Reserving;
    std::vector<coordinated_member> members;
    bool takenOver = false;
    bool startSent = false;
    bool startReported = false;
    std::uint32_t targetPercent = 100; ///< requested limit of the processor time
    bool throttlePending = false;      ///< onThrottled is called when all members have applied it
    attempt_outcome outcome = attempt_outcome::Lost; ///< outcome to report once Stopping is done
    absl::Time checkpointUntil = absl::InfinitePast();
    /// Upper bound of the first lease of all members.
    absl::Time firstLease = absl::InfiniteFuture();
    absl::Time lastAliveAt = absl::InfinitePast(); ///< when all members were last known alive
    /// When the last gang_renew was sent to the root.
    absl::Time lastContactAt = absl::InfinitePast();
    /// When the first report arrived that a member sends no more keepalives.
    absl::Time keepalivesEndedAt = absl::InfiniteFuture();
    double runSeconds = 0;

    template<class predicate>
    bool allMembers(predicate test) const
    {
        return std::all_of(members.begin(), members.end(), test);
    }
    template<class predicate>
    bool anyMember(predicate test) const
    {
        return std::any_of(members.begin(), members.end(), test);
    }
};

} // namespace hyssoppond
