/// @file Cells of departure (I6) and of failure detection, which the other invariants build on.
#include "cell_base.h"

#include "hyssoppond/fakes/fake_members_base.h"

#include <map>
#include <optional>

namespace hyssoppond::faults {
namespace {

constexpr std::size_t Zones = 4;
constexpr std::size_t Entries = 4; // the first nodes, one in each zone
constexpr std::size_t Agents = 11;
// I6: no new work later than this after the announcement.
constexpr absl::Duration LeaveLimit = absl::Seconds(3);
// A lost member is known within the lease of a gang at design size (section 7.2).
constexpr absl::Duration DetectionLimit = absl::Seconds(15);
// A false death is corrected within the time in which a configuration must be in force (I8): until
// then, a live member that is taken for dead would miss it.
constexpr absl::Duration CorrectionLimit = absl::Seconds(6);
// Three attempts to reach a dead member, one every 10 s.
constexpr absl::Duration MergeLimit = absl::Seconds(30);
constexpr absl::Duration SettleTime = absl::Seconds(30);

/// Which mechanism a cell switches off.
using mechanism_switch = bool membership_mechanisms::*;

membership_settings settingsFor(const cell_context &context, mechanism_switch mechanism)
{
    membership_settings settings;
    if (context.mechanismOff && mechanism != nullptr)
        settings.mechanisms.*mechanism = false;
    return settings;
}

/// A started site and the record of live members that others took for dead.
struct member_site
{
    member_site(const cell_context &context, mechanism_switch mechanism,
                std::size_t agents = Agents)
        : members(context.seed, settingsFor(context, mechanism))
    {
        members.add(Entries, Zones, process_role::Entry);
        members.add(agents, Zones, process_role::Agent);
        members.onChange
            = [this](std::size_t observer, const member_view &view) { record(observer, view); };
        for (std::size_t i = 0; i < members.size(); ++i)
            indexOf[members.at(i).self.agent] = i;
    }
    void start()
    {
        members.startAll();
        members.clock.runFor(SettleTime);
    }
    void setLoss(double loss)
    {
        link_conditions conditions;
        conditions.loss = loss;
        members.network.setConditions(conditions);
    }
    void record(std::size_t observer, const member_view &view)
    {
        const std::size_t subject = indexOf.at(view.process);
        const fake_members::node &node = members.at(subject);
        const std::pair key {observer, subject};
        const bool isFalseDeath = view.state == member_state::Dead && node.running && !node.paused
            && node.self.incarnation == view.incarnation;
        if (isFalseDeath) {
            falseSince.emplace(key, members.clock.now());
            ++falseDeaths;
        } else if (const auto it = falseSince.find(key); it != falseSince.end()) {
            longestFalse = std::max(longestFalse, members.clock.now() - it->second);
            falseSince.erase(it);
        }
    }
    /// Longest time that a live member was taken for dead, including members that still are.
    absl::Duration longestFalseDeath() const
    {
        absl::Duration longest = longestFalse;
        for (const auto &[key, since] : falseSince)
            longest = std::max(longest, members.clock.now() - since);
        return longest;
    }

    fake_members members;
    std::map<process_id, std::size_t> indexOf;
    std::map<std::pair<std::size_t, std::size_t>, absl::Time> falseSince;
    absl::Duration longestFalse;
    std::uint64_t falseDeaths = 0;
};

cell_result verdict(bool passed, const std::string &detail)
{
    return {passed, passed ? "" : detail};
}

/// Work that entries send to an endpoint, recorded at the endpoint.
class work_record
{
public:
    /// Each entry sends work each 50 ms while it considers the endpoint available.
    work_record(member_site *site, std::size_t agent, bool agentRefuses)
        : m_site(site)
        , m_agent(agent)
        , m_agentRefuses(agentRefuses)
    { }
    void runFor(absl::Duration span)
    {
        const absl::Time end = m_site->members.clock.now() + span;
        while (m_site->members.clock.now() < end) {
            for (std::size_t entry = 0; entry < Entries; ++entry)
                offer(entry);
            m_site->members.clock.runFor(absl::Milliseconds(50));
        }
    }
    absl::Time lastAccepted() const { return m_last; }

private:
    void offer(std::size_t entry)
    {
        fake_members &members = m_site->members;
        const member_state state = members.seen(entry, m_agent);
        if (state == member_state::Leaving || state == member_state::Dead
            || !members.canReach(entry, m_agent))
            return;
        const auto &agent = members.at(m_agent).running;
        if (!m_agentRefuses || !agent || !agent->isLeaving())
            m_last = members.clock.now();
    }

