/// @file Queue of events to be carried by outgoing packets.
#include "event_queue.h"

#include "hyssoppond/membership/membership_message_type.h"

namespace hyssoppond {
namespace {

// Events that do not fit are looked over up to this number, so that a packet is filled in bounded
// time even when thousands of events wait.
constexpr int MaxSkipped = 4;

} // namespace

void event_queue::add(const member_event &what)
{
    remove(what.process);
    const std::uint64_t order = m_next--;
    m_events[what.process] = {what, 0, order};
    m_order.emplace(0, order, what.process);
}

void event_queue::remove(const process_id &process)
{
    const auto it = m_events.find(process);
    if (it == m_events.end())
        return;
    m_order.erase({it->second.sent, it->second.order, process});
    m_events.erase(it);
}

void event_queue::take(std::size_t budget, std::uint32_t limit, std::vector<member_event> &out)
{
    std::vector<key> taken;
    int skipped = 0;
    for (auto it = m_order.begin(); it != m_order.end() && skipped < MaxSkipped; ++it) {
        const member_event &what = m_events[std::get<process_id>(*it)].what;
        const std::size_t bytes = encodedBytes(what);
        if (bytes > budget) {
            ++skipped;
            continue;
        }
        budget -= bytes;
        out.push_back(what);
        taken.push_back(*it);
    }
    for (const key &one : taken) {
        m_order.erase(one);
        const auto &[sent, order, process] = one;
        waiting &event = m_events[process];
        if (++event.sent >= limit)
            m_events.erase(process);
        else
            m_order.emplace(event.sent, event.order, process);
    }
}

} // namespace hyssoppond
