/// @file Slopes of the gang protocol: traffic while running, time to start, several gangs per
/// worker.
#include "slope_base.h"
#include "traffic_base.h"

#include "faults/gang_site_base.h"
#include "hyssoppond/gang/gang_codec_func.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace hyssoppond::capacity {
namespace {

using report_hook = std::function<void(const point &)>;

constexpr absl::Duration SettleTime
    = absl::Seconds(20); ///< after the start, before the measurement
constexpr absl::Duration MeasuredTime = absl::Seconds(60);
constexpr std::size_t GangsOnOneWorker = 10; ///< 220,000 tasks on 21,000 workers

/// Interval and lease of the design size.
gang_options designOptions()
{
    gang_options options;
    options.interval = absl::Seconds(5);
    options.lease = absl::Seconds(15);
    return options;
}

/// Job id of the same length as in production, because it is part of each message.
std::string jobName(std::size_t number)
{
    return jobIdFor(team_id("team-100"), request_id("request-" + std::to_string(number))).str();
}

/// Traffic of each process, and messages by their type.
struct gang_traffic
{
    traffic_by_process processes;
    std::array<std::uint64_t, GangMessageNames.size()> types {};
};

/// Adds the traffic that the site sends from this call on to `counted`.
void countTraffic(faults::gang_site &site, gang_traffic &counted)
{
    site.network.setFilter(
        [&counted](const process_id &from, const process_id &to, const gang_message &transmitted) {
            const std::size_t bytes = encode(transmitted).size();
            counted.processes[from].sent.add(bytes);
            counted.processes[to].received.add(bytes);
            ++counted.types[transmitted.index()];
            return true;
        });
}

/// Runs until `gangs` gangs run; returns the time that this took.
absl::Duration runUntilStarted(faults::gang_site &site, std::size_t gangs)
{
    const absl::Time start = site.clock.now();
    while (site.starts.size() < gangs) {
        if (site.clock.now() - start > absl::Seconds(10))
            throw std::runtime_error("a gang did not start within 10 s");
        site.clock.runFor(absl::Milliseconds(1));
    }
    return site.clock.now() - start;
}

void startGang(faults::gang_site &site, const gang_placement &placement)
{
    if (const auto started = site.coordinator().start(placement); !started)
        throw std::runtime_error(started.error().message);
}

/// Reports the traffic of members and coordinator during `MeasuredTime`.
void reportRunning(faults::gang_site &site, std::size_t members, const report_hook &report)
{
    gang_traffic counted;
    site.clock.runFor(SettleTime);
    countTraffic(site, counted);
    const double cpuBefore = processorSeconds();
    site.clock.runFor(MeasuredTime);
    const double seconds = absl::ToDoubleSeconds(MeasuredTime);
    process_traffic sum;
    process_traffic busiest;
    for (std::size_t i = 0; i < members; ++i) {
        const process_traffic &member = counted.processes[site.nodes[i]->agent];
        sum.sent.messages += member.sent.messages;
        sum.sent.bytes += member.sent.bytes;
        if (member.bytes() > busiest.bytes())
            busiest = member;
    }
    const double share = 1 / (seconds * static_cast<double>(members));
    const process_traffic &coordinator = counted.processes[site.entries.back()->id];
    report({"messages_sent_per_member_per_second", members,
            static_cast<double>(sum.sent.messages) * share});
    report(
        {"bytes_sent_per_member_per_second", members, static_cast<double>(sum.sent.bytes) * share});
    report({"messages_of_busiest_member_per_second", members,
            static_cast<double>(busiest.messages()) / seconds});
    report({"bytes_of_busiest_member_per_second", members,
            static_cast<double>(busiest.bytes()) / seconds});
    report({"messages_of_coordinator_per_gang_per_second", members,
            static_cast<double>(coordinator.messages()) / seconds});
    report({"bytes_of_coordinator_per_gang_per_second", members,
            static_cast<double>(coordinator.bytes()) / seconds});
    for (std::size_t type = 0; type < counted.types.size(); ++type) {
        if (counted.types[type] > 0) {
            report({std::string(GangMessageNames[type]) + "_of_all_parties_per_member_per_second",
                    members, static_cast<double>(counted.types[type]) * share});
        }
    }
    report({"simulation_seconds_per_member_per_second", members,
            (processorSeconds() - cpuBefore) * share, true});
}

void measureSize(std::size_t members, const report_hook &report)
{
    for (const int delay : {3, 5}) {
        faults::gang_site site(1, members, designOptions());
        site.addEntry("entry-0");
        site.network.setConditions({.delay = absl::Milliseconds(delay)});
        gang_traffic counted;
        countTraffic(site, counted);
        const double heapBefore = heapBytes();
        startGang(site, site.placementOf(jobName(0), 1, members));
        const absl::Duration elapsed = runUntilStarted(site, 1);
        report({"milliseconds_to_start_at_" + std::to_string(delay) + "_ms", members,
                absl::ToDoubleMilliseconds(elapsed)});
        if (delay != 3)
            continue;
        const process_traffic &coordinator = counted.processes[site.entries.back()->id];
        report({"messages_of_coordinator_per_start", members,
                static_cast<double>(coordinator.messages())});
        report(
            {"bytes_of_coordinator_per_start", members, static_cast<double>(coordinator.bytes())});
        site.clock.runFor(absl::Seconds(1));
        report({"heap_bytes_of_all_parties_per_member", members,
                (heapBytes() - heapBefore) / static_cast<double>(members), true});
        reportRunning(site, members, report);
    }
}

/// Replaces the agent of the first node by one that has an accelerator for each of the gangs.
void addAcceleratorsToFirstNode(faults::gang_site &site)
{
    faults::site_node &node = *site.nodes.front();
    node.workers.push_back(std::make_unique<fake_worker>(&site.clock, GangsOnOneWorker));
    node.port->setWorker(node.workers.back().get());
    gang_agent_hooks hooks;
    hooks.send = [&site, self = node.agent](const process_id &to, const gang_message &transmitted) {
        site.network.send(self, to, transmitted);
    };
    constexpr accelerator_mask All = (1U << GangsOnOneWorker) - 1;
    node.process = std::make_unique<gang_member_agent>(
        node.agent, ++node.incarnation, All, node.port.get(), site.options,
        site.clock.hooks(node.timeOfDayAhead), hooks);
    site.clock.runFor(absl::Seconds(1)); // the agent reads the worker's task list
}

/// Measures a worker that holds one member of each of ten gangs of size `members`.
void measureManyGangs(std::size_t members, const report_hook &report)
{
    faults::gang_site site(1, 1 + GangsOnOneWorker * (members - 1), designOptions());
    site.addEntry("entry-0");
    addAcceleratorsToFirstNode(site);
    for (std::size_t gang = 0; gang < GangsOnOneWorker; ++gang) {
        gang_placement placement
            = site.placementOf(jobName(gang), 1, 1, 1, static_cast<accelerator_mask>(1U << gang));
        for (std::size_t i = 1; i < members; ++i) {
            const auto &node = *site.nodes[gang * (members - 1) + i];
            placement.members.push_back({{node.worker, node.agent, 0xff}, 0});
        }
        startGang(site, placement);
    }
    runUntilStarted(site, GangsOnOneWorker);
    site.clock.runFor(SettleTime);
    gang_traffic counted;
    countTraffic(site, counted);
    site.clock.runFor(MeasuredTime);
    const process_traffic &busiest = counted.processes[site.nodes.front()->agent];
    const double seconds = absl::ToDoubleSeconds(MeasuredTime);
    // The first node is the root of all ten trees and has the most traffic.
    report({"messages_of_worker_that_is_root_of_10_gangs_per_second", members,
            static_cast<double>(busiest.messages()) / seconds});
    report({"bytes_of_worker_that_is_root_of_10_gangs_per_second", members,
            static_cast<double>(busiest.bytes()) / seconds});
}

/// Measures the memory of a coordinator whose reservations have not been answered yet.
void measureCoordinator(std::size_t members, const report_hook &report)
{
    constexpr std::size_t Gangs = 100;
    faults::gang_site site(1, members, designOptions());
    gang_coordinator_hooks hooks;
    hooks.send = [](const process_id &, const gang_message &) {};
    gang_coordinator coordinator(process_id("entry-0"), site.options, site.clock.hooks(),
                                 std::move(hooks));
    const double heapBefore = heapBytes();
    for (std::size_t gang = 0; gang < Gangs; ++gang) {
        const auto placement = site.placementOf(jobName(gang), 1, members);
        if (const auto started = coordinator.start(placement); !started)
            throw std::runtime_error(started.error().message);
    }
    report(
        {"heap_bytes_of_coordinator_per_gang", members, (heapBytes() - heapBefore) / Gangs, true});
}

void measure(std::size_t /*maxSize*/, const report_hook &report)
{
    for (const std::size_t members : {2, 8, 64, 512}) {
        measureSize(members, report);
        measureCoordinator(members, report);
    }
    for (const std::size_t members : {2, 8, 22})
        measureManyGangs(members, report);
}

const part_registration Registration({"gang", measure});

} // namespace
} // namespace hyssoppond::capacity
