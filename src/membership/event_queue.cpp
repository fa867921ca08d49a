/// @file Queue of events to piggyback on outgoing packets.
#include "event_queue.h"

#include "hyssoppond/membership/membership_message_type.h"

namespace hyssoppond {
namespace {

// Maximum number of events that do not fit and are skipped for one packet. It bounds the time to
// fill a packet when thousands of events are queued.
constexpr int MaxSkippedEvents = 4;

} // namespace

void event_queue::add(const member_event &memberEvent)
{
    remove(memberEvent.process);
    const std::uint64_t order = m_nextOrder--;
    m_events[memberEvent.process] = {memberEvent, 0, order};
    m_sendOrder.emplace(0, order, memberEvent.process);
}

void event_queue::remove(const process_id &process)
{
    const auto it = m_events.find(process);
    if (it == m_events.end())
        return;
    m_sendOrder.erase({it->second.sentCount, it->second.order, process});
    m_events.erase(it);
}

void event_queue::take(std::size_t byteBudget, std::uint32_t sendLimit,
                       std::vector<member_event> &out)
{
    std::vector<send_key> taken;
    int skipped = 0;
    for (auto it = m_sendOrder.begin(); it != m_sendOrder.end() && skipped < MaxSkippedEvents;
         ++it) {
        const member_event &memberEvent = m_events[std::get<process_id>(*it)].memberEvent;
        const std::size_t bytes = encodedBytes(memberEvent);
        if (bytes > byteBudget) {
            ++skipped;
            continue;
        }
        byteBudget -= bytes;
        out.push_back(memberEvent);
        taken.push_back(*it);
    }
    for (const send_key &sentKey : taken) {
        m_sendOrder.erase(sentKey);
        const auto &[sentCount, order, process] = sentKey;
        queued_event &queued = m_events[process];
        if (++queued.sentCount >= sendLimit)
            m_events.erase(process);
        else
            m_sendOrder.emplace(queued.sentCount, queued.order, process);
    }
}

} // namespace hyssoppond
