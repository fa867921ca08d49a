/// @file Tests of the models of worker speed and run times, on simulated run times.
#include "hyssoppond/batch/item_time_model_base.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <random>

namespace hyssoppond::batch {
namespace {

/// Workers of given slowness, and run times with noise, long runs and wrong declarations.
class simulated_site
{
public:
    simulated_site(std::vector<double> slowness, std::uint64_t seed)
        : m_slowness(std::move(slowness))
        , m_random(seed)
    { }

    static process_id workerOf(std::size_t number) { return process_id(absl::StrCat("w", number)); }

    double normal(double spread) { return std::normal_distribution<>(0, spread)(m_random); }
    std::size_t below(std::size_t count) { return m_random() % count; }

    /// Starts a job whose declared time is off by exp(`error`) on average.
    void beginJob(double error = 0.5, std::string queue = "queue")
    {
        ++m_jobs;
        m_items = 0;
        m_queue = std::move(queue);
        m_typicalMs = 4'000 * std::exp(normal(0.7));
        m_declaredMs = static_cast<std::int64_t>(m_typicalMs * std::exp(normal(error)));
    }

    /// Runs one item, or one gang, of the present job on `workers`.
    void run(const std::vector<std::size_t> &workers)
    {
        double slowest = 0;
        finished_run finished {m_queue, m_declaredMs,
                               0,       unit_id {job_id(absl::StrCat(m_jobs)), 0, 0, m_items++},
                               {},      m_team};
        for (const std::size_t worker : workers) {
            slowest = std::max(slowest, m_slowness[worker]);
            finished.members.push_back({workerOf(worker), "kind"});
        }
        const double tail = std::uniform_real_distribution<>()(m_random) < 0.03 ? 7.0 : 1.0;
        finished.runTimeMs
            = static_cast<std::int64_t>(m_typicalMs * slowest * std::exp(normal(noise)) * tail);
        if (asProgress)
            model.learnProgress(finished);
        else
            model.learn(finished);
    }

    /// A job of `items` single items on the workers from `first` on.
    void runItems(std::size_t first, std::size_t items)
    {
        beginJob();
        for (std::size_t i = 0; i < items; ++i)
            run({(first + i) % m_slowness.size()});
    }

    /// A gang job on random workers.
    void runGang(std::size_t members, double error = 0.5)
    {
        beginJob(error);
        std::vector<std::size_t> workers;
        for (std::size_t i = 0; i < members; ++i)
            workers.push_back(below(m_slowness.size()));
        run(workers);
    }

    /// Share of the workers whose estimate is right up to a factor of `factor`, after the common
    /// factor of all is taken out.
    double shareRight(double factor) const
    {
        double offset = 0;
        for (std::size_t i = 0; i < m_slowness.size(); ++i)
            offset += std::log(model.slownessOf(workerOf(i)) / m_slowness[i]);
        offset /= static_cast<double>(m_slowness.size());
        std::size_t right = 0;
        for (std::size_t i = 0; i < m_slowness.size(); ++i) {
            const double error = std::log(model.slownessOf(workerOf(i)) / m_slowness[i]) - offset;
            right += std::abs(error) <= std::log(factor) ? 1 : 0;
        }
        return static_cast<double>(right) / static_cast<double>(m_slowness.size());
    }

    item_time_model model;
    double noise = 0.2;      ///< spread of the items of one step
    bool asProgress = false; ///< the runs go on, and their times are estimates

private:
    std::vector<double> m_slowness;
    std::mt19937_64 m_random;
    std::uint64_t m_jobs = 0;
    std::uint32_t m_items = 0;
    team_id m_team;
    std::string m_queue;
    double m_typicalMs = 0;
    std::int64_t m_declaredMs = 0;

public:
    void setSlowness(std::size_t worker, double slowness) { m_slowness[worker] = slowness; }
};

std::vector<double> unequal(std::size_t workers)
{
    std::vector<double> slowness;
    for (std::size_t i = 0; i < workers; ++i)
        slowness.push_back(i % 3 == 0 ? 0.6 : i % 3 == 1 ? 1.0 : 1.7);
    return slowness;
}

// Five steps of 30 items on a fleet of 75 unequal workers. Guards against estimates that need more
// than two items of a worker, or that follow wrong declarations or single long runs.
TEST(worker_speed_model_test, twoItemsOfAWorkerShowItsSpeed)
{
    double right = 0;
    constexpr std::uint64_t Seeds = 20;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        simulated_site site(unequal(75), seed);
        for (std::size_t item = 0; item < 150; item += 30)
            site.runItems(item, 30);
        EXPECT_TRUE(site.model.speeds().isUnequal()) << seed;
        right += site.shareRight(1.25) / Seeds;
    }
    EXPECT_GE(right, 0.9);
}

// Guards against gangs that teach nothing, or that make all their members count as slow.
TEST(worker_speed_model_test, gangsAloneShowSlowWorkers)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        simulated_site site(unequal(75), seed);
        for (int gang = 0; gang < 600; ++gang)
            site.runGang(3, 0.2);
        std::array<double, 3> slowness {};
        for (std::size_t i = 0; i < 75; ++i)
            slowness[i % 3] += std::log(site.model.slownessOf(site.workerOf(i))) / 25;
        EXPECT_GT(slowness[2] - slowness[1], 0.3) << seed;
    }
}

