/// @file Implementation of heartbeat_ages.
#include "hyssoppond/batch/heartbeat_ages_base.h"
#include "hyssoppond/batch/lease_rule_func.h"

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Reads that are kept. Heartbeats name others of the last seconds, unless the store has failed.
constexpr std::size_t MaxReads = 128;

} // namespace

absl::Time heartbeat_ages::clock_bound::at(absl::Duration time) const
{
    const absl::Duration elapsed = time - senderTime;
    const double slowest = 1.0 - WorkerClockError;
    return readerTime + (elapsed < absl::ZeroDuration() ? elapsed / slowest : elapsed * slowest);
}

void heartbeat_ages::noteRead(absl::Time startedAt, std::uint64_t end)
{
    m_reads.push_back({startedAt, end});
    if (m_reads.size() > MaxReads)
        m_reads.pop_front();
}

absl::Time heartbeat_ages::storedAfter(std::uint64_t offset) const
{
    const auto found = std::find_if(m_reads.rbegin(), m_reads.rend(),
                                    [offset](const read_time &read) { return read.end <= offset; });
    return found == m_reads.rend() ? absl::InfinitePast() : found->startedAt;
}

absl::Time heartbeat_ages::sentAfter(const agent_heartbeat &heartbeat, std::uint64_t offset)
{
    clock_bound &bound = m_bounds[heartbeat.agent];
    if (bound.sender != heartbeat.sender)
        bound = {heartbeat.sender, absl::ZeroDuration(), absl::InfinitePast()};
    const absl::Duration sentAt = absl::Microseconds(heartbeat.sentUs);
    if (heartbeat.storedOffset < offset) {
        const absl::Duration storedAt = absl::Microseconds(heartbeat.storedUs);
        const absl::Time named = storedAfter(heartbeat.storedOffset);
        if (storedAt <= sentAt && named > bound.at(storedAt))
            bound = {heartbeat.sender, storedAt, named};
    }
    return bound.at(sentAt);
}

} // namespace hyssoppond::batch
