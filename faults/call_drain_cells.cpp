/// @file Cells for graceful shutdown (I7) with calls in flight.
#include "call_checks_base.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace hyssoppond::faults {
namespace {

/// Steps that occur without faults. A fence is sent only for a call that misses its deadline.
const std::vector<std::size_t> DrainSteps {0, 1, 2, 5, 6, 7};

cell_result judge(const call_site &site, std::size_t drainedEntry, bool stepReached,
                  absl::Time drainedAt)
{
    if (!stepReached)
        return {false, "no message of this step was sent"};
    for (const char *invariant : {"I3", "I4", "I5", "I6"}) {
        const std::string violation = checkInvariant(invariant, site);
        if (!violation.empty())
            return {false, std::string(invariant) + ": " + violation};
    }
    for (const submission_record &record : site.submissions) {
        const std::string name = record.what.id.request.str();
        if (record.answers.empty())
            return {false, name + " was never answered"};
        // A call that was answered before the shutdown was not in flight.
        if (record.answers[0] || record.answeredAt < drainedAt)
            continue;
        const error &failure = record.answers[0].error();
        const std::string reasonName(ReasonNames.name(failure.why));
        if (failure.state != execution::NotRun)
            return {false, absl::StrFormat("%s was interrupted (%s)", name, reasonName)};
        if (record.what.repeatable && failure.why == reason::Leaving)
            return {false, name + " was refused by the leaving agent and not sent elsewhere"};
        // The drained entry finishes its calls; the other one may refuse calls for overload.
        if (drainedEntry == record.entry && record.at < drainedAt)
            return {false,
                    absl::StrFormat("%s was in flight and was refused (%s)", name, reasonName)};
    }
    return {true, ""};
}

std::size_t busiestAgent(const call_site &site)
{
    const auto busiest = std::max_element(
        site.agents.begin(), site.agents.end(), [](const auto &a, const auto &b) {
            return a.executor->busySlots() < b.executor->busySlots();
        });
    return static_cast<std::size_t>(busiest - site.agents.begin());
}

/// Drains an entry or an agent at the first message of a step, without any other fault.
cell_result runOnce(const cell_context &context, std::size_t step, bool entry)
{
    site_options options = smallSite();
    options.router.drain = !context.mechanismOff;
    options.executor.finishRunning = !context.mechanismOff;
    if (CallSteps[step] == "refused")
        options.executorSettings.maxWaiting = 0; // so that refusals occur under every seed
    call_site site(context.seed, options);
    message_fault_injector messages(&site);
    load_options load;
    load.calls = 120;
    load.span = absl::Seconds(8);
    load.deadline = absl::Seconds(20);
    load.meanService = absl::Milliseconds(400);
    load.retryElsewhere = false;
    addLoad(site, load);
    absl::Time drainedAt = absl::InfiniteFuture();
    std::size_t busiest = 0;
    messages.atNext(step, site.clock.now() + absl::Seconds(4),
                    [&](const process_id &, const process_id &) {
                        drainedAt = site.clock.now();
                        if (entry)
                            site.entries[0].router->drain();
                        else
                            site.leave(busiest = busiestAgent(site), site.entries.size());
                    });
    site.clock.runFor(absl::Seconds(40));
    if (entry && !site.entries[0].router->isDrained())
        return {false, "the entry did not finish its calls"};
    if (!entry && !site.agents[busiest].executor->isIdle())
        return {false, "the agent did not finish its calls"};
    return judge(site, entry ? 0 : site.entries.size(), drainedAt < absl::InfiniteFuture(),
                 drainedAt);
}

/// Several runs per seed, because a shutdown affects only a few calls of one run.
cell_result run(const cell_context &context, std::size_t step, bool entry)
{
    constexpr std::uint64_t Runs = 4;
    for (std::uint64_t i = 0; i < Runs; ++i) {
        cell_result outcome = runOnce({context.seed * Runs + i, context.mechanismOff}, step, entry);
        if (!outcome.passed)
            return outcome;
    }
    return {true, ""};
}

std::vector<cell> build()
{
    std::vector<cell> all;
    for (const std::size_t step : DrainSteps) {
        all.push_back({"I7", "entry-drained", CallSteps[step],
                       [step](const cell_context &context) { return run(context, step, true); },
                       "drain"});
        all.push_back({"I7", "agent-drained", CallSteps[step],
                       [step](const cell_context &context) { return run(context, step, false); },
                       "finish-running"});
    }
    return all;
}

const cell_registration Registration(build);

} // namespace
} // namespace hyssoppond::faults
