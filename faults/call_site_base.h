/// @file Entries, agents and runners of calls in virtual time, with a record of the answers.
#pragma once

#include "hyssoppond/fakes/fake_network_base.h"
#include "hyssoppond/fakes/fake_runner_base.h"
#include "hyssoppond/routing/call_executor_base.h"
#include "hyssoppond/routing/call_router_base.h"

#include <absl/strings/str_format.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppond::faults {

/// A call as its caller saw it.
struct submission_record
{
    call_submission what;
    absl::Time at;
    std::vector<result<std::string>> answers; ///< more than one is a fault
    absl::Time answeredAt;
    std::size_t entry = 0; ///< index of the entry that received it
};

/// Faults of the journal of bindings.
struct binding_faults
{
    bool down = false;        ///< binds nothing and does not answer
    bool refuse = false;      ///< answers with an error, without effect
    bool loseAnswers = false; ///< binds the request, but the answer is lost
    absl::Duration delay = absl::Milliseconds(5);
};

/// Size of a call_site and its mechanisms.
struct site_options
{
    std::size_t entries = 2;
    std::size_t agents = 3;
    std::size_t zones = 1;
    absl::Duration tickPeriod = absl::Milliseconds(5);
    router_mechanisms router;
    executor_mechanisms executor;
    router_settings routerSettings;
    executor_settings executorSettings;
};

/// One site. The runners keep running when their agents restart, as those of the platform do.
class call_site
{
public:
    struct agent_node
    {
        endpoint where;
        std::unique_ptr<fake_runner> runner;
        std::unique_ptr<call_executor> executor; ///< null: the agent is dead
        std::optional<absl::Time> announcedAt;   ///< time at which it announced to leave
    };
    struct entry_node
    {
        process_id id;
        zone_id zone;
        std::unique_ptr<call_router> router; ///< null: the entry is dead
    };

    call_site(std::uint64_t seed, site_options options)
        : clock(seed)
        , net(&clock)
        , m_options(std::move(options))
    {
        for (std::size_t i = 0; i < m_options.agents; ++i)
            addAgent(i);
        for (std::size_t i = 0; i < m_options.entries; ++i)
            addEntry(i);
        for (const agent_node &agent : agents)
            announce(agent, false);
        clock.every(m_options.tickPeriod, [this] {
            tick();
            return true;
        });
    }

    virtual_clock clock;
    fake_network<call_message> net;
    std::vector<agent_node> agents;
    std::vector<entry_node> entries;
    std::vector<submission_record> submissions;
    binding_faults binding;
    std::map<call_id, call_binding> bindings;

    /// Submits at an entry; returns the index of its record.
    std::size_t submit(std::size_t entry, call_submission submission)
    {
        const std::size_t index = submissions.size();
        submissions.push_back({submission, clock.now(), {}, absl::InfiniteFuture(), entry});
        if (entries[entry].router) {
            entries[entry].router->submit(std::move(submission),
                                          [this, index](result<std::string> got) {
                                              submissions[index].answers.push_back(std::move(got));
                                              submissions[index].answeredAt = clock.now();
                                          });
        }
        return index;
    }

