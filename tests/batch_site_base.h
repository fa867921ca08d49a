/// @file A site in virtual time: entries, agents and workers that share one fake store.
#pragma once

#include "hyssoppond/batch/batch_agent_base.h"
#include "hyssoppond/batch/batch_entry_base.h"
#include "hyssoppond/batch/store_relay_base.h"
#include "hyssoppond/fakes/fake_item_worker_base.h"
#include "hyssoppond/fakes/fake_store_base.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoppond::batch {

/// What the clock of a process does while its machine is suspended.
enum class suspended_clock : std::uint8_t {
    StandsStill, ///< as CLOCK_MONOTONIC
    GoesOn,      ///< as CLOCK_BOOTTIME
};

/// Suspension of the machine of one process.
struct machine_suspension
{
    absl::Time until = absl::InfinitePast();
    absl::Duration uncounted; ///< suspended time that the clock of the process does not show
};

/// Runs the production state machines in the way of the daemon's loop.
class batch_site
{
public:
    explicit batch_site(std::uint64_t seed, std::size_t workers = 3, std::size_t entries = 2)
        : clock(seed)
        , store(&clock)
        , history(&clock)
    {
        config.version = 1;
        config.queues.push_back(queueOf("urgent", 0));
        config.queues.push_back(queueOf("normal", 1));
        config.services.push_back({"service", true});
        config.teams.push_back({team_id("team"), {"key"}, 8});
        store.put("op", "config", "1");
        for (std::size_t i = 0; i < workers; ++i)
            addWorker(i);
        for (std::size_t i = 0; i < entries; ++i)
            startEntry(absl::StrCat("entry-", i));
    }

    static queue_policy queueOf(const std::string &name, int priority)
    {
        queue_policy queue;
        queue.name = name;
        queue.host = "host";
        queue.urlPrefix = "/" + name + "/";
        queue.service = "service";
        queue.priority = priority;
        queue.maxAttempts = 3;
        queue.stretch = 3.0;
        queue.latencyGoalMs = 1'000;
        return queue;
    }

    void startEntry(const std::string &name)
    {
        auto siteProcess = std::make_shared<entry_process>();
        connect(name, siteProcess.get());
        batch_entry_options options;
        options.entry = process_id(name);
        options.incarnation = fixedIncarnation.value_or(++m_incarnations);
        options.wakeAddress = name;
        options.isReserve = reserveEntries.contains(name);
        options.configTopic = "op";
        siteProcess->node = std::make_unique<batch_entry>(options, &siteProcess->port,
                                                          makeHooks(name, siteProcess->suspension));
        siteProcess->node->sendWake = siteProcess->relay->send;
        siteProcess->relay->peers
            = [node = siteProcess->node.get()] { return node->peerAddresses(); };
        siteProcess->node->decodeConfig = [this](const stored_record &) { return config; };
        siteProcess->node->setEvacuationDecoder([](const stored_record &record) {
            return record.key.starts_with("evacuate/")
                ? std::optional(zone_request {record.key.substr(9), !record.value.empty()})
                : std::nullopt;
        });
        siteProcess->node->onDecision = recordDecisionsOf(name);
        entries[name] = siteProcess;
        drive(siteProcess);
    }

    void startAgent(const std::string &name)
    {
        auto siteProcess = std::make_shared<agent_process>();
        connect(name, siteProcess.get());
        siteProcess->worker
            = suspendable(workers.at(name)->portTo(siteProcess->alive), siteProcess.get());
        batch_agent_options options;
        options.agent = process_id(name);
        options.incarnation = fixedIncarnation.value_or(++m_incarnations);
        options.wakeAddress = name;
        siteProcess->node
            = std::make_unique<batch_agent>(options, &siteProcess->port, &siteProcess->worker,
                                            makeHooks(name, siteProcess->suspension));
        siteProcess->relay->peers
            = [node = siteProcess->node.get()] { return node->entryAddresses(); };
        siteProcess->node->onDecision = recordDecisionsOf(name);
        siteProcess->node->onSuperseded = [this, name, ended = siteProcess.get()] {
            if (endSupersededAgents)
                endAndRestart(name, ended);
        };
        agents[name] = siteProcess;
        drive(siteProcess);
        heartbeat(name, siteProcess);
    }

