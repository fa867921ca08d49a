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

/// Steps of a team after which half of what its declarations are off more than those of its queue
/// counts. It is the variance of one step over that of the teams' means, which are about the same.
constexpr double QueueSteps = 2.0;

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

void item_time_model::declaration_error::add(double error, double sampleWeight)
{
    weight = weight * std::pow(StepWeightDecay, sampleWeight) + sampleWeight;
    mean += sampleWeight / weight * (error - mean);
}

double item_time_model::queue_model::corrected(double x, const team_id &team) const
{
    const auto known = teams.find(team);
    if (known == teams.end())
        return x;
    const declaration_error &own = known->second;
    return x + (own.mean - allTeams.mean) * own.weight / (own.weight + QueueSteps);
}

double item_time_model::queue_model::predict(double x, const team_id &team) const
{
    return times.predict(corrected(x, team));
}

void item_time_model::queue_model::add(double x, double y, double sampleWeight, const team_id &team)
{
    // The first runs of a queue show how far its declarations are off, not how much runs differ.
    if (times.weight >= DeclaredRuns)
        ratios.add(y - predict(x, team), sampleWeight);
    const double maxError = std::log(MaxCorrectionFactor);
    const double error = std::clamp(y - x, -maxError, maxError);
    allTeams.add(error, sampleWeight);
    teams[team].add(error, sampleWeight);
    times.add(corrected(x, team), y, sampleWeight);
}

double item_time_model::regression::predict(double x) const
{
    const double slope
        = (weight * covariance + DeclaredVariance) / (weight * varianceX + DeclaredVariance);
    const double level
        = (weight * meanY + DeclaredRuns * meanX) / (weight + DeclaredRuns); // value at meanX
    return level + std::clamp(slope, 0.0, 1.0) * (x - meanX);
}

speed_observation item_time_model::observationOf(const finished_run &run)
{
    const double logDeclared = std::log(static_cast<double>(run.declaredMs));
    const queue_model &queue = m_queues[run.queue].atMeanSpeed;
    speed_observation observation;
    observation.step = run.step;
    observation.logPredicted = queue.predict(logDeclared, run.team);
    observation.levelSpread = queue.times.stepSpread();
    observation.logRunTime = std::log(static_cast<double>(run.runTimeMs));
    observation.members = run.members;
    return observation;
}

step_evidence item_time_model::learn(const finished_run &run)
{
    if (run.declaredMs < 1 || run.runTimeMs < 1)
        return {};
    const double logDeclared = std::log(static_cast<double>(run.declaredMs));
    const speed_observation observation = observationOf(run);
    step_evidence evidence = m_speeds.learn(observation);
    queue_times &queue = m_queues[run.queue];
    // The items of a step tell mostly the same, so that a wide step counts for little more than a
    // single item.
    const double weight = 1.0 / (1.0 + evidence.earlierRuns);
    queue.atMeanSpeed.add(logDeclared, evidence.logAtMeanSpeed, weight, run.team);
    queue.onEqualWorkers.add(logDeclared, observation.logRunTime, weight, run.team);
    return evidence;
}

step_evidence item_time_model::learnProgress(const finished_run &run)
{
    if (run.declaredMs < 1 || run.runTimeMs < 1)
        return {};
    speed_observation observation = observationOf(run);
    observation.isProgress = true;
    return m_speeds.learn(observation);
}

void item_time_model::learn(const std::string &queue, std::int64_t declaredMs,
                            std::int64_t runTimeMs, const process_id &worker)
{
    learn({queue, declaredMs, runTimeMs, std::nullopt, {{worker, ""}}, {}});
}

std::int64_t item_time_model::expectedMs(const std::string &queue, std::int64_t declaredMs,
                                         const team_id &team) const
{
    return expectedMs(queue, declaredMs, 0.5, team);
}

std::int64_t item_time_model::expectedMs(const std::string &queue, std::int64_t declaredMs,
                                         double quantile, const team_id &team) const
{
    const auto known = m_queues.find(queue);
    if (known == m_queues.end() || declaredMs < 1)
        return declaredMs;
    const auto declared = static_cast<double>(declaredMs);
    const queue_model &model
        = m_speeds.isUnequal() ? known->second.atMeanSpeed : known->second.onEqualWorkers;
    const double expected
        = std::exp(model.predict(std::log(declared), team) + model.ratios.at(quantile));
    return static_cast<std::int64_t>(
        std::clamp(expected, declared / MaxCorrectionFactor, declared * MaxCorrectionFactor));
}

} // namespace hyssoppond::batch
