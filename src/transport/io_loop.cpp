/// @file The I/O thread: connections, their deadlines and the wait for sockets.
#include "transport_state.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace hyssoppond {
namespace {

// Frames taken from the queue of a peer at once. The rest stays where the oldest can be dropped.
constexpr std::size_t WriteChunkBytes = 65536;
// Bounds the work for one socket in one turn of the loop.
constexpr int MaxPerTurn = 64;
// Upper bound of one wait, so that a missed event costs no more than this.
constexpr absl::Duration MaxWait = absl::Seconds(1);

} // namespace

void transport::state::run()
{
    while (true) {
        now = absl::Now();
        serveQueues();
        const absl::Time due = checkDeadlines();
        if (isDone())
            break;
        waitForEvents(due);
    }
    outgoing.clear();
    incoming.clear();
}

bool transport::state::isDone()
{
    {
        const absl::MutexLock lock(&mutex);
        if (!stopping)
            return false;
        if (now >= stopAt)
            return true;
    }
    const auto isFlushed = [](const auto &one) { return !one.second->hasUnsent(); };
    return queues.waiting().empty() && std::all_of(outgoing.begin(), outgoing.end(), isFlushed);
}

void transport::state::serveQueues()
{
    for (const address &to : queues.waiting()) {
        if (!outgoing.contains(to))
            openConnection(to);
        const auto it = outgoing.find(to);
        if (it == outgoing.end())
            continue;
        if (it->second->connected && !fillConnection(to, *it->second))
            closeOutgoing(to, reason::ConnectionFailed);
    }
}

// Writes until the socket accepts no more, since it wakes the loop only in that case. Returns
// false if the connection is closed.
bool transport::state::fillConnection(const address &to, connection &one)
{
    for (int i = 0; i < MaxPerTurn && !one.hasUnsent(); ++i) {
        const std::deque<std::string> frames = queues.take(to, WriteChunkBytes);
        if (frames.empty())
            return true;
        for (const std::string &encoded : frames)
            one.queue(encoded);
        one.idleUntil = now + settings.idleTimeout;
        if (one.write() == io_outcome::Closed)
            return false;
    }
    if (!one.hasUnsent())
        wake();
    return true;
}

void transport::state::openConnection(const address &to)
{
    absl::Duration userTimeout = settings.probeInterval + settings.probeTimeout;
    if (const auto it = retryAt.find(to); it != retryAt.end()) {
        if (it->second > now)
            return drop(reason::ConnectionFailed, queues.drop(to));
        retryAt.erase(it);
    }
    if (outgoing.size() >= settings.maxConnections)
        return drop(reason::Overloaded, queues.drop(to));
    file_descriptor socket = startConnection(to, userTimeout);
    if (!socket.isOpen()) {
        retryAt[to] = now + settings.reconnectDelay;
        return drop(reason::ConnectionFailed, queues.drop(to));
    }
    hooks.counters->add("transport_connections_opened");
    auto one = std::make_unique<connection>(std::move(socket), settings.maxFrameBytes);
    one->connectUntil = now + settings.connectTimeout;
    one->idleUntil = now + settings.idleTimeout;
    outgoing[to] = std::move(one);
}

// Frames that were not completely written wait for the next connection, unless this one never
// came about; then they are dropped, since the peer is not there.
void transport::state::closeOutgoing(const address &to, reason why)
{
    const auto it = outgoing.find(to);
    if (it == outgoing.end())
        return;
    hooks.counters->count(disposition::Retried, why);
    if (it->second->connected) {
        queues.putBack(to, it->second->takeUnsent());
    } else {
        retryAt[to] = now + settings.reconnectDelay;
        drop(reason::ConnectionFailed, it->second->unsentFrames() + queues.drop(to));
    }
    outgoing.erase(it);
}

void transport::state::addProbe(connection &one, frame_kind kind)
{
    frame probe;
    probe.sender = settings.self;
    probe.senderIncarnation = settings.incarnation;
    probe.senderAddress = local;
    probe.kind = kind;
    one.queue(encode(probe));
    hooks.counters->add("transport_probes_sent");
}

// Returns false if the connection was closed.
bool transport::state::checkOutgoing(const address &to, connection &one)
{
    if (one.connectUntil <= now) {
        closeOutgoing(to, reason::ConnectionFailed);
        return false;
    }
    if (one.answerUntil <= now) {
        closeOutgoing(to, reason::ConnectionSilent);
        return false;
    }
    if (one.idleUntil <= now && !one.hasUnsent()) {
        hooks.counters->add("transport_connections_idle_closed");
        outgoing.erase(to);
        return false;
    }
    if (one.probeAt <= now) {
        one.probeAt = absl::InfiniteFuture();
        one.answerUntil = now + settings.probeTimeout;
        addProbe(one, frame_kind::Probe);
    }
    return true;
}

bool transport::state::checkIncoming(const connection &one)
{
    if (one.idleUntil > now && one.completeUntil > now)
        return true;
    if (one.completeUntil <= now)
        drop(reason::ConnectionSilent);
    halfRead -= one.halfRead();
    return false;
}

absl::Time transport::state::checkDeadlines()
{
    absl::Time due = now + MaxWait;
    for (auto it = outgoing.begin(); it != outgoing.end();) {
        const auto &[to, one] = *it++; // the check may erase the element
        if (const address peer = to; !checkOutgoing(peer, *one))
            continue;
        due = std::min({due, one->connectUntil, one->answerUntil, one->probeAt, one->idleUntil});
    }
    std::erase_if(incoming, [this](const auto &one) { return !checkIncoming(*one); });
    for (const auto &one : incoming)
        due = std::min({due, one->idleUntil, one->completeUntil});
    std::erase_if(retryAt, [this](const auto &retry) { return retry.second <= now; });
    const absl::MutexLock lock(&mutex);
    return std::min(due, stopAt);
}

