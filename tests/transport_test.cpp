/// @file Tests of the transport on loopback sockets. Waits end when the expected event occurs;
/// their timeout only turns a hang into a failure.
#include "hyssoppond/base/client_budget_base.h"
#include "hyssoppond/fakes/virtual_clock_base.h"
#include "hyssoppond/transport/transport_base.h"
#include "outbox.h"
#include "socket.h"

#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <poll.h>

namespace hyssoppond {
namespace {

constexpr absl::Duration HangTimeout = absl::Seconds(60);

/// A transport that collects the frames it receives.
class test_peer
{
public:
    explicit test_peer(const std::string &name, const std::string &host = "127.0.0.1",
                       transport_settings settings = {})
    {
        settings.listen = {host, 0};
        settings.self = process_id(name);
        settings.incarnation = 5;
        transport_hooks hooks;
        hooks.counters = &counters;
        for (auto &hook : hooks.onFrame) {
            hook = [this](const frame &dataFrame) {
                const absl::MutexLock lock(&m_mutex);
                m_received.push_back(dataFrame);
            };
        }
        link = std::make_unique<transport>(settings, hooks);
        const auto started = link->start();
        EXPECT_TRUE(started.has_value()) << (started ? "" : started.error().message);
    }
    std::vector<frame> waitFor(std::size_t count)
    {
        const absl::MutexLock lock(&m_mutex);
        const auto enough = [&] { return m_received.size() >= count; };
        EXPECT_TRUE(m_mutex.AwaitWithTimeout(absl::Condition(&enough), HangTimeout));
        return m_received;
    }

