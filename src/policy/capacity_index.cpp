/// @file Index of available accelerators per worker, rack and zone.
#include "hyssoppond/policy/capacity_index_base.h"

#include <algorithm>
#include <bit>

namespace hyssoppond {

void capacity_index::add(std::uint32_t rack, std::uint32_t zone)
{
    if (m_racks.size() <= rack)
        m_racks.resize(rack + 1);
    if (m_zones.size() <= zone)
        m_zones.resize(zone + 1);
    const auto worker = static_cast<worker_index>(m_workers.size());
    m_workers.push_back({rack, zone, 0});
    rack_node &node = m_racks[rack];
    if (node.workers.empty()) {
        for (std::uint32_t size = 1; size < SizeCount; ++size) {
            m_zones[zone].racks[size].emplace(0, rack);
            m_allZones.racks[size].emplace(0, rack);
        }
    }
    node.workers.push_back(worker);
    m_zones[zone].workers.emplace(0, worker);
    m_allZones.workers.emplace(0, worker);
}

void capacity_index::updateRackRank(zone_node &changedZone, std::uint32_t size, std::uint32_t rack,
                                    std::uint32_t before, std::uint32_t after)
{
    m_steps += 2 * std::bit_width(changedZone.racks[size].size());
    changedZone.racks[size].erase({before, rack});
    changedZone.racks[size].emplace(after, rack);
}

void capacity_index::updateWorkerRank(zone_node &changedZone, worker_index worker,
                                      std::uint32_t before, std::uint32_t after)
{
    m_steps += 2 * std::bit_width(changedZone.workers.size());
    changedZone.workers.erase({before, worker});
    changedZone.workers.emplace(after, worker);
}

void capacity_index::set(worker_index worker, std::uint32_t available)
{
    worker_node &node = m_workers[worker];
    const std::uint32_t before = node.available;
    if (before == available)
        return;
    zone_node &zone = m_zones[node.zone];
    rack_node &rack = m_racks[node.rack];
    updateWorkerRank(zone, worker, before, available);
    updateWorkerRank(m_allZones, worker, before, available);
    node.available = available;
    m_total = m_total - before + available;
    for (std::uint32_t size = 1; size < SizeCount; ++size) {
        if (before / size == available / size)
            continue;
        const std::uint32_t fittingMembers
            = rack.fittingMembers[size] - before / size + available / size;
        updateRackRank(zone, size, node.rack, rack.fittingMembers[size], fittingMembers);
        updateRackRank(m_allZones, size, node.rack, rack.fittingMembers[size], fittingMembers);
        zone.fittingMembers[size] = zone.fittingMembers[size] - before / size + available / size;
        m_allZones.fittingMembers[size]
            = m_allZones.fittingMembers[size] - before / size + available / size;
        rack.fittingMembers[size] = fittingMembers;
    }
}

capacity_index::ranking::const_iterator capacity_index::firstAtLeast(const ranking &candidates,
                                                                     std::uint32_t amount) const
{
    m_steps += std::bit_width(candidates.size());
    return candidates.lower_bound({amount, 0});
}

std::optional<std::uint32_t> capacity_index::leftoverIn(const zone_node &zone,
                                                        const shape &wanted) const
{
    ++m_steps;
    const std::uint32_t size = wanted.acceleratorsPerMember;
    if (size == 0 || size >= SizeCount || zone.fittingMembers[size] < wanted.members)
        return std::nullopt;
    if (wanted.within == adjacency::Zone)
        return zone.fittingMembers[size] - wanted.members;
    const bool oneWorker = wanted.within == adjacency::Worker;
    const ranking &candidates = oneWorker ? zone.workers : zone.racks[size];
    const auto amount
        = static_cast<std::uint32_t>(oneWorker ? wanted.accelerators() : wanted.members);
    const auto found = firstAtLeast(candidates, amount);
    if (found == candidates.end())
        return std::nullopt;
    return found->first - amount;
}

bool capacity_index::fits(const shape &wanted, std::uint32_t zone) const
{
    if (zone != AnyZone)
        return zone < m_zones.size() && leftoverIn(m_zones[zone], wanted).has_value();
    if (wanted.within != adjacency::Zone)
        return leftoverIn(m_allZones, wanted).has_value();
    return std::any_of(m_zones.begin(), m_zones.end(),
                       [&](const zone_node &node) { return leftoverIn(node, wanted).has_value(); });
}

std::optional<gang_location> capacity_index::find(const shape &wanted, std::uint32_t zone) const
{
    if (zone == AnyZone && wanted.within != adjacency::Zone) {
        if (!leftoverIn(m_allZones, wanted))
            return std::nullopt;
        return locate(m_allZones, wanted);
    }
    const zone_node *best = nullptr;
    std::uint32_t bestLeftover = UINT32_MAX;
    for (std::uint32_t i = 0; i < m_zones.size(); ++i) {
        if (zone != AnyZone && zone != i)
            continue;
        const auto leftover = leftoverIn(m_zones[i], wanted);
        if (leftover && (best == nullptr || *leftover < bestLeftover)) {
            best = &m_zones[i];
            bestLeftover = *leftover;
            if (!m_bestFit)
                break;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return locate(*best, wanted);
}

gang_location capacity_index::locate(const zone_node &zone, const shape &wanted) const
{
    gang_location out;
    out.reserve(wanted.members);
    const std::uint32_t size = wanted.acceleratorsPerMember;
    if (wanted.within == adjacency::Worker) {
        const auto amount = static_cast<std::uint32_t>(wanted.accelerators());
        auto found = firstAtLeast(zone.workers, amount);
        if (!m_bestFit)
            found = std::prev(zone.workers.end());
        out.assign(wanted.members, {found->second, size});
        return out;
    }
    const auto rack = firstAtLeast(zone.racks[size], wanted.members);
    if (rack != zone.racks[size].end())
        fillRack(rack->second, wanted.members, size, out);
    else
        fillZone(zone, wanted, out);
    return out;
}

void capacity_index::fillRack(std::uint32_t rack, std::uint32_t members, std::uint32_t size,
                              gang_location &out) const
{
    std::vector<std::pair<std::uint32_t, worker_index>> ranked; // (available, worker)
    for (const worker_index worker : m_racks[rack].workers) {
        ++m_steps;
        if (m_workers[worker].available >= size)
            ranked.emplace_back(m_workers[worker].available, worker);
    }
    std::sort(ranked.begin(), ranked.end());
    while (members > 0 && !ranked.empty()) {
        auto chosen = std::lower_bound(ranked.begin(), ranked.end(),
                                       std::pair {members * size, worker_index {0}});
        if (chosen == ranked.end())
            --chosen;
        const std::uint32_t count = std::min(members, chosen->first / size);
        out.insert(out.end(), count, {chosen->second, size});
        members -= count;
        ranked.erase(chosen);
    }
}

void capacity_index::fillZone(const zone_node &zone, const shape &wanted, gang_location &out) const
{
    const std::uint32_t size = wanted.acceleratorsPerMember;
    const ranking &racks = zone.racks[size];
    std::uint32_t members = wanted.members;
    for (auto rack = racks.rbegin(); rack != racks.rend() && members > 0; ++rack) {
        ++m_steps;
        // If one rack holds all remaining members, the smallest such rack is used, so that large
        // racks stay whole.
        const auto smallestFitting = firstAtLeast(racks, members);
        const bool isLast = smallestFitting != racks.end() && smallestFitting->first <= rack->first;
        const auto &chosen = isLast ? *smallestFitting : *rack;
        const std::uint32_t count = std::min(members, chosen.first);
        fillRack(chosen.second, count, size, out);
        members -= count;
    }
}

std::vector<worker_index> capacity_index::nearest(const shape &wanted) const
{
    const std::uint32_t size = wanted.acceleratorsPerMember;
    const zone_node *best = nullptr;
    for (const zone_node &zone : m_zones) {
        if (best == nullptr || zone.fittingMembers[size] > best->fittingMembers[size])
            best = &zone;
    }
    if (best == nullptr || size >= SizeCount)
        return {};
    if (wanted.within == adjacency::Rack)
        return m_racks[best->racks[size].rbegin()->second].workers;
    std::vector<worker_index> out;
    const std::size_t limit = wanted.within == adjacency::Worker ? 1 : wanted.members;
    for (auto entry = best->workers.rbegin(); entry != best->workers.rend() && out.size() < limit;
         ++entry)
        out.push_back(entry->second);
    return out;
}

} // namespace hyssoppond