// Guards against a fleet of equal workers that is scheduled by the noise of its run times, for
// items that vary little and much, in wide steps, gangs and single items.
TEST(worker_speed_model_test, equalWorkersCountAsEqual)
{
    for (const double noise : {0.05, 0.2, 0.5}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            simulated_site site(std::vector<double>(60, 1.0), seed);
            site.noise = noise;
            int opened = 0;
            for (int job = 0; job < 600; ++job) {
                if (job % 3 == 0)
                    site.runItems(site.below(60), 8);
                else if (job % 3 == 1)
                    site.runGang(4);
                else
                    site.runItems(site.below(60), 1);
                opened += site.model.speeds().isUnequal() ? 1 : 0;
            }
            EXPECT_EQ(opened, 0) << noise << " " << seed;
            EXPECT_EQ(site.model.slownessOf(site.workerOf(0)), 1.0);
        }
    }
}

// Guards against the error of a queue's or a team's declarations that is taken for the speed of the
// workers where its items always run.
TEST(worker_speed_model_test, queuesOfTheirOwnWorkersDoNotMakeThemUnequal)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        simulated_site site(std::vector<double>(60, 1.0), seed);
        int opened = 0;
        for (int job = 0; job < 400; ++job) {
            const std::size_t queue = job % 6;
            site.beginJob(0.5, absl::StrCat("queue-", queue));
            for (std::size_t item = 0; item < 1 + queue; ++item)
                site.run({10 * queue + site.below(10)});
            opened += site.model.speeds().isUnequal() ? 1 : 0;
        }
        EXPECT_EQ(opened, 0) << seed;
    }
}

// Guards against a worker that keeps its good name after it has become slow.
TEST(worker_speed_model_test, workerThatBecomesSlowIsNoticed)
{
    simulated_site site(unequal(30), 5);
    for (std::size_t item = 0; item < 300; item += 6)
        site.runItems(item, 6);
    EXPECT_LT(site.model.slownessOf(site.workerOf(0)), 0.8);
    site.setSlowness(0, 2.0);
    for (int job = 0; job < 3; ++job)
        site.runItems(0, 6);
    EXPECT_GT(site.model.slownessOf(site.workerOf(0)), 1.3);
}

// Guards against speeds that are unknown until the first long items of a day have ended, and
// against progress that still counts when the end of its run is known.
TEST(worker_speed_model_test, progressShowsSpeedsUntilTheEndReplacesIt)
{
    double right = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        simulated_site site(unequal(75), seed);
        site.asProgress = true;
        for (int job = 0; job < 3; ++job)
            site.runItems(0, 75);
        EXPECT_TRUE(site.model.speeds().isUnequal()) << seed;
        right += site.shareRight(1.25) / 10;
    }
    EXPECT_GE(right, 0.8);

    simulated_site direct(unequal(30), 1);
    simulated_site replaced(unequal(30), 1);
    const process_id worker = simulated_site::workerOf(0);
    finished_run run {"queue", 4'000, 2'400, unit_id {job_id("last")}, {{worker, "kind"}}, {}};
    for (simulated_site *site : {&direct, &replaced}) {
        for (int job = 0; job < 10; ++job)
            site->runItems(0, 30);
    }
    const double before = direct.model.slownessOf(worker);
    run.runTimeMs = 20'000;
    replaced.model.learnProgress(run);
    replaced.model.learnProgress(run);
    EXPECT_GT(replaced.model.slownessOf(worker), before * 1.01);
    run.runTimeMs = 2'400;
    direct.model.learn(run);
    replaced.model.learn(run);
    EXPECT_NEAR(direct.model.slownessOf(worker), replaced.model.slownessOf(worker), 0.05);
}

// Guards against deciders that plan differently after the same journal.
TEST(worker_speed_model_test, sameRunsGiveTheSameModel)
{
    simulated_site first(unequal(40), 7);
    simulated_site second(unequal(40), 7);
    for (simulated_site *site : {&first, &second}) {
        for (int job = 0; job < 100; ++job) {
            site->runItems(site->below(40), 5);
            site->runGang(3);
        }
    }
    EXPECT_TRUE(first.model.speeds().isUnequal());
    for (std::size_t i = 0; i < 40; ++i)
        EXPECT_EQ(first.model.slownessOf(first.workerOf(i)),
                  second.model.slownessOf(second.workerOf(i)));
}

// Guards against typical times that follow the few runs which take 7 times as long, and against
// reservations that ignore them.
TEST(item_time_model_test, longRunsShowInHighQuantilesOnly)
{
    item_time_model model;
    for (int i = 0; i < 300; ++i)
        model.learn("queue", 2'000, i % 33 == 0 ? 14'000 : 1'900 + i % 5 * 50, process_id("w"));
    EXPECT_NEAR(static_cast<double>(model.expectedMs("queue", 2'000)), 2'000, 150);
    EXPECT_LT(model.expectedMs("queue", 2'000, 0.85), 3'000);
    EXPECT_GT(model.expectedMs("queue", 2'000, 0.995), 8'000);
}

// Guards against a team whose wrong declarations make other teams' times wrong.
TEST(item_time_model_test, wrongDeclarationsHurtOnlyTheirTeam)
{
    item_time_model model;
    const team_id right("right");
    const team_id wrong("wrong");
    for (int i = 0; i < 60; ++i) {
        const std::int64_t ms = 1'000 + 173 * (i % 20);
        model.learn({"queue", ms, ms, std::nullopt, {{process_id("w"), ""}}, right});
        model.learn({"queue", 4 * ms, ms, std::nullopt, {{process_id("w"), ""}}, wrong});
    }
    EXPECT_NEAR(static_cast<double>(model.expectedMs("queue", 2'000, right)), 2'000, 300);
    EXPECT_NEAR(static_cast<double>(model.expectedMs("queue", 8'000, wrong)), 2'000, 500);
}

} // namespace
} // namespace hyssoppond::batch
