/// @file Random schedules of all faults over several processes in virtual time.
#include "batch_site_base.h"

#include "hyssoppond/batch/lease_rule_func.h"

#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

/// Time until entries and agents know each other and one entry decides.
constexpr absl::Duration StartTime = absl::Seconds(5);

// Guards against two runs of one item at the same time, and against a run of an item that has
// completed, under random faults of all kinds.
class batch_schedule_test : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(batch_schedule_test, noItemRunsTwice)
{
    batch_site site(GetParam(), 4, 3);
    virtual_clock &clock = site.clock;
    for (auto &[name, worker] : site.workers) {
        worker->clockRate = 1.0 - WorkerClockError * clock.uniform();
        worker->itemTime = absl::Seconds(1 + 4 * clock.uniform());
    }
    clock.runFor(StartTime);
    const auto pick = [&clock](const char *kind, std::size_t count) {
        return absl::StrCat(kind, clock.random() % count);
    };
    std::vector<std::string> ids;
    constexpr int FaultSteps = 40;
    for (int i = 0; i < FaultSteps; ++i) {
        ids.push_back(batch_site::idOf(1'000 + static_cast<std::uint64_t>(i)));
        const bool gang = clock.uniform() < 0.4;
        site.submit(pick("entry-", 3), ids.back(), clock.uniform() < 0.3 ? "urgent" : "normal",
                    batch_site::stepOf(1 + clock.random() % 4, 1 + clock.random() % 4, gang));
        const std::string agent = pick("agent-", 4);
        const std::string entry = pick("entry-", 3);
        switch (clock.random() % 9) {
        case 0:
            site.kill(agent);
            clock.after(absl::Seconds(3 * clock.uniform()), [&site, agent] {
                if (!site.agents.contains(agent))
                    site.startAgent(agent);
            });
            break;
        case 1:
            site.kill(entry);
            clock.after(absl::Seconds(3 * clock.uniform()), [&site, entry] {
                if (!site.entries.contains(entry))
                    site.startEntry(entry);
            });
            break;
        case 2:
            site.workers.at(agent)->restart();
            break;
        case 3: {
            const std::string cut = clock.uniform() < 0.5 ? agent : entry;
            (clock.uniform() < 0.5 ? site.store.faults[cut].silent : site.store.faults[cut].refuse)
                = true;
            clock.after(absl::Seconds(16 * clock.uniform()), [&site, cut] {
                site.store.faults[cut].silent = false;
                site.store.faults[cut].refuse = false;
            });
            break;
        }
        case 4:
            site.store.faults[entry].loseAnswers = 0.4;
            site.store.faults[entry].executeLate = 0.2;
            clock.after(absl::Seconds(4), [&site, entry] {
                site.store.faults[entry].loseAnswers = 0;
                site.store.faults[entry].executeLate = 0;
            });
            break;
        case 5:
            site.workers.at(agent)->faults.executeLate = 0.3;
            site.workers.at(agent)->faults.loseAnswers = 0.2;
            clock.after(absl::Seconds(5), [&site, agent] {
                site.workers.at(agent)->faults.executeLate = 0;
                site.workers.at(agent)->faults.loseAnswers = 0;
            });
            break;
        case 6:
            site.workers.at(agent)->faults.unreachable = true;
            clock.after(absl::Seconds(5 * clock.uniform()),
                        [&site, agent] { site.workers.at(agent)->faults.unreachable = false; });
            break;
        default:
            break;
        }
        clock.runFor(absl::Seconds(2 * clock.uniform()));
    }
    for (auto &[name, fault] : site.store.faults)
        fault = {};
    clock.runFor(absl::Seconds(90));
    for (const std::string &breach : site.history.breaches)
        ADD_FAILURE() << breach << "; now " << absl::FormatTime(clock.now()) << "\n"
                      << site.decisionsAbout(breach.substr(0, breach.find(' ')));
    const batch_state &state = site.entries.begin()->second->node->state();
    for (const std::string &id : ids) {
        const job_state *job = state.find(job_id(id));
        if (job == nullptr)
            continue; // its submission was refused
        EXPECT_EQ(job->status(), job_status::Completed) << site.decisionsAbout(id);
    }
    EXPECT_GT(site.history.done, 0U);
}

INSTANTIATE_TEST_SUITE_P(seeds, batch_schedule_test, testing::Range<std::uint64_t>(1, 31));

} // namespace
} // namespace hyssoppond::batch
