/// @file Tests of the call routing library.
#include "../faults/call_site_base.h"
#include "hyssoppond/routing/call_token_func.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace hyssoppond {
namespace {

using faults::call_site;

call_submission callOf(const call_site &site, const std::string &request, bool repeatable)
{
    call_submission submission;
    submission.id = {team_id("team"), request_id(request)};
    submission.caller = caller_id("caller");
    submission.repeatable = repeatable;
    submission.deadline = site.clock.now() + absl::Seconds(10);
    submission.payload = "payload of " + request;
    return submission;
}

std::size_t runsOf(const call_site &site, const std::string &request)
{
    std::size_t runs = 0;
    for (const auto &agent : site.agents) {
        for (const call_run &run : agent.runner->runs())
            runs += run.request.str() == request ? 1 : 0;
    }
    return runs;
}

std::vector<call_message> sampleMessages()
{
    const call_attempt attempt {{team_id("t"), request_id("r")}, process_id("e"), 7, 9};
    call_request request {attempt,
                          3,
                          caller_id("c"),
                          urgency::Urgent,
                          true,
                          absl::FromUnixSeconds(5),
                          "token",
                          std::string(300, 'x'),
                          11};
    return {request,
            call_response {attempt, 3, true, false, execution::Ran, 2, 4, "ok"},
            call_refused {attempt, 3, reason::Leaving, true, absl::FromUnixSeconds(6)},
            call_fence {attempt, 3, false, "token", absl::FromUnixSeconds(6)},
            call_fenced {attempt, 3, call_state::Fenced},
            call_query {attempt, 3, true, ""},
            call_reserve {attempt, absl::FromUnixSeconds(6)},
            call_reserved {attempt, "token"}};
}

// Guards against a field that is lost or reordered in the binary form.
TEST(call_message_test, decodesWhatItEncodes)
{
    for (const call_message &sample : sampleMessages()) {
        const auto decoded = decodeCall(encode(sample));
        ASSERT_TRUE(decoded.has_value());
        EXPECT_EQ(encode(*decoded), encode(sample));
    }
}

// Guards against exceptions, large allocations and undefined behaviour on damaged input.
TEST(call_message_test, survivesRandomAndMutatedInput)
{
    std::mt19937_64 random(1);
    std::size_t accepted = 0;
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = encode(sampleMessages()[random() % 8]);
        if (round % 4 == 0) {
            for (char &byte : bytes)
                byte = static_cast<char>(random());
            bytes[0] = 1;
            bytes[1] = static_cast<char>(random() % 10);
            bytes[2] = 1;
        } else if (round % 4 == 1) {
            bytes.resize(random() % bytes.size());
            EXPECT_FALSE(decodeCall(bytes).has_value());
        } else {
            for (std::uint64_t i = 0; i <= random() % 4; ++i)
                bytes[random() % bytes.size()] ^= static_cast<char>(1 << random() % 8);
        }
        accepted += decodeCall(bytes).has_value() ? 1 : 0;
    }
    EXPECT_LT(accepted, 20000U);
}

// Guards against reading a message of another format version, trailing bytes or too long a message.
TEST(call_message_test, rejectsVersionsAndSizes)
{
    std::string bytes = encode(sampleMessages()[0]);
    bytes[0] = 2;
    EXPECT_EQ(decodeCall(bytes).error().why, reason::UnsupportedVersion);
    bytes[0] = 1;
    EXPECT_EQ(decodeCall(bytes + "x").error().why, reason::MalformedMessage);
    bytes.resize(MaxCallPayloadBytes * 2);
    EXPECT_EQ(decodeCall(bytes).error().why, reason::BodyTooLarge);
}

// Guards against accepting a token that another incarnation issued or that has a changed character.
TEST(call_token_test, rejectsChangedTokens)
{
    const call_token token {process_id("agent.1"), 4, team_id("team"), 99,
                            absl::FromUnixSeconds(50)};
    const std::string text = issueToken(token, 1);
    const auto verified = verifyToken(text, 1);
    ASSERT_TRUE(verified.has_value());
    EXPECT_EQ(verified->agent, token.agent);
    EXPECT_EQ(verified->deadline, token.deadline);
    EXPECT_FALSE(verifyToken(text, 2).has_value());
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string changed = text;
        changed[i] = changed[i] == '1' ? '2' : '1';
        EXPECT_FALSE(verifyToken(changed, 1).has_value()) << i;
    }
}

// Guards against losing a call between submission and answer, for each kind: repeatable, bound to
// an agent, and with a token.
TEST(call_site_test, answersEachKindOfCall)
{
    call_site site(1, {});
    site.submit(0, callOf(site, "repeatable", true));
    site.submit(1, callOf(site, "bound", false));
    std::string token;
    site.entries[0].router->reserve(team_id("team"), site.clock.now() + absl::Seconds(5),
                                    [&](result<std::string> answer) { token = answer.value(); });
    site.clock.runFor(absl::Seconds(1));
    call_submission withToken = callOf(site, "token", false);
    withToken.token = token;
    site.submit(1, withToken);
    site.submit(0, withToken);
    site.clock.runFor(absl::Seconds(1));
    for (const auto &record : site.submissions) {
        ASSERT_EQ(record.answers.size(), 1U);
        ASSERT_TRUE(record.answers[0].has_value()) << record.answers[0].error().message;
        EXPECT_EQ(*record.answers[0], fake_runner::answerTo(record.what.payload));
    }
    EXPECT_EQ(runsOf(site, "token"), 1U);
    EXPECT_EQ(site.entries[0].router->pendingCalls(), 0U);
}

