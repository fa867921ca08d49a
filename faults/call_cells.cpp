/// @file Cells for calls: each fault at each kind of message of the call protocol.
#include "call_checks_base.h"

#include <algorithm>

namespace hyssoppond::faults {
namespace {

constexpr std::size_t Request = 0;
constexpr std::size_t Response = 1;
constexpr std::size_t Fence = 3;

cell_result judge(const std::string &invariant, const call_site &site,
                  const message_fault_injector &messages, std::size_t step)
{
    if (messages.seen(step) == 0)
        return {false, "no message of this step was sent"};
    // The other invariants must hold in the same run.
    for (const char *other : {"I3", "I4", "I5", "I6"}) {
        const std::string violation = checkInvariant(other, site);
        if (!violation.empty())
            return {false, (other == invariant ? "" : std::string(other) + ": ") + violation};
    }
    const auto unanswered
        = std::find_if(site.submissions.begin(), site.submissions.end(),
                       [](const submission_record &record) { return record.answers.empty(); });
    if (unanswered != site.submissions.end())
        return {false, unanswered->what.id.request.str() + " was never answered"};
    return {true, ""};
}

using switch_off = std::function<void(site_options &)>;

site_options optionsOf(const cell_context &context, const switch_off &switchOff)
{
    site_options options = smallSite();
    if (context.mechanismOff && switchOff)
        switchOff(options);
    return options;
}

/// Runs the load while one fault is applied to messages of one kind.
cell_result runMessageFault(const cell_context &context, const std::string &invariant,
                            const message_rule &rule, const switch_off &switchOff = {})
{
    const site_options options = optionsOf(context, switchOff);
    call_site site(context.seed, options);
    message_fault_injector messages(&site);
    // Lost messages make the entries send queries and fences.
    messages.add(rule);
    messages.add({Request, message_fault::Lose, 0.05, {}});
    messages.add({Response, message_fault::Lose, 0.2, {}});
    load_options load;
    load.calls = 120;
    addLoad(site, load);
    // One agent is silent for a while, so that fences are sent.
    site.clock.after(absl::Seconds(1), [&site] { site.agents[0].runner->faults.hang = true; });
    site.clock.after(absl::Seconds(2), [&site] { site.agents[0].runner->faults.hang = false; });
    site.clock.runFor(absl::Seconds(15));
    return judge(invariant, site, messages, rule.kind);
}

/// Runs the load and calls `action` at the first message of one kind.
cell_result runEvent(const cell_context &context, const std::string &invariant, std::size_t step,
                     const site_options &options, const call_event &action)
{
    call_site site(context.seed, options);
    message_fault_injector messages(&site);
    messages.add({Response, message_fault::Lose, 0.1, {}});
    messages.add({Request, message_fault::Duplicate, 1, absl::Milliseconds(900)});
    load_options load;
    load.calls = 300;
    load.span = absl::Seconds(10);
    // A retry may run an id whose first submission was answered "not run".
    load.retryElsewhere = invariant != "I4";
    addLoad(site, load);
    site.clock.after(absl::Milliseconds(300),
                     [&site] { site.agents[0].runner->faults.hang = true; });
    site.clock.after(absl::Seconds(2), [&site] { site.agents[0].runner->faults.hang = false; });
    messages.atNext(step, site.clock.now() + absl::Milliseconds(500),
                    [&](const process_id &from, const process_id &to) { action(site, from, to); });
    site.clock.runFor(absl::Seconds(20));
    return judge(invariant, site, messages, step);
}

void cutLink(call_site &site, const process_id &from, const process_id &to)
{
    site.net.cut(from, to);
    site.net.cut(to, from);
}

void restartAgent(call_site &site, const process_id &from, const process_id &to)
{
    const std::size_t agent = agentOf(site, from, to);
    site.restartAgent(agent);
    site.clock.after(absl::Milliseconds(700),
                     [&site, agent] { site.announce(site.agents[agent], false); });
}

/// The last agent, which does not hang, restarts three times.
void restartRepeatedly(call_site &site, const process_id &, const process_id &)
{
    for (int i = 0; i < 3; ++i) {
        site.clock.after(absl::Milliseconds(800) * i, [&site] {
            site.restartAgent(site.agents.size() - 1);
            site.announce(site.agents.back(), false);
        });
    }
}

void killAgent(call_site &site, const process_id &from, const process_id &to)
{
    const std::size_t agent = agentOf(site, from, to);
    site.killAgent(agent);
    site.clock.after(absl::Seconds(3), [&site, agent] { site.removeEverywhere(agent); });
}

/// All agents refuse calls for 300 ms, once a second while load arrives.
void leaveAndReturn(call_site &site, const process_id &from, const process_id &to)
{
    if (site.clock.now() < absl::FromUnixSeconds(1'000'010)) // while load arrives
        site.clock.after(absl::Seconds(1), [&site, from, to] { leaveAndReturn(site, from, to); });
    for (auto &agent : site.agents)
        agent.executor->setLeaving(true);
    site.clock.after(absl::Milliseconds(300), [&site] {
        for (auto &agent : site.agents) {
            agent.executor->setLeaving(false);
            site.announce(agent, false);
        }
    });
}

/// The last agent leaves and informs the first `entries` entries. Its runner is not the one that
/// hangs.
call_event leaveInforming(std::size_t entries)
{
    return [entries](call_site &site, const process_id &, const process_id &) {
        site.leave(site.agents.size() - 1, entries);
    };
}

/// The journal of bindings fails in one way for two seconds.
call_event failBindings(bool binding_faults::*fault)
{
    return [fault](call_site &site, const process_id &, const process_id &) {
        site.binding.*fault = true;
        site.clock.after(absl::Seconds(2), [&site, fault] { site.binding.*fault = false; });
    };
}

/// Adds one cell for each step, in which `action` is called at that step.
void addEvents(std::vector<cell> &all, const std::string &invariant, const std::string &fault,
               const call_event &action, const switch_off &switchOff = {},
               const std::string &mechanism = {})
{
    for (std::size_t step = 0; step < CallSteps.size(); ++step) {
        all.push_back({invariant, fault, CallSteps[step],
                       [=](const cell_context &context) {
                           return runEvent(context, invariant, step, optionsOf(context, switchOff),
                                           action);
                       },
                       mechanism});
    }
}

/// Adds a cell in which a fault is applied to the messages of one step.
void addMessages(std::vector<cell> &all, const std::string &invariant, const std::string &fault,
                 const message_rule &rule, const switch_off &switchOff = {},
                 const std::string &mechanism = {})
{
    all.push_back({invariant, fault, CallSteps[rule.kind],
                   [=](const cell_context &context) {
                       return runMessageFault(context, invariant, rule, switchOff);
                   },
                   mechanism});
}

void verifyOff(site_options &options)
{
    options.router.verifyAnswers = false;
}
void deduplicationOff(site_options &options)
{
    options.executor.deduplication = false;
}
void bindingOff(site_options &options)
{
    options.router.bindRequests = false;
}
void fencesOff(site_options &options)
{
    options.executor.fences = false;
}
void incarnationCheckOff(site_options &options)
{
    options.executor.incarnationCheck = false;
}
void leavingCheckOff(site_options &options)
{
    options.executor.leavingCheck = false;
}
void certainNotRunOff(site_options &options)
{
    options.router.certainNotRun = false;
}

void addMessageFaults(std::vector<cell> &all)
{
    const auto addAll = [&all](const std::string &fault, message_rule rule) {
        for (rule.kind = 0; rule.kind < CallSteps.size(); ++rule.kind) {
            addMessages(all, "I3", fault, rule);
            addMessages(all, "I4", fault, rule);
            // In this load callers send each id again at another entry.
            addMessages(all, "I5", fault, rule, bindingOff, "request-binding");
        }
    };
    addAll("message-lost", {0, message_fault::Lose, 0.4, {}});
    addAll("message-late", {0, message_fault::Delay, 0.4, absl::Seconds(2)});
    addAll("message-after-deadline", {0, message_fault::Delay, 0.4, absl::Seconds(5)});
    addAll("message-duplicated", {0, message_fault::Duplicate, 0.5, absl::Milliseconds(1)});
    addAll("message-duplicated-late", {0, message_fault::Duplicate, 0.5, absl::Seconds(1)});
    addAll("message-reordered", {0, message_fault::Delay, 0.5, absl::Milliseconds(20)});
    addMessages(all, "I3", "answer-truncated", {Response, message_fault::Truncate, 0.5, {}},
                verifyOff, "verify-answers");
    addMessages(all, "I3", "answer-corrupted", {Response, message_fault::Corrupt, 0.5, {}},
                verifyOff, "verify-answers");
    addMessages(all, "I3", "answer-crossed", {Response, message_fault::Cross, 0.5, {}}, verifyOff,
                "verify-answers");
    addMessages(all, "I3", "request-truncated", {Request, message_fault::Truncate, 0.3, {}});
    addMessages(all, "I5", "request-repeated-by-network",
                {Request, message_fault::Duplicate, 0.5, absl::Milliseconds(300)}, deduplicationOff,
                "ledger");
    addMessages(all, "I5", "answer-lost-and-asked-again", {Response, message_fault::Lose, 0.5, {}},
                deduplicationOff, "ledger");
}

/// Requests arrive after their fence and before their deadline.
cell_result runDelayPastFence(const cell_context &context)
{
    call_site site(context.seed, optionsOf(context, fencesOff));
    message_fault_injector messages(&site);
    messages.add({Request, message_fault::Delay, 0.7, absl::Milliseconds(3400)});
    load_options load;
    load.retryElsewhere = false;
    load.calls = 120;
    addLoad(site, load);
    site.clock.runFor(absl::Seconds(15));
    return judge("I4", site, messages, Fence);
}

std::vector<cell> build()
{
    std::vector<cell> all;
    addMessageFaults(all);
    all.push_back({"I4", "request-after-fence", CallSteps[Fence], runDelayPastFence, "fences"});
    addEvents(all, "I3", "silent-link", cutLink);
    addEvents(all, "I3", "agent-killed", killAgent);
    addEvents(all, "I4", "silent-link", cutLink, certainNotRunOff, "certain-not-run");
    addEvents(all, "I4", "agent-killed", killAgent, certainNotRunOff, "certain-not-run");
    addEvents(all, "I4", "agent-restarted", restartAgent, certainNotRunOff, "certain-not-run");
    addEvents(all, "I4", "entry-drained",
              [](call_site &site, const process_id &, const process_id &) {
                  site.entries[0].router->drain();
              });
    addEvents(all, "I4", "agent-drained", leaveInforming(2));
    addEvents(all, "I4", "agent-drained-and-returned", leaveAndReturn, fencesOff, "fences");
    addEvents(all, "I5", "silent-link", cutLink, bindingOff, "request-binding");
    addEvents(all, "I5", "agent-killed", killAgent, bindingOff, "request-binding");
    addEvents(all, "I5", "agent-restarted", restartAgent);
    addEvents(all, "I5", "agent-restarted-repeatedly", restartRepeatedly, incarnationCheckOff,
              "incarnation-check");
    addEvents(all, "I5", "log-down-at-binding", failBindings(&binding_faults::down), bindingOff,
              "request-binding");
    addEvents(all, "I5", "log-refuses-binding", failBindings(&binding_faults::refuse), bindingOff,
              "request-binding");
    addEvents(all, "I5", "answer-of-binding-lost", failBindings(&binding_faults::loseAnswers),
              bindingOff, "request-binding");
    addEvents(all, "I6", "announced-to-one-entry", leaveInforming(1), leavingCheckOff,
              "leaving-check");
    addEvents(all, "I6", "announcement-lost", leaveInforming(0), leavingCheckOff, "leaving-check");
    return all;
}

const cell_registration Registration(build);

} // namespace
} // namespace hyssoppond::faults