    void kill(const std::string &name)
    {
        if (const auto found = agents.find(name); found != agents.end()) {
            *found->second->alive = false;
            agents.erase(found);
        } else if (const auto other = entries.find(name); other != entries.end()) {
            *other->second->alive = false;
            entries.erase(other);
        }
    }

    /// Ends the process of an agent in an orderly way, as the daemon does when it is told to stop.
    void stopAgent(const std::string &name)
    {
        const std::shared_ptr<agent_process> siteProcess = agents.at(name);
        siteProcess->node->prepareStop();
        clock.every(StopPollInterval, [this, name, siteProcess] {
            if (*siteProcess->alive && siteProcess->node->isReadyToStop())
                kill(name);
            return *siteProcess->alive;
        });
    }

    /// Suspends the machine of the process `name`. The process does nothing for `duration`, and
    /// what arrives for it waits in its sockets. The worker of an agent goes on.
    void suspend(const std::string &name, absl::Duration duration, suspended_clock processClock)
    {
        machine_suspension &suspension
            = agents.contains(name) ? *agents.at(name)->suspension : *entries.at(name)->suspension;
        suspension.until = clock.now() + duration;
        if (processClock == suspended_clock::StandsStill)
            suspension.uncounted += duration;
    }

    /// From the next start on, which the agent `name` sends after it has confirmed the incarnation
    /// of its worker, the worker carries out every order late by `delay`.
    void delayOrdersFromNextStart(const std::string &name, absl::Duration delay)
    {
        item_worker_port &port = agents.at(name)->worker;
        port.start = [this, name, delay, send = port.start](
                         start_order order, std::function<void(order_answer)> done) {
            workers.at(name)->faults.executeLate = 1.0;
            workers.at(name)->faults.lateBy = delay;
            send(std::move(order), std::move(done));
        };
    }

    /// Submits to the entry `name` and returns the reply, which may come later.
    std::shared_ptr<job_reply> submit(const std::string &name, const std::string &id,
                                      const std::string &queue, const batch_step &step)
    {
        batch_job job;
        job.payload = "payload";
        job.steps.push_back(step);
        return call(name, call_kind::Submit, "/" + queue + "/" + id, job);
    }

    std::shared_ptr<job_reply> call(const std::string &name, call_kind kind,
                                    const std::string &path,
                                    std::optional<batch_job> job = std::nullopt)
    {
        job_call request;
        request.kind = kind;
        request.host = "host";
        request.path = path;
        request.key = "key";
        if (kind == call_kind::Submit)
            registerGangs(path, *job);
        request.job = std::move(job);
        request.deadline = clock.now() + absl::Seconds(3);
        auto reply = std::make_shared<job_reply>();
        reply->kind = reply_kind::Unknown;
        const auto found = entries.find(name);
        if (found != entries.end())
            found->second->node->handle(request, [reply](const job_reply &r) { *reply = r; });
        return reply;
    }

    static batch_step stepOf(std::uint32_t count, std::int64_t accelerators, bool gang)
    {
        batch_step step;
        step.count = count;
        step.item = {1'000, 1'000, accelerators};
        step.estimateMs = 2'000;
        step.gang = gang;
        return step;
    }

    static std::string idOf(std::uint64_t number)
    {
        return absl::StrCat(absl::Hex(number, absl::kZeroPad16));
    }

    /// Decisions about `item` and about whole processes, for the messages of failed checks.
    std::string decisionsAbout(const std::string &item) const
    {
        std::string text;
        for (const auto &[about, line] : m_decisions) {
            if (about.find(item) != std::string::npos || about.find('.') == std::string::npos)
                absl::StrAppend(&text, line, "\n");
        }
        return text;
    }

    struct entry_process
    {
        std::shared_ptr<bool> alive = std::make_shared<bool>(true);
        std::shared_ptr<machine_suspension> suspension = std::make_shared<machine_suspension>();
        store_port direct;
        std::unique_ptr<store_relay> relay;
        store_port port;
        std::unique_ptr<batch_entry> node;
        std::uint64_t wakeups = 0;
    };
    struct agent_process
    {
        std::shared_ptr<bool> alive = std::make_shared<bool>(true);
        std::shared_ptr<machine_suspension> suspension = std::make_shared<machine_suspension>();
        store_port direct;
        std::unique_ptr<store_relay> relay;
        store_port port;
        item_worker_port worker;
        std::unique_ptr<batch_agent> node;
        std::uint64_t wakeups = 0;
    };

