/// @file The site of entries in virtual time.
#include "cluster_site_base.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <map>
#include <set>

namespace hyssoppond::faults {

namespace {

constexpr absl::Duration DetectionTime = absl::Seconds(3); ///< of a dead member
constexpr absl::Duration CallTimeout = absl::Seconds(20);
constexpr std::size_t WorkersPerRack = 3;
constexpr absl::Duration CompletionLimit = absl::Seconds(90);

} // namespace

template<class value>
std::function<void(result<value>)> entry_log_port::gated(std::function<void(result<value>)> done)
{
    return [alive = std::weak_ptr<bool>(m_alive), gate = m_gate,
            done = std::move(done)](result<value> outcome) {
        if (alive.expired())
            return;
        gate->pass([alive, done, outcome] {
            if (!alive.expired())
                done(outcome);
        });
    };
}

void entry_log_port::append(std::string payload, absl::Time deadline,
                            std::function<void(result<journal_offset>)> done)
{
    ++appends;
    auto answer
        = appends == loseAnswer ? [](const result<journal_offset> &) {} : gated(std::move(done));
    m_log->append(std::move(payload), deadline, std::move(answer));
    if (onAppend)
        onAppend();
}

void entry_log_port::read(journal_offset from, std::size_t maxRecords, absl::Time deadline,
                          std::function<void(result<log_batch>)> done)
{
    m_log->read(from, maxRecords, deadline, gated(std::move(done)));
}

cluster_site::cluster_site(std::uint64_t seed, std::size_t workers, std::size_t entryCount)
    : gangs(seed, workers, {})
    , clock(gangs.clock)
    , log(&clock)
{
    for (std::size_t i = 0; i < entryCount; ++i) {
        entries.push_back(std::make_unique<cluster_entry>());
        entries.back()->id = process_id(absl::StrFormat("entry-%d", i));
        entries.back()->incarnation = i + 1;
        startEntry(*entries.back());
    }
    clock.every(absl::Milliseconds(10), [this] {
        for (const auto &entry : entries) {
            if (entry->controller && !entry->gate.paused
                && entry->controller->nextDeadline() <= clock.now())
                entry->controller->tick();
        }
        return true;
    });
    for (const auto &entry : entries)
        notifyEntries(viewOf(*entry, member_state::Alive), absl::ZeroDuration());
    for (std::size_t i = 0; i < gangs.nodes.size(); ++i)
        notifyEntries(viewOf(*gangs.nodes[i], i, member_state::Alive), absl::ZeroDuration());
    runUntil([this] { return decider() < entries.size(); }, absl::Seconds(30));
    clock.runFor(absl::Seconds(2)); // the decider announces the workers
    publish("team/alpha", "{}");
    publish("team/beta", "{}");
    publish("contract/alpha/gold",
            R"({"members":2,"accelerators_per_member":8,"within":"Rack","count":1})");
}

void cluster_site::startEntry(cluster_entry &entry)
{
    entry.log = std::make_unique<entry_log_port>(&log, &entry.gate);
    cluster_settings settings;
    settings.self = entry.id;
    settings.incarnation = entry.incarnation;
    settings.domain = journal::domain_id("site");
    settings.gang = gangs.options;
    cluster_hooks hooks;
    hooks.send = [this, self = entry.id](const process_id &to, const gang_message &message) {
        gangs.network.send(self, to, message);
    };
    hooks.onConfigAccepted = [this, &entry](const journal::config_item &item, bool) {
        clock.after(absl::ZeroDuration(), [&entry, item] {
            entry.gate.pass([&entry, item] {
                if (entry.controller)
                    entry.controller->applyConfig(item);
            });
        });
    };
    hooks.count = [](disposition, reason) {};
    entry.controller = std::make_unique<cluster_controller>(settings, clock.hooks(),
                                                            entry.log.get(), std::move(hooks));
    gangs.network.attach(entry.id, [&entry](const process_id &from, const gang_message &message) {
        entry.gate.pass([&entry, from, message] {
            if (entry.controller)
                entry.controller->receiveGang(from, message);
        });
    });
}

member_view cluster_site::viewOf(const cluster_entry &entry, member_state state) const
{
    member_announcement announced;
    announced.self.agent = entry.id;
    announced.self.incarnation = entry.incarnation;
    announced.role = process_role::Entry;
    return {entry.id, entry.incarnation, state,
            std::make_shared<const member_announcement>(announced)};
}

member_view cluster_site::viewOf(const site_node &node, std::size_t index, member_state state) const
{
    member_announcement announced;
    endpoint &self = announced.self;
    self.agent = node.agent;
    self.incarnation = node.incarnation;
    self.zone = zone_id("zone-1");
    self.servedWorker = {node.worker,
                         node.agent,
                         rack_id(absl::StrFormat("rack-%d", index / WorkersPerRack)),
                         self.zone,
                         8,
                         64,
                         0};
    return {node.agent, node.incarnation, state,
            std::make_shared<const member_announcement>(announced)};
}

void cluster_site::notifyEntries(const member_view &member, absl::Duration delay)
{
    clock.after(delay, [this, member] {
        for (const auto &entry : entries) {
            if (entry->id == member.process)
                continue;
            entry->gate.pass([&entry = *entry, member] {
                if (entry.controller)
                    entry.controller->setMember(member);
            });
        }
    });
}

void cluster_site::publish(const std::string &key, const std::string &value)
{
    bool published = false;
    journal::config_changed change;
    change.key = key;
    change.value = value;
    change.request = request_id("setup-" + key);
    entries.front()->controller->publish(
        std::move(change), true, clock.now() + CallTimeout,
        [&](const auto &outcome) { published = outcome.has_value(); });
    runUntil([&] { return published; }, CallTimeout);
    clock.runFor(absl::Seconds(1));
}

job_spec cluster_site::spec(const std::string &request, const std::string &team, urgency level)
{
    job_spec spec;
    spec.request = request_id(request);
    spec.team = team_id(team);
    spec.id = jobIdFor(spec.team, spec.request);
    spec.caller = caller_id("caller");
    spec.level = level;
    spec.wanted = {2, 8, adjacency::Rack};
    spec.command = "run";
    return spec;
}

job_reply cluster_site::replyTo(caller_reply &slot)
{
    return [this, &slot](result<job_view> answer) {
        ++slot.count;
        slot.at = clock.now();
        slot.answer = std::move(answer);
    };
}

caller_reply &cluster_site::submit(std::size_t entry, const job_spec &spec, bool isRetry)
{
    caller_reply &slot = replies.emplace_back();
    job_spec sent = spec;
    sent.submittedAt = clock.now();
    entries[entry]->controller->submit(sent, isRetry, clock.now() + CallTimeout, replyTo(slot));
    return slot;
}

caller_reply &cluster_site::command(std::size_t entry, const job_id &job,
                                    journal::command_kind kind, const std::string &request)
{
    caller_reply &slot = replies.emplace_back();
    entries[entry]->controller->command(job, kind, request_id(request), clock.now() + CallTimeout,
                                        replyTo(slot));
    return slot;
}

caller_reply &cluster_site::wait(std::size_t entry, const job_id &job, absl::Duration timeout)
{
    caller_reply &slot = replies.emplace_back();
    entries[entry]->controller->wait(job, clock.now() + timeout, replyTo(slot));
    return slot;
}

std::optional<job_state> cluster_site::stateAt(std::size_t entry, const job_id &job) const
{
    const auto view = entries[entry]->controller->view(job);
    return view ? std::optional(view->entry.state) : std::nullopt;
}

std::size_t cluster_site::decider() const
{
    const auto it = std::find_if(entries.begin(), entries.end(), [](const auto &entry) {
        return entry->controller && !entry->gate.paused && entry->controller->isDecider();
    });
    return static_cast<std::size_t>(it - entries.begin());
}

void cluster_site::killEntry(std::size_t index)
{
    cluster_entry &entry = *entries[index];
    gangs.network.detach(entry.id);
    entry.controller.reset();
    entry.log.reset();
    entry.gate = {};
    notifyEntries(viewOf(entry, member_state::Dead), DetectionTime);
}

void cluster_site::pauseEntry(std::size_t index)
{
    entries[index]->gate.paused = true;
    notifyEntries(viewOf(*entries[index], member_state::Dead), DetectionTime);
}

void cluster_site::resumeEntry(std::size_t index)
{
    notifyEntries(viewOf(*entries[index], member_state::Alive), absl::Seconds(1));
    entries[index]->gate.resume();
}

void cluster_site::leaveAgent(std::size_t index)
{
    gangs.nodes[index]->process->setLeaving(true);
    notifyEntries(viewOf(*gangs.nodes[index], index, member_state::Leaving),
                  absl::Milliseconds(500));
}

void cluster_site::setRunTime(absl::Duration runTime)
{
    for (const auto &node : gangs.nodes)
        node->current().runTime = runTime;
}

bool cluster_site::runUntil(const std::function<bool()> &done, absl::Duration limit)
{
    const absl::Time end = clock.now() + limit;
    while (!done() && clock.now() < end)
        clock.runFor(absl::Milliseconds(10));
    return done();
}

void cluster_site::atMessage(std::function<bool(const gang_message &)> matches,
                             std::function<void()> action)
{
    gangs.network.setFilter([this, fired = std::make_shared<bool>(false),
                             matches = std::move(matches), action = std::move(action)](
                                const process_id &, const process_id &, const gang_message &sent) {
        if (*fired || !matches(sent))
            return true;
        *fired = true;
        clock.after(absl::ZeroDuration(), action);
        return false;
    });
}

std::size_t cluster_site::runningTasks(const job_id &job) const
{
    std::size_t count = 0;
    for (const auto &node : gangs.nodes) {
        const auto &runs = node->current().runs();
        count += static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [&](auto &run) {
            return run.id.job == job && run.until == absl::InfiniteFuture();
        }));
    }
    return count;
}

