/// @file Queue of jobs by shape, team and key, with fair shares between the teams.
#include "hyssoppond/policy/job_queue_base.h"

#include <bit>

namespace hyssoppond {

std::uint32_t job_queue::teamNumber(const team_id &team)
{
    const auto [found, added]
        = m_teamNumbers.try_emplace(team.str(), static_cast<std::uint32_t>(m_teams.size()));
    if (added)
        m_teams.emplace_back();
    return found->second;
}

double job_queue::shareOf(const team_entry &team) const
{
    return m_fairShares ? static_cast<double>(team.usedAccelerators) / team.weight : 0;
}

void job_queue::removeHead(const team_entry &team, const shape &wanted)
{
    const auto found = team.jobsByShape.find(wanted);
    if (found == team.jobsByShape.end() || found->second.empty())
        return;
    const auto &[key, sequence] = found->second.begin()->first;
    shape_queue &shapeQueue = m_shapeQueues[wanted];
    m_steps += std::bit_width(shapeQueue.heads.size());
    shapeQueue.heads.erase({shareOf(team), key, sequence});
}

void job_queue::addHead(const team_entry &team, const shape &wanted)
{
    const auto found = team.jobsByShape.find(wanted);
    if (found == team.jobsByShape.end() || found->second.empty())
        return;
    const auto &[head, job] = *found->second.begin();
    shape_queue &shapeQueue = m_shapeQueues[wanted];
    m_steps += std::bit_width(shapeQueue.heads.size());
    shapeQueue.heads[{shareOf(team), head.first, head.second}] = job;
}

template<class change>
void job_queue::changeShare(std::uint32_t team, const change &apply)
{
    team_entry &entry = m_teams[team];
    for (const auto &[wanted, jobs] : entry.jobsByShape)
        removeHead(entry, wanted);
    apply(entry);
    for (const auto &[wanted, jobs] : entry.jobsByShape)
        addHead(entry, wanted);
}

void job_queue::setWeight(std::uint32_t team, double weight)
{
    changeShare(team, [&](team_entry &entry) { entry.weight = weight; });
}

void job_queue::addUsedAccelerators(std::uint32_t team, std::int64_t accelerators)
{
    changeShare(team, [&](team_entry &entry) { entry.usedAccelerators += accelerators; });
}

void job_queue::insert(scheduled_job &job)
{
    team_entry &team = m_teams[job.team];
    const rank position {job.key, job.sequence};
    removeHead(team, job.spec.wanted);
    team.jobsByShape[job.spec.wanted][position] = &job;
    addHead(team, job.spec.wanted);
    shape_queue &shapeQueue = m_shapeQueues[job.spec.wanted];
    m_steps += std::bit_width(shapeQueue.jobs.size());
    shapeQueue.jobs[position] = &job;
    if (job.spec.level == urgency::Urgent)
        m_urgent[job.team][job.spec.wanted][position] = &job;
    ++team.queued;
    ++m_size;
}

void job_queue::erase(const scheduled_job &job)
{
    team_entry &team = m_teams[job.team];
    const shape &wanted = job.spec.wanted;
    const rank position {job.key, job.sequence};
    removeHead(team, wanted);
    const auto teamJobs = team.jobsByShape.find(wanted);
    teamJobs->second.erase(position);
    if (teamJobs->second.empty())
        team.jobsByShape.erase(teamJobs);
    else
        addHead(team, wanted);
    const auto shapeQueue = m_shapeQueues.find(wanted);
    m_steps += std::bit_width(shapeQueue->second.jobs.size());
    shapeQueue->second.jobs.erase(position);
    if (shapeQueue->second.jobs.empty())
        m_shapeQueues.erase(shapeQueue);
    if (job.spec.level == urgency::Urgent) {
        const auto urgent = m_urgent.find(job.team);
        const auto shapeJobs = urgent->second.find(wanted);
        shapeJobs->second.erase(position);
        if (shapeJobs->second.empty())
            urgent->second.erase(shapeJobs);
        if (urgent->second.empty())
            m_urgent.erase(urgent);
    }
    --team.queued;
    --m_size;
}

scheduled_job *job_queue::best(const shape_test &fits) const
{
    const std::pair<const team_rank, scheduled_job *> *chosen = nullptr;
    for (const auto &[wanted, shapeQueue] : m_shapeQueues) {
        ++m_steps;
        const auto &head = *shapeQueue.heads.begin();
        if ((chosen == nullptr || head.first < chosen->first) && fits(wanted))
            chosen = &head;
    }
    return chosen == nullptr ? nullptr : chosen->second;
}

scheduled_job *job_queue::oldestBlocked(const shape_test &fits) const
{
    const std::pair<const rank, scheduled_job *> *chosen = nullptr;
    for (const auto &[wanted, shapeQueue] : m_shapeQueues) {
        ++m_steps;
        const auto &head = *shapeQueue.jobs.begin();
        if ((chosen == nullptr || head.first < chosen->first) && !fits(wanted))
            chosen = &head;
    }
    return chosen == nullptr ? nullptr : chosen->second;
}

} // namespace hyssoppond
