/// @file One TCP connection.
#include "connection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace hyssoppond {
namespace {

constexpr std::size_t PrefixBytes = 4;
// Reads from one connection in one iteration of the I/O loop. The limit keeps a busy connection
// from delaying the others.
constexpr int MaxReadsPerIteration = 4;
// Buffer that a connection may keep between frames.
constexpr std::size_t MaxIdleBufferBytes = 4096;

std::size_t decodeLength(std::string_view prefix)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < PrefixBytes; ++i)
        length = length << 8U | static_cast<unsigned char>(prefix[i]);
    return length;
}

} // namespace

void connection::queue(const std::string &encoded)
{
    std::string bytes;
    bytes.reserve(PrefixBytes + encoded.size());
    for (std::size_t i = PrefixBytes; i > 0; --i)
        bytes.push_back(static_cast<char>(encoded.size() >> (8 * (i - 1)) & 0xFFU));
    bytes += encoded;
    m_unsent.push_back(std::move(bytes));
}

std::deque<std::string> connection::takeUnsent()
{
    for (std::string &bytes : m_unsent)
        bytes.erase(0, PrefixBytes);
    m_written = 0;
    return std::exchange(m_unsent, {});
}

io_outcome connection::write()
{
    while (!m_unsent.empty()) {
        const std::string &first = m_unsent.front();
        const ssize_t sent = ::send(fd(), first.data() + m_written, first.size() - m_written,
                                    MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0)
            return errno == EAGAIN || errno == EINTR ? io_outcome::Ok : io_outcome::Closed;
        m_written += static_cast<std::size_t>(sent);
        if (m_written < first.size())
            return io_outcome::Ok;
        m_unsent.pop_front();
        m_written = 0;
    }
    return io_outcome::Ok;
}

io_outcome connection::read(const std::function<io_outcome(std::string_view)> &onFrame)
{
    std::array<char, 65536> buffer;
    for (int reads = 0; reads < MaxReadsPerIteration; ++reads) {
        const ssize_t bytesRead = ::recv(fd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (bytesRead == 0)
            return io_outcome::Closed;
        if (bytesRead < 0)
            return errno == EAGAIN || errno == EINTR ? io_outcome::Ok : io_outcome::Closed;
        append({buffer.data(), static_cast<std::size_t>(bytesRead)});
        if (const io_outcome outcome = extractFrames(onFrame); outcome != io_outcome::Ok)
            return outcome;
        if (static_cast<std::size_t>(bytesRead) < buffer.size())
            break;
    }
    return io_outcome::Ok;
}

void connection::append(std::string_view bytes)
{
    const std::size_t size = m_received.size() + bytes.size();
    if (size > m_received.capacity())
        m_received.reserve(std::max(size, std::min(2 * m_received.capacity(), m_wanted)));
    m_received.append(bytes);
}

io_outcome connection::extractFrames(const std::function<io_outcome(std::string_view)> &onFrame)
{
    std::size_t consumed = 0;
    m_wanted = 0;
    while (m_received.size() - consumed >= PrefixBytes) {
        const std::string_view rest = std::string_view(m_received).substr(consumed);
        const std::size_t length = decodeLength(rest);
        if (length > m_maxFrameBytes)
            return io_outcome::Malformed;
        if (rest.size() < PrefixBytes + length) {
            m_wanted = PrefixBytes + length;
            break;
        }
        if (const io_outcome outcome = onFrame(rest.substr(PrefixBytes, length));
            outcome != io_outcome::Ok)
            return outcome;
        consumed += PrefixBytes + length;
    }
    m_received.erase(0, consumed);
    if (m_received.empty() && m_received.capacity() > MaxIdleBufferBytes)
        std::string().swap(m_received);
    return io_outcome::Ok;
}

} // namespace hyssoppond
