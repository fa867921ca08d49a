/// @file Packing of the unused guarantees: reservations, uses and their undo.
#include "hyssoppond/policy/guarantee_packing_base.h"

#include <algorithm>
#include <tuple>

namespace hyssoppond {

void guarantee_packing::addWorker(std::uint32_t rack, std::uint32_t zone)
{
    m_open.add(rack, zone);
    m_workers.emplace_back();
}

void guarantee_packing::refresh(worker_index worker)
{
    const worker_entry &entry = m_workers[worker];
    const std::uint32_t taken = entry.inUse + entry.reserved;
    m_open.set(worker, entry.capacity > taken ? entry.capacity - taken : 0);
}

void guarantee_packing::reserve(unit_index which, const gang_location &at)
{
    for (const worker_share &share : at) {
        m_workers[share.worker].reserved += share.accelerators;
        m_workers[share.worker].units.push_back(which);
        refresh(share.worker);
    }
    m_units[which].at = at;
    m_units[which].packed = true;
    m_unpacked.erase(which);
}

void guarantee_packing::unreserve(unit_index which)
{
    unit &guarantee = m_units[which];
    if (!guarantee.packed)
        return;
    for (const worker_share &share : guarantee.at) {
        worker_entry &entry = m_workers[share.worker];
        entry.reserved -= share.accelerators;
        entry.units.erase(std::find(entry.units.begin(), entry.units.end(), which));
        refresh(share.worker);
    }
    guarantee.at.clear();
    guarantee.packed = false;
    if (!guarantee.inUse && !guarantee.removed)
        m_unpacked.insert(which);
}

void guarantee_packing::occupy(const gang_location &at, bool add)
{
    for (const worker_share &share : at) {
        worker_entry &entry = m_workers[share.worker];
        entry.inUse = add ? entry.inUse + share.accelerators : entry.inUse - share.accelerators;
        refresh(share.worker);
    }
}

bool guarantee_packing::pack(unit_index which)
{
    const auto at = m_open.find(m_units[which].guaranteed, m_units[which].zone);
    if (!at)
        return false;
    reserve(which, *at);
    return true;
}

std::vector<unit_index> guarantee_packing::evictFrom(
    const gang_location &at, std::vector<std::pair<unit_index, gang_location>> &before)
{
    std::vector<unit_index> evicted;
    for (const worker_share &share : at) {
        worker_entry &entry = m_workers[share.worker];
        while (!entry.units.empty() && entry.inUse + entry.reserved > entry.capacity) {
            const unit_index last = entry.units.back();
            before.emplace_back(last, m_units[last].at);
            unreserve(last);
            evicted.push_back(last);
        }
    }
    return evicted;
}

bool guarantee_packing::packAll(std::vector<unit_index> units)
{
    // Large units first, and among equals the ones that must be nearest together.
    std::sort(units.begin(), units.end(), [this](unit_index a, unit_index b) {
        const shape &left = m_units[a].guaranteed;
        const shape &right = m_units[b].guaranteed;
        return std::tuple(right.acceleratorsPerMember, right.accelerators(), left.within, a)
            < std::tuple(left.acceleratorsPerMember, left.accelerators(), right.within, b);
    });
    bool all = true;
    for (const unit_index which : units)
        all = pack(which) && all;
    return all;
}

std::optional<guarantee_packing::use_record> guarantee_packing::use(unit_index which,
                                                                    const gang_location &at,
                                                                    bool strict)
{
    use_record record {which, {}};
    unit &guarantee = m_units[which];
    record.before.emplace_back(which, guarantee.at);
    unreserve(which);
    m_unpacked.erase(which);
    guarantee.inUse = true;
    guarantee.at = at;
    occupy(at, true);
    std::vector<unit_index> evicted = evictFrom(at, record.before);
    const bool overfull = std::any_of(at.begin(), at.end(), [this](const worker_share &share) {
        return m_workers[share.worker].inUse > m_workers[share.worker].capacity;
    });
    const bool packed = packAll(std::move(evicted));
    if (strict && (overfull || !packed)) {
        undo(record);
        return std::nullopt;
    }
    return record;
}

void guarantee_packing::undo(const use_record &record)
{
    occupy(m_units[record.unit].at, false);
    m_units[record.unit].inUse = false;
    m_units[record.unit].at.clear();
    for (const auto &moved : record.before)
        unreserve(moved.first);
    for (const auto &[which, at] : record.before) {
        if (!at.empty())
            reserve(which, at);
        else
            m_unpacked.insert(which);
    }
}

void guarantee_packing::release(unit_index which)
{
    unit &ended = m_units[which];
    occupy(ended.at, false);
    ended.at.clear();
    ended.inUse = false;
    if (ended.removed)
        m_freeSlots.push_back(which);
    else
        m_unpacked.insert(which);
    retryUnpacked();
}

void guarantee_packing::retryUnpacked()
{
    if (m_unpacked.empty())
        return;
    if (!packAll({m_unpacked.begin(), m_unpacked.end()}))
        repackEverything();
}

bool guarantee_packing::repackEverything()
{
    std::vector<std::pair<unit_index, gang_location>> before;
    std::vector<unit_index> all;
    const std::size_t unpackedBefore = m_unpacked.size();
    for (unit_index which = 0; which < m_units.size(); ++which) {
        const unit &guarantee = m_units[which];
        if (guarantee.inUse || guarantee.removed)
            continue;
        before.emplace_back(which, guarantee.at);
        all.push_back(which);
        unreserve(which);
    }
    m_steps += all.size();
    packAll(all);
    if (m_unpacked.size() < unpackedBefore)
        return m_unpacked.empty();
    // The new packing is no better: restore the old one, which keeps reservations stable.
    for (const unit_index which : all)
        unreserve(which);
    for (const auto &[which, at] : before) {
        if (!at.empty())
            reserve(which, at);
    }
    return false;
}

void guarantee_packing::setCapacity(worker_index worker, std::uint32_t accelerators)
{
    const std::uint32_t before = m_workers[worker].capacity;
    m_workers[worker].capacity = accelerators;
    refresh(worker);
    if (accelerators < before) {
        std::vector<std::pair<unit_index, gang_location>> moved;
        evictFrom({{worker, 0}}, moved);
    }
    retryUnpacked();
}

} // namespace hyssoppond