std::size_t cluster_site::startedTasks(const job_id &job) const
{
    std::size_t count = 0;
    for (const auto &node : gangs.nodes) {
        const auto &runs = node->current().runs();
        count += static_cast<std::size_t>(
            std::count_if(runs.begin(), runs.end(), [&](auto &run) { return run.id.job == job; }));
    }
    return count;
}

absl::Time cluster_site::firstStart(const job_id &job) const
{
    absl::Time first = absl::InfiniteFuture();
    for (const auto &node : gangs.nodes) {
        for (const task_run &run : node->current().runs()) {
            if (run.id.job == job)
                first = std::min(first, run.from);
        }
    }
    return first;
}

std::size_t cluster_site::completeAttempts(const job_id &job, std::size_t members) const
{
    std::map<attempt_number, std::set<std::uint32_t>> completedMembers;
    for (const auto &node : gangs.nodes) {
        for (const task_run &run : node->current().runs()) {
            // A lease ends earlier than the run time only when the task was stopped.
            if (run.id.job == job && run.until - run.from >= node->current().runTime)
                completedMembers[run.id.attempt].insert(run.id.member);
        }
    }
    return static_cast<std::size_t>(
        std::count_if(completedMembers.begin(), completedMembers.end(),
                      [&](const auto &attempt) { return attempt.second.size() == members; }));
}