    virtual_clock clock;
    fake_store store;
    item_history history;
    site_config config;
    std::map<std::string, std::unique_ptr<fake_item_worker>> workers;
    std::map<std::string, std::shared_ptr<agent_process>> agents;
    std::map<std::string, std::shared_ptr<entry_process>> entries;

    /// Random number that all processes draw; none: different ones.
    std::optional<std::uint64_t> fixedRandom;

    /// Incarnation of the processes that start from now on; none: different ones.
    std::optional<incarnation_number> fixedIncarnation;

    /// Entries that decide only while no other one does, by name.
    std::set<std::string> reserveEntries;

    /// Error of the time of day of the processes that start from now on, by name.
    std::map<std::string, absl::Duration> wallSkew;

    /// Whether an agent process ends that another one has superseded. The platform then starts the
    /// agent again.
    bool endSupersededAgents = true;

    /// Share of the datagrams between processes that are lost.
    double datagramLoss = 0.001;
    /// Additional delay of the datagrams to a process.
    std::map<std::string, absl::Duration> datagramDelays;
    /// Processes that neither send nor receive datagrams.
    std::set<std::string> withoutDatagrams;

private:
    /// Connects a process to the store, directly and through peers.
    template<class process>
    void connect(const std::string &name, process *siteProcess)
    {
        siteProcess->direct = suspendable(store.portOf(name, siteProcess->alive), siteProcess);
        siteProcess->relay = std::make_unique<store_relay>(
            name, &siteProcess->direct, makeHooks(name, siteProcess->suspension));
        siteProcess->relay->send
            = [this, name](const std::string &address, const std::string &message) {
                  const absl::Duration delay = DatagramDelay + datagramDelays[address];
                  const bool lost = clock.uniform() < datagramLoss
                      || withoutDatagrams.contains(name) || withoutDatagrams.contains(address);
                  if (!lost)
                      clock.after(delay, [this, address, message] { deliver(address, message); });
              };
        siteProcess->port = siteProcess->relay->port();
    }

    /// Runs `action` of a process, after its suspension if it is suspended, unless it was killed.
    void whenAwake(const std::shared_ptr<machine_suspension> &suspension,
                   const std::shared_ptr<bool> &alive, const std::function<void()> &action)
    {
        if (clock.now() < suspension->until)
            clock.at(suspension->until,
                     [this, suspension, alive, action] { whenAwake(suspension, alive, action); });
        else if (*alive)
            action();
    }

    /// Function of a port whose answers wait until the process is not suspended.
    template<class request, class answer, class process>
    std::function<void(request, std::function<void(answer)>)> suspendable(
        const std::function<void(request, std::function<void(answer)>)> &send,
        const process *siteProcess)
    {
        return [this, send, suspension = siteProcess->suspension,
                alive = siteProcess->alive](request call, const std::function<void(answer)> &done) {
            call.deadline += suspension->uncounted;
            send(std::move(call), [this, suspension, alive, done](const answer &result) {
                whenAwake(suspension, alive, [done, result] { done(result); });
            });
        };
    }

    template<class process>
    store_port suspendable(store_port port, const process *siteProcess)
    {
        port.append = suspendable(port.append, siteProcess);
        port.read = suspendable(port.read, siteProcess);
        port.newest = suspendable(port.newest, siteProcess);
        port.join = suspendable(port.join, siteProcess);
        return port;
    }

    template<class process>
    item_worker_port suspendable(item_worker_port port, const process *siteProcess)
    {
        port.start = suspendable(port.start, siteProcess);
        port.stop = suspendable(port.stop, siteProcess);
        port.poll = suspendable(port.poll, siteProcess);
        return port;
    }

    void deliver(const std::string &name, const std::string &content)
    {
        if (const auto entry = entries.find(name); entry != entries.end())
            deliverTo(entry->second, content);
        else if (const auto agent = agents.find(name); agent != agents.end())
            deliverTo(agent->second, content);
    }

    template<class process>
    void deliverTo(const std::shared_ptr<process> &siteProcess, const std::string &content)
    {
        whenAwake(siteProcess->suspension, siteProcess->alive, [siteProcess, content] {
            const result<peer_message> message = decodePeerMessage(content);
            if (!message)
                return;
            siteProcess->relay->receive(*message);
            if (const auto *woken = std::get_if<wake_message>(&*message))
                siteProcess->relay->expectRecords(JournalTopic, woken->end);
            if constexpr (std::is_same_v<process, entry_process>)
                siteProcess->node->receive(*message);
            else if (std::holds_alternative<wake_message>(*message))
                siteProcess->node->onWake();
        });
    }

