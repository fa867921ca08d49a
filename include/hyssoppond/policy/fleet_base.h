/// @file Workers with their free accelerators, claims, holds and conditions.
#pragma once

#include "hyssoppond/policy/capacity_index_base.h"
#include "hyssoppond/policy/decision_type.h"
#include "hyssoppond/policy/job_entry_type.h"
#include "hyssoppond/world/machine_type.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

namespace hyssoppond {

/// One worker as the scheduler sees it.
struct fleet_worker
{
    worker machine;
    worker_condition condition = worker_condition::Usable;
    bool present = true; ///< false after removal; the number is kept
    accelerator_mask free = 0;
    std::uint32_t claimed = 0;      ///< accelerators being reclaimed for urgent jobs
    bool held = false;              ///< kept for a starved gang
    std::vector<job_entry *> gangs; ///< gangs with a member here, each once
    std::uint32_t failures = 0;     ///< consecutive failed starts
    caller_id lastFailedCaller;
    absl::Duration quarantineDelay; ///< setting of the next quarantine; doubles on each
    absl::Time quarantinedUntil;

    std::uint32_t freeCount() const;
};

/// The fleet and the index of what normal work may take.
class fleet
{
public:
    explicit fleet(bool bestFit)
        : m_free(bestFit)
    { }

    /// Adds a worker or announces it again; returns its number.
    worker_index add(const worker &machine);
    std::optional<worker_index> find(const worker_id &id) const;
    fleet_worker &at(worker_index index) { return m_workers[index]; }
    const fleet_worker &at(worker_index index) const { return m_workers[index]; }
    std::size_t size() const { return m_workers.size(); }

    /// Writes the worker's available accelerators to the index; call after each change.
    void refresh(worker_index index);
    /// Writes the worker's accelerators to the index of what shapes are possible at all.
    void refreshTotal(worker_index index);
    /// Ends the time in which an absent worker still counts as possible.
    void forget(worker_index index) { m_known.set(index, 0); }
    /// Accelerators that the worker's condition lets guarantees count on.
    std::uint32_t guaranteeCapacity(worker_index index) const;

    void occupy(job_entry &job, const std::vector<gang_member> &members, const gang_location &at);
    void vacate(job_entry &job);
    /// Chooses accelerators at a location; the location must fit what is free.
    std::vector<gang_member> membersAt(const gang_location &at) const;

    const capacity_index &free() const { return m_free; }
    const capacity_index &total() const { return m_total; }
    /// All accelerators, also of workers that have been absent for a short time.
    const capacity_index &known() const { return m_known; }
    bool hasZone(const zone_id &zone) const { return m_zones.contains(zone.str()); }
    /// Number for capacity_index; one that matches no worker while the zone has none.
    std::uint32_t zoneNumber(const zone_id &zone) const;
    std::uint32_t accelerators() const { return m_accelerators; }

private:
    std::vector<fleet_worker> m_workers;
    absl::flat_hash_map<worker_id, worker_index> m_numbers;
    absl::flat_hash_map<std::string, std::uint32_t> m_racks;
    absl::flat_hash_map<std::string, std::uint32_t> m_zones;
    capacity_index m_free;
    capacity_index m_total;
    capacity_index m_known;
    std::uint32_t m_accelerators = 0;
};

} // namespace hyssoppond
