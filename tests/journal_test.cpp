/// @file Tests of the record codec, the cluster state, the journal client and the configuration.
#include "hyssoppond/fakes/fake_log_base.h"
#include "hyssoppond/fakes/fake_network_base.h"
#include "hyssoppond/journal/cluster_state_base.h"
#include "hyssoppond/journal/config_gossip_base.h"
#include "hyssoppond/journal/journal_client_base.h"
#include "hyssoppond/journal/record_codec_func.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace hyssoppond::journal {
namespace {

const domain_id Domain("site");

/// Applies records as if one process had written them, and keeps the payloads for replay.
struct journal_writer
{
    cluster_state state;
    std::vector<std::string> payloads;
    std::vector<verdict> verdicts;
    absl::Time now = absl::FromUnixSeconds(1'000'000);
    std::uint64_t counter = 0;

    journal_writer()
    {
        state.setListener([this](journal_offset, const journal_record &, const verdict &decision) {
            verdicts.push_back(decision);
        });
    }
    verdict write(record_body body)
    {
        payloads.push_back(encodeBatch({{{process_id("e1"), 1, ++counter}, now, std::move(body)}}));
        state.apply(state.offset() + 1, payloads.back());
        return verdicts.back();
    }
};

job_spec specOf(const std::string &request, std::uint32_t accelerators = 2)
{
    job_spec spec;
    spec.team = team_id("blue");
    spec.request = request_id(request);
    spec.id = jobIdFor(spec.team, spec.request);
    spec.wanted.acceleratorsPerMember = accelerators;
    return spec;
}

std::vector<gang_member> gangOn(const std::string &worker, accelerator_mask mask)
{
    return {{worker_id(worker), process_id("agent-" + worker), mask}};
}

decider_grant grantOf(const std::string &holder, epoch_number epoch, absl::Time issued,
                      absl::Time until = absl::InfinitePast())
{
    return {Domain, process_id(holder), 1, epoch, until, issued};
}

/// A random record that often refers to existing jobs, keys and epochs.
record_body randomBody(std::mt19937_64 &random, absl::Time now)
{
    const job_spec spec = specOf("r" + std::to_string(random() % 12));
    const epoch_number epoch = random() % 4;
    const auto attempt = static_cast<attempt_number>(1 + random() % 2);
    const auto mask = static_cast<accelerator_mask>(3U << (random() % 4));
    const std::string holder = "e" + std::to_string(random() % 3);
    switch (random() % 10) {
    case 0:
        return job_submitted {spec};
    case 1:
        return job_command {spec.id, static_cast<command_kind>(random() % 6), {}, "op"};
    case 2:
    case 3:
        return job_placed {Domain, spec.id, attempt, epoch, gangOn("w1", mask)};
    case 4:
        return attempt_ended {
            Domain, spec.id, attempt, epoch, static_cast<attempt_outcome>(random() % 6), now, 1.5};
    case 5:
        return grantOf(holder, epoch, now, now + absl::Minutes(30));
    case 6:
        return config_changed {"k" + std::to_string(random() % 3), "v", random() % 20, {}, "op"};
    case 7:
        return request_bound {spec.request, spec.team, process_id(holder), 1};
    case 8:
        return endpoint_removed {process_id("a"), random() % 3};
    default:
        return endpoint_announced {{process_id("a"), random() % 3, {}, {}, {}, {}}};
    }
}

// Guards against truncated or changed input that crashes the decoder, makes it allocate without
// bound, or is decoded as valid.
TEST(record_codec_test, rejectsDamagedInput)
{
    const std::string valid
        = encodeBatch({{{}, absl::FromUnixSeconds(1), job_submitted {specOf("r")}}});
    ASSERT_TRUE(decodeBatch(valid));
    std::mt19937_64 random(7);
    for (int i = 0; i < 20000; ++i) {
        std::string input = valid.substr(0, i % 3 == 0 ? random() % valid.size() : valid.size());
        if (input.size() == valid.size())
            input[random() % input.size()] ^= static_cast<char>(1 + random() % 255);
        EXPECT_FALSE(decodeBatch(input));
    }
}

// Guards against two gangs on one accelerator, and against accepted placements of a decider whose
// epoch has passed.
TEST(cluster_state_test, fencesPlacementsByEpochAndFreeAccelerators)
{
    journal_writer testJournal;
    testJournal.write(job_submitted {specOf("a")});
    testJournal.write(job_submitted {specOf("b")});
    EXPECT_TRUE(testJournal.write(grantOf("e1", 1, testJournal.now)).accepted);
    const job_id a = specOf("a").id;
    const job_id b = specOf("b").id;
    EXPECT_TRUE(testJournal.write(job_placed {Domain, a, 1, 1, gangOn("w", 3)}).accepted);
    EXPECT_EQ(testJournal.write(job_placed {Domain, b, 1, 1, gangOn("w", 6)}).why,
              reason::AcceleratorBusy);
    EXPECT_TRUE(testJournal.write(grantOf("e2", 2, testJournal.now)).accepted);
    EXPECT_EQ(testJournal.write(grantOf("e3", 2, testJournal.now)).why, reason::StaleEpoch);
    EXPECT_EQ(testJournal.write(job_placed {Domain, b, 1, 1, gangOn("w", 12)}).why,
              reason::StaleEpoch);
    EXPECT_TRUE(
        testJournal
            .write(attempt_ended {Domain, a, 1, 2, attempt_outcome::Lost, testJournal.now, 1})
            .accepted);
    EXPECT_EQ(testJournal.state.findJob(a)->state, job_state::Queued);
    EXPECT_EQ(testJournal.write(job_placed {Domain, a, 1, 2, gangOn("w", 3)}).why,
              reason::StaleAttempt);
    EXPECT_TRUE(testJournal.write(job_placed {Domain, b, 1, 2, gangOn("w", 6)}).accepted);
}

// Guards against two holders of the outage lease at the same time.
TEST(cluster_state_test, confersOutageLeaseOnlyAfterTheEarlierOne)
{
    journal_writer testJournal;
    const absl::Time until = testJournal.now + absl::Minutes(30);
    EXPECT_TRUE(testJournal.write(grantOf("e1", 1, testJournal.now, until)).outageLease);
    EXPECT_TRUE(
        testJournal.write(grantOf("e1", 1, testJournal.now, until + absl::Minutes(1))).outageLease);
    EXPECT_FALSE(
        testJournal.write(grantOf("e2", 2, until + absl::Seconds(60), until + absl::Hours(1)))
            .outageLease);
    const absl::Time afterLease = until + absl::Minutes(1) + absl::Milliseconds(251);
    EXPECT_TRUE(
        testJournal.write(grantOf("e2", 2, afterLease, afterLease + absl::Hours(1))).outageLease);
    EXPECT_TRUE(testJournal.write(decider_release {Domain, process_id("e2"), 1}).accepted);
    EXPECT_TRUE(
        testJournal.write(grantOf("e3", 3, afterLease, afterLease + absl::Hours(1))).outageLease);
}

// Guards against a lost update when two operators change a key concurrently, and against a version
// conflict for an operator who repeats a change.
TEST(cluster_state_test, acceptsTheFirstOfConcurrentChanges)
{
    journal_writer testJournal;
    const config_changed first {"team/blue", "1", 0, request_id("r1"), "ann"};
    EXPECT_TRUE(testJournal.write(first).accepted);
    const verdict second
        = testJournal.write(config_changed {"team/blue", "2", 0, request_id("r2"), "bob"});
    EXPECT_EQ(second.why, reason::VersionConflict);
    EXPECT_EQ(second.related, 1U);
    EXPECT_TRUE(testJournal.write(first).repeated);
    EXPECT_TRUE(
        testJournal.write(config_changed {"team/blue", "", 1, request_id("r3"), "bob"}).accepted);
    EXPECT_EQ(testJournal.state.findConfig("team/blue"), nullptr);
}

// Guards against a job that runs twice because its submission was repeated or its request id was
// reused.
TEST(cluster_state_test, submissionIsIdempotent)
{
    journal_writer testJournal;
    EXPECT_TRUE(testJournal.write(job_submitted {specOf("r")}).accepted);
    EXPECT_TRUE(testJournal.write(job_submitted {specOf("r")}).repeated);
    EXPECT_EQ(testJournal.write(job_submitted {specOf("r", 4)}).why, reason::RequestIdReused);
    EXPECT_EQ(testJournal.state.jobs().size(), 1U);
}

// Guards against a repeated runbook step that undoes a later command, and against a list of request
// ids that grows without bound.
TEST(cluster_state_test, commandIsAppliedOncePerRequest)
{
    journal_writer testJournal;
    const job_id job = specOf("r").id;
    const auto write = [&](command_kind kind, const std::string &request) {
        return testJournal.write(job_command {job, kind, request_id(request), "op"});
    };
    testJournal.write(job_submitted {specOf("r")});
    EXPECT_FALSE(write(command_kind::Hold, "c1").repeated);
    EXPECT_TRUE(write(command_kind::Release, "c2").accepted);
    EXPECT_TRUE(write(command_kind::Hold, "c1").repeated);
    EXPECT_EQ(testJournal.state.findJob(job)->state, job_state::Queued);
    EXPECT_EQ(write(command_kind::Cancel, "c1").why, reason::RequestIdReused);
    for (int i = 0; i < 40; ++i)
        EXPECT_TRUE(write(command_kind::Release, "x" + std::to_string(i)).accepted);
    EXPECT_EQ(testJournal.state.findJob(job)->applied.size(), MaxAppliedCommands);
}

// Guards against a repeated change that reverts the configuration to an earlier value.
TEST(cluster_state_test, changeIsAppliedOncePerRequest)
{
    journal_writer testJournal;
    const auto write = [&](const std::string &value, journal_offset version, int request) {
        return testJournal.write(config_changed {"team/blue", value, version,
                                                 request_id("r" + std::to_string(request)), "ann"});
    };
    EXPECT_TRUE(write("a", 0, 0).accepted);
    EXPECT_TRUE(write("b", 1, 1).accepted);
    const verdict repetition = write("a", 2, 0);
    EXPECT_TRUE(repetition.repeated);
    EXPECT_EQ(repetition.related, 1U);
    EXPECT_EQ(testJournal.state.findConfig("team/blue")->value, "b");
    for (int i = 2; i < 30; ++i)
        EXPECT_TRUE(write("c", testJournal.state.findConfig("team/blue")->version, i).accepted);
    EXPECT_EQ(testJournal.state.findConfig("team/blue")->applied.size(), MaxAppliedChanges);
}

// Guards against a repeated binding that replaces the deadline of the first one.
TEST(cluster_state_test, bindingKeepsTheFirstDeadline)
{
    journal_writer testJournal;
    const absl::Time until = testJournal.now + absl::Minutes(1);
    testJournal.write(request_bound {request_id("r"), team_id("t"), process_id("a"), 1, until});
    testJournal.write(
        request_bound {request_id("r"), team_id("t"), process_id("a"), 1, until + absl::Hours(1)});
    EXPECT_EQ(testJournal.state.findBinding(team_id("t"), request_id("r"))->until, until);
}

// Guards against a snapshot that lacks state: restoring a snapshot and applying the later payloads
// must give the same state as a full replay. The times advance far enough that retention drops
// entries in the restored and in the replayed state.
TEST(cluster_state_test, snapshotPlusTailEqualsReplay)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random(seed);
        journal_writer testJournal;
        cluster_state restored;
        const std::size_t snapshotAfter = random() % 400;
        for (std::size_t i = 0; i < 400; ++i) {
            testJournal.now += absl::Seconds(random() % 120);
            testJournal.write(randomBody(random, testJournal.now));
            if (i == snapshotAfter) {
                const result<std::string> joined = joinParts(testJournal.state.snapshot({}));
                ASSERT_TRUE(joined && restored.restore(*joined));
            } else if (i > snapshotAfter) {
                ASSERT_TRUE(restored.apply(i + 1, testJournal.payloads.back()));
            }
        }
        cluster_state replayed;
        for (std::size_t i = 0; i < testJournal.payloads.size(); ++i)
            replayed.apply(i + 1, testJournal.payloads[i]);
        EXPECT_TRUE(restored.encode() == replayed.encode()) << "seed " << seed;
    }
}

