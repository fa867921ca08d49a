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

/// Part of a worker that one member of a gang takes.
struct worker_share
{
    worker_index worker = 0;
    std::uint32_t accelerators = 0;

    auto operator<=>(const worker_share &) const = default;
};

/// Where a gang fits: one entry per member.
using gang_location = std::vector<worker_share>;

/// Finds positions for shapes in time logarithmic in the number of racks and workers.
class capacity_index
{
public:
    static constexpr std::uint32_t AnyZone = UINT32_MAX;

    explicit capacity_index(bool bestFit = true)
        : m_bestFit(bestFit)
    { }

    /// Adds the worker with the next index; racks and zones are dense numbers.
    void add(std::uint32_t rack, std::uint32_t zone);
    /// Sets the available accelerators of a worker, at most MaxAcceleratorsPerWorker.
    void set(worker_index worker, std::uint32_t available);
    std::uint32_t available(worker_index worker) const { return m_workers[worker].available; }

    std::uint64_t totalAvailable() const { return m_total; }

    /// True if the shape fits into the zone.
    bool fits(const shape &wanted, std::uint32_t zone = AnyZone) const;
    /// Position for the shape with the least leftover, or none.
    std::optional<gang_location> find(const shape &wanted, std::uint32_t zone = AnyZone) const;

    /// Workers of the rack, worker or zone that is nearest to fitting the shape.
    std::vector<worker_index> nearest(const shape &wanted) const;

    std::uint32_t rackOf(worker_index worker) const { return m_workers[worker].rack; }
    std::uint32_t zoneOf(worker_index worker) const { return m_workers[worker].zone; }
    /// Index nodes and workers visited so far, the unit of the bench's cost figures.
    std::uint64_t steps() const { return m_steps; }

private:
    static constexpr std::uint32_t Sizes = MaxAcceleratorsPerWorker + 1;
    using ranking = std::set<std::pair<std::uint32_t, std::uint32_t>>;
    struct worker_node
    {
        std::uint32_t rack = 0;
        std::uint32_t zone = 0;
        std::uint32_t available = 0;
    };
    struct rack_node
    {
        std::array<std::uint32_t, Sizes> fit {}; ///< members of each size that fit
        std::vector<worker_index> workers;
    };
    struct zone_node
    {
        std::array<std::uint32_t, Sizes> fit {};
        std::array<ranking, Sizes> racks; ///< (fit, rack) for each member size
        ranking workers;                  ///< (available, worker)
    };

    void rankRack(zone_node &in, std::uint32_t size, std::uint32_t rack, std::uint32_t before,
                  std::uint32_t after);
    void rankWorker(zone_node &in, worker_index worker, std::uint32_t before, std::uint32_t after);
    ranking::const_iterator firstAtLeast(const ranking &from, std::uint32_t amount) const;
    std::optional<std::uint32_t> leftoverIn(const zone_node &zone, const shape &wanted) const;
    gang_location locate(const zone_node &zone, const shape &wanted) const;
    void fillRack(std::uint32_t rack, std::uint32_t members, std::uint32_t size,
                  gang_location &out) const;
    void fillZone(const zone_node &zone, const shape &wanted, gang_location &out) const;

    bool m_bestFit;
    std::vector<worker_node> m_workers;
    std::vector<rack_node> m_racks;
    std::vector<zone_node> m_zones;
    zone_node m_all; ///< all zones, so that a search in any zone does not visit each of them
    std::uint64_t m_total = 0;
    mutable std::uint64_t m_steps = 0;
};

} // namespace hyssoppond