    /// Tells all entries, or only the first one, about an endpoint.
    void announce(const agent_node &agent, bool leaving, bool onlyFirst = false)
    {
        for (std::size_t i = 0; i < (onlyFirst ? 1 : entries.size()); ++i) {
            if (entries[i].router)
                entries[i].router->setEndpoint(agent.where, leaving);
        }
    }
    /// The agent leaves; only the first `informedEntries` entries are informed.
    void leave(std::size_t index, std::size_t informedEntries)
    {
        agents[index].announcedAt = clock.now();
        if (agents[index].executor)
            agents[index].executor->setLeaving(true);
        for (std::size_t i = 0; i < std::min(informedEntries, entries.size()); ++i) {
            if (entries[i].router)
                entries[i].router->setEndpoint(agents[index].where, true);
        }
    }
    /// Kills the agent; its runner continues the calls that it has started.
    void killAgent(std::size_t index)
    {
        agents[index].executor.reset();
        net.detach(agents[index].where.agent);
    }
    /// Restarts the agent with a new incarnation and an empty deduplication table.
    void restartAgent(std::size_t index)
    {
        killAgent(index);
        ++agents[index].where.incarnation;
        agents[index].announcedAt.reset();
        startExecutor(index);
    }
    void removeEverywhere(std::size_t index)
    {
        for (const entry_node &entry : entries) {
            if (entry.router)
                entry.router->removeEndpoint(agents[index].where.agent);
        }
    }
    void killEntry(std::size_t index)
    {
        entries[index].router.reset();
        net.detach(entries[index].id);
    }

private:
    void tick()
    {
        for (const entry_node &entry : entries) {
            if (entry.router && entry.router->nextDeadline() <= clock.now())
                entry.router->tick();
        }
        for (const agent_node &agent : agents) {
            if (agent.executor && agent.executor->nextDeadline() <= clock.now())
                agent.executor->tick();
        }
    }

    zone_id zoneOf(std::size_t index) const
    {
        return zone_id(absl::StrFormat("zone-%d", index % m_options.zones));
    }

    void addAgent(std::size_t index)
    {
        agent_node node;
        node.where.agent = process_id(absl::StrFormat("agent-%d", index));
        node.where.incarnation = 1;
        node.where.zone = zoneOf(index);
        node.where.servedRunner.id = runner_id(absl::StrFormat("runner-%d", index));
        node.where.servedRunner.slots = m_options.executorSettings.slots;
        node.runner = std::make_unique<fake_runner>(&clock, m_options.executorSettings.slots);
        agents.push_back(std::move(node));
        startExecutor(index);
    }

    void startExecutor(std::size_t index)
    {
        agent_node &node = agents[index];
        executor_settings settings = m_options.executorSettings;
        settings.agent = node.where.agent;
        settings.incarnation = node.where.incarnation;
        const process_id self = node.where.agent;
        executor_hooks hooks;
        hooks.send = [this, self](const process_id &to, const call_message &message) {
            net.send(self, to, message);
        };
        hooks.runner = node.runner.get();
        node.executor = std::make_unique<call_executor>(settings, clock.hooks(), std::move(hooks),
                                                        m_options.executor);
        net.attach(self, [this, index](const process_id &from, const call_message &message) {
            agents[index].executor->receive(from, message);
        });
    }

    void addEntry(std::size_t index)
    {
        const process_id self(absl::StrFormat("entry-%d", index));
        router_settings settings = m_options.routerSettings;
        settings.entry = self;
        settings.incarnation = 1;
        settings.routes.zone = zoneOf(index);
        router_hooks hooks;
        hooks.send = [this, self](const process_id &to, const call_message &message) {
            net.send(self, to, message);
        };
        hooks.bindRequest = [this](const call_id &id, const call_binding &proposed,
                                   std::function<void(result<call_binding>)> done) {
            bind(id, proposed, std::move(done));
        };
        entries.push_back({self, settings.routes.zone,
                           std::make_unique<call_router>(settings, clock.hooks(), std::move(hooks),
                                                         m_options.router)});
        net.attach(self, [this, index](const process_id &from, const call_message &message) {
            entries[index].router->receive(from, message);
        });
    }

    void bind(const call_id &id, const call_binding &proposed,
              std::function<void(result<call_binding>)> done)
    {
        if (binding.down)
            return;
        if (binding.refuse) {
            clock.after(binding.delay, [done = std::move(done)] {
                done(fail(reason::LogUnavailable, "the log is down; retry later"));
            });
            return;
        }
        const call_binding first = bindings.try_emplace(id, proposed).first->second;
        if (!binding.loseAnswers)
            clock.after(binding.delay, [first, done = std::move(done)] { done(first); });
    }

    site_options m_options;
};

} // namespace hyssoppond::faults