// Guards against a crash or a partial effect when only some processes are upgraded and payloads of
// a newer version are read.
TEST(cluster_state_test, skipsPayloadsOfNewerPrograms)
{
    cluster_state state;
    EXPECT_TRUE(state.apply(1, std::string(1, char {RecordVersion + 1}) + "later-format"));
    EXPECT_TRUE(state.apply(2, "\x01"));
    EXPECT_EQ(state.skippedNewer(), 1U);
    EXPECT_EQ(state.skippedDamaged(), 1U);
    EXPECT_EQ(state.offset(), 2U);
}

/// One process that follows the journal in virtual time. With `writesSnapshots` it also writes
/// snapshots.
struct follower
{
    cluster_state state;
    journal_client client;

    follower(virtual_clock *clock, log_port *log, const std::string &name,
             journal_options options = {}, bool writesSnapshots = false)
        : client(clock->hooks(), log, process_id(name), 1, &state,
                 {.maySnapshot = [writesSnapshots] { return writesSnapshots; }}, options)
    {
        clock->every(absl::Milliseconds(5), [this] {
            client.tick();
            return true;
        });
    }
};

// Guards against reporting "not run" for an append that took effect but whose answer was lost.
TEST(journal_client_test, settlesLostAnswersByReading)
{
    virtual_clock clock;
    fake_log log(&clock);
    follower process(&clock, &log, "e1");
    std::optional<result<append_outcome>> answer;
    log.faults.loseAppendAnswers = true;
    process.client.append(job_submitted {specOf("r")}, clock.now() + absl::Seconds(10),
                          [&](const auto &outcome) { answer = outcome; });
    clock.runFor(absl::Seconds(1));
    ASSERT_TRUE(answer && answer->has_value());
    EXPECT_TRUE((*answer)->decision.accepted);
    EXPECT_EQ(log.appends, 1U);
}

