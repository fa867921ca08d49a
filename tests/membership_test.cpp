/// @file Tests of the membership: codec, convergence, departure, refutation and memory.
#include "hyssoppond/fakes/fake_members_base.h"

#include <gtest/gtest.h>

namespace hyssoppond {
namespace {

membership_message sampleMessage()
{
    fake_members site(1);
    site.add(1, 1, process_role::Agent);
    auto announcement = std::make_shared<member_announcement>();
    announcement->self = site.at(0).self;
    announcement->self.incarnation = 7;
    membership_message message;
    message.kind = membership_kind::PingRequest;
    message.sequence = 9;
    message.target = {process_id("t"), 3, {"::1", 80}};
    message.config = {5, 6};
    message.events = {{process_id("agent-0"), 7, 2, true, liveness::Suspect, announcement},
                      {process_id("b"), 8, 0, false, liveness::Dead, nullptr}};
    return message;
}

// Guards against fields that the codec loses, and against computed sizes below the real ones, with
// which packets would be overfilled.
TEST(membership_codec_test, roundTripKeepsFieldsAndSize)
{
    const membership_message message = sampleMessage();
    const std::string bytes = encode(message);
    EXPECT_EQ(bytes.size(), encodedBytes(message));
    const auto decoded = decodeMembership(bytes);
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(encode(*decoded), bytes);
    EXPECT_EQ(decoded->events[0].announcement->self.servedWorker.rack, rack_id("rack-0"));
    EXPECT_TRUE(decoded->events[0].leaving);
}

// Guards against exceptions, crashes and large allocations on malformed input.
TEST(membership_codec_test, survivesMutatedAndRandomInput)
{
    virtual_clock random(3);
    const std::string good = encode(sampleMessage());
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = good.substr(0, random.random() % (good.size() + 1));
        for (int change = 0; change < 3 && !bytes.empty(); ++change)
            bytes[random.random() % bytes.size()] = static_cast<char>(random.random());
        (void)decodeMembership(bytes);
    }
    EXPECT_FALSE(decodeMembership(good.substr(0, good.size() - 1)).has_value());
    EXPECT_FALSE(decodeMembership(good + "x").has_value());
    EXPECT_FALSE(decodeMembership(std::string(MaxMembershipMessageBytes + 1, '\1')).has_value());
}

// Guards against members that never discover each other when all start at once.
TEST(membership_test, allLearnOfAll)
{
    fake_members site(5);
    site.add(2, 2, process_role::Entry);
    site.add(58, 4, process_role::Agent);
    site.startAll();
    EXPECT_TRUE(site.runUntil([&] { return site.allSee(member_state::Alive); }, absl::Seconds(20)));
}

// Guards against peers that mistake a restarted process for its earlier incarnation, which has
// left.
TEST(membership_test, restartReplacesEarlierIncarnation)
{
    fake_members site(6);
    site.add(11, 4, process_role::Agent);
    site.startAll();
    site.clock.runFor(absl::Seconds(20));
    site.leave(4);
    site.clock.runFor(absl::Seconds(5));
    EXPECT_EQ(site.seen(1, 4), member_state::Leaving);
    site.start(4);
    EXPECT_TRUE(site.runUntil([&] { return site.allSee(member_state::Alive); }, absl::Seconds(5)));
}

// Guards against dead members that are never removed from memory.
TEST(membership_test, forgetsDeadMembersAfterRetention)
{
    membership_settings settings;
    settings.deadRetention = absl::Minutes(1);
    fake_members site(7, settings);
    site.add(11, 4, process_role::Agent);
    site.startAll();
    site.clock.runFor(absl::Seconds(20));
    site.kill(4);
    site.clock.runFor(absl::Seconds(30));
    EXPECT_EQ(site.at(1).running->members().size(), 10);
    EXPECT_EQ(site.seen(1, 4), member_state::Dead);
    site.clock.runFor(absl::Minutes(3));
    EXPECT_EQ(site.at(1).running->members().size(), 9);
}

// Guards against names that the codec would truncate, and against incarnation 0, which means any
// incarnation.
TEST(membership_test, refusesInvalidSelf)
{
    fake_members site(8);
    site.add(1, 1, process_role::Agent);
    endpoint self = site.at(0).self;
    membership member({}, {site.clock.hooks(), [](const auto &, const auto &) {}, {}, {}, {}});
    EXPECT_EQ(member.start(self, process_role::Agent, {}).error().why, reason::InvalidArgument);
    self.incarnation = 1;
    self.servedRunner.id = runner_id(std::string(MaxMemberNameBytes + 1, 'r'));
    EXPECT_EQ(member.start(self, process_role::Agent, {}).error().why, reason::InvalidArgument);
}

} // namespace
} // namespace hyssoppond
