/// @file Memory of the records that were seen before.
#pragma once

#include "hyssoppond/journal/record_type.h"

#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/utility.hpp>

#include <array>
#include <map>
#include <utility>

namespace hyssoppond::journal {

/// Bounded window of record counters for each process incarnation. A counter that is older than
/// the window counts as seen, so that a record is never applied twice.
class record_window
{
public:
    /// Larger than the records of all appends that one client has in flight.
    static constexpr std::uint64_t Counters = 1024;

    /// Whether `id` was noted before; notes it.
    bool testAndSet(const record_id &id, absl::Time at);
    /// Forgets incarnations that wrote nothing since `before`.
    void prune(absl::Time before);
    std::size_t size() const { return m_entries.size(); }

    template<class archive>
    void serialize(archive &ar)
    {
        ar(m_entries);
    }

private:
    struct entry
    {
        std::uint64_t highest = 0;
        std::array<std::uint64_t, Counters / 64> seen {}; ///< bit counter mod Counters
        absl::Time lastAt;

        template<class archive>
        void serialize(archive &ar)
        {
            ar(highest, seen, lastAt);
        }
    };

    std::map<std::pair<process_id, incarnation_number>, entry> m_entries;
};

} // namespace hyssoppond::journal