void transport::state::waitForEvents(absl::Time until)
{
    std::vector<pollfd> polls {
        {wakeup.get(), POLLIN, 0}, {listener.get(), POLLIN, 0}, {datagrams.get(), POLLIN, 0}};
    std::vector<address> peers;
    const auto interest = [](const connection &one) {
        return static_cast<short>(POLLIN | (one.hasUnsent() || !one.connected ? POLLOUT : 0));
    };
    for (const auto &one : incoming)
        polls.push_back(
            {one->fd(), static_cast<short>(POLLIN | (one->hasUnsent() ? POLLOUT : 0)), 0});
    const std::size_t firstOutgoing = polls.size();
    for (const auto &[to, one] : outgoing) {
        polls.push_back({one->fd(), interest(*one), 0});
        peers.push_back(to);
    }
    const absl::Duration wait = std::max(until - absl::Now(), absl::ZeroDuration());
    poll(polls.data(), polls.size(), static_cast<int>(absl::ToInt64Milliseconds(wait)) + 1);
    now = absl::Now();
    std::uint64_t wakes = 0;
    [[maybe_unused]] const ssize_t got = read(wakeup.get(), &wakes, sizeof(wakes));
    for (std::size_t i = firstOutgoing; i < polls.size(); ++i)
        serveOutgoing(peers[i - firstOutgoing], polls[i].revents);
    std::vector<std::unique_ptr<connection>> open;
    for (std::size_t i = 0; i < incoming.size(); ++i) {
        bool closed = false;
        serveIncoming(*incoming[i], polls[i + 3].revents, closed);
        if (!closed)
            open.push_back(std::move(incoming[i]));
    }
    incoming = std::move(open);
    if (polls[1].revents != 0)
        acceptConnections();
    if (polls[2].revents != 0)
        readDatagrams();
}

void transport::state::serveOutgoing(const address &to, short events)
{
    if (events == 0)
        return;
    connection &one = *outgoing.at(to);
    if (!one.connected) {
        int problem = 0;
        socklen_t size = sizeof(problem);
        getsockopt(one.fd(), SOL_SOCKET, SO_ERROR, &problem, &size);
        if (problem != 0)
            return closeOutgoing(to, reason::ConnectionFailed);
        one.connected = true;
        one.connectUntil = absl::InfiniteFuture();
        one.probeAt = now + settings.probeInterval;
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
        const auto heard = [this, &one](std::string_view bytes) {
            return receive(bytes, settings.maxFrameBytes, &one);
        };
        if (one.read(heard) != io_outcome::Ok)
            return closeOutgoing(to, reason::ConnectionFailed);
        one.answerUntil = absl::InfiniteFuture();
        one.probeAt = now + settings.probeInterval;
    }
    if ((events & POLLOUT) != 0) {
        const std::size_t before = one.unsentFrames();
        if (one.write() == io_outcome::Closed)
            return closeOutgoing(to, reason::ConnectionFailed);
        // A full socket buffer that drains shows that the peer still receives.
        if (one.hasUnsent() && one.unsentFrames() < before
            && one.answerUntil != absl::InfiniteFuture())
            one.answerUntil = now + settings.probeTimeout;
    }
}

void transport::state::serveIncoming(connection &one, short events, bool &closed)
{
    if (events == 0)
        return;
    const std::size_t before = one.halfRead();
    const auto onFrame = [this, &one](std::string_view bytes) {
        one.completeUntil = absl::InfiniteFuture();
        return receive(bytes, settings.maxFrameBytes, &one);
    };
    const io_outcome outcome = one.read(onFrame);
    halfRead = halfRead - before + one.halfRead();
    one.idleUntil = now + 2 * settings.idleTimeout;
    if (one.halfRead() == 0)
        one.completeUntil = absl::InfiniteFuture();
    else if (one.completeUntil == absl::InfiniteFuture())
        one.completeUntil = now + settings.halfReadTimeout;
    if (halfRead > settings.maxHalfReadBytes)
        drop(reason::Overloaded);
    if (outcome == io_outcome::Malformed)
        hooks.counters->add("transport_malformed_connections_closed");
    closed = outcome != io_outcome::Ok || halfRead > settings.maxHalfReadBytes
        || one.write() == io_outcome::Closed;
    if (closed)
        halfRead -= one.halfRead();
}

void transport::state::acceptConnections()
{
    for (int i = 0; i < MaxPerTurn; ++i) {
        file_descriptor socket(
            accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!socket.isOpen())
            return;
        if (incoming.size() >= settings.maxConnections) {
            hooks.counters->count(disposition::Refused, reason::Overloaded);
            continue;
        }
        setConnectionOptions(socket.get(), settings.probeInterval + settings.probeTimeout);
        auto one = std::make_unique<connection>(std::move(socket), settings.maxFrameBytes);
        one->connected = true;
        one->idleUntil = now + 2 * settings.idleTimeout;
        incoming.push_back(std::move(one));
    }
}

void transport::state::readDatagrams()
{
    // One byte more than allowed shows that a datagram is too long.
    std::array<char, MaxDatagramBytes + 1> buffer;
    for (int i = 0; i < MaxPerTurn; ++i) {
        const ssize_t got = recv(datagrams.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (got < 0)
            return;
        receive({buffer.data(), static_cast<std::size_t>(got)}, MaxDatagramBytes, nullptr);
    }
}

} // namespace hyssoppond
