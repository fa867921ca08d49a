/// @file Transport of frames over UDP and TCP. Delivery is best effort: frames may be lost,
/// duplicated or reordered.
#pragma once

#include "hyssoppond/base/counters_base.h"
#include "hyssoppond/base/error_type.h"
#include "hyssoppond/transport/frame_type.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace hyssoppond {

class client_budget;

/// Settings of the transport. Only the settings hold durations; the transport stores deadlines.
struct transport_settings
{
    address listen; ///< numeric IPv4 or IPv6; port 0 chooses a free one
    process_id self;
    incarnation_number incarnation = 0;
    std::size_t maxFrameBytes = 1 << 20;
    std::size_t maxConnections = 1024;          ///< in each direction
    std::size_t maxConnectionsPerAddress = 256; ///< incoming
    /// In the incomplete frames of all incoming connections.
    std::size_t maxPartialFrameBytes = 64U << 20;
    /// Accounts for incomplete frames and for received frames that wait for their hook; null: not
    /// accounted for. Must outlive the transport.
    client_budget *budget = nullptr;
    std::size_t maxQueuedFrames = 256;     ///< for each peer; the oldest is dropped
    std::size_t maxQueuedBytes = 8U << 20; ///< for each peer; the oldest is dropped
    std::size_t threads = 2;               ///< threads that run the receive hooks
    std::size_t maxQueuedReceives = 4096;  ///< received frames that wait for their hook
    absl::Duration connectTimeout = absl::Seconds(2);
    absl::Duration reconnectDelay = absl::Milliseconds(200); ///< after a failed connection
    /// A probe is sent after this time without any byte from the peer.
    absl::Duration probeInterval = absl::Seconds(2);
    /// For the answer; with probeInterval also TCP_USER_TIMEOUT.
    absl::Duration probeTimeout = absl::Seconds(1);
    /// A connection without data for this time is closed; twice that if incoming.
    absl::Duration idleTimeout = absl::Seconds(30);
    /// An incoming connection is closed if it has not sent a valid frame after this time. Peers
    /// connect only when they have a frame to send.
    absl::Duration firstFrameTimeout = absl::Seconds(10);
    /// Time to receive the rest of an incomplete frame.
    absl::Duration partialFrameTimeout = absl::Seconds(5);
};

/// Functions that the transport calls, and the counters that it updates.
struct transport_hooks
{
    /// One hook for each channel; receives data frames. Several threads call it at the same time.
    std::function<void(const frame &)> onFrame[ChannelCount];
    /// Zone of an address, to count traffic across zones; may be empty.
    std::function<zone_id(const address &)> zoneOf;
    zone_id ownZone;
    counter_registry *counters = nullptr; ///< must outlive the transport
};

/// The sockets of one process. Thread-safe.
class transport
{
public:
    transport(transport_settings settings, transport_hooks hooks);
    /// Stops without sending queued frames, unless stop() was called before.
    ~transport();
    transport(const transport &) = delete;
    transport &operator=(const transport &) = delete;

    /// Opens the sockets and starts the threads. Error: InvalidArgument with the system's reason.
    result<void> start();
    /// Address that peers use. After start() its port is the one that was opened.
    address localAddress() const;
    /// Sends a frame and sets its sender fields. Never blocks. Frames of the channel
    /// Membership that fit into a datagram go by UDP, all others by TCP.
    void send(const address &to, frame message);
    /// Drops new frames, sends the queued ones until `deadline`, then closes all connections and
    /// runs the hooks of the frames received until then.
    void stop(absl::Time deadline);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace hyssoppond
