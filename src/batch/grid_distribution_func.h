/// @file Discrete distributions of logarithms over evenly spaced points around 0.
#pragma once

#include <array>
#include <cmath>
#include <cstddef>
#include <numeric>

namespace hyssoppond::batch {

/// Distance of two points of the grids, in logarithms of run times. It is below the noise of one
/// run. Both grids have the same, so that the likelihood depends on the sum of two indexes only.
inline constexpr double GridStep = 0.15;

inline double density(double distance, double spread)
{
    const double scaled = distance / spread;
    return std::exp(-0.5 * scaled * scaled) / spread;
}

inline double pointAt(std::size_t index, std::size_t points)
{
    return GridStep * (static_cast<double>(index) - 0.5 * static_cast<double>(points - 1));
}

/// Returns the sum before.
template<std::size_t points>
double normalize(std::array<double, points> *probability)
{
    const double sum = std::accumulate(probability->begin(), probability->end(), 0.0);
    for (double &value : *probability)
        value /= sum;
    return sum;
}

template<std::size_t points>
std::array<double, points> bellCurve(double spread)
{
    std::array<double, points> probability {};
    for (std::size_t i = 0; i < points; ++i)
        probability[i] = density(pointAt(i, points), spread);
    normalize(&probability);
    return probability;
}

/// P(slowness <= point) for each point.
template<std::size_t points>
std::array<double, points> cumulative(const std::array<double, points> &probability)
{
    std::array<double, points> sums {};
    std::partial_sum(probability.begin(), probability.end(), sums.begin());
    return sums;
}

/// Likelihood of each index on one grid, with that on the other grid summed out.
template<std::size_t points, std::size_t otherPoints, std::size_t sums>
std::array<double, points> marginal(const std::array<double, otherPoints> &other,
                                    const std::array<double, sums> &likelihood)
{
    static_assert(sums == points + otherPoints - 1);
    std::array<double, points> result {};
    for (std::size_t i = 0; i < points; ++i) {
        for (std::size_t j = 0; j < otherPoints; ++j)
            result[i] += other[j] * likelihood[i + j];
    }
    return result;
}

} // namespace hyssoppond::batch
