/// @file Windows of the records that were seen before, for deduplication.
#pragma once

#include "hyssoppond/journal/record_type.h"

#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/utility.hpp>

#include <array>
#include <map>
#include <utility>

namespace hyssoppond::journal {

/// Bounded window of seen record counters for each process incarnation. A counter older than the
/// window is treated as seen, so that a record is never applied twice.
class record_window
{
public:
    /// Counters in one window. Larger than the number of records in all appends that one client has
    /// in flight, see journal_options::maxAppendsInFlight.
    static constexpr std::uint64_t Counters = 1024;

    /// Marks `id` as seen and returns whether it was seen before.
    bool testAndSet(const record_id &id, absl::Time recordTime);
    /// Drops the windows of incarnations whose last record is older than `before`.
    void prune(absl::Time before);
    std::size_t size() const { return m_windows.size(); }

    template<class archive>
    void serialize(archive &ar)
    {
        ar(m_windows);
    }

private:
    struct incarnation_window
    {
        std::uint64_t highest = 0;
        std::array<std::uint64_t, Counters / 64> seen {}; ///< bit (counter mod Counters)
        absl::Time lastAt;

        template<class archive>
        void serialize(archive &ar)
        {
            ar(highest, seen, lastAt);
        }
    };

    std::map<std::pair<process_id, incarnation_number>, incarnation_window> m_windows;
};

} // namespace hyssoppond::journal
