/// @file Incremental check that all unused guarantees fit onto free or borrowed accelerators at
/// once.
#pragma once

#include "hyssoppond/policy/capacity_index_base.h"
#include "hyssoppond/policy/decision_type.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace hyssoppond {

/// Number of one guaranteed gang.
using unit_index = std::uint32_t;

/// Keeps one packing of all unused guarantees: each guaranteed gang that is not in use has
/// accelerators reserved that no work under contract uses. Borrowed work does not count, since it
/// can be reclaimed. As long as every unit is packed, invariant I1 holds.
class guarantee_packing
{
public:
    /// State before a use, for `undo`.
    struct use_record
    {
        unit_index unit = 0;
        std::vector<std::pair<unit_index, gang_location>> before; ///< reservations that moved
    };

    void addWorker(std::uint32_t rack, std::uint32_t zone);
    /// Sets how many accelerators of the worker may serve guarantees; moves what no longer fits.
    void setCapacity(worker_index worker, std::uint32_t accelerators);
    /// Adds or changes a contract. Units in use keep their accelerators. `zone` as in
    /// capacity_index.
    void setContract(const contract &guarantee, std::uint32_t zone);
    void removeContract(const contract_id &id);
    /// Gives the contracts of a zone its number, once its first worker is known.
    void setZone(const zone_id &zone, std::uint32_t number);
    bool hasTeam(const team_id &team) const;
    const contract *find(const contract_id &id) const;
    /// True if the contract would be packed beside all others; has no effect.
    bool wouldFit(const contract &guarantee, std::uint32_t zone) const;

    /// Unused unit of the team that covers the shape with the least surplus, packed units first.
    std::optional<unit_index> unusedUnit(const team_id &team, const shape &wanted) const;
    /// The same within one contract.
    std::optional<unit_index> unusedUnit(const contract_id &id, const shape &wanted) const;
    const contract_id &contractOf(unit_index unit) const { return m_units[unit].contract; }
    std::uint32_t zoneOf(unit_index unit) const { return m_units[unit].zone; }
    bool isPacked(unit_index unit) const { return m_units[unit].packed; }
    /// Accelerators reserved for the unit; empty if it is not packed.
    const gang_location &reserved(unit_index unit) const { return m_units[unit].at; }

    /// Puts the unit in use at `at` and moves reservations that are in the way. When some cannot
    /// be moved, returns none without effect if `strict`, and leaves them unpacked otherwise.
    std::optional<use_record> use(unit_index unit, const gang_location &at, bool strict);
    /// Takes a use back; only in reverse order of the uses.
    void undo(const use_record &record);
    /// Ends the use of a unit and reserves accelerators for it again.
    void release(unit_index unit);

    std::vector<guarantee_risk> atRisk() const;
    std::uint64_t steps() const { return m_open.steps() + m_steps; }

private:
    struct unit
    {
        contract_id contract;
        team_id team;
        shape guaranteed;
        std::uint32_t zone = capacity_index::AnyZone;
        bool inUse = false;
        bool packed = false;
        bool removed = false; ///< its contract ended or shrank
        gang_location at;     ///< reservation, or accelerators in use
    };
    struct worker_entry
    {
        std::uint32_t capacity = 0;
        std::uint32_t inUse = 0;
        std::uint32_t reserved = 0;
        std::vector<unit_index> units; ///< units with a reservation here, one entry per member
    };

    std::optional<unit_index> bestUnused(const std::vector<unit_index> &units,
                                         const shape &wanted) const;
    static bool covers(const unit &guarantee, const shape &wanted);
    void refresh(worker_index worker);
    void reserve(unit_index which, const gang_location &at);
    void unreserve(unit_index which);
    void occupy(const gang_location &at, bool add);
    bool pack(unit_index which);
    void endUnit(unit_index which);
    std::vector<unit_index> evictFrom(const gang_location &at,
                                      std::vector<std::pair<unit_index, gang_location>> &before);
    bool packAll(std::vector<unit_index> units);
    void retryUnpacked();
    bool repackEverything();

    capacity_index m_open; ///< capacity less use and reservations
    std::vector<worker_entry> m_workers;
    std::vector<unit> m_units;
    std::vector<unit_index> m_freeSlots;
    std::map<contract_id, contract> m_contracts;
    std::map<contract_id, std::vector<unit_index>> m_unitsOf;
    std::map<team_id, std::vector<unit_index>> m_unitsOfTeam;
    std::set<unit_index> m_unpacked;
    mutable std::uint64_t m_steps = 0;
};

} // namespace hyssoppond
