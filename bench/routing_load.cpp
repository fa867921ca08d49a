/// @file Site and load of the bench figures for calls.
#include "routing_load_base.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

namespace hyssoppond::bench {
namespace {

constexpr absl::Duration CallDeadline = absl::Seconds(5);
constexpr absl::Duration WithinZone = absl::Microseconds(500);

std::uint64_t hashOf(const std::string &text, std::uint64_t seed)
{
    return callChecksum(text + "/" + std::to_string(seed));
}

void setDistances(faults::call_site &site, const call_site_kind &kind)
{
    for (const auto &entry : site.entries) {
        for (const auto &agent : site.agents) {
            const bool near = entry.zone == agent.where.zone;
            const link_conditions link {near ? WithinZone : kind.betweenZones};
            site.net.setConditions(entry.id, agent.where.agent, link);
            site.net.setConditions(agent.where.agent, entry.id, link);
        }
    }
}

std::vector<arrival> arrivalsOf(const std::vector<stream> &load, std::uint64_t seed)
{
    std::vector<arrival> all;
    for (const stream &source : load) {
        const auto part = arrivalsOf(source, seed);
        all.insert(all.end(), part.begin(), part.end());
    }
    std::stable_sort(all.begin(), all.end(), [](const arrival &a, const arrival &b) {
        return a.sinceStart < b.sinceStart;
    });
    return all;
}

/// Name of a call, which does not depend on the other streams of the load.
std::string nameOf(const arrival &offered)
{
    return absl::StrFormat("%s/%s/%d", offered.team, offered.caller,
                           absl::ToInt64Nanoseconds(offered.sinceStart));
}

} // namespace

std::vector<arrival> arrivalsOf(const stream &source, std::uint64_t seed)
{
    std::mt19937_64 random(hashOf(source.team + source.caller, seed));
    std::exponential_distribution<> gap(source.share * SiteSlots / MeanServiceSeconds);
    std::vector<arrival> all;
    for (double at = gap(random); at < absl::ToDoubleSeconds(LoadDuration); at += gap(random))
        all.push_back({absl::Seconds(at), source.team, source.caller, source.level});
    return all;
}

absl::Duration serviceTimeOf(const std::string &call, std::uint64_t seed)
{
    // The mean of a Pareto distribution with exponent 1.5 is 3 times its minimum. The upper bound
    // of 20 means cuts off little of it.
    const double uniform = (static_cast<double>(hashOf(call, seed) >> 11) + 1) * 0x1p-53;
    const double seconds = MeanServiceSeconds / 3 * std::pow(uniform, -1 / 1.5);
    return absl::Seconds(std::min(seconds, 20 * MeanServiceSeconds));
}

call_run_result runCalls(const call_site_kind &kind, const std::vector<stream> &load,
                         std::uint64_t seed,
                         const std::function<void(faults::call_site &)> &injectFaults)
{
    faults::site_options options;
    options.entries = 4;
    options.agents = 11;
    options.zones = 4;
    faults::call_site site(seed, options);
    setDistances(site, kind);
    for (auto &agent : site.agents) {
        agent.runner->serviceTime
            = [seed](const runner_call &call) { return serviceTimeOf(call.payload, seed); };
    }
    const absl::Time start = site.clock.now();
    const std::vector<arrival> arrivals = arrivalsOf(load, seed);
    for (const arrival &offered : arrivals) {
        const std::string name = nameOf(offered);
        call_submission call {{team_id(offered.team), request_id(name)},
                              caller_id(offered.caller),
                              offered.level,
                              true,
                              "",
                              start + offered.sinceStart + CallDeadline,
                              name};
        // The load balancer spreads calls evenly over the entries.
        const std::size_t entry = hashOf(name, seed + 1) % site.entries.size();
        site.clock.at(start + offered.sinceStart,
                      [&site, entry, call] { site.submit(entry, call); });
    }
    if (injectFaults)
        injectFaults(site);
    site.clock.runFor(LoadDuration + CallDeadline + absl::Seconds(1));
    call_run_result result;
    for (std::size_t i = 0; i < site.submissions.size(); ++i) {
        const auto &record = site.submissions[i];
        const bool succeeded = !record.answers.empty() && record.answers[0].has_value();
        result.calls.push_back(
            {arrivals[i], succeeded, record.answeredAt - record.at + 2 * kind.toClient});
    }
    for (const auto &entry : site.entries)
        result.requestsSent += entry.router->requestsSent();
    for (const auto &agent : site.agents) {
        if (agent.announcedAt && !agent.runner->runs().empty()) {
            result.lastNewWork = std::max(result.lastNewWork,
                                          agent.runner->runs().back().from - *agent.announcedAt);
        }
    }
    return result;
}

call_run_result runBaseline(const call_site_kind &kind, const std::vector<stream> &load,
                            std::uint64_t seed)
{
    virtual_clock clock(seed);
    const absl::Time start = clock.now();
    call_run_result result;
    std::deque<std::size_t> queue;
    auto busy = static_cast<std::size_t>(0);
    for (const arrival &offered : arrivalsOf(load, seed))
        result.calls.push_back({offered, false, {}});
    std::function<void()> startNext = [&] {
        while (busy < static_cast<std::size_t>(SiteSlots) && !queue.empty()) {
            call_outcome &call = result.calls[queue.front()];
            queue.pop_front();
            if (clock.now() >= start + call.request.sinceStart + CallDeadline)
                continue;
            ++busy;
            // With 4 zones, a random runner is in the zone of the entry with probability 0.25.
            const absl::Duration distance = clock.uniform() < 0.25 ? WithinZone : kind.betweenZones;
            clock.after(serviceTimeOf(nameOf(call.request), seed) + 2 * distance, [&] {
                --busy;
                call.succeeded = clock.now() < start + call.request.sinceStart + CallDeadline;
                call.completion = clock.now() - start - call.request.sinceStart + 2 * kind.toClient;
                startNext();
            });
        }
    };
    for (std::size_t i = 0; i < result.calls.size(); ++i) {
        clock.at(start + result.calls[i].request.sinceStart, [&, i] {
            queue.push_back(i);
            startNext();
        });
    }
    result.requestsSent = result.calls.size();
    clock.runFor(LoadDuration + CallDeadline + absl::Seconds(1));
    return result;
}

} // namespace hyssoppond::bench
