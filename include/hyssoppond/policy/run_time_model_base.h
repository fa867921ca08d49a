/// @file Run times learned per team and caller from finished jobs.
#pragma once

#include "hyssoppond/world/job_type.h"

#include <absl/container/flat_hash_map.h>

#include <utility>

namespace hyssoppond {

/// Predicts run times from finished jobs. Declared run times are often far off, so they only serve
/// as a prior, which loses weight as jobs finish.
class run_time_model
{
public:
    /// `learn`: false leaves declared run times as the only input.
    explicit run_time_model(bool learn)
        : m_learn(learn)
    { }

    /// Learns from a finished job that ran for `seconds`.
    void finished(const job_spec &job, double seconds);
    /// Expected total run time, in seconds, of a job that has already run for `attained` seconds.
    double expected(const job_spec &job, double attained) const;

private:
    /// Weighted mean of the logarithms of run times in seconds; older jobs weigh less.
    struct log_mean
    {
        double weight = 0;
        double mean = 0;

        void add(double value);
    };

    bool m_learn;
    absl::flat_hash_map<std::pair<team_id, caller_id>, log_mean> m_callers;
    absl::flat_hash_map<team_id, log_mean> m_teams;
    log_mean m_all;
};

} // namespace hyssoppond
