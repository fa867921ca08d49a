/// @file Many memberships over a fake network, with zones that can be cut and processes that can
/// be killed, restarted and paused. Users link the library `membership`.
#pragma once

#include "hyssoppond/fakes/fake_network_base.h"
#include "hyssoppond/fakes/virtual_clock_base.h"
#include "hyssoppond/membership/membership_base.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssoppond {

/// A membership message with its sender, as a frame carries it.
struct membership_envelope
{
    peer from;
    membership_message what;
};

/// Messages and bytes sent by all members.
struct membership_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< encoded messages without frames
};

/// The members of one test.
class fake_members
{
public:
    /// One process and the instance beside which it runs.
    struct node
    {
        endpoint self;
        process_role role = process_role::Agent;
        absl::Duration skew;                 ///< of its clock
        std::unique_ptr<membership> running; ///< null: not running
        bool paused = false;
        std::vector<membership_envelope> waiting; ///< arrived during the pause
        absl::Time tickAt = absl::InfiniteFuture();
        std::uint64_t generation = 0; ///< raised by each start and kill
        std::uint64_t staleReports = 0;
    };

    explicit fake_members(std::uint64_t seed, membership_settings settings = {})
        : clock(seed)
        , network(&clock)
        , m_settings(settings)
    {
        network.setFilter([this](const process_id &from, const process_id &to, const auto &) {
            return (!allow || allow(from, to))
                && (m_cuts.empty()
                    || !m_cuts.contains({nodeOf(from).self.zone, nodeOf(to).self.zone}));
        });
    }

    virtual_clock clock;
    fake_network<membership_envelope> network;
    membership_traffic local;  ///< within a zone
    membership_traffic remote; ///< across zones
    bool useCodec = true;      ///< false: messages are passed on without encoding, for speed
    /// Returns false to lose a message; may be empty.
    std::function<bool(const process_id &from, const process_id &to)> allow;
    /// Called for each change that a member sees.
    std::function<void(std::size_t observer, const member_view &)> onChange;

    /// Adds `count` processes, spread over the zones in turn. The first ones are the seeds.
    void add(std::size_t count, std::size_t zones, process_role role)
    {
        for (std::size_t i = 0; i < count; ++i)
            addOne(zone_id("zone-" + std::to_string(i % zones)), role);
    }
    void startAll()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            start(i);
    }
    /// Starts or restarts a process with a new incarnation.
    void start(std::size_t index)
    {
        node &one = m_nodes[index];
        kill(index);
        one.self.incarnation
            = static_cast<std::uint64_t>(absl::ToUnixMicros(clock.now() + one.skew));
        one.running = std::make_unique<membership>(m_settings, hooksOf(index));
        std::vector<address> seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(3, m_nodes.size()); ++i)
            seeds.push_back(m_nodes[i].self.control);
        [[maybe_unused]] const auto started = one.running->start(one.self, one.role, seeds);
        network.attach(one.self.agent, [this, index](const auto &, const auto &envelope) {
            receive(index, envelope);
        });
        schedule(index);
    }
    void kill(std::size_t index)
    {
        node &one = m_nodes[index];
        ++one.generation;
        one.running.reset();
        one.paused = false;
        one.waiting.clear();
        one.tickAt = absl::InfiniteFuture();
        network.detach(one.self.agent);
    }
    /// Stops the process for `span`; messages wait for it.
    void pause(std::size_t index, absl::Duration span)
    {
        m_nodes[index].paused = true;
        clock.after(span, [this, index, generation = m_nodes[index].generation] {
            if (m_nodes[index].generation == generation)
                resume(index);
        });
    }
    void leave(std::size_t index)
    {
        m_nodes[index].running->leave();
        schedule(index);
    }
    /// Loses all messages from zone `from` to zone `to`.
    void cut(const std::string &from, const std::string &to)
    {
        m_cuts.insert({zone_id(from), zone_id(to)});
    }
    void healAll() { m_cuts.clear(); }

    /// True if messages from one node to the other pass the cut zones.
    bool canReach(std::size_t from, std::size_t to) const
    {
        return !m_cuts.contains({m_nodes[from].self.zone, m_nodes[to].self.zone});
    }

    std::size_t size() const { return m_nodes.size(); }
    node &at(std::size_t index) { return m_nodes[index]; }
    /// State of `about` as `observer` sees its current incarnation; Dead if it is not known.
    member_state seen(std::size_t observer, std::size_t about) const
    {
        const auto found = m_nodes[observer].running->find(m_nodes[about].self.agent);
        if (!found || found->incarnation != m_nodes[about].self.incarnation)
            return member_state::Dead;
        return found->state;
    }
    /// True if each running process sees each other one in the state `expected`.
    bool allSee(member_state expected) const
    {
        for (std::size_t a = 0; a < m_nodes.size(); ++a) {
            for (std::size_t b = 0; b < m_nodes.size(); ++b) {
                if (a != b && m_nodes[a].running && m_nodes[b].running && seen(a, b) != expected)
                    return false;
            }
        }
        return true;
    }
    /// Runs until `done` holds, checked each 100 ms. Returns false after `limit`.
    bool runUntil(const std::function<bool()> &done, absl::Duration limit)
    {
        const absl::Time end = clock.now() + limit;
        while (!done()) {
            if (clock.now() >= end)
                return false;
            clock.runFor(absl::Milliseconds(100));
        }
        return true;
    }

