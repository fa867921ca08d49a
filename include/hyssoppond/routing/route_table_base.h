/// @file Endpoints that serve a runner, with their load, health and limits as one entry sees them.
#pragma once

#include "hyssoppond/base/environment_type.h"
#include "hyssoppond/world/machine_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace hyssoppond {

/// Limits of a route_table.
struct route_settings
{
    zone_id zone; ///< of the entry
    /// Share (0 to 1) of their limits that the endpoints in the own zone use before the entry
    /// chooses endpoints in other zones.
    double zoneLimit = 0.75;
    std::uint32_t failuresToEject = 3; ///< failed attempts in a row
    double slowFactor = 5; ///< an endpoint above this multiple of the median latency is ejected
    std::uint32_t minLatencySamples = 20; ///< samples before an endpoint can count as slow
    double maxEjected = 1.0 / 3;          ///< share of the endpoints ejected at the same time
    absl::Duration firstEjection = absl::Seconds(5);
    absl::Duration longestEjection = absl::Minutes(1); ///< the duration doubles up to this
};

/// Outcome of an attempt, by which its endpoint is rated.
struct attempt_sample
{
    enum class outcome : std::uint8_t { Succeeded, Failed, Refused, Cancelled };
    outcome observed = outcome::Succeeded;
    absl::Duration latency; ///< from sending the attempt to its end
    bool waited = false;    ///< the call waited for a slot of the runner
};

/// Endpoints of one entry, each with its load, adaptive limit and health.
class route_table
{
public:
    route_table(route_settings settings, environment env)
        : m_settings(std::move(settings))
        , m_env(std::move(env))
    { }

    /// Adds or replaces an endpoint. A higher incarnation resets its load and health; a lower
    /// one is ignored. Returns whether an earlier incarnation was replaced.
    bool setEndpoint(const endpoint &target, bool leaving);
    void removeEndpoint(const process_id &agent);
    /// Endpoint of an agent, or null.
    const endpoint *find(const process_id &agent) const;
    /// Whether the agent is leaving or not known.
    bool isLeaving(const process_id &agent) const;

    /// Returns the one with the lower cost of two random endpoints with available capacity; nothing
    /// if no endpoint has any. Endpoints in the own zone are preferred; those in `avoid` are taken
    /// only if no other has available capacity.
    std::optional<process_id> choose(const std::set<process_id> &avoid);
    /// Whether choose() would find an endpoint.
    bool hasCapacity() const;
    /// Whether any endpoint is known that is not leaving.
    bool hasEndpoint() const;

    /// Counts an attempt as in flight on an endpoint.
    void beginAttempt(const process_id &agent);
    /// Ends an attempt in flight; adapts the limit and the health of its endpoint.
    void endAttempt(const process_id &agent, const attempt_sample &sample);

    /// Number of endpoints that are ejected now.
    std::size_t ejected() const;
    /// Attempts that may be in flight on an endpoint; 0 if it is not known.
    double limit(const process_id &agent) const;

private:
    struct route
    {
        endpoint target;
        bool leaving = false;
        std::uint32_t inFlight = 0;
        double limit = 0;          ///< attempts in flight; adapts between 1 and the number of slots
        double latency = 0.01;     ///< seconds, moving mean
        double failures = 0;       ///< moving mean of the share of failed attempts
        std::uint32_t samples = 0; ///< successful attempts since the last ejection
        std::uint32_t failuresInRow = 0;
        std::uint32_t ejections = 0; ///< number of doublings of the next ejection
        bool probation = false; ///< after an ejection: one attempt at a time until one succeeds
        absl::Time ejectedUntil = absl::InfinitePast();
        absl::Time limitCutAt = absl::InfinitePast();
    };

    bool isUsable(const route &routeState) const;
    bool hasCapacity(const route &routeState) const;
    static double cost(const route &routeState);
    void adaptLimit(route &routeState, const attempt_sample &sample) const;
    void updateHealth(route &routeState, const attempt_sample &sample);
    void eject(route &routeState);
    bool isSlow(const route &routeState) const;

    route_settings m_settings;
    environment m_env;
    std::map<process_id, route> m_routes;
};

} // namespace hyssoppond
