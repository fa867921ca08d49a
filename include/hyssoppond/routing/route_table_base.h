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
    /// The entry leaves its own zone when the endpoints there use this share of their limits.
    double zoneLimit = 0.75;
    std::uint32_t failuresToEject = 3; ///< in a row
    double slowFactor = 5;             ///< ejects at this multiple of the median latency
    std::uint32_t samplesToJudge = 20; ///< latencies before an endpoint can count as slow
    double maxEjected = 1.0 / 3;       ///< share of the endpoints
    absl::Duration firstEjection = absl::Seconds(5);
    absl::Duration longestEjection = absl::Minutes(1); ///< doubles up to this
};

/// What an attempt showed about its endpoint.
struct attempt_sample
{
    enum class outcome : std::uint8_t { Succeeded, Failed, Refused, Cancelled };
    outcome what = outcome::Succeeded;
    absl::Duration latency;
    bool waited = false; ///< the call waited for a slot of the runner
};

/// Route table of one entry.
class route_table
{
public:
    route_table(route_settings settings, environment env)
        : m_settings(std::move(settings))
        , m_env(std::move(env))
    { }

    /// Adds or replaces an endpoint. A higher incarnation resets what is known about it; a lower
    /// one is ignored. Returns whether an earlier incarnation was replaced.
    bool setEndpoint(const endpoint &what, bool leaving);
    void removeEndpoint(const process_id &agent);
    /// Endpoint of an agent, or null.
    const endpoint *find(const process_id &agent) const;
    bool isLeaving(const process_id &agent) const;

    /// The better of two random endpoints with room, own zone first. None if there is no room.
    /// Endpoints in `avoid` are taken only if no other exists.
    std::optional<process_id> choose(const std::set<process_id> &avoid);
    /// Whether choose() would find an endpoint.
    bool hasRoom() const;
    /// Whether any endpoint is known that is not leaving.
    bool hasEndpoint() const;

    void begin(const process_id &agent);
    void end(const process_id &agent, const attempt_sample &sample);

    std::size_t ejected() const;
    double limit(const process_id &agent) const;

private:
    struct route
    {
        endpoint where;
        bool leaving = false;
        std::uint32_t inFlight = 0;
        double limit = 0;      ///< adaptive, 1 to the number of slots
        double latency = 0.01; ///< seconds, moving mean
        double failures = 0;   ///< moving share of failed attempts
        std::uint32_t samples = 0;
        std::uint32_t failuresInRow = 0;
        std::uint32_t ejections = 0;
        bool probation = false; ///< one attempt at a time until one succeeds
        absl::Time ejectedUntil = absl::InfinitePast();
        absl::Time limitCutAt = absl::InfinitePast();
    };

    bool isUsable(const route &one) const;
    bool hasRoom(const route &one) const;
    static double cost(const route &one);
    void adapt(route &one, const attempt_sample &sample) const;
    void judge(route &one, const attempt_sample &sample);
    void eject(route &one);
    bool isSlow(const route &one) const;

    route_settings m_settings;
    environment m_env;
    std::map<process_id, route> m_routes;
};

} // namespace hyssoppond
