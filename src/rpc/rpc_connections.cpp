/// @file Connections of the rpc server.
#include "rpc_connections.h"

#include "hyssoppond/base/process_clock_base.h"

#include <algorithm>
#include <utility>

#include <sys/socket.h>

namespace hyssoppond {
namespace {

/// Bytes of a body that count as progress. A client that sends single bytes is as slow as one that
/// sends nothing.
constexpr std::size_t ProgressBytes = 16 * 1024;
/// First size of the buffer of a longer body.
constexpr std::size_t FirstBufferBytes = 64 * 1024;

} // namespace

rpc_connections::rpc_connections(std::size_t maxConnections, client_budget *budget,
                                 counter_registry *counters)
    : m_maxConnections(maxConnections)
    , m_budget(budget)
    , m_counters(counters)
{ }

rpc_connections::record_map::iterator rpc_connections::findWorst(bool byBytes)
{
    const auto weightOf = [byBytes](const record &each) -> std::size_t {
        if (each.isRunning || each.isClosing)
            return 0;
        return byBytes ? each.charge.bytes() : 1;
    };
    std::map<std::string_view, std::size_t> heldBy;
    for (const auto &[connection, each] : m_records)
        heldBy[each.address] += weightOf(each);
    auto worst = m_records.end();
    for (auto it = m_records.begin(); it != m_records.end(); ++it) {
        if (weightOf(it->second) == 0)
            continue;
        if (worst == m_records.end()) {
            worst = it;
            continue;
        }
        const std::size_t held = heldBy[it->second.address];
        const std::size_t heldByWorst = heldBy[worst->second.address];
        if (held > heldByWorst
            || (held == heldByWorst && it->second.progressAt < worst->second.progressAt))
            worst = it;
    }
    return worst;
}

void rpc_connections::close(record *victim, const char *cause)
{
    victim->isClosing = true;
    std::string().swap(victim->body); // an assignment would keep the buffer
    victim->charge.shrinkTo(0);
    shutdown(victim->socket, SHUT_RDWR);
    m_counters->add("rpc_connections_closed_early");
    m_log.write("connection closed for others", victim->address, cause, processNow());
}

void rpc_connections::add(MHD_Connection *connection, int socket, const std::string &address)
{
    const absl::MutexLock lock(&m_mutex);
    // An eighth of the connections stays free, because a closed connection ends only when its
    // thread has noticed, and libmicrohttpd accepts no connection at the limit.
    if (m_records.size() >= m_maxConnections - m_maxConnections / 8) {
        if (const auto worst = findWorst(false); worst != m_records.end())
            close(&worst->second, "connections");
    }
    m_records.try_emplace(connection, socket, address, m_budget, processNow());
}

void rpc_connections::remove(MHD_Connection *connection)
{
    const absl::MutexLock lock(&m_mutex);
    m_records.erase(connection);
}

bool rpc_connections::appendBody(MHD_Connection *connection, std::string_view part,
                                 std::optional<std::size_t> length)
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_records.find(connection);
    if (it == m_records.end() || it->second.isClosing)
        return false;
    record &own = it->second;
    const std::size_t size = own.body.size() + part.size();
    // The whole buffer is charged, so that the bound does not depend on how much of it the system
    // makes resident. It grows by doubling, so that the announced length alone takes nothing.
    std::size_t capacity = own.charge.bytes();
    if (size > capacity) {
        capacity = std::max(2 * capacity, FirstBufferBytes);
        if (length)
            capacity = std::min(capacity, *length);
        capacity = std::max(capacity, size);
    }
    while (!own.charge.growTo(capacity)) {
        const auto worst = findWorst(true);
        if (worst == m_records.end() || worst == it) {
            std::string().swap(own.body);
            own.charge.shrinkTo(0);
            m_log.write("body refused", own.address, "bytes", processNow());
            return false;
        }
        close(&worst->second, "bytes");
    }
    if (size > own.body.capacity())
        own.body.reserve(capacity);
    own.body.append(part);
    if (size >= own.progressBytes + ProgressBytes) {
        own.progressBytes = size;
        own.progressAt = processNow();
    }
    return true;
}

std::optional<std::string> rpc_connections::takeBody(MHD_Connection *connection)
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_records.find(connection);
    if (it == m_records.end() || it->second.isClosing)
        return std::nullopt;
    it->second.isRunning = true;
    return std::exchange(it->second.body, std::string());
}

void rpc_connections::beginAnswer(MHD_Connection *connection, std::size_t bytes)
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_records.find(connection);
    if (it == m_records.end() || it->second.isClosing)
        return;
    record &own = it->second;
    std::string().swap(own.body);
    own.charge.shrinkTo(bytes);
    if (!own.charge.growTo(bytes)) {
        if (const auto worst = findWorst(true); worst != m_records.end() && worst != it)
            close(&worst->second, "bytes");
        own.charge.forceTo(bytes);
    }
    own.isRunning = false;
    own.progressAt = processNow();
}

void rpc_connections::endRequest(MHD_Connection *connection)
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_records.find(connection);
    if (it == m_records.end())
        return;
    record &own = it->second;
    std::string().swap(own.body);
    own.charge.shrinkTo(0);
    own.isRunning = false;
    own.progressAt = processNow();
    own.progressBytes = 0;
}

} // namespace hyssoppond
