/// @file Connections of an HTTP server, their charges on the budget, and which is closed first.
#pragma once

#include "hyssoppond/base/client_budget_base.h"
#include "hyssoppond/loop/http_limit_type.h"

#include <absl/time/time.h>

#include <functional>
#include <list>
#include <string>

namespace hyssoppond {

/// One connection of a client.
struct client_connection
{
    client_connection(client_budget *budget, client_listener listener, std::string address,
                      int descriptor, absl::Time now)
        : charge(budget, listener, std::move(address))
        , descriptor(descriptor)
        , progressAt(now)
    { }

    client_charge charge;
    int descriptor;
    absl::Time progressAt;        ///< when the client last made progress
    std::size_t newBytes = 0;     ///< received since then
    bool hadRequest = false;      ///< at least one request was answered
    bool inRequest = false;       ///< from the end of a head to the end of its answer
    bool waitsForHandler = false; ///< the client waits for the process, not the reverse
    bool evicted = false;
    std::list<client_connection>::iterator position = {};
};

struct connection_table_options
{
    client_listener listener = client_listener::Front;
    client_budget *budget = nullptr; ///< nullptr: bytes are not limited
    std::size_t maxConnections = 1'000;
    /// A connection without progress for this long is closed if another needs its place.
    absl::Duration stallTime = absl::Seconds(2);
};

/// Keeps the connections within the limits. It closes those longest without progress, of equals the
/// one that holds most: first those that stopped in a request or before their first, then, only
/// for a new connection or a small request, those idle between two requests. Does no I/O and reads
/// no clock.
class connection_table
{
public:
    /// Bytes charged for each connection: the daemon's buffer for the head and its own state.
    static constexpr std::size_t BufferBytes = 20'480;
    static constexpr std::size_t ConnectionBytes = BufferBytes + 2'048;
    /// Fewer received bytes are no progress, so that a client that sends single bytes is stalled.
    static constexpr std::size_t MinProgressBytes = 1'024;

    explicit connection_table(const connection_table_options &options)
        : m_options(options)
    { }

    /// Closes the connection with this descriptor.
    std::function<void(int descriptor)> close;
    /// Called when a limit has an effect on a client.
    std::function<void(http_limit, const std::string &address)> onLimit;

    /// Whether a new connection from `address` may be opened. Makes room for it if needed.
    bool admit(const std::string &address, absl::Time now);
    /// Adds a connection that was admitted.
    client_connection *open(int descriptor, const std::string &address, absl::Time now);
    void remove(client_connection *connection);

    /// Reserves `bytes` beside ConnectionBytes for the current request. Returns false if the budget
    /// is short although stalled connections were closed.
    bool reserve(client_connection *connection, std::size_t bytes, absl::Time now);
    /// Notes the begin of a request.
    void beginRequest(client_connection *connection, absl::Time now);
    /// Notes the end of a request and gives its bytes back.
    void endRequest(client_connection *connection, absl::Time now);
    /// Notes `bytes` that were received.
    void received(client_connection *connection, std::size_t bytes, absl::Time now);
    /// Notes that the answer has `bytes` and that the client has to read it.
    void answer(client_connection *connection, std::size_t bytes, absl::Time now);

    void report(http_limit limit, const std::string &address) const
    {
        if (onLimit)
            onLimit(limit, address);
    }

    std::size_t size() const { return m_connections.size() - m_evicted; }

private:
    /// Closes one stalled connection; only one of `address` unless it is empty. Returns false if
    /// there is none.
    bool evict(const std::string &address, bool idleToo, const client_connection *except,
               absl::Time now);
    /// Closes stalled connections until the budget has `bytes` for `address`.
    bool makeRoom(const std::string &address, std::size_t bytes, bool idleToo,
                  const client_connection *except, absl::Time now);

    connection_table_options m_options;
    std::list<client_connection> m_connections;
    std::size_t m_evicted = 0; ///< still in m_connections, until the daemon has closed them
};

} // namespace hyssoppond
