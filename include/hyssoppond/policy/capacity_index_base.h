/// @file Index of available accelerators per worker, rack and zone.
#pragma once

#include "hyssoppond/world/job_type.h"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hyssoppond {

using worker_index = std::uint32_t;

/// Accelerators of a worker that one member of a gang takes.
struct worker_share
{
    worker_index worker = 0;
    std::uint32_t accelerators = 0;

    auto operator<=>(const worker_share &) const = default;
};

/// Workers on which a gang fits, with one entry per member.
using gang_location = std::vector<worker_share>;

/// Finds locations for shapes in time logarithmic in the number of racks and workers.
class capacity_index
{
public:
    static constexpr std::uint32_t AnyZone = UINT32_MAX;

    /// `bestFit`: `find` prefers the least leftover; otherwise it takes the first zone that fits
    /// or the worker with the most available accelerators.
    explicit capacity_index(bool bestFit = true)
        : m_bestFit(bestFit)
    { }

    /// Adds the worker with the next index, without available accelerators. Racks and zones are
    /// numbered from 0 without gaps, since they index arrays.
    void add(std::uint32_t rack, std::uint32_t zone);
    /// Sets the available accelerators of a worker, at most MaxAcceleratorsPerWorker.
    void set(worker_index worker, std::uint32_t available);
    std::uint32_t available(worker_index worker) const { return m_workers[worker].available; }

    std::uint64_t totalAvailable() const { return m_total; }

    /// True if the shape fits into the available accelerators of the zone.
    bool fits(const shape &wanted, std::uint32_t zone = AnyZone) const;
    /// Location for the shape, or none if it does not fit.
    std::optional<gang_location> find(const shape &wanted, std::uint32_t zone = AnyZone) const;

    /// Workers that come nearest to fitting the shape, in the zone where most members fit: the rack
    /// where most members fit, the worker with the most available accelerators, or as many such
    /// workers as the shape has members.
    std::vector<worker_index> nearest(const shape &wanted) const;

    std::uint32_t rackOf(worker_index worker) const { return m_workers[worker].rack; }
    std::uint32_t zoneOf(worker_index worker) const { return m_workers[worker].zone; }
    /// Index nodes and workers visited so far, the unit of the bench's cost figures.
    std::uint64_t steps() const { return m_steps; }

private:
    static constexpr std::uint32_t SizeCount = MaxAcceleratorsPerWorker + 1;
    using ranking = std::set<std::pair<std::uint32_t, std::uint32_t>>;
    struct worker_node
    {
        std::uint32_t rack = 0;
        std::uint32_t zone = 0;
        std::uint32_t available = 0;
    };
    struct rack_node
    {
        /// How many members of each size fit.
        std::array<std::uint32_t, SizeCount> fittingMembers {};
        std::vector<worker_index> workers;
    };
    struct zone_node
    {
        std::array<std::uint32_t, SizeCount> fittingMembers {};
        std::array<ranking, SizeCount> racks; ///< (fittingMembers, rack) for each member size
        ranking workers;                      ///< (available, worker)
    };

    void updateRackRank(zone_node &changedZone, std::uint32_t size, std::uint32_t rack,
                        std::uint32_t before, std::uint32_t after);
    void updateWorkerRank(zone_node &changedZone, worker_index worker, std::uint32_t before,
                          std::uint32_t after);
    ranking::const_iterator firstAtLeast(const ranking &candidates, std::uint32_t amount) const;
    std::optional<std::uint32_t> leftoverIn(const zone_node &zone, const shape &wanted) const;
    gang_location locate(const zone_node &zone, const shape &wanted) const;
    void fillRack(std::uint32_t rack, std::uint32_t members, std::uint32_t size,
                  gang_location &out) const;
    void fillZone(const zone_node &zone, const shape &wanted, gang_location &out) const;

    bool m_bestFit;
    std::vector<worker_node> m_workers;
    std::vector<rack_node> m_racks;
    std::vector<zone_node> m_zones;
    zone_node m_allZones; ///< sum over all zones; lets a search in any zone visit one node only
    std::uint64_t m_total = 0;
    mutable std::uint64_t m_steps = 0;
};

} // namespace hyssoppond
