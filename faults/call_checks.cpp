/// @file Load, message faults and checks of the recorded answers and runs, for the cells of calls.
#include "call_checks_base.h"

#include <absl/strings/str_format.h>

#include <map>
#include <utility>

namespace hyssoppond::faults {

message_fault_injector::message_fault_injector(call_site *site)
    : m_site(site)
    , m_seen(CallSteps.size())
{
    site->net.setFilter(
        [this](const process_id &from, const process_id &to, const call_message &message) {
            return m_bypass || filter(from, to, message);
        });
}

void message_fault_injector::atNext(
    std::size_t kind, absl::Time from,
    std::function<void(const process_id &, const process_id &)> action)
{
    m_triggers.push_back({kind, from, std::move(action)});
}

bool message_fault_injector::filter(const process_id &from, const process_id &to,
                                    const call_message &message)
{
    const std::size_t kind = message.index();
    ++m_seen[kind];
    std::erase_if(m_triggers, [&](trigger &pending) {
        if (pending.kind != kind || m_site->clock.now() < pending.from)
            return false;
        // Deferred, because the action may destroy the process that is sending.
        m_site->clock.after(absl::ZeroDuration(),
                            [action = std::move(pending.action), from, to] { action(from, to); });
        return true;
    });
    for (const message_rule &rule : m_rules) {
        if (rule.kind == kind && m_site->clock.uniform() < rule.probability)
            return apply(rule, from, to, message);
    }
    return true;
}

bool message_fault_injector::apply(const message_rule &rule, const process_id &from,
                                   const process_id &to, const call_message &message)
{
    switch (rule.fault) {
    case message_fault::None:
        return true;
    case message_fault::Lose:
        return false;
    case message_fault::Duplicate:
        sendLater(from, to, message, rule.delay);
        return true;
    case message_fault::Delay:
        sendLater(from, to, message, rule.delay);
        return false;
    case message_fault::Truncate:
    case message_fault::Corrupt: {
        call_message changed = message;
        if (auto *response = std::get_if<call_response>(&changed)) {
            if (rule.fault == message_fault::Truncate)
                response->payload.resize(response->payload.size() / 2);
            else if (!response->payload.empty())
                response->payload[0] ^= 1;
        }
        if (auto *request = std::get_if<call_request>(&changed))
            request->payload.resize(request->payload.size() / 2);
        sendLater(from, to, changed, absl::ZeroDuration());
        return false;
    }
    case message_fault::Cross:
        for (const auto &entry : m_site->entries) {
            if (entry.id != to)
                sendLater(from, entry.id, message, absl::ZeroDuration());
        }
        return false;
    }
    return true;
}

void message_fault_injector::sendLater(const process_id &from, const process_id &to,
                                       call_message message, absl::Duration delay)
{
    m_site->clock.after(delay, [this, from, to, message = std::move(message)] {
        m_bypass = true;
        m_site->net.send(from, to, message);
        m_bypass = false;
    });
}

std::size_t agentOf(const call_site &site, const process_id &from, const process_id &to)
{
    for (std::size_t i = 0; i < site.agents.size(); ++i) {
        if (site.agents[i].where.agent == from || site.agents[i].where.agent == to)
            return i;
    }
    return 0;
}

site_options smallSite()
{
    site_options options;
    options.executorSettings.slots = 2;
    options.executorSettings.maxWaiting = 1;
    options.routerSettings.routes.zoneLimit = 1;
    return options;
}

namespace {

call_submission makeCall(call_site &site, const load_options &options, std::size_t index)
{
    static const std::vector<urgency> levels {urgency::Background, urgency::Normal,
                                              urgency::Urgent};
    call_submission call;
    call.id = {team_id(absl::StrFormat("team-%d", index % 2)),
               request_id(absl::StrFormat("call-%d", index))};
    call.caller = caller_id(absl::StrFormat("caller-%d", index % 3));
    call.level = levels[site.clock.random() % levels.size()];
    call.deadline = site.clock.now() + options.deadline;
    call.payload = absl::StrFormat("payload %d", index);
    return call;
}

void submitWithRetry(call_site &site, const load_options &options, const call_submission &call)
{
    const std::size_t entry = site.clock.random() % site.entries.size();
    site.submit(entry, call);
    if (!options.retryElsewhere || call.repeatable)
        return;
    const absl::Duration wait = absl::Milliseconds(1 + site.clock.random() % 1500);
    site.clock.after(wait, [&site, call = call_submission(call), entry]() mutable {
        call.deadline += absl::Seconds(1);
        site.submit((entry + 1) % site.entries.size(), call);
    });
}

void submitWithToken(call_site &site, const load_options &options, const call_submission &call)
{
    const auto &entry = site.entries[site.clock.random() % site.entries.size()];
    if (!entry.router)
        return;
    entry.router->reserve(
        call.id.team, call.deadline,
        [&site, options, call = call_submission(call)](result<std::string> token) mutable {
            if (!token)
                return;
            call.token = *token;
            submitWithRetry(site, options, call);
        });
}

} // namespace

void addLoad(call_site &site, const load_options &options)
{
    for (auto &agent : site.agents) {
        agent.runner->serviceTime = [&site, mean = options.meanService](const runner_call &) {
            return mean * (0.2 + 1.6 * site.clock.uniform());
        };
    }
    std::vector<int> kinds;
    if (options.repeatable)
        kinds.push_back(0);
    if (options.bound)
        kinds.push_back(1);
    if (options.tokens)
        kinds.push_back(2);
    for (std::size_t i = 0; i < options.calls; ++i) {
        site.clock.after(options.span * site.clock.uniform(), [&site, options, kinds, i] {
            call_submission call = makeCall(site, options, i);
            const int kind = kinds[i % kinds.size()];
            call.repeatable = kind == 0;
            if (kind == 2)
                submitWithToken(site, options, call);
            else
                submitWithRetry(site, options, call);
        });
    }
}

namespace {

std::map<std::string, std::size_t> runsByRequest(const call_site &site)
{
    std::map<std::string, std::size_t> runs;
    for (const auto &agent : site.agents) {
        for (const call_run &run : agent.runner->runs())
            ++runs[run.request.str()];
    }
    return runs;
}

} // namespace

std::string checkAnswers(const call_site &site)
{
    for (const submission_record &record : site.submissions) {
        const std::string name = record.what.id.request.str();
        if (record.answers.size() > 1)
            return name + " was answered twice";
        if (!record.answers.empty() && record.answers[0]
            && *record.answers[0] != fake_runner::answerTo(record.what.payload))
            return name + " got \"" + *record.answers[0] + "\"";
    }
    return {};
}

std::string checkNotRun(const call_site &site)
{
    std::set<std::string> uncertain; // ids with an answer other than "not run", or with none
    for (const submission_record &record : site.submissions) {
        if (record.answers.empty() || record.answers[0]
            || record.answers[0].error().state != execution::NotRun)
            uncertain.insert(record.what.id.request.str());
    }
    const auto runs = runsByRequest(site);
    for (const submission_record &record : site.submissions) {
        const std::string name = record.what.id.request.str();
        if (!uncertain.contains(name) && runs.contains(name))
            return name + " ran although its caller was told that it did not";
    }
    return {};
}

std::string checkRunsOnce(const call_site &site)
{
    const auto runs = runsByRequest(site);
    for (const submission_record &record : site.submissions) {
        const auto it = runs.find(record.what.id.request.str());
        if (!record.what.repeatable && it != runs.end() && it->second > 1)
            return absl::StrFormat("%s ran %d times", it->first, it->second);
    }
    return {};
}

std::string checkLeaving(const call_site &site)
{
    for (const auto &agent : site.agents) {
        if (!agent.announcedAt)
            continue;
        for (const call_run &run : agent.runner->runs()) {
            const absl::Duration late = run.from - *agent.announcedAt;
            if (late > absl::Seconds(3))
                return absl::StrFormat("%s began %s after its endpoint announced its departure",
                                       run.request.str(), absl::FormatDuration(late));
        }
    }
    return {};
}

std::string checkInvariant(const std::string &invariant, const call_site &site)
{
    if (invariant == "I3")
        return checkAnswers(site);
    if (invariant == "I4")
        return checkNotRun(site);
    if (invariant == "I5")
        return checkRunsOnce(site);
    return checkLeaving(site);
}

} // namespace hyssoppond::faults
