/// @file Choice of the work that still ends in time while there is more than can.
#pragma once

#include "hyssoppond/batch/batch_type.h"

#include <cstddef>
#include <vector>

namespace hyssoppond::batch {

/// Share of `total` that `need` takes of its scarcest resource.
double dominantShare(const resources &need, const resources &total);

/// Work of one caller that has to end by one time. Work is measured in milliseconds of the whole
/// capacity, times in milliseconds from now.
struct due_work
{
    double workMs = 0;
    double dueInMs = 0;
    double cost = 0; ///< of serving it; the highest is given up first
};

/// Capacity that present runs leave for waiting work. Shares are those of the whole capacity.
class capacity_forecast
{
public:
    /// `usableShare` of the capacity is usable by waiting work.
    explicit capacity_forecast(double usableShare)
        : m_usableShare(usableShare)
    { }

    /// Adds work that uses `share` of the capacity for `leftMs` from now on.
    void addUse(double share, double leftMs)
    {
        m_uses.push_back({leftMs, share});
        m_isSorted = false;
    }
    /// Work that can be done within `withinMs` from now on, in milliseconds of the whole capacity.
    double workWithin(double withinMs) const;

private:
    struct capacity_use
    {
        double leftMs = 0;
        double share = 0;
        double shareBefore = 0; ///< sum of the shares of the uses before this one
        double workBefore = 0;  ///< their work
    };

    double m_usableShare;
    mutable std::vector<capacity_use> m_uses; ///< by the time left if `m_isSorted`
    mutable bool m_isSorted = false;
};

/// True for each work that cannot end in time if as many of the others as possible shall.
/// Follows J. M. Moore, "An n job, one machine sequencing algorithm for minimizing the number of
/// late jobs" (1968): in the order of the due times, whenever one would be late, the costliest so
/// far is given up.
std::vector<bool> lateWork(const std::vector<due_work> &work, const capacity_forecast &capacity);

} // namespace hyssoppond::batch
