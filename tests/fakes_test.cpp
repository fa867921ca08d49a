/// @file Tests of the fakes. A fake that cannot fail as the platform does would hide faults of the
/// scheduler.
#include "hyssoppond/fakes/fake_log_base.h"
#include "hyssoppond/fakes/fake_network_base.h"
#include "hyssoppond/fakes/fake_worker_base.h"

#include <gtest/gtest.h>

namespace hyssoppond {
namespace {

// Guards against a fake worker that keeps a task running after its lease, or stops it at the end of
// a lease that has been renewed.
TEST(fake_worker_test, stopsTaskWhenItsLeaseLapses)
{
    virtual_clock clock;
    fake_worker worker(&clock, 8);
    const task_id id {job_id("j"), 1, 0};
    const absl::Time start = clock.now();
    worker.startTask({id, 1, "", start + absl::Seconds(1), start + absl::Seconds(3)},
                     [](const auto &status) { EXPECT_TRUE(status.has_value()); });
    clock.runFor(absl::Seconds(2));
    worker.renewLease(id, start + absl::Seconds(5), [](const auto &) {});
    clock.runFor(absl::Seconds(10));
    ASSERT_EQ(worker.runs().size(), 1);
    EXPECT_EQ(worker.runs()[0].until, start + absl::Seconds(5));
}

// Guards against a fake worker that starts a task whose stop arrived before its start.
TEST(fake_worker_test, neverStartsAStoppedTask)
{
    virtual_clock clock;
    fake_worker worker(&clock, 8);
    const task_id id {job_id("j"), 1, 0};
    worker.stopTask(id, [](const auto &) {});
    worker.startTask({id, 1, "", absl::InfiniteFuture(), absl::InfiniteFuture()},
                     [](const auto &status) { EXPECT_EQ(status->state, task_state::Stopped); });
    clock.runFor(absl::Seconds(1));
    EXPECT_TRUE(worker.runs().empty());
}

// Guards against a fake log that loses the append together with its answer, and against one that
// answers a read of dropped records with an empty batch.
TEST(fake_log_test, lostAnswerKeepsTheRecord)
{
    virtual_clock clock;
    fake_log log(&clock);
    log.faults.loseAppendAnswers = true;
    bool answered = false;
    log.append("a", absl::InfiniteFuture(), [&](const auto &) { answered = true; });
    clock.runFor(absl::Seconds(1));
    EXPECT_FALSE(answered);
    result<log_batch> batch;
    log.read(1, 10, absl::InfiniteFuture(), [&](const auto &b) { batch = b; });
    clock.runFor(absl::Seconds(1));
    ASSERT_EQ(batch->records.size(), 1);
    log.retainFrom(2);
    log.read(1, 10, absl::InfiniteFuture(), [&](const auto &b) { batch = b; });
    clock.runFor(absl::Seconds(1));
    EXPECT_EQ(batch.error().why, reason::Expired);
}

// Guards against a fake network that delivers across a cut, or cuts both directions.
TEST(fake_network_test, cutsOneDirection)
{
    virtual_clock clock;
    fake_network<int> network(&clock);
    const process_id a("a");
    const process_id b("b");
    int receivedByA = 0;
    int receivedByB = 0;
    network.attach(a, [&](const auto &, int) { ++receivedByA; });
    network.attach(b, [&](const auto &, int) { ++receivedByB; });
    network.cut(a, b);
    network.send(a, b, 1);
    network.send(b, a, 1);
    clock.runFor(absl::Seconds(1));
    EXPECT_EQ(receivedByA, 1);
    EXPECT_EQ(receivedByB, 0);
}

} // namespace
} // namespace hyssoppond