// Guards against a second run of a call that is not repeatable when its caller retries the request
// id at another entry.
TEST(call_site_test, runsABoundIdOnce)
{
    call_site site(2, {});
    for (std::size_t i = 0; i < 6; ++i)
        site.submit(i % 2, callOf(site, "once", false));
    site.clock.runFor(absl::Seconds(1));
    EXPECT_EQ(runsOf(site, "once"), 1U);
    for (const auto &record : site.submissions)
        EXPECT_TRUE(record.answers.at(0).has_value());
}

// Guards against answering a second payload under the same request id with the answer of the first.
TEST(call_site_test, refusesAReusedIdWithAnotherPayload)
{
    call_site site(3, {});
    site.submit(0, callOf(site, "once", false));
    site.clock.runFor(absl::Seconds(1));
    call_submission other = callOf(site, "once", false);
    other.payload = "another payload";
    site.submit(1, other);
    site.clock.runFor(absl::Seconds(1));
    EXPECT_EQ(site.submissions[1].answers.at(0).error().why, reason::RequestIdReused);
}

// Guards against reporting "not run" for a call whose agent was lost after the request was sent.
TEST(call_site_test, reportsUnknownAfterTheLossOfTheAgent)
{
    call_site site(4, {});
    for (auto &agent : site.agents)
        agent.runner->faults.hang = true;
    site.submit(0, callOf(site, "lost", false));
    site.clock.runFor(absl::Milliseconds(200));
    for (std::size_t i = 0; i < site.agents.size(); ++i) {
        site.killAgent(i);
        site.removeEverywhere(i);
    }
    EXPECT_EQ(site.submissions[0].answers.at(0).error().state, execution::Unknown);
}

// Guards against running a call whose request id could not be bound because the log is down.
TEST(call_site_test, refusesBoundCallsWhileTheLogIsDown)
{
    call_site site(5, {});
    site.binding.refuse = true;
    site.submit(0, callOf(site, "refused", false));
    site.submit(0, callOf(site, "repeatable", true));
    site.clock.runFor(absl::Seconds(1));
    const error &refusal = site.submissions[0].answers.at(0).error();
    EXPECT_EQ(refusal.why, reason::LogUnavailable);
    EXPECT_EQ(refusal.state, execution::NotRun);
    EXPECT_LT(refusal.retryAt, absl::InfiniteFuture());
    EXPECT_TRUE(site.submissions[1].answers.at(0).has_value());
    EXPECT_EQ(runsOf(site, "refused"), 0U);
}

// Guards against more retries than the target of 0.1 per request, advances included.
TEST(retry_budget_test, staysBelowATenthOfTheRequests)
{
    retry_budget budget({});
    absl::Time now = absl::FromUnixSeconds(1);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.earn();
        now += absl::Milliseconds(10);
        while (budget.take(now))
            ++retries;
    }
    EXPECT_LE(retries, 100);
    EXPECT_GE(retries, 80);
}

// Guards against calls that wait for a retry until their deadline because no new requests come.
TEST(retry_budget_test, advancesRetriesOverTime)
{
    retry_budget budget({});
    const absl::Time now = absl::FromUnixSeconds(1);
    while (budget.take(now)) {
    }
    EXPECT_FALSE(budget.take(now + absl::Seconds(1)));
    EXPECT_TRUE(budget.take(now + absl::Seconds(6)));
}

// Guards against one caller filling the queue of its team, and against serving callers out of turn.
TEST(call_queue_test, protectsSmallCallers)
{
    queue_settings settings;
    settings.maxQueued = 10;
    call_queue queue(settings);
    const queue_flow large {team_id("t"), caller_id("large"), urgency::Normal};
    const queue_flow small {team_id("t"), caller_id("small"), urgency::Normal};
    for (queue_ticket i = 1; i <= 10; ++i)
        EXPECT_FALSE(queue.push(i, large).has_value());
    EXPECT_EQ(queue.push(11, large), 11U);
    EXPECT_EQ(queue.push(12, small), 10U);
    const auto first = queue.pop();
    const auto second = queue.pop();
    EXPECT_TRUE(first == 12U || second == 12U);
}

// Guards against a team gaining service by marking all its calls urgent.
TEST(call_queue_test, limitsUrgentCallsToTheirShare)
{
    queue_settings settings;
    settings.maxQueued = 100000;
    settings.urgentBurst = absl::ZeroDuration();
    call_queue queue(settings);
    const queue_flow normalFlow {team_id("a"), caller_id("c"), urgency::Normal};
    const queue_flow urgentFlow {team_id("b"), caller_id("c"), urgency::Urgent};
    for (queue_ticket i = 0; i < 4000; ++i)
        queue.push(i, i % 2 == 0 ? normalFlow : urgentFlow);
    std::size_t urgentTaken = 0;
    for (int i = 0; i < 1000; ++i)
        urgentTaken += *queue.pop() % 2;
    EXPECT_NEAR(static_cast<double>(urgentTaken), 500, 20);
}

// Guards against ejecting so many failing endpoints that the others are overloaded.
TEST(route_table_test, ejectsAtMostAThird)
{
    virtual_clock clock;
    route_table table({}, clock.hooks());
    for (int i = 0; i < 9; ++i) {
        endpoint target;
        target.agent = process_id("agent-" + std::to_string(i));
        target.servedRunner.id = runner_id("runner");
        table.setEndpoint(target, false);
        for (int failure = 0; failure < 5; ++failure) {
            table.beginAttempt(target.agent);
            table.endAttempt(target.agent,
                             {attempt_sample::outcome::Failed, absl::Milliseconds(1)});
        }
    }
    EXPECT_EQ(table.ejected(), 3U);
    clock.runFor(absl::Seconds(6));
    EXPECT_EQ(table.ejected(), 0U);
}

} // namespace
} // namespace hyssoppond
