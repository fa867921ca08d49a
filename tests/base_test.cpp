/// @file Tests of the base library.
#include "hyssoppond/base/counters_base.h"
#include "hyssoppond/base/error_type.h"
#include "hyssoppond/base/id_type.h"
#include "hyssoppond/base/settings_base.h"
#include "hyssoppond/base/strand_base.h"
#include "hyssoppond/base/thread_pool_base.h"

#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <set>
#include <vector>

namespace hyssoppond {
namespace {

// Guards against an enumerator without a name, whose counter would have an empty label.
TEST(reason_names_test, eachReasonHasItsOwnName)
{
    std::set<std::string_view> names(ReasonNames.names.begin(), ReasonNames.names.end());
    EXPECT_EQ(names.size(), ReasonNames.names.size());
    EXPECT_FALSE(names.contains(""));
    EXPECT_EQ(ReasonNames.name(reason::Internal), "Internal");
    EXPECT_EQ(ReasonNames.find("LogUnavailable"), reason::LogUnavailable);
    EXPECT_EQ(ReasonNames.find("no such reason"), std::nullopt);
}

// Guards against a configuration version that is rounded in the metrics, so that a change does not
// seem to be in force.
TEST(counter_registry_test, rendersLargeGaugesExactly)
{
    counter_registry counters;
    counters.set("config_version", 123456789);
    EXPECT_THAT(counters.renderPrometheus(),
                testing::HasSubstr("hyssoppond_config_version 123456789\n"));
}

// Guards against refusals that the metrics do not show to the operator.
TEST(counter_registry_test, rendersReasonsCountersAndHistograms)
{
    counter_registry counters;
    counters.count(disposition::Refused, reason::QueueFull);
    counters.count(disposition::Refused, reason::QueueFull);
    counters.add("appends", 3);
    counters.set("queued_jobs", 7);
    for (int i = 1; i <= 100; ++i)
        counters.observe("call", absl::Milliseconds(i));
    EXPECT_EQ(counters.value(disposition::Refused, reason::QueueFull), 2);
    const std::string text = counters.renderPrometheus();
    EXPECT_THAT(
        text,
        testing::HasSubstr("hyssoppond_reason_total{event=\"refused\",reason=\"QueueFull\"} 2"));
    EXPECT_THAT(text, testing::HasSubstr("hyssoppond_appends_total 3"));
    EXPECT_THAT(text, testing::HasSubstr("hyssoppond_queued_jobs 7"));
    EXPECT_THAT(text, testing::HasSubstr("hyssoppond_call_seconds_count 100"));
    EXPECT_GE(counters.quantile("call", 0.5), absl::Milliseconds(50));
    EXPECT_LE(counters.quantile("call", 0.5), absl::Milliseconds(63));
}

const std::vector<setting_rule> &testRules()
{
    static const std::vector<setting_rule> rules {
        {"role", setting_kind::Text, "", "role", 0, 0, {"entry", "agent"}, true},
        {"lease-seconds", setting_kind::Number, "3", "lease in seconds", 1, 60},
        {"listen", setting_kind::Address, "127.0.0.1:7000", "address"},
        {"seeds", setting_kind::AddressList, "", "addresses"},
        {"password", setting_kind::Text, "", "secret", 0, 0, {}, false, true},
    };
    return rules;
}

// Guards against a start that reports only the first invalid setting.
TEST(settings_test, listsAllFaultsAtOnce)
{
    const char *argv[] = {"p",       "--lease-seconds", "61", "--listen", "localhost:7000",
                          "--seeds", "127.0.0.1:1,bad"};
    const auto values
        = settings::read(testRules(), 7, argv, [](const auto &) { return std::nullopt; });
    ASSERT_FALSE(values);
    for (const char *part : {"4 settings", "--role", "one of entry, agent", "--lease-seconds",
                             "from 1 to 60", "HYSSOPPOND_LISTEN", "--seeds"})
        EXPECT_THAT(values.error().message, testing::HasSubstr(part));
}

// Guards against an environment variable that overrides a flag, and against printing a secret.
TEST(settings_test, flagsOverrideTheEnvironment)
{
    const char *argv[] = {"p", "--role=agent", "--password", "hidden", "--seeds", "[::1]:5"};
    const auto values = settings::read(testRules(), 6, argv, [](const std::string &name) {
        return name == "HYSSOPPOND_ROLE"         ? std::optional<std::string>("entry")
            : name == "HYSSOPPOND_LEASE_SECONDS" ? std::optional<std::string>("7")
                                                 : std::nullopt;
    });
    ASSERT_TRUE(values) << values.error().message;
    EXPECT_EQ(values->text("role"), "agent");
    EXPECT_EQ(values->number("lease-seconds"), 7);
    EXPECT_EQ(values->addresses("seeds").at(0).host, "::1");
    EXPECT_THAT(values->describe(), testing::Not(testing::HasSubstr("hidden")));
    const char *unknown[] = {"p", "--rolle=agent"};
    EXPECT_FALSE(settings::read(testRules(), 2, unknown, processEnvironment));
}

// Guards against a pool that grows without bound, and against a stop that loses queued tasks.
TEST(thread_pool_test, boundsQueueAndRunsItOnStop)
{
    thread_pool pool("test", 1, 2);
    absl::Notification started;
    absl::Notification release;
    std::atomic<int> ran = 0;
    ASSERT_TRUE(pool.post([&] {
        started.Notify();
        release.WaitForNotification();
    }));
    started.WaitForNotification();
    EXPECT_TRUE(pool.post([&] { ++ran; }));
    EXPECT_TRUE(pool.post([&] { ++ran; }));
    EXPECT_FALSE(pool.post([&] { ++ran; }));
    release.Notify();
    pool.stop();
    EXPECT_EQ(ran, 2);
    EXPECT_FALSE(pool.post([] {}));
}

// Guards against a timer that ignores an earlier deadline set while it waits.
TEST(deadline_timer_test, wakesForEarlierDeadline)
{
    absl::Mutex mutex;
    int calls = 0;
    deadline_timer timer("test", [&] {
        const absl::MutexLock lock(&mutex);
        ++calls;
        return absl::InfiniteFuture();
    });
    const absl::MutexLock lock(&mutex);
    const auto once = [&] { return calls >= 1; };
    const auto twice = [&] { return calls >= 2; };
    mutex.Await(absl::Condition(&once));
    timer.wakeAt(absl::InfinitePast());
    mutex.Await(absl::Condition(&twice));
}

constexpr int MoreThanOneBatch = 200; ///< a batch of a strand has 64 tasks

/// A strand on a pool of one thread whose queue holds one task, and the tasks that ran.
class full_pool_test : public testing::Test
{
protected:
    /// Posts tasks of which the first one fills the pool's queue, so that the pool refuses the
    /// strand after its first batch.
    void runWithFullPool()
    {
        m_strand.post([this] {
            ASSERT_TRUE(m_pool.post([this] { m_release.WaitForNotification(); }));
            m_poolIsFull.Notify();
        });
        for (int i = 0; i < MoreThanOneBatch; ++i)
            m_strand.post([this] {
                if (++m_ran == MoreThanOneBatch)
                    m_allRan.Notify();
            });
        m_strand.start();
        m_poolIsFull.WaitForNotification();
    }

