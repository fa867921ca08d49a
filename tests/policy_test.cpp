/// @file Tests of the scheduling decisions.
#include "hyssoppond/policy/scheduler_base.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include <random>

namespace hyssoppond {
namespace {

const absl::Time Start = absl::FromUnixSeconds(1'000'000);

worker makeWorker(int number, std::uint32_t accelerators = 8)
{
    const std::string rack = absl::StrCat("r", number / 3);
    return {worker_id(absl::StrCat("w", number)),
            process_id(absl::StrCat("p", number)),
            rack_id(rack),
            zone_id(absl::StrCat("z", number / 3 % 4)),
            accelerators,
            64,
            0};
}

job_spec makeJob(const std::string &name, shape wanted, urgency level = urgency::Normal,
                 const std::string &teamName = "a")
{
    job_spec spec;
    spec.id = job_id(name);
    spec.request = request_id(name);
    spec.team = team_id(teamName);
    spec.caller = caller_id("c" + name);
    spec.level = level;
    spec.wanted = wanted;
    spec.submittedAt = Start;
    return spec;
}

/// A scheduler on a small fleet, with helpers that accept its proposals.
struct scheduler_fixture
{
    scheduler policy;

    explicit scheduler_fixture(int workers = 6, scheduler_options options = {})
        : policy(options)
    {
        for (int i = 0; i < workers; ++i)
            EXPECT_TRUE(policy.addWorker(makeWorker(i)));
        for (const char *name : {"a", "b"})
            EXPECT_TRUE(policy.setTeam({team_id(name), 1.0, 100, 100}));
    }

    void addContract(const std::string &name, const std::string &owner, shape wanted,
                     std::uint32_t count)
    {
        EXPECT_TRUE(
            policy.setContract({contract_id(name), team_id(owner), wanted, count, zone_id()}));
    }

    /// Accepts what `decide` proposes until it proposes no more placements; returns preemptions.
    std::vector<preempt_decision> acceptProposals(absl::Time now)
    {
        std::vector<preempt_decision> preempted;
        for (bool placed = true; placed;) {
            placed = false;
            for (const decision &proposal : policy.decide(now)) {
                if (const auto *place = std::get_if<place_decision>(&proposal)) {
                    placed = true;
                    EXPECT_TRUE(policy.placementAccepted(place->job, place->attempt, place->members,
                                                         place->contract));
                    EXPECT_TRUE(policy.gangStarted(place->job, place->attempt, now));
                } else {
                    preempted.push_back(std::get<preempt_decision>(proposal));
                    EXPECT_TRUE(policy.preemptionAccepted(preempted.back()));
                }
            }
        }
        return preempted;
    }

    void endAttempt(const std::string &name, attempt_outcome outcome, absl::Time now,
                    double seconds)
    {
        const auto attempt = policy.find(job_id(name))->attempt;
        EXPECT_TRUE(policy.attemptEnded(job_id(name), attempt, outcome, now, seconds));
    }

