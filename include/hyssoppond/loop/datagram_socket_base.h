/// @file UDP socket that runs inside an event loop.
#pragma once

#include "hyssoppond/loop/event_loop_base.h"

#include <cstdint>
#include <functional>
#include <string>

namespace hyssoppond {

/// Sends and receives datagrams without blocking. Delivery is best effort: datagrams may be lost.
class datagram_socket
{
public:
    /// Calls `handler` with the content of each datagram. Throws std::runtime_error if the address
    /// cannot be bound.
    datagram_socket(event_loop *loop, const std::string &host, std::uint16_t port,
                    std::function<void(const std::string &)> handler);
    ~datagram_socket();
    datagram_socket(const datagram_socket &) = delete;
    datagram_socket &operator=(const datagram_socket &) = delete;

    /// Sends `content` to HOST:PORT; returns false if the host is no IPv4 address or the system
    /// does not accept the datagram.
    bool send(const std::string &host, std::uint16_t port, const std::string &content) const;

private:
    void receive();

    event_loop *m_loop;
    int m_socket;
    std::function<void(const std::string &)> m_handler;
};

} // namespace hyssoppond
