/// @file Cells of I8: an accepted configuration is in force everywhere in 6 s and never reverts.
#include "journal_harness_base.h"

#include <absl/strings/str_format.h>

namespace hyssoppond::faults {
namespace {

/// Target of docs/design.md, section 9.
constexpr absl::Duration InForceLimit = absl::Seconds(6);
constexpr absl::Duration Warmup = absl::Seconds(2);
const std::string Key = "limit/calls";

/// Runs until the answer has come, at most 15 s.
bool awaitAnswer(journal_harness &harness, const std::shared_ptr<append_answer> &answer)
{
    for (int i = 0; i < 1500 && !answer->has_value(); ++i)
        harness.clock.runFor(absl::Milliseconds(10));
    return answer->has_value();
}

bool isAccepted(const std::shared_ptr<append_answer> &answer)
{
    return answer->has_value() && (*answer)->has_value() && (**answer)->decision.accepted;
}

cell_result failed(std::string detail)
{
    return {false, std::move(detail)};
}

/// Checks I8 at the end of a run by the versions that each process recorded over time.
cell_result judge(journal_harness &harness, journal_offset version)
{
    std::string detail = harness.notInForce(Key, version);
    if (detail.empty())
        detail = harness.reverted();
    return {detail.empty(), detail};
}

harness_options withoutDissemination(const cell_context &context)
{
    harness_options options;
    options.gossip.disseminate = !context.mechanismOff;
    return options;
}

/// Publishes one change with 10% packet loss; the log goes down once it is accepted.
cell_result logDownAfterAcceptance(const cell_context &context,
                                   const std::function<void(journal_harness &)> &injectFault)
{
    journal_harness harness(context.seed, withoutDissemination(context));
    harness.network.setConditions(
        {.jitter = absl::Milliseconds(5), .loss = 0.1, .duplication = 0.05});
    harness.clock.runFor(Warmup);
    const auto answer = harness.publish("e1", Key, "10", 0, "r1");
    injectFault(harness);
    if (!awaitAnswer(harness, answer) || !isAccepted(answer))
        return failed("the change was not accepted");
    harness.log.faults.down = true;
    harness.clock.runFor(InForceLimit);
    return judge(harness, (**answer)->offset);
}

cell_result slowLog(const cell_context &context)
{
    return logDownAfterAcceptance(context, [](journal_harness &harness) {
        harness.log.faults.answerDelay = absl::Seconds(2);
    });
}

cell_result answerLost(const cell_context &context)
{
    harness_options options;
    options.client.settleByReading = !context.mechanismOff;
    journal_harness harness(context.seed, options);
    harness.clock.runFor(Warmup);
    harness.log.faults.loseAppendAnswers = true;
    const auto answer = harness.publish("e1", Key, "10", 0, "r1");
    harness.clock.runFor(absl::Milliseconds(8));
    if (!awaitAnswer(harness, answer))
        return failed("the operator got no answer");
    if (!isAccepted(answer))
        return failed("an accepted change was reported as failed");
    harness.clock.runFor(InForceLimit);
    return judge(harness, (**answer)->offset);
}

/// Answers an append with an error of unknown effect after it took effect.
class error_after_effect_log : public log_port
{
public:
    explicit error_after_effect_log(fake_log *log)
        : m_log(log)
    { }
    void append(std::string payload, absl::Time deadline,
                std::function<void(result<journal_offset>)> done) override
    {
        m_log->append(std::move(payload), deadline, [done = std::move(done)](const auto &) {
            done(fail(reason::LogUnsettled, "the connection closed", execution::Unknown));
        });
    }
    void read(journal_offset from, std::size_t maxRecords, absl::Time deadline,
              std::function<void(result<log_batch>)> done) override
    {
        m_log->read(from, maxRecords, deadline, std::move(done));
    }

private:
    fake_log *m_log;
};

cell_result connectionClosed(const cell_context &context)
{
    virtual_clock clock(context.seed);
    fake_log log(&clock);
    error_after_effect_log port(&log);
    journal::cluster_state state;
    journal::journal_options options;
    options.settleByReading = !context.mechanismOff;
    journal::journal_client client(clock.hooks(), &port, process_id("e0"), 1, &state, {}, options);
    append_answer answer;
    client.append(journal::config_changed {Key, "10", 0, request_id("r1"), "operator"},
                  clock.now() + absl::Seconds(10),
                  [&](const result<journal::append_outcome> &outcome) { answer = outcome; });
    for (int i = 0; i < 100; ++i) {
        client.tick();
        clock.runFor(absl::Milliseconds(20));
    }
    if (!answer || !answer->has_value())
        return failed("a change that took effect was reported as failed");
    return {state.findConfig(Key) != nullptr, "the change is not in the journal"};
}

cell_result operatorsRace(const cell_context &context)
{
    journal_harness harness(context.seed, {});
    harness.clock.runFor(Warmup);
    std::vector<std::shared_ptr<append_answer>> answers;
    for (const std::string entry : {"e0", "e1", "e2", "e3"})
        answers.push_back(harness.publish(entry, Key, "from-" + entry, 0, "r-" + entry));
    harness.clock.runFor(InForceLimit);
    journal_offset winner = 0;
    for (const auto &answer : answers) {
        if (isAccepted(answer) && winner != 0)
            return failed("two operators were told that their change won");
        if (isAccepted(answer))
            winner = (**answer)->offset;
    }
    for (const auto &answer : answers) {
        if (!answer->has_value() || !(*answer)->has_value())
            return failed("an operator got no verdict");
        if (!isAccepted(answer) && (**answer)->decision.related != winner)
            return failed("a loser was not told the winning version");
    }
    return judge(harness, winner);
}

cell_result restartDuringOutage(const cell_context &context)
{
    journal_harness harness(context.seed, withoutDissemination(context));
    harness.network.setConditions({.loss = 0.1});
    harness.clock.runFor(Warmup);
    const auto answer = harness.publish("e1", Key, "10", 0, "r1");
    if (!awaitAnswer(harness, answer) || !isAccepted(answer))
        return failed("the change was not accepted");
    harness.log.faults.down = true;
    harness.clock.runFor(absl::Seconds(3));
    for (const std::string name : {"e1", "e2", "a3"})
        harness.start(name);
    const std::size_t restarted = harness.observations.size();
    harness.clock.runFor(InForceLimit);
    // A restarted process begins without a version, so only versions that follow the restarts must
    // not decrease.
    harness.observations.erase(harness.observations.begin(),
                               harness.observations.begin()
                                   + static_cast<std::ptrdiff_t>(restarted));
    return judge(harness, (**answer)->offset);
}

cell_result zoneCutAndHealed(const cell_context &context)
{
    journal_harness harness(context.seed, withoutDissemination(context));
    harness.clock.runFor(Warmup);
    harness.cutZone(context.seed % 4);
    harness.log.faults.answerDelay = absl::Milliseconds(50);
    const auto answer = harness.publish("e1", Key, "10", 0, "r1");
    if (!awaitAnswer(harness, answer) || !isAccepted(answer))
        return failed("the change was not accepted");
    harness.log.faults.down = true;
    harness.clock.runFor(absl::Seconds(20));
    harness.heal();
    harness.clock.runFor(InForceLimit);
    return judge(harness, (**answer)->offset);
}

cell_result passedByRetention(const cell_context &context)
{
    harness_options options;
    options.client.snapshotOffsets = 10;
    journal_harness harness(context.seed, options);
    harness.clock.runFor(Warmup);
    harness.pause("e2");
    journal_offset version = 0;
    for (int i = 0; i < 40; ++i) {
        const auto answer
            = harness.publish("e1", Key, std::to_string(i), version, "r" + std::to_string(i));
        if (!awaitAnswer(harness, answer) || !isAccepted(answer))
            return failed("a change was not accepted");
        version = (**answer)->offset;
        harness.replayedState();
    }
    harness.clock.runFor(absl::Seconds(1));
    harness.log.retainFrom(25);
    harness.resume("e2");
    harness.clock.runFor(InForceLimit);
    if (harness.state("e2").offset() != harness.state("e0").offset())
        return failed("the reader did not catch up");
    return judge(harness, version);
}

/// Old and new versions arrive in any order and more than once.
cell_result reorderedMessages(const cell_context &context)
{
    harness_options options;
    options.newestWins = !context.mechanismOff;
    // Without the rule, every older version counts as new and forwarding would never end.
    options.gossip.fanout = context.mechanismOff ? 0 : options.gossip.fanout;
    journal_harness harness(context.seed, options);
    harness.network.setConditions({.delay = absl::Milliseconds(1),
                                   .jitter = absl::Seconds(1),
                                   .loss = 0.1,
                                   .duplication = 0.3});
    harness.clock.runFor(Warmup);
    journal_offset version = 0;
    for (int i = 0; i < 20; ++i) {
        const auto answer
            = harness.publish("e1", Key, std::to_string(i), version, "r" + std::to_string(i));
        if (!awaitAnswer(harness, answer) || !isAccepted(answer))
            return failed("a change was not accepted");
        version = (**answer)->offset;
    }
    harness.clock.runFor(InForceLimit);
    return judge(harness, version);
}

/// Random changes by racing operators under random faults. Then the network keeps its conditions,
/// and the log goes down until the end of the run.
cell_result randomSchedule(const cell_context &context)
{
    journal_harness harness(context.seed, withoutDissemination(context));
    harness.network.setConditions(
        {.jitter = absl::Milliseconds(20), .loss = 0.1, .duplication = 0.1});
    harness.clock.runFor(Warmup);
    std::vector<std::shared_ptr<append_answer>> answers;
    for (int i = 0; i < 30; ++i) {
        const std::string entry = "e" + std::to_string(harness.clock.random() % 4);
        harness.log.faults.loseAppendAnswers = harness.clock.uniform() < 0.3;
        harness.log.faults.refuse = harness.clock.uniform() < 0.2;
        harness.log.faults.answerDelay = absl::Milliseconds(harness.clock.random() % 200);
        const journal::config_item *known = harness.config(entry).find(Key);
        answers.push_back(harness.publish(entry, Key, std::to_string(i),
                                          known == nullptr ? 0 : known->version,
                                          "r" + std::to_string(i)));
        harness.clock.runFor(absl::Milliseconds(harness.clock.random() % 1500));
    }
    harness.log.faults = {};
    harness.clock.runFor(absl::Seconds(12));
    const auto last = harness.publish("e0", Key, "last",
                                      harness.replayedState().findConfig(Key) == nullptr
                                          ? 0
                                          : harness.replayedState().findConfig(Key)->version,
                                      "last");
    if (!awaitAnswer(harness, last) || !isAccepted(last))
        return failed("the last change was not accepted");
    harness.log.faults.down = true;
    harness.clock.runFor(InForceLimit);
    for (const auto &answer : answers) {
        if (!answer->has_value())
            return failed("an operator got no answer");
    }
    return judge(harness, (**last)->offset);
}

std::vector<cell> build()
{
    const std::string dissemination = "dissemination of configuration";
    const std::string settlement = "settlement by reading back";
    return {
        {"I8", "log-down", "after-acceptance",
         [](const auto &context) {
             return logDownAfterAcceptance(context, [](journal_harness &) {});
         },
         dissemination},
        {"I8", "log-slow", "append", slowLog, dissemination},
        {"I8", "append-answer-lost", "append", answerLost, ""},
        {"I8", "connection-closed", "after-effect", connectionClosed, settlement},
        {"I8", "operators-race", "publish", operatorsRace, ""},
        {"I8", "process-restarted", "during-outage", restartDuringOutage, dissemination},
        {"I8", "zone-cut", "after-acceptance", zoneCutAndHealed, dissemination},
        {"I8", "retention-passed", "paused-reader", passedByRetention, ""},
        {"I8", "messages-reordered", "forwarding", reorderedMessages,
         "the newest version of a key wins"},
        {"I8", "random-schedule", "publish", randomSchedule, dissemination},
    };
}

const cell_registration Registration(build);

} // namespace
} // namespace hyssoppond::faults
