/// @file Tests of the cluster controller over several entries in virtual time.
#include "cluster_site_base.h"

#include <gtest/gtest.h>

namespace hyssoppond {
namespace {

using faults::cluster_site;
using faults::judgeCompleted;

// Guards against an accepted job that does not run, or that runs twice because its request is
// repeated at another entry.
TEST(cluster_controller_test, runsARepeatedRequestOnce)
{
    cluster_site site(1, 2, 2);
    site.setRunTime(faults::GangRunTime);
    const job_spec spec = cluster_site::spec("r-1");
    const auto &first = site.submit(0, spec);
    const auto &second = site.submit(1, spec, true);
    site.clock.runFor(absl::Seconds(2));
    ASSERT_TRUE(first.isAccepted() && second.isAccepted());
    EXPECT_EQ((*first.answer)->entry.spec.id, (*second.answer)->entry.spec.id);
    const auto check = judgeCompleted(site, 1, spec);
    EXPECT_TRUE(check.passed) << check.detail;
    EXPECT_EQ(site.startedTasks(spec.id), 2U);
}

// Guards against a request id that is used for two different jobs without an error.
TEST(cluster_controller_test, refusesAReusedRequestId)
{
    cluster_site site(1, 2, 2);
    job_spec spec = cluster_site::spec("r-1");
    site.submit(0, spec);
    site.clock.runFor(absl::Seconds(1));
    spec.command = "another";
    const auto &refusal = site.submit(1, spec);
    site.clock.runFor(absl::Seconds(1));
    ASSERT_TRUE(refusal.isNotRun());
    EXPECT_EQ(refusal.answer->error().why, reason::RequestIdReused);
}

// Guards against a job that is suspended again after its resumption because an operator repeats
// the step of a runbook that suspended it.
TEST(cluster_controller_test, appliesACommandOncePerRequest)
{
    cluster_site site(1, 2, 2);
    const job_spec spec = cluster_site::spec("r-1");
    site.submit(0, spec);
    site.clock.runFor(absl::Seconds(5));
    site.command(0, spec.id, journal::command_kind::Suspend, "step-1");
    site.clock.runFor(absl::Seconds(15));
    site.command(0, spec.id, journal::command_kind::Resume, "step-2");
    site.clock.runFor(absl::Seconds(10));
    const auto &repeated = site.command(1, spec.id, journal::command_kind::Suspend, "step-1");
    site.clock.runFor(absl::Seconds(15));
    EXPECT_TRUE(repeated.isAccepted());
    EXPECT_TRUE(site.stateAt(1, spec.id) == job_state::Running);
    EXPECT_EQ(site.runningTasks(spec.id), 2U);
}

// Guards against jobs that are accepted although their team does not exist or no worker can ever
// hold them.
TEST(cluster_controller_test, refusesImpossibleJobsAsNotRun)
{
    cluster_site site(1, 2, 2);
    const auto &unknown = site.submit(0, cluster_site::spec("r-1", "nobody"));
    job_spec large = cluster_site::spec("r-2");
    large.wanted.acceleratorsPerMember = 16;
    const auto &impossible = site.submit(1, large);
    site.clock.runFor(absl::Seconds(1));
    EXPECT_TRUE(unknown.isNotRun());
    EXPECT_TRUE(impossible.isNotRun());
}

// Guards against a wait that outlasts its deadline, and against one that misses the end of the job.
TEST(cluster_controller_test, waitEndsWithTheJobOrTheDeadline)
{
    cluster_site site(1, 2, 2);
    site.setRunTime(faults::GangRunTime);
    const job_spec spec = cluster_site::spec("r-1");
    site.submit(0, spec);
    site.clock.runFor(absl::Seconds(1));
    const auto &early = site.wait(0, spec.id, absl::Seconds(2));
    const auto &late = site.wait(1, spec.id, absl::Minutes(1));
    site.clock.runFor(absl::Seconds(3));
    EXPECT_EQ(early.count, 1);
    EXPECT_EQ(late.count, 0);
    site.clock.runFor(absl::Seconds(20));
    EXPECT_TRUE(late.hasState(job_state::Completed));
}

} // namespace
} // namespace hyssoppond
