/// @file Implementation of the run time model.
#include "hyssoppond/batch/item_time_model_base.h"

#include <algorithm>
#include <cmath>

namespace hyssoppond::batch {

namespace {

/// Factor by which the weight of all earlier steps decays with each step.
constexpr double StepWeightDecay = 0.98;

/// Number of finished runs that the declared times count for in the mean.
constexpr double DeclaredRuns = 2.0;

/// Weight in the slope of the assumption that the declared times are exact, as a variance of their
/// logarithms times a number of runs.
constexpr double DeclaredVariance = 0.5;

/// Spread of the steps' run times about the prediction that is assumed at first, as a standard
/// deviation of logarithms, and the number of steps that the assumption counts for.
constexpr double AssumedSpread = 0.5;
constexpr double AssumedSpreadSteps = 4.0;

/// Least spread that is assumed, as the prediction is never exact.
constexpr double MinSpread = 0.1;

/// Mean absolute distance as a share of the standard deviation, for a normal distribution.
constexpr double MeanDistanceShare = 0.8;

/// Largest distance from the prediction that counts once a queue is known, as a logarithm. A long
/// run, of 7 times the usual time, must not shift the typical time.
constexpr double MaxDistance = 1.2;

/// Steps after which the distance from the prediction is limited.
constexpr double KnownSteps = 6.0;

/// Largest correction of a declared time, as a factor up or down.
constexpr double MaxCorrectionFactor = 20.0;

} // namespace

void item_time_model::regression::add(double x, double y, double sampleWeight)
{
    const double decay = std::pow(StepWeightDecay, sampleWeight);
    const double distance = y - predict(x);
    spreadWeight = spreadWeight * decay + sampleWeight;
    spread += sampleWeight / spreadWeight * (std::min(std::abs(distance), MaxDistance) - spread);
    if (weight > KnownSteps)
        y -= distance - std::clamp(distance, -MaxDistance, MaxDistance);
    weight = weight * decay + sampleWeight;
    const double share = sampleWeight / weight;
    const double deltaX = x - meanX;
    meanX += share * deltaX;
    const double deltaY = y - meanY;
    meanY += share * deltaY;
    varianceX += share * (deltaX * (x - meanX) - varianceX);
    covariance += share * (deltaX * (y - meanY) - covariance);
}

double item_time_model::regression::stepSpread() const
{
    const double assumed = AssumedSpread * MeanDistanceShare;
    const double mean = (AssumedSpreadSteps * assumed + spreadWeight * spread)
        / (AssumedSpreadSteps + spreadWeight);
    return std::max(MinSpread, mean / MeanDistanceShare);
}

double item_time_model::regression::predict(double x) const
{
    const double slope
        = (weight * covariance + DeclaredVariance) / (weight * varianceX + DeclaredVariance);
    const double level
        = (weight * meanY + DeclaredRuns * meanX) / (weight + DeclaredRuns); // value at meanX
    return level + std::clamp(slope, 0.0, 1.0) * (x - meanX);
}

step_evidence item_time_model::learn(const finished_run &run)
{
    if (run.declaredMs < 1 || run.runTimeMs < 1)
        return {};
    const double logDeclared = std::log(static_cast<double>(run.declaredMs));
    queue_times &queue = m_queues[run.queue];
    speed_observation observation;
    observation.step = run.step;
    observation.logPredicted = queue.atMeanSpeed.predict(logDeclared);
    observation.levelSpread = queue.atMeanSpeed.stepSpread();
    observation.logRunTime = std::log(static_cast<double>(run.runTimeMs));
    observation.members = run.members;
    const step_evidence evidence = m_speeds.learn(observation);
    // The items of a step tell mostly the same, so that a wide step counts for little more than a
    // single item.
    const double weight = 1.0 / (1.0 + evidence.earlierRuns);
    queue.atMeanSpeed.add(logDeclared, evidence.logAtMeanSpeed, weight);
    queue.onEqualWorkers.add(logDeclared, observation.logRunTime, weight);
    return evidence;
}

void item_time_model::learn(const std::string &queue, std::int64_t declaredMs,
                            std::int64_t runTimeMs, const process_id &worker)
{
    learn({queue, declaredMs, runTimeMs, std::nullopt, {{worker, ""}}});
}

std::int64_t item_time_model::expectedMs(const std::string &queue, std::int64_t declaredMs) const
{
    const auto known = m_queues.find(queue);
    if (known == m_queues.end() || declaredMs < 1)
        return declaredMs;
    const auto declared = static_cast<double>(declaredMs);
    const double expected = std::exp(regressionOf(known->second).predict(std::log(declared)));
    return static_cast<std::int64_t>(
        std::clamp(expected, declared / MaxCorrectionFactor, declared * MaxCorrectionFactor));
}

} // namespace hyssoppond::batch
