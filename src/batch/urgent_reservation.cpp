/// @file Capacity that no other work takes while an urgent unit waits on a full site.
#include "plan_maker.h"

#include <limits>

namespace hyssoppond::batch {

namespace {

/// Urgent units for which one plan holds capacity. Each takes a search over all workers.
constexpr std::uint32_t MaxUrgentReservations = 8;

/// Searches of one plan, also those that find nothing to stop.
constexpr std::uint32_t MaxUrgentSearches = 16;

} // namespace

void plan_maker::reserveForUrgent(const waiting_unit &unit)
{
    // The unit waits for runs to end, and stops what is cheapest when its latest start comes. Work
    // that began in the meantime would be the cheapest, and would have been started in vain.
    if (!unit.goesFirst() || urgentReservations >= MaxUrgentReservations
        || urgentSearches >= MaxUrgentSearches)
        return;
    ++urgentSearches;
    const preemption_plan stops = cheapestStops(unit, std::numeric_limits<double>::max());
    if (stops.chosen.empty())
        return;
    ++urgentReservations;
    reserve(unit, stops.chosen);
}

} // namespace hyssoppond::batch
