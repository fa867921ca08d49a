/// @file Site, load and measures of the bench figures for calls.
#pragma once

#include "faults/call_site_base.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hyssoppond::bench {

/// Network delays of a site, one way.
struct call_site_kind
{
    std::string name;
    absl::Duration betweenZones;
    absl::Duration toClient;
};

/// The two sites of docs/design.md, section 3.
inline const std::vector<call_site_kind> CallSites {
    {"burrowline", absl::Milliseconds(3), absl::Milliseconds(3)},
    {"kivu", absl::Milliseconds(5), absl::Milliseconds(1)}};

/// One arrival of a load.
struct arrival
{
    absl::Duration sinceStart; ///< since the start of the load
    std::string team;
    std::string caller;
    urgency level = urgency::Normal;
};

/// Part of a load: Poisson arrivals of one caller.
struct stream
{
    std::string team;
    std::string caller;
    urgency level = urgency::Normal;
    double share = 0; ///< of the capacity of the site
};

constexpr double MeanServiceSeconds = 0.1;
constexpr double SiteSlots = 11 * 8;
constexpr absl::Duration LoadDuration = absl::Seconds(10);

/// Arrivals of one stream. They depend on the seed and the stream only, so that a concurrent flood
/// does not change them.
std::vector<arrival> arrivalsOf(const stream &source, std::uint64_t seed);
/// Heavy-tailed service time (bounded Pareto) that depends on the seed and the call only.
absl::Duration serviceTimeOf(const std::string &call, std::uint64_t seed);

/// A call of a run and its outcome.
struct call_outcome
{
    arrival request;
    bool succeeded = false;
    absl::Duration completion; ///< seen by the client; valid if `succeeded`
};

/// Result of one run.
struct call_run_result
{
    std::vector<call_outcome> calls;
    std::uint64_t requestsSent = 0;
    absl::Duration lastNewWork = absl::ZeroDuration(); ///< from the announcement of a departure to
                                                       ///< the last call that the agent started
};

/// Runs a load through entries, agents and runners; `injectFaults` may schedule faults.
call_run_result runCalls(const call_site_kind &kind, const std::vector<stream> &load,
                         std::uint64_t seed,
                         const std::function<void(faults::call_site &)> &injectFaults = {});
/// The same load through one first-come-first-served queue with random routing and no budget.
call_run_result runBaseline(const call_site_kind &kind, const std::vector<stream> &load,
                            std::uint64_t seed);

} // namespace hyssoppond::bench
