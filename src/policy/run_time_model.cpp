/// @file Run times learned per team and caller from finished jobs.
#include "hyssoppond/policy/run_time_model_base.h"

#include <algorithm>
#include <cmath>

namespace hyssoppond {

namespace {

constexpr double UnknownRunSeconds = 600; // used before any job has finished or declared
constexpr double Memory = 0.95;           // weight of the past per finished job
constexpr double PriorWeight = 2;         // finished jobs that the coarser level counts for

} // namespace

void run_time_model::log_mean::add(double value)
{
    weight *= Memory;
    mean = (mean * weight + value) / (weight + 1);
    weight += 1;
}

void run_time_model::finished(const job_spec &job, double seconds)
{
    const double value = std::log(std::max(seconds, 1.0));
    m_callers[{job.team, job.caller}].add(value);
    m_teams[job.team].add(value);
    m_all.add(value);
}

double run_time_model::expected(const job_spec &job, double attained) const
{
    double guess = std::log(job.declaredRunSeconds > 0 ? static_cast<double>(job.declaredRunSeconds)
                                                       : UnknownRunSeconds);
    if (m_learn) {
        const auto blend = [&guess](const log_mean &level) {
            guess
                = (guess * PriorWeight + level.mean * level.weight) / (PriorWeight + level.weight);
        };
        blend(m_all);
        if (const auto found = m_teams.find(job.team); found != m_teams.end())
            blend(found->second);
        if (const auto found = m_callers.find({job.team, job.caller}); found != m_callers.end())
            blend(found->second);
    }
    // A job that outlived its estimate is expected to run as long again: run times are
    // heavy-tailed.
    return std::max(std::exp(guess), 2 * attained);
}

} // namespace hyssoppond
