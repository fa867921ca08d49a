/// @file Free accelerators of the bench, tracked independently of the scheduler's index.
#include "policy_simulation.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace hyssoppond::bench {

free_map::free_map(const std::vector<worker> &workers)
{
    std::map<std::string, std::vector<std::size_t>> racks;
    std::map<std::string, std::vector<std::size_t>> zones;
    for (const worker &machine : workers) {
        const std::size_t index = m_free.size();
        m_workerIndexes[machine.id] = index;
        m_free.push_back(static_cast<accelerator_mask>((1U << machine.accelerators) - 1));
        racks[absl::StrCat(machine.zone.str(), "/", machine.rack.str())].push_back(index);
        zones[machine.zone.str()].push_back(index);
    }
    for (const auto &[name, members] : racks)
        m_racks.push_back(members);
    for (const auto &[name, members] : zones)
        m_zones.push_back(members);
}

void free_map::update(const std::vector<gang_member> &members, bool allocate)
{
    for (const gang_member &member : members) {
        accelerator_mask &free = m_free[m_workerIndexes.at(member.worker)];
        const accelerator_mask expected = allocate ? member.accelerators : accelerator_mask {0};
        if ((free & member.accelerators) != expected)
            throw std::runtime_error("an accelerator was placed twice");
        free = static_cast<accelerator_mask>(free ^ member.accelerators);
    }
}

bool free_map::onlyAdjacencyMissing(const shape &wanted) const
{
    std::uint64_t total = 0;
    for (const accelerator_mask free : m_free)
        total += static_cast<std::uint64_t>(std::popcount(free));
    if (total < wanted.accelerators())
        return false;
    const auto membersOn = [&](std::size_t index) {
        return static_cast<std::uint32_t>(std::popcount(m_free[index]))
            / wanted.acceleratorsPerMember;
    };
    if (wanted.within == adjacency::Worker) {
        for (std::size_t index = 0; index < m_free.size(); ++index) {
            if (membersOn(index) >= wanted.members)
                return false;
        }
        return true;
    }
    const auto &domains = wanted.within == adjacency::Rack ? m_racks : m_zones;
    return std::none_of(domains.begin(), domains.end(), [&](const auto &domain) {
        std::uint32_t members = 0;
        for (const std::size_t index : domain)
            members += membersOn(index);
        return members >= wanted.members;
    });
}

} // namespace hyssoppond::bench
