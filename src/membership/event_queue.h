/// @file Queue of events to piggyback on outgoing packets, each a bounded number of times.
#pragma once

#include "hyssoppond/membership/member_type.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <tuple>
#include <vector>

namespace hyssoppond {

/// Queue with at most one event for each member; events sent least often go first.
class event_queue
{
public:
    /// Adds an event; it replaces an earlier event about the same member.
    void add(const member_event &memberEvent);
    void remove(const process_id &process);
    /// Appends events of up to `byteBudget` encoded bytes in total to `out`. An event that has been
    /// taken `sendLimit` times is removed from the queue.
    void take(std::size_t byteBudget, std::uint32_t sendLimit, std::vector<member_event> &out);
    std::size_t size() const { return m_events.size(); }

private:
    struct queued_event
    {
        member_event memberEvent;
        std::uint32_t sentCount = 0;
        std::uint64_t order = 0; ///< smaller for newer events
    };
    /// Sent count, then newest first.
    using send_key = std::tuple<std::uint32_t, std::uint64_t, process_id>;

    absl::flat_hash_map<process_id, queued_event> m_events;
    std::set<send_key> m_sendOrder;
    std::uint64_t m_nextOrder = UINT64_MAX;
};

} // namespace hyssoppond
