/// @file Control addresses of the live processes.
#include "hyssoppond/node/node_link_base.h"

#include <absl/random/random.h>

#include <algorithm>

namespace hyssoppond {

void address_book::set(const process_id &process, row value)
{
    const absl::MutexLock lock(&m_mutex);
    m_zones[value.controlAddress] = value.zone;
    m_rows[process] = std::move(value);
}

void address_book::erase(const process_id &process)
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_rows.find(process);
    if (it == m_rows.end())
        return;
    m_zones.erase(it->second.controlAddress);
    m_rows.erase(it);
}

std::optional<address_book::row> address_book::find(const process_id &process) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_rows.find(process);
    return it == m_rows.end() ? std::nullopt : std::optional<row>(it->second);
}

zone_id address_book::zoneOf(const address &controlAddress) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_zones.find(controlAddress);
    return it == m_zones.end() ? zone_id() : it->second;
}

std::vector<process_id> address_book::random(std::size_t count) const
{
    thread_local absl::BitGen generator;
    std::vector<process_id> chosen;
    const absl::MutexLock lock(&m_mutex);
    // Reservoir sampling: every subset of `count` processes is equally likely.
    std::size_t seen = 0;
    for (const auto &[process, value] : m_rows) {
        if (chosen.size() < count) {
            chosen.push_back(process);
        } else {
            const std::size_t slot = absl::Uniform<std::size_t>(generator, 0, seen + 1);
            if (slot < count)
                chosen[slot] = process;
        }
        ++seen;
    }
    return chosen;
}

std::vector<process_id> address_book::entriesAndAgentsPerZone(std::size_t agentsPerZone) const
{
    std::vector<process_id> chosen;
    std::map<zone_id, std::size_t> agents;
    const absl::MutexLock lock(&m_mutex);
    for (const auto &[process, value] : m_rows) {
        if (value.role == process_role::Entry || agents[value.zone]++ < agentsPerZone)
            chosen.push_back(process);
    }
    return chosen;
}

} // namespace hyssoppond
