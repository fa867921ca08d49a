/// @file The agent's reports of the progress of runs, from which deciders learn before they end.
#include "hyssoppond/batch/batch_agent_base.h"

#include <algorithm>
#include <cmath>

namespace hyssoppond::batch {

namespace {

/// Least progress in percent from which the time of a run is derived. The worker lists whole
/// percents, and the first part of a run may differ from the rest.
constexpr int MinPercent = 15;

/// Lists of the worker that must have shown progress. One look may be of a run that stands still.
constexpr std::uint32_t MinLooks = 2;

/// A run is reported again, once, if its expected time has changed by this factor.
constexpr double ChangedFactor = 4.0 / 3.0;
constexpr std::uint32_t MaxReports = 2;

} // namespace

std::vector<run_progress> batch_agent::takeProgress()
{
    std::vector<run_progress> progress;
    for (auto &[id, run] : m_runs) {
        if (progress.size() == MaxProgressEntries)
            break;
        // The progress of a later run may begin at that of a checkpoint.
        if (run.state != phase::Running || run.unwanted || id.run != 1 || run.percent < MinPercent
            || run.percent >= 100 || run.progressLooks < MinLooks
            || run.progressReports >= MaxReports || run.startedAt >= run.progressAt)
            continue;
        const std::int64_t expectedMs
            = absl::ToInt64Milliseconds(run.progressAt - run.startedAt) * 100 / run.percent;
        const double change = run.reportedMs == 0
            ? HUGE_VAL
            : static_cast<double>(expectedMs) / static_cast<double>(run.reportedMs);
        if (expectedMs < 1 || (change < ChangedFactor && change > 1.0 / ChangedFactor))
            continue;
        run.reportedMs = expectedMs;
        ++run.progressReports;
        progress.push_back({id.unit, id.run, expectedMs});
    }
    return progress;
}

void batch_agent::returnProgress(const std::vector<run_progress> &lost)
{
    for (const run_progress &entry : lost) {
        for (auto &[id, run] : m_runs) {
            if (id.unit != entry.unit || id.run != entry.run || run.reportedMs != entry.expectedMs)
                continue;
            run.reportedMs = 0;
            --run.progressReports;
        }
    }
}

} // namespace hyssoppond::batch
