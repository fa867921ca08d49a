/// @file Workers with their free accelerators, claims, reservations and conditions.
#pragma once

#include "hyssoppond/policy/capacity_index_base.h"
#include "hyssoppond/policy/decision_type.h"
#include "hyssoppond/policy/scheduled_job_type.h"
#include "hyssoppond/world/machine_type.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

namespace hyssoppond {

/// State of one worker in the scheduler.
struct fleet_worker
{
    worker machine;
    worker_condition condition = worker_condition::Usable;
    bool present = true; ///< false after removal; its index stays assigned
    accelerator_mask free = 0;
    std::uint32_t claimed = 0;          ///< accelerators being reclaimed for urgent jobs
    bool reservedForStarved = false;    ///< takes work of a starved gang only
    std::vector<scheduled_job *> gangs; ///< gangs with a member on this worker, each once
    std::uint32_t failures = 0;         ///< consecutive failed starts
    caller_id lastFailedCaller;
    absl::Duration quarantineDelay; ///< length of the next quarantine; doubles with each
    absl::Time quarantinedUntil;

    std::uint32_t freeCount() const;
};

/// All workers, with indexes of their available, present and recently present accelerators.
class fleet
{
public:
    explicit fleet(bool bestFit)
        : m_available(bestFit)
    { }

    /// Adds a worker, or marks a known one as present again; returns its index.
    worker_index add(const worker &machine);
    std::optional<worker_index> find(const worker_id &id) const;
    fleet_worker &at(worker_index index) { return m_workers[index]; }
    const fleet_worker &at(worker_index index) const { return m_workers[index]; }
    std::size_t size() const { return m_workers.size(); }

    /// Updates the worker in `available`; must be called after each change of the worker.
    void refresh(worker_index index);
    /// Updates the worker in `total`; must be called when it appears or is removed.
    void refreshTotal(worker_index index);
    /// Removes an absent worker from `totalWithAbsent`.
    void dropAbsent(worker_index index) { m_totalWithAbsent.set(index, 0); }
    /// Accelerators of the worker that may serve guarantees: 0 unless it is present and Usable.
    std::uint32_t guaranteeCapacity(worker_index index) const;

    /// Marks the accelerators of the members as used by the job.
    void occupy(scheduled_job &job, const std::vector<gang_member> &members,
                const gang_location &location);
    /// Frees the accelerators of the job.
    void vacate(scheduled_job &job);
    /// Chooses free accelerators at a location. Its workers must have enough of them.
    std::vector<gang_member> membersAt(const gang_location &location) const;

    /// Free accelerators that normal work may take: neither claimed nor reserved, and on workers
    /// whose condition allows it.
    const capacity_index &available() const { return m_available; }
    /// All accelerators of present workers, free or not.
    const capacity_index &total() const { return m_total; }
    /// All accelerators of present workers and of workers absent for a short time.
    const capacity_index &totalWithAbsent() const { return m_totalWithAbsent; }
    bool hasZone(const zone_id &zone) const { return m_zoneNumbers.contains(zone.str()); }
    /// Number of the zone for capacity_index: AnyZone if `zone` is empty, and a number that no
    /// worker has while the zone has no workers.
    std::uint32_t zoneNumber(const zone_id &zone) const;
    /// Sum over all present workers.
    std::uint32_t accelerators() const { return m_accelerators; }

private:
    std::vector<fleet_worker> m_workers;
    absl::flat_hash_map<worker_id, worker_index> m_workerIndexes;
    absl::flat_hash_map<std::string, std::uint32_t> m_rackNumbers; ///< by "zone/rack"
    absl::flat_hash_map<std::string, std::uint32_t> m_zoneNumbers;
    capacity_index m_available;
    capacity_index m_total;
    capacity_index m_totalWithAbsent;
    std::uint32_t m_accelerators = 0;
};

} // namespace hyssoppond
