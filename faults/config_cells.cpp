/// @file Cells of I8: an accepted configuration is in force everywhere within 6 s, never reverts.
#include "journal_harness_base.h"

#include <absl/strings/str_format.h>

namespace hyssoppond::faults {
namespace {

/// Target of docs/design.md, section 9.
constexpr absl::Duration InForceWithin = absl::Seconds(6);
constexpr absl::Duration Warmup = absl::Seconds(2);
const std::string Key = "limit/calls";

/// Runs until the answer has come, at most 15 s.
bool awaitAnswer(journal_harness &world, const std::shared_ptr<told> &answer)
{
    for (int i = 0; i < 1500 && !answer->has_value(); ++i)
        world.clock.runFor(absl::Milliseconds(10));
    return answer->has_value();
}

bool isAccepted(const std::shared_ptr<told> &answer)
{
    return answer->has_value() && (*answer)->has_value() && (**answer)->decision.accepted;
}

cell_result failed(std::string detail)
{
    return {false, std::move(detail)};
}

/// Judges the end of a run by the processes' configuration over time.
cell_result judge(journal_harness &world, journal_offset version)
{
    std::string detail = world.notInForce(Key, version);
    if (detail.empty())
        detail = world.reverted();
    return {detail.empty(), detail};
}

harness_options withoutDissemination(const cell_context &context)
{
    harness_options options;
    options.gossip.disseminate = !context.mechanismOff;
    return options;
}

/// Publishes one change with 10% packet loss; the log is lost the moment it is accepted.
cell_result logDownAfterAcceptance(const cell_context &context,
                                   const std::function<void(journal_harness &)> &alsoFails)
{
    journal_harness world(context.seed, withoutDissemination(context));
    world.network.setConditions(
        {.jitter = absl::Milliseconds(5), .loss = 0.1, .duplication = 0.05});
    world.clock.runFor(Warmup);
    const auto answer = world.publish("e1", Key, "10", 0, "r1");
    alsoFails(world);
    if (!awaitAnswer(world, answer) || !isAccepted(answer))
        return failed("the change was not accepted");
    world.log.faults.down = true;
    world.clock.runFor(InForceWithin);
    return judge(world, (**answer)->offset);
}

cell_result slowLog(const cell_context &context)
{
    return logDownAfterAcceptance(
        context, [](journal_harness &world) { world.log.faults.answerDelay = absl::Seconds(2); });
}

cell_result answerLost(const cell_context &context)
{
    harness_options options;
    options.client.settleByReading = !context.mechanismOff;
    journal_harness world(context.seed, options);
    world.clock.runFor(Warmup);
    world.log.faults.loseAppendAnswers = true;
    const auto answer = world.publish("e1", Key, "10", 0, "r1");
    world.clock.runFor(absl::Milliseconds(8));
    if (!awaitAnswer(world, answer))
        return failed("the operator got no answer");
    if (!isAccepted(answer))
        return failed("an accepted change was reported as failed");
    world.clock.runFor(InForceWithin);
    return judge(world, (**answer)->offset);
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
    told answer;
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
    journal_harness world(context.seed, {});
    world.clock.runFor(Warmup);
    std::vector<std::shared_ptr<told>> answers;
    for (const std::string entry : {"e0", "e1", "e2", "e3"})
        answers.push_back(world.publish(entry, Key, "from-" + entry, 0, "r-" + entry));
    world.clock.runFor(InForceWithin);
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
    return judge(world, winner);
}

cell_result restartDuringOutage(const cell_context &context)
{
    journal_harness world(context.seed, withoutDissemination(context));
    world.network.setConditions({.loss = 0.1});
    world.clock.runFor(Warmup);
    const auto answer = world.publish("e1", Key, "10", 0, "r1");
    if (!awaitAnswer(world, answer) || !isAccepted(answer))
        return failed("the change was not accepted");
    world.log.faults.down = true;
    world.clock.runFor(absl::Seconds(3));
    for (const std::string name : {"e1", "e2", "a3"})
        world.start(name);
    const std::size_t restarted = world.observations.size();
    world.clock.runFor(InForceWithin);
    // A restarted process begins without a version; only what follows must not go down.
    world.observations.erase(world.observations.begin(),
                             world.observations.begin() + static_cast<std::ptrdiff_t>(restarted));
    return judge(world, (**answer)->offset);
}

cell_result zoneCutAndHealed(const cell_context &context)
{
    journal_harness world(context.seed, withoutDissemination(context));
    world.clock.runFor(Warmup);
    world.cutZone(context.seed % 4);
    world.log.faults.answerDelay = absl::Milliseconds(50);
    const auto answer = world.publish("e1", Key, "10", 0, "r1");
    if (!awaitAnswer(world, answer) || !isAccepted(answer))
        return failed("the change was not accepted");
    world.log.faults.down = true;
    world.clock.runFor(absl::Seconds(20));
    world.heal();
    world.clock.runFor(InForceWithin);
    return judge(world, (**answer)->offset);
}

cell_result passedByRetention(const cell_context &context)
{
    harness_options options;
    options.client.snapshotOffsets = 10;
    journal_harness world(context.seed, options);
    world.clock.runFor(Warmup);
    world.pause("e2");
    journal_offset version = 0;
    for (int i = 0; i < 40; ++i) {
        const auto answer
            = world.publish("e1", Key, std::to_string(i), version, "r" + std::to_string(i));
        if (!awaitAnswer(world, answer) || !isAccepted(answer))
            return failed("a change was not accepted");
        version = (**answer)->offset;
        world.truth();
    }
    world.clock.runFor(absl::Seconds(1));
    world.log.retainFrom(25);
    world.resume("e2");
    world.clock.runFor(InForceWithin);
    if (world.state("e2").offset() != world.state("e0").offset())
        return failed("the reader did not catch up");
    return judge(world, version);
}

/// Old and new versions arrive in any order and more than once.
cell_result reorderedMessages(const cell_context &context)
{
    harness_options options;
    options.newestWins = !context.mechanismOff;
    // Without the rule, every older version counts as new and forwarding would never end.
    options.gossip.fanout = context.mechanismOff ? 0 : options.gossip.fanout;
    journal_harness world(context.seed, options);
    world.network.setConditions({.delay = absl::Milliseconds(1),
                                 .jitter = absl::Seconds(1),
                                 .loss = 0.1,
                                 .duplication = 0.3});
    world.clock.runFor(Warmup);
    journal_offset version = 0;
    for (int i = 0; i < 20; ++i) {
        const auto answer
            = world.publish("e1", Key, std::to_string(i), version, "r" + std::to_string(i));
        if (!awaitAnswer(world, answer) || !isAccepted(answer))
            return failed("a change was not accepted");
        version = (**answer)->offset;
    }
    world.clock.runFor(InForceWithin);
    return judge(world, version);
}

/// Random changes by racing operators under random faults; then the network is left as it is and
/// the log goes down for good.
cell_result randomSchedule(const cell_context &context)
{
    journal_harness world(context.seed, withoutDissemination(context));
    world.network.setConditions(
        {.jitter = absl::Milliseconds(20), .loss = 0.1, .duplication = 0.1});
    world.clock.runFor(Warmup);
    std::vector<std::shared_ptr<told>> answers;
    for (int i = 0; i < 30; ++i) {
        const std::string entry = "e" + std::to_string(world.clock.random() % 4);
        world.log.faults.loseAppendAnswers = world.clock.uniform() < 0.3;
        world.log.faults.refuse = world.clock.uniform() < 0.2;
        world.log.faults.answerDelay = absl::Milliseconds(world.clock.random() % 200);
        const journal::config_item *known = world.config(entry).find(Key);
        answers.push_back(world.publish(entry, Key, std::to_string(i),
                                        known == nullptr ? 0 : known->version,
                                        "r" + std::to_string(i)));
        world.clock.runFor(absl::Milliseconds(world.clock.random() % 1500));
    }
    world.log.faults = {};
    world.clock.runFor(absl::Seconds(12));
    const auto last = world.publish(
        "e0", Key, "last",
        world.truth().findConfig(Key) == nullptr ? 0 : world.truth().findConfig(Key)->version,
        "last");
    if (!awaitAnswer(world, last) || !isAccepted(last))
        return failed("the last change was not accepted");
    world.log.faults.down = true;
    world.clock.runFor(InForceWithin);
    for (const auto &answer : answers) {
        if (!answer->has_value())
            return failed("an operator got no answer");
    }
    return judge(world, (**last)->offset);
}

std::vector<cell> build()
{
    const std::string spread = "dissemination of configuration";
    const std::string settle = "settlement by reading back";
    return {
        {"I8", "log-down", "after-acceptance",
         [](const auto &context) {
             return logDownAfterAcceptance(context, [](journal_harness &) {});
         },
         spread},
        {"I8", "log-slow", "append", slowLog, spread},
        {"I8", "append-answer-lost", "append", answerLost, ""},
        {"I8", "connection-closed", "after-effect", connectionClosed, settle},
        {"I8", "operators-race", "publish", operatorsRace, ""},
        {"I8", "process-restarted", "during-outage", restartDuringOutage, spread},
        {"I8", "zone-cut", "after-acceptance", zoneCutAndHealed, spread},
        {"I8", "retention-passed", "paused-reader", passedByRetention, ""},
        {"I8", "messages-reordered", "forwarding", reorderedMessages,
         "the newest version of a key wins"},
        {"I8", "random-schedule", "publish", randomSchedule, spread},
    };
}

const cell_registration Registration(build);

} // namespace
} // namespace hyssoppond::faults
