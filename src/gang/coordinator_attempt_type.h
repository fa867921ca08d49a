/// @file What a coordinator keeps about one attempt.
#pragma once

#include "hyssoppond/gang/gang_coordinator_base.h"

#include <algorithm>

namespace hyssoppond {

/// Progress of an attempt.
enum class attempt_phase : std::uint8_t { Querying, Reserving, Starting, Running, Stopping };

/// What the coordinator knows about a member.
enum class member_view : std::uint8_t { Unknown, Reserved, Started, Stopped };

struct coordinated_member
{
    member_view view = member_view::Unknown;
    bool mayHaveRun = true; ///< of Stopped
    bool completed = false;
    bool failed = false;
    bool quiet = false; ///< does not report itself alive any more
    bool checkpointed = false;
    std::uint32_t percent = 100;
    absl::Time nextSend = absl::InfinitePast();
    absl::Duration delay;
};

struct gang_coordinator::attempt
{
    gang_placement placement;
    gang_plan plan;
    attempt_phase phase = attempt_phase::Reserving;
    std::vector<coordinated_member> members;
    bool takenOver = false;
    bool startSent = false;
    bool startReported = false;
    std::uint32_t percent = 100;                     ///< wanted
    bool throttling = false;                         ///< onThrottled is due
    attempt_outcome outcome = attempt_outcome::Lost; ///< wanted, in Stopping
    absl::Time checkpointUntil = absl::InfinitePast();
    absl::Time firstLease = absl::InfiniteFuture(); ///< of the members that start
    absl::Time lastAlive = absl::InfinitePast();
    absl::Time lastContact = absl::InfinitePast(); ///< last gang_renew sent to the root
    absl::Time quietAt = absl::InfiniteFuture();   ///< first time that a member was known quiet
    double runSeconds = 0;

    template<class predicate>
    bool all(predicate test) const
    {
        return std::all_of(members.begin(), members.end(), test);
    }
    template<class predicate>
    bool any(predicate test) const
    {
        return std::any_of(members.begin(), members.end(), test);
    }
};

} // namespace hyssoppond
