/// @file POSIX sockets: ownership, numeric addresses and the options set on connections.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/world/machine_type.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
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

/// An address in the form that the system calls take.
struct socket_address
{
    sockaddr_storage storage {};
    socklen_t length = 0;

    const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&storage); }
};

/// Converts a numeric address. Returns nullopt if the address is not numeric.
std::optional<socket_address> toSocketAddress(const address &numericAddress);
/// Opens a non-blocking socket of `type` bound to `bindAddress`; a TCP socket also listens.
/// Error: InvalidArgument.
result<file_descriptor> openBound(const address &bindAddress, int type);
/// Numeric host of a peer's address; empty if it is of another family.
std::string hostOf(const sockaddr_storage &peer);
/// Port to which the socket is bound; 0 if the system does not report it.
std::uint16_t boundPort(const file_descriptor &socket);
/// Starts a TCP connection without waiting. The returned descriptor is not open if it cannot be
/// started.
file_descriptor startConnection(const address &to, absl::Duration userTimeout);
/// Sets the options of a TCP connection: TCP_NODELAY, and TCP_USER_TIMEOUT to `userTimeout`.
void setConnectionOptions(int fd, absl::Duration userTimeout);

} // namespace hyssoppond
