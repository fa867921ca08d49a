/// @file What members know about each other: announcements, states and the events that change them.
#pragma once

#include "hyssoppond/base/id_type.h"
#include "hyssoppond/base/name_table_type.h"
#include "hyssoppond/world/machine_type.h"

#include <cstdint>
#include <memory>
#include <tuple>

namespace hyssoppond {

/// Role of a process of this scheduler.
enum class process_role : std::uint8_t { Entry, Agent };

inline constexpr name_table<process_role, 2> ProcessRoleNames {{"entry", "agent"}};

/// State of a member as its peers see it.
enum class member_state : std::uint8_t { Alive, Suspect, Leaving, Dead };

inline constexpr name_table<member_state, 4> MemberStateNames {
    {"Alive", "Suspect", "Leaving", "Dead"}};

/// Result of failure detection. A departure is recorded separately in member_event::leaving,
/// because it is never withdrawn.
enum class liveness : std::uint8_t { Alive, Suspect, Dead };

/// What a process announces about itself. A process with the role Entry announces neither a worker
/// nor a runner.
struct member_announcement
{
    endpoint self;
    process_role role = process_role::Agent;
};

/// Shared pointer to an announcement. Announcements are immutable, so that the member table, the
/// event queue and the messages can share them.
using announcement_pointer = std::shared_ptr<const member_announcement>;

/// Statement about one member. Two statements merge to the same result in either order.
struct member_event
{
    process_id process;
    incarnation_number incarnation = 0;
    std::uint32_t counter = 0; ///< raised by the member itself to refute Suspect or Dead
    bool leaving = false;
    liveness state = liveness::Alive;
    announcement_pointer announcement; ///< null if the event reports only the state

    /// Sort key of statements about one incarnation: the greater one prevails. `leaving` is merged
    /// separately.
    std::tuple<std::uint32_t, liveness> rank() const { return {counter, state}; }
};

/// One process and the address at which it receives frames. Incarnation 0 means unknown.
struct peer
{
    process_id process;
    incarnation_number incarnation = 0;
    address where;
};

/// One member as the membership reports it to its callers.
struct member_view
{
    process_id process;
    incarnation_number incarnation = 0;
    member_state state = member_state::Alive;
    announcement_pointer announcement; ///< never null; holds address, zone, role, worker, runner

    const address &where() const { return announcement->self.control; }
    const zone_id &zone() const { return announcement->self.zone; }
    process_role role() const { return announcement->role; }
};

} // namespace hyssoppond
