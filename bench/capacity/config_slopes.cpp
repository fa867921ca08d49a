/// @file Slopes of the dissemination of configuration: traffic, time until all processes have a
/// change, time to fill a new process.
#include "slope_base.h"
#include "traffic_base.h"

#include "hyssoppond/fakes/fake_network_base.h"
#include "hyssoppond/journal/config_gossip_base.h"

#include <algorithm>
#include <memory>

namespace hyssoppond::capacity {
namespace {

using report_hook = std::function<void(const point &)>;
namespace jnl = hyssoppond::journal;

constexpr std::size_t Zones = 15;
constexpr std::size_t MaxEntries = 30;
constexpr std::size_t PushedAgentsPerZone = 2; ///< the same number as in node_link
constexpr double ChangesPerDay = 16'000;
constexpr std::size_t Keys = 1'500; ///< a quota and a contract for each of 750 teams
constexpr std::size_t ValueBytes = 64;

/// Processes with the same configuration and the gossip between them.
class gossip_site
{
public:
    gossip_site(std::uint64_t seed, std::size_t size)
        : clock(seed)
        , network(&clock)
        , m_entries(std::min(MaxEntries, 1 + size / 10))
    {
        network.setFilter([this](const auto &, const auto &, const jnl::config_message &message) {
            sent.add(jnl::encode(message).size());
            return true;
        });
        for (std::size_t i = 0; i < size; ++i)
            add(true);
        clock.every(absl::Milliseconds(20), [this] {
            for (const auto &member : m_nodes) {
                if (member->gossip->nextDeadline() <= clock.now())
                    member->gossip->tick();
            }
            return true;
        });
        clock.runFor(absl::Seconds(2));
    }

    virtual_clock clock;
    fake_network<jnl::config_message> network;
    traffic sent;

    std::size_t size() const { return m_nodes.size(); }

    /// Adds a process, with the configuration of the others if `filled`, otherwise without any.
    void add(bool filled)
    {
        auto added = std::make_unique<node>();
        added->id = process_id("process-" + std::to_string(m_nodes.size()));
        for (std::size_t key = 0; filled && key < Keys; ++key)
            added->store.merge(itemOf(key, key + 1));
        jnl::gossip_hooks hooks;
        hooks.send = [this, self = added->id](const process_id &to, const auto &message) {
            network.send(self, to, message);
        };
        hooks.randomPeers
            = [this, self = m_nodes.size()](std::size_t count) { return randomPeers(self, count); };
        hooks.pushPeers = [this] { return pushPeers(); };
        added->gossip
            = std::make_unique<jnl::config_gossip>(clock.hooks(), &added->store, std::move(hooks));
        network.attach(added->id,
                       [gossip = added->gossip.get()](const auto &from, const auto &message) {
                           gossip->receive(from, message);
                       });
        m_nodes.push_back(std::move(added));
    }

    /// Publishes a change at one entry. `logReachable`: the other entries read it within 200 ms,
    /// their poll interval.
    journal_offset publish(bool logReachable)
    {
        const jnl::config_item item = itemOf(m_version % Keys, m_version + 1);
        ++m_version;
        m_nodes.front()->gossip->publish(item, true);
        for (std::size_t i = 1; logReachable && i < m_entries; ++i) {
            clock.after(absl::Milliseconds(200) * clock.uniform(),
                        [this, i, item] { m_nodes[i]->gossip->publish(item, false); });
        }
        return item.version;
    }

    bool allHave(journal_offset version) const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(),
                           [&](const auto &member) { return member->store.highest() >= version; });
    }
    bool isFilled(std::size_t index) const
    {
        return m_nodes[index]->store.hash() == m_nodes.front()->store.hash();
    }

private:
    struct node
    {
        process_id id;
        jnl::config_store store;
        std::unique_ptr<jnl::config_gossip> gossip;
    };

