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

std::optional<socket_address> toSocketAddress(const address &what)
{
    socket_address result;
    auto *v4 = reinterpret_cast<sockaddr_in *>(&result.storage);
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&result.storage);
    if (inet_pton(AF_INET, what.host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(what.port);
        result.length = sizeof(*v4);
        return result;
    }
    if (inet_pton(AF_INET6, what.host.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(what.port);
        result.length = sizeof(*v6);
        return result;
    }
    return std::nullopt;
}

result<file_descriptor> openBound(const address &where, int type)
{
    const std::string text = where.host + " port " + std::to_string(where.port);
    const auto target = toSocketAddress(where);
    if (!target)
        return fail(reason::InvalidArgument,
                    "listen address " + text + " is not numeric; give an IPv4 or IPv6 address");
    file_descriptor socketFd(
        ::socket(target->storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    if (type == SOCK_STREAM) // a restarted process must get its port back at once
        setsockopt(socketFd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (!socketFd.isOpen() || bind(socketFd.get(), target->get(), target->length) != 0
        || (type == SOCK_STREAM && listen(socketFd.get(), SOMAXCONN) != 0))
        return fail(reason::InvalidArgument,
                    "cannot listen at " + text + ": " + std::strerror(errno)
                        + "; choose a free port of this machine");
    return socketFd;
}

std::uint16_t boundPort(const file_descriptor &socket)
{
    socket_address own;
    own.length = sizeof(own.storage);
    if (getsockname(socket.get(), reinterpret_cast<sockaddr *>(&own.storage), &own.length) != 0)
        return 0;
    // The port is at the same place in both families.
    return ntohs(reinterpret_cast<const sockaddr_in *>(&own.storage)->sin_port);
}

void setConnectionOptions(int fd, absl::Duration userTimeout)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto millis = static_cast<unsigned>(absl::ToInt64Milliseconds(userTimeout));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof(millis));
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