    thread_pool m_pool {"test", 1, 1};
    absl::Notification m_poolIsFull;
    absl::Notification m_release;
    absl::Notification m_allRan;
    std::atomic<int> m_ran = 0;
    strand m_strand {"runner", &m_pool, 1000, [] {}, [] { return absl::InfiniteFuture(); }};
};

// Guards against tasks of one state machine that overlap or overtake each other, and against a
// queue without a bound.
TEST(strand_test, runsTasksInOrderAndOneAtATime)
{
    thread_pool pool("test", 4, 16);
    strand serial(
        "runner", &pool, MoreThanOneBatch, [] {}, [] { return absl::InfiniteFuture(); });
    std::atomic<int> running = 0;
    bool overlapped = false;
    std::vector<int> order;
    for (int i = 0; i < MoreThanOneBatch; ++i)
        ASSERT_TRUE(serial.post([&, i] {
            overlapped = overlapped || ++running > 1;
            order.push_back(i);
            --running;
        }));
    EXPECT_FALSE(serial.post([] {}));
    serial.start();
    serial.stop();
    EXPECT_FALSE(serial.post([] {}));
    EXPECT_FALSE(overlapped);
    ASSERT_EQ(order.size(), MoreThanOneBatch);
    for (int i = 0; i < MoreThanOneBatch; ++i)
        EXPECT_EQ(order[static_cast<std::size_t>(i)], i);
}

// Guards against a state machine that gets no tick when it is due and no message arrives.
TEST(strand_test, ticksWhenDueWithoutTasks)
{
    thread_pool pool("test", 1, 16);
    absl::Notification thirdTick;
    int ticks = 0;
    strand serial(
        "runner", &pool, 16,
        [&] {
            if (++ticks == 3)
                thirdTick.Notify();
        },
        [&] { return ticks < 3 ? absl::Now() : absl::InfiniteFuture(); });
    serial.start();
    thirdTick.WaitForNotification();
    serial.stop();
    EXPECT_GE(ticks, 3);
}

// Guards against a task that never runs because the pool was full when it was posted.
TEST(strand_test, runsTaskPostedWhileThePoolIsFull)
{
    thread_pool pool("test", 1, 1);
    strand serial(
        "runner", &pool, 16, [] {}, [] { return absl::InfiniteFuture(); });
    serial.start();
    absl::Notification first;
    ASSERT_TRUE(serial.post([&] { first.Notify(); }));
    first.WaitForNotification();
    absl::Notification release;
    absl::Notification blocked;
    while (!pool.post([&] {
        blocked.Notify();
        release.WaitForNotification();
    })) {
    }
    blocked.WaitForNotification();
    (void)pool.post([] {}); // refused if the strand itself fills the queue
    absl::Notification ran;
    ASSERT_TRUE(serial.post([&] { ran.Notify(); }));
    release.Notify();
    ran.WaitForNotification();
}

// Guards against tasks that wait for the next message or tick because the pool was full when a
// batch ended. The time limit only turns a hang into a failure.
TEST_F(full_pool_test, resumesWhenThePoolQueueHasSpaceAgain)
{
    runWithFullPool();
    m_release.Notify();
    EXPECT_TRUE(m_allRan.WaitForNotificationWithTimeout(absl::Seconds(30)));
}

// Guards against a stop that drops queued tasks because the pool is full.
TEST_F(full_pool_test, stopRunsQueuedTasksAlthoughThePoolIsFull)
{
    runWithFullPool();
    m_release.Notify();
    m_strand.stop();
    EXPECT_EQ(m_ran, MoreThanOneBatch);
}

} // namespace
} // namespace hyssoppond
