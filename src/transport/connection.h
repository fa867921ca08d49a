/// @file One TCP connection that carries frames with a length prefix, with limits and deadlines.
#pragma once

#include "hyssoppond/base/client_budget_base.h"
#include "socket.h"

#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hyssoppond {

/// Outcome of reading or writing.
enum class io_outcome { Ok, Closed, Malformed };

/// One connection. Used by the I/O thread only.
class connection
{
public:
    connection(file_descriptor socket, std::size_t maxFrameBytes)
        : m_socket(std::move(socket))
        , m_maxFrameBytes(maxFrameBytes)
    { }

    int fd() const { return m_socket.get(); }
    /// Appends an encoded frame to the frames to be written.
    void queue(const std::string &encoded);
    bool hasUnsent() const { return !m_unsent.empty(); }
    /// Number of frames that are not completely written.
    std::size_t unsentFrames() const { return m_unsent.size(); }
    /// Removes and returns the frames not completely written, without their length prefix.
    std::deque<std::string> takeUnsent();
    /// Size of the buffer that holds the incomplete frame; 0 if there is none.
    std::size_t partialFrameBytes() const { return m_received.empty() ? 0 : m_received.capacity(); }
    /// Frees the bytes of the incomplete frame. The connection must be closed then.
    /// An assignment of an empty string would keep the buffer.
    void dropPartialFrame() { std::string().swap(m_received); }
    /// Writes as much as the socket accepts without blocking.
    io_outcome write();
    /// Reads the bytes that have arrived and calls `onFrame` for each complete frame.
    io_outcome read(const std::function<io_outcome(std::string_view)> &onFrame);

    bool connected = false;
    absl::Time connectDeadline = absl::InfiniteFuture();
    /// Time to send a probe if nothing is received.
    absl::Time nextProbeAt = absl::InfiniteFuture();
    absl::Time probeAnswerDeadline = absl::InfiniteFuture(); ///< for the answer to the probe
    absl::Time idleDeadline = absl::InfiniteFuture();  ///< a connection without data is closed then
    absl::Time frameDeadline = absl::InfiniteFuture(); ///< to complete the frame being received
    /// To send the first valid frame; InfiniteFuture once it was received.
    absl::Time firstFrameDeadline = absl::InfiniteFuture();
    bool isClosing = false;                ///< an incoming connection that will be removed
    std::string peerHost;                  ///< numeric address of an incoming connection
    std::unique_ptr<client_charge> charge; ///< bytes of the incomplete frame, if incoming

private:
    /// Appends received bytes; the buffer grows by doubling up to the size of the incomplete frame.
    void append(std::string_view bytes);
    io_outcome extractFrames(const std::function<io_outcome(std::string_view)> &onFrame);

    file_descriptor m_socket;
    std::size_t m_maxFrameBytes;
    std::deque<std::string> m_unsent; ///< frames with length prefix
    std::size_t m_written = 0;        ///< bytes of the first unsent frame already written
    std::string m_received;
    std::size_t m_wanted = 0; ///< size of the incomplete frame with its prefix, 0 if not known
};

} // namespace hyssoppond
