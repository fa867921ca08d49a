/// @file Implementation of the model of run times.
#include "hyssoppond/batch/item_time_model_base.h"

#include <algorithm>
#include <cmath>

namespace hyssoppond::batch {

namespace {

constexpr double Memory = 0.98;          // weight of the past per finished run
constexpr double DeclaredRuns = 2.0;     // finished runs that the declared times count for
constexpr double DeclaredVariance = 0.5; // and their weight against the variance that was seen
constexpr double MeanSpeedRuns = 3.0;    // finished runs that the mean speed of workers counts for

/// Largest correction of a declared time and of a worker's speed, as a factor.
constexpr double LargestCorrection = 20.0;
constexpr double LargestSlowness = 2.0;

} // namespace

void item_time_model::regression::add(double x, double y)
{
    weight = weight * Memory + 1.0;
    const double share = 1.0 / weight;
    const double deltaX = x - meanX;
    meanX += share * deltaX;
    const double deltaY = y - meanY;
    meanY += share * deltaY;
    varianceX += share * (deltaX * (x - meanX) - varianceX);
    covariance += share * (deltaX * (y - meanY) - covariance);
}

double item_time_model::regression::predict(double x) const
{
    const double slope
        = (weight * covariance + DeclaredVariance) / (weight * varianceX + DeclaredVariance);
    const double level
        = (weight * meanY + DeclaredRuns * meanX) / (weight + DeclaredRuns); // of meanX
    return level + std::clamp(slope, 0.0, 1.0) * (x - meanX);
}

void item_time_model::learn(const std::string &queue, std::int64_t declaredMs, std::int64_t ranMs,
                            const process_id &worker)
{
    if (declaredMs < 1 || ranMs < 1)
        return;
    const double x = std::log(static_cast<double>(declaredMs));
    const double y = std::log(static_cast<double>(ranMs)) - std::log(slownessOf(worker));
    regression &known = m_queues[queue];
    if (known.weight > DeclaredRuns) {
        residual &speed = m_workers[worker];
        const double seen = std::log(static_cast<double>(ranMs)) - known.predict(x);
        speed.weight = speed.weight * Memory + 1.0;
        // A run that stood still for a while says nothing about the worker's usual speed.
        const double most = std::log(LargestSlowness);
        speed.mean += (std::clamp(seen, -most, most) - speed.mean) / speed.weight;
    }
    known.add(x, y);
}

std::int64_t item_time_model::expectedMs(const std::string &queue, std::int64_t declaredMs) const
{
    const auto known = m_queues.find(queue);
    if (known == m_queues.end() || declaredMs < 1)
        return declaredMs;
    const auto declared = static_cast<double>(declaredMs);
    const double expected = std::exp(known->second.predict(std::log(declared)));
    return static_cast<std::int64_t>(
        std::clamp(expected, declared / LargestCorrection, declared * LargestCorrection));
}

double item_time_model::slownessOf(const process_id &worker) const
{
    const auto known = m_workers.find(worker);
    if (known == m_workers.end())
        return 1.0;
    const residual &speed = known->second;
    return std::exp(speed.mean * speed.weight / (speed.weight + MeanSpeedRuns));
}

} // namespace hyssoppond::batch
