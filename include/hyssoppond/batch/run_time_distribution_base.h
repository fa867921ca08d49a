/// @file Distribution of run times about a prediction.
#pragma once

#include <array>
#include <cstddef>

namespace hyssoppond::batch {

/// Distribution of the logarithm of the run time over the predicted one, as a histogram whose
/// earlier runs decay. A few runs that take much longer move neither the median nor, unlike in a
/// mean and a variance, the quantiles below their share.
class run_time_distribution
{
public:
    /// Adds a run; `weight` is less than 1 if it says little more than an earlier one.
    void add(double logRatio, double weight);
    /// Logarithm of the ratio that the share `quantile` of the runs does not exceed. Before any run
    /// is known, the quantile of an assumed distribution.
    double at(double quantile) const;
    double weight() const { return m_weight; }

private:
    static constexpr std::size_t Bins = 61;

    /// Share of each bin in the assumed distribution.
    static const std::array<double, Bins> &assumedShares();

    std::array<double, Bins> m_bins {};
    double m_weight = 0;
};

} // namespace hyssoppond::batch
