/// @file Tests of the gang protocol: codec, member agent and coordinator in virtual time.
#include "hyssoppond/gang/gang_codec_func.h"

#include "../faults/gang_site_base.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace hyssoppond {
namespace {

using faults::gang_site;

gang_message sampleMessage(std::uint64_t seed)
{
    gang_header header {job_id("j-1"), 2, 3, 3, 1, 0, 77};
    gang_plan plan;
    plan.spec.id = job_id("j-1");
    plan.members.resize(seed % 7);
    plan.startBefore = absl::FromUnixSeconds(100);
    const std::vector<gang_message> samples {
        gang_reserve {header, plan}, gang_refused {header, reason::Leaving},
        gang_start {header, plan, plan.startBefore}, gang_keepalive {header, plan.startBefore},
        gang_query {header, true, true}};
    return samples[seed % samples.size()];
}

// Guards against a message that changes when it is encoded and decoded.
TEST(gang_codec_test, roundTripPreservesMessages)
{
    for (std::uint64_t seed = 0; seed < 35; ++seed) {
        const std::string bytes = encode(sampleMessage(seed));
        const auto decoded = decodeGangMessage(bytes);
        ASSERT_TRUE(decoded.has_value()) << decoded.error().message;
        EXPECT_EQ(encode(*decoded), bytes);
    }
}

// Guards against a size limit that rejects the plan of the largest gang, and against one that
// admits more members.
TEST(gang_codec_test, carriesLargestGang)
{
    gang_reserve reserve;
    reserve.plan.members.resize(MaxGangMembers);
    for (gang_peer &peer : reserve.plan.members)
        peer.member = {worker_id(std::string(100, 'w')), process_id(std::string(100, 'a')), 1};
    EXPECT_TRUE(decodeGangMessage(encode(reserve)).has_value());
    reserve.plan.members.resize(MaxGangMembers + 1);
    EXPECT_FALSE(decodeGangMessage(encode(reserve)).has_value());
}

// Guards against damaged input that makes the decoder throw, allocate without bound or read past
// the end.
RC_GTEST_PROP(gang_codec_test, rejectsDamagedInput,
              (std::uint64_t seed, std::uint64_t position, char byte))
{
    std::string bytes = encode(sampleMessage(seed));
    RC_ASSERT(!decodeGangMessage(bytes.substr(0, position % bytes.size())).has_value());
    RC_ASSERT(!decodeGangMessage(bytes + byte).has_value());
    bytes[position % bytes.size()] = byte;
    (void)decodeGangMessage(bytes); // may be valid; must neither throw nor read past the end
}

std::size_t runningTasks(gang_site &site)
{
    std::size_t count = 0;
    for (const auto &node : site.nodes) {
        for (const task_run &run : node->current().runs())
            count += run.until == absl::InfiniteFuture() ? 1 : 0;
    }
    return count;
}

// Guards against a gang that does not start, loses its leases without a fault, or ends twice.
TEST(gang_test, runsAndCompletesWithoutFaults)
{
    for (const std::size_t members : {1, 2, 7, 64}) {
        gang_site site(members, members, {});
        site.addEntry("entry");
        for (const auto &node : site.nodes)
            node->current().runTime = absl::Seconds(30);
        ASSERT_TRUE(site.coordinator().start(site.placementOf("j", 1, members)).has_value());
        site.clock.runFor(absl::Seconds(20));
        EXPECT_EQ(site.starts.size(), 1);
        EXPECT_EQ(runningTasks(site), members);
        site.clock.runFor(absl::Seconds(20));
        ASSERT_EQ(site.ends.size(), 1);
        EXPECT_EQ(site.ends[0].outcome, attempt_outcome::Completed);
        EXPECT_EQ(faults::violationOf(site, job_id("j"), members, true), "");
    }
}

// Guards against a refusal that leaves other members reserved, or hides which worker refused.
TEST(gang_test, abortsWhenOneMemberRefuses)
{
    gang_site site(1, 4, {});
    site.addEntry("entry");
    site.nodes[2]->process->setLeaving(true);
    ASSERT_TRUE(site.coordinator().start(site.placementOf("j", 1, 4)).has_value());
    site.clock.runFor(absl::Seconds(2));
    ASSERT_EQ(site.ends.size(), 1);
    EXPECT_EQ(site.ends[0].outcome, attempt_outcome::Aborted);
    ASSERT_EQ(site.refusals.size(), 1);
    EXPECT_EQ(site.refusals[0].worker, site.nodes[2]->worker);
    EXPECT_EQ(site.refusals[0].why, reason::Leaving);
    EXPECT_EQ(site.nodes[0]->process->freeAccelerators(), 0xff);
}

// Guards against a failed task that leaves the rest of its gang running.
TEST(gang_test, failedTaskEndsTheGang)
{
    gang_site site(1, 4, {});
    site.addEntry("entry");
    ASSERT_TRUE(site.coordinator().start(site.placementOf("j", 1, 4)).has_value());
    site.clock.runFor(absl::Seconds(2));
    site.nodes[3]->current().finish({job_id("j"), 1, 3}, task_state::Failed);
    site.clock.runFor(absl::Seconds(3));
    ASSERT_EQ(site.ends.size(), 1);
    EXPECT_EQ(site.ends[0].outcome, attempt_outcome::Failed);
    EXPECT_EQ(runningTasks(site), 0);
}

// Guards against members that stop before all have written their checkpoint, and against a
// suspension that is reported before all members have applied it.
TEST(gang_test, suspendsResumesAndPreempts)
{
    gang_site site(1, 4, {});
    site.addEntry("entry");
    ASSERT_TRUE(site.coordinator().start(site.placementOf("j", 1, 4)).has_value());
    site.clock.runFor(absl::Seconds(2));
    EXPECT_TRUE(site.coordinator().suspend(job_id("j"), 1).has_value());
    site.clock.runFor(absl::Seconds(2));
    EXPECT_TRUE(site.coordinator().resume(job_id("j"), 1).has_value());
    EXPECT_FALSE(site.coordinator().resume(job_id("unknown"), 1).has_value());
    site.nodes[1]->current().faults.answerDelay = absl::Seconds(4);
    EXPECT_TRUE(site.coordinator().stop(job_id("j"), 1, stop_cause::Preempt).has_value());
    site.clock.runFor(absl::Seconds(2));
    EXPECT_EQ(runningTasks(site), 4);
    site.clock.runFor(absl::Seconds(8));
    ASSERT_EQ(site.ends.size(), 1);
    EXPECT_EQ(site.ends[0].outcome, attempt_outcome::Preempted);
    EXPECT_EQ(faults::violationOf(site, job_id("j"), 4, true), "");
}

/// Step of the time of day of one machine while its processes run.
class gang_clock_step_test : public testing::TestWithParam<absl::Duration>
{
protected:
    /// Starts a gang on the first two of four workers. When it has ended, a second attempt begins
    /// on the others.
    void startGang(gang_site &site)
    {
        ASSERT_TRUE(site.coordinator().start(site.placementOf("j", 1, 2)).has_value());
        site.onEnded = [&site](const faults::attempt_end &end) {
            if (end.attempt != 1)
                return;
            gang_placement next = site.placementOf("j", 2, 2);
            for (std::size_t i = 0; i < 2; ++i) {
                next.members[i].member.worker = site.nodes[i + 2]->worker;
                next.members[i].member.agent = site.nodes[i + 2]->agent;
            }
            EXPECT_TRUE(site.coordinator().start(next).has_value());
        };
        site.clock.runFor(absl::Seconds(3));
        ASSERT_EQ(runningTasks(site), 2);
    }
    /// Fails the first member; the second one cannot be stopped and runs until its lease ends.
    static void failFirstMember(gang_site &site)
    {
        site.nodes[0]->current().finish({job_id("j"), 1, 0}, task_state::Failed);
    }
    static void expectOneRunAtATime(gang_site &site)
    {
        site.clock.runFor(absl::Seconds(10));
        EXPECT_EQ(faults::violationOf(site, job_id("j"), 2, true), "");
        EXPECT_EQ(site.ends.size(), 1);
        EXPECT_EQ(runningTasks(site), 2);
    }
};

// Guards against two runs of a gang: the time of day of the coordinator's machine is stepped while
// it waits for the end of the lease of a member that it cannot reach.
TEST_P(gang_clock_step_test, coordinatorWaitsForTheLastLease)
{
    for (absl::Duration phase; phase < absl::Seconds(1); phase += absl::Milliseconds(100)) {
        gang_site site(1, 4, {});
        faults::site_entry &entry = site.addEntry("entry");
        startGang(site);
        site.clock.runFor(phase);
        for (const process_id &other : {entry.id, site.nodes[0]->agent}) {
            site.network.cut(other, site.nodes[1]->agent);
            site.network.cut(site.nodes[1]->agent, other);
        }
        failFirstMember(site);
        site.clock.runFor(absl::Milliseconds(500));
        entry.timeOfDayAhead += GetParam();
        expectOneRunAtATime(site);
    }
}

// Guards against two runs of a gang: the time of day of an agent's machine is stepped while the
// agent waits for the end of the lease of a task on a worker that it cannot reach.
TEST_P(gang_clock_step_test, agentWaitsForTheLastLease)
{
    for (absl::Duration phase; phase < absl::Seconds(1); phase += absl::Milliseconds(100)) {
        gang_site site(1, 4, {});
        site.addEntry("entry");
        startGang(site);
        site.clock.runFor(phase);
        site.nodes[1]->current().faults.unreachable = true;
        failFirstMember(site);
        site.clock.runFor(absl::Milliseconds(500));
        site.nodes[1]->timeOfDayAhead += GetParam();
        expectOneRunAtATime(site);
    }
}

// Guards against a gang that ends although nothing failed, as the time of day of a machine is
// stepped.
TEST_P(gang_clock_step_test, gangRunsOn)
{
    for (std::size_t stepped = 0; stepped < 3; ++stepped) {
        gang_site site(1, 4, {});
        faults::site_entry &entry = site.addEntry("entry");
        startGang(site);
        (stepped == 2 ? entry.timeOfDayAhead : site.nodes[stepped]->timeOfDayAhead) += GetParam();
        site.clock.runFor(absl::Seconds(20));
        EXPECT_EQ(site.ends.size(), 0) << "process " << stepped;
        EXPECT_EQ(runningTasks(site), 2);
    }
}

INSTANTIATE_TEST_SUITE_P(steps, gang_clock_step_test,
                         testing::Values(absl::Seconds(2), absl::Seconds(-2)));

// Guards against records of ended attempts that are kept without bound.
TEST(gang_test, forgetsEndedAttempts)
{
    gang_site site(1, 2, {});
    site.addEntry("entry");
    for (attempt_number attempt = 1; attempt <= 20; ++attempt) {
        ASSERT_TRUE(site.coordinator().start(site.placementOf("j", attempt, 2)).has_value());
        site.clock.runFor(absl::Seconds(2));
        EXPECT_TRUE(site.coordinator().stop(job_id("j"), attempt, stop_cause::Cancel));
        site.clock.runFor(absl::Seconds(1));
    }
    EXPECT_EQ(site.ends.size(), 20);
    EXPECT_LT(site.nodes[0]->process->records(), 8);
}

} // namespace
} // namespace hyssoppond
