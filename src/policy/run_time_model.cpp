/// @file Run times learned per team and caller from finished jobs.
#include "hyssoppond/policy/run_time_model_base.h"

#include <algorithm>
#include <cmath>

namespace hyssoppond {

namespace {

constexpr double DefaultRunSeconds = 600; // prior for a job without a declared run time
constexpr double WeightDecay = 0.95;      // factor on the weight of earlier jobs per finished job
constexpr double PriorWeight = 2;         // of the coarser estimate, in finished jobs

} // namespace

void run_time_model::log_mean::add(double value)
{
    weight *= WeightDecay;
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
    double logEstimate
        = std::log(job.declaredRunSeconds > 0 ? static_cast<double>(job.declaredRunSeconds)
                                              : DefaultRunSeconds);
    if (m_learn) {
        const auto blend = [&logEstimate](const log_mean &observed) {
            logEstimate = (logEstimate * PriorWeight + observed.mean * observed.weight)
                / (PriorWeight + observed.weight);
        };
        blend(m_all);
        if (const auto found = m_teams.find(job.team); found != m_teams.end())
            blend(found->second);
        if (const auto found = m_callers.find({job.team, job.caller}); found != m_callers.end())
            blend(found->second);
    }
    // Run times are heavy-tailed, so a job that has run longer than half its estimate is expected
    // to run as long again.
    return std::max(std::exp(logEstimate), 2 * attained);
}

} // namespace hyssoppond
