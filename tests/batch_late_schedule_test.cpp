/// @file Random schedules of late orders over agents that are lost for long, in virtual time.
#include "batch_site_base.h"

#include "hyssoppond/batch/lease_rule_func.h"

#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

/// Time until entries and agents know each other and one entry decides.
constexpr absl::Duration StartTime = absl::Seconds(5);

// Guards against two runs of one item at the same time, and against a run of an item that has
// completed, when late orders with leases from their arrival meet agents that are lost for long.
class batch_late_schedule_test : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(batch_late_schedule_test, noItemRunsTwice)
{
    batch_site site(GetParam(), 4, 3);
    virtual_clock &clock = site.clock;
    for (auto &[name, worker] : site.workers) {
        worker->clockRate = 1.0 - WorkerClockError * clock.uniform();
        worker->itemTime = absl::Seconds(1 + 24 * clock.uniform());
        worker->faults.grantsFromArrival = true;
        worker->faults.executeLate = 0.1 * clock.uniform();
    }
    clock.runFor(StartTime);
    const auto secondsUpTo
        = [&clock](double longest) { return absl::Seconds(longest * clock.uniform()); };
    const auto killFor = [&site, &clock](const std::string &agent, absl::Duration away) {
        site.kill(agent);
        clock.after(away, [&site, agent] {
            if (!site.agents.contains(agent))
                site.startAgent(agent);
        });
    };
    const auto cutFor = [&site, &clock](const std::string &agent, absl::Duration cut) {
        (clock.uniform() < 0.5 ? site.store.faults[agent].silent : site.store.faults[agent].refuse)
            = true;
        site.withoutDatagrams.insert(agent);
        clock.after(cut, [&site, agent] {
            site.store.faults[agent] = {};
            site.withoutDatagrams.erase(agent);
        });
    };
    const auto delayOrdersFor = [&site, &clock](const std::string &agent, absl::Duration span) {
        item_worker_faults &faults = site.workers.at(agent)->faults;
        faults.executeLate = 0.3 + 0.7 * clock.uniform();
        if (clock.uniform() < 0.5)
            faults.lateBy = LongestOrderDelay - absl::Seconds(3 * clock.uniform());
        clock.after(span, [&faults] {
            faults.executeLate = 0.0;
            faults.lateBy.reset();
        });
    };
    std::vector<std::string> ids;
    constexpr int FaultSteps = 40;
    for (int i = 0; i < FaultSteps; ++i) {
        ids.push_back(batch_site::idOf(1'000 + static_cast<std::uint64_t>(i)));
        const bool gang = clock.uniform() < 0.4;
        site.submit(absl::StrCat("entry-", clock.random() % 3), ids.back(),
                    clock.uniform() < 0.3 ? "urgent" : "normal",
                    batch_site::stepOf(1 + clock.random() % 4, 1 + clock.random() % 4, gang));
        const std::string agent = absl::StrCat("agent-", clock.random() % 4);
        const std::string entry = absl::StrCat("entry-", clock.random() % 3);
        switch (clock.random() % 12) {
        case 0:
            killFor(agent, secondsUpTo(3));
            break;
        case 1:
            killFor(agent, secondsUpTo(45));
            break;
        case 2:
            delayOrdersFor(agent, secondsUpTo(8));
            clock.after(secondsUpTo(3),
                        [killFor, agent, away = secondsUpTo(45)] { killFor(agent, away); });
            break;
        case 3:
            cutFor(agent, secondsUpTo(25));
            delayOrdersFor(agent, secondsUpTo(8));
            break;
        case 4:
            cutFor(agent, secondsUpTo(25));
            clock.after(secondsUpTo(10), [delayOrdersFor, agent, span = secondsUpTo(5)] {
                delayOrdersFor(agent, span);
            });
            break;
        case 5:
            cutFor(agent, absl::Seconds(30));
            delayOrdersFor(agent, absl::Seconds(14));
            clock.after(secondsUpTo(13),
                        [killFor, agent, away = secondsUpTo(45)] { killFor(agent, away); });
            break;
        case 6:
            delayOrdersFor(agent, secondsUpTo(8));
            break;
        case 7: {
            item_worker_faults &faults = site.workers.at(agent)->faults;
            faults.unreachable = true;
            clock.after(secondsUpTo(20), [&faults] { faults.unreachable = false; });
            break;
        }
        case 8:
            site.workers.at(agent)->restart();
            break;
        case 9:
            site.kill(entry);
            clock.after(secondsUpTo(3), [&site, entry] {
                if (!site.entries.contains(entry))
                    site.startEntry(entry);
            });
            break;
        case 10: {
            item_worker_faults &faults = site.workers.at(agent)->faults;
            faults.loseAnswers = 0.4;
            clock.after(secondsUpTo(8), [&faults] { faults.loseAnswers = 0.0; });
            break;
        }
        default:
            break;
        }
        clock.runFor(secondsUpTo(5));
    }
    clock.runFor(absl::Seconds(60)); // all faults have ended
    for (auto &[name, worker] : site.workers)
        worker->faults.executeLate = 0.0;
    clock.runFor(absl::Seconds(150));
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

INSTANTIATE_TEST_SUITE_P(seeds, batch_late_schedule_test, testing::Range<std::uint64_t>(1, 21));

// Further seeds, to be run by hand with --gtest_also_run_disabled_tests.
INSTANTIATE_TEST_SUITE_P(DISABLED_seeds, batch_late_schedule_test,
                         testing::Range<std::uint64_t>(21, 401));

} // namespace
} // namespace hyssoppond::batch
