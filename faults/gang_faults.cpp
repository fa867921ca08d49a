/// @file Faults that the cells of gangs apply.
#include "gang_scenario_base.h"

namespace hyssoppond::faults {

namespace {

using scenario = gang_scenario;

/// Loses, delays, duplicates or reorders, as `how` says, the messages of one type on all links.
gang_fault onMessages(std::size_t type, const std::string &how)
{
    const std::string name = std::string(GangMessageNames[type]) + "-" + how;
    return {name,
            [type, how](scenario &run, std::size_t) {
                auto repeating = std::make_shared<bool>(false);
                run.site.network.setFilter(
                    [&run, type, how, repeating](const process_id &from, const process_id &to,
                                                 const gang_message &message) {
                        if (message.index() != type || *repeating)
                            return true;
                        if (how == "lost")
                            return run.site.clock.uniform() < 0.2; // 20% pass
                        const double span = how == "delayed" ? 4 : how == "reordered" ? 0.3 : 2;
                        run.site.clock.after(absl::Seconds(span * run.site.clock.uniform()),
                                             [&run, from, to, message, repeating] {
                                                 *repeating = true;
                                                 run.site.network.send(from, to, message);
                                                 *repeating = false;
                                             });
                        return how == "duplicated";
                    });
            },
            [](scenario &run, std::size_t) { run.site.network.setFilter(nullptr); }};
}

void pauseAgent(scenario &run, std::size_t victim)
{
    run.node(victim).gate.paused = true;
}

void resumeAgent(scenario &run, std::size_t victim)
{
    run.node(victim).gate.resume();
}

void cutMember(scenario &run, std::size_t victim, bool in, bool out)
{
    const process_id &self = run.node(victim).agent;
    const auto cut = [&](const process_id &other) {
        if (other == self)
            return;
        if (out)
            run.site.network.cut(self, other);
        if (in)
            run.site.network.cut(other, self);
    };
    for (const auto &node : run.site.nodes)
        cut(node->agent);
    for (const auto &entry : run.site.entries)
        cut(entry->id);
}

void cutEntry(scenario &run, bool in, bool out)
{
    for (const auto &node : run.site.nodes) {
        if (out)
            run.site.network.cut(run.entry().id, node->agent);
        if (in)
            run.site.network.cut(node->agent, run.entry().id);
    }
}

void restoreLinks(scenario &run, std::size_t)
{
    run.site.network.restoreAll();
}

std::vector<gang_fault> build()
{
    std::vector<gang_fault> all;
    for (std::size_t type = 0; type < 12; ++type) { // without the throttle messages
        if (GangMessageNames[type] == "gang_throttle")
            continue;
        for (const char *how : {"lost", "delayed", "duplicated", "reordered"})
            all.push_back(onMessages(type, how));
    }
    all.push_back({"agent-killed",
                   [](scenario &run, std::size_t victim) { run.site.killAgent(run.node(victim)); },
                   nullptr});
    all.push_back(
        {"agent-restarted",
         [](scenario &run, std::size_t victim) { run.site.killAgent(run.node(victim)); },
         [](scenario &run, std::size_t victim) { run.site.startAgent(run.node(victim)); }});
    all.push_back(
        {"instance-replaced",
         [](scenario &run, std::size_t victim) { run.site.replaceInstance(run.node(victim)); },
         nullptr});
    all.push_back({"agent-paused", pauseAgent, resumeAgent});
    all.push_back(
        {"worker-killed",
         [](scenario &run, std::size_t victim) { run.site.crashWorker(run.node(victim)); },
         nullptr});
    all.push_back({"worker-refuses-starts",
                   [](scenario &run, std::size_t victim) {
                       run.node(victim).current().faults.refuseStarts = true;
                   },
                   [](scenario &run, std::size_t victim) {
                       run.node(victim).current().faults.refuseStarts = false;
                   }});
    all.push_back({"worker-answers-lost",
                   [](scenario &run, std::size_t victim) {
                       run.node(victim).current().faults.loseAnswers = true;
                   },
                   [](scenario &run, std::size_t victim) {
                       run.node(victim).current().faults.loseAnswers = false;
                   }});
    all.push_back({"coordinator-killed",
                   [](scenario &run, std::size_t) { run.site.killEntry(run.entry()); }, nullptr});
    all.push_back({"coordinator-replaced",
                   [](scenario &run, std::size_t) { run.site.killEntry(run.entry()); },
                   [](scenario &run, std::size_t) { run.takeOver(); }});
    all.push_back({"coordinator-paused-replaced-resumed",
                   [](scenario &run, std::size_t) {
                       run.entry().gate.paused = true;
                       run.site.clock.after(absl::Seconds(5), [&run] {
                           site_entry &old = run.entry();
                           run.takeOver();
                           run.site.clock.after(absl::Seconds(2), [&old] { old.gate.resume(); });
                       });
                   },
                   nullptr});
    all.push_back({"member-cut-off",
                   [](scenario &run, std::size_t victim) { cutMember(run, victim, true, true); },
                   restoreLinks});
    all.push_back({"member-cut-off-inbound",
                   [](scenario &run, std::size_t victim) { cutMember(run, victim, true, false); },
                   restoreLinks});
    all.push_back({"member-cut-off-outbound",
                   [](scenario &run, std::size_t victim) { cutMember(run, victim, false, true); },
                   restoreLinks});
    all.push_back({"coordinator-cut-off",
                   [](scenario &run, std::size_t) { cutEntry(run, true, true); }, restoreLinks});
    all.push_back({"coordinator-cut-off-inbound",
                   [](scenario &run, std::size_t) { cutEntry(run, true, false); }, restoreLinks});
    all.push_back({"coordinator-cut-off-outbound",
                   [](scenario &run, std::size_t) { cutEntry(run, false, true); }, restoreLinks});
    all.push_back(
        {"agent-leaving",
         [](scenario &run, std::size_t victim) { run.node(victim).process->setLeaving(true); },
         [](scenario &run, std::size_t victim) { run.site.startAgent(run.node(victim)); }});
    all.push_back({"network-lossy",
                   [](scenario &run, std::size_t) {
                       run.site.network.setConditions(
                           {absl::Milliseconds(3), absl::Milliseconds(20), 0.3, 0.2});
                   },
                   [](scenario &run, std::size_t) {
                       run.site.network.setConditions({absl::Milliseconds(3)});
                   }});
    return all;
}

} // namespace

const std::vector<gang_fault> &gangFaults()
{
    static const std::vector<gang_fault> all = build();
    return all;
}

} // namespace hyssoppond::faults
