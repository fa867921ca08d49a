/// @file Network of named processes in virtual time that loses, delays, duplicates and reorders
/// messages.
#pragma once

#include "hyssoppond/base/id_type.h"
#include "hyssoppond/fakes/virtual_clock_base.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace hyssoppond {

/// Delay and faults of a link.
struct link_conditions
{
    absl::Duration delay = absl::Milliseconds(3); ///< one way
    absl::Duration jitter = absl::ZeroDuration(); ///< uniform, added to the delay; reorders
    double loss = 0;                              ///< share of messages lost, 0 to 1
    double duplication = 0;                       ///< share of messages delivered twice, 0 to 1
};

/// Network that carries messages of type `message` between processes.
template<class message>
class fake_network
{
public:
    using receiver = std::function<void(const process_id &from, const message &)>;
    /// Called for each message before it is sent; returns false to drop it.
    using filter
        = std::function<bool(const process_id &from, const process_id &to, const message &)>;

    explicit fake_network(virtual_clock *clock)
        : m_clock(clock)
    { }

    void attach(const process_id &process, receiver handler)
    {
        m_receivers[process] = std::move(handler);
    }
    /// Messages to `process` are lost from now on.
    void detach(const process_id &process) { m_receivers.erase(process); }
    /// Sets the conditions of all links that have none of their own.
    void setConditions(link_conditions conditions) { m_conditions = conditions; }
    void setConditions(const process_id &from, const process_id &to, link_conditions conditions)
    {
        m_links[{from, to}] = conditions;
    }
    /// Drops all messages from `from` to `to`, also those under way. The other direction stays.
    void cut(const process_id &from, const process_id &to) { m_cuts.insert({from, to}); }
    void restore(const process_id &from, const process_id &to) { m_cuts.erase({from, to}); }
    void restoreAll() { m_cuts.clear(); }
    void setFilter(filter dropFilter) { m_filter = std::move(dropFilter); }
    /// Messages sent, including those that were lost.
    std::uint64_t sent() const { return m_sent; }

    /// Sends one message under the conditions of its link.
    void send(const process_id &from, const process_id &to, const message &payload)
    {
        ++m_sent;
        if (m_cuts.contains({from, to}) || (m_filter && !m_filter(from, to, payload)))
            return;
        const auto link = m_links.find({from, to});
        const link_conditions &conditions = link == m_links.end() ? m_conditions : link->second;
        if (m_clock->uniform() < conditions.loss)
            return;
        const int copies = m_clock->uniform() < conditions.duplication ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            deliver(from, to, payload, conditions.delay + conditions.jitter * m_clock->uniform());
    }

private:
    void deliver(const process_id &from, const process_id &to, const message &payload,
                 absl::Duration delay)
    {
        m_clock->after(delay, [this, from, to, payload] {
            const auto it = m_receivers.find(to);
            if (it == m_receivers.end() || m_cuts.contains({from, to}))
                return;
            const receiver handler = it->second; // the handler may detach itself
            handler(from, payload);
        });
    }

    virtual_clock *m_clock;
    link_conditions m_conditions;
    std::map<process_id, receiver> m_receivers;
    std::map<std::pair<process_id, process_id>, link_conditions> m_links;
    std::set<std::pair<process_id, process_id>> m_cuts;
    filter m_filter;
    std::uint64_t m_sent = 0;
};

} // namespace hyssoppond
