/// @file Slopes of the membership: traffic, simulation time, memory, detection and churn.
#include "slope_base.h"

#include "hyssoppond/fakes/fake_members_base.h"

#include <absl/time/clock.h>

#include <algorithm>

namespace hyssoppond::capacity {
namespace {

constexpr std::size_t Zones = 15;
constexpr std::size_t MaxEntries = 30;
// Churn of the design size: 350 failures and 3,700 restarts a day at 21,000 workers.
constexpr double RestartsPerDay = 4050;
constexpr double DesignSize = 21000;
// Messages are encoded and decoded up to this size, so that the simulation time includes the codec.
constexpr std::size_t MaxSizeWithCodec = 100;

using report_hook = std::function<void(const point &)>;

/// Traffic and time of one span.
struct span_cost
{
    membership_traffic local;
    membership_traffic remote;
    absl::Duration wallTime; ///< wall-clock time of the simulation, including the fake network
};

/// A running site of one size.
class sized_site
{
public:
    explicit sized_site(std::size_t size)
        : m_members(1)
        , m_size(size)
    {
        const std::size_t entries = std::min(MaxEntries, 1 + size / 10);
        m_members.useCodec = size <= MaxSizeWithCodec;
        m_members.add(entries, Zones, process_role::Entry);
        m_members.add(size - entries, Zones, process_role::Agent);
    }
    fake_members &members() { return m_members; }
    std::size_t size() const { return m_size; }

    /// Runs for `span` and returns its traffic and wall-clock time.
    span_cost runFor(absl::Duration span)
    {
        m_members.local = m_members.remote = {};
        const absl::Time start = absl::Now();
        m_members.clock.runFor(span);
        return {m_members.local, m_members.remote, absl::Now() - start};
    }
    /// Time from the kill of a node until `share` of the others see it as dead.
    absl::Duration timeToDetect(std::size_t victim, double share)
    {
        const absl::Time start = m_members.clock.now();
        m_members.kill(victim);
        m_members.runUntil([&] { return shareSeeingDead(victim) >= share; }, absl::Minutes(2));
        return m_members.clock.now() - start;
    }

private:
    double shareSeeingDead(std::size_t victim)
    {
        std::size_t dead = 0;
        for (std::size_t i = 0; i < m_size; ++i) {
            if (i != victim && m_members.seen(i, victim) == member_state::Dead)
                ++dead;
        }
        return static_cast<double>(dead) / static_cast<double>(m_size - 1);
    }

    fake_members m_members;
    std::size_t m_size;
};

/// Reports the traffic per node and second.
void reportTraffic(const std::string &phase, std::size_t size, absl::Duration span,
                   const span_cost &cost, const report_hook &report)
{
    const double share = 1 / (absl::ToDoubleSeconds(span) * static_cast<double>(size));
    const auto add = [&](const std::string &measure, std::uint64_t value) {
        report({phase + "_" + measure + "_per_node_per_second", size,
                static_cast<double>(value) * share, false});
    };
    add("messages_own_zone", cost.local.messages);
    add("messages_other_zones", cost.remote.messages);
    add("bytes_own_zone", cost.local.bytes);
    add("bytes_other_zones", cost.remote.bytes);
    report({phase + "_simulation_seconds_per_node_per_second", size,
            absl::ToDoubleSeconds(cost.wallTime) * share, true});
}

/// Restarts at the rate of the design size, scaled to this one, with at least one restart.
void measureChurn(sized_site &site, const report_hook &report)
{
    const double perSecond = RestartsPerDay / 86400 * static_cast<double>(site.size()) / DesignSize;
    // Sizes with less than one restart in the span are measured at the rate of one restart, and
    // scaled.
    const absl::Duration span = absl::Seconds(20);
    const double expected = perSecond * absl::ToDoubleSeconds(span);
    const std::size_t victim = site.size() / 2;
    const span_cost withoutRestart = site.runFor(span);
    site.members().leave(victim);
    site.members().clock.runFor(absl::Seconds(3));
    site.members().start(victim);
    const span_cost withRestart = site.runFor(span);
    const auto bytes = [](const span_cost &cost) {
        return static_cast<double>(cost.local.bytes + cost.remote.bytes);
    };
    const double perRestart = std::max(0.0, bytes(withRestart) - bytes(withoutRestart));
    report({"bytes_per_restart_of_all_nodes", site.size(), perRestart, false});
    report({"churn_bytes_per_node_per_second", site.size(),
            perRestart * expected / absl::ToDoubleSeconds(span) / static_cast<double>(site.size()),
            false});
}

void measureSize(std::size_t size, const report_hook &report)
{
    sized_site site(size);
    site.members().startAll();
    const absl::Duration startSpan = absl::Seconds(30);
    reportTraffic("start", size, startSpan, site.runFor(startSpan), report);
    std::size_t known = 0;
    for (std::size_t i = 0; i < size; ++i)
        known += site.members().at(i).running->reachableMembers();
    report({"share_of_view_known_after_start", size,
            static_cast<double>(known) / static_cast<double>(size * (size - 1)), false});
    // The gossip queues must be free of events of the common start before the steady state is
    // measured.
    site.members().clock.runFor(absl::Seconds(90));
    const absl::Duration span = absl::Seconds(20);
    reportTraffic("steady", size, span, site.runFor(span), report);
    report({"state_bytes_per_known_member", size,
            static_cast<double>(site.members().at(0).running->memoryBytes())
                / static_cast<double>(size - 1),
            false});
    measureChurn(site, report);
    report({"seconds_to_detect_kill_99_percent_of_nodes", size,
            absl::ToDoubleSeconds(site.timeToDetect(size - 1, 0.99)), false});
}

void measure(std::size_t maxSize, const report_hook &report)
{
    for (const std::size_t size : {10, 100, 1000, 3000, 10000, 21000}) {
        if (size <= maxSize)
            measureSize(size, report);
    }
}

const part_registration Registration({"membership", measure});

} // namespace
} // namespace hyssoppond::capacity
