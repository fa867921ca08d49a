/// @file Cells of gangs that need one mechanism each, and of graceful leaving.
#include "gang_scenario_base.h"

namespace hyssoppond::faults {

namespace {

const job_id Job("j");

gang_options optionsWithout(bool gang_mechanisms::*mechanism, const cell_context &context)
{
    gang_options options;
    options.mechanisms.*mechanism = !context.mechanismOff;
    return options;
}

cell_result resultOf(const std::string &violation)
{
    return {violation.empty(), violation};
}

std::size_t runCount(gang_site &site)
{
    std::size_t count = 0;
    for (const auto &node : site.nodes) {
        for (const auto &worker : node->workers)
            count += worker->runs().size();
    }
    return count;
}

/// The coordinator dies when some members have received gang_start.
cell_result coordinatorDiesWhileStarting(const cell_context &context)
{
    gang_site site(context.seed, 4, optionsWithout(&gang_mechanisms::settlement, context));
    site_entry &entry = site.addEntry("entry");
    site.network.setFilter(
        [&](const process_id &, const process_id &to, const gang_message &message) {
            return !std::holds_alternative<gang_start>(message) || to == site.nodes[1]->agent;
        });
    (void)entry.process->start(site.placementOf("j", 1, 4));
    site.clock.runFor(absl::Milliseconds(200));
    site.killEntry(entry);
    site.clock.runFor(absl::Seconds(20));
    const std::size_t ran = runCount(site);
    if (ran != 4)
        return {false, "I2: " + std::to_string(ran) + " of 4 members ever ran"};
    return resultOf(violationOf(site, Job, 4, true));
}

/// A worker and the coordinator die while the gang runs.
cell_result memberAndCoordinatorDie(const cell_context &context)
{
    gang_site site(context.seed, 6, optionsWithout(&gang_mechanisms::treeLease, context));
    site_entry &entry = site.addEntry("entry");
    (void)entry.process->start(site.placementOf("j", 1, 6));
    site.clock.runFor(absl::Seconds(5));
    site.killEntry(entry);
    // The root is not killed, because it would stop the others by its own message.
    site.crashWorker(*site.nodes[1 + context.seed % 5]);
    site.clock.runFor(absl::Seconds(20));
    if (runCount(site) != 6)
        return {false, "the gang did not start"};
    return resultOf(violationOf(site, Job, 6, true));
}

/// One member does not receive the stop.
cell_result stopDoesNotArrive(const cell_context &context)
{
    gang_site site(context.seed, 4, optionsWithout(&gang_mechanisms::waitForFencing, context));
    site_entry &entry = site.addEntry("entry");
    (void)entry.process->start(site.placementOf("j", 1, 4));
    site.clock.runFor(absl::Seconds(5));
    site.network.cut(entry.id, site.nodes[3]->agent);
    (void)entry.process->stop(Job, 1, stop_cause::Cancel);
    site.clock.runFor(absl::Seconds(30));
    if (runCount(site) != 4 || site.ends.size() != 1)
        return {false, "the gang did not start or end"};
    return resultOf(violationOf(site, Job, 4, true));
}

/// A decider that was paused starts a placement that is void, next to the valid one.
cell_result oldDeciderStarts(const cell_context &context)
{
    gang_site site(context.seed, 6, optionsWithout(&gang_mechanisms::epochCheck, context));
    site_entry &old = site.addEntry("entry-1");
    site_entry &current = site.addEntry("entry-2");
    // The agents learn the new epoch from any gang of the new decider.
    (void)current.process->start(site.placementOf("other", 1, 6, 2, 0x0f));
    site.clock.runFor(absl::Seconds(2));
    (void)current.process->start(site.placementOf("j", 1, 2, 2, 0x10));
    gang_placement stale = site.placementOf("j", 1, 4, 1, 0x10);
    stale.members.erase(stale.members.begin(), stale.members.begin() + 2);
    (void)old.process->start(stale);
    site.clock.runFor(absl::Seconds(10));
    if (site.starts.size() < 2)
        return {false, "the valid placement did not start"};
    return resultOf(violationOf(site, Job, 2, true));
}

/// A gang_start arrives at an instance that has been replaced since, after the end of the attempt.
cell_result startReachesReplacedInstance(const cell_context &context)
{
    gang_site site(context.seed, 3, optionsWithout(&gang_mechanisms::incarnationCheck, context));
    site_entry &entry = site.addEntry("entry");
    site.network.setFilter(
        [&](const process_id &from, const process_id &to, const gang_message &message) {
            if (std::holds_alternative<gang_start>(message) && to == site.nodes[2]->agent) {
                site.clock.after(absl::Milliseconds(1500), [&site, from, message] {
                    if (site.nodes[2]->process)
                        site.nodes[2]->process->receive(from, message);
                });
            }
            return true;
        });
    (void)entry.process->start(site.placementOf("j", 1, 3));
    site.clock.runFor(absl::Milliseconds(500));
    (void)entry.process->stop(Job, 1, stop_cause::Cancel);
    site.clock.runFor(absl::Milliseconds(200));
    if (site.ends.size() != 1)
        return {false, "the attempt did not end"};
    site.replaceInstance(*site.nodes[2]);
    site.clock.runFor(absl::Seconds(10));
    return resultOf(violationOf(site, Job, 3, true));
}

/// An agent is paused before it reads its gang_start, until the attempt has ended.
cell_result startReadAfterPause(const cell_context &context)
{
    gang_site site(context.seed, 3, optionsWithout(&gang_mechanisms::startBefore, context));
    site_entry &entry = site.addEntry("entry");
    site.onSend = [&](const process_id &, const gang_message &message) {
        if (std::holds_alternative<gang_start>(message))
            site.nodes[1]->gate.paused = true;
    };
    (void)entry.process->start(site.placementOf("j", 1, 3));
    site.clock.runFor(absl::Seconds(20));
    if (site.ends.size() != 1)
        return {false, "the attempt did not end"};
    site.nodes[1]->gate.resume();
    site.clock.runFor(absl::Seconds(10));
    return resultOf(violationOf(site, Job, 3, true));
}

/// An agent that is leaving gets a reservation.
cell_result leavingAgentRefuses(const cell_context &context)
{
    gang_site site(context.seed, 4, {});
    site_entry &entry = site.addEntry("entry");
    (void)entry.process->start(site.placementOf("running", 1, 4, 1, 0x01));
    site.clock.runFor(absl::Seconds(2));
    site.nodes[2]->process->setLeaving(true);
    (void)entry.process->start(site.placementOf("j", 1, 4, 1, 0x02));
    site.clock.runFor(absl::Seconds(10));
    if (site.ends.size() != 1 || site.ends[0].outcome != attempt_outcome::Aborted)
        return {false, "I6: the reservation was not aborted"};
    if (runCount(site) != 4)
        return {false, "I6: new work ran, or running work was lost"};
    return resultOf(violationOf(site, job_id("running"), 4, true));
}

/// An entry that is leaving hands its running gang over to a new one. If `fromAgentsOnly`, the new
/// entry learns of the gang only from the agents.
cell_result handOver(const cell_context &context, bool fromAgentsOnly)
{
    gang_site site(context.seed, 5, {});
    site_entry &old = site.addEntry("entry-1");
    (void)old.process->start(site.placementOf("j", 1, 5));
    site.clock.runFor(absl::Seconds(5));
    old.process->resign();
    site_entry &current = site.addEntry("entry-2");
    if (fromAgentsOnly) {
        site.onDiscovered = [&](const gang_placement &found) {
            (void)current.process->takeOver(found); // repeated for each member that answers
        };
        current.process->discover({site.nodes[4]->agent, site.nodes[1]->agent}, 2);
    } else {
        gang_placement placement = site.placementOf("j", 1, 5, 1);
        placement.epoch = 2;
        (void)current.process->takeOver(placement);
    }
    site.clock.runFor(absl::Seconds(20));
    if (site.starts.size() != 2 || !site.ends.empty() || runCount(site) != 5)
        return {false, "I7: the running gang was not taken over"};
    (void)current.process->stop(Job, 1, stop_cause::Cancel);
    site.clock.runFor(absl::Seconds(5));
    if (site.ends.size() != 1)
        return {false, "I7: the gang did not end under its new coordinator"};
    return resultOf(violationOf(site, Job, 5, true));
}

const cell_registration Cells([] {
    return std::vector<cell> {
        {"I2", "gang-coordinator-dies", "some-started", coordinatorDiesWhileStarting, "settlement"},
        {"I2", "gang-member-and-coordinator-die", "running", memberAndCoordinatorDie, "tree-lease"},
        {"I4", "gang-stop-does-not-arrive", "stopping", stopDoesNotArrive, "wait-for-fencing"},
        {"I5", "gang-old-decider-starts", "after-new-epoch", oldDeciderStarts, "epoch-check"},
        {"I4", "gang-start-reaches-replaced-instance", "after-end", startReachesReplacedInstance,
         "incarnation-check"},
        {"I4", "gang-start-read-after-pause", "after-end", startReadAfterPause, "start-before"},
        {"I6", "gang-agent-leaving", "running", leavingAgentRefuses, ""},
        {"I7", "gang-entry-leaving", "running",
         [](const cell_context &context) { return handOver(context, false); }, ""},
        {"I7", "gang-entry-lost-with-log-down", "running",
         [](const cell_context &context) { return handOver(context, true); }, ""},
    };
});

} // namespace

} // namespace hyssoppond::faults
