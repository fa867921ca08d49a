/// @file Choice, limits and ejection of endpoints.
#include "hyssoppond/routing/route_table_base.h"

#include <algorithm>
#include <vector>

namespace hyssoppond {
namespace {

constexpr double Gain = 0.1;     // weight of the newest sample in the moving means
constexpr double FirstLimit = 2; // attempts in flight before anything is known
// Growth of the limit per round of attempts that use it fully. A growth of 1 made small limits
// swing between too low and refused.
constexpr double Growth = 0.25;
constexpr double LimitCut = 0.7;      // factor on the limit after a sign of overload
constexpr double FailurePenalty = 20; // steers attempts away from failing endpoints not ejected

} // namespace

bool route_table::setEndpoint(const endpoint &what, bool leaving)
{
    const auto [it, added] = m_routes.try_emplace(what.agent);
    route &one = it->second;
    if (!added && what.incarnation < one.where.incarnation)
        return false;
    const bool replaced = !added && what.incarnation > one.where.incarnation;
    if (replaced)
        one = {};
    if (added || replaced)
        one.limit = std::min<double>(FirstLimit, what.servedRunner.slots);
    one.where = what;
    one.leaving = leaving;
    return replaced;
}

void route_table::removeEndpoint(const process_id &agent)
{
    m_routes.erase(agent);
}

const endpoint *route_table::find(const process_id &agent) const
{
    const auto it = m_routes.find(agent);
    return it == m_routes.end() ? nullptr : &it->second.where;
}

bool route_table::isLeaving(const process_id &agent) const
{
    const auto it = m_routes.find(agent);
    return it == m_routes.end() || it->second.leaving;
}

bool route_table::isUsable(const route &one) const
{
    return !one.leaving && !one.where.servedRunner.id.isEmpty() && one.ejectedUntil <= m_env.now();
}

bool route_table::hasRoom(const route &one) const
{
    return isUsable(one) && one.inFlight + 1 <= (one.probation ? 1 : one.limit)
        && one.inFlight < one.where.servedRunner.connections;
}

bool route_table::hasRoom() const
{
    return std::any_of(m_routes.begin(), m_routes.end(),
                       [this](const auto &one) { return hasRoom(one.second); });
}

bool route_table::hasEndpoint() const
{
    return std::any_of(m_routes.begin(), m_routes.end(), [](const auto &one) {
        return !one.second.leaving && !one.second.where.servedRunner.id.isEmpty();
    });
}

double route_table::cost(const route &one)
{
    return (one.inFlight + 1) / one.limit * (1 + FailurePenalty * one.failures);
}

std::optional<process_id> route_table::choose(const std::set<process_id> &avoid)
{
    std::vector<const route *> own;
    std::vector<const route *> all;
    std::vector<const route *> avoided;
    for (const auto &[agent, one] : m_routes) {
        if (!hasRoom(one))
            continue;
        if (avoid.contains(agent)) {
            avoided.push_back(&one);
            continue;
        }
        all.push_back(&one);
        const bool busy = one.inFlight + 1 > std::max(1.0, m_settings.zoneLimit * one.limit);
        if (one.where.zone == m_settings.zone && !busy && one.failures < 0.5)
            own.push_back(&one);
    }
    const auto &from = !own.empty() ? own : !all.empty() ? all : avoided;
    if (from.empty())
        return std::nullopt;
    const route *first = from[m_env.random() % from.size()];
    const route *second = from[m_env.random() % from.size()];
    return (cost(*second) < cost(*first) ? second : first)->where.agent;
}

void route_table::begin(const process_id &agent)
{
    const auto it = m_routes.find(agent);
    if (it != m_routes.end())
        ++it->second.inFlight;
}

void route_table::end(const process_id &agent, const attempt_sample &sample)
{
    const auto it = m_routes.find(agent);
    if (it == m_routes.end())
        return;
    route &one = it->second;
    adapt(one, sample);
    if (one.inFlight > 0) // an attempt on an earlier incarnation is not counted any more
        --one.inFlight;
    judge(one, sample);
}

void route_table::adapt(route &one, const attempt_sample &sample) const
{
    const absl::Time now = m_env.now();
    const bool overload = sample.what == attempt_sample::outcome::Refused || sample.waited;
    if (overload) {
        // One cut per round of attempts: those in flight saw the same overload.
        if (now < one.limitCutAt + absl::Seconds(one.latency))
            return;
        one.limitCutAt = now;
        one.limit = std::max(1.0, one.limit * LimitCut);
    } else if (sample.what == attempt_sample::outcome::Succeeded && one.inFlight + 1 > one.limit) {
        one.limit = std::min<double>(one.where.servedRunner.slots, one.limit + Growth / one.limit);
    }
}

bool route_table::isSlow(const route &one) const
{
    if (one.samples < m_settings.samplesToJudge)
        return false;
    std::vector<double> latencies;
    for (const auto &[agent, other] : m_routes) {
        if (other.samples >= m_settings.samplesToJudge)
            latencies.push_back(other.latency);
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return one.latency > m_settings.slowFactor * *middle;
}

void route_table::judge(route &one, const attempt_sample &sample)
{
    if (sample.what == attempt_sample::outcome::Cancelled
        || sample.what == attempt_sample::outcome::Refused)
        return;
    const bool failed = sample.what == attempt_sample::outcome::Failed;
    one.failures += Gain * ((failed ? 1.0 : 0.0) - one.failures);
    if (!failed) {
        one.latency += Gain * (absl::ToDoubleSeconds(sample.latency) - one.latency);
        ++one.samples;
        one.failuresInRow = 0;
        one.probation = false;
    } else {
        ++one.failuresInRow;
    }
    const bool failing
        = one.failuresInRow >= m_settings.failuresToEject || (failed && one.probation);
    if (failing || isSlow(one))
        eject(one);
    else if (!failed && one.failures < Gain)
        one.ejections = 0;
}

std::size_t route_table::ejected() const
{
    return static_cast<std::size_t>(
        std::count_if(m_routes.begin(), m_routes.end(),
                      [this](const auto &one) { return one.second.ejectedUntil > m_env.now(); }));
}

void route_table::eject(route &one)
{
    const absl::Time now = m_env.now();
    if (one.ejectedUntil > now
        || static_cast<double>(ejected() + 1)
            > m_settings.maxEjected * static_cast<double>(m_routes.size()))
        return;
    const std::uint32_t doublings = std::min<std::uint32_t>(one.ejections++, 16);
    one.ejectedUntil = now
        + std::min(m_settings.longestEjection,
                   m_settings.firstEjection * (std::int64_t {1} << doublings));
    one.probation = true;
    one.failuresInRow = 0;
    one.samples = 0;
    one.limit = 1;
}

double route_table::limit(const process_id &agent) const
{
    const auto it = m_routes.find(agent);
    return it == m_routes.end() ? 0 : it->second.limit;
}

} // namespace hyssoppond
