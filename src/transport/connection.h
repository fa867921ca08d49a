/// @file One TCP connection: frames behind a length prefix, with limits and deadlines.
#pragma once

#include "socket.h"

#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace hyssoppond {

/// What became of reading or writing.
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
    /// Appends an encoded frame to what is to be written.
    void queue(const std::string &encoded);
    bool hasUnsent() const { return !m_unsent.empty(); }
    /// Frames not completely written.
    std::size_t unsentFrames() const { return m_unsent.size(); }
    std::deque<std::string> takeUnsent();
    /// Bytes of the frame that is being read.
    std::size_t halfRead() const { return m_received.size(); }
    /// Writes what the socket accepts without blocking.
    io_outcome write();
    /// Reads what has arrived and calls `onFrame` for each complete frame.
    io_outcome read(const std::function<io_outcome(std::string_view)> &onFrame);

    bool connected = false;
    absl::Time connectUntil = absl::InfiniteFuture();
    absl::Time probeAt = absl::InfiniteFuture();       ///< nothing heard until then: send a probe
    absl::Time answerUntil = absl::InfiniteFuture();   ///< of the probe
    absl::Time idleUntil = absl::InfiniteFuture();     ///< without data until then: close
    absl::Time completeUntil = absl::InfiniteFuture(); ///< of the frame that is being read

private:
    io_outcome extract(const std::function<io_outcome(std::string_view)> &onFrame);

    file_descriptor m_socket;
    std::size_t m_maxFrameBytes;
    std::deque<std::string> m_unsent; ///< with length prefix
    std::size_t m_written = 0;        ///< bytes of the first unsent frame
    std::string m_received;
};

} // namespace hyssoppond
