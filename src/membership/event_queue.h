/// @file Events waiting to be carried by outgoing packets, each a bounded number of times.
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
    /// Adds an event in place of an earlier one about the same member.
    void add(const member_event &what);
    void remove(const process_id &process);
    /// Moves up to `budget` encoded bytes into `out`. An event sent `limit` times is removed.
    void take(std::size_t budget, std::uint32_t limit, std::vector<member_event> &out);
    std::size_t size() const { return m_events.size(); }

private:
    struct waiting
    {
        member_event what;
        std::uint32_t sent = 0;
        std::uint64_t order = 0;
    };
    using key = std::tuple<std::uint32_t, std::uint64_t, process_id>; ///< sent, newest first

    absl::flat_hash_map<process_id, waiting> m_events;
    std::set<key> m_order;
    std::uint64_t m_next = UINT64_MAX;
};

} // namespace hyssoppond
