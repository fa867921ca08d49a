/// @file Completion times, adjacency wait and start of urgent work, against the baselines.
#include "figure_base.h"
#include "policy_simulation.h"

#include "hyssoppond/policy/baseline_base.h"
#include "hyssoppond/policy/scheduler_base.h"

#include <algorithm>
#include <numeric>

namespace hyssoppond::bench {
namespace {

/// Seeds of one group of runs.
struct seed_range
{
    std::string name;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

const std::vector<seed_range> SeedRanges {{"tuning:1-5", 1, 5}, {"final:101-110", 101, 110}};
const std::vector<std::string> Sites {"burrowline", "kivu"};

/// Figures over all seeds of a range.
struct pooled_figures
{
    double mean = 0;
    double p99 = 0;
    double adjacencyWait = 0;
    double worstContractStart = 0;
    std::size_t preemptions = 0;
};

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

template<class make_policy>
pooled_figures poolSeeds(const std::string &site, const seed_range &seeds,
                         const make_policy &makePolicy)
{
    pooled_figures out;
    std::vector<double> completion;
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        const site_mix mix = mixOf(site, seed);
        auto policy = makePolicy();
        run_figures figures = simulation(mix, *policy).run();
        completion.insert(completion.end(), figures.completionSeconds.begin(),
                          figures.completionSeconds.end());
        out.adjacencyWait += figures.adjacencyWait;
        out.preemptions += figures.preemptions;
        for (const double start : figures.contractStartSeconds)
            out.worstContractStart = std::max(out.worstContractStart, start);
    }
    out.mean = std::accumulate(completion.begin(), completion.end(), 0.0)
        / static_cast<double>(completion.size());
    out.p99 = quantile(std::move(completion), 0.99);
    return out;
}

pooled_figures poolBaseline(const std::string &site, const seed_range &seeds, baseline_kind kind)
{
    return poolSeeds(site, seeds, [kind] { return std::make_unique<baseline_scheduler>(kind); });
}

pooled_figures poolScheduler(const std::string &site, const seed_range &seeds,
                             const scheduler_options &options = {})
{
    return poolSeeds(site, seeds, [&options] { return std::make_unique<scheduler>(options); });
}

std::vector<figure> compareWithBaselines()
{
    std::vector<figure> out;
    for (const std::string &site : Sites) {
        for (const seed_range &seeds : SeedRanges) {
            const pooled_figures schedulerFigures = poolScheduler(site, seeds);
            const pooled_figures fcfs = poolBaseline(site, seeds, baseline_kind::FirstComeFirstFit);
            const auto add = [&](const char *measure, const std::string &policy, double value,
                                 bound_kind kind = bound_kind::None, double bound = 0) {
                out.push_back({measure, site, policy, seeds.name, value, kind, bound});
            };
            add("mean_completion_ratio", "scheduler", schedulerFigures.mean / fcfs.mean,
                bound_kind::AtMost, 0.6);
            add("p99_completion_ratio", "scheduler", schedulerFigures.p99 / fcfs.p99,
                bound_kind::AtMost, 0.6);
            add("adjacency_wait_ratio", "scheduler",
                schedulerFigures.adjacencyWait / fcfs.adjacencyWait, bound_kind::AtMost, 0.2);
            add("urgent_under_contract_start_seconds_max", "scheduler",
                schedulerFigures.worstContractStart, bound_kind::AtMost, 7.5);
            add("preemptions", "scheduler", static_cast<double>(schedulerFigures.preemptions));
            add("mean_completion_seconds", "scheduler", schedulerFigures.mean);
            add("p99_completion_seconds", "scheduler", schedulerFigures.p99);
            add("adjacency_wait_accelerator_seconds", "scheduler", schedulerFigures.adjacencyWait);
            for (const baseline_kind kind :
                 {baseline_kind::FirstComeFirstFit, baseline_kind::FirstFitSkipping,
                  baseline_kind::QuotaPreemption, baseline_kind::FixedReservation}) {
                const pooled_figures baseline = kind == baseline_kind::FirstComeFirstFit
                    ? fcfs
                    : poolBaseline(site, seeds, kind);
                const std::string name(BaselineKindNames.name(kind));
                add("mean_completion_seconds", name, baseline.mean);
                add("p99_completion_seconds", name, baseline.p99);
                add("adjacency_wait_accelerator_seconds", name, baseline.adjacencyWait);
            }
        }
    }
    return out;
}

std::vector<figure> ablation()
{
    struct variant
    {
        std::string name;
        std::function<void(scheduler_options &)> apply;
    };
    const std::vector<variant> variants {
        {"without-best-fit", [](auto &options) { options.bestFit = false; }},
        {"without-learned-run-times", [](auto &options) { options.learnRunTimes = false; }},
        {"without-run-time-order", [](auto &options) { options.runTimeWeight = 0; }},
        {"without-fair-shares", [](auto &options) { options.fairShares = false; }},
        {"without-holds", [](auto &options) { options.reserveForStarved = false; }},
        {"without-compaction", [](auto &options) { options.compaction = false; }},
        {"without-guarantee-check", [](auto &options) { options.guaranteeCheck = false; }},
    };
    std::vector<figure> out;
    const seed_range &seeds = SeedRanges.back();
    for (const std::string &site : Sites) {
        const pooled_figures schedulerFigures = poolScheduler(site, seeds);
        for (const variant &changed : variants) {
            scheduler_options options;
            changed.apply(options);
            const pooled_figures ablated = poolScheduler(site, seeds, options);
            const auto add = [&](const char *measure, double value) {
                out.push_back({measure, site, changed.name, seeds.name, value});
            };
            add("mean_completion_over_full", ablated.mean / schedulerFigures.mean);
            add("p99_completion_over_full", ablated.p99 / schedulerFigures.p99);
            add("adjacency_wait_over_full", ablated.adjacencyWait / schedulerFigures.adjacencyWait);
            add("urgent_under_contract_start_seconds_max", ablated.worstContractStart);
        }
    }
    return out;
}

const part_registration CompareWithBaselines("policy_completion", compareWithBaselines);
const part_registration Ablation("policy_ablation", ablation);

} // namespace
} // namespace hyssoppond::bench