// Guards against a request that waits for the end of an outage instead of being refused at once,
// and against "not run" for a record that was already sent when the log stopped answering.
TEST(journal_client_test, distinguishesRefusedFromUnknown)
{
    virtual_clock clock;
    fake_log log(&clock);
    follower process(&clock, &log, "e1");
    clock.runFor(absl::Seconds(1));
    std::vector<result<append_outcome>> answers;
    const auto submit = [&](const std::string &request) {
        process.client.append(job_submitted {specOf(request)}, clock.now() + absl::Seconds(4),
                              [&](const auto &outcome) { answers.push_back(outcome); });
    };
    log.faults.down = true;
    submit("silent");
    clock.runFor(absl::Seconds(6));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].error().state, execution::Unknown);
    submit("refused");
    clock.runFor(absl::Milliseconds(10));
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[1].error().why, reason::LogUnavailable);
    EXPECT_EQ(answers[1].error().state, execution::NotRun);
    EXPECT_GT(answers[1].error().retryAt, clock.now());
}

// Guards against a reader that stops for good, or misses state, when the log has dropped the offset
// that it would read next.
TEST(journal_client_test, restartsFromTheNewestSnapshot)
{
    virtual_clock clock;
    fake_log log(&clock);
    journal_options options;
    options.snapshotOffsets = 50;
    follower decider(&clock, &log, "e1", options, true);
    for (int i = 0; i < 120; ++i) {
        decider.client.append(job_submitted {specOf("r" + std::to_string(i))},
                              clock.now() + absl::Seconds(5), {});
        clock.runFor(absl::Milliseconds(100));
    }
    log.retainFrom(60);
    follower lateFollower(&clock, &log, "e2");
    clock.runFor(absl::Seconds(2));
    EXPECT_TRUE(lateFollower.client.progress().caughtUp);
    EXPECT_TRUE(lateFollower.state.encode() == decider.state.encode());
    EXPECT_EQ(lateFollower.state.jobs().size(), 120U);
}

