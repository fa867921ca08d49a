/// @file The site of gangs in virtual time.
#include "gang_site_base.h"

#include "hyssoppond/gang/gang_codec_func.h"

namespace hyssoppond::faults {

void pause_gate::pass(std::function<void()> callback)
{
    if (paused)
        waiting.push_back(std::move(callback));
    else
        callback();
}

void pause_gate::resume()
{
    paused = false;
    while (!waiting.empty() && !paused) {
        const auto callback = std::move(waiting.front());
        waiting.pop_front();
        callback();
    }
}

template<class value>
std::function<void(result<value>)> gated_worker_port::gated(std::function<void(result<value>)> done)
{
    return [gate = m_gate, done = std::move(done)](result<value> outcome) {
        gate->pass([done, outcome] { done(outcome); });
    };
}

void gated_worker_port::startTask(task_start task, std::function<void(result<task_status>)> done)
{
    m_worker->startTask(std::move(task), gated(std::move(done)));
}

void gated_worker_port::renewLease(task_id id, absl::Time until,
                                   std::function<void(result<task_status>)> done)
{
    m_worker->renewLease(std::move(id), until, gated(std::move(done)));
}

void gated_worker_port::checkpointTask(task_id id, absl::Time deadline,
                                       std::function<void(result<task_status>)> done)
{
    m_worker->checkpointTask(std::move(id), deadline, gated(std::move(done)));
}

void gated_worker_port::throttleTask(task_id id, std::uint32_t percent,
                                     std::function<void(result<task_status>)> done)
{
    m_worker->throttleTask(std::move(id), percent, gated(std::move(done)));
}

void gated_worker_port::stopTask(task_id id, std::function<void(result<task_status>)> done)
{
    m_worker->stopTask(std::move(id), gated(std::move(done)));
}

void gated_worker_port::listTasks(std::function<void(result<std::vector<task_status>>)> done)
{
    m_worker->listTasks(gated(std::move(done)));
}

gang_site::gang_site(std::uint64_t seed, std::size_t count, gang_options settings)
    : clock(seed)
    , network(&clock)
    , options(settings)
{
    for (std::size_t i = 0; i < count; ++i) {
        auto node = std::make_unique<site_node>();
        node->agent = process_id("agent-" + std::to_string(i));
        node->worker = worker_id("worker-" + std::to_string(i));
        // Clocks differ from each other by at most the assumed skew.
        node->timeOfDayAhead = options.maxClockSkew * (clock.uniform() - 0.5);
        node->workers.push_back(std::make_unique<fake_worker>(&clock, 8));
        node->port = std::make_unique<gated_worker_port>(node->workers.back().get(), &node->gate);
        nodes.push_back(std::move(node));
        startAgent(*nodes.back());
    }
    clock.every(absl::Milliseconds(20), [this] {
        tickAll();
        return true;
    });
    clock.runFor(absl::Seconds(1)); // the agents read the workers' task lists
}

void gang_site::tickAll()
{
    for (const auto &node : nodes) {
        if (node->process && !node->gate.paused
            && node->process->nextDeadline() <= node->processClock->now())
            node->process->tick();
    }
    for (const auto &entry : entries) {
        if (entry->process && !entry->gate.paused)
            entry->process->tick();
    }
}

std::shared_ptr<process_clock> gang_site::startClock(const absl::Duration *ahead)
{
    return std::make_shared<process_clock>(
        machine_clocks {[this, ahead] { return clock.now() + *ahead; },
                        [this] { return clock.now() - absl::UnixEpoch(); }});
}

environment gang_site::environmentOf(std::shared_ptr<process_clock> processClock)
{
    return {[processClock = std::move(processClock)] { return processClock->now(); },
            [this] { return clock.random(); }};
}

void gang_site::send(const process_id &from, const process_id &to, const gang_message &message)
{
    if (countBytes)
        bytes += encode(message).size();
    network.send(from, to, message);
    if (onSend)
        onSend(from, message);
}

void gang_site::startAgent(site_node &node)
{
    ++node.incarnation;
    node.gate = {};
    node.processClock = startClock(&node.timeOfDayAhead);
    gang_agent_hooks hooks;
    hooks.send = [this, self = node.agent](const process_id &to, const gang_message &message) {
        send(self, to, message);
    };
    node.process = std::make_unique<gang_member_agent>(
        node.agent, node.incarnation, accelerator_mask {0xff}, node.port.get(), options,
        environmentOf(node.processClock), std::move(hooks));
    network.attach(node.agent, [&node](const process_id &from, const gang_message &message) {
        node.gate.pass([&node, from, message] {
            if (node.process)
                node.process->receive(from, message);
        });
    });
}

void gang_site::killAgent(site_node &node)
{
    node.process.reset();
    node.gate = {};
    network.detach(node.agent);
}

void gang_site::crashWorker(site_node &node)
{
    node.current().crash();
    node.current().faults.unreachable = true;
}

void gang_site::replaceInstance(site_node &node)
{
    killAgent(node);
    crashWorker(node);
    node.workers.push_back(std::make_unique<fake_worker>(&clock, 8));
    node.port->setWorker(node.workers.back().get());
    startAgent(node);
}

site_entry &gang_site::addEntry(const std::string &name)
{
    auto entry = std::make_unique<site_entry>();
    site_entry &added = *entry;
    entry->id = process_id(name);
    gang_coordinator_hooks hooks;
    hooks.send = [this, self = entry->id](const process_id &to, const gang_message &message) {
        send(self, to, message);
    };
    hooks.onStarted
        = [this](const job_id &job, attempt_number attempt) { starts.emplace_back(job, attempt); };
    hooks.onDiscovered = [this](const gang_placement &found) {
        if (onDiscovered)
            onDiscovered(found);
    };
    hooks.onRefused = [this](const gang_refusal &refusal) { refusals.push_back(refusal); };
    hooks.onEnded
        = [this](const job_id &job, attempt_number attempt, attempt_outcome outcome, double) {
              ends.push_back({job, attempt, outcome, clock.now()});
              if (onEnded)
                  onEnded(ends.back());
          };
    entry->process = std::make_unique<gang_coordinator>(
        added.id, options, environmentOf(startClock(&added.timeOfDayAhead)), std::move(hooks));
    network.attach(added.id, [&added](const process_id &from, const gang_message &message) {
        added.gate.pass([&added, from, message] {
            if (added.process)
                added.process->receive(from, message);
        });
    });
    entries.push_back(std::move(entry));
    return added;
}

void gang_site::killEntry(site_entry &entry)
{
    entry.process.reset();
    network.detach(entry.id);
}

gang_placement gang_site::placementOf(const std::string &job, attempt_number attempt,
                                      std::size_t members, epoch_number epoch,
                                      accelerator_mask mask)
{
    gang_placement placement;
    placement.spec.id = job_id(job);
    placement.spec.command = "run";
    placement.attempt = attempt;
    placement.placementEpoch = epoch;
    placement.epoch = epoch;
    for (std::size_t i = 0; i < members; ++i)
        placement.members.push_back({{nodes[i]->worker, nodes[i]->agent, mask}, 0});
    return placement;
}

} // namespace hyssoppond::faults
