/// @file Model of the run times of items, learned by queue and by worker from finished runs.
#pragma once

#include "hyssoppond/base/id_type.h"

#include <cstdint>
#include <map>
#include <string>

namespace hyssoppond::batch {

/// Predicts run times from the declared ones and from finished runs. Declared times are far off at
/// some sites and exact at others. Therefore a linear regression for each queue, from the logarithm
/// of the declared time to that of the run time, learns how far to trust them. Workers differ in
/// speed by constant factors, which are learned from the residuals of the regression.
class item_time_model
{
public:
    /// Learns from a run that was declared as `declaredMs` and took `runTimeMs` on `worker`.
    /// Ignores runs with a time below 1 ms.
    void learn(const std::string &queue, std::int64_t declaredMs, std::int64_t runTimeMs,
               const process_id &worker);
    /// Expected run time on a worker of mean speed, in ms; `declaredMs` while no run of the
    /// queue is known.
    std::int64_t expectedMs(const std::string &queue, std::int64_t declaredMs) const;
    /// Run times on `worker` as a multiple of those on a worker of mean speed; 1 if unknown.
    double slownessOf(const process_id &worker) const;

private:
    struct regression
    {
        double weight = 0; ///< number of runs, with earlier ones decayed
        double meanX = 0;  ///< mean logarithm of the declared time
        double meanY = 0;  ///< mean logarithm of the run time
        double varianceX = 0;
        double covariance = 0;

        void add(double x, double y);
        double predict(double x) const;
    };
    struct residual
    {
        double weight = 0; ///< number of runs, with earlier ones decayed
        double mean = 0;   ///< mean logarithm of the run time over the predicted one
    };

    std::map<std::string, regression> m_queues;
    std::map<process_id, residual> m_workers;
};

} // namespace hyssoppond::batch
