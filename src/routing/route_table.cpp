/// @file Choice of endpoints, their adaptive limits and their ejection.
#include "hyssoppond/routing/route_table_base.h"

#include <algorithm>
#include <vector>

namespace hyssoppond {
namespace {

constexpr double MeanGain = 0.1;   // weight of the newest sample in the moving means
constexpr double InitialLimit = 2; // attempts in flight on a new endpoint
// Growth of the limit, in attempts per round of attempts that use it fully. A growth of 1 made
// small limits oscillate between too low and so high that the agent refused attempts.
constexpr double LimitGrowth = 0.25;
constexpr double LimitCut = 0.7; // factor applied to the limit after a sign of overload
constexpr double FailurePenalty
    = 20; // per share of failures; avoids failing endpoints that are not ejected

} // namespace

bool route_table::setEndpoint(const endpoint &target, bool leaving)
{
    const auto [it, added] = m_routes.try_emplace(target.agent);
    route &routeState = it->second;
    if (!added && target.incarnation < routeState.target.incarnation)
        return false;
    const bool replaced = !added && target.incarnation > routeState.target.incarnation;
    if (replaced)
        routeState = {};
    if (added || replaced)
        routeState.limit = std::min<double>(InitialLimit, target.servedRunner.slots);
    routeState.target = target;
    routeState.leaving = leaving;
    return replaced;
}

void route_table::removeEndpoint(const process_id &agent)
{
    m_routes.erase(agent);
}

const endpoint *route_table::find(const process_id &agent) const
{
    const auto it = m_routes.find(agent);
    return it == m_routes.end() ? nullptr : &it->second.target;
}

bool route_table::isLeaving(const process_id &agent) const
{
    const auto it = m_routes.find(agent);
    return it == m_routes.end() || it->second.leaving;
}

bool route_table::isUsable(const route &routeState) const
{
    return !routeState.leaving && !routeState.target.servedRunner.id.isEmpty()
        && routeState.ejectedUntil <= m_env.now();
}

bool route_table::hasCapacity(const route &routeState) const
{
    return isUsable(routeState)
        && routeState.inFlight + 1 <= (routeState.probation ? 1 : routeState.limit)
        && routeState.inFlight < routeState.target.servedRunner.connections;
}

bool route_table::hasCapacity() const
{
    return std::any_of(m_routes.begin(), m_routes.end(),
                       [this](const auto &item) { return hasCapacity(item.second); });
}

bool route_table::hasEndpoint() const
{
    return std::any_of(m_routes.begin(), m_routes.end(), [](const auto &item) {
        return !item.second.leaving && !item.second.target.servedRunner.id.isEmpty();
    });
}

double route_table::cost(const route &routeState)
{
    return (routeState.inFlight + 1) / routeState.limit
        * (1 + FailurePenalty * routeState.failures);
}

std::optional<process_id> route_table::choose(const std::set<process_id> &avoid)
{
    std::vector<const route *> own;
    std::vector<const route *> all;
    std::vector<const route *> avoided;
    for (const auto &[agent, routeState] : m_routes) {
        if (!hasCapacity(routeState))
            continue;
        if (avoid.contains(agent)) {
            avoided.push_back(&routeState);
            continue;
        }
        all.push_back(&routeState);
        const bool busy
            = routeState.inFlight + 1 > std::max(1.0, m_settings.zoneLimit * routeState.limit);
        if (routeState.target.zone == m_settings.zone && !busy && routeState.failures < 0.5)
            own.push_back(&routeState);
    }
    const auto &from = !own.empty() ? own : !all.empty() ? all : avoided;
    if (from.empty())
        return std::nullopt;
    const route *first = from[m_env.random() % from.size()];
    const route *second = from[m_env.random() % from.size()];
    return (cost(*second) < cost(*first) ? second : first)->target.agent;
}

void route_table::beginAttempt(const process_id &agent)
{
    const auto it = m_routes.find(agent);
    if (it != m_routes.end())
        ++it->second.inFlight;
}

void route_table::endAttempt(const process_id &agent, const attempt_sample &sample)
{
    const auto it = m_routes.find(agent);
    if (it == m_routes.end())
        return;
    route &routeState = it->second;
    adaptLimit(routeState, sample);
    if (routeState.inFlight > 0) // attempts on an earlier incarnation are no longer counted
        --routeState.inFlight;
    updateHealth(routeState, sample);
}

void route_table::adaptLimit(route &routeState, const attempt_sample &sample) const
{
    const absl::Time now = m_env.now();
    const bool overload = sample.observed == attempt_sample::outcome::Refused || sample.waited;
    if (overload) {
        // The limit is cut once per round of attempts, because the attempts in flight met the same
        // overload.
        if (now < routeState.limitCutAt + absl::Seconds(routeState.latency))
            return;
        routeState.limitCutAt = now;
        routeState.limit = std::max(1.0, routeState.limit * LimitCut);
    } else if (sample.observed == attempt_sample::outcome::Succeeded
               && routeState.inFlight + 1 > routeState.limit) {
        routeState.limit = std::min<double>(routeState.target.servedRunner.slots,
                                            routeState.limit + LimitGrowth / routeState.limit);
    }
}

bool route_table::isSlow(const route &routeState) const
{
    if (routeState.samples < m_settings.minLatencySamples)
        return false;
    std::vector<double> latencies;
    for (const auto &[agent, other] : m_routes) {
        if (other.samples >= m_settings.minLatencySamples)
            latencies.push_back(other.latency);
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return routeState.latency > m_settings.slowFactor * *middle;
}

void route_table::updateHealth(route &routeState, const attempt_sample &sample)
{
    if (sample.observed == attempt_sample::outcome::Cancelled
        || sample.observed == attempt_sample::outcome::Refused)
        return;
    const bool failed = sample.observed == attempt_sample::outcome::Failed;
    routeState.failures += MeanGain * ((failed ? 1.0 : 0.0) - routeState.failures);
    if (!failed) {
        routeState.latency
            += MeanGain * (absl::ToDoubleSeconds(sample.latency) - routeState.latency);
        ++routeState.samples;
        routeState.failuresInRow = 0;
        routeState.probation = false;
    } else {
        ++routeState.failuresInRow;
    }
    const bool failing = routeState.failuresInRow >= m_settings.failuresToEject
        || (failed && routeState.probation);
    if (failing || isSlow(routeState))
        eject(routeState);
    else if (!failed && routeState.failures < MeanGain)
        routeState.ejections = 0;
}

std::size_t route_table::ejected() const
{
    return static_cast<std::size_t>(
        std::count_if(m_routes.begin(), m_routes.end(),
                      [this](const auto &item) { return item.second.ejectedUntil > m_env.now(); }));
}

void route_table::eject(route &routeState)
{
    const absl::Time now = m_env.now();
    if (routeState.ejectedUntil > now
        || static_cast<double>(ejected() + 1)
            > m_settings.maxEjected * static_cast<double>(m_routes.size()))
        return;
    const std::uint32_t doublings = std::min<std::uint32_t>(routeState.ejections++, 16);
    routeState.ejectedUntil = now
        + std::min(m_settings.longestEjection,
                   m_settings.firstEjection * (std::int64_t {1} << doublings));
    routeState.probation = true;
    routeState.failuresInRow = 0;
    routeState.samples = 0;
    routeState.limit = 1;
}

double route_table::limit(const process_id &agent) const
{
    const auto it = m_routes.find(agent);
    return it == m_routes.end() ? 0 : it->second.limit;
}

} // namespace hyssoppond