// Guards against a client that exceeds its share of the append rate of the log.
TEST(journal_client_test, batchesWithinTheAppendRate)
{
    virtual_clock clock;
    fake_log log(&clock);
    follower process(&clock, &log, "e1");
    int done = 0;
    for (int i = 0; i < 3000; ++i) {
        process.client.append(job_submitted {specOf("r" + std::to_string(i))},
                              clock.now() + absl::Seconds(5),
                              [&](const auto &outcome) { done += outcome.has_value() ? 1 : 0; });
    }
    clock.runFor(absl::Seconds(1));
    EXPECT_EQ(done, 3000);
    EXPECT_LE(log.appends, 200U);
}

// Guards against a key that reverts to an older value when changes arrive reordered or duplicated.
TEST(config_store_test, keepsTheNewestChangeOfEachKey)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<config_item> items;
        for (journal_offset version = 1; version <= 40; ++version)
            items.push_back({"k" + std::to_string(random() % 5), std::to_string(version), version,
                             absl::FromUnixSeconds(1)});
        config_store ordered;
        for (const config_item &item : items)
            ordered.merge(item);
        items.insert(items.end(), items.begin(), items.begin() + 20);
        std::shuffle(items.begin(), items.end(), random);
        config_store shuffled;
        std::map<std::string, journal_offset> seen;
        shuffled.onChange = [&](const config_item &item) {
            EXPECT_GT(item.version, std::exchange(seen[item.key], item.version));
        };
        for (const config_item &item : items)
            shuffled.merge(item);
        EXPECT_EQ(shuffled.hash(), ordered.hash());
        EXPECT_EQ(shuffled.highest(), 40U);
    }
}

