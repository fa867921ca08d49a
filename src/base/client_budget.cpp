/// @file Implementation of the budget for bytes of clients.
#include "hyssoppond/base/client_budget_base.h"

#include <algorithm>

namespace hyssoppond {

namespace {

constexpr std::size_t Megabyte = 1'048'576;

/// Largest budget. It holds some 200 of the largest legal bodies at once; more memory serves the
/// process's own state better.
constexpr std::size_t MaxBudgetBytes = 64 * Megabyte;
/// Smallest budget, for one heartbeat of 4 MiB and a few connections.
constexpr std::size_t MinBudgetBytes = 6 * Megabyte;

} // namespace

budget_limits budgetLimitsFor(std::size_t memoryMb)
{
    budget_limits limits;
    const std::size_t total = std::clamp(memoryMb * Megabyte / 4, MinBudgetBytes, MaxBudgetBytes);
    limits.totalBytes = total;
    // A sixteenth serves 16 connections of the readiness port at the smallest budget.
    const std::size_t reserve = total / 16;
    const std::size_t most = total / 4 * 3;
    // One address may be one faulty client, and the rest is kept free of it. It may also be a load
    // balancer in front of all callers, so it may take most.
    limits.of(client_listener::Front) = {0, most + reserve, most};
    limits.of(client_listener::Rpc) = {0, most + reserve, most};
    limits.of(client_listener::Readiness) = {reserve, 2 * reserve, 2 * reserve};
    limits.of(client_listener::Metrics) = {reserve, 2 * reserve, 2 * reserve};
    // The one worker of an agent has one address.
    limits.of(client_listener::Control) = {0, most + reserve, most + reserve};
    limits.of(client_listener::Peers) = {reserve, most, most};
    return limits;
}

unsigned connectionLimitFor(std::size_t descriptors, unsigned wanted)
{
    return static_cast<unsigned>(std::min<std::size_t>(wanted, descriptors / 2));
}

client_budget::client_budget(const budget_limits &limits)
    : m_limits(limits)
{ }

std::size_t client_budget::reservedForOthers(client_listener listener) const
{
    std::size_t reserved = 0;
    for (std::size_t i = 0; i < ClientListenerCount; ++i) {
        if (i != static_cast<std::size_t>(listener))
            reserved
                += m_limits.shares[i].reserved - std::min(m_limits.shares[i].reserved, m_usedBy[i]);
    }
    return reserved;
}

void client_budget::add(client_listener listener, std::string_view address, std::size_t bytes)
{
    m_used += bytes;
    m_usedBy[static_cast<std::size_t>(listener)] += bytes;
    m_usedByAddress[holder(listener, address)] += bytes;
}

std::optional<budget_limit> client_budget::exceeded(client_listener listener,
                                                    std::string_view address,
                                                    std::size_t bytes) const
{
    const auto exceeds = [bytes](std::size_t used, std::size_t limit) {
        return bytes > limit || used > limit - bytes;
    };
    const listener_share &share = m_limits.of(listener);
    const auto found = m_usedByAddress.find(holder(listener, address));
    if (exceeds(found == m_usedByAddress.end() ? 0 : found->second, share.perAddress))
        return budget_limit::Address;
    if (exceeds(m_usedBy[static_cast<std::size_t>(listener)], share.largest))
        return budget_limit::Listener;
    if (exceeds(m_used + reservedForOthers(listener), m_limits.totalBytes))
        return budget_limit::Total;
    return std::nullopt;
}

std::optional<budget_limit> client_budget::exceededBy(client_listener listener,
                                                      std::string_view address,
                                                      std::size_t bytes) const
{
    const absl::MutexLock lock(&m_mutex);
    return exceeded(listener, address, bytes);
}

bool client_budget::reserve(client_listener listener, std::string_view address, std::size_t bytes)
{
    std::optional<budget_limit> limit;
    if (bytes != 0) {
        const absl::MutexLock lock(&m_mutex);
        limit = exceeded(listener, address, bytes);
        if (!limit)
            add(listener, address, bytes);
    }
    if (limit && onRefused)
        onRefused(listener, address, *limit);
    return !limit;
}

void client_budget::charge(client_listener listener, std::string_view address, std::size_t bytes)
{
    if (bytes == 0)
        return;
    const absl::MutexLock lock(&m_mutex);
    add(listener, address, bytes);
}

void client_budget::release(client_listener listener, std::string_view address, std::size_t bytes)
{
    if (bytes == 0)
        return;
    const absl::MutexLock lock(&m_mutex);
    m_used -= bytes;
    m_usedBy[static_cast<std::size_t>(listener)] -= bytes;
    const auto found = m_usedByAddress.find(holder(listener, address));
    found->second -= bytes;
    if (found->second == 0)
        m_usedByAddress.erase(found);
}

std::size_t client_budget::used() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_used;
}

std::size_t client_budget::used(client_listener listener) const
{
    const absl::MutexLock lock(&m_mutex);
    return m_usedBy[static_cast<std::size_t>(listener)];
}

bool client_charge::growTo(std::size_t bytes)
{
    if (bytes <= m_bytes)
        return true;
    if (m_budget != nullptr && !m_budget->reserve(m_listener, m_address, bytes - m_bytes))
        return false;
    m_bytes = bytes;
    return true;
}

void client_charge::forceTo(std::size_t bytes)
{
    if (bytes <= m_bytes)
        return;
    if (m_budget != nullptr)
        m_budget->charge(m_listener, m_address, bytes - m_bytes);
    m_bytes = bytes;
}

void client_charge::shrinkTo(std::size_t bytes)
{
    if (bytes >= m_bytes)
        return;
    if (m_budget != nullptr)
        m_budget->release(m_listener, m_address, m_bytes - bytes);
    m_bytes = bytes;
}

} // namespace hyssoppond
