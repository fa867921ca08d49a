/// @file What learned run times and worker speeds change for the callers of gangs: the share of
/// gangs that end within their objective on unequal workers with wrong declarations, if gangs are
/// placed by declared, by learned and by true values. Also the cost of learning one run.
#include "figure_base.h"

#include "hyssoppond/batch/item_time_model_base.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <queue>
#include <random>
#include <vector>

namespace hyssoppond::bench {
namespace {

using namespace batch;

/// Where the times and speeds come from by which the work is placed and ordered.
enum class knowledge { Declared, Learned, Oracle };

constexpr std::array<const char *, 3> KnowledgeNames {"declared", "learned", "oracle"};
constexpr std::uint64_t Seed = 101;
constexpr std::size_t Workers = 75;
constexpr double DurationMs = 600'000;
constexpr double WarmUpMs = 60'000; ///< gangs that arrive earlier are not counted
constexpr double MeanArrivalMs = 550;
constexpr double DeclarationError = 0.5; ///< standard deviation of the logarithm
constexpr double Noise = 0.2;            ///< the same of the items of one step
constexpr double LongShare = 0.03;
constexpr double LongFactor = 7;

/// One third of the jobs are urgent gangs of whole workers, the others wide steps of single items.
struct workload_job
{
    double arrivalMs = 0;
    bool isGang = false;
    std::uint32_t items = 0;
    double typicalMs = 0; ///< at mean speed
    double declaredMs = 0;
    double objectiveMs = 0;
    std::vector<double> itemFactors; ///< noise of the items; of the gang: the first one
};

std::vector<workload_job> makeJobs()
{
    std::mt19937_64 random(Seed);
    const auto normal
        = [&](double spread) { return std::normal_distribution<>(0, spread)(random); };
    std::vector<workload_job> jobs;
    double now = 0;
    while (now < DurationMs) {
        now += std::exponential_distribution<>(1 / MeanArrivalMs)(random);
        workload_job job;
        job.arrivalMs = now;
        job.isGang = random() % 3 == 0;
        job.items = job.isGang ? 2 + random() % 6 : 4 + random() % 6;
        job.typicalMs = (job.isGang ? 2'100 : 4'000) * std::exp(normal(0.4));
        job.declaredMs = job.typicalMs * std::exp(normal(DeclarationError));
        job.objectiveMs = 1.5 * job.typicalMs + 250;
        for (std::uint32_t i = 0; i < (job.isGang ? 1 : job.items); ++i) {
            const bool isLong = std::uniform_real_distribution<>()(random) < LongShare;
            job.itemFactors.push_back(std::exp(normal(Noise)) * (isLong ? LongFactor : 1.0));
        }
        jobs.push_back(std::move(job));
    }
    return jobs;
}

/// Workers that run one item each at a time. Gangs go to the fastest idle workers and single items
/// to the slowest; what waits goes by its latest start, gangs first.
class speed_site
{
public:
    explicit speed_site(knowledge kind)
        : m_kind(kind)
    {
        for (std::size_t i = 0; i < Workers; ++i) {
            m_slowness.push_back(std::array<double, 3> {0.6, 1.0, 1.7}[i % 3]);
            m_idle.push_back(i);
        }
        std::shuffle(m_slowness.begin(), m_slowness.end(), std::mt19937_64(Seed));
    }

    /// Share of the gangs within their objective.
    double run(const std::vector<workload_job> &jobs)
    {
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            endUntil(jobs, jobs[i].arrivalMs);
            m_nowMs = jobs[i].arrivalMs;
            if (jobs[i].isGang) {
                m_waiting.push_back({i, 0});
            } else {
                for (std::uint32_t item = 0; item < jobs[i].items; ++item)
                    m_waiting.push_back({i, item});
            }
            startWhatFits(jobs);
        }
        endUntil(jobs, 2 * DurationMs);
        return static_cast<double>(m_inTime)
            / static_cast<double>(std::max<std::size_t>(1, m_gangs));
    }

