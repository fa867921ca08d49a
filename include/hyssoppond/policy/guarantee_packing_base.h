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

/// Index of one guaranteed gang; a contract has as many as its count.
using guarantee_index = std::uint32_t;

/// Keeps one packing of all unused guarantees: each guaranteed gang that is not in use has
/// accelerators reserved that no work under contract uses. Borrowed work does not count, since it
/// can be reclaimed. As long as every unused guarantee is packed, invariant I1 holds: guaranteed
/// shapes can always be reclaimed.
class guarantee_packing
{
public:
    /// State before a call of `use`, for `undo`.
    struct use_record
    {
        guarantee_index guaranteeIndex = 0;
        /// Earlier reservations of this guarantee and of those that moved; empty: not packed.
        std::vector<std::pair<guarantee_index, gang_location>> before;
    };

    /// Adds the worker with the next index, with capacity 0.
    void addWorker(std::uint32_t rack, std::uint32_t zone);
    /// Sets how many accelerators of the worker may serve guarantees, and moves reservations that
    /// no longer fit.
    void setCapacity(worker_index worker, std::uint32_t accelerators);
    /// Adds or changes a contract. Guarantees in use keep their accelerators. `zone` is a zone
    /// number of capacity_index.
    void setContract(const contract &value, std::uint32_t zone);
    void removeContract(const contract_id &id);
    /// Sets the number of a zone in its contracts, once the first worker of the zone is known.
    void setZone(const zone_id &zone, std::uint32_t number);
    /// True if the team has a guarantee.
    bool hasTeam(const team_id &team) const;
    /// Null for an unknown contract.
    const contract *find(const contract_id &id) const;
    /// True if the contract would be packed beside all others; has no effect.
    bool wouldFit(const contract &value, std::uint32_t zone) const;

    /// Unused guarantee of the team that covers the shape with the least surplus, packed ones
    /// first.
    std::optional<guarantee_index> unusedGuarantee(const team_id &team, const shape &wanted) const;
    /// Unused guarantee of the contract, chosen in the same way.
    std::optional<guarantee_index> unusedGuarantee(const contract_id &id,
                                                   const shape &wanted) const;
    const contract_id &contractOf(guarantee_index guaranteeIndex) const
    {
        return m_guarantees[guaranteeIndex].contract;
    }
    std::uint32_t zoneOf(guarantee_index guaranteeIndex) const
    {
        return m_guarantees[guaranteeIndex].zone;
    }
    bool isPacked(guarantee_index guaranteeIndex) const
    {
        return m_guarantees[guaranteeIndex].packed;
    }
    /// Accelerators reserved for the guarantee; empty if it is not packed.
    const gang_location &reserved(guarantee_index guaranteeIndex) const
    {
        return m_guarantees[guaranteeIndex].location;
    }

    /// Puts the guarantee in use at `location` and moves other reservations from there. If some
    /// cannot be moved, or the workers lack capacity, the call returns none without effect when
    /// `strict`, and leaves the reservations unpacked otherwise.
    std::optional<use_record> use(guarantee_index guaranteeIndex, const gang_location &location,
                                  bool strict);
    /// Restores the state before a call of `use`. Calls must be undone in reverse order.
    void undo(const use_record &record);
    /// Ends the use of a guarantee and reserves accelerators for it again.
    void release(guarantee_index guaranteeIndex);

    /// Contracts with guarantees that are not packed.
    std::vector<guarantee_risk> atRisk() const;
    /// Index nodes and guarantees visited so far.
    std::uint64_t steps() const { return m_unreserved.steps() + m_steps; }

private:
    struct guaranteed_gang
    {
        contract_id contract;
        team_id team;
        shape guaranteed;
        std::uint32_t zone = capacity_index::AnyZone;
        bool inUse = false;
        bool packed = false;
        bool removed = false;   ///< its contract ended or shrank
        gang_location location; ///< reservation, or accelerators in use
    };
    struct worker_entry
    {
        std::uint32_t capacity = 0;
        std::uint32_t inUse = 0;
        std::uint32_t reserved = 0;
        std::vector<guarantee_index> guarantees; ///< reserved on this worker, one entry per member
    };

    std::optional<guarantee_index> bestUnused(const std::vector<guarantee_index> &guarantees,
                                              const shape &wanted) const;
    static bool covers(const guaranteed_gang &guarantee, const shape &wanted);
    void refresh(worker_index worker);
    void reserve(guarantee_index guaranteeIndex, const gang_location &location);
    void unreserve(guarantee_index guaranteeIndex);
    void occupy(const gang_location &location, bool add);
    bool pack(guarantee_index guaranteeIndex);
    void endGuarantee(guarantee_index guaranteeIndex);
    std::vector<guarantee_index> displaceFrom(
        const gang_location &location,
        std::vector<std::pair<guarantee_index, gang_location>> &before);
    bool packAll(std::vector<guarantee_index> guarantees);
    void retryUnpacked();
    bool repackEverything();

    capacity_index m_unreserved; ///< capacity less what is in use or reserved
    std::vector<worker_entry> m_workers;
    std::vector<guaranteed_gang> m_guarantees;
    std::vector<guarantee_index> m_freeSlots; ///< indexes of removed guarantees, for reuse
    std::map<contract_id, contract> m_contracts;
    std::map<contract_id, std::vector<guarantee_index>> m_guaranteesOfContract;
    std::map<team_id, std::vector<guarantee_index>> m_guaranteesOfTeam;
    std::set<guarantee_index> m_unpacked;
    mutable std::uint64_t m_steps = 0;
};

} // namespace hyssoppond
