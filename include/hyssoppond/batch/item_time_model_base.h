/// @file Model of the run times of items, learned by queue and by worker from finished runs.
#pragma once

#include "hyssoppond/batch/run_time_distribution_base.h"
#include "hyssoppond/batch/worker_speed_model_base.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssoppond::batch {

/// A run that ended: of one item, or of a gang as a whole.
struct finished_run
{
    std::string queue;
    std::int64_t declaredMs = 0;
    std::int64_t runTimeMs = 0;
    std::optional<unit_id> step; ///< see speed_observation::step
    std::vector<speed_member> members;
    team_id team; ///< that declared the time
};

/// Predicts run times from the declared ones and from finished runs. Declared times are far off at
/// some sites and exact at others. Therefore a linear regression for each queue, from the logarithm
/// of the declared time to that of the run time, learns how far to trust them. Workers differ in
/// speed, which worker_speed_model learns; the regression is of run times at mean speed.
class item_time_model
{
public:
    /// Learns from a run. Ignores runs with a time below 1 ms.
    step_evidence learn(const finished_run &run);
    /// Learns the speed of workers from a run that goes on, with the expected time as its run time.
    /// The end of the run replaces that.
    step_evidence learnProgress(const finished_run &run);
    /// The same for an item of a step of its own, which was declared as `declaredMs` and took
    /// `runTimeMs` on `worker`.
    void learn(const std::string &queue, std::int64_t declaredMs, std::int64_t runTimeMs,
               const process_id &worker);
    /// Typical run time on a worker of mean speed, in ms: the median, which a few long runs do not
    /// move. `declaredMs` while no run of the queue is known. With a team, its own declarations
    /// count.
    std::int64_t expectedMs(const std::string &queue, std::int64_t declaredMs,
                            const team_id &team = team_id()) const;
    /// Run time that the share `quantile` of the runs does not exceed.
    std::int64_t expectedMs(const std::string &queue, std::int64_t declaredMs, double quantile,
                            const team_id &team = team_id()) const;
    /// Run times on `worker` as a multiple of those on a worker of mean speed; 1 if unknown.
    double slownessOf(const process_id &worker) const { return m_speeds.slownessOf(worker); }
    const worker_speed_model &speeds() const { return m_speeds; }

private:
    struct regression
    {
        double weight = 0; ///< number of steps, with earlier ones decayed
        double meanX = 0;  ///< mean logarithm of the declared time
        double meanY = 0;  ///< mean logarithm of the run time
        double varianceX = 0;
        double covariance = 0;
        double spread = 0; ///< mean distance of a step from the prediction, and its weight
        double spreadWeight = 0;

        void add(double x, double y, double sampleWeight);
        double predict(double x) const;
        double stepSpread() const;
    };

    /// Mean logarithm of the run time over the declared one.
    struct declaration_error
    {
        double weight = 0; ///< number of steps, with earlier ones decayed
        double mean = 0;

        void add(double error, double sampleWeight);
    };
    struct queue_model
    {
        regression times;             ///< by the declared time as corrected for the team
        run_time_distribution ratios; ///< of run times over those predicted
        declaration_error allTeams;
        std::map<team_id, declaration_error> teams;

        void add(double x, double y, double sampleWeight, const team_id &team);
        /// Logarithm of the mean run time.
        double predict(double x, const team_id &team) const;
        /// What other teams would have declared.
        double corrected(double x, const team_id &team) const;
    };
    struct queue_times
    {
        queue_model atMeanSpeed;
        /// With the run times as they are. They are predicted while the workers count as equal, as
        /// the slowness that is taken out of the others may be noise then.
        queue_model onEqualWorkers;
    };

    speed_observation observationOf(const finished_run &run);

    std::map<std::string, queue_times> m_queues;
    worker_speed_model m_speeds;
};

} // namespace hyssoppond::batch
