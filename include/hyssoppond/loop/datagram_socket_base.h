/// @file UDP socket that runs inside an event loop.
#pragma once

#include "hyssoppond/loop/event_loop_base.h"

#include <cstdint>
#include <functional>
#include <string>

namespace hyssoppond {

/// Sends and receives datagrams. Both are best effort: a datagram may be lost, and none waits.
class datagram_socket
{
public:
    /// Throws std::runtime_error if the address cannot be used.
    datagram_socket(event_loop *loop, const std::string &host, std::uint16_t port,
                    std::function<void(const std::string &)> received);
    ~datagram_socket();
    datagram_socket(const datagram_socket &) = delete;
    datagram_socket &operator=(const datagram_socket &) = delete;

    /// Sends `content` to HOST:PORT; false if the address is no IPv4 address or the system refuses.
    bool send(const std::string &host, std::uint16_t port, const std::string &content) const;

private:
    void receive();

    event_loop *m_loop;
    int m_socket;
    std::function<void(const std::string &)> m_received;
};

} // namespace hyssoppond
