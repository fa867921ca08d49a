/// @file POSIX sockets.
#include "socket.h"

#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

namespace hyssoppond {

file_descriptor::~file_descriptor()
{
    if (m_fd >= 0)
        close(m_fd);
}

std::optional<socket_address> toSocketAddress(const address &numericAddress)
{
    socket_address converted;
    auto *v4 = reinterpret_cast<sockaddr_in *>(&converted.storage);
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&converted.storage);
    if (inet_pton(AF_INET, numericAddress.host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(numericAddress.port);
        converted.length = sizeof(*v4);
        return converted;
    }
    if (inet_pton(AF_INET6, numericAddress.host.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(numericAddress.port);
        converted.length = sizeof(*v6);
        return converted;
    }
    return std::nullopt;
}

result<file_descriptor> openBound(const address &bindAddress, int type)
{
    const std::string text = bindAddress.host + " port " + std::to_string(bindAddress.port);
    const auto target = toSocketAddress(bindAddress);
    if (!target)
        return fail(reason::InvalidArgument,
                    "listen address " + text + " is not numeric; give an IPv4 or IPv6 address");
    file_descriptor socketFd(
        ::socket(target->storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int enable = 1;
    if (type == SOCK_STREAM) // a restarted process must get its port back at once
        setsockopt(socketFd.get(), SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    if (!socketFd.isOpen() || bind(socketFd.get(), target->get(), target->length) != 0
        || (type == SOCK_STREAM && listen(socketFd.get(), SOMAXCONN) != 0))
        return fail(reason::InvalidArgument,
                    "cannot listen at " + text + ": " + std::strerror(errno)
                        + "; choose a free port of this machine");
    return socketFd;
}

std::string hostOf(const sockaddr_storage &peer)
{
    char text[INET6_ADDRSTRLEN] = "";
    if (peer.ss_family == AF_INET)
        inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in &>(peer).sin_addr, text,
                  sizeof text);
    else if (peer.ss_family == AF_INET6)
        inet_ntop(AF_INET6, &reinterpret_cast<const sockaddr_in6 &>(peer).sin6_addr, text,
                  sizeof text);
    return text;
}

std::uint16_t boundPort(const file_descriptor &socket)
{
    socket_address bound;
    bound.length = sizeof(bound.storage);
    if (getsockname(socket.get(), reinterpret_cast<sockaddr *>(&bound.storage), &bound.length) != 0)
        return 0;
    // The port is at the same offset in both address families.
    return ntohs(reinterpret_cast<const sockaddr_in *>(&bound.storage)->sin_port);
}

void setConnectionOptions(int fd, absl::Duration userTimeout)
{
    const int enable = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    const auto timeoutMs = static_cast<unsigned>(absl::ToInt64Milliseconds(userTimeout));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof(timeoutMs));
}

file_descriptor startConnection(const address &to, absl::Duration userTimeout)
{
    const auto target = toSocketAddress(to);
    if (!target)
        return file_descriptor();
    file_descriptor socketFd(
        ::socket(target->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socketFd.isOpen())
        return socketFd;
    setConnectionOptions(socketFd.get(), userTimeout);
    if (connect(socketFd.get(), target->get(), target->length) != 0 && errno != EINPROGRESS)
        return file_descriptor();
    return socketFd;
}

} // namespace hyssoppond
