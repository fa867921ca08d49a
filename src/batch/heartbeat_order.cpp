/// @file Implementation of heartbeat_order.
#include "hyssoppond/batch/heartbeat_order_base.h"
#include "hyssoppond/batch/lease_rule_func.h"

#include <algorithm>
#include <limits>

namespace hyssoppond::batch {

namespace {

/// Answered heartbeats that are kept for each witness, some 30 s. No later silence needs older ones
/// to be long enough for an eviction and for the end of all leases.
constexpr std::size_t MaxStoredHeartbeats = 32;

/// Two answers that are further apart are a gap: agents send a heartbeat each second.
constexpr absl::Duration MaxAnswerGap = absl::Milliseconds(2000);

/// Latest time on the clock of a witness that is accepted, as an odd record may hold any number.
constexpr std::int64_t MaxSenderUs = std::numeric_limits<std::int64_t>::max() / 4;

bool isInRange(std::int64_t us)
{
    return us >= 0 && us <= MaxSenderUs;
}

} // namespace

void heartbeat_order::note(const agent_heartbeat &heartbeat, std::uint64_t offset)
{
    if (offset < m_end)
        return;
    m_end = offset + 1;
    witness &by = m_witnesses[heartbeat.agent];
    if (by.sender != heartbeat.sender)
        by = {};
    by.sender = heartbeat.sender;
    by.lastOffset = offset;
    if (!isInRange(heartbeat.sentUs) || !isInRange(heartbeat.storedUs))
        return;
    const absl::Duration sentAt = absl::Microseconds(heartbeat.sentUs);
    const absl::Duration answeredAt = absl::Microseconds(heartbeat.storedUs);
    const bool namesEarlier = heartbeat.storedOffset < offset && answeredAt <= sentAt;
    if (!namesEarlier || sentAt - answeredAt > MaxAnswerGap
        || (!by.stored.empty() && answeredAt - by.stored.back().answeredAt > MaxAnswerGap))
        by.stored.clear();
    by.newestSentAt = by.stored.empty() ? sentAt : std::max(by.newestSentAt, sentAt);
    if (!namesEarlier || sentAt - answeredAt > MaxAnswerGap
        || (!by.stored.empty() && heartbeat.storedOffset <= by.stored.back().offset))
        return;
    by.stored.push_back({heartbeat.storedOffset, answeredAt});
    if (by.stored.size() > MaxStoredHeartbeats)
        by.stored.pop_front();
}

absl::Duration heartbeat_order::provenSilence(const process_id &agent) const
{
    absl::Duration longest = absl::ZeroDuration();
    const auto found = m_witnesses.find(agent);
    if (found == m_witnesses.end())
        return longest;
    const std::uint64_t lastOffset = found->second.lastOffset;
    for (const auto &[other, by] : m_witnesses) {
        if (other == agent)
            continue;
        const auto later = std::upper_bound(
            by.stored.begin(), by.stored.end(), lastOffset,
            [](std::uint64_t offset, const auto &stored) { return offset < stored.offset; });
        // The clocks of two machines may differ in rate.
        if (later != by.stored.end())
            longest = std::max(longest,
                               (by.newestSentAt - later->answeredAt) * (1.0 - WorkerClockError));
    }
    return longest;
}

} // namespace hyssoppond::batch