    job_state stateOf(const std::string &name) const { return policy.find(job_id(name))->state; }
};

reason reasonOf(const result<void> &outcome)
{
    return outcome ? reason::None : outcome.error().why;
}

// Guards against accepting jobs that can never run or that exceed a limit, and against a repeated
// request that runs twice.
TEST(submission_test, refusesWithTheFittingReason)
{
    scheduler_fixture fixture;
    auto &policy = fixture.policy;
    EXPECT_EQ(reasonOf(policy.submit(makeJob("1", {1, 9}))), reason::ImpossibleShape);
    EXPECT_EQ(reasonOf(policy.submit(makeJob("1", {4, 8, adjacency::Rack}))),
              reason::ImpossibleShape);
    EXPECT_EQ(reasonOf(policy.submit(makeJob("1", {1, 1}, urgency::Normal, "x"))),
              reason::UnknownTeam);
    EXPECT_TRUE(policy.submit(makeJob("1", {1, 1}), command_mode::Test));
    EXPECT_EQ(policy.find(job_id("1")), nullptr);
    EXPECT_TRUE(policy.submit(makeJob("1", {1, 1})));
    EXPECT_TRUE(policy.submit(makeJob("1", {1, 1})));
    EXPECT_EQ(policy.queueLength(), 1);
    EXPECT_EQ(reasonOf(policy.submit(makeJob("1", {1, 2}))), reason::RequestIdReused);
    EXPECT_TRUE(policy.setTeam({team_id("b"), 1.0, 1, 1}));
    EXPECT_TRUE(policy.submit(makeJob("2", {1, 1}, urgency::Normal, "b")));
    EXPECT_EQ(reasonOf(policy.submit(makeJob("3", {1, 1}, urgency::Normal, "b"))),
              reason::QueueFull);
}

// Guards against refusing a shape because a worker that it needs restarts at that moment (process
// cells entry-killed-job and log-down-urgent), and against jobs that wait for a worker that was
// removed for good.
TEST(submission_test, countsWorkersThatAreAbsentForAShortTime)
{
    scheduler_fixture fixture(2);
    auto &policy = fixture.policy;
    EXPECT_TRUE(policy.removeWorker(makeWorker(1).id));
    EXPECT_TRUE(policy.submit(makeJob("1", {2, 8, adjacency::Rack})));
    EXPECT_EQ(fixture.acceptProposals(Start).size(), 0);
    EXPECT_EQ(fixture.stateOf("1"), job_state::Queued);
    EXPECT_EQ(policy.explain(job_id("1"))->why, reason::WorkerUnreachable);
    EXPECT_TRUE(policy.addWorker(makeWorker(1)));
    fixture.acceptProposals(Start);
    EXPECT_EQ(fixture.stateOf("1"), job_state::Running);
    EXPECT_TRUE(policy.removeWorker(makeWorker(1).id));
    policy.decide(Start);
    policy.decide(Start + absl::Hours(1));
    EXPECT_EQ(reasonOf(policy.submit(makeJob("2", {2, 8, adjacency::Rack}))),
              reason::ImpossibleShape);
}

// Guards against a gang that stays queued after the loss of a worker although other workers are
// free (process cell I2 agent-killed).
TEST(attempts_test, runAgainOnOtherWorkersAfterALoss)
{
    scheduler_fixture fixture(0);
    auto &policy = fixture.policy;
    for (int i = 0; i < 4; ++i) {
        worker added = makeWorker(i);
        added.rack = rack_id("r");
        added.zone = zone_id("z");
        EXPECT_TRUE(policy.addWorker(added));
    }
    fixture.addContract("routes", "a", {2, 8, adjacency::Rack}, 1);
    EXPECT_TRUE(policy.submit(makeJob("1", {2, 8, adjacency::Rack}, urgency::Normal, "b")));
    fixture.acceptProposals(Start);
    ASSERT_EQ(fixture.stateOf("1"), job_state::Running);
    const worker_id lost = policy.find(job_id("1"))->members.front().worker;
    EXPECT_TRUE(policy.removeWorker(lost));
    fixture.endAttempt("1", attempt_outcome::Lost, Start + absl::Seconds(1), 1.0);
    fixture.acceptProposals(Start + absl::Seconds(2));
    EXPECT_EQ(fixture.stateOf("1"), job_state::Running);
}

// Guards against proposals that change the state before the caller accepts them: two calls in a row
// must propose the same.
TEST(decide_test, hasNoEffectByItself)
{
    scheduler_fixture fixture;
    EXPECT_TRUE(fixture.policy.submit(makeJob("1", {2, 8, adjacency::Rack})));
    const auto first = fixture.policy.decide(Start);
    const auto second = fixture.policy.decide(Start);
    ASSERT_EQ(first.size(), 1);
    ASSERT_EQ(second.size(), 1);
    EXPECT_EQ(std::get<place_decision>(first[0]).members,
              std::get<place_decision>(second[0]).members);
    EXPECT_EQ(fixture.stateOf("1"), job_state::Queued);
}

// Guards against small jobs that spread over whole workers and leave no worker free for large
// shapes.
TEST(placement_test, keepsWholeWorkersFree)
{
    scheduler_fixture fixture(3);
    for (int i = 0; i < 8; ++i)
        EXPECT_TRUE(fixture.policy.submit(makeJob(absl::StrCat(i), {1, 1})));
    fixture.acceptProposals(Start);
    EXPECT_TRUE(fixture.policy.submit(makeJob("large", {2, 8, adjacency::Rack})));
    fixture.acceptProposals(Start);
    EXPECT_EQ(fixture.stateOf("large"), job_state::Running);
}

// Guards against borrowed work that keeps the owner of a guarantee from its accelerators, and
// against urgent jobs beyond the contract that still take accelerators from others.
TEST(reclaim_test, givesTheOwnerItsShapeAndNoMore)
{
    scheduler_fixture fixture(3);
    fixture.addContract("g", "a", {1, 8}, 1);
    for (int i = 0; i < 3; ++i)
        EXPECT_TRUE(fixture.policy.submit(makeJob(absl::StrCat(i), {1, 8}, urgency::Normal, "b")));
    fixture.acceptProposals(Start);
    EXPECT_TRUE(fixture.policy.submit(makeJob("u1", {1, 8}, urgency::Urgent)));
    EXPECT_TRUE(fixture.policy.submit(makeJob("u2", {1, 8}, urgency::Urgent)));
    const auto preempted = fixture.acceptProposals(Start);
    ASSERT_EQ(preempted.size(), 1);
    EXPECT_EQ(preempted[0].checkpointBefore, Start + absl::Seconds(5));
    EXPECT_EQ(preempted[0].beneficiary, job_id("u1"));
    fixture.endAttempt(preempted[0].job.str(), attempt_outcome::Preempted, Start, 10);
    EXPECT_TRUE(fixture.acceptProposals(Start).empty());
    EXPECT_EQ(fixture.stateOf("u1"), job_state::Running);
    EXPECT_EQ(fixture.stateOf("u2"), job_state::Queued);
    EXPECT_EQ(fixture.stateOf(preempted[0].job.str()), job_state::Queued);
}

// Guards against a job covered by the contract that is not found because many urgent jobs beyond
// the contract are ahead of it in the queue.
TEST(reclaim_test, findsTheCoveredJobBehindOthers)
{
    scheduler_fixture fixture(3);
    fixture.addContract("g", "a", {1, 1}, 1);
    EXPECT_TRUE(
        fixture.policy.submit(makeJob("fill", {3, 8, adjacency::Rack}, urgency::Normal, "b")));
    fixture.acceptProposals(Start);
    for (int i = 0; i < 20; ++i)
        EXPECT_TRUE(fixture.policy.submit(makeJob(absl::StrCat(i), {1, 8}, urgency::Urgent)));
    EXPECT_TRUE(fixture.policy.submit(makeJob("covered", {1, 1}, urgency::Urgent)));
    const auto preempted = fixture.acceptProposals(Start);
    ASSERT_EQ(preempted.size(), 1);
    EXPECT_EQ(preempted[0].beneficiary, job_id("covered"));
}

// Guards against a scheduler that rejects placements decided by another process, and against two
// gangs on the same accelerators.
TEST(placement_test, replaysDecisionsOfAnotherProcess)
{
    scheduler_fixture fixture;
    fixture.addContract("g", "a", {1, 4}, 1);
    EXPECT_TRUE(fixture.policy.submit(makeJob("1", {1, 4}, urgency::Urgent)));
    EXPECT_TRUE(fixture.policy.submit(makeJob("2", {1, 4})));
    const std::vector<gang_member> members {{worker_id("w5"), process_id("p5"), 0xf0}};
    EXPECT_TRUE(fixture.policy.placementAccepted(job_id("1"), 1, members, contract_id("g")));
    EXPECT_EQ(reasonOf(fixture.policy.placementAccepted(job_id("2"), 1, members)),
              reason::AcceleratorBusy);
    EXPECT_EQ(reasonOf(fixture.policy.placementAccepted(job_id("2"), 2, members)),
              reason::StaleAttempt);
    EXPECT_EQ(reasonOf(fixture.policy.removeTeam(team_id("a"))), reason::WrongState);
    fixture.endAttempt("1", attempt_outcome::Completed, Start, 10);
    EXPECT_TRUE(fixture.policy.guaranteesAtRisk().empty());
}

// Guards against a quarantine set by an operator that ends by itself.
TEST(quarantine_test, ofAnOperatorLasts)
{
    scheduler_fixture fixture(1);
    EXPECT_TRUE(fixture.policy.setWorkerCondition(worker_id("w0"), worker_condition::Quarantined));
    EXPECT_TRUE(fixture.policy.submit(makeJob("1", {1, 1})));
    fixture.acceptProposals(Start + absl::Hours(24));
    EXPECT_EQ(fixture.stateOf("1"), job_state::Queued);
    const auto why = fixture.policy.explain(job_id("1"));
    ASSERT_TRUE(why);
    EXPECT_EQ(why->why, reason::AcceleratorBusy);
}

// Guards against a second run of a job that is not repeatable and may have run.
TEST(attempts_test, notRepeatableRunsAgainOnlyAfterAborted)
{
    scheduler_fixture fixture;
    job_spec notRepeatable = makeJob("1", {1, 1});
    notRepeatable.repeatable = false;
    EXPECT_TRUE(fixture.policy.submit(notRepeatable));
    fixture.acceptProposals(Start);
    EXPECT_EQ(reasonOf(fixture.policy.requeue(job_id("1"))), reason::WrongState);
    fixture.endAttempt("1", attempt_outcome::Aborted, Start, 0);
    EXPECT_EQ(fixture.stateOf("1"), job_state::Queued);
    fixture.acceptProposals(Start);
    fixture.endAttempt("1", attempt_outcome::Lost, Start, 5);
    EXPECT_EQ(fixture.stateOf("1"), job_state::Failed);
    EXPECT_EQ(reasonOf(fixture.policy.requeue(job_id("1"))), reason::WrongState);
}

// Guards against further work for a worker that fails every gang, and against a quarantine that
// never ends.
TEST(quarantine_test, stopsAFailingWorkerAndProbesItLater)
{
    scheduler_fixture fixture(1);
    const auto failOnce = [&](const std::string &name, absl::Time now) {
        EXPECT_TRUE(fixture.policy.submit(makeJob(name, {1, 1})));
        fixture.acceptProposals(now);
        ASSERT_EQ(fixture.stateOf(name), job_state::Running) << name;
        fixture.endAttempt(name, attempt_outcome::Failed, now, 1);
    };
    for (const char *name : {"1", "2", "3"})
        failOnce(name, Start);
    EXPECT_EQ(fixture.policy.conditionOf(worker_id("w0")), worker_condition::Quarantined);
    EXPECT_TRUE(fixture.policy.submit(makeJob("4", {1, 1})));
    EXPECT_TRUE(fixture.policy.submit(makeJob("5", {1, 1})));
    fixture.acceptProposals(Start + absl::Seconds(59));
    EXPECT_EQ(fixture.stateOf("4"), job_state::Queued);
    fixture.acceptProposals(Start + absl::Seconds(60));
    EXPECT_EQ(fixture.stateOf("4"), job_state::Running);
    EXPECT_EQ(fixture.stateOf("5"), job_state::Queued) << "one gang on probation";
    fixture.endAttempt("4", attempt_outcome::Failed, Start + absl::Seconds(61), 1);
    fixture.acceptProposals(Start + absl::Seconds(180));
    EXPECT_EQ(fixture.stateOf("5"), job_state::Queued) << "the delay doubled to 120 s";
    fixture.acceptProposals(Start + absl::Seconds(181));
    fixture.endAttempt("5", attempt_outcome::Completed, Start + absl::Seconds(300), 100);
    EXPECT_EQ(fixture.policy.conditionOf(worker_id("w0")), worker_condition::Usable);
}

// Guards against guarantees at risk when a worker drains while other workers have capacity, and
// against a missing report of the risk when no worker has.
TEST(guarantees_test, moveFromDrainedWorkersAndShowRisk)
{
    scheduler_fixture fixture(3);
    fixture.addContract("g", "a", {1, 8}, 2);
    EXPECT_TRUE(fixture.policy.setWorkerCondition(worker_id("w0"), worker_condition::Draining));
    EXPECT_TRUE(fixture.policy.guaranteesAtRisk().empty());
    EXPECT_TRUE(fixture.policy.setWorkerCondition(worker_id("w1"), worker_condition::Failed));
    const auto risks = fixture.policy.guaranteesAtRisk();
    ASSERT_EQ(risks.size(), 1);
    EXPECT_EQ(risks[0].gangs, 1);
    EXPECT_TRUE(fixture.policy.setWorkerCondition(worker_id("w1"), worker_condition::Usable));
    EXPECT_TRUE(fixture.policy.guaranteesAtRisk().empty());
    const contract extraContract {contract_id("h"), team_id("b"), {1, 8}, 1, zone_id()};
    EXPECT_EQ(reasonOf(fixture.policy.canGuarantee(extraContract)), reason::GuaranteeAtRisk);
}

} // namespace
} // namespace hyssoppond