    /// Interval between two ticks. The daemon's loop ticks at deadlines and after each event
    /// instead.
    static constexpr absl::Duration TickInterval = absl::Milliseconds(5);
    static constexpr absl::Duration DatagramDelay = absl::Milliseconds(3);
    static constexpr absl::Duration HeartbeatInterval = absl::Milliseconds(1500);

    static constexpr absl::Duration RestartDelay = absl::Seconds(1);

    /// Interval at which a process that is told to stop checks whether it may end.
    static constexpr absl::Duration StopPollInterval = absl::Milliseconds(50);

    /// Tells the workers which items work only together. The id of the job is the end of `path`.
    void registerGangs(const std::string &path, const batch_job &job)
    {
        unit_id unit;
        unit.job = job_id(path.substr(path.rfind('/') + 1));
        for (; unit.occurrence < job.occurrences(); ++unit.occurrence) {
            for (unit.step = 0; unit.step < job.steps.size(); ++unit.step) {
                if (job.steps[unit.step].gang)
                    history.gangSizes[item_history::gangNameOf(unit)] = job.steps[unit.step].count;
            }
        }
    }

    void endAndRestart(const std::string &name, agent_process *ended)
    {
        *ended->alive = false;
        const auto current = agents.find(name);
        if (current == agents.end() || current->second.get() != ended)
            return;
        agents.erase(current);
        clock.after(RestartDelay, [this, name] {
            if (!agents.contains(name))
                startAgent(name);
        });
    }

    loop_hooks makeHooks(const std::string &name,
                         const std::shared_ptr<machine_suspension> &suspension)
    {
        return {[this, suspension] { return clock.now() - suspension->uncounted; },
                [this, skew = wallSkew[name]] { return clock.now() + skew; },
                [this] { return fixedRandom ? *fixedRandom : clock.random(); }};
    }

    void addWorker(std::size_t number)
    {
        const std::string name = absl::StrCat("agent-", number);
        worker_description description;
        description.worker = absl::StrCat("worker-", number);
        description.service = "service";
        description.zone = absl::StrCat("zone-", number % 3);
        description.kind = "a";
        description.rack = absl::StrCat("rack-", number / 3);
        description.labels = {"a", description.rack};
        description.capacity = {64'000, 262'144, 8};
        workers[name] = std::make_unique<fake_item_worker>(&clock, &history, description);
        startAgent(name);
    }

    template<class process>
    void drive(const std::shared_ptr<process> &siteProcess)
    {
        clock.every(TickInterval, [this, siteProcess] {
            if (!*siteProcess->alive)
                return false;
            if (clock.now() < siteProcess->suspension->until)
                return true;
            siteProcess->relay->tick();
            siteProcess->node->tick();
            return true;
        });
    }

    void heartbeat(const std::string &name, const std::shared_ptr<agent_process> &siteProcess)
    {
        if (!workers.at(name)->faults.sendsNoHeartbeats)
            siteProcess->node->onHeartbeat(workers.at(name)->heartbeat());
        clock.every(HeartbeatInterval, [this, name, siteProcess] {
            if (!*siteProcess->alive)
                return false;
            const bool suspended = clock.now() < siteProcess->suspension->until;
            const item_worker_faults &faults = workers.at(name)->faults;
            if (!faults.unreachable && !faults.sendsNoHeartbeats && !suspended)
                siteProcess->node->onHeartbeat(workers.at(name)->heartbeat());
            return true;
        });
    }

    std::function<void(const char *, const std::string &, const std::string &)> recordDecisionsOf(
        const std::string &name)
    {
        return
            [this, name](const char *decision, const std::string &item, const std::string &detail) {
                m_decisions.emplace_back(
                    item,
                    absl::StrFormat("%7.3f %s: %s %s %s",
                                    absl::ToDoubleSeconds(clock.now() - m_startedAt), name,
                                    decision, item, detail));
            };
    }

    std::uint64_t m_incarnations = 0;
    absl::Time m_startedAt = clock.now();
    std::vector<std::pair<std::string, std::string>> m_decisions; ///< item and text
};

} // namespace hyssoppond::batch
