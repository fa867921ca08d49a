/// @file Many memberships over a fake network. The links between zones can be cut; processes can be
/// killed, restarted and paused. Users link the library `membership`.
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
    membership_message message;
};

/// Messages and bytes sent by all members.
struct membership_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< encoded messages without frames
};

/// All members of one test, their network and their clock.
class fake_members
{
public:
    /// One process and the instance beside which it runs.
    struct node
    {
        endpoint self;
        process_role role = process_role::Agent;
        absl::Duration skew;                 ///< its clock minus the virtual clock
        std::unique_ptr<membership> running; ///< null: not running
        bool paused = false;
        std::vector<membership_envelope> waiting; ///< messages that arrived during the pause
        absl::Time nextTickAt = absl::InfiniteFuture();
        std::uint64_t generation = 0;   ///< increases with each start and kill
        std::uint64_t staleReports = 0; ///< times that it reported its own view as stale
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
    /// Returns false to drop a message. May be empty.
    std::function<bool(const process_id &from, const process_id &to)> allow;
    /// Called for each change in the view of a member.
    std::function<void(std::size_t observer, const member_view &)> onChange;

    /// Adds `count` processes, spread round-robin over the zones. The first three of all processes
    /// are the seeds.
    void add(std::size_t count, std::size_t zones, process_role role)
    {
        for (std::size_t i = 0; i < count; ++i)
            addProcess(zone_id("zone-" + std::to_string(i % zones)), role);
    }
    void startAll()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            start(i);
    }
    /// Starts or restarts a process with a new incarnation.
    void start(std::size_t index)
    {
        node &currentNode = m_nodes[index];
        kill(index);
        currentNode.self.incarnation
            = static_cast<std::uint64_t>(absl::ToUnixMicros(clock.now() + currentNode.skew));
        currentNode.running = std::make_unique<membership>(m_settings, hooksOf(index));
        std::vector<address> seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(3, m_nodes.size()); ++i)
            seeds.push_back(m_nodes[i].self.control);
        [[maybe_unused]] const auto started
            = currentNode.running->start(currentNode.self, currentNode.role, seeds);
        network.attach(currentNode.self.agent, [this, index](const auto &, const auto &envelope) {
            receive(index, envelope);
        });
        schedule(index);
    }
    void kill(std::size_t index)
    {
        node &currentNode = m_nodes[index];
        ++currentNode.generation;
        currentNode.running.reset();
        currentNode.paused = false;
        currentNode.waiting.clear();
        currentNode.nextTickAt = absl::InfiniteFuture();
        network.detach(currentNode.self.agent);
    }
    /// Pauses the process for `span`. Messages to it are delivered afterwards.
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
    /// Drops all messages from zone `from` to zone `to`.
    void cut(const std::string &from, const std::string &to)
    {
        m_cuts.insert({zone_id(from), zone_id(to)});
    }
    void healAll() { m_cuts.clear(); }

    /// True if no cut between zones drops messages from one node to the other.
    bool canReach(std::size_t from, std::size_t to) const
    {
        return !m_cuts.contains({m_nodes[from].self.zone, m_nodes[to].self.zone});
    }

    std::size_t size() const { return m_nodes.size(); }
    node &at(std::size_t index) { return m_nodes[index]; }
    /// State of the current incarnation of `subject` in the view of `observer`. Dead if it is
    /// unknown there.
    member_state seen(std::size_t observer, std::size_t subject) const
    {
        const auto found = m_nodes[observer].running->find(m_nodes[subject].self.agent);
        if (!found || found->incarnation != m_nodes[subject].self.incarnation)
            return member_state::Dead;
        return found->state;
    }
    /// True if each running process sees each other running process in the state `expected`.
    bool allSee(member_state expected) const
    {
        for (std::size_t observerIndex = 0; observerIndex < m_nodes.size(); ++observerIndex) {
            for (std::size_t subjectIndex = 0; subjectIndex < m_nodes.size(); ++subjectIndex) {
                if (observerIndex != subjectIndex && m_nodes[observerIndex].running
                    && m_nodes[subjectIndex].running
                    && seen(observerIndex, subjectIndex) != expected)
                    return false;
            }
        }
        return true;
    }
    /// Runs until `done` returns true, which is checked each 100 ms. Returns false if that takes
    /// longer than `limit`.
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
    void addProcess(const zone_id &zone, process_role role)
    {
        const std::size_t index = m_nodes.size();
        const std::string number = std::to_string(index);
        node currentNode;
        currentNode.self.agent
            = process_id(std::string(role == process_role::Entry ? "entry-" : "agent-") + number);
        currentNode.self.control
            = {"10." + std::to_string(index / 65536) + "." + std::to_string(index / 256 % 256) + "."
                   + std::to_string(index % 256),
               7400};
        currentNode.self.zone = zone;
        if (role == process_role::Agent) {
            currentNode.self.servedWorker.id = worker_id("worker-" + number);
            currentNode.self.servedWorker.rack = rack_id("rack-" + std::to_string(index / 3));
            currentNode.self.servedWorker.zone = zone;
            currentNode.self.servedWorker.accelerators = 8;
            currentNode.self.servedRunner.id = runner_id("runner-" + number);
        }
        currentNode.role = role;
        m_byProcess[currentNode.self.agent] = index;
        m_byAddress[currentNode.self.control] = currentNode.self.agent;
        m_nodes.push_back(std::move(currentNode));
    }
    node &nodeOf(const process_id &process) { return m_nodes[m_byProcess.at(process)]; }
    membership_hooks hooksOf(std::size_t index)
    {
        membership_hooks hooks;
        hooks.env = clock.hooks(m_nodes[index].skew);
        hooks.send = [this, index](const peer &to, const membership_message &message) {
            send(index, to, message);
        };
        hooks.onChange = [this, index](const member_view &view) {
            if (onChange)
                onChange(index, view);
        };
        hooks.onStale = [this, index](bool stale) { m_nodes[index].staleReports += stale ? 1 : 0; };
        return hooks;
    }
    void send(std::size_t from, const peer &to, const membership_message &message)
    {
        const auto target = m_byAddress.find(to.where);
        if (target == m_byAddress.end())
            return;
        const node &sender = m_nodes[from];
        membership_traffic &traffic
            = sender.self.zone == nodeOf(target->second).self.zone ? local : remote;
        ++traffic.messages;
        membership_envelope envelope {
            {sender.self.agent, sender.self.incarnation, sender.self.control}, message};
        if (useCodec) {
            const std::string bytes = encode(message);
            traffic.bytes += bytes.size();
            auto decoded = decodeMembership(bytes);
            if (!decoded)
                return;
            envelope.message = std::move(*decoded);
        } else {
            traffic.bytes += encodedBytes(message);
        }
        network.send(sender.self.agent, target->second, envelope);
    }
    void receive(std::size_t index, const membership_envelope &envelope)
    {
        node &currentNode = m_nodes[index];
        if (currentNode.paused) {
            currentNode.waiting.push_back(envelope);
            return;
        }
        currentNode.running->receive(envelope.from, envelope.message);
        schedule(index);
    }
    void resume(std::size_t index)
    {
        node &currentNode = m_nodes[index];
        currentNode.paused = false;
        for (const membership_envelope &envelope : std::exchange(currentNode.waiting, {}))
            currentNode.running->receive(envelope.from, envelope.message);
        currentNode.nextTickAt = absl::InfiniteFuture();
        schedule(index);
    }
    /// Schedules the next tick of a process, unless an earlier one is scheduled already.
    void schedule(std::size_t index)
    {
        node &currentNode = m_nodes[index];
        const absl::Time due
            = std::max(currentNode.running->nextDeadline() - currentNode.skew, clock.now());
        if (due >= currentNode.nextTickAt)
            return;
        currentNode.nextTickAt = due;
        clock.at(due, [this, index, due, generation = currentNode.generation] {
            node &scheduled = m_nodes[index];
            if (scheduled.generation != generation || scheduled.nextTickAt != due
                || scheduled.paused)
                return;
            scheduled.nextTickAt = absl::InfiniteFuture();
            scheduled.running->tick();
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
