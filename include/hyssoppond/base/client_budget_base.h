/// @file Budget of one process for the bytes that its clients make it hold.
#pragma once

#include "hyssoppond/base/name_table_type.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hyssoppond {

/// Parts of a process that hold bytes for clients.
enum class client_listener : std::uint8_t {
    Front,     ///< callers at the platform
    Readiness, ///< checks of the load balancer
    Control,   ///< the worker of an agent
    Metrics,
    Rpc,   ///< native rpc interface
    Peers, ///< other processes of the system
};

inline constexpr std::size_t ClientListenerCount = 6;

/// Names of the listeners, as in counters and logs.
inline constexpr name_table<client_listener, ClientListenerCount> ClientListenerNames {
    {"front", "readiness", "control", "metrics", "rpc", "peers"}};

/// Limits of a budget.
enum class budget_limit : std::uint8_t {
    Total,    ///< bytes of all listeners, without the unused reserves of the others
    Listener, ///< bytes of one listener
    Address,  ///< bytes of one source address at one listener
};

inline constexpr name_table<budget_limit, 3> BudgetLimitNames {{"total", "listener", "address"}};

/// Share of one listener, in bytes.
struct listener_share
{
    std::size_t reserved = 0;   ///< that other listeners cannot take
    std::size_t largest = 0;    ///< that all clients of the listener may take
    std::size_t perAddress = 0; ///< that one source address may take
};

struct budget_limits
{
    std::size_t totalBytes = 0;
    std::array<listener_share, ClientListenerCount> shares;

    listener_share &of(client_listener listener)
    {
        return shares[static_cast<std::size_t>(listener)];
    }
    const listener_share &of(client_listener listener) const
    {
        return shares[static_cast<std::size_t>(listener)];
    }
};

/// Limits of a process that may use `memoryMb` MB: a quarter of it, at most 64 MB, for clients.
budget_limits budgetLimitsFor(std::size_t memoryMb);

/// Limit of client connections of a listener that wants `wanted`, in a process that may open
/// `descriptors` files: at most half of them, so that the store and the peers stay reachable.
unsigned connectionLimitFor(std::size_t descriptors, unsigned wanted);

/// Accounts for the bytes that clients make the process hold. Thread-safe.
class client_budget
{
public:
    explicit client_budget(const budget_limits &limits);

    /// The limit that reserve() of `bytes` would exceed, if any.
    std::optional<budget_limit> exceededBy(client_listener listener, std::string_view address,
                                           std::size_t bytes) const;
    /// Takes `bytes` for a client. Returns false and takes nothing if a limit would be exceeded.
    bool reserve(client_listener listener, std::string_view address, std::size_t bytes);
    /// Takes `bytes` although limits may be exceeded, for what the process holds anyway.
    void charge(client_listener listener, std::string_view address, std::size_t bytes);
    /// Gives back `bytes` taken by reserve() or charge().
    void release(client_listener listener, std::string_view address, std::size_t bytes);

    std::size_t used() const;
    std::size_t used(client_listener listener) const;
    const budget_limits &limits() const { return m_limits; }

    /// Called after each reserve() that returned false, without a lock held. Set it before the
    /// budget is used by several threads.
    std::function<void(client_listener, std::string_view address, budget_limit)> onRefused;

private:
    using holder = std::pair<client_listener, std::string>;

    std::optional<budget_limit> exceeded(client_listener listener, std::string_view address,
                                         std::size_t bytes) const
        ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    void add(client_listener listener, std::string_view address, std::size_t bytes)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// Unused reserves of all listeners but `listener`.
    std::size_t reservedForOthers(client_listener listener) const
        ABSL_SHARED_LOCKS_REQUIRED(m_mutex);

    const budget_limits m_limits;
    mutable absl::Mutex m_mutex;
    std::size_t m_used ABSL_GUARDED_BY(m_mutex) = 0;
    std::array<std::size_t, ClientListenerCount> m_usedBy ABSL_GUARDED_BY(m_mutex) = {};
    /// Only addresses that hold something, so that it cannot grow with the number of clients.
    absl::flat_hash_map<holder, std::size_t> m_usedByAddress ABSL_GUARDED_BY(m_mutex);
};

/// Bytes that one client holds, which are given back at the end of its lifetime. Not thread-safe.
class client_charge
{
public:
    client_charge(client_budget *budget, client_listener listener, std::string address)
        : m_budget(budget)
        , m_listener(listener)
        , m_address(std::move(address))
    { }
    ~client_charge() { shrinkTo(0); }
    client_charge(const client_charge &) = delete;
    client_charge &operator=(const client_charge &) = delete;

    /// Raises the charge to at least `bytes`. Returns false and changes nothing if the budget is
    /// short. Without a budget it always succeeds.
    bool growTo(std::size_t bytes);
    /// As growTo(), but does so also if the budget is short.
    void forceTo(std::size_t bytes);
    /// Lowers the charge to at most `bytes`.
    void shrinkTo(std::size_t bytes);

    std::size_t bytes() const { return m_bytes; }
    const std::string &address() const { return m_address; }

private:
    client_budget *m_budget;
    client_listener m_listener;
    std::string m_address;
    std::size_t m_bytes = 0;
};

} // namespace hyssoppond
