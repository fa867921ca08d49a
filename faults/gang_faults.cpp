/// @file Faults that the cells of gangs apply.
#include "gang_scenario_base.h"

namespace hyssoppond::faults {

namespace {

using scenario = gang_scenario;

/// Conditions of the whole network for one type of message; all others pass.
gang_fault onMessages(std::size_t type, const std::string &how)
{
    const std::string name = std::string(GangMessageNames[type]) + "-" + how;
    return {name,
            [type, how](scenario &s, std::size_t) {
                auto repeating = std::make_shared<bool>(false);
                s.site.network.setFilter([&s, type, how, repeating](const process_id &from,
                                                                    const process_id &to,
                                                                    const gang_message &what) {
                    if (what.index() != type || *repeating)
                        return true;
                    if (how == "lost")
                        return s.site.clock.uniform() < 0.2; // some pass
                    const double span = how == "delayed" ? 4 : how == "reordered" ? 0.3 : 2;
                    s.site.clock.after(absl::Seconds(span * s.site.clock.uniform()),
                                       [&s, from, to, what, repeating] {
                                           *repeating = true;
                                           s.site.network.send(from, to, what);
                                           *repeating = false;
                                       });
                    return how == "duplicated";
                });
            },
            [](scenario &s, std::size_t) { s.site.network.setFilter(nullptr); }};
}

void pauseAgent(scenario &s, std::size_t victim)
{
    s.node(victim).gate.paused = true;
}

void resumeAgent(scenario &s, std::size_t victim)
{
    s.node(victim).gate.resume();
}

void cutMember(scenario &s, std::size_t victim, bool in, bool out)
{
    const process_id &self = s.node(victim).agent;
    const auto cut = [&](const process_id &other) {
        if (other == self)
            return;
        if (out)
            s.site.network.cut(self, other);
        if (in)
            s.site.network.cut(other, self);
    };
    for (const auto &node : s.site.nodes)
        cut(node->agent);
    for (const auto &entry : s.site.entries)
        cut(entry->id);
}

void cutEntry(scenario &s, bool in, bool out)
{
    for (const auto &node : s.site.nodes) {
        if (out)
            s.site.network.cut(s.entry().id, node->agent);
        if (in)
            s.site.network.cut(node->agent, s.entry().id);
    }
}

void restoreLinks(scenario &s, std::size_t)
{
    s.site.network.restoreAll();
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
    all.push_back(
        {"agent-killed", [](scenario &s, std::size_t v) { s.site.killAgent(s.node(v)); }, nullptr});
    all.push_back({"agent-restarted",
                   [](scenario &s, std::size_t v) { s.site.killAgent(s.node(v)); },
                   [](scenario &s, std::size_t v) { s.site.startAgent(s.node(v)); }});
    all.push_back({"instance-replaced",
                   [](scenario &s, std::size_t v) { s.site.replaceInstance(s.node(v)); }, nullptr});
    all.push_back({"agent-paused", pauseAgent, resumeAgent});
    all.push_back({"worker-killed",
                   [](scenario &s, std::size_t v) { s.site.crashWorker(s.node(v)); }, nullptr});
    all.push_back(
        {"worker-refuses-starts",
         [](scenario &s, std::size_t v) { s.node(v).current().faults.refuseStarts = true; },
         [](scenario &s, std::size_t v) { s.node(v).current().faults.refuseStarts = false; }});
    all.push_back(
        {"worker-answers-lost",
         [](scenario &s, std::size_t v) { s.node(v).current().faults.loseAnswers = true; },
         [](scenario &s, std::size_t v) { s.node(v).current().faults.loseAnswers = false; }});
    all.push_back({"coordinator-killed",
                   [](scenario &s, std::size_t) { s.site.killEntry(s.entry()); }, nullptr});
    all.push_back({"coordinator-replaced",
                   [](scenario &s, std::size_t) { s.site.killEntry(s.entry()); },
                   [](scenario &s, std::size_t) { s.takeOver(); }});
    all.push_back({"coordinator-paused-replaced-resumed",
                   [](scenario &s, std::size_t) {
                       s.entry().gate.paused = true;
                       s.site.clock.after(absl::Seconds(5), [&s] {
                           site_entry &old = s.entry();
                           s.takeOver();
                           s.site.clock.after(absl::Seconds(2), [&old] { old.gate.resume(); });
                       });
                   },
                   nullptr});
    all.push_back({"member-cut-off",
                   [](scenario &s, std::size_t v) { cutMember(s, v, true, true); }, restoreLinks});
    all.push_back({"member-cut-off-inbound",
                   [](scenario &s, std::size_t v) { cutMember(s, v, true, false); }, restoreLinks});
    all.push_back({"member-cut-off-outbound",
                   [](scenario &s, std::size_t v) { cutMember(s, v, false, true); }, restoreLinks});
    all.push_back({"coordinator-cut-off", [](scenario &s, std::size_t) { cutEntry(s, true, true); },
                   restoreLinks});
    all.push_back({"coordinator-cut-off-inbound",
                   [](scenario &s, std::size_t) { cutEntry(s, true, false); }, restoreLinks});
    all.push_back({"coordinator-cut-off-outbound",
                   [](scenario &s, std::size_t) { cutEntry(s, false, true); }, restoreLinks});
    all.push_back({"agent-leaving",
                   [](scenario &s, std::size_t v) { s.node(v).process->setLeaving(true); },
                   [](scenario &s, std::size_t v) { s.site.startAgent(s.node(v)); }});
    all.push_back(
        {"network-lossy",
         [](scenario &s, std::size_t) {
             s.site.network.setConditions(
                 {absl::Milliseconds(3), absl::Milliseconds(20), 0.3, 0.2});
         },
         [](scenario &s, std::size_t) { s.site.network.setConditions({absl::Milliseconds(3)}); }});
    return all;
}

} // namespace

const std::vector<gang_fault> &gangFaults()
{
    static const std::vector<gang_fault> all = build();
    return all;
}

} // namespace hyssoppond::faults