    double learnUs() const { return m_learnNs / 1'000 / static_cast<double>(m_learned); }

private:
    struct waiting_run
    {
        std::size_t job = 0;
        std::uint32_t item = 0;
    };
    struct active_run
    {
        double endMs = 0;
        double startMs = 0;
        waiting_run run;
        std::vector<std::size_t> workers;
        bool operator>(const active_run &other) const { return endMs > other.endMs; }
    };

    static process_id nameOf(std::size_t worker) { return process_id(absl::StrCat("w", worker)); }

    double slownessOf(std::size_t worker) const
    {
        switch (m_kind) {
        case knowledge::Learned:
            return m_model.slownessOf(nameOf(worker));
        case knowledge::Oracle:
            return m_slowness[worker];
        case knowledge::Declared:
            break;
        }
        return 1.0;
    }

    double expectedMs(const workload_job &job) const
    {
        if (m_kind == knowledge::Oracle)
            return job.typicalMs;
        if (m_kind == knowledge::Declared)
            return job.declaredMs;
        return static_cast<double>(
            m_model.expectedMs(queueOf(job), static_cast<std::int64_t>(job.declaredMs)));
    }

    static std::string queueOf(const workload_job &job) { return job.isGang ? "gangs" : "items"; }

    void startWhatFits(const std::vector<workload_job> &jobs)
    {
        std::vector<double> slowness(Workers);
        for (std::size_t i = 0; i < Workers; ++i)
            slowness[i] = slownessOf(i);
        // The first idle worker is the fastest.
        std::sort(m_idle.begin(), m_idle.end());
        std::stable_sort(m_idle.begin(), m_idle.end(),
                         [&](std::size_t a, std::size_t b) { return slowness[a] < slowness[b]; });
        const auto latestStart = [&](const waiting_run &run) {
            const workload_job &job = jobs[run.job];
            return job.arrivalMs + (job.isGang ? 0.5 : 2.0) * expectedMs(job);
        };
        std::stable_sort(m_waiting.begin(), m_waiting.end(),
                         [&](const waiting_run &a, const waiting_run &b) {
                             if (jobs[a.job].isGang != jobs[b.job].isGang)
                                 return jobs[a.job].isGang;
                             return latestStart(a) < latestStart(b);
                         });
        std::vector<waiting_run> left;
        for (const waiting_run &run : m_waiting) {
            const workload_job &job = jobs[run.job];
            const std::size_t members = job.isGang ? job.items : 1;
            if (members > m_idle.size()) {
                left.push_back(run);
                continue;
            }
            active_run active {0, m_nowMs, run, {}};
            const auto begin
                = job.isGang ? m_idle.begin() : m_idle.end() - static_cast<std::ptrdiff_t>(members);
            active.workers.assign(begin, begin + static_cast<std::ptrdiff_t>(members));
            m_idle.erase(begin, begin + static_cast<std::ptrdiff_t>(members));
            double slowest = 0;
            for (const std::size_t worker : active.workers)
                slowest = std::max(slowest, m_slowness[worker]);
            active.endMs = m_nowMs + job.typicalMs * slowest * job.itemFactors[run.item];
            m_active.push(std::move(active));
        }
        m_waiting = std::move(left);
    }

    void endUntil(const std::vector<workload_job> &jobs, double untilMs)
    {
        while (!m_active.empty() && m_active.top().endMs <= untilMs) {
            const active_run ended = m_active.top();
            m_active.pop();
            m_nowMs = ended.endMs;
            const workload_job &job = jobs[ended.run.job];
            m_idle.insert(m_idle.end(), ended.workers.begin(), ended.workers.end());
            if (job.isGang && job.arrivalMs >= WarmUpMs) {
                ++m_gangs;
                m_inTime += m_nowMs - job.arrivalMs <= job.objectiveMs ? 1 : 0;
            }
            learn(job, ended);
            startWhatFits(jobs);
        }
    }

    void learn(const workload_job &job, const active_run &ended)
    {
        finished_run finished {queueOf(job),
                               static_cast<std::int64_t>(job.declaredMs),
                               static_cast<std::int64_t>(ended.endMs - ended.startMs),
                               unit_id {job_id(absl::StrCat(ended.run.job)), 0, 0, ended.run.item},
                               {},
                               {}};
        for (const std::size_t worker : ended.workers)
            finished.members.push_back({nameOf(worker), ""});
        const std::int64_t startNs = absl::GetCurrentTimeNanos();
        m_model.learn(finished);
        m_learnNs += static_cast<double>(absl::GetCurrentTimeNanos() - startNs);
        ++m_learned;
    }

    knowledge m_kind;
    std::vector<double> m_slowness;
    std::vector<std::size_t> m_idle;
    std::vector<waiting_run> m_waiting;
    std::priority_queue<active_run, std::vector<active_run>, std::greater<>> m_active;
    item_time_model m_model;
    double m_nowMs = 0;
    std::size_t m_gangs = 0;
    std::size_t m_inTime = 0;
    double m_learnNs = 0;
    std::size_t m_learned = 0;
};

std::vector<figure> measure()
{
    const std::vector<workload_job> jobs = makeJobs();
    std::vector<figure> figures;
    for (const knowledge kind : {knowledge::Declared, knowledge::Learned, knowledge::Oracle}) {
        speed_site site(kind);
        const char *name = KnowledgeNames[static_cast<std::size_t>(kind)];
        const std::string seed = absl::StrCat(Seed);
        figures.push_back({"gangs_in_time_share", "75-unequal-workers", name, seed, site.run(jobs),
                           bound_kind::None, 0});
        if (kind == knowledge::Learned)
            figures.push_back({"learn_run_us_mean", "75-unequal-workers", name, seed,
                               site.learnUs(), bound_kind::AtMost, 100});
    }
    return figures;
}

const part_registration Part("worker_speed", measure);

} // namespace
} // namespace hyssoppond::bench
