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
    for (const stream &one : load) {
        const auto part = arrivalsOf(one, seed);
        all.insert(all.end(), part.begin(), part.end());
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const arrival &a, const arrival &b) { return a.at < b.at; });
    return all;
}

/// Name of a call that stays the same beside other streams.
std::string nameOf(const arrival &what)
{
    return absl::StrFormat("%s/%s/%d", what.team, what.caller, absl::ToInt64Nanoseconds(what.at));
}

} // namespace

std::vector<arrival> arrivalsOf(const stream &of, std::uint64_t seed)
{
    std::mt19937_64 random(hashOf(of.team + of.caller, seed));
    std::exponential_distribution<> gap(of.share * SiteSlots / MeanServiceSeconds);
    std::vector<arrival> all;
    for (double at = gap(random); at < absl::ToDoubleSeconds(LoadSpan); at += gap(random))
        all.push_back({absl::Seconds(at), of.team, of.caller, of.level});
    return all;
}

absl::Duration serviceTimeOf(const std::string &call, std::uint64_t seed)
{
    // Pareto with exponent 1.5 has the mean 3 times its minimum; the bound cuts off little of it.
    const double uniform = (static_cast<double>(hashOf(call, seed) >> 11) + 1) * 0x1p-53;
    const double seconds = MeanServiceSeconds / 3 * std::pow(uniform, -1 / 1.5);
    return absl::Seconds(std::min(seconds, 20 * MeanServiceSeconds));
}

call_run_result runCalls(const call_site_kind &kind, const std::vector<stream> &load,
                         std::uint64_t seed,
                         const std::function<void(faults::call_site &)> &disturb)
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
    for (const arrival &one : arrivals) {
        const std::string name = nameOf(one);
        call_submission call {{team_id(one.team), request_id(name)},
                              caller_id(one.caller),
                              one.level,
                              true,
                              "",
                              start + one.at + CallDeadline,
                              name};
        // The load balancer spreads calls evenly over the entries.
        const std::size_t entry = hashOf(name, seed + 1) % site.entries.size();
        site.clock.at(start + one.at, [&site, entry, call] { site.submit(entry, call); });
    }
    if (disturb)
        disturb(site);
    site.clock.runFor(LoadSpan + CallDeadline + absl::Seconds(1));
    call_run_result found;
    for (std::size_t i = 0; i < site.submissions.size(); ++i) {
        const auto &record = site.submissions[i];
        const bool succeeded = !record.answers.empty() && record.answers[0].has_value();
        found.calls.push_back(
            {arrivals[i], succeeded, record.answeredAt - record.at + 2 * kind.toClient});
    }
    for (const auto &entry : site.entries)
        found.requestsSent += entry.router->requestsSent();
    for (const auto &agent : site.agents) {
        if (agent.announcedAt && !agent.runner->runs().empty()) {
            found.lastNewWork = std::max(found.lastNewWork,
                                         agent.runner->runs().back().from - *agent.announcedAt);
        }
    }
    return found;
}

call_run_result runBaseline(const call_site_kind &kind, const std::vector<stream> &load,
                            std::uint64_t seed)
{
    virtual_clock clock(seed);
    const absl::Time start = clock.now();
    call_run_result found;
    std::deque<std::size_t> queue;
    auto busy = static_cast<std::size_t>(0);
    for (const arrival &one : arrivalsOf(load, seed))
        found.calls.push_back({one, false, {}});
    std::function<void()> startNext = [&] {
        while (busy < static_cast<std::size_t>(SiteSlots) && !queue.empty()) {
            call_outcome &call = found.calls[queue.front()];
            queue.pop_front();
            if (clock.now() >= start + call.what.at + CallDeadline)
                continue;
            ++busy;
            // A random runner is in the entry's zone in a quarter of the cases.
            const absl::Duration distance = clock.uniform() < 0.25 ? WithinZone : kind.betweenZones;
            clock.after(serviceTimeOf(nameOf(call.what), seed) + 2 * distance, [&] {
                --busy;
                call.succeeded = clock.now() < start + call.what.at + CallDeadline;
                call.completion = clock.now() - start - call.what.at + 2 * kind.toClient;
                startNext();
            });
        }
    };
    for (std::size_t i = 0; i < found.calls.size(); ++i) {
        clock.at(start + found.calls[i].what.at, [&, i] {
            queue.push_back(i);
            startNext();
        });
    }
    found.requestsSent = found.calls.size();
    clock.runFor(LoadSpan + CallDeadline + absl::Seconds(1));
    return found;
}

} // namespace hyssoppond::bench
