/// @file Contracts of the guarantee packing: changes, look-up of guarantees, and those at risk.
#include "hyssoppond/policy/guarantee_packing_base.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace hyssoppond {

bool guarantee_packing::covers(const guaranteed_gang &guarantee, const shape &wanted)
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

void guarantee_packing::setContract(const contract &value, std::uint32_t zone)
{
    const auto known = m_contracts.find(value.id);
    const bool sameShape = known != m_contracts.end()
        && known->second.guaranteed == value.guaranteed && known->second.team == value.team
        && known->second.zone == value.zone;
    if (known != m_contracts.end() && !sameShape)
        removeContract(value.id);
    m_contracts[value.id] = value;
    std::vector<guarantee_index> &guarantees = m_guaranteesOfContract[value.id];
    // A smaller count ends unused guarantees first, so that gangs that run under the contract keep
    // theirs.
    std::stable_partition(
        guarantees.begin(), guarantees.end(),
        [this](guarantee_index guaranteeIndex) { return m_guarantees[guaranteeIndex].inUse; });
    for (; guarantees.size() > value.count; guarantees.pop_back())
        endGuarantee(guarantees.back());
    while (guarantees.size() < value.count) {
        guarantee_index guaranteeIndex = static_cast<guarantee_index>(m_guarantees.size());
        if (m_freeSlots.empty()) {
            m_guarantees.emplace_back();
        } else {
            guaranteeIndex = m_freeSlots.back();
            m_freeSlots.pop_back();
        }
        m_guarantees[guaranteeIndex]
            = {value.id, value.team, value.guaranteed, zone, false, false, false, {}};
        guarantees.push_back(guaranteeIndex);
        m_guaranteesOfTeam[value.team].push_back(guaranteeIndex);
        m_unpacked.insert(guaranteeIndex);
    }
    retryUnpacked();
}

void guarantee_packing::endGuarantee(guarantee_index guaranteeIndex)
{
    guaranteed_gang &ended = m_guarantees[guaranteeIndex];
    ended.removed = true;
    std::erase(m_guaranteesOfTeam[ended.team], guaranteeIndex);
    if (ended.inUse)
        return; // the gang keeps its accelerators until it ends
    unreserve(guaranteeIndex);
    m_unpacked.erase(guaranteeIndex);
    m_freeSlots.push_back(guaranteeIndex);
}

void guarantee_packing::removeContract(const contract_id &id)
{
    const auto found = m_contracts.find(id);
    if (found == m_contracts.end())
        return;
    for (const guarantee_index guaranteeIndex : m_guaranteesOfContract[id])
        endGuarantee(guaranteeIndex);
    m_guaranteesOfContract.erase(id);
    m_contracts.erase(found);
    retryUnpacked();
}

void guarantee_packing::setZone(const zone_id &zone, std::uint32_t number)
{
    for (guaranteed_gang &guarantee : m_guarantees) {
        const contract *owner = find(guarantee.contract);
        if (owner != nullptr && owner->zone == zone)
            guarantee.zone = number;
    }
}

bool guarantee_packing::hasTeam(const team_id &team) const
{
    const auto found = m_guaranteesOfTeam.find(team);
    return found != m_guaranteesOfTeam.end() && !found->second.empty();
}

bool guarantee_packing::wouldFit(const contract &value, std::uint32_t zone) const
{
    guarantee_packing trial = *this;
    const std::size_t before = trial.m_unpacked.size();
    trial.setContract(value, zone);
    return trial.m_unpacked.size() <= before;
}

std::optional<guarantee_index> guarantee_packing::bestUnused(
    const std::vector<guarantee_index> &guarantees, const shape &wanted) const
{
    const auto rank = [this](guarantee_index index) {
        return std::pair(!m_guarantees[index].packed,
                         m_guarantees[index].guaranteed.accelerators());
    };
    std::optional<guarantee_index> best;
    for (const guarantee_index guaranteeIndex : guarantees) {
        ++m_steps;
        const guaranteed_gang &candidate = m_guarantees[guaranteeIndex];
        if (candidate.inUse || !covers(candidate, wanted))
            continue;
        if (!best || rank(guaranteeIndex) < rank(*best))
            best = guaranteeIndex;
    }
    return best;
}

std::optional<guarantee_index> guarantee_packing::unusedGuarantee(const team_id &team,
                                                                  const shape &wanted) const
{
    const auto found = m_guaranteesOfTeam.find(team);
    return found == m_guaranteesOfTeam.end() ? std::nullopt : bestUnused(found->second, wanted);
}

std::optional<guarantee_index> guarantee_packing::unusedGuarantee(const contract_id &id,
                                                                  const shape &wanted) const
{
    const auto found = m_guaranteesOfContract.find(id);
    return found == m_guaranteesOfContract.end() ? std::nullopt : bestUnused(found->second, wanted);
}

std::vector<guarantee_risk> guarantee_packing::atRisk() const
{
    std::map<contract_id, std::uint32_t> counts;
    for (const guarantee_index guaranteeIndex : m_unpacked)
        ++counts[m_guarantees[guaranteeIndex].contract];
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
