/// @file Site, load and measures of the bench figures for calls.
#pragma once

#include "faults/call_site_base.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hyssoppond::bench {

/// Distances of a site, one way.
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
    absl::Duration at;
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
constexpr absl::Duration LoadSpan = absl::Seconds(10);

/// Arrivals of one stream; they depend on the seed and on the stream only, so that a flood beside
/// it does not change them.
std::vector<arrival> arrivalsOf(const stream &of, std::uint64_t seed);
/// Heavy-tailed service time (bounded Pareto) that depends on the seed and the call only.
absl::Duration serviceTimeOf(const std::string &call, std::uint64_t seed);

/// A call of a run and what became of it.
struct call_outcome
{
    arrival what;
    bool succeeded = false;
    absl::Duration completion; ///< as the client sees it; valid if succeeded
};

/// Result of one run.
struct call_run_result
{
    std::vector<call_outcome> calls;
    std::uint64_t requestsSent = 0;
    absl::Duration lastNewWork = absl::ZeroDuration(); ///< after a departure was announced
};

/// Runs a load through entries, agents and runners; `disturb` may schedule faults.
call_run_result runCalls(const call_site_kind &kind, const std::vector<stream> &load,
                         std::uint64_t seed,
                         const std::function<void(faults::call_site &)> &disturb = {});
/// The same load through one first-come-first-served queue with random routing and no budget.
call_run_result runBaseline(const call_site_kind &kind, const std::vector<stream> &load,
                            std::uint64_t seed);

} // namespace hyssoppond::bench
