/// @file Queue of jobs by shape, team and key, with fair shares between the teams.
#pragma once

#include "hyssoppond/policy/scheduled_job_type.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace hyssoppond {

/// Waiting jobs. Insertion and removal take time logarithmic in the length of the queue; the choice
/// of the next job takes time linear in the number of distinct shapes.
class job_queue
{
public:
    using shape_test = std::function<bool(const shape &)>;

    explicit job_queue(bool fairShares)
        : m_fairShares(fairShares)
    { }

    /// Number of a team, assigned on first use.
    std::uint32_t teamNumber(const team_id &team);
    /// Number of a team that was assigned before.
    std::uint32_t findTeam(const team_id &team) const { return m_teamNumbers.at(team.str()); }
    /// Sets the divisor of the team's use in its share; above 0.
    void setWeight(std::uint32_t team, double weight);
    /// Adds to the accelerators that the team uses; negative when a gang ends.
    void addUsedAccelerators(std::uint32_t team, std::int64_t accelerators);
    /// Accelerators that the team uses now.
    std::int64_t usedAccelerators(std::uint32_t team) const
    {
        return m_teams[team].usedAccelerators;
    }

    void insert(scheduled_job &job);
    void erase(const scheduled_job &job);
    /// Waiting jobs of the team.
    std::size_t queuedJobs(std::uint32_t team) const { return m_teams[team].queued; }
    std::size_t size() const { return m_size; }

    /// First job by share of its team, then by key, whose shape passes the test; null if none.
    scheduled_job *best(const shape_test &fits) const;
    /// Job with the lowest key whose shape fails the test; null if none.
    scheduled_job *oldestBlocked(const shape_test &fits) const;
    using rank = std::pair<double, std::uint64_t>; ///< key, sequence
    using jobs_by_shape = std::map<shape, std::map<rank, scheduled_job *>>;
    /// Urgent jobs by team and shape, in the order of their keys.
    const std::map<std::uint32_t, jobs_by_shape> &urgent() const { return m_urgent; }

    /// Tree nodes and shapes visited so far.
    std::uint64_t steps() const { return m_steps; }

private:
    using team_rank = std::tuple<double, double, std::uint64_t>; ///< share, key, sequence
    /// Jobs of one shape.
    struct shape_queue
    {
        std::map<team_rank, scheduled_job *> heads; ///< first job of each team, by share
        std::map<rank, scheduled_job *> jobs;
    };
    struct team_entry
    {
        double weight = 1;
        std::int64_t usedAccelerators = 0;
        std::size_t queued = 0;
        jobs_by_shape jobsByShape;
    };

    double shareOf(const team_entry &team) const;
    void removeHead(const team_entry &team, const shape &wanted);
    void addHead(const team_entry &team, const shape &wanted);
    template<class change>
    void changeShare(std::uint32_t team, const change &apply);

    bool m_fairShares;
    std::size_t m_size = 0;
    std::map<shape, shape_queue> m_shapeQueues;
    std::vector<team_entry> m_teams;
    absl::flat_hash_map<std::string, std::uint32_t> m_teamNumbers;
    std::map<std::uint32_t, jobs_by_shape> m_urgent;
    mutable std::uint64_t m_steps = 0;
};

} // namespace hyssoppond
