/// @file The agent's leases and fencing tokens.
#include "hyssoppond/batch/batch_agent_base.h"
#include "hyssoppond/batch/lease_rule_func.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Low bits of a fencing token, which count the raises of the token since the record that gave the
/// high bits.
constexpr unsigned TokenStepBits = 10;
constexpr std::uint64_t LastTokenStep = (1U << TokenStepBits) - 1;

/// After this many raises the process records its session again, which gives new high bits.
constexpr std::uint64_t TokenStepsPerSession = LastTokenStep / 2;

} // namespace

std::uint64_t batch_agent::currentToken() const
{
    return ((*m_sessionOffset + 1) << TokenStepBits) + m_tokenStep;
}

void batch_agent::supersedeOrders()
{
    m_tokenStep = std::min(m_tokenStep + 1, LastTokenStep);
    if (m_tokenStep >= TokenStepsPerSession)
        recordSession();
}

void batch_agent::supersedeIfUnanswered(order_outcome outcome, std::uint64_t sentToken,
                                        bool extendsLease)
{
    if (outcome != order_outcome::NoAnswer)
        return;
    if (extendsLease) {
        m_lateOrderUntil = m_hooks.now() + LongestOrderDelay;
        hastenHeartbeat();
    }
    if (sentToken != currentToken())
        return;
    supersedeOrders();
}

void batch_agent::updateWorkerClock(const std::optional<std::int64_t> &clockMs,
                                    order_outcome outcome, std::uint64_t workerIncarnation)
{
    if (!clockMs || outcome == order_outcome::WorkerRestarted
        || workerIncarnation != m_workerIncarnation)
        return;
    m_workerClockMs = clockMs;
    m_workerClockReadAt = m_hooks.now();
    m_silentAt = absl::InfiniteFuture();
}

std::int64_t batch_agent::longestLeaseMs(granted_leases::effect kind) const
{
    // An order that extends the lease needs a next token to supersede it.
    if (!m_workerClockMs || m_evicted || m_leaving || isSilent() || m_tokenStep == LastTokenStep)
        return 0;
    const absl::Time now = m_hooks.now();
    const absl::Time currentAsOf = m_follower.currentAsOf();
    const absl::Time bound = latestAllowedEnd(m_heartbeatStoredAt, currentAsOf);
    return std::min(allowedLeaseMs(currentAsOf, now, m_options.longestLeaseMs),
                    m_grants.longestUntil(bound, now, kind));
}

std::int64_t batch_agent::workerClockMs() const
{
    return *m_workerClockMs + leaseMsWithin(m_hooks.now() - m_workerClockReadAt);
}

void batch_agent::noteGrant(std::int64_t leaseEndMs)
{
    m_grantedUntilMs = std::max(m_grantedUntilMs, leaseEndMs);
    const double leftMs = static_cast<double>(leaseEndMs - m_workerClockMs.value_or(leaseEndMs));
    m_leaseOverAt = std::max(
        m_leaseOverAt,
        m_workerClockReadAt + absl::Milliseconds(leftMs) / (1.0 - WorkerClockError) + LeaseSlack);
}

absl::Time batch_agent::lateLeaseOverAt() const
{
    const absl::Duration longestLease = absl::Milliseconds(m_options.longestLeaseMs);
    return m_lateOrderUntil + longestLease / (1.0 - WorkerClockError) + LeaseSlack;
}

void batch_agent::updateLeaseProof()
{
    if (!m_evicted)
        m_leaseProofAsOf = std::max(m_leaseProofAsOf, m_follower.currentAsOf());
}

std::string batch_agent::describeLease() const
{
    return absl::StrCat("lease until ", m_grantedUntilMs, " on its clock, which showed ",
                        m_workerClockMs.value_or(0), " ",
                        absl::FormatDuration(m_hooks.now() - m_workerClockReadAt),
                        " ago; journal read ",
                        absl::FormatDuration(m_hooks.now() - m_follower.currentAsOf()), " ago",
                        m_lateOrderUntil < m_hooks.now()
                            ? ""
                            : absl::StrCat("; an order without an answer may still extend it for ",
                                           absl::FormatDuration(m_lateOrderUntil - m_hooks.now())));
}

} // namespace hyssoppond::batch