// Guards against a process that starts during an outage and never gets all of a configuration
// larger than one message, in particular when it learned the newest change first, so that digests
// name the same highest version. A tenth of the messages is lost.
TEST(config_gossip_test, newProcessFetchesEverythingFromAPeer)
{
    virtual_clock clock(3);
    fake_network<config_message> network(&clock);
    network.setConditions({.loss = 0.1});
    std::map<process_id, config_store> stores;
    std::map<process_id, std::unique_ptr<config_gossip>> nodes;
    const process_id a("a");
    const process_id b("b");
    for (const auto &[self, peer] : {std::pair(a, b), std::pair(b, a)}) {
        gossip_hooks hooks;
        hooks.send = [&network, self = self](const process_id &to, const config_message &message) {
            network.send(self, to, *decodeConfig(encode(message)));
        };
        hooks.randomPeers = [peer = peer](std::size_t) { return std::vector {peer}; };
        nodes[self] = std::make_unique<config_gossip>(clock.hooks(), &stores[self], hooks);
        network.attach(self, [&nodes, self = self](const process_id &from, const auto &message) {
            nodes[self]->receive(from, message);
        });
        clock.every(absl::Milliseconds(50), [&nodes, self = self] {
            nodes[self]->tick();
            return true;
        });
    }
    for (journal_offset version = 1; version <= 1000; ++version)
        stores[a].merge({"key" + std::to_string(version), "value", version, clock.now()});
    stores[b].merge(*stores[a].find("key1000"));
    clock.runFor(absl::Seconds(30));
    EXPECT_EQ(stores[b].hash(), stores[a].hash());
    EXPECT_EQ(stores[b].size(), 1000U);
}

} // namespace
} // namespace hyssoppond::journal
