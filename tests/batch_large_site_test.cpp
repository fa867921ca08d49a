/// @file Random schedules of faults on a site of many workers with large gangs, in virtual time.
#include "batch_site_base.h"

#include "hyssoppond/batch/lease_rule_func.h"

#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

constexpr std::uint64_t Workers = 36;
constexpr std::uint64_t Entries = 6;

/// Records of the journal that are kept, and records of a page and of a read: few, so that loads
/// take many calls and followers that fall behind have to load again.
constexpr std::size_t KeptRecords = 500;
constexpr std::size_t RecordsPerPage = 60;
constexpr std::size_t RecordsPerRead = 40;

class large_site
{
public:
    explicit large_site(std::uint64_t seed)
        : site(seed, Workers, Entries)
    {
        for (auto &[name, worker] : site.workers) {
            worker->clockRate = 1.0 - WorkerClockError * site.clock.uniform();
            worker->itemTime = absl::Seconds(2 + 4 * site.clock.uniform());
        }
        site.store.keptRecords = KeptRecords;
        site.store.recordsPerPage = RecordsPerPage;
        site.store.recordsPerRead = RecordsPerRead;
    }

    std::string randomAgent() { return absl::StrCat("agent-", site.clock.random() % Workers); }
    std::string randomEntry() { return absl::StrCat("entry-", site.clock.random() % Entries); }

    /// Submits a job of one or two steps, some of which repeat.
    void submit()
    {
        const std::uint64_t number = 1'000 + ids.size();
        batch_job job;
        job.payload = "payload";
        const std::uint32_t gangMembers = 2 + site.clock.random() % 33;
        job.steps.push_back(batch_site::stepOf(gangMembers,
                                               gangMembers > 12 ? 1 : 1 + site.clock.random() % 8,
                                               site.clock.uniform() < 0.8));
        if (site.clock.uniform() < 0.3) {
            job.steps.push_back(batch_site::stepOf(1 + site.clock.random() % 6, 1, true));
            job.steps.back().dependsOn = {0};
        }
        if (site.clock.uniform() < 0.2) {
            job.repeats = 2;
            job.firstRunMs = absl::ToUnixMillis(site.clock.now());
            job.intervalMs = 2'000;
        }
        ids.push_back(batch_site::idOf(number));
        const std::string queue = site.clock.uniform() < 0.4 ? "urgent" : "normal";
        const std::string path = absl::StrCat("/", queue, "/", ids.back());
        site.call(randomEntry(), call_kind::Submit, path, job);
        if (site.clock.uniform() < 0.5) // the same request arrives again, seconds later
            site.clock.after(absl::Seconds(6 * site.clock.uniform()),
                             [this, path, job, entry = randomEntry()] {
                                 site.call(entry, call_kind::Submit, path, job);
                             });
    }

    void restartAgent(const std::string &name, absl::Duration pause)
    {
        site.kill(name);
        site.clock.after(pause, [this, name] {
            if (!site.agents.contains(name))
                site.startAgent(name);
        });
    }

    void restartEntry(const std::string &name, absl::Duration pause)
    {
        site.kill(name);
        site.clock.after(pause, [this, name] {
            if (!site.entries.contains(name))
                site.startEntry(name);
        });
    }