std::string cluster_site::violation(const job_spec &spec)
{
    for (const caller_reply &reply : replies) {
        if (reply.count > 1)
            return absl::StrFormat("I3: a request was answered %d times", reply.count);
    }
    return violationOf(gangs, spec.id, spec.wanted.members, spec.repeatable);
}

cell_result judgeCompleted(cluster_site &site, std::size_t entry, const job_spec &spec)
{
    site.runUntil([&] { return site.stateAt(entry, spec.id) == job_state::Completed; },
                  CompletionLimit);
    const caller_reply &reply = site.wait(entry, spec.id, absl::Seconds(1));
    site.clock.runFor(absl::Seconds(10));
    if (const std::string violation = site.violation(spec); !violation.empty())
        return {false, violation};
    if (!reply.hasState(job_state::Completed)) {
        return {false,
                absl::StrFormat("the job did not end as Completed; it is %s",
                                reply.isAccepted()
                                    ? JobStateNames.name((*reply.answer)->entry.state)
                                    : "unknown")};
    }
    const std::size_t completed = site.completeAttempts(spec.id, spec.wanted.members);
    if (completed != 1)
        return {false, absl::StrFormat("%d attempts ran to their end instead of one", completed)};
    if (site.runningTasks(spec.id) != 0)
        return {false, "I2: a part of the gang runs after the end of the job"};
    return {true, {}};
}

} // namespace hyssoppond::faults
