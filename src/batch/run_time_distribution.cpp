/// @file Implementation of run_time_distribution.
#include "hyssoppond/batch/run_time_distribution_base.h"

#include <algorithm>
#include <cmath>

namespace hyssoppond::batch {

namespace {

/// Width of a bin and the lowest logarithm. One bin has its middle at 0, so that exact predictions
/// have the median 0. The highest one is a ratio of about 30.
constexpr double BinWidth = 0.1;
constexpr double LowestLog = -2.55;

/// Decay of earlier runs with each run of weight 1.
constexpr double Decay = 0.99;

/// Assumed distribution and the number of runs that it counts for: the ratios of one queue spread
/// by about this standard deviation, with some runs of a multiple.
constexpr double AssumedSpread = 0.4;
constexpr double AssumedRuns = 6.0;

double assumedCumulative(double logRatio)
{
    return 0.5 * std::erfc(-logRatio / (AssumedSpread * std::sqrt(2.0)));
}

} // namespace

void run_time_distribution::add(double logRatio, double weight)
{
    const double decay = std::pow(Decay, weight);
    for (double &bin : m_bins)
        bin *= decay;
    m_weight = m_weight * decay + weight;
    const double position = (logRatio - LowestLog) / BinWidth;
    const auto last = static_cast<double>(Bins - 1);
    m_bins[static_cast<std::size_t>(std::clamp(position, 0.0, last))] += weight;
}

const std::array<double, run_time_distribution::Bins> &run_time_distribution::assumedShares()
{
    static const auto shares = [] {
        std::array<double, Bins> result {};
        for (std::size_t i = 0; i < Bins; ++i) {
            const double start = LowestLog + BinWidth * static_cast<double>(i);
            result[i]
                = assumedCumulative(start + BinWidth) - (i == 0 ? 0.0 : assumedCumulative(start));
        }
        return result;
    }();
    return shares;
}

double run_time_distribution::at(double quantile) const
{
    const double target = std::clamp(quantile, 0.001, 0.999) * (m_weight + AssumedRuns);
    double below = 0;
    for (std::size_t i = 0; i < Bins; ++i) {
        const double start = LowestLog + BinWidth * static_cast<double>(i);
        const double inBin = m_bins[i] + AssumedRuns * assumedShares()[i];
        if (below + inBin >= target)
            return start + BinWidth * (target - below) / inBin;
        below += inBin;
    }
    return LowestLog + BinWidth * static_cast<double>(Bins);
}

} // namespace hyssoppond::batch