    /// One fault, which lasts for some seconds.
    void disturb()
    {
        virtual_clock &clock = site.clock;
        const std::string agent = randomAgent();
        const std::string entry = randomEntry();
        fake_item_worker &worker = *site.workers.at(agent);
        const absl::Duration span = absl::Seconds(1 + 12 * clock.uniform());
        switch (clock.random() % 10) {
        case 0:
            restartAgent(agent, absl::Seconds(3 * clock.uniform()));
            break;
        case 1:
            restartEntry(entry, absl::Seconds(3 * clock.uniform()));
            break;
        case 2: {
            worker.wallSkew = absl::Seconds(4 * clock.uniform() - 2);
            const worker_heartbeat earlier = worker.heartbeat();
            worker.restart();
            clock.after(absl::Seconds(2 * clock.uniform()), [this, agent, earlier] {
                if (site.agents.contains(agent)) // a delayed report
                    site.agents.at(agent)->node->onHeartbeat(earlier);
            });
            break;
        }
        case 3: {
            const std::string cut = clock.uniform() < 0.7 ? agent : entry;
            store_faults &fault = site.store.faults[cut];
            (clock.uniform() < 0.5 ? fault.silent : fault.refuse) = true;
            if (clock.uniform() < 0.5)
                site.withoutDatagrams.insert(cut);
            clock.after(span, [this, cut] {
                site.store.faults[cut] = {};
                site.withoutDatagrams.erase(cut);
            });
            break;
        }
        case 4: {
            const std::string lossy = clock.uniform() < 0.5 ? agent : entry;
            site.store.faults[lossy].loseAnswers = 0.4;
            site.store.faults[lossy].executeLate = 0.3;
            site.store.faults[lossy].answerDelay = absl::Milliseconds(4 + clock.random() % 300);
            clock.after(span, [this, lossy] { site.store.faults[lossy] = {}; });
            break;
        }
        case 5:
            worker.faults.executeLate = 0.4;
            worker.faults.loseAnswers = 0.2;
            clock.after(span, [&worker] {
                worker.faults.executeLate = 0;
                worker.faults.loseAnswers = 0;
            });
            break;
        case 6:
            worker.faults.unreachable = true;
            clock.after(span, [&worker] { worker.faults.unreachable = false; });
            break;
        case 7:
            if (!site.agents.contains(agent))
                break;
            site.agents.at(agent)->node->onWorkerLeft(worker.description().worker);
            clock.after(absl::Seconds(4 * clock.uniform()), [this, &worker] {
                if (site.clock.uniform() < 0.7)
                    worker.replace(site.clock.uniform() < 0.5
                                       ? worker.description().worker
                                       : absl::StrCat("worker-new-", site.clock.random() % 1'000),
                                   absl::Seconds(4 * site.clock.uniform() - 2));
            });
            break;
        case 8: // the processes of many machines are killed at once
            for (int i = 0; i < 8; ++i)
                restartAgent(randomAgent(), absl::Seconds(2 * clock.uniform()));
            for (int i = 0; i < 3; ++i)
                restartEntry(randomEntry(), absl::Seconds(2 * clock.uniform()));
            break;
        default: // the store forgets its history
            site.store.keptRecords = 20;
            clock.after(absl::Milliseconds(200), [this] { site.store.keptRecords = KeptRecords; });
            break;
        }
    }

    batch_site site;
    std::vector<std::string> ids;
};

// Guards against two runs of one item at the same time, and against a run of an item that has
// completed, at the size of a large site: gangs of up to 34 members, loads and reads of many parts,
// expired records, jobs of several steps and occurrences, and submissions that come again.
class batch_large_site_test : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(batch_large_site_test, noItemRunsTwice)
{
    large_site large(GetParam());
    virtual_clock &clock = large.site.clock;
    clock.runFor(absl::Seconds(5));
    constexpr int FaultSteps = 30;
    for (int i = 0; i < FaultSteps; ++i) {
        large.submit();
        large.disturb();
        if (clock.uniform() < 0.3)
            large.disturb();
        clock.runFor(absl::Seconds(1.5 * clock.uniform()));
    }
    clock.runFor(absl::Seconds(13));
    for (auto &[name, fault] : large.site.store.faults)
        fault = {};
    clock.runFor(absl::Seconds(110));
    for (const std::string &breach : large.site.history.breaches)
        ADD_FAILURE() << breach << "; now " << absl::FormatTime(clock.now()) << "\n"
                      << large.site.decisionsAbout(breach.substr(0, breach.find('.')));
    const batch_state &state = large.site.entries.begin()->second->node->state();
    for (const std::string &id : large.ids) {
        const job_state *job = state.find(job_id(id));
        if (job == nullptr)
            continue; // its submission was refused
        EXPECT_EQ(job->status(), job_status::Completed) << id;
    }
    EXPECT_GT(large.site.history.done, 0U);
}

INSTANTIATE_TEST_SUITE_P(seeds, batch_large_site_test, testing::Range<std::uint64_t>(1, 5));

// Further seeds, to be run by hand with --gtest_also_run_disabled_tests.
INSTANTIATE_TEST_SUITE_P(DISABLED_seeds, batch_large_site_test,
                         testing::Range<std::uint64_t>(5, 401));

} // namespace
} // namespace hyssoppond::batch
