/// @file Tests of the scheduling decisions.
#include "hyssoppond/policy/scheduler_base.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include <random>

namespace hyssoppond {
namespace {

const absl::Time Start = absl::FromUnixSeconds(1'000'000);

worker machine(int number, std::uint32_t accelerators = 8)
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

job_spec job(const std::string &name, shape wanted, urgency level = urgency::Normal,
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

/// A scheduler on a small fleet that accepts its own proposals.
struct site
{
    scheduler policy;

    explicit site(int workers = 6, scheduler_options options = {})
        : policy(options)
    {
        for (int i = 0; i < workers; ++i)
            EXPECT_TRUE(policy.addWorker(machine(i)));
        for (const char *name : {"a", "b"})
            EXPECT_TRUE(policy.setTeam({team_id(name), 1.0, 100, 100}));
    }

    void guarantee(const std::string &name, const std::string &owner, shape wanted,
                   std::uint32_t count)
    {
        EXPECT_TRUE(
            policy.setContract({contract_id(name), team_id(owner), wanted, count, zone_id()}));
    }

    /// Accepts what `decide` proposes until it proposes no more placements; returns preemptions.
    std::vector<preempt_decision> settle(absl::Time now)
    {
        std::vector<preempt_decision> preempted;
        for (bool placed = true; placed;) {
            placed = false;
            for (const decision &one : policy.decide(now)) {
                if (const auto *place = std::get_if<place_decision>(&one)) {
                    placed = true;
                    EXPECT_TRUE(policy.placementAccepted(place->job, place->attempt, place->members,
                                                         place->contract));
                    EXPECT_TRUE(policy.gangStarted(place->job, place->attempt, now));
                } else {
                    preempted.push_back(std::get<preempt_decision>(one));
                    EXPECT_TRUE(policy.preemptionAccepted(preempted.back()));
                }
            }
        }
        return preempted;
    }

    void end(const std::string &name, attempt_outcome outcome, absl::Time now, double seconds)
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
    site here;
    auto &policy = here.policy;
    EXPECT_EQ(reasonOf(policy.submit(job("1", {1, 9}))), reason::ImpossibleShape);
    EXPECT_EQ(reasonOf(policy.submit(job("1", {4, 8, adjacency::Rack}))), reason::ImpossibleShape);
    EXPECT_EQ(reasonOf(policy.submit(job("1", {1, 1}, urgency::Normal, "x"))), reason::UnknownTeam);
    EXPECT_TRUE(policy.submit(job("1", {1, 1}), command_mode::Test));
    EXPECT_EQ(policy.find(job_id("1")), nullptr);
    EXPECT_TRUE(policy.submit(job("1", {1, 1})));
    EXPECT_TRUE(policy.submit(job("1", {1, 1})));
    EXPECT_EQ(policy.queueLength(), 1);
    EXPECT_EQ(reasonOf(policy.submit(job("1", {1, 2}))), reason::RequestIdReused);
    EXPECT_TRUE(policy.setTeam({team_id("b"), 1.0, 1, 1}));
    EXPECT_TRUE(policy.submit(job("2", {1, 1}, urgency::Normal, "b")));
    EXPECT_EQ(reasonOf(policy.submit(job("3", {1, 1}, urgency::Normal, "b"))), reason::QueueFull);
}

// Guards against refusing a shape for ever because a worker restarts at that moment (process cells
// entry-killed-job and log-down-urgent), and against waiting for a worker that is gone for good.
TEST(submission_test, countsWorkersThatAreAbsentForAShortTime)
{
    site here(2);
    auto &policy = here.policy;
    EXPECT_TRUE(policy.removeWorker(machine(1).id));
    EXPECT_TRUE(policy.submit(job("1", {2, 8, adjacency::Rack})));
    EXPECT_EQ(here.settle(Start).size(), 0);
    EXPECT_EQ(here.stateOf("1"), job_state::Queued);
    EXPECT_EQ(policy.explain(job_id("1"))->why, reason::WorkerUnreachable);
    EXPECT_TRUE(policy.addWorker(machine(1)));
    here.settle(Start);
    EXPECT_EQ(here.stateOf("1"), job_state::Running);
    EXPECT_TRUE(policy.removeWorker(machine(1).id));
    policy.decide(Start);
    policy.decide(Start + absl::Hours(1));
    EXPECT_EQ(reasonOf(policy.submit(job("2", {2, 8, adjacency::Rack}))), reason::ImpossibleShape);
}

// Guards against a gang that stays queued after the loss of a worker although others are free
// (process cell I2 agent-killed).
TEST(attempts_test, runAgainOnOtherWorkersAfterALoss)
{
    site here(0);
    auto &policy = here.policy;
    for (int i = 0; i < 4; ++i) {
        worker one = machine(i);
        one.rack = rack_id("r");
        one.zone = zone_id("z");
        EXPECT_TRUE(policy.addWorker(one));
    }
    here.guarantee("routes", "a", {2, 8, adjacency::Rack}, 1);
    EXPECT_TRUE(policy.submit(job("1", {2, 8, adjacency::Rack}, urgency::Normal, "b")));
    here.settle(Start);
    ASSERT_EQ(here.stateOf("1"), job_state::Running);
    const worker_id lost = policy.find(job_id("1"))->members.front().worker;
    EXPECT_TRUE(policy.removeWorker(lost));
    here.end("1", attempt_outcome::Lost, Start + absl::Seconds(1), 1.0);
    here.settle(Start + absl::Seconds(2));
    EXPECT_EQ(here.stateOf("1"), job_state::Running);
}

// Guards against proposals that change the state before they are accepted.
TEST(decide_test, hasNoEffectByItself)
{
    site here;
    EXPECT_TRUE(here.policy.submit(job("1", {2, 8, adjacency::Rack})));
    const auto first = here.policy.decide(Start);
    const auto second = here.policy.decide(Start);
    ASSERT_EQ(first.size(), 1);
    ASSERT_EQ(second.size(), 1);
    EXPECT_EQ(std::get<place_decision>(first[0]).members,
              std::get<place_decision>(second[0]).members);
    EXPECT_EQ(here.stateOf("1"), job_state::Queued);
}

// Guards against small jobs that spread over whole workers and leave no room for large shapes.
TEST(placement_test, keepsWholeWorkersFree)
{
    site here(3);
    for (int i = 0; i < 8; ++i)
        EXPECT_TRUE(here.policy.submit(job(absl::StrCat(i), {1, 1})));
    here.settle(Start);
    EXPECT_TRUE(here.policy.submit(job("large", {2, 8, adjacency::Rack})));
    here.settle(Start);
    EXPECT_EQ(here.stateOf("large"), job_state::Running);
}

// Guards against a guarantee that borrowed work can keep its owner from, and against urgency
// beyond the contract that still takes accelerators from others.
TEST(reclaim_test, givesTheOwnerItsShapeAndNoMore)
{
    site here(3);
    here.guarantee("g", "a", {1, 8}, 1);
    for (int i = 0; i < 3; ++i)
        EXPECT_TRUE(here.policy.submit(job(absl::StrCat(i), {1, 8}, urgency::Normal, "b")));
    here.settle(Start);
    EXPECT_TRUE(here.policy.submit(job("u1", {1, 8}, urgency::Urgent)));
    EXPECT_TRUE(here.policy.submit(job("u2", {1, 8}, urgency::Urgent)));
    const auto preempted = here.settle(Start);
    ASSERT_EQ(preempted.size(), 1);
    EXPECT_EQ(preempted[0].checkpointBefore, Start + absl::Seconds(5));
    EXPECT_EQ(preempted[0].beneficiary, job_id("u1"));
    here.end(preempted[0].job.str(), attempt_outcome::Preempted, Start, 10);
    EXPECT_TRUE(here.settle(Start).empty());
    EXPECT_EQ(here.stateOf("u1"), job_state::Running);
    EXPECT_EQ(here.stateOf("u2"), job_state::Queued);
    EXPECT_EQ(here.stateOf(preempted[0].job.str()), job_state::Queued);
}

// Guards against urgent jobs beyond the contract that hide a covered one behind them.
TEST(reclaim_test, findsTheCoveredJobBehindOthers)
{
    site here(3);
    here.guarantee("g", "a", {1, 1}, 1);
    EXPECT_TRUE(here.policy.submit(job("fill", {3, 8, adjacency::Rack}, urgency::Normal, "b")));
    here.settle(Start);
    for (int i = 0; i < 20; ++i)
        EXPECT_TRUE(here.policy.submit(job(absl::StrCat(i), {1, 8}, urgency::Urgent)));
    EXPECT_TRUE(here.policy.submit(job("covered", {1, 1}, urgency::Urgent)));
    const auto preempted = here.settle(Start);
    ASSERT_EQ(preempted.size(), 1);
    EXPECT_EQ(preempted[0].beneficiary, job_id("covered"));
}

// Guards against a scheduler that only knows placements which it proposed itself, and against two
// gangs on the same accelerators.
TEST(placement_test, replaysDecisionsOfAnotherProcess)
{
    site here;
    here.guarantee("g", "a", {1, 4}, 1);
    EXPECT_TRUE(here.policy.submit(job("1", {1, 4}, urgency::Urgent)));
    EXPECT_TRUE(here.policy.submit(job("2", {1, 4})));
    const std::vector<gang_member> members {{worker_id("w5"), process_id("p5"), 0xf0}};
    EXPECT_TRUE(here.policy.placementAccepted(job_id("1"), 1, members, contract_id("g")));
    EXPECT_EQ(reasonOf(here.policy.placementAccepted(job_id("2"), 1, members)),
              reason::AcceleratorBusy);
    EXPECT_EQ(reasonOf(here.policy.placementAccepted(job_id("2"), 2, members)),
              reason::StaleAttempt);
    EXPECT_EQ(reasonOf(here.policy.removeTeam(team_id("a"))), reason::WrongState);
    here.end("1", attempt_outcome::Completed, Start, 10);
    EXPECT_TRUE(here.policy.guaranteesAtRisk().empty());
}

// Guards against a quarantine set by an operator that ends by itself.
TEST(quarantine_test, ofAnOperatorLasts)
{
    site here(1);
    EXPECT_TRUE(here.policy.setWorkerCondition(worker_id("w0"), worker_condition::Quarantined));
    EXPECT_TRUE(here.policy.submit(job("1", {1, 1})));
    here.settle(Start + absl::Hours(24));
    EXPECT_EQ(here.stateOf("1"), job_state::Queued);
    const auto why = here.policy.explain(job_id("1"));
    ASSERT_TRUE(why);
    EXPECT_EQ(why->why, reason::AcceleratorBusy);
}

// Guards against a job that is not repeatable and runs again after it may have run.
TEST(attempts_test, notRepeatableRunsAgainOnlyAfterAborted)
{
    site here;
    job_spec once = job("1", {1, 1});
    once.repeatable = false;
    EXPECT_TRUE(here.policy.submit(once));
    here.settle(Start);
    EXPECT_EQ(reasonOf(here.policy.requeue(job_id("1"))), reason::WrongState);
    here.end("1", attempt_outcome::Aborted, Start, 0);
    EXPECT_EQ(here.stateOf("1"), job_state::Queued);
    here.settle(Start);
    here.end("1", attempt_outcome::Lost, Start, 5);
    EXPECT_EQ(here.stateOf("1"), job_state::Failed);
    EXPECT_EQ(reasonOf(here.policy.requeue(job_id("1"))), reason::WrongState);
}

// Guards against work for a worker that fails everything, and against a quarantine without an end.
TEST(quarantine_test, stopsAFailingWorkerAndProbesItLater)
{
    site here(1);
    const auto failOnce = [&](const std::string &name, absl::Time now) {
        EXPECT_TRUE(here.policy.submit(job(name, {1, 1})));
        here.settle(now);
        ASSERT_EQ(here.stateOf(name), job_state::Running) << name;
        here.end(name, attempt_outcome::Failed, now, 1);
    };
    for (const char *name : {"1", "2", "3"})
        failOnce(name, Start);
    EXPECT_EQ(here.policy.conditionOf(worker_id("w0")), worker_condition::Quarantined);
    EXPECT_TRUE(here.policy.submit(job("4", {1, 1})));
    EXPECT_TRUE(here.policy.submit(job("5", {1, 1})));
    here.settle(Start + absl::Seconds(59));
    EXPECT_EQ(here.stateOf("4"), job_state::Queued);
    here.settle(Start + absl::Seconds(60));
    EXPECT_EQ(here.stateOf("4"), job_state::Running);
    EXPECT_EQ(here.stateOf("5"), job_state::Queued) << "one gang on probation";
    here.end("4", attempt_outcome::Failed, Start + absl::Seconds(61), 1);
    here.settle(Start + absl::Seconds(180));
    EXPECT_EQ(here.stateOf("5"), job_state::Queued) << "the delay doubled to 120 s";
    here.settle(Start + absl::Seconds(181));
    here.end("5", attempt_outcome::Completed, Start + absl::Seconds(300), 100);
    EXPECT_EQ(here.policy.conditionOf(worker_id("w0")), worker_condition::Usable);
}

// Guards against lost guarantees when a worker drains while room is elsewhere, and against silence
// when there is none.
TEST(guarantees_test, moveFromDrainedWorkersAndShowRisk)
{
    site here(3);
    here.guarantee("g", "a", {1, 8}, 2);
    EXPECT_TRUE(here.policy.setWorkerCondition(worker_id("w0"), worker_condition::Draining));
    EXPECT_TRUE(here.policy.guaranteesAtRisk().empty());
    EXPECT_TRUE(here.policy.setWorkerCondition(worker_id("w1"), worker_condition::Failed));
    const auto risks = here.policy.guaranteesAtRisk();
    ASSERT_EQ(risks.size(), 1);
    EXPECT_EQ(risks[0].gangs, 1);
    EXPECT_TRUE(here.policy.setWorkerCondition(worker_id("w1"), worker_condition::Usable));
    EXPECT_TRUE(here.policy.guaranteesAtRisk().empty());
    const contract more {contract_id("h"), team_id("b"), {1, 8}, 1, zone_id()};
    EXPECT_EQ(reasonOf(here.policy.canGuarantee(more)), reason::GuaranteeAtRisk);
}

} // namespace
} // namespace hyssoppond
