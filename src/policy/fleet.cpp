/// @file Workers with their free accelerators, claims, reservations and conditions.
#include "hyssoppond/policy/fleet_base.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <bit>

namespace hyssoppond {

namespace {

/// The lowest `count` set bits of `free`.
accelerator_mask lowestBits(accelerator_mask free, std::uint32_t count)
{
    accelerator_mask out = 0;
    for (; count > 0 && free != 0; --count) {
        const auto bit = static_cast<accelerator_mask>(free & -free);
        out = static_cast<accelerator_mask>(out | bit);
        free = static_cast<accelerator_mask>(free ^ bit);
    }
    return out;
}

} // namespace

std::uint32_t fleet_worker::freeCount() const
{
    return static_cast<std::uint32_t>(std::popcount(free));
}

worker_index fleet::add(const worker &machine)
{
    if (const auto known = find(machine.id)) {
        m_workers[*known].present = true;
        m_workers[*known].machine.agent = machine.agent;
        m_totalWithAbsent.set(*known, machine.accelerators);
        return *known;
    }
    const auto index = static_cast<worker_index>(m_workers.size());
    m_workerIndexes[machine.id] = index;
    // Rack names are unique only within their zone.
    const std::string rackName = absl::StrCat(machine.zone.str(), "/", machine.rack.str());
    const auto rack
        = m_rackNumbers.try_emplace(rackName, static_cast<std::uint32_t>(m_rackNumbers.size()))
              .first->second;
    const auto zone
        = m_zoneNumbers
              .try_emplace(machine.zone.str(), static_cast<std::uint32_t>(m_zoneNumbers.size()))
              .first->second;
    m_available.add(rack, zone);
    m_total.add(rack, zone);
    m_totalWithAbsent.add(rack, zone);
    m_totalWithAbsent.set(index, machine.accelerators);
    fleet_worker &added = m_workers.emplace_back();
    added.machine = machine;
    added.free = static_cast<accelerator_mask>((1U << machine.accelerators) - 1);
    return index;
}

std::optional<worker_index> fleet::find(const worker_id &id) const
{
    const auto found = m_workerIndexes.find(id);
    if (found == m_workerIndexes.end())
        return std::nullopt;
    return found->second;
}

void fleet::refresh(worker_index index)
{
    const fleet_worker &worker = m_workers[index];
    const bool mayProbe = worker.condition == worker_condition::Probation && worker.gangs.empty();
    const bool acceptsWork = worker.present && !worker.reservedForStarved
        && (worker.condition == worker_condition::Usable || mayProbe);
    const std::uint32_t free = worker.freeCount();
    m_available.set(index, acceptsWork && free > worker.claimed ? free - worker.claimed : 0);
}

void fleet::refreshTotal(worker_index index)
{
    const fleet_worker &worker = m_workers[index];
    const std::uint32_t accelerators = worker.present ? worker.machine.accelerators : 0;
    m_accelerators += accelerators - m_total.available(index);
    m_total.set(index, accelerators);
}

std::uint32_t fleet::guaranteeCapacity(worker_index index) const
{
    const fleet_worker &worker = m_workers[index];
    return worker.present && worker.condition == worker_condition::Usable
        ? worker.machine.accelerators
        : 0;
}

void fleet::occupy(scheduled_job &job, const std::vector<gang_member> &members,
                   const gang_location &location)
{
    job.members = members;
    job.location = location;
    for (std::size_t i = 0; i < location.size(); ++i) {
        fleet_worker &worker = m_workers[location[i].worker];
        worker.free = static_cast<accelerator_mask>(worker.free & ~members[i].accelerators);
        if (std::find(worker.gangs.begin(), worker.gangs.end(), &job) == worker.gangs.end())
            worker.gangs.push_back(&job);
        refresh(location[i].worker);
    }
}

void fleet::vacate(scheduled_job &job)
{
    for (std::size_t i = 0; i < job.location.size(); ++i) {
        fleet_worker &worker = m_workers[job.location[i].worker];
        worker.free = static_cast<accelerator_mask>(worker.free | job.members[i].accelerators);
        std::erase(worker.gangs, &job);
        refresh(job.location[i].worker);
    }
    job.members.clear();
    job.location.clear();
}

std::vector<gang_member> fleet::membersAt(const gang_location &location) const
{
    std::vector<gang_member> out;
    out.reserve(location.size());
    // Free accelerators that remain on the workers visited so far.
    std::vector<std::pair<worker_index, accelerator_mask>> freeMasks;
    for (const worker_share &share : location) {
        auto found
            = std::find_if(freeMasks.rbegin(), freeMasks.rend(),
                           [&share](const auto &entry) { return entry.first == share.worker; });
        if (found == freeMasks.rend()) {
            freeMasks.emplace_back(share.worker, m_workers[share.worker].free);
            found = freeMasks.rbegin();
        }
        const accelerator_mask mask = lowestBits(found->second, share.accelerators);
        found->second = static_cast<accelerator_mask>(found->second & ~mask);
        const worker &machine = m_workers[share.worker].machine;
        out.push_back({machine.id, machine.agent, mask});
    }
    return out;
}

std::uint32_t fleet::zoneNumber(const zone_id &zone) const
{
    if (zone.isEmpty())
        return capacity_index::AnyZone;
    const auto found = m_zoneNumbers.find(zone.str());
    // A zone without workers has no number yet. No worker has the number AnyZone - 1.
    return found == m_zoneNumbers.end() ? capacity_index::AnyZone - 1 : found->second;
}

} // namespace hyssoppond
