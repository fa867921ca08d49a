/// @file Implementation of the run time model.
#include "hyssoppond/batch/item_time_model_base.h"

#include <algorithm>
#include <cmath>

namespace hyssoppond::batch {

namespace {

/// Factor by which the weight of all earlier runs decays with each finished run.
constexpr double RunWeightDecay = 0.98;

/// Number of finished runs that the declared times count for in the mean.
constexpr double DeclaredRuns = 2.0;

/// Weight in the slope of the assumption that the declared times are exact, as a variance of their
/// logarithms times a number of runs.
constexpr double DeclaredVariance = 0.5;

/// Number of finished runs that the assumption of mean speed counts for, for each worker.
constexpr double MeanSpeedRuns = 3.0;

/// Largest correction of a declared time, as a factor up or down.
constexpr double MaxCorrectionFactor = 20.0;

/// Largest slowness or speed that one run shows of its worker, as a factor.
constexpr double MaxSlownessFactor = 2.0;

} // namespace

void item_time_model::regression::add(double x, double y)
{
    weight = weight * RunWeightDecay + 1.0;
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
        = (weight * meanY + DeclaredRuns * meanX) / (weight + DeclaredRuns); // value at meanX
    return level + std::clamp(slope, 0.0, 1.0) * (x - meanX);
}

void item_time_model::learn(const std::string &queue, std::int64_t declaredMs,
                            std::int64_t runTimeMs, const process_id &worker)
{
    if (declaredMs < 1 || runTimeMs < 1)
        return;
    const double logDeclared = std::log(static_cast<double>(declaredMs));
    const double logRan = std::log(static_cast<double>(runTimeMs)) - std::log(slownessOf(worker));
    regression &queueModel = m_queues[queue];
    if (queueModel.weight > DeclaredRuns) {
        residual &workerResidual = m_workers[worker];
        const double logSlowness
            = std::log(static_cast<double>(runTimeMs)) - queueModel.predict(logDeclared);
        workerResidual.weight = workerResidual.weight * RunWeightDecay + 1.0;
        // Clamped, because a run that stood still for a while does not show the worker's usual
        // speed.
        const double maxLogSlowness = std::log(MaxSlownessFactor);
        workerResidual.mean
            += (std::clamp(logSlowness, -maxLogSlowness, maxLogSlowness) - workerResidual.mean)
            / workerResidual.weight;
    }
    queueModel.add(logDeclared, logRan);
}

std::int64_t item_time_model::expectedMs(const std::string &queue, std::int64_t declaredMs) const
{
    const auto known = m_queues.find(queue);
    if (known == m_queues.end() || declaredMs < 1)
        return declaredMs;
    const auto declared = static_cast<double>(declaredMs);
    const double expected = std::exp(known->second.predict(std::log(declared)));
    return static_cast<std::int64_t>(
        std::clamp(expected, declared / MaxCorrectionFactor, declared * MaxCorrectionFactor));
}

double item_time_model::slownessOf(const process_id &worker) const
{
    const auto known = m_workers.find(worker);
    if (known == m_workers.end())
        return 1.0;
    const residual &workerResidual = known->second;
    return std::exp(workerResidual.mean * workerResidual.weight
                    / (workerResidual.weight + MeanSpeedRuns));
}

} // namespace hyssoppond::batch
