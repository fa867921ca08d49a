/// @file Leases that an agent has granted, and how long they may last if the agent is lost.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace hyssoppond::batch {

/// Orders with leases, from their sending until they are answered or void.
///
/// An order without an answer may be carried out up to `LongestOrderDelay` after it was sent, and
/// its lease may count from then. A poll extends the lease only of what still runs. A start makes
/// its run take over every lease that the worker was granted before. The worker accepts no token
/// below the highest one that it has seen.
class granted_leases
{
public:
    /// What an order does to a worker that runs nothing.
    enum class effect : std::uint8_t {
        None,   ///< a poll
        Starts, ///< a start
    };

    /// `longestMs` is the longest lease that the worker accepts, on its clock.
    explicit granted_leases(std::int64_t longestMs);

    /// Notes an order that is sent with a lease of `leaseMs` on the worker's clock. Returns its
    /// number.
    std::uint64_t noteSent(std::uint64_t token, absl::Time now, std::int64_t leaseMs, effect kind);

    /// Notes that the order `number` was answered, so that it is not carried out any more.
    void noteAnswered(std::uint64_t number);

    /// Notes that the worker has accepted an order with `token`. It was sent before `now`.
    void noteAccepted(std::uint64_t token, absl::Time now);

    /// Whether a start has neither been answered nor become void.
    bool hasUnansweredStart() const;

    /// Longest lease, in ms on the worker's clock, that an order which is sent now with the highest
    /// token so far may carry, so that every lease has ended at `bound`, whenever the orders
    /// without an answer are carried out. None if negative.
    std::int64_t longestUntil(absl::Time bound, absl::Time now, effect kind) const;

private:
    struct sent_order
    {
        std::uint64_t number = 0;
        std::uint64_t token = 0;
        absl::Time sentAt;
        absl::Duration lease; ///< at most, as the worker's clock may be slow
        effect kind = effect::None;
    };

    /// When no lease can be in force any more, whenever `orders` are carried out.
    absl::Time latestEndOf(const std::vector<sent_order> &orders) const;
    /// Forgets the orders that cannot be carried out any more.
    void dropOldOrders(absl::Time now);

    absl::Duration m_longestLease;
    /// End of all leases by orders that are over. At first an earlier process may have granted any.
    absl::Time m_settledEnd = absl::InfiniteFuture();
    std::vector<sent_order> m_orders; ///< not answered and not void, by ascending token
    std::uint64_t m_lastNumber = 0;
};

} // namespace hyssoppond::batch
