/// @file Contracts of the guarantee book: changes, look-up of units, and units at risk.
#include "hyssoppond/policy/guarantee_book_base.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace hyssoppond {

bool guarantee_book::covers(const unit &promise, const shape &wanted)
{
    return !promise.removed && wanted.members <= promise.promised.members
        && wanted.acceleratorsPerMember <= promise.promised.acceleratorsPerMember
        && promise.promised.within <= wanted.within;
}

const contract *guarantee_book::find(const contract_id &id) const
{
    const auto found = m_contracts.find(id);
    return found == m_contracts.end() ? nullptr : &found->second;
}

void guarantee_book::setContract(const contract &promise, std::uint32_t zone)
{
    const auto known = m_contracts.find(promise.id);
    const bool sameShape = known != m_contracts.end() && known->second.promised == promise.promised
        && known->second.team == promise.team && known->second.zone == promise.zone;
    if (known != m_contracts.end() && !sameShape)
        removeContract(promise.id);
    m_contracts[promise.id] = promise;
    std::vector<unit_index> &units = m_unitsOf[promise.id];
    // A smaller count ends unused units first, so that gangs under contract stay under it.
    std::stable_partition(units.begin(), units.end(),
                          [this](unit_index which) { return m_units[which].inUse; });
    for (; units.size() > promise.count; units.pop_back())
        endUnit(units.back());
    while (units.size() < promise.count) {
        unit_index which = static_cast<unit_index>(m_units.size());
        if (m_freeSlots.empty()) {
            m_units.emplace_back();
        } else {
            which = m_freeSlots.back();
            m_freeSlots.pop_back();
        }
        m_units[which]
            = {promise.id, promise.team, promise.promised, zone, false, false, false, {}};
        units.push_back(which);
        m_unitsOfTeam[promise.team].push_back(which);
        m_unpacked.insert(which);
    }
    retryUnpacked();
}

void guarantee_book::endUnit(unit_index which)
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

void guarantee_book::removeContract(const contract_id &id)
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

void guarantee_book::setZone(const zone_id &zone, std::uint32_t number)
{
    for (unit &promise : m_units) {
        const contract *owner = find(promise.contract);
        if (owner != nullptr && owner->zone == zone)
            promise.zone = number;
    }
}

bool guarantee_book::hasTeam(const team_id &team) const
{
    const auto found = m_unitsOfTeam.find(team);
    return found != m_unitsOfTeam.end() && !found->second.empty();
}

bool guarantee_book::wouldFit(const contract &promise, std::uint32_t zone) const
{
    guarantee_book trial = *this;
    const std::size_t before = trial.m_unpacked.size();
    trial.setContract(promise, zone);
    return trial.m_unpacked.size() <= before;
}

std::optional<unit_index> guarantee_book::bestUnused(const std::vector<unit_index> &units,
                                                     const shape &wanted) const
{
    const auto rank = [this](unit_index index) {
        return std::pair(!m_units[index].packed, m_units[index].promised.accelerators());
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

std::optional<unit_index> guarantee_book::unusedUnit(const team_id &team, const shape &wanted) const
{
    const auto found = m_unitsOfTeam.find(team);
    return found == m_unitsOfTeam.end() ? std::nullopt : bestUnused(found->second, wanted);
}

std::optional<unit_index> guarantee_book::unusedUnit(const contract_id &id,
                                                     const shape &wanted) const
{
    const auto found = m_unitsOf.find(id);
    return found == m_unitsOf.end() ? std::nullopt : bestUnused(found->second, wanted);
}

std::vector<guarantee_risk> guarantee_book::atRisk() const
{
    std::map<contract_id, std::uint32_t> counts;
    for (const unit_index which : m_unpacked)
        ++counts[m_units[which].contract];
    std::vector<guarantee_risk> out;
    for (const auto &[id, gangs] : counts) {
        const shape &promised = m_contracts.at(id).promised;
        out.push_back({id, gangs,
                       absl::StrFormat("no %d x %d accelerators within one %s are free or borrowed "
                                       "beside the other guarantees; restore workers or reduce "
                                       "the contract",
                                       promised.members, promised.acceleratorsPerMember,
                                       std::string(AdjacencyNames.name(promised.within)))});
    }
    return out;
}

} // namespace hyssoppond
