/// @file Implementation of the harness of journal and configuration.
#include "journal_harness_base.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace hyssoppond::faults {
namespace {

std::size_t zoneOf(const std::string &name)
{
    return std::stoul(name.substr(1)) % 4;
}

} // namespace

journal_harness::journal_harness(std::uint64_t seed, harness_options options)
    : clock(seed)
    , log(&clock)
    , network(&clock)
    , m_options(options)
{
    for (std::size_t i = 0; i < options.entries; ++i)
        m_processes["e" + std::to_string(i)];
    for (std::size_t i = 0; i < options.agents; ++i)
        m_processes["a" + std::to_string(i)];
    for (const std::string &name : names())
        start(name);
}

std::vector<std::string> journal_harness::names() const
{
    std::vector<std::string> all;
    for (const auto &[name, proc] : m_processes)
        all.push_back(name);
    return all;
}

void journal_harness::start(const std::string &name)
{
    process &proc = m_processes.at(name);
    proc.running = true;
    proc.paused = false;
    proc.deferredCompletions.clear();
    proc.client.reset();
    const std::uint64_t generation = ++proc.generation;
    proc.incarnation = absl::ToUnixMicros(clock.now()) + generation;
    startGossip(name, proc);
    if (name[0] == 'e')
        startClient(name, proc);
    clock.every(absl::Milliseconds(10), [this, name, generation] {
        process &self = m_processes.at(name);
        if (!self.running || self.generation != generation)
            return false;
        if (self.paused)
            return true;
        if (self.client)
            self.client->tick();
        self.gossip->tick();
        return true;
    });
}

void journal_harness::startGossip(const std::string &name, process &proc)
{
    proc.store = std::make_unique<journal::config_store>();
    proc.store->newestWins = m_options.newestWins;
    proc.store->onChange = [this, name](const journal::config_item &item) {
        observations.push_back({clock.now(), name, item.key, item.value, item.version});
    };
    journal::gossip_hooks hooks;
    hooks.send = [this, name](const process_id &to, const journal::config_message &message) {
        network.send(process_id(name), to, journal::encode(message));
    };
    hooks.randomPeers = [this, name](std::size_t count) { return peersOf(name, count); };
    hooks.pushPeers = [this, name] { return peersOf(name, 6); };
    proc.gossip = std::make_unique<journal::config_gossip>(clock.hooks(), proc.store.get(), hooks,
                                                           m_options.gossip);
    network.attach(process_id(name),
                   [this, name](const process_id &from, const std::string &encoded) {
                       process &self = m_processes.at(name);
                       const auto message = journal::decodeConfig(encoded);
                       if (self.running && !self.paused && message)
                           self.gossip->receive(from, *message);
                   });
}

void journal_harness::startClient(const std::string &name, process &proc)
{
    proc.state = std::make_unique<journal::cluster_state>(m_options.cluster);
    journal::journal_hooks hooks;
    hooks.onRecord
        = [this, name](journal_offset, const journal::journal_record &record,
                       const journal::verdict &decision) { onRecord(name, record, decision); };
    hooks.onRestored = [this, name] { adoptSnapshot(name); };
    hooks.maySnapshot = [name] { return name == "e0"; };
    hooks.post = [this, name, generation = proc.generation](std::function<void()> run) {
        process &self = m_processes.at(name);
        if (self.paused && self.generation == generation)
            self.deferredCompletions.push_back(std::move(run));
        else
            run();
    };
    proc.client = std::make_unique<journal::journal_client>(clock.hooks(), &log, process_id(name),
                                                            proc.incarnation, proc.state.get(),
                                                            hooks, m_options.client);
}

void journal_harness::onRecord(const std::string &name, const journal::journal_record &record,
                               const journal::verdict &decision)
{
    process &proc = m_processes.at(name);
    const auto *change = std::get_if<journal::config_changed>(&record.body);
    if (change == nullptr || !decision.accepted || decision.repeated)
        return;
    const journal::config_entry &entry = proc.state->config().at(change->key);
    const bool own = record.id.process.str() == name && record.id.incarnation == proc.incarnation;
    proc.gossip->publish({change->key, entry.value, entry.version, entry.changedAt}, own);
}

void journal_harness::adoptSnapshot(const std::string &name)
{
    process &proc = m_processes.at(name);
    for (const auto &[key, entry] : proc.state->config())
        proc.gossip->publish({key, entry.value, entry.version, entry.changedAt}, false);
}

std::vector<process_id> journal_harness::peersOf(const std::string &name, std::size_t count)
{
    std::vector<std::string> others = names();
    std::erase(others, name);
    std::vector<process_id> chosen;
    while (chosen.size() < count && !others.empty()) {
        const std::size_t i = clock.random() % others.size();
        chosen.emplace_back(others[i]);
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
    }
    return chosen;
}

void journal_harness::stop(const std::string &name)
{
    process &proc = m_processes.at(name);
    proc.running = false;
    proc.client.reset();
    proc.deferredCompletions.clear();
    network.detach(process_id(name));
}

void journal_harness::pause(const std::string &name)
{
    m_processes.at(name).paused = true;
}

void journal_harness::resume(const std::string &name)
{
    process &proc = m_processes.at(name);
    proc.paused = false;
    for (const auto &run : std::exchange(proc.deferredCompletions, {}))
        run();
}

void journal_harness::cutZone(std::size_t zone)
{
    for (const std::string &a : names()) {
        for (const std::string &b : names()) {
            if ((zoneOf(a) == zone) != (zoneOf(b) == zone))
                network.cut(process_id(a), process_id(b));
        }
    }
}

std::shared_ptr<append_answer> journal_harness::append(const std::string &entry,
                                                       journal::record_body body,
                                                       absl::Duration within)
{
    auto slot = std::make_shared<append_answer>();
    m_processes.at(entry).client->append(
        std::move(body), clock.now() + within,
        [slot](result<journal::append_outcome> outcome) { *slot = std::move(outcome); });
    return slot;
}

std::shared_ptr<append_answer> journal_harness::publish(const std::string &entry,
                                                        const std::string &key,
                                                        const std::string &value,
                                                        journal_offset expected,
                                                        const std::string &request)
{
    return append(entry,
                  journal::config_changed {key, value, expected, request_id(request), "operator"});
}

const journal::cluster_state &journal_harness::state(const std::string &entry) const
{
    return *m_processes.at(entry).state;
}

const journal::config_store &journal_harness::config(const std::string &name) const
{
    return *m_processes.at(name).store;
}

const journal::cluster_state &journal_harness::replayedState()
{
    for (const log_record &record : log.records())
        m_replayedState.apply(record.offset, record.payload);
    return m_replayedState;
}

std::string journal_harness::reverted() const
{
    std::map<std::pair<std::string, std::string>, journal_offset> newest;
    for (const config_observation &seen : observations) {
        journal_offset &known = newest[{seen.process, seen.key}];
        if (seen.version < known)
            return absl::StrFormat("%s went from version %d of %s back to %d", seen.process, known,
                                   seen.key, seen.version);
        known = seen.version;
    }
    return {};
}

std::string journal_harness::notInForce(const std::string &key, journal_offset version) const
{
    for (const auto &[name, proc] : m_processes) {
        const journal::config_item *item = proc.store->find(key);
        const journal_offset known = item == nullptr ? 0 : item->version;
        if (proc.running && known != version)
            return absl::StrFormat("%s has version %d of %s instead of %d", name, known, key,
                                   version);
    }
    return {};
}

} // namespace hyssoppond::faults
