/// @file Transport of frames over UDP and TCP. Best effort: frames may be lost, repeated,
/// reordered.
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

/// Settings of the transport. Durations here are options; deadlines are stored internally.
struct transport_settings
{
    address listen; ///< numeric IPv4 or IPv6; port 0 chooses a free one
    process_id self;
    incarnation_number incarnation = 0;
    std::size_t maxFrameBytes = 1 << 20;
    std::size_t maxConnections = 1024;        ///< of each direction
    std::size_t maxHalfReadBytes = 64U << 20; ///< in the incomplete frames of all connections
    std::size_t maxQueuedFrames = 256;        ///< for each peer; the oldest is dropped
    std::size_t maxQueuedBytes = 8U << 20;    ///< for each peer; the oldest is dropped
    std::size_t threads = 2;                  ///< that run the receive hooks
    std::size_t maxQueuedReceives = 4096;
    absl::Duration connectTimeout = absl::Seconds(2);
    absl::Duration reconnectDelay = absl::Milliseconds(200); ///< after a failed connection
    absl::Duration probeInterval = absl::Seconds(2);         ///< without any byte from the peer
    absl::Duration probeTimeout = absl::Seconds(1);    ///< for the answer; also TCP_USER_TIMEOUT
    absl::Duration idleTimeout = absl::Seconds(30);    ///< without data: the connection is closed
    absl::Duration halfReadTimeout = absl::Seconds(5); ///< to complete a frame that has begun
};

/// Effects and inputs of the transport.
struct transport_hooks
{
    /// Receives a data frame; called by several threads at the same time. One for each channel.
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
    /// Stops without flushing, unless stop() was called before.
    ~transport();
    transport(const transport &) = delete;
    transport &operator=(const transport &) = delete;

    /// Opens the sockets and starts the threads. Error: InvalidArgument with the system's reason.
    result<void> start();
    /// Address that peers use; its port is the chosen one after start().
    address localAddress() const;
    /// Sends a frame. The sender's fields are filled in. Never blocks. Frames of the channel
    /// Membership that fit into a datagram go by UDP, all others by TCP.
    void send(const address &to, frame what);
    /// Refuses new frames, sends what is queued until `deadline`, then closes all connections and
    /// runs the hooks of the frames received until then.
    void stop(absl::Time deadline);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace hyssoppond
