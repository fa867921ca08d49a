/// @file Tests of how old the records of a log_follower may be. Each names the failure that it
/// guards against.
#include "batch_site_base.h"

#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

class batch_read_age_test : public testing::Test
{
protected:
    /// Port that notes when the store was read for the newest answer.
    store_port portWithReadTime(const std::string &client)
    {
        store_port port = m_store.portOf(client, std::make_shared<bool>(true));
        port.read = [this, client, read = port.read](read_request request,
                                                     const std::function<void(read_answer)> &done) {
            read(std::move(request), [this, client, done](const read_answer &answer) {
                m_readAt = m_clock.now() - m_store.faults[client].answerDelay;
                done(answer);
            });
        };
        return port;
    }

    virtual_clock m_clock {1};
    fake_store m_store {&m_clock};
    loop_hooks m_hooks {[this] { return m_clock.now(); }, [this] { return m_clock.now(); },
                        [this] { return m_clock.random(); }};
    absl::Time m_readAt = absl::InfinitePast();
};

// Guards against records that count as current at a time after the store was read: a peer's call
// waits for a shorter time than the call of this process, and its answer may come late.
TEST_F(batch_read_age_test, lateAnswerOfAPeerIsNotTakenForNewer)
{
    m_store.put("keyed.t", "key", "value");
    store_port direct = m_store.portOf("own", std::make_shared<bool>(true));
    store_port peerDirect = portWithReadTime("peer");
    store_relay own("own", &direct, m_hooks);
    store_relay peer("peer", &peerDirect, m_hooks);
    own.peers = [] { return std::vector<std::string> {"peer", "same peer"}; };
    own.send = [&](const std::string &, const std::string &message) {
        peer.receive(*decodePeerMessage(message));
    };
    absl::Duration replyDelay;
    peer.send = [&](const std::string &, const std::string &message) {
        m_clock.after(replyDelay, [&own, message] { own.receive(*decodePeerMessage(message)); });
    };
    store_port port = own.port();
    log_follower follower({"keyed.t", absl::Milliseconds(1'200)}, &port, m_hooks);
    follower.onLoaded = [](const std::vector<stored_record> &) {};
    follower.onRecords = [](const std::vector<stored_record> &) {};
    follower.tick();
    m_clock.runFor(absl::Milliseconds(100));
    ASSERT_TRUE(follower.isLoaded());
    m_store.faults["own"].refuse = true;
    std::size_t lateAnswers = 0;
    for (int i = 0; i < 6'000; ++i) {
        own.tick();
        follower.tick();
        m_clock.runFor(absl::Milliseconds(5));
        replyDelay = absl::Milliseconds(520);
        if (own.relayedCalls() != lateAnswers) {
            lateAnswers = own.relayedCalls();
            ASSERT_LE(follower.currentAsOf(), m_readAt);
        }
    }
    EXPECT_GT(lateAnswers, 5U);
}

// Guards against records that count as current at a time after the store was read: the store
// answers at once if a topic was never written to, and the answer may come late.
TEST_F(batch_read_age_test, lateAnswerAboutAnEmptyTopicIsNotTakenForNewer)
{
    store_port port = portWithReadTime("own");
    log_follower follower({"keyed.t"}, &port, m_hooks);
    follower.onLoaded = [](const std::vector<stored_record> &) {};
    follower.tick();
    m_clock.runFor(absl::Milliseconds(100));
    m_store.faults["own"].answerDelay = absl::Seconds(2);
    const absl::Time slowFrom = m_clock.now() + absl::Seconds(3);
    for (int i = 0; i < 2'000; ++i) {
        follower.tick();
        m_clock.runFor(absl::Milliseconds(5));
        if (m_clock.now() > slowFrom) {
            ASSERT_LE(follower.currentAsOf(), m_readAt);
        }
    }
    EXPECT_GT(m_readAt, slowFrom);
}

// Guards against a revoked key that an entry accepts after the time for which keys are valid,
// because answers of peers about the configuration come late.
TEST(batch_read_age_site_test, revokedKeysAreRefusedInTimeWhenPeersAnswerLate)
{
    const absl::Duration validity = batch_entry_options().apiKeyValidity;
    for (absl::Duration phase; phase < absl::Seconds(2); phase += absl::Milliseconds(40)) {
        batch_site site(1, 1, 4);
        site.clock.runFor(absl::Seconds(5));
        const std::string id = batch_site::idOf(1);
        site.submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
        site.clock.runFor(absl::Seconds(5));
        site.store.faults["entry-0"].refuse = true;
        site.datagramDelays["entry-0"] = absl::Milliseconds(830);
        site.clock.runFor(absl::Seconds(6) + phase);
        const auto before = site.call("entry-0", call_kind::Status, "/normal/" + id);
        EXPECT_EQ(before->kind, reply_kind::Status) << before->message;
        ++site.config.version;
        site.config.teams.front().keys.clear();
        site.store.put("op", "config", "2");
        // A second peer has been asked by then. Its answer comes too late.
        constexpr absl::Duration UntilCutOff = absl::Milliseconds(280);
        site.clock.runFor(UntilCutOff);
        site.entries.at("entry-0")->relay->peers = [] { return std::vector<std::string>(); };
        site.clock.runFor(validity + absl::Milliseconds(5) - UntilCutOff);
        const auto reply = site.call("entry-0", call_kind::Status, "/normal/" + id);
        EXPECT_NE(reply->kind, reply_kind::Status) << "revoked after " << phase;
    }
}

} // namespace
} // namespace hyssoppond::batch
