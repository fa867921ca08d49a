/// @file Tests of log_writer and store_relay. Each names the failure that it guards against.
#include "hyssoppond/batch/log_writer_base.h"
#include "hyssoppond/batch/store_relay_base.h"
#include "hyssoppond/fakes/fake_store_base.h"

#include <gtest/gtest.h>

#include <limits>
#include <map>
#include <memory>

namespace hyssoppond::batch {
namespace {

class batch_store_test : public testing::Test
{
protected:
    append_request stampedAppend() const
    {
        append_request request;
        request.topic = "keyed.t";
        request.records = {{"key", "value", 0}};
        request.producer = producer_stamp {"producer", 1, 1};
        request.deadline = m_clock.now() + absl::Seconds(2);
        return request;
    }

    virtual_clock m_clock {1};
    fake_store m_store {&m_clock};
    loop_hooks m_hooks {[this] { return m_clock.now(); }, [this] { return m_clock.now(); },
                        [this] { return m_clock.random(); }};
};

// Guards against an append that is stored twice: the store carries the direct call out late, after
// a peer has sent the append too.
TEST_F(batch_store_test, appendIsStoredOnceWhenBothPathsCarryItOut)
{
    store_port direct = m_store.portOf("own", std::make_shared<bool>(true));
    store_port peerDirect = m_store.portOf("peer", std::make_shared<bool>(true));
    store_relay own("own", &direct, m_hooks);
    store_relay peer("peer", &peerDirect, m_hooks);
    own.peers = [] { return std::vector<std::string> {"peer"}; };
    own.send = [&](const std::string &, const std::string &message) {
        peer.receive(*decodePeerMessage(message));
    };
    peer.send = [&](const std::string &, const std::string &message) {
        own.receive(*decodePeerMessage(message));
    };
    m_store.faults["own"].executeLate = 1.0;
    const append_request request = stampedAppend();
    std::vector<append_answer> answers;
    own.port().append(request, [&](const append_answer &answer) { answers.push_back(answer); });
    for (int i = 0; i < 900; ++i) {
        own.tick();
        m_clock.runFor(absl::Milliseconds(10));
    }
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome, store_outcome::Ok);
    EXPECT_EQ(m_store.endOf("keyed.t"), 1U);
    EXPECT_EQ(own.relayedCalls(), 1U);
}

// Guards against an append that is reported as Refused although a peer may have carried it out: the
// direct call is refused and the peer does not answer.
TEST_F(batch_store_test, outcomeIsUnknownWhenAPeerDoesNotAnswer)
{
    store_port direct = m_store.portOf("own", std::make_shared<bool>(true));
    m_store.faults["own"].refuse = true;
    store_relay own("own", &direct, m_hooks);
    own.peers = [] { return std::vector<std::string> {"peer"}; };
    own.send = [](const std::string &, const std::string &) {};
    const append_request request = stampedAppend();
    std::vector<append_answer> answers;
    own.port().append(request, [&](const append_answer &answer) { answers.push_back(answer); });
    for (int i = 0; i < 300; ++i) {
        own.tick();
        m_clock.runFor(absl::Milliseconds(10));
    }
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome, store_outcome::Unknown);
}

// Guards against a second completion of records whose deadline passed before a refusal arrived. The
// completion is empty after its first call, so the second one threw std::bad_function_call.
TEST_F(batch_store_test, refusalAfterTheDeadlineIsNotReportedTwice)
{
    store_port port = m_store.portOf("writer", std::make_shared<bool>(true));
    m_store.faults["writer"].refuse = true;
    m_store.faults["writer"].answerDelay = absl::Milliseconds(300);
    log_writer writer({"keyed.t", "p"}, &port, m_hooks);
    std::vector<write_result> results;
    writer.write({{"key", "value", 0}}, m_clock.now() + absl::Milliseconds(100),
                 [&](write_result writeResult, std::uint64_t) { results.push_back(writeResult); });
    for (int i = 0; i < 100; ++i) {
        writer.tick();
        m_clock.runFor(absl::Milliseconds(10));
    }
    EXPECT_EQ(results, std::vector<write_result> {write_result::Unknown});
    EXPECT_TRUE(writer.isIdle());
}

