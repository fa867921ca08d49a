/// @file Tests of what the decider learns from the progress of runs and from a replayed journal.
#include "batch_site_base.h"
#include "plan_site_base.h"

#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

// Guards against expected times that are wrong, that are sent with each heartbeat, or for which the
// worker is asked more often.
TEST(batch_progress_test, agentReportsTheExpectedTimeOfARunOnce)
{
    batch_site site(1, 1);
    for (auto &[name, worker] : site.workers)
        worker->itemTime = absl::Seconds(9);
    site.clock.runFor(absl::Seconds(5));
    site.submit("entry-0", batch_site::idOf(1), "normal", batch_site::stepOf(1, 8, false));
    site.clock.runFor(absl::Seconds(14));
    std::vector<run_progress> reported;
    for (const stored_record &stored : site.store.recordsOf(HeartbeatTopic)) {
        const result<agent_heartbeat> heartbeat = decodeAgentHeartbeat(stored.value);
        ASSERT_TRUE(heartbeat);
        reported.insert(reported.end(), heartbeat->progress.begin(), heartbeat->progress.end());
    }
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_NEAR(static_cast<double>(reported.front().expectedMs), 9'000, 900);
}

// Guards against a heartbeat whose progress an earlier version or this one cannot read.
TEST(batch_progress_test, heartbeatsWithAndWithoutProgressAreDecoded)
{
    agent_heartbeat heartbeat;
    heartbeat.agent = process_id("agent");
    heartbeat.storedUs = 7;
    EXPECT_TRUE(decodeAgentHeartbeat(encodeAgentHeartbeat(heartbeat))->progress.empty());
    heartbeat.progress.push_back({{job_id("job"), 1, 2, 3}, 1, 4'000});
    const result<agent_heartbeat> decoded = decodeAgentHeartbeat(encodeAgentHeartbeat(heartbeat));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->storedUs, 7);
    ASSERT_EQ(decoded->progress.size(), 1U);
    EXPECT_EQ(decoded->progress.front().unit, heartbeat.progress.front().unit);
    EXPECT_EQ(decoded->progress.front().expectedMs, 4'000);
}

// Guards against a decider that knows less after a load of the journal than the one before, or that
// takes a run across racks for a slow worker.
TEST(batch_progress_test, replayTeachesWhatTheRunsTaught)
{
    plan_site site(6);
    batch_step step = plan_site::stepOf(2, 4, true);
    step.sameRack = true;
    for (int i = 0; i < 30; ++i) {
        const std::string id = absl::StrCat("job-", i);
        const bool spansRacks = i % 5 == 4;
        site.submit(id, "normal", "a", step);
        site.run(id, {0, spansRacks ? 3U : 1U}, true);
        site.end(id, run_end::Done, spansRacks ? 9'000 : 3'000);
    }
    const auto expectedMs
        = [&site] { return site.scheduler().times().expectedMs("normal", 2'000, team_id("a")); };
    const std::int64_t expected = expectedMs();
    EXPECT_NEAR(static_cast<double>(expected), 3'000, 300);
    site.reload();
    EXPECT_EQ(expectedMs(), expected);
}

} // namespace
} // namespace hyssoppond::batch