    member_site *m_site;
    std::size_t m_agent;
    bool m_agentRefuses;
    absl::Time m_last = absl::InfinitePast();
};

cell_result judgeDeparture(const work_record &work, absl::Time announced, std::size_t agent)
{
    const absl::Duration late = work.lastAccepted() - announced;
    return verdict(late <= LeaveLimit,
                   "agent " + std::to_string(agent) + " got work " + absl::FormatDuration(late)
                       + " after it announced its departure");
}

/// Several agents leave one after the other, so that lost packets show under each seed.
cell_result leaveInTurn(const cell_context &context, double loss, bool killAfterwards)
{
    member_site site(context, &membership_mechanisms::retransmission);
    site.start();
    site.setLoss(loss);
    for (std::size_t agent = Entries; agent < Entries + 8; ++agent) {
        work_record work(&site, agent, false);
        const absl::Time announced = site.members.clock.now();
        site.members.leave(agent);
        if (killAfterwards)
            site.members.kill(agent);
        work.runFor(absl::Seconds(5));
        if (cell_result outcome = judgeDeparture(work, announced, agent); !outcome.passed)
            return outcome;
    }
    return {true, ""};
}

cell_result leaveHeardByOne(const cell_context &context)
{
    member_site site(context, &membership_mechanisms::retransmission);
    site.start();
    const std::size_t agent = Entries;
    const process_id leavingAgent = site.members.at(agent).self.agent;
    // Only the first agent that the leaving agent informs receives the message; agents send no
    // work.
    std::optional<process_id> firstRecipient;
    site.members.allow = [&](const process_id &from, const process_id &to) {
        if (from != leavingAgent || !site.members.at(agent).running->isLeaving())
            return true;
        if (!firstRecipient && site.indexOf.at(to) >= Entries)
            firstRecipient = to;
        return firstRecipient == to;
    };
    site.setLoss(0.1);
    work_record work(&site, agent, false);
    const absl::Time announced = site.members.clock.now();
    site.members.leave(agent);
    work.runFor(absl::Seconds(6));
    return judgeDeparture(work, announced, agent);
}

/// While the zone is cut, entries outside cannot know; the agent's own refusal keeps I6 after the
/// cut is healed. Its switch is part of this cell, because the agent is not simulated here.
cell_result leaveInCutZone(const cell_context &context)
{
    member_site site(context, nullptr);
    site.start();
    const std::size_t agent = Entries;
    for (std::size_t zone = 1; zone < Zones; ++zone) {
        site.members.cut("zone-0", "zone-" + std::to_string(zone));
        site.members.cut("zone-" + std::to_string(zone), "zone-0");
    }
    work_record work(&site, agent, !context.mechanismOff);
    const absl::Time announced = site.members.clock.now();
    site.members.leave(agent);
    work.runFor(absl::Milliseconds(3500));
    site.members.healAll();
    work.runFor(LeaveLimit);
    if (cell_result outcome = judgeDeparture(work, announced, agent); !outcome.passed)
        return outcome;
    // Entries outside learn of the departure, too, so that refusals do not go on.
    for (std::size_t entry = 0; entry < Entries; ++entry) {
        const member_state state = site.members.seen(entry, agent);
        if (state != member_state::Leaving && state != member_state::Dead)
            return verdict(false, "an entry does not know of the departure after the cut ended");
    }
    return {true, ""};
}

cell_result killed(const cell_context &context)
{
    member_site site(context, nullptr);
    site.start();
    site.setLoss(0.1);
    const std::size_t victim = context.seed % site.members.size();
    site.members.kill(victim);
    const bool known = site.members.runUntil(
        [&] {
            for (std::size_t i = 0; i < site.members.size(); ++i) {
                if (i != victim && site.members.seen(i, victim) != member_state::Dead)
                    return false;
            }
            return true;
        },
        DetectionLimit);
    return verdict(known, "a killed process is not known to be dead after the limit");
}

bool allAvailable(const member_site &site)
{
    return site.members.allSee(member_state::Alive);
}

cell_result paused(const cell_context &context)
{
    member_site site(context, &membership_mechanisms::refutation);
    site.start();
    const std::size_t victim = context.seed % site.members.size();
    site.members.pause(victim, absl::Seconds(40));
    site.members.clock.runFor(absl::Seconds(40) + CorrectionLimit);
    const fake_members::node &node = site.members.at(victim);
    if (node.staleReports != 1 || node.running->isStale())
        return verdict(false, "the pause was not reported once, or never ended");
    return verdict(allAvailable(site), "a resumed process is still taken for dead");
}

/// Without the check, the resumed process acts on state from before the pause.
cell_result pausedReport(const cell_context &context)
{
    member_site site(context, &membership_mechanisms::pauseCheck);
    site.start();
    site.members.pause(Entries, absl::Seconds(20));
    site.members.clock.runFor(absl::Seconds(30));
    return verdict(site.members.at(Entries).staleReports == 1, "the pause was not reported");
}

cell_result restarted(const cell_context &context)
{
    member_site site(context, &membership_mechanisms::incarnationCheck);
    site.start();
    link_conditions conditions;
    conditions.jitter = absl::Milliseconds(150); // old messages arrive after the restart
    conditions.duplication = 0.2;
    conditions.loss = 0.1;
    site.members.network.setConditions(conditions);
    const std::size_t victim = context.seed % site.members.size();
    site.members.leave(victim);
    site.members.clock.runFor(absl::Milliseconds(100));
    site.members.start(victim);
    site.members.clock.runFor(DetectionLimit);
    site.setLoss(0);
    const bool allAlive
        = site.members.runUntil([&] { return allAvailable(site); }, CorrectionLimit);
    return verdict(allAlive, "a restarted process is taken for its earlier incarnation");
}

cell_result zoneRestarted(const cell_context &context)
{
    member_site site(context, &membership_mechanisms::incarnationCheck);
    site.start();
    for (std::size_t i = 0; i < site.members.size(); i += Zones)
        site.members.start(i);
    const bool allAlive = site.members.runUntil([&] { return allAvailable(site); }, DetectionLimit);
    return verdict(allAlive, "processes of a restarted zone are not known to all");
}

/// Under these seeds, restarted processes took the incomplete views of others that had just started
/// for complete ones.
cell_result zoneRestartedThroughNewMembers(const cell_context &context)
{
    for (const std::uint64_t seed : {25, 63, 75, 84, 92, 123, 141, 145, 160, 162}) {
        if (cell_result outcome = zoneRestarted({seed, context.mechanismOff}); !outcome.passed)
            return {false, outcome.detail + " seed=" + std::to_string(seed)};
    }
    return {true, ""};
}

cell_result lossyRun(const cell_context &context, std::size_t agents, absl::Duration span)
{
    member_site site(context, &membership_mechanisms::refutation, agents);
    site.start();
    site.setLoss(0.1);
    site.members.clock.runFor(span);
    return verdict(site.longestFalseDeath() <= CorrectionLimit,
                   "a live member was taken for dead for "
                       + absl::FormatDuration(site.longestFalseDeath()));
}

cell_result zoneCut(const cell_context &context)
{
    member_site site(context, &membership_mechanisms::deadRetry);
    site.start();
    const std::string zone = "zone-" + std::to_string(context.seed % Zones);
    for (std::size_t other = 0; other < Zones; ++other) {
        const std::string name = "zone-" + std::to_string(other);
        if (name != zone) {
            site.members.cut(zone, name);
            site.members.cut(name, zone);
        }
    }
    site.members.clock.runFor(absl::Minutes(3));
    const auto seenAcross = [&] {
        for (std::size_t a = 0; a < site.members.size(); ++a) {
            for (std::size_t b = 0; b < site.members.size(); ++b) {
                if (!site.members.canReach(a, b) && site.members.seen(a, b) != member_state::Dead)
                    return true;
            }
        }
        return false;
    };
    if (seenAcross())
        return verdict(false, "a cut zone is not known to be unreachable after minutes");
    site.members.healAll();
    const bool allAlive = site.members.runUntil([&] { return allAvailable(site); }, MergeLimit);
    return verdict(allAlive, "the two sides have not merged after the cut was healed");
}

cell_result linkCutOneWay(const cell_context &context)
{
    member_site site(context, &membership_mechanisms::indirectProbes);
    site.start();
    const std::size_t from = context.seed % Zones;
    site.members.cut("zone-" + std::to_string(from), "zone-" + std::to_string((from + 1) % Zones));
    std::uint64_t suspicions = 0;
    const auto record = site.members.onChange;
    site.members.onChange = [&](std::size_t observer, const member_view &view) {
        suspicions += view.state == member_state::Suspect ? 1 : 0;
        record(observer, view);
    };
    site.members.clock.runFor(absl::Minutes(2));
    if (suspicions > 0 || site.falseDeaths > 0)
        return verdict(false,
                       "members that others reach were suspected " + std::to_string(suspicions)
                           + " times, dead " + std::to_string(site.falseDeaths) + " times");
    return verdict(allAvailable(site), "a member is not available to all");
}

/// A zone that hears all others but is not heard by them; they merge when it is heard again.
cell_result zoneNotHeard(const cell_context &context)
{
    member_site site(context, &membership_mechanisms::refutation);
    site.start();
    const std::size_t silentZone = context.seed % Zones;
    for (std::size_t other = 0; other < Zones; ++other) {
        if (other != silentZone)
            site.members.cut("zone-" + std::to_string(silentZone), "zone-" + std::to_string(other));
    }
    site.members.clock.runFor(absl::Minutes(2));
    site.members.healAll();
    const bool allAlive = site.members.runUntil([&] { return allAvailable(site); }, MergeLimit);
    return verdict(allAlive, "a zone that was not heard has not come back");
}

cell_result clockSkew(const cell_context &context)
{
    member_site site(context, nullptr);
    for (std::size_t i = 0; i < site.members.size(); ++i)
        site.members.at(i).skew = absl::Milliseconds(250) * (site.members.clock.uniform() * 2 - 1);
    site.start();
    if (!allAvailable(site))
        return verdict(false, "processes with skewed clocks do not see each other");
    work_record work(&site, Entries, false);
    const absl::Time announced = site.members.clock.now();
    site.members.leave(Entries);
    work.runFor(absl::Seconds(5));
    return judgeDeparture(work, announced, Entries);
}

/// One random fault.
void injectRandomFault(member_site &site)
{
    fake_members &members = site.members;
    const std::size_t index = members.clock.random() % members.size();
    const std::string a = "zone-" + std::to_string(members.clock.random() % Zones);
    const std::string b = "zone-" + std::to_string(members.clock.random() % Zones);
    switch (members.clock.random() % 6) {
    case 0:
        return members.kill(index);
    case 1:
    case 2:
        return members.start(index);
    case 3:
        if (members.at(index).running && !members.at(index).paused)
            members.pause(index, absl::Seconds(1 + members.clock.random() % 30));
        return;
    case 4:
        return members.cut(a, b);
    default:
        return members.healAll();
    }
}

cell_result randomSchedule(const cell_context &context)
{
    member_site site(context, &membership_mechanisms::refutation);
    site.start();
    site.setLoss(0.05);
    for (int i = 0; i < 60; ++i) {
        injectRandomFault(site);
        site.members.clock.runFor(absl::Seconds(site.members.clock.random() % 10));
    }
    site.members.healAll();
    site.setLoss(0);
    // Every pause ends within 30 s of its start.
    site.members.clock.runFor(absl::Seconds(30));
    const bool allAlive = site.members.runUntil([&] { return allAvailable(site); }, MergeLimit);
    return verdict(allAlive, "views differ after all faults have ended");
}

std::vector<cell> build()
{
    return {
        {"I6", "loss-10-percent", "leaving",
         [](const auto &context) { return leaveInTurn(context, 0.1, false); },
         "retransmission of events"},
        {"I6", "agent-killed", "after-announcement",
         [](const auto &context) { return leaveInTurn(context, 0.1, true); },
         "retransmission of events"},
        {"I6", "heard-by-one-process", "leaving", leaveHeardByOne, "retransmission of events"},
        {"I6", "zone-cut", "leaving", leaveInCutZone, "refusal by the agent"},
        {"I6", "clock-skew", "leaving", clockSkew, ""},
        {"detection", "killed", "any", killed, ""},
        {"detection", "paused", "resumed", paused, "refutation"},
        {"detection", "paused", "reported", pausedReport, "pause check"},
        {"detection", "restarted", "after-leaving", restarted, "incarnation check"},
        {"detection", "zone-restarted", "any", zoneRestarted, "incarnation check"},
        {"detection", "zone-restarted", "joined-through-new-members",
         zoneRestartedThroughNewMembers, "incarnation check"},
        {"detection", "loss-10-percent", "11-members",
         [](const auto &context) { return lossyRun(context, Agents - Entries, absl::Hours(1)); },
         "refutation"},
        {"detection", "loss-10-percent", "100-members",
         [](const auto &context) { return lossyRun(context, 100 - Entries, absl::Minutes(5)); },
         "refutation"},
        {"detection", "zone-cut", "healed", zoneCut, "retry of dead members"},
        {"detection", "link-cut-one-way", "any", linkCutOneWay, "indirect probes"},
        {"detection", "zone-not-heard", "healed", zoneNotHeard, "refutation"},
        {"detection", "random-schedule", "ended", randomSchedule, "refutation"},
    };
}

const cell_registration Registration(build);

} // namespace
} // namespace hyssoppond::faults
