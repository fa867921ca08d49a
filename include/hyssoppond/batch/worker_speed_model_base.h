/// @file Model of the speed of workers, learned from the run times of items that ran there.
#pragma once

#include "hyssoppond/batch/batch_type.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppond::batch {

/// A worker that took part in a run. Workers of one kind have a common prior.
struct speed_member
{
    process_id worker;
    std::string kind;
};

/// Run time of an item, or of a gang, which runs at the pace of its slowest member.
struct speed_observation
{
    /// Unit of the run; the items of its step are alike. Empty: a step of its own.
    std::optional<unit_id> step;
    double logPredicted = 0; ///< logarithm of the run time that is predicted at mean speed
    double levelSpread = 0;  ///< standard deviation of a step's logarithm about it
    double logRunTime = 0;
    /// The run time is an estimate by the progress of the run. The next observation of the unit
    /// replaces it.
    bool isProgress = false;
    std::vector<speed_member> members;
};

/// What an observation tells about its step.
struct step_evidence
{
    double logAtMeanSpeed = 0;       ///< logarithm of the run time on a worker of mean speed
    std::uint32_t earlierRuns = 0;   ///< observations of the step before this one
    std::vector<process_id> changed; ///< workers whose estimate changed notably
};

struct speed_estimate
{
    double slowness = 1;  ///< run times as a multiple of those at mean speed
    double logSpread = 0; ///< standard deviation of its logarithm
    double observations = 0;
};

/// Estimates how slow each worker is. The logarithm of a run time is the level of its step plus the
/// logarithm of the slowness of the slowest member plus noise with a long tail. Each worker and
/// each step has a discrete distribution, and each observation updates those that it involves by
/// assumed-density filtering. See docs/design/worker-speed-and-run-times.md.
class worker_speed_model
{
public:
    step_evidence learn(const speed_observation &observation);
    /// Run times on `worker` as a multiple of those at mean speed. Exactly 1 while it is unknown or
    /// the workers count as equally fast.
    double slownessOf(const process_id &worker) const;
    speed_estimate estimateOf(const process_id &worker) const;
    worker_speed_model() = default;
    /// The parts of a model refer to each other.
    worker_speed_model(const worker_speed_model &) = delete;
    worker_speed_model &operator=(const worker_speed_model &) = delete;
    worker_speed_model(worker_speed_model &&) = default;
    worker_speed_model &operator=(worker_speed_model &&) = default;

    /// Whether the workers are known to differ in speed.
    bool isUnequal() const { return m_isUnequal; }

private:
    static constexpr std::size_t SlownessPoints = 13;
    static constexpr std::size_t LevelPoints = 29;
    static constexpr std::size_t SumPoints = SlownessPoints + LevelPoints - 1;
    using slowness_distribution = std::array<double, SlownessPoints>;
    using level_distribution = std::array<double, LevelPoints>;

    struct worker_state
    {
        std::string kind;
        /// Likelihood of its runs for each slowness, with the mean 1 under the prior.
        slowness_distribution likelihood {};
        slowness_distribution probability {}; ///< the prior of its kind times the likelihood
        double weight = 0;                    ///< in the prior of its kind, 0 to 1
        double observations = 0;
        double residual = 0; ///< mean residual of its runs, with earlier ones decayed
        double residualWeight = 0;
        std::optional<unit_id> lastStep;
        double reported = 0; ///< logarithm of the slowness that was last reported as changed
    };
    /// What one worker and its step got from a run. Later items of the step show it in a new light.
    struct item_evidence
    {
        worker_state *worker = nullptr;
        double logRunTime = 0;
        slowness_distribution toWorker {}; ///< likelihood that the worker got from it
        level_distribution toLevel {};     ///< likelihood that the step's level got from it
        std::uint32_t index = 0;           ///< of the unit
        bool isProgress = false;
        bool isGang = false; ///< its members share one run; never revised
    };
    struct step_estimate
    {
        double center = 0; ///< logarithm of the run time in the middle of the grid
        level_distribution probability {};
        std::uint32_t observations = 0;
        std::vector<item_evidence> items; ///< the first ones, and all that are estimates
    };
    /// The workers of one kind.
    struct population
    {
        std::vector<worker_state *> workers;
        slowness_distribution sum {}; ///< of the weighted distributions of the workers
        double weight = 0;            ///< of all workers together
        std::size_t nextRefreshed = 0;
    };
    /// Weighted mean of the products of a worker's residual with the mean of its earlier ones: the
    /// variance of the logarithm of the slowness, whatever the noise.
    struct retest_covariance
    {
        double weight = 0;
        double squaredWeight = 0;
        double product = 0;
        double squaredProduct = 0;
        double residualWeight = 0;
        double residual = 0; ///< mean residual, which says nothing about differences

        void add(double first, double second, double sampleWeight);
        void addResidual(double value, double sampleWeight);
        double value() const { return product; }
        double standardError() const;
    };

    slowness_distribution priorOf(const population &workers) const;
    worker_state &stateOf(const speed_member &member);
    step_estimate newStep(const speed_observation &observation) const;
    step_estimate &stepOf(const speed_observation &observation, step_estimate *temporary);
    void noteResidual(const speed_observation &observation, const step_estimate &step,
                      const std::vector<worker_state *> &workers);
    /// Computes the distribution of a worker from the present prior and its likelihood.
    void refresh(worker_state *worker);
    /// Updates the prior by the distributions of some more of the workers of a kind.
    void refreshSome(const std::string &kind);
    /// Corrects what the earlier items of the step said of their workers.
    void reviseItems(step_estimate *step);
    /// Takes back what the progress of the unit `index` has taught. False if it has taught nothing.
    bool takeBack(step_estimate *step, std::uint32_t index);
    double averageLog() const;
    static const slowness_distribution &basePrior();
    static double varianceOf(const slowness_distribution &probability);
    static double meanOf(const slowness_distribution &probability);

    std::map<process_id, worker_state> m_workers;
    std::map<std::string, population> m_populations;
    double m_meanSum = 0; ///< sum of the mean logarithms of all workers
    std::map<unit_id, step_estimate> m_steps;
    std::deque<unit_id> m_stepOrder; ///< steps in the order of their first observations
    retest_covariance m_retest;
    bool m_isUnequal = false;
};

} // namespace hyssoppond::batch
