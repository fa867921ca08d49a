/// @file Cells for calls with a random schedule of faults, alone, combined and repeated.
#include "call_checks_base.h"

#include <absl/strings/str_format.h>

namespace hyssoppond::faults {
namespace {

constexpr std::uint64_t SchedulesPerSeed = 25;
constexpr std::size_t EventsPerSchedule = 10;

using random_event = void (*)(call_site &, message_fault_injector &);

std::size_t anyAgent(call_site &site)
{
    return site.clock.random() % site.agents.size();
}

void damageMessages(call_site &site, message_fault_injector &messages)
{
    message_rule rule;
    rule.kind = site.clock.random() % CallSteps.size();
    rule.fault = static_cast<message_fault>(1 + site.clock.random() % 6);
    rule.probability = site.clock.uniform();
    rule.delay = absl::Milliseconds(site.clock.random() % 5000);
    messages.add(rule);
}

void repairMessages(call_site &, message_fault_injector &messages)
{
    messages.clear();
}

void worsenLinks(call_site &site, message_fault_injector &)
{
    site.net.setConditions({absl::Milliseconds(1 + site.clock.random() % 20),
                            absl::Milliseconds(site.clock.random() % 100),
                            site.clock.uniform() * 0.3, site.clock.uniform() * 0.3});
}

void cutSomeLink(call_site &site, message_fault_injector &)
{
    const auto &entry = site.entries[site.clock.random() % site.entries.size()];
    const auto &agent = site.agents[anyAgent(site)].where.agent;
    if (site.clock.random() % 2 == 0)
        site.net.cut(entry.id, agent);
    else
        site.net.cut(agent, entry.id);
}

void restoreLinks(call_site &site, message_fault_injector &)
{
    site.net.restoreAll();
}

void restartSomeAgent(call_site &site, message_fault_injector &)
{
    const std::size_t agent = anyAgent(site);
    site.restartAgent(agent);
    site.clock.after(absl::Milliseconds(site.clock.random() % 2000),
                     [&site, agent] { site.announce(site.agents[agent], false); });
}

void killSomeAgent(call_site &site, message_fault_injector &)
{
    const std::size_t agent = anyAgent(site);
    site.killAgent(agent);
    site.clock.after(absl::Seconds(2), [&site, agent] { site.removeEverywhere(agent); });
    site.clock.after(absl::Seconds(3), [&site, agent] {
        site.restartAgent(agent);
        site.announce(site.agents[agent], false);
    });
}

/// Membership reports a living agent as lost, and later as alive.
void removeWrongly(call_site &site, message_fault_injector &)
{
    const std::size_t agent = anyAgent(site);
    site.removeEverywhere(agent);
    site.clock.after(absl::Seconds(1), [&site, agent] {
        site.announce(site.agents[agent], site.agents[agent].announcedAt.has_value());
    });
}

void leaveSomeAgent(call_site &site, message_fault_injector &)
{
    site.leave(anyAgent(site), site.clock.random() % 3);
}

void failRunner(call_site &site, message_fault_injector &)
{
    runner_faults &faults = site.agents[anyAgent(site)].runner->faults;
    faults = {};
    switch (site.clock.random() % 5) {
    case 0:
        faults.failCalls = true;
        break;
    case 1:
        faults.loseAnswers = true;
        break;
    case 2:
        faults.hang = true;
        break;
    case 3:
        faults.slowdown = 20;
        break;
    default:
        break;
    }
}

void failLog(call_site &site, message_fault_injector &)
{
    site.binding = {};
    switch (site.clock.random() % 4) {
    case 0:
        site.binding.down = true;
        break;
    case 1:
        site.binding.refuse = true;
        break;
    case 2:
        site.binding.loseAnswers = true;
        break;
    default:
        break;
    }
}

void drainOrKillEntry(call_site &site, message_fault_injector &)
{
    const std::size_t entry = site.clock.random() % site.entries.size();
    if (!site.entries[entry].router)
        return;
    if (site.clock.random() % 2 == 0)
        site.entries[entry].router->drain();
    else if (site.entries.size() - entry > 1) // the last entry stays
        site.killEntry(entry);
}

constexpr random_event Events[]
    = {damageMessages, damageMessages,   repairMessages,  worsenLinks,   cutSomeLink,
       restoreLinks,   restartSomeAgent, killSomeAgent,   removeWrongly, leaveSomeAgent,
       failRunner,     failLog,          drainOrKillEntry};

void scheduleEvents(call_site &site, message_fault_injector &messages)
{
    for (std::size_t i = 0; i < EventsPerSchedule; ++i) {
        const random_event event = Events[site.clock.random() % std::size(Events)];
        site.clock.after(absl::Seconds(8) * site.clock.uniform(),
                         [&site, &messages, event] { event(site, messages); });
    }
}

std::string runSchedule(const std::string &invariant, std::uint64_t seed,
                        const site_options &options)
{
    call_site site(seed, options);
    message_fault_injector messages(&site);
    load_options load;
    load.calls = 200;
    load.span = absl::Seconds(8);
    load.retryElsewhere = invariant != "I4";
    addLoad(site, load);
    scheduleEvents(site, messages);
    site.clock.runFor(absl::Seconds(30));
    std::string violation = checkInvariant(invariant, site);
    for (const submission_record &record : site.submissions) {
        // Entries that were killed do not answer; the last entry is never killed.
        if (violation.empty() && record.answers.empty() && site.entries[0].router
            && site.entries[1].router)
            violation = record.what.id.request.str() + " was never answered";
    }
    return violation;
}

void switchOff(site_options &options, const std::string &invariant)
{
    if (invariant == "I3")
        options.router.verifyAnswers = false;
    else if (invariant == "I4")
        options.router.certainNotRun = false;
    else if (invariant == "I5")
        options.router.bindRequests = false;
    else
        options.executor.leavingCheck = false;
}

cell_result run(const cell_context &context, const std::string &invariant)
{
    site_options options = smallSite();
    if (context.mechanismOff)
        switchOff(options, invariant);
    for (std::uint64_t i = 0; i < SchedulesPerSeed; ++i) {
        const std::uint64_t seed = context.seed * SchedulesPerSeed + i;
        const std::string violation = runSchedule(invariant, seed, options);
        if (!violation.empty())
            return {false, absl::StrFormat("schedule %d: %s", i, violation)};
    }
    return {true, ""};
}

std::vector<cell> build()
{
    const std::vector<std::pair<std::string, std::string>> mechanisms {{"I3", "verify-answers"},
                                                                       {"I4", "certain-not-run"},
                                                                       {"I5", "request-binding"},
                                                                       {"I6", "leaving-check"}};
    std::vector<cell> all;
    all.reserve(mechanisms.size());
    for (const auto &[invariant, mechanism] : mechanisms) {
        all.push_back({invariant, "random-schedule-of-calls", "any",
                       [invariant = invariant](const cell_context &context) {
                           return run(context, invariant);
                       },
                       mechanism});
    }
    return all;
}

const cell_registration Registration(build);

} // namespace
} // namespace hyssoppond::faults