    counter_registry counters;
    std::unique_ptr<transport> link;

private:
    absl::Mutex m_mutex;
    std::vector<frame> m_received;
};

frame frameFor(channel protocol, std::string payload)
{
    frame dataFrame;
    dataFrame.protocol = protocol;
    dataFrame.payload = std::move(payload);
    return dataFrame;
}

bool waitReadable(int fd)
{
    pollfd descriptor {fd, POLLIN, 0};
    return poll(&descriptor, 1, static_cast<int>(absl::ToInt64Milliseconds(HangTimeout))) == 1;
}

// Guards against exceptions on malformed input and against damage that the checksum misses.
TEST(frame_test, roundTripAndMutatedInput)
{
    frame dataFrame = frameFor(channel::Config, std::string(300, 'x'));
    dataFrame.sender = process_id("a");
    dataFrame.addressee = process_id("b");
    dataFrame.addresseeIncarnation = 9;
    const std::string good = encode(dataFrame);
    ASSERT_TRUE(decodeFrame(good, 1000).has_value());
    EXPECT_EQ(encode(*decodeFrame(good, 1000)), good);
    EXPECT_FALSE(decodeFrame(good, good.size() - 1).has_value());
    virtual_clock random(4);
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = good.substr(0, random.random() % (good.size() + 1));
        if (!bytes.empty())
            bytes[random.random() % bytes.size()] ^= static_cast<char>(1 + random.random() % 255);
        EXPECT_FALSE(decodeFrame(bytes, 1000).has_value());
    }
}

// Guards against an unbounded queue for a peer that does not read, and against dropping the newest
// frame instead of the oldest.
TEST(outbox_test, dropsOldestAndBoundsPeers)
{
    outbox queues({2, 100, 1});
    const address peer {"127.0.0.1", 1};
    EXPECT_EQ(queues.push(peer, "1") + queues.push(peer, "2"), 0);
    EXPECT_EQ(queues.push(peer, "3"), 1);
    EXPECT_EQ(queues.push({"127.0.0.1", 2}, "4"), 1);
    EXPECT_EQ(queues.take(peer, 100), (std::deque<std::string> {"2", "3"}));
    EXPECT_TRUE(queues.waitingPeers().empty());
}

// Guards against a transport that works only with some address families, channels or frame sizes.
TEST(transport_test, deliversOnAllChannelsAndFamilies)
{
    for (const std::string host : {"127.0.0.1", "::1"}) {
        test_peer source("a", host);
        test_peer destination("b", host);
        for (const channel protocol : {channel::Gang, channel::Call, channel::Config})
            source.link->send(destination.link->localAddress(),
                              frameFor(protocol, std::string(100000, 'p')));
        source.link->send(destination.link->localAddress(), frameFor(channel::Membership, "small"));
        source.link->send(destination.link->localAddress(),
                          frameFor(channel::Membership, std::string(5000, 'm')));
        std::size_t bytes = 0;
        for (const frame &dataFrame : destination.waitFor(5)) {
            bytes += dataFrame.payload.size();
            EXPECT_EQ(dataFrame.sender, process_id("a"));
            EXPECT_EQ(dataFrame.senderAddress, source.link->localAddress());
        }
        EXPECT_EQ(bytes, 305005);
    }
}

// Guards against processing frames for another process or an earlier incarnation.
TEST(transport_test, dropsFramesForOthers)
{
    test_peer source("a");
    test_peer destination("b");
    frame dataFrame = frameFor(channel::Gang, "x");
    dataFrame.addressee = process_id("c");
    source.link->send(destination.link->localAddress(), dataFrame);
    dataFrame.addressee = process_id("b");
    dataFrame.addresseeIncarnation = 4;
    source.link->send(destination.link->localAddress(), dataFrame);
    dataFrame.addresseeIncarnation = 5;
    source.link->send(destination.link->localAddress(), dataFrame);
    EXPECT_EQ(destination.waitFor(1)[0].addresseeIncarnation, 5);
    EXPECT_EQ(destination.counters.value(disposition::Dropped, reason::StaleIncarnation), 1);
    EXPECT_EQ(destination.counters.value(disposition::Dropped, reason::UnknownEndpoint), 1);
}

// Guards against keeping a connection whose peer never answers while a new one would work, and
// against an unresponsive peer that delays the others.
TEST(transport_test, replacesSilentConnection)
{
    transport_settings settings;
    settings.probeInterval = settings.probeTimeout = absl::Milliseconds(50);
    test_peer source("a", "127.0.0.1", settings);
    test_peer healthy("b");
    const auto listener = openBound({"127.0.0.1", 0}, SOCK_STREAM);
    const address silent {"127.0.0.1", boundPort(*listener)};
    source.link->send(silent, frameFor(channel::Gang, "first"));
    ASSERT_TRUE(waitReadable(listener->get()));
    const file_descriptor first(accept(listener->get(), nullptr, nullptr));
    source.link->send(healthy.link->localAddress(), frameFor(channel::Gang, "other"));
    healthy.waitFor(1);
    std::string rest(4096, '\0');
    while (recv(first.get(), rest.data(), rest.size(), 0) > 0) {
    } // until the sender closes it
    EXPECT_GE(source.counters.value(disposition::Retried, reason::ConnectionSilent), 1);
    source.link->send(silent, frameFor(channel::Gang, "second"));
    ASSERT_TRUE(waitReadable(listener->get()));
    const file_descriptor second(accept(listener->get(), nullptr, nullptr));
    ASSERT_TRUE(waitReadable(second.get()));
    rest.resize(static_cast<std::size_t>(recv(second.get(), rest.data(), rest.size(), 0)));
    EXPECT_NE(rest.find("second"), std::string::npos);
}

// Guards against a connection, and its memory, that stays open after malformed bytes.
TEST(transport_test, closesMalformedConnections)
{
    test_peer destination("a");
    for (const std::string &bytes :
         {std::string("\xff\xff\xff\xff"), std::string("\0\0\0\1x", 5)}) {
        const auto target = toSocketAddress(destination.link->localAddress());
        const file_descriptor raw(socket(AF_INET, SOCK_STREAM, 0));
        ASSERT_EQ(connect(raw.get(), target->get(), target->length), 0);
        ASSERT_EQ(send(raw.get(), bytes.data(), bytes.size(), 0), bytes.size());
        ASSERT_TRUE(waitReadable(raw.get()));
        char byte = 0;
        EXPECT_LE(recv(raw.get(), &byte, 1, 0), 0);
    }
    EXPECT_EQ(destination.counters.value("transport_malformed_connections_closed"), 2);
}

// Guards against a stop that loses frames that were already accepted.
TEST(transport_test, stopFlushesQueuedFrames)
{
    test_peer source("a");
    test_peer destination("b");
    for (int i = 0; i < 100; ++i)
        source.link->send(destination.link->localAddress(),
                          frameFor(channel::Call, std::string(20000, 'f')));
    source.link->stop(absl::Now() + HangTimeout);
    EXPECT_EQ(destination.waitFor(100).size(), 100);
    source.link->send(destination.link->localAddress(), frameFor(channel::Call, "late"));
    EXPECT_EQ(source.counters.value(disposition::Dropped, reason::Leaving), 1);
}

/// A connection that is not one of a transport.
file_descriptor connectRaw(const test_peer &to)
{
    const auto target = toSocketAddress(to.link->localAddress());
    file_descriptor raw(socket(AF_INET, SOCK_STREAM, 0));
    EXPECT_EQ(connect(raw.get(), target->get(), target->length), 0);
    return raw;
}

// Guards against connections without a frame that keep peers out, in total or from one address.
TEST(transport_test, connectionsWithoutAFrameGiveWayToPeers)
{
    for (const bool perAddress : {false, true}) {
        transport_settings settings;
        (perAddress ? settings.maxConnectionsPerAddress : settings.maxConnections) = 4;
        test_peer destination("a", "127.0.0.1", settings);
        std::vector<file_descriptor> strangers;
        strangers.reserve(10);
        for (int i = 0; i < 10; ++i)
            strangers.push_back(connectRaw(destination));
        test_peer source("b");
        source.link->send(destination.link->localAddress(), frameFor(channel::Gang, "x"));
        destination.waitFor(1);
        EXPECT_EQ(destination.counters.value("transport_connections_evicted"), 7);
        EXPECT_EQ(destination.counters.value(disposition::Refused, reason::Overloaded), 0);
    }
}

// Guards against a connection that stays open without ever sending a frame.
TEST(transport_test, closesConnectionsWithoutAFrame)
{
    transport_settings settings;
    settings.firstFrameTimeout = absl::Milliseconds(50);
    test_peer destination("a", "127.0.0.1", settings);
    const file_descriptor raw = connectRaw(destination);
    ASSERT_TRUE(waitReadable(raw.get()));
    char byte = 0;
    EXPECT_EQ(recv(raw.get(), &byte, 1, 0), 0);
}

// Guards against incomplete frames that take the memory needed for those of peers.
TEST(transport_test, incompleteFramesGiveWayToPeers)
{
    budget_limits limits;
    limits.totalBytes = 1'000'000;
    limits.of(client_listener::Peers) = {0, 1'000'000, 1'000'000};
    client_budget budget(limits);
    transport_settings settings;
    settings.budget = &budget;
    test_peer destination("a", "127.0.0.1", settings);
    std::vector<file_descriptor> strangers;
    std::string frameStart("\x00\x08\x00\x00", 4); // 512 KiB
    frameStart.append(400'000, 'x');
    for (int i = 0; i < 8; ++i) {
        strangers.push_back(connectRaw(destination));
        (void)send(strangers.back().get(), frameStart.data(), frameStart.size(), MSG_NOSIGNAL);
    }
    test_peer source("b");
    source.link->send(destination.link->localAddress(),
                      frameFor(channel::Gang, std::string(450'000, 'p')));
    destination.waitFor(1);
    EXPECT_GE(destination.counters.value("transport_connections_evicted"), 6);
    EXPECT_LE(budget.used(), limits.totalBytes);
}

} // namespace
} // namespace hyssoppond
