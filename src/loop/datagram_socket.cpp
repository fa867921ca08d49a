/// @file Implementation of the datagram socket.
#include "hyssoppond/loop/datagram_socket_base.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <stdexcept>

namespace hyssoppond {

namespace {

/// Size of the receive buffer. A larger datagram is truncated, but this program sends 16 KB at
/// most.
constexpr std::size_t MaxDatagramBytes = 16'384;

/// Returns nothing if `host` is no IPv4 address.
std::optional<sockaddr_in> socketAddress(const std::string &host, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1)
        return std::nullopt;
    return address;
}

/// Datagrams read before the other descriptors of the loop are served. The loop reports the rest
/// again, so that a flood of datagrams delays the others only this long.
constexpr int MaxDatagramsPerEvent = 64;

} // namespace

datagram_socket::datagram_socket(event_loop *loop, const std::string &host, std::uint16_t port,
                                 std::function<void(const std::string &)> handler)
    : m_loop(loop)
    , m_socket(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    , m_handler(std::move(handler))
{
    const auto address = socketAddress(host, port);
    if (m_socket < 0 || !address
        || bind(m_socket, reinterpret_cast<const sockaddr *>(&*address), sizeof *address) != 0) {
        if (m_socket >= 0)
            close(m_socket);
        throw std::runtime_error("cannot bind UDP " + host + ":" + std::to_string(port)
                                 + "; choose a free IPv4 address");
    }
    loop->watch(m_socket, EPOLLIN, [this](std::uint32_t) { receive(); });
}

datagram_socket::~datagram_socket()
{
    m_loop->unwatch(m_socket);
    close(m_socket);
}

bool datagram_socket::send(const std::string &host, std::uint16_t port,
                           const std::string &content) const
{
    const auto address = socketAddress(host, port);
    return address
        && sendto(m_socket, content.data(), content.size(), MSG_NOSIGNAL,
                  reinterpret_cast<const sockaddr *>(&*address), sizeof *address)
        == static_cast<ssize_t>(content.size());
}

void datagram_socket::receive()
{
    std::array<char, MaxDatagramBytes> buffer;
    for (int i = 0; i < MaxDatagramsPerEvent; ++i) {
        const ssize_t size = recv(m_socket, buffer.data(), buffer.size(), 0);
        if (size < 0)
            return;
        if (size > 0)
            m_handler(std::string(buffer.data(), static_cast<std::size_t>(size)));
    }
}

} // namespace hyssoppond
