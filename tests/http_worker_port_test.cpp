/// @file Tests of the worker adapter against the stand-in, over loopback.
#include "hyssoppond/platform/http_worker_port.h"

#include "../standins/worker/standin_worker_base.h"

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

#include <optional>

namespace hyssoppond {
namespace {

class http_worker_port_test : public testing::Test
{
protected:
    standins::standin_worker_server m_server {"127.0.0.1", 0, 8};
    http_worker_port m_port {{.url = "http://127.0.0.1:" + std::to_string(m_server.port()),
                              .exchangeTimeout = absl::Seconds(20)}};
    const task_id m_id {job_id("j"), 1, 0};

    template<class value, class request>
    static result<value> wait(const request &send)
    {
        absl::Notification done;
        std::optional<result<value>> answer;
        send([&](result<value> outcome) {
            answer = std::move(outcome);
            done.Notify();
        });
        done.WaitForNotification();
        return *answer;
    }
    result<task_status> start(const std::string &command, absl::Time startBefore)
    {
        return wait<task_status>([&](auto done) {
            m_port.startTask({m_id, 1, command, startBefore, absl::Now() + absl::Hours(1)}, done);
        });
    }
    result<task_status> stop()
    {
        return wait<task_status>([&](auto done) { m_port.stopTask(m_id, done); });
    }
};

// Guards against fields that are lost or mixed up on the way to the worker or back.
TEST_F(http_worker_port_test, startsListsAndStopsTask)
{
    ASSERT_TRUE(start("run", absl::InfiniteFuture()).has_value());
    const auto list = wait<std::vector<task_status>>([&](auto done) { m_port.listTasks(done); });
    ASSERT_EQ(list->size(), 1);
    EXPECT_EQ(list->front().id, m_id);
    EXPECT_EQ(list->front().accelerators, 1);
    const absl::Time later = absl::FromUnixSeconds(absl::ToUnixSeconds(absl::Now()) + 7200);
    const auto renewed
        = wait<task_status>([&](auto done) { m_port.renewLease(m_id, later, done); });
    EXPECT_EQ(renewed->leaseUntil, later);
    EXPECT_TRUE(wait<task_status>([&](auto done) { m_port.throttleTask(m_id, 0, done); }));
    EXPECT_TRUE(wait<task_status>([&](auto done) { m_port.checkpointTask(m_id, later, done); }));
    EXPECT_EQ(stop()->state, task_state::Stopped);
}

// Guards against a start that arrives late and still runs a task: after its `startBefore`, or after
// the task was stopped.
TEST_F(http_worker_port_test, neverStartsStoppedOrLateTask)
{
    EXPECT_EQ(start("run", absl::Now() - absl::Seconds(1)).error().why, reason::Expired);
    EXPECT_EQ(stop()->state, task_state::Stopped);
    EXPECT_EQ(start("run", absl::InfiniteFuture())->state, task_state::Stopped);
}

// Guards against Unknown for a stop that no worker received, and against a failed task that is not
// reported as Failed.
TEST_F(http_worker_port_test, refusedConnectionIsNotRun)
{
    http_worker_port portToNothing({.url = "http://127.0.0.1:1"});
    const auto refused = wait<task_status>([&](auto done) { portToNothing.stopTask(m_id, done); });
    EXPECT_EQ(refused.error().state, execution::NotRun);
    EXPECT_EQ(start("fail", absl::InfiniteFuture())->state, task_state::Failed);
}

} // namespace
} // namespace hyssoppond