// Guards against Unknown for a caller that still waits when the outcome becomes known. This
// happened to two submissions while answers of the store were lost.
TEST_F(batch_store_test, waitsForTheOutcomeWhileTheCallerWaits)
{
    store_port port = m_store.portOf("writer", std::make_shared<bool>(true));
    m_store.faults["writer"].loseAnswers = 1.0;
    log_writer writer({"keyed.t", "p"}, &port, m_hooks);
    std::vector<write_result> results;
    const absl::Time startedAt = m_clock.now();
    writer.write({{"key", "value", 0}}, startedAt + absl::Milliseconds(1'500),
                 startedAt + absl::Milliseconds(2'850),
                 [&](write_result writeResult, std::uint64_t) { results.push_back(writeResult); });
    m_clock.after(absl::Milliseconds(1'800), [&] { m_store.faults["writer"].loseAnswers = 0.0; });
    for (int i = 0; i < 280; ++i) {
        writer.tick();
        m_clock.runFor(absl::Milliseconds(10));
    }
    EXPECT_EQ(results, std::vector<write_result> {write_result::Written});
}

// Guards against a process that relays nothing any more: messages with a huge time limit occupied
// all its places for calls of peers when the store did not answer.
TEST_F(batch_store_test, callsOfPeersDoNotOccupyTheRelayForLong)
{
    store_port direct = m_store.portOf("peer", std::make_shared<bool>(true));
    m_store.faults["peer"].silent = true;
    store_relay peer("peer", &direct, m_hooks);
    std::vector<peer_message> replies;
    peer.send = [&](const std::string &, const std::string &message) {
        replies.push_back(*decodePeerMessage(message));
    };
    constexpr std::uint32_t MaxMs = std::numeric_limits<std::uint32_t>::max();
    for (std::uint64_t id = 0; id < 200; ++id) {
        peer.receive(relayed_read {id, "odd", "keyed.t", 0, MaxMs, MaxMs});
        peer.receive(relayed_append {id, "odd", "keyed.t", {}, {"odd", 1, 1}, MaxMs});
    }
    m_clock.runFor(absl::Seconds(10));
    m_store.faults["peer"].silent = false;
    replies.clear();
    peer.receive(relayed_read {1'000, "own", "keyed.t", 0, 0, 250});
    m_clock.runFor(absl::Seconds(1));
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(std::get<relayed_read_reply>(replies.front()).answer.outcome, store_outcome::Ok);
}

// Guards against a store that gets every call twice, and so stays over its rate limits, because it
// is slow for all: 76 times its usual 4 ms.
TEST_F(batch_store_test, slowStoreGetsFewCallsThroughPeers)
{
    store_port direct = m_store.portOf("own", std::make_shared<bool>(true));
    store_port peerDirect = m_store.portOf("peer", std::make_shared<bool>(true));
    store_relay own("own", &direct, m_hooks);
    store_relay peer("peer", &peerDirect, m_hooks);
    own.peers = [] { return std::vector<std::string> {"peer"}; };
    own.send = [&](const std::string &, const std::string &message) {
        peer.receive(*decodePeerMessage(message));
    };
    peer.send = [&](const std::string &, const std::string &message) {
        own.receive(*decodePeerMessage(message));
    };
    const absl::Duration slow = absl::Milliseconds(76 * 4);
    m_store.faults["own"].answerDelay = slow;
    m_store.faults["peer"].answerDelay = slow;
    constexpr std::size_t Calls = 50;
    std::size_t answered = 0;
    store_port port = own.port();
    for (std::size_t i = 0; i < Calls; ++i) {
        append_request request = stampedAppend();
        request.producer->sequence = i + 1;
        port.append(request, [&](const append_answer &answer) {
            answered += answer.outcome == store_outcome::Ok ? 1 : 0;
        });
        for (int tick = 0; tick < 50; ++tick) {
            own.tick();
            m_clock.runFor(absl::Milliseconds(10));
        }
    }
    EXPECT_EQ(answered, Calls);
    EXPECT_LE(m_store.calls, Calls + Calls / 5) << "a fifth more than the calls themselves";
}

// Guards against a store that is kept busy by repetitions: it refuses all processes, and each call
// was repeated by four peers.
TEST_F(batch_store_test, callsRefusedForAllAreSeldomRepeatedByPeers)
{
    store_port direct = m_store.portOf("own", std::make_shared<bool>(true));
    m_store.faults["own"].refuse = true;
    store_relay own("own", &direct, m_hooks);
    std::map<std::string, std::unique_ptr<store_port>> ports;
    std::map<std::string, std::unique_ptr<store_relay>> relays;
    for (const char *name : {"a", "b", "c", "d"}) {
        m_store.faults[name].refuse = true;
        ports[name]
            = std::make_unique<store_port>(m_store.portOf(name, std::make_shared<bool>(true)));
        relays[name] = std::make_unique<store_relay>(name, ports[name].get(), m_hooks);
        relays[name]->send = [&](const std::string &, const std::string &message) {
            own.receive(*decodePeerMessage(message));
        };
    }
    own.peers = [] { return std::vector<std::string> {"a", "b", "c", "d"}; };
    own.send = [&](const std::string &address, const std::string &message) {
        relays.at(address)->receive(*decodePeerMessage(message));
    };
    std::size_t peerTries = 0;
    own.onTry
        = [&](const store_try &tried) { peerTries += tried.way == store_way::ThroughPeer ? 1 : 0; };
    constexpr std::size_t Calls = 300;
    std::size_t refused = 0;
    store_port port = own.port();
    for (std::size_t i = 0; i < Calls; ++i) {
        port.append(stampedAppend(), [&](const append_answer &answer) {
            refused += answer.outcome == store_outcome::Refused ? 1 : 0;
        });
        for (int tick = 0; tick < 10; ++tick) {
            own.tick();
            m_clock.runFor(absl::Milliseconds(10));
        }
    }
    EXPECT_EQ(refused, Calls);
    EXPECT_LE(peerTries, Calls / 10) << "a tenth of the calls themselves";
}

// Guards against a heartbeat that is not sent at all, because neither peers nor this process got an
// answer of the store lately, and other calls took the direct tries that were left.
TEST_F(batch_store_test, urgentAppendIsSentWhenNoPeerCanSendIt)
{
    store_port direct = m_store.portOf("own", std::make_shared<bool>(true));
    store_port peerDirect = m_store.portOf("peer", std::make_shared<bool>(true));
    store_relay own("own", &direct, m_hooks);
    store_relay peer("peer", &peerDirect, m_hooks);
    own.peers = [] { return std::vector<std::string> {"peer"}; };
    own.send = [&](const std::string &, const std::string &message) {
        peer.receive(*decodePeerMessage(message));
    };
    peer.send = [&](const std::string &, const std::string &message) {
        own.receive(*decodePeerMessage(message));
    };
    m_store.faults["own"].refuse = true;
    m_store.faults["peer"].refuse = true;
    std::size_t directTries = 0;
    own.onTry
        = [&](const store_try &tried) { directTries += tried.way == store_way::Direct ? 1 : 0; };
    store_port port = own.port();
    constexpr std::size_t DirectTries = 5; // the last one was just made
    while (directTries < DirectTries) {
        port.append(stampedAppend(), [](const append_answer &) {});
        for (int tick = 0; tick < 10; ++tick) {
            own.tick();
            m_clock.runFor(absl::Milliseconds(10));
        }
    }
    m_store.faults["own"].refuse = false;
    append_request heartbeat = stampedAppend();
    heartbeat.urgent = true;
    std::vector<append_answer> answers;
    port.append(heartbeat, [&](const append_answer &answer) { answers.push_back(answer); });
    for (int tick = 0; tick < 10; ++tick) {
        own.tick();
        m_clock.runFor(absl::Milliseconds(10));
    }
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome, store_outcome::Ok);
}

} // namespace
} // namespace hyssoppond::batch
