/// @file Run times of items learned from finished ones, by queue and worker.
#pragma once

#include "hyssoppond/base/id_type.h"

#include <cstdint>
#include <map>
#include <string>

namespace hyssoppond::batch {

/// Predicts run times from the declared ones and from finished runs. Declared times are far off at
/// some sites and exact at others, so each queue learns by a linear regression of logarithms how
/// much they say. Workers differ in speed by constant factors, learned from what the regression
/// leaves over.
class item_time_model
{
public:
    /// Learns from a run of `declaredMs` that took `ranMs` on `worker`. Times below 1 ms are left
    /// out.
    void learn(const std::string &queue, std::int64_t declaredMs, std::int64_t ranMs,
               const process_id &worker);
    /// Expected run time on a worker of mean speed, in ms; the declared one while nothing is known.
    std::int64_t expectedMs(const std::string &queue, std::int64_t declaredMs) const;
    /// Run times on `worker` as a multiple of those on a worker of mean speed.
    double slownessOf(const process_id &worker) const;

private:
    struct regression
    {
        double weight = 0;
        double meanX = 0; ///< logarithm of the declared time
        double meanY = 0; ///< logarithm of the run time
        double varianceX = 0;
        double covariance = 0;

        void add(double x, double y);
        double predict(double x) const;
    };
    struct residual
    {
        double weight = 0;
        double mean = 0;
    };

    std::map<std::string, regression> m_queues;
    std::map<process_id, residual> m_workers;
};

} // namespace hyssoppond::batch
