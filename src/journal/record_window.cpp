/// @file Implementation of the windows of seen records.
#include "hyssoppond/journal/record_window_base.h"

#include <algorithm>

namespace hyssoppond::journal {

bool record_window::testAndSet(const record_id &id, absl::Time recordTime)
{
    incarnation_window &window = m_windows[{id.process, id.incarnation}];
    window.lastAt = std::max(window.lastAt, recordTime);
    if (id.counter > window.highest) {
        const std::uint64_t steps = std::min(id.counter - window.highest, Counters);
        for (std::uint64_t i = 0; i < steps; ++i) {
            const std::uint64_t slot = (id.counter - i) % Counters;
            window.seen[slot / 64] &= ~(std::uint64_t {1} << (slot % 64));
        }
        window.highest = id.counter;
    } else if (window.highest - id.counter >= Counters) {
        return true;
    }
    const std::uint64_t slot = id.counter % Counters;
    const std::uint64_t bit = std::uint64_t {1} << (slot % 64);
    const bool seen = (window.seen[slot / 64] & bit) != 0;
    window.seen[slot / 64] |= bit;
    return seen;
}

void record_window::prune(absl::Time before)
{
    std::erase_if(m_windows, [&](const auto &item) { return item.second.lastAt < before; });
}

} // namespace hyssoppond::journal
