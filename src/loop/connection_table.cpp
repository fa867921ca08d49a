/// @file Implementation of the table of connections.
#include "connection_table.h"

#include <iterator>
#include <tuple>

namespace hyssoppond {

namespace {

/// Limit of connections closed for one request or new connection, which bounds the work that a
/// client causes.
constexpr int MaxEvictionsAtOnce = 16;

/// Requests up to this size may close idle connections, so that a crowd of these cannot shut out
/// usual jobs.
constexpr std::size_t SmallRequestBytes = 32'768;

} // namespace

bool connection_table::admit(const std::string &address, absl::Time now)
{
    const bool hasPlace = size() < m_options.maxConnections || evict("", true, nullptr, now);
    if (hasPlace && makeRoom(address, ConnectionBytes, true, nullptr, now))
        return true;
    report(http_limit::Connections, address);
    return false;
}

client_connection *connection_table::open(int descriptor, const std::string &address,
                                          absl::Time now)
{
    client_connection &connection = m_connections.emplace_back(m_options.budget, m_options.listener,
                                                               address, descriptor, now);
    connection.position = std::prev(m_connections.end());
    connection.charge.forceTo(ConnectionBytes);
    return &connection;
}

void connection_table::remove(client_connection *connection)
{
    if (connection->evicted)
        --m_evicted;
    m_connections.erase(connection->position);
}

bool connection_table::reserve(client_connection *connection, std::size_t bytes, absl::Time now)
{
    const std::size_t wanted = ConnectionBytes + bytes;
    if (wanted <= connection->charge.bytes())
        return true;
    return makeRoom(connection->charge.address(), wanted - connection->charge.bytes(),
                    bytes <= SmallRequestBytes, connection, now)
        && connection->charge.growTo(wanted);
}

void connection_table::beginRequest(client_connection *connection, absl::Time now)
{
    connection->inRequest = true;
    connection->progressAt = now;
    connection->newBytes = 0;
}

void connection_table::endRequest(client_connection *connection, absl::Time now)
{
    connection->inRequest = false;
    connection->waitsForHandler = false;
    connection->hadRequest = true;
    connection->progressAt = now;
    connection->charge.shrinkTo(ConnectionBytes);
}

void connection_table::received(client_connection *connection, std::size_t bytes, absl::Time now)
{
    connection->newBytes += bytes;
    if (connection->newBytes < MinProgressBytes)
        return;
    connection->newBytes = 0;
    connection->progressAt = now;
}

void connection_table::answer(client_connection *connection, std::size_t bytes, absl::Time now)
{
    connection->waitsForHandler = false;
    connection->progressAt = now;
    connection->charge.shrinkTo(ConnectionBytes + bytes);
    // The request has run, so its answer cannot be refused any more.
    connection->charge.forceTo(ConnectionBytes + bytes);
}

bool connection_table::evict(const std::string &address, bool idleToo,
                             const client_connection *except, absl::Time now)
{
    client_connection *victim = nullptr;
    const auto isIdle = [](const client_connection &connection) {
        return connection.hadRequest && !connection.inRequest;
    };
    const auto goesBefore = [&](const client_connection &left, const client_connection &right) {
        return std::make_tuple(isIdle(left), left.progressAt, right.charge.bytes())
            < std::make_tuple(isIdle(right), right.progressAt, left.charge.bytes());
    };
    for (client_connection &connection : m_connections) {
        if (connection.evicted || connection.waitsForHandler || &connection == except
            || now - connection.progressAt < m_options.stallTime || (!idleToo && isIdle(connection))
            || (!address.empty() && connection.charge.address() != address))
            continue;
        if (victim == nullptr || goesBefore(connection, *victim))
            victim = &connection;
    }
    if (victim == nullptr)
        return false;
    victim->evicted = true;
    ++m_evicted;
    // The daemon frees its memory when it next runs, before it reads from any other client.
    victim->charge.shrinkTo(0);
    report(http_limit::Stalled, victim->charge.address());
    close(victim->descriptor);
    return true;
}

bool connection_table::makeRoom(const std::string &address, std::size_t bytes, bool idleToo,
                                const client_connection *except, absl::Time now)
{
    if (m_options.budget == nullptr)
        return true;
    for (int evictions = 0;; ++evictions) {
        const auto exceeded = m_options.budget->exceededBy(m_options.listener, address, bytes);
        if (!exceeded)
            return true;
        // Closing connections of other addresses does not help against the limit of one address.
        const std::string among = *exceeded == budget_limit::Address ? address : std::string();
        if (evictions == MaxEvictionsAtOnce || !evict(among, idleToo, except, now))
            return false;
    }
}

} // namespace hyssoppond
