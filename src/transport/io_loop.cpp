/// @file The I/O thread: serves connections and their deadlines, and waits for socket events.
#include "transport_state.h"

#include "hyssoppond/base/process_clock_base.h"

#include <algorithm>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace hyssoppond {
namespace {

// Bytes of frames taken from the queue of a peer at once. The other frames stay in the outbox,
// where the oldest can be dropped.
constexpr std::size_t WriteChunkBytes = 65536;
// Upper bound of one wait. It limits the delay that a missed event causes.
constexpr absl::Duration MaxWait = absl::Seconds(1);

} // namespace

void transport::state::run()
{
    while (true) {
        now = processNow();
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
    const auto isFlushed = [](const auto &conn) { return !conn.second->hasUnsent(); };
    return queues.waitingPeers().empty()
        && std::all_of(outgoing.begin(), outgoing.end(), isFlushed);
}

void transport::state::serveQueues()
{
    for (const address &to : queues.waitingPeers()) {
        if (!outgoing.contains(to))
            openConnection(to);
        const auto it = outgoing.find(to);
        if (it == outgoing.end())
            continue;
        if (it->second->connected && !fillConnection(to, *it->second))
            closeOutgoing(to, reason::ConnectionFailed);
    }
}

// Writes until the socket accepts no more, because the socket signals that it is writable only in
// that case. Wakes the loop if the limit of one iteration ends the writing first. Returns false if
// the connection is closed.
bool transport::state::fillConnection(const address &to, connection &conn)
{
    for (int i = 0; i < MaxOperationsPerIteration && !conn.hasUnsent(); ++i) {
        const std::deque<std::string> frames = queues.take(to, WriteChunkBytes);
        if (frames.empty())
            return true;
        for (const std::string &encoded : frames)
            conn.queue(encoded);
        conn.idleDeadline = now + settings.idleTimeout;
        if (conn.write() == io_outcome::Closed)
            return false;
    }
    if (!conn.hasUnsent())
        wakeLoop();
    return true;
}

void transport::state::openConnection(const address &to)
{
    absl::Duration userTimeout = settings.probeInterval + settings.probeTimeout;
    if (const auto it = retryAt.find(to); it != retryAt.end()) {
        if (it->second > now)
            return countDropped(reason::ConnectionFailed, queues.drop(to));
        retryAt.erase(it);
    }
    if (outgoing.size() >= settings.maxConnections)
        return countDropped(reason::Overloaded, queues.drop(to));
    file_descriptor socket = startConnection(to, userTimeout);
    if (!socket.isOpen()) {
        retryAt[to] = now + settings.reconnectDelay;
        return countDropped(reason::ConnectionFailed, queues.drop(to));
    }
    hooks.counters->add("transport_connections_opened");
    auto conn = std::make_unique<connection>(std::move(socket), settings.maxFrameBytes);
    conn->connectDeadline = now + settings.connectTimeout;
    conn->idleDeadline = now + settings.idleTimeout;
    outgoing[to] = std::move(conn);
}

// Frames that were not completely written are queued for the next connection. If this connection
// was never established, they are dropped, because the peer is not reachable.
void transport::state::closeOutgoing(const address &to, reason cause)
{
    const auto it = outgoing.find(to);
    if (it == outgoing.end())
        return;
    hooks.counters->count(disposition::Retried, cause);
    if (it->second->connected) {
        queues.putBack(to, it->second->takeUnsent());
    } else {
        retryAt[to] = now + settings.reconnectDelay;
        countDropped(reason::ConnectionFailed, it->second->unsentFrames() + queues.drop(to));
    }
    outgoing.erase(it);
}

void transport::state::addProbe(connection &conn, frame_kind kind)
{
    frame probe;
    probe.sender = settings.self;
    probe.senderIncarnation = settings.incarnation;
    probe.senderAddress = boundAddress;
    probe.kind = kind;
    conn.queue(encode(probe));
    hooks.counters->add("transport_probes_sent");
}

// Returns false if the connection was closed.
bool transport::state::checkOutgoing(const address &to, connection &conn)
{
    if (conn.connectDeadline <= now) {
        closeOutgoing(to, reason::ConnectionFailed);
        return false;
    }
    if (conn.probeAnswerDeadline <= now) {
        closeOutgoing(to, reason::ConnectionSilent);
        return false;
    }
    if (conn.idleDeadline <= now && !conn.hasUnsent()) {
        hooks.counters->add("transport_connections_idle_closed");
        outgoing.erase(to);
        return false;
    }
    if (conn.nextProbeAt <= now) {
        conn.nextProbeAt = absl::InfiniteFuture();
        conn.probeAnswerDeadline = now + settings.probeTimeout;
        addProbe(conn, frame_kind::Probe);
    }
    return true;
}

absl::Time transport::state::checkDeadlines()
{
    absl::Time due = now + MaxWait;
    for (auto it = outgoing.begin(); it != outgoing.end();) {
        const auto &[to, conn] = *it++; // the check may erase the element
        if (const address peer = to; !checkOutgoing(peer, *conn))
            continue;
        due = std::min({due, conn->connectDeadline, conn->probeAnswerDeadline, conn->nextProbeAt,
                        conn->idleDeadline});
    }
    for (const auto &conn : incoming)
        checkIncoming(*conn);
    std::erase_if(incoming, [](const auto &conn) { return conn->isClosing; });
    for (const auto &conn : incoming)
        due = std::min({due, conn->idleDeadline, conn->frameDeadline, conn->firstFrameDeadline});
    std::erase_if(retryAt, [this](const auto &retry) { return retry.second <= now; });
    const absl::MutexLock lock(&mutex);
    return std::min(due, stopAt);
}

void transport::state::waitForEvents(absl::Time until)
{
    std::vector<pollfd> pollDescriptors {
        {wakeup.get(), POLLIN, 0}, {listener.get(), POLLIN, 0}, {datagrams.get(), POLLIN, 0}};
    std::vector<address> peers;
    const auto pollEvents = [](const connection &conn) {
        return static_cast<short>(POLLIN | (conn.hasUnsent() || !conn.connected ? POLLOUT : 0));
    };
    for (const auto &conn : incoming)
        pollDescriptors.push_back(
            {conn->fd(), static_cast<short>(POLLIN | (conn->hasUnsent() ? POLLOUT : 0)), 0});
    const std::size_t firstOutgoing = pollDescriptors.size();
    for (const auto &[to, conn] : outgoing) {
        pollDescriptors.push_back({conn->fd(), pollEvents(*conn), 0});
        peers.push_back(to);
    }
    const absl::Duration wait = std::max(until - processNow(), absl::ZeroDuration());
    poll(pollDescriptors.data(), pollDescriptors.size(),
         static_cast<int>(absl::ToInt64Milliseconds(wait)) + 1);
    now = processNow();
    std::uint64_t wakeupCount = 0;
    [[maybe_unused]] const ssize_t bytesRead
        = read(wakeup.get(), &wakeupCount, sizeof(wakeupCount));
    for (std::size_t i = firstOutgoing; i < pollDescriptors.size(); ++i)
        serveOutgoing(peers[i - firstOutgoing], pollDescriptors[i].revents);
    for (std::size_t i = 0; i < incoming.size(); ++i)
        serveIncoming(*incoming[i], pollDescriptors[i + 3].revents);
    std::erase_if(incoming, [](const auto &conn) { return conn->isClosing; });
    if (pollDescriptors[1].revents != 0)
        acceptConnections();
    if (pollDescriptors[2].revents != 0)
        readDatagrams();
}

void transport::state::serveOutgoing(const address &to, short events)
{
    if (events == 0)
        return;
    connection &conn = *outgoing.at(to);
    if (!conn.connected) {
        int socketError = 0;
        socklen_t size = sizeof(socketError);
        getsockopt(conn.fd(), SOL_SOCKET, SO_ERROR, &socketError, &size);
        if (socketError != 0)
            return closeOutgoing(to, reason::ConnectionFailed);
        conn.connected = true;
        conn.connectDeadline = absl::InfiniteFuture();
        conn.nextProbeAt = now + settings.probeInterval;
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
        const auto handleFrame = [this, &conn](std::string_view bytes) {
            return receive(bytes, settings.maxFrameBytes, &conn);
        };
        if (conn.read(handleFrame) != io_outcome::Ok)
            return closeOutgoing(to, reason::ConnectionFailed);
        conn.probeAnswerDeadline = absl::InfiniteFuture();
        conn.nextProbeAt = now + settings.probeInterval;
    }
    if ((events & POLLOUT) != 0) {
        const std::size_t before = conn.unsentFrames();
        if (conn.write() == io_outcome::Closed)
            return closeOutgoing(to, reason::ConnectionFailed);
        // If a full socket buffer drains, the peer still receives.
        if (conn.hasUnsent() && conn.unsentFrames() < before
            && conn.probeAnswerDeadline != absl::InfiniteFuture())
            conn.probeAnswerDeadline = now + settings.probeTimeout;
    }
}

void transport::state::readDatagrams()
{
    // The buffer holds one byte more than the limit, so that a datagram that is too long is
    // detected.
    std::array<char, MaxDatagramBytes + 1> buffer;
    for (int i = 0; i < MaxOperationsPerIteration; ++i) {
        const ssize_t bytesRead = recv(datagrams.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (bytesRead < 0)
            return;
        receive({buffer.data(), static_cast<std::size_t>(bytesRead)}, MaxDatagramBytes, nullptr);
    }
}

} // namespace hyssoppond
