/// @file Contracts of the guarantee packing: changes, look-up of units, and units at risk.
#include "hyssoppond/policy/guarantee_packing_base.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace hyssoppond {

bool guarantee_packing::covers(const unit &guarantee, const shape &wanted)
{
    return !guarantee.removed && wanted.members <= guarantee.guaranteed.members
        && wanted.acceleratorsPerMember <= guarantee.guaranteed.acceleratorsPerMember
        && guarantee.guaranteed.within <= wanted.within;
}

const contract *guarantee_packing::find(const contract_id &id) const
{
    const auto found = m_contracts.find(id);
    return found == m_contracts.end() ? nullptr : &found->second;
}

void guarantee_packing::setContract(const contract &guarantee, std::uint32_t zone)
{
    const auto known = m_contracts.find(guarantee.id);
    const bool sameShape = known != m_contracts.end()
        && known->second.guaranteed == guarantee.guaranteed && known->second.team == guarantee.team
        && known->second.zone == guarantee.zone;
    if (known != m_contracts.end() && !sameShape)
        removeContract(guarantee.id);
    m_contracts[guarantee.id] = guarantee;
    std::vector<unit_index> &units = m_unitsOf[guarantee.id];
    // A smaller count ends unused units first, so that gangs under contract stay under it.
    std::stable_partition(units.begin(), units.end(),
                          [this](unit_index which) { return m_units[which].inUse; });
    for (; units.size() > guarantee.count; units.pop_back())
        endUnit(units.back());
    while (units.size() < guarantee.count) {
        unit_index which = static_cast<unit_index>(m_units.size());
        if (m_freeSlots.empty()) {
            m_units.emplace_back();
        } else {
            which = m_freeSlots.back();
            m_freeSlots.pop_back();
        }
        m_units[which]
            = {guarantee.id, guarantee.team, guarantee.guaranteed, zone, false, false, false, {}};
        units.push_back(which);
        m_unitsOfTeam[guarantee.team].push_back(which);
        m_unpacked.insert(which);
    }
    retryUnpacked();
}

void guarantee_packing::endUnit(unit_index which)
{
    unit &ended = m_units[which];
    ended.removed = true;
    std::erase(m_unitsOfTeam[ended.team], which);
    if (ended.inUse)
        return; // the gang keeps its accelerators until it ends
    unreserve(which);
    m_unpacked.erase(which);
    m_freeSlots.push_back(which);
}

void guarantee_packing::removeContract(const contract_id &id)
{
    const auto found = m_contracts.find(id);
    if (found == m_contracts.end())
        return;
    for (const unit_index which : m_unitsOf[id])
        endUnit(which);
    m_unitsOf.erase(id);
    m_contracts.erase(found);
    retryUnpacked();
}

void guarantee_packing::setZone(const zone_id &zone, std::uint32_t number)
{
    for (unit &guarantee : m_units) {
        const contract *owner = find(guarantee.contract);
        if (owner != nullptr && owner->zone == zone)
            guarantee.zone = number;
    }
}

bool guarantee_packing::hasTeam(const team_id &team) const
{
    const auto found = m_unitsOfTeam.find(team);
    return found != m_unitsOfTeam.end() && !found->second.empty();
}

bool guarantee_packing::wouldFit(const contract &guarantee, std::uint32_t zone) const
{
    guarantee_packing trial = *this;
    const std::size_t before = trial.m_unpacked.size();
    trial.setContract(guarantee, zone);
    return trial.m_unpacked.size() <= before;
}

std::optional<unit_index> guarantee_packing::bestUnused(const std::vector<unit_index> &units,
                                                        const shape &wanted) const
{
    const auto rank = [this](unit_index index) {
        return std::pair(!m_units[index].packed, m_units[index].guaranteed.accelerators());
    };
    std::optional<unit_index> best;
    for (const unit_index which : units) {
        ++m_steps;
        const unit &candidate = m_units[which];
        if (candidate.inUse || !covers(candidate, wanted))
            continue;
        if (!best || rank(which) < rank(*best))
            best = which;
    }
    return best;
}

std::optional<unit_index> guarantee_packing::unusedUnit(const team_id &team,
                                                        const shape &wanted) const
{
    const auto found = m_unitsOfTeam.find(team);
    return found == m_unitsOfTeam.end() ? std::nullopt : bestUnused(found->second, wanted);
}

std::optional<unit_index> guarantee_packing::unusedUnit(const contract_id &id,
                                                        const shape &wanted) const
{
    const auto found = m_unitsOf.find(id);
    return found == m_unitsOf.end() ? std::nullopt : bestUnused(found->second, wanted);
}

std::vector<guarantee_risk> guarantee_packing::atRisk() const
{
    std::map<contract_id, std::uint32_t> counts;
    for (const unit_index which : m_unpacked)
        ++counts[m_units[which].contract];
    std::vector<guarantee_risk> out;
    for (const auto &[id, gangs] : counts) {
        const shape &guaranteed = m_contracts.at(id).guaranteed;
        out.push_back({id, gangs,
                       absl::StrFormat("no %d x %d accelerators within one %s are free or borrowed "
                                       "beside the other guarantees; restore workers or reduce "
                                       "the contract",
                                       guaranteed.members, guaranteed.acceleratorsPerMember,
                                       std::string(AdjacencyNames.name(guaranteed.within)))});
    }
    return out;
}

} // namespace hyssoppond
