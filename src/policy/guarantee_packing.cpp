/// @file Packing of the unused guarantees: reserving accelerators, putting guarantees in use, undo.
#include "hyssoppond/policy/guarantee_packing_base.h"

#include <algorithm>
#include <tuple>

namespace hyssoppond {

void guarantee_packing::addWorker(std::uint32_t rack, std::uint32_t zone)
{
    m_unreserved.add(rack, zone);
    m_workers.emplace_back();
}

void guarantee_packing::refresh(worker_index worker)
{
    const worker_entry &entry = m_workers[worker];
    const std::uint32_t taken = entry.inUse + entry.reserved;
    m_unreserved.set(worker, entry.capacity > taken ? entry.capacity - taken : 0);
}

void guarantee_packing::reserve(guarantee_index guaranteeIndex, const gang_location &location)
{
    for (const worker_share &share : location) {
        m_workers[share.worker].reserved += share.accelerators;
        m_workers[share.worker].guarantees.push_back(guaranteeIndex);
        refresh(share.worker);
    }
    m_guarantees[guaranteeIndex].location = location;
    m_guarantees[guaranteeIndex].packed = true;
    m_unpacked.erase(guaranteeIndex);
}

void guarantee_packing::unreserve(guarantee_index guaranteeIndex)
{
    guaranteed_gang &guarantee = m_guarantees[guaranteeIndex];
    if (!guarantee.packed)
        return;
    for (const worker_share &share : guarantee.location) {
        worker_entry &entry = m_workers[share.worker];
        entry.reserved -= share.accelerators;
        entry.guarantees.erase(
            std::find(entry.guarantees.begin(), entry.guarantees.end(), guaranteeIndex));
        refresh(share.worker);
    }
    guarantee.location.clear();
    guarantee.packed = false;
    if (!guarantee.inUse && !guarantee.removed)
        m_unpacked.insert(guaranteeIndex);
}

void guarantee_packing::occupy(const gang_location &location, bool add)
{
    for (const worker_share &share : location) {
        worker_entry &entry = m_workers[share.worker];
        entry.inUse = add ? entry.inUse + share.accelerators : entry.inUse - share.accelerators;
        refresh(share.worker);
    }
}

bool guarantee_packing::pack(guarantee_index guaranteeIndex)
{
    const auto location = m_unreserved.find(m_guarantees[guaranteeIndex].guaranteed,
                                            m_guarantees[guaranteeIndex].zone);
    if (!location)
        return false;
    reserve(guaranteeIndex, *location);
    return true;
}

std::vector<guarantee_index> guarantee_packing::displaceFrom(
    const gang_location &location, std::vector<std::pair<guarantee_index, gang_location>> &before)
{
    std::vector<guarantee_index> displaced;
    for (const worker_share &share : location) {
        worker_entry &entry = m_workers[share.worker];
        while (!entry.guarantees.empty() && entry.inUse + entry.reserved > entry.capacity) {
            const guarantee_index last = entry.guarantees.back();
            before.emplace_back(last, m_guarantees[last].location);
            unreserve(last);
            displaced.push_back(last);
        }
    }
    return displaced;
}

bool guarantee_packing::packAll(std::vector<guarantee_index> guarantees)
{
    // Large guarantees are the hardest to place and go first; among equals, the one with the
    // narrowest adjacency.
    std::sort(guarantees.begin(), guarantees.end(), [this](guarantee_index a, guarantee_index b) {
        const shape &left = m_guarantees[a].guaranteed;
        const shape &right = m_guarantees[b].guaranteed;
        return std::tuple(right.acceleratorsPerMember, right.accelerators(), left.within, a)
            < std::tuple(left.acceleratorsPerMember, left.accelerators(), right.within, b);
    });
    bool all = true;
    for (const guarantee_index guaranteeIndex : guarantees)
        all = pack(guaranteeIndex) && all;
    return all;
}

std::optional<guarantee_packing::use_record> guarantee_packing::use(guarantee_index guaranteeIndex,
                                                                    const gang_location &location,
                                                                    bool strict)
{
    use_record record {guaranteeIndex, {}};
    guaranteed_gang &guarantee = m_guarantees[guaranteeIndex];
    record.before.emplace_back(guaranteeIndex, guarantee.location);
    unreserve(guaranteeIndex);
    m_unpacked.erase(guaranteeIndex);
    guarantee.inUse = true;
    guarantee.location = location;
    occupy(location, true);
    std::vector<guarantee_index> displaced = displaceFrom(location, record.before);
    const bool overfull
        = std::any_of(location.begin(), location.end(), [this](const worker_share &share) {
              return m_workers[share.worker].inUse > m_workers[share.worker].capacity;
          });
    const bool packed = packAll(std::move(displaced));
    if (strict && (overfull || !packed)) {
        undo(record);
        return std::nullopt;
    }
    return record;
}

void guarantee_packing::undo(const use_record &record)
{
    occupy(m_guarantees[record.guaranteeIndex].location, false);
    m_guarantees[record.guaranteeIndex].inUse = false;
    m_guarantees[record.guaranteeIndex].location.clear();
    for (const auto &moved : record.before)
        unreserve(moved.first);
    for (const auto &[guaranteeIndex, location] : record.before) {
        if (!location.empty())
            reserve(guaranteeIndex, location);
        else
            m_unpacked.insert(guaranteeIndex);
    }
}

void guarantee_packing::release(guarantee_index guaranteeIndex)
{
    guaranteed_gang &ended = m_guarantees[guaranteeIndex];
    occupy(ended.location, false);
    ended.location.clear();
    ended.inUse = false;
    if (ended.removed)
        m_freeSlots.push_back(guaranteeIndex);
    else
        m_unpacked.insert(guaranteeIndex);
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
    std::vector<std::pair<guarantee_index, gang_location>> before;
    std::vector<guarantee_index> all;
    const std::size_t unpackedBefore = m_unpacked.size();
    for (guarantee_index guaranteeIndex = 0; guaranteeIndex < m_guarantees.size();
         ++guaranteeIndex) {
        const guaranteed_gang &guarantee = m_guarantees[guaranteeIndex];
        if (guarantee.inUse || guarantee.removed)
            continue;
        before.emplace_back(guaranteeIndex, guarantee.location);
        all.push_back(guaranteeIndex);
        unreserve(guaranteeIndex);
    }
    m_steps += all.size();
    packAll(all);
    if (m_unpacked.size() < unpackedBefore)
        return m_unpacked.empty();
    // The new packing is no better. Restoring the old one keeps reservations stable.
    for (const guarantee_index guaranteeIndex : all)
        unreserve(guaranteeIndex);
    for (const auto &[guaranteeIndex, location] : before) {
        if (!location.empty())
            reserve(guaranteeIndex, location);
    }
    return false;
}

void guarantee_packing::setCapacity(worker_index worker, std::uint32_t accelerators)
{
    const std::uint32_t before = m_workers[worker].capacity;
    m_workers[worker].capacity = accelerators;
    refresh(worker);
    if (accelerators < before) {
        std::vector<std::pair<guarantee_index, gang_location>> moved;
        displaceFrom({{worker, 0}}, moved);
    }
    retryUnpacked();
}

} // namespace hyssoppond