private:
    void addOne(const zone_id &zone, process_role role)
    {
        const std::size_t index = m_nodes.size();
        const std::string number = std::to_string(index);
        node one;
        one.self.agent
            = process_id(std::string(role == process_role::Entry ? "entry-" : "agent-") + number);
        one.self.control
            = {"10." + std::to_string(index / 65536) + "." + std::to_string(index / 256 % 256) + "."
                   + std::to_string(index % 256),
               7400};
        one.self.zone = zone;
        if (role == process_role::Agent) {
            one.self.servedWorker.id = worker_id("worker-" + number);
            one.self.servedWorker.rack = rack_id("rack-" + std::to_string(index / 3));
            one.self.servedWorker.zone = zone;
            one.self.servedWorker.accelerators = 8;
            one.self.servedRunner.id = runner_id("runner-" + number);
        }
        one.role = role;
        m_byProcess[one.self.agent] = index;
        m_byAddress[one.self.control] = one.self.agent;
        m_nodes.push_back(std::move(one));
    }
    node &nodeOf(const process_id &process) { return m_nodes[m_byProcess.at(process)]; }
    membership_hooks hooksOf(std::size_t index)
    {
        membership_hooks hooks;
        hooks.env = clock.hooks(m_nodes[index].skew);
        hooks.send = [this, index](const peer &to, const membership_message &what) {
            send(index, to, what);
        };
        hooks.onChange = [this, index](const member_view &view) {
            if (onChange)
                onChange(index, view);
        };
        hooks.onStale = [this, index](bool stale) { m_nodes[index].staleReports += stale ? 1 : 0; };
        return hooks;
    }
    void send(std::size_t from, const peer &to, const membership_message &what)
    {
        const auto target = m_byAddress.find(to.where);
        if (target == m_byAddress.end())
            return;
        const node &sender = m_nodes[from];
        membership_traffic &traffic
            = sender.self.zone == nodeOf(target->second).self.zone ? local : remote;
        ++traffic.messages;
        membership_envelope envelope {
            {sender.self.agent, sender.self.incarnation, sender.self.control}, what};
        if (useCodec) {
            const std::string bytes = encode(what);
            traffic.bytes += bytes.size();
            auto decoded = decodeMembership(bytes);
            if (!decoded)
                return;
            envelope.what = std::move(*decoded);
        } else {
            traffic.bytes += encodedBytes(what);
        }
        network.send(sender.self.agent, target->second, envelope);
    }
    void receive(std::size_t index, const membership_envelope &envelope)
    {
        node &one = m_nodes[index];
        if (one.paused) {
            one.waiting.push_back(envelope);
            return;
        }
        one.running->receive(envelope.from, envelope.what);
        schedule(index);
    }
    void resume(std::size_t index)
    {
        node &one = m_nodes[index];
        one.paused = false;
        for (const membership_envelope &envelope : std::exchange(one.waiting, {}))
            one.running->receive(envelope.from, envelope.what);
        one.tickAt = absl::InfiniteFuture();
        schedule(index);
    }
    void schedule(std::size_t index)
    {
        node &one = m_nodes[index];
        const absl::Time due = std::max(one.running->nextDeadline() - one.skew, clock.now());
        if (due >= one.tickAt)
            return;
        one.tickAt = due;
        clock.at(due, [this, index, due, generation = one.generation] {
            node &self = m_nodes[index];
            if (self.generation != generation || self.tickAt != due || self.paused)
                return;
            self.tickAt = absl::InfiniteFuture();
            self.running->tick();
            schedule(index);
        });
    }

    membership_settings m_settings;
    std::vector<node> m_nodes;
    std::map<process_id, std::size_t> m_byProcess;
    std::map<address, process_id> m_byAddress;
    std::set<std::pair<zone_id, zone_id>> m_cuts;
};

} // namespace hyssoppond
