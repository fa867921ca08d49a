/// @file POSIX sockets: ownership, numeric addresses and the options that all sockets get.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/world/machine_type.h"

#include <absl/time/time.h>

#include <optional>
#include <utility>

#include <sys/socket.h>

namespace hyssoppond {

/// Owns one file descriptor.
class file_descriptor
{
public:
    explicit file_descriptor(int fd = -1)
        : m_fd(fd)
    { }
    ~file_descriptor();
    file_descriptor(file_descriptor &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    { }
    file_descriptor &operator=(file_descriptor &&other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }

    int get() const { return m_fd; }
    bool isOpen() const { return m_fd >= 0; }

private:
    int m_fd;
};

/// An address in the form of the system calls.
struct socket_address
{
    sockaddr_storage storage {};
    socklen_t length = 0;

    const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&storage); }
};

/// Converts a numeric address; none if it is not numeric.
std::optional<socket_address> toSocketAddress(const address &what);
/// Opens a non-blocking socket of `type` bound to `where`. Error: InvalidArgument.
result<file_descriptor> openBound(const address &where, int type);
/// Port to which the socket is bound.
std::uint16_t boundPort(const file_descriptor &socket);
/// Starts a TCP connection without waiting; closed if it cannot be started.
file_descriptor startConnection(const address &to, absl::Duration userTimeout);
/// Sets the options of a TCP connection: no delay, and TCP_USER_TIMEOUT.
void setConnectionOptions(int fd, absl::Duration userTimeout);

} // namespace hyssoppond
