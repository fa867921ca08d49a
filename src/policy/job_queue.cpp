/// @file Queue of jobs by shape, team and key, with fair shares between the teams.
#include "hyssoppond/policy/job_queue_base.h"

#include <bit>

namespace hyssoppond {

std::uint32_t job_queue::teamNumber(const team_id &team)
{
    const auto [found, added]
        = m_numbers.try_emplace(team.str(), static_cast<std::uint32_t>(m_teams.size()));
    if (added)
        m_teams.emplace_back();
    return found->second;
}

double job_queue::shareOf(const team_entry &team) const
{
    return m_fairShares ? static_cast<double>(team.use) / team.weight : 0;
}

void job_queue::removeHead(const team_entry &team, const shape &wanted)
{
    const auto found = team.lanes.find(wanted);
    if (found == team.lanes.end() || found->second.empty())
        return;
    const auto &[key, sequence] = found->second.begin()->first;
    lane &where = m_lanes[wanted];
    m_steps += std::bit_width(where.heads.size());
    where.heads.erase({shareOf(team), key, sequence});
}

void job_queue::addHead(const team_entry &team, const shape &wanted)
{
    const auto found = team.lanes.find(wanted);
    if (found == team.lanes.end() || found->second.empty())
        return;
    const auto &[head, job] = *found->second.begin();
    lane &where = m_lanes[wanted];
    m_steps += std::bit_width(where.heads.size());
    where.heads[{shareOf(team), head.first, head.second}] = job;
}

template<class change>
void job_queue::changeShare(std::uint32_t team, const change &apply)
{
    team_entry &entry = m_teams[team];
    for (const auto &[wanted, jobs] : entry.lanes)
        removeHead(entry, wanted);
    apply(entry);
    for (const auto &[wanted, jobs] : entry.lanes)
        addHead(entry, wanted);
}

void job_queue::setWeight(std::uint32_t team, double weight)
{
    changeShare(team, [&](team_entry &entry) { entry.weight = weight; });
}

void job_queue::addUse(std::uint32_t team, std::int64_t accelerators)
{
    changeShare(team, [&](team_entry &entry) { entry.use += accelerators; });
}

void job_queue::insert(job_entry &job)
{
    team_entry &team = m_teams[job.team];
    const rank at {job.key, job.sequence};
    removeHead(team, job.spec.wanted);
    team.lanes[job.spec.wanted][at] = &job;
    addHead(team, job.spec.wanted);
    lane &where = m_lanes[job.spec.wanted];
    m_steps += std::bit_width(where.jobs.size());
    where.jobs[at] = &job;
    if (job.spec.level == urgency::Urgent)
        m_urgent[job.team][job.spec.wanted][at] = &job;
    ++team.queued;
    ++m_size;
}

void job_queue::erase(const job_entry &job)
{
    team_entry &team = m_teams[job.team];
    const shape &wanted = job.spec.wanted;
    const rank at {job.key, job.sequence};
    removeHead(team, wanted);
    const auto ofTeam = team.lanes.find(wanted);
    ofTeam->second.erase(at);
    if (ofTeam->second.empty())
        team.lanes.erase(ofTeam);
    else
        addHead(team, wanted);
    const auto where = m_lanes.find(wanted);
    m_steps += std::bit_width(where->second.jobs.size());
    where->second.jobs.erase(at);
    if (where->second.jobs.empty())
        m_lanes.erase(where);
    if (job.spec.level == urgency::Urgent) {
        const auto urgent = m_urgent.find(job.team);
        const auto ofShape = urgent->second.find(wanted);
        ofShape->second.erase(at);
        if (ofShape->second.empty())
            urgent->second.erase(ofShape);
        if (urgent->second.empty())
            m_urgent.erase(urgent);
    }
    --team.queued;
    --m_size;
}

job_entry *job_queue::best(const shape_test &fits) const
{
    const std::pair<const team_rank, job_entry *> *chosen = nullptr;
    for (const auto &[wanted, where] : m_lanes) {
        ++m_steps;
        const auto &head = *where.heads.begin();
        if ((chosen == nullptr || head.first < chosen->first) && fits(wanted))
            chosen = &head;
    }
    return chosen == nullptr ? nullptr : chosen->second;
}

job_entry *job_queue::oldestBlocked(const shape_test &fits) const
{
    const std::pair<const rank, job_entry *> *chosen = nullptr;
    for (const auto &[wanted, where] : m_lanes) {
        ++m_steps;
        const auto &head = *where.jobs.begin();
        if ((chosen == nullptr || head.first < chosen->first) && !fits(wanted))
            chosen = &head;
    }
    return chosen == nullptr ? nullptr : chosen->second;
}

} // namespace hyssoppond
