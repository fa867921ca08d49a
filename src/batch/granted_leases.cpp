/// @file Implementation of the granted leases.
#include "hyssoppond/batch/granted_leases_base.h"
#include "hyssoppond/batch/lease_rule_func.h"

#include <algorithm>

namespace hyssoppond::batch {

granted_leases::granted_leases(std::int64_t longestMs)
    : m_longestLease(longestLeaseDuration(longestMs))
{ }

std::uint64_t granted_leases::noteSent(std::uint64_t token, absl::Time now, std::int64_t leaseMs,
                                       effect kind)
{
    dropOldOrders(now);
    m_orders.push_back({++m_lastNumber, token, now, longestLeaseDuration(leaseMs), kind});
    return m_lastNumber;
}

void granted_leases::noteAnswered(std::uint64_t number)
{
    const auto found = std::find_if(m_orders.begin(), m_orders.end(),
                                    [number](const auto &order) { return order.number == number; });
    if (found == m_orders.end())
        return;
    m_settledEnd = std::max(m_settledEnd, found->sentAt + found->lease);
    m_orders.erase(found);
}

void granted_leases::noteAccepted(std::uint64_t token, absl::Time now)
{
    const std::size_t voided
        = std::erase_if(m_orders, [token](const sent_order &order) { return order.token < token; });
    // What the void orders did, they have done by now.
    if (voided != 0 || m_settledEnd == absl::InfiniteFuture())
        m_settledEnd = now + m_longestLease;
}

void granted_leases::dropOldOrders(absl::Time now)
{
    std::erase_if(m_orders, [this, now](const sent_order &order) {
        const bool over = order.sentAt + LongestOrderDelay < now;
        if (over)
            m_settledEnd = std::max(m_settledEnd, order.sentAt + LongestOrderDelay + order.lease);
        return over;
    });
}

bool granted_leases::hasUnansweredStart() const
{
    return std::any_of(m_orders.begin(), m_orders.end(),
                       [](const sent_order &order) { return order.kind == effect::Starts; });
}

absl::Time granted_leases::latestEndOf(const std::vector<sent_order> &orders) const
{
    // Whatever was granted up to the last start may extend the lease of its run.
    const auto lastStart
        = std::find_if(orders.rbegin(), orders.rend(), [](const sent_order &order) {
              return order.kind == effect::Starts;
          }).base();
    absl::Time end = m_settledEnd;
    for (auto order = orders.begin(); order != lastStart; ++order)
        end = std::max(end, order->sentAt + LongestOrderDelay + order->lease);
    for (auto order = lastStart; order != orders.end(); ++order)
        end = std::max(end, std::min(order->sentAt + LongestOrderDelay, end) + order->lease);
    return end;
}

std::int64_t granted_leases::longestUntil(absl::Time bound, absl::Time now, effect kind) const
{
    std::vector<sent_order> orders = m_orders;
    orders.push_back({0, 0, now, absl::ZeroDuration(), kind});
    const absl::Time others = latestEndOf(orders);
    if (others > bound)
        return -1;
    const absl::Time executedAt = kind == effect::Starts
        ? now + LongestOrderDelay
        : std::min(now + LongestOrderDelay, others);
    return leaseMsWithin(bound - executedAt);
}

} // namespace hyssoppond::batch