    jnl::config_item itemOf(std::size_t key, journal_offset version) const
    {
        return {"contract/team-" + std::to_string(key) + "/training", std::string(ValueBytes, 'v'),
                version, clock.now()};
    }
    std::vector<process_id> randomPeers(std::size_t self, std::size_t count)
    {
        std::vector<process_id> chosen;
        while (chosen.size() < std::min(count, m_nodes.size() - 1)) {
            const std::size_t peer = clock.random() % m_nodes.size();
            if (peer != self
                && std::find(chosen.begin(), chosen.end(), m_nodes[peer]->id) == chosen.end())
                chosen.push_back(m_nodes[peer]->id);
        }
        return chosen;
    }
    std::vector<process_id> pushPeers() const
    {
        std::vector<process_id> chosen;
        const std::size_t pushed = m_entries + Zones * PushedAgentsPerZone;
        for (std::size_t i = 1; i < std::min(pushed, m_nodes.size()); ++i)
            chosen.push_back(m_nodes[i]->id);
        return chosen;
    }

    std::size_t m_entries;
    std::vector<std::unique_ptr<node>> m_nodes;
    journal_offset m_version = Keys;
};

void measureTraffic(std::size_t size, double changesPerDay, const std::string &phase,
                    const report_hook &report)
{
    gossip_site site(1, size);
    const absl::Duration span = absl::Seconds(60);
    if (changesPerDay > 0) {
        site.clock.every(absl::Seconds(86400 / changesPerDay), [&site] {
            site.publish(true);
            return true;
        });
    }
    site.sent = {};
    const double cpuBefore = processorSeconds();
    site.clock.runFor(span);
    const double share = 1 / (absl::ToDoubleSeconds(span) * static_cast<double>(size));
    report({phase + "_messages_per_node_per_second", size,
            static_cast<double>(site.sent.messages) * share});
    report(
        {phase + "_bytes_per_node_per_second", size, static_cast<double>(site.sent.bytes) * share});
    report({phase + "_simulation_seconds_per_node_per_second", size,
            (processorSeconds() - cpuBefore) * share, true});
}

/// Longest time over the seeds until all processes have a change that only the publisher read from
/// the log.
void measureTimeToAll(std::size_t size, const report_hook &report)
{
    absl::Duration longest;
    constexpr std::uint64_t Seeds = 5;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        gossip_site site(seed, size);
        site.network.setConditions(
            {.delay = absl::Milliseconds(50), .jitter = absl::Milliseconds(20), .loss = 0.1});
        const absl::Time start = site.clock.now();
        const journal_offset version = site.publish(false);
        while (!site.allHave(version) && site.clock.now() - start < absl::Minutes(1))
            site.clock.runFor(absl::Milliseconds(10));
        longest = std::max(longest, site.clock.now() - start);
    }
    report(
        {"seconds_until_all_have_change_at_10_percent_loss", size, absl::ToDoubleSeconds(longest)});
}

/// Measures how a process that starts without configuration is filled while the log is down.
void measureNewProcess(std::size_t size, const report_hook &report)
{
    gossip_site site(1, size);
    site.sent = {};
    const absl::Time start = site.clock.now();
    site.add(false);
    while (!site.isFilled(size) && site.clock.now() - start < absl::Minutes(2))
        site.clock.runFor(absl::Milliseconds(10));
    const absl::Duration elapsed = site.clock.now() - start;
    report({"seconds_to_fill_new_process_with_1500_keys", size, absl::ToDoubleSeconds(elapsed)});
    report(
        {"bytes_of_all_nodes_while_new_process_fills", size, static_cast<double>(site.sent.bytes)});
}

void measureMemory(const report_hook &report)
{
    const double heapBefore = heapBytes();
    jnl::config_store store;
    for (std::size_t key = 0; key < Keys; ++key) {
        store.merge({"contract/team-" + std::to_string(key) + "/training",
                     std::string(ValueBytes, 'v'), key + 1, absl::UnixEpoch()});
    }
    report({"heap_bytes_per_key", Keys, (heapBytes() - heapBefore) / Keys, true});
}

void measure(std::size_t maxSize, const report_hook &report)
{
    for (const std::size_t size : {11, 100, 1000}) {
        if (size > maxSize)
            continue;
        measureTraffic(size, 0, "idle", report);
        measureTraffic(size, ChangesPerDay, "16000_changes_a_day", report);
        measureTimeToAll(size, report);
        measureNewProcess(size, report);
    }
    measureMemory(report);
}

const part_registration Registration({"config", measure});

} // namespace
} // namespace hyssoppond::capacity
