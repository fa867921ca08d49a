/// @file Weighted fair queues of calls.
#include "hyssoppond/routing/call_queue_base.h"

#include <algorithm>

namespace hyssoppond {
namespace {

// Number of callers per class above which callers are removed that have no queued calls and no
// debt, which means that their virtual time is not ahead of the caller served last. Without the
// removal a stream of new caller names would grow the table without bound.
constexpr std::size_t MaxIdleCallers = 256;
// Weight of the newest service time in the moving mean of a caller (0 to 1).
constexpr double EstimateGain = 0.1;

std::size_t indexOf(urgency level)
{
    return static_cast<std::size_t>(level);
}

} // namespace

call_queue::team_queue &call_queue::teamOf(const team_id &team)
{
    const auto [it, added] = m_teams.try_emplace(team);
    if (added) {
        it->second.maxQueued = m_settings.maxQueued;
        it->second.virtualTime = m_teamsVirtualTime;
        it->second.urgentCredit = absl::ToDoubleSeconds(m_settings.urgentBurst);
    }
    return it->second;
}

void call_queue::setTeam(const team_id &team, double weight, std::uint32_t maxQueued)
{
    team_queue &teamQueue = teamOf(team);
    teamQueue.weight = weight;
    teamQueue.maxQueued = maxQueued;
}

std::optional<queue_ticket> call_queue::push(queue_ticket ticket, const queue_flow &flow)
{
    team_queue &team = teamOf(flow.team);
    class_queue &queue = team.classes[indexOf(flow.level)];
    const auto [it, added] = queue.callers.try_emplace(flow.caller);
    caller_queue &caller = it->second;
    // An idle flow resumes at the present virtual time, so it does not accumulate unused service. A
    // flow whose virtual time is ahead, because it was charged more, keeps that time.
    if (team.size == 0)
        team.virtualTime = std::max(team.virtualTime, m_teamsVirtualTime);
    if (queue.size == 0)
        queue.virtualTime = std::max(queue.virtualTime, team.classesVirtualTime);
    if (caller.calls.empty())
        caller.virtualTime = std::max(caller.virtualTime, queue.callersVirtualTime);
    caller.calls.push_back(ticket);
    ++queue.size;
    ++team.size;
    ++m_size;
    if (queue.size <= team.maxQueued)
        return std::nullopt;
    return evict(queue, team, flow.caller);
}

queue_ticket call_queue::evict(class_queue &queue, team_queue &team, const caller_id &newcomer)
{
    // The newest call of the caller with the most queued calls is evicted, so that one caller
    // cannot fill the queue of its team.
    caller_queue *longest = &queue.callers.at(newcomer);
    for (auto &[id, caller] : queue.callers) {
        if (caller.calls.size() > longest->calls.size())
            longest = &caller;
    }
    const queue_ticket ticket = longest->calls.back();
    longest->calls.pop_back();
    --queue.size;
    --team.size;
    --m_size;
    return ticket;
}

call_queue::team_queue *call_queue::nextTeam(bool urgentOnly)
{
    team_queue *next = nullptr;
    for (auto &[id, team] : m_teams) {
        const bool eligible = urgentOnly
            ? team.urgentCredit > 0 && team.classes[indexOf(urgency::Urgent)].size > 0
            : team.size > 0;
        if (eligible && (next == nullptr || team.virtualTime < next->virtualTime))
            next = &team;
    }
    return next;
}

std::size_t call_queue::nextClass(const team_queue &team) const
{
    std::size_t next = team.classes.size();
    for (std::size_t i = team.classes.size(); i-- > 0;) {
        const class_queue &queue = team.classes[i];
        if (queue.size > 0
            && (next == team.classes.size() || queue.virtualTime < team.classes[next].virtualTime))
            next = i;
    }
    return next;
}

std::optional<queue_ticket> call_queue::pop()
{
    if (team_queue *team = nextTeam(true))
        return take(*team, indexOf(urgency::Urgent));
    team_queue *team = nextTeam(false);
    if (team == nullptr)
        return std::nullopt;
    return take(*team, nextClass(*team));
}

queue_ticket call_queue::take(team_queue &team, std::size_t index)
{
    class_queue &queue = team.classes[index];
    caller_queue *next = nullptr;
    for (auto &[id, caller] : queue.callers) {
        if (!caller.calls.empty() && (next == nullptr || caller.virtualTime < next->virtualTime))
            next = &caller;
    }
    m_teamsVirtualTime = std::max(m_teamsVirtualTime, team.virtualTime);
    team.classesVirtualTime = std::max(team.classesVirtualTime, queue.virtualTime);
    queue.callersVirtualTime = std::max(queue.callersVirtualTime, next->virtualTime);
    const queue_ticket ticket = next->calls.front();
    next->calls.pop_front();
    --queue.size;
    --team.size;
    --m_size;
    charge(team, queue, *next, static_cast<urgency>(index), next->estimate);
    removeIdleCallers(queue);
    return ticket;
}

void call_queue::charge(team_queue &team, class_queue &queue, caller_queue &caller, urgency level,
                        double seconds)
{
    earnUrgentCredit(seconds);
    if (level == urgency::Urgent)
        team.urgentCredit -= seconds;
    team.virtualTime += seconds / team.weight;
    queue.virtualTime += seconds / m_settings.classWeights[indexOf(level)];
    caller.virtualTime += seconds;
}

void call_queue::earnUrgentCredit(double seconds)
{
    double weights = 0;
    for (const auto &[id, team] : m_teams)
        weights += team.weight;
    const double maxCredit = absl::ToDoubleSeconds(m_settings.urgentBurst);
    for (auto &[id, team] : m_teams) {
        const double earned = seconds * m_settings.urgentShare * team.weight / weights;
        team.urgentCredit = std::min(maxCredit, team.urgentCredit + earned);
    }
}

void call_queue::remove(queue_ticket ticket, const queue_flow &flow)
{
    team_queue &team = teamOf(flow.team);
    class_queue &queue = team.classes[indexOf(flow.level)];
    const auto caller = queue.callers.find(flow.caller);
    if (caller == queue.callers.end())
        return;
    auto &calls = caller->second.calls;
    const auto it = std::find(calls.begin(), calls.end(), ticket);
    if (it == calls.end())
        return;
    calls.erase(it);
    --queue.size;
    --team.size;
    --m_size;
}

void call_queue::correct(const queue_flow &flow, absl::Duration service)
{
    team_queue &team = teamOf(flow.team);
    class_queue &queue = team.classes[indexOf(flow.level)];
    const auto it = queue.callers.find(flow.caller);
    if (it == queue.callers.end())
        return;
    const double seconds = absl::ToDoubleSeconds(service);
    charge(team, queue, it->second, flow.level, seconds - it->second.estimate);
    it->second.estimate += EstimateGain * (seconds - it->second.estimate);
}

void call_queue::refund(const queue_flow &flow)
{
    team_queue &team = teamOf(flow.team);
    class_queue &queue = team.classes[indexOf(flow.level)];
    const auto it = queue.callers.find(flow.caller);
    if (it != queue.callers.end())
        charge(team, queue, it->second, flow.level, -it->second.estimate);
}

absl::Duration call_queue::estimate(const queue_flow &flow) const
{
    const auto team = m_teams.find(flow.team);
    if (team == m_teams.end())
        return absl::ZeroDuration();
    const auto &callers = team->second.classes[indexOf(flow.level)].callers;
    const auto it = callers.find(flow.caller);
    return it == callers.end() ? absl::ZeroDuration() : absl::Seconds(it->second.estimate);
}

void call_queue::removeIdleCallers(class_queue &queue)
{
    if (queue.callers.size() <= MaxIdleCallers + queue.size)
        return;
    std::erase_if(queue.callers, [&queue](const auto &item) {
        return item.second.calls.empty() && item.second.virtualTime <= queue.callersVirtualTime;
    });
}

} // namespace hyssoppond
