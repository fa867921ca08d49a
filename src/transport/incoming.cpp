/// @file Incoming connections: their limits, and which of them is closed when there are too many.
#include "transport_state.h"

#include <string_view>
#include <tuple>
#include <utility>

#include <sys/socket.h>

namespace hyssoppond {
namespace {

/// True if the connection has not sent a valid frame, so that it may be anyone's.
bool isStranger(const connection &conn)
{
    return conn.firstFrameDeadline != absl::InfiniteFuture();
}

} // namespace

void transport::state::closeIncoming(connection &conn)
{
    conn.isClosing = true;
    partialFrameBytes -= conn.partialFrameBytes();
    conn.dropPartialFrame();
    conn.charge->shrinkTo(0);
}

void transport::state::evictIncoming(connection &conn, const char *cause)
{
    closeIncoming(conn);
    hooks.counters->add("transport_connections_evicted");
    refusals.write("connection closed for others", conn.peerHost, cause, now);
}

void transport::state::checkIncoming(connection &conn)
{
    if (conn.frameDeadline <= now || conn.firstFrameDeadline <= now)
        countDropped(reason::ConnectionSilent);
    else if (conn.idleDeadline > now)
        return;
    closeIncoming(conn);
}

connection *transport::state::findWorstPartial(const connection *except) const
{
    std::map<std::string_view, std::size_t> heldBy;
    for (const auto &conn : incoming)
        heldBy[conn->peerHost] += conn->partialFrameBytes();
    // Strangers before peers, then the address that holds most, then the frame begun first.
    const auto rank = [&heldBy](const connection &conn) {
        return std::make_tuple(isStranger(conn), heldBy[conn.peerHost],
                               absl::InfiniteFuture() - conn.frameDeadline);
    };
    connection *worst = nullptr;
    for (const auto &conn : incoming) {
        if (conn.get() != except && conn->partialFrameBytes() > 0
            && (worst == nullptr || rank(*conn) > rank(*worst)))
            worst = conn.get();
    }
    return worst;
}

bool transport::state::chargePartialFrame(connection &conn)
{
    conn.charge->shrinkTo(conn.partialFrameBytes());
    while (partialFrameBytes > settings.maxPartialFrameBytes
           || !conn.charge->growTo(conn.partialFrameBytes())) {
        connection *const worst = findWorstPartial(nullptr);
        if (worst == nullptr || worst == &conn)
            return false;
        evictIncoming(*worst, "bytes");
    }
    return true;
}

bool transport::state::chargeReceived(client_charge *charge, std::size_t bytes,
                                      const connection *from)
{
    while (!charge->growTo(bytes)) {
        connection *const worst = findWorstPartial(from);
        if (worst == nullptr || !isStranger(*worst))
            return false;
        evictIncoming(*worst, "bytes");
    }
    return true;
}

void transport::state::serveIncoming(connection &conn, short events)
{
    if (events == 0 || conn.isClosing)
        return;
    const std::size_t before = conn.partialFrameBytes();
    const auto onFrame = [this, &conn](std::string_view bytes) {
        conn.frameDeadline = absl::InfiniteFuture();
        const io_outcome outcome = receive(bytes, settings.maxFrameBytes, &conn);
        if (outcome == io_outcome::Ok)
            conn.firstFrameDeadline = absl::InfiniteFuture();
        return outcome;
    };
    const io_outcome outcome = conn.read(onFrame);
    partialFrameBytes = partialFrameBytes - before + conn.partialFrameBytes();
    conn.idleDeadline = now + 2 * settings.idleTimeout;
    if (conn.partialFrameBytes() == 0)
        conn.frameDeadline = absl::InfiniteFuture();
    else if (conn.frameDeadline == absl::InfiniteFuture())
        conn.frameDeadline = now + settings.partialFrameTimeout;
    if (outcome == io_outcome::Malformed) {
        hooks.counters->add("transport_malformed_connections_closed");
        refusals.write("connection closed", conn.peerHost, "malformed", now);
    }
    if (outcome != io_outcome::Ok || conn.write() == io_outcome::Closed)
        return closeIncoming(conn);
    if (!chargePartialFrame(conn)) {
        countDropped(reason::Overloaded);
        evictIncoming(conn, "bytes");
    }
}

bool transport::state::makeRoomFor(const std::string &host)
{
    std::map<std::string_view, std::size_t> openBy;
    std::size_t open = 0;
    for (const auto &conn : incoming) {
        if (conn->isClosing)
            continue;
        ++open;
        ++openBy[conn->peerHost];
    }
    const bool addressFull = openBy[host] >= settings.maxConnectionsPerAddress;
    if (!addressFull && open < settings.maxConnections)
        return true;
    // Of the connections without a valid frame, the oldest one of the address with most of them.
    connection *worst = nullptr;
    for (const auto &conn : incoming) {
        if (conn->isClosing || !isStranger(*conn) || (addressFull && conn->peerHost != host))
            continue;
        if (worst == nullptr || openBy[conn->peerHost] > openBy[worst->peerHost]
            || (conn->peerHost == worst->peerHost
                && conn->firstFrameDeadline < worst->firstFrameDeadline))
            worst = conn.get();
    }
    if (worst == nullptr) {
        refusals.write("connection refused", host, "connections", now);
        return false;
    }
    evictIncoming(*worst, "connections");
    std::erase_if(incoming, [](const auto &conn) { return conn->isClosing; });
    return true;
}

void transport::state::acceptConnections()
{
    for (int i = 0; i < MaxOperationsPerIteration; ++i) {
        sockaddr_storage peer {};
        socklen_t length = sizeof peer;
        file_descriptor socket(accept4(listener.get(), reinterpret_cast<sockaddr *>(&peer), &length,
                                       SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!socket.isOpen())
            return;
        const std::string host = hostOf(peer);
        if (!makeRoomFor(host)) {
            hooks.counters->count(disposition::Refused, reason::Overloaded);
            continue;
        }
        setConnectionOptions(socket.get(), settings.probeInterval + settings.probeTimeout);
        auto conn = std::make_unique<connection>(std::move(socket), settings.maxFrameBytes);
        conn->connected = true;
        conn->idleDeadline = now + 2 * settings.idleTimeout;
        conn->firstFrameDeadline = now + settings.firstFrameTimeout;
        conn->peerHost = host;
        conn->charge = std::make_unique<client_charge>(settings.budget, client_listener::Peers,
                                                       conn->peerHost);
        incoming.push_back(std::move(conn));
    }
}

} // namespace hyssoppond
