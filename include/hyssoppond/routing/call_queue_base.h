/// @file Bounded queues of calls per team and class, served in weighted fair order.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/base/id_type.h"
#include "hyssoppond/world/job_type.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace hyssoppond {

/// Shares and limits of a call_queue.
struct queue_settings
{
    std::uint32_t maxQueued = 200; ///< calls per team and class
    /// Share (0 to 1) of a team's service that its urgent calls get before all other calls. Urgent
    /// calls beyond this share compete with the normal ones, so that a team gains nothing by
    /// marking everything urgent.
    double urgentShare = 0.25;
    absl::Duration urgentBurst = absl::Milliseconds(500); ///< limit of accumulated urgent service
    /// Weights of the classes within a team: Background, Normal, Urgent beyond the urgent share.
    std::array<double, 3> classWeights {1, 2, 1};
};

/// Key of a call in the queue, chosen by the code that pushes it.
using queue_ticket = std::uint64_t;

/// Team, caller and class that are charged for a call.
struct queue_flow
{
    team_id team;
    caller_id caller;
    urgency level = urgency::Normal;
};

/// Start-time fair queueing over teams, then classes, then callers. A call is charged with its
/// estimated service time when pop() takes it, and the charge is corrected when it ends.
class call_queue
{
public:
    explicit call_queue(queue_settings settings)
        : m_settings(settings)
    { }

    /// Sets the weight and the queue bound of a team; other teams have weight 1.
    void setTeam(const team_id &team, double weight, std::uint32_t maxQueued);

    /// Adds a call. If the queue of its team and class is full, evicts a call and returns its
    /// ticket, which may be the new one.
    std::optional<queue_ticket> push(queue_ticket ticket, const queue_flow &flow);
    /// Takes the next call and charges its flow; nothing if the queue is empty.
    std::optional<queue_ticket> pop();
    /// Removes a call that was not taken.
    void remove(queue_ticket ticket, const queue_flow &flow);
    /// Replaces the estimate charged by pop() with the measured service time.
    void correct(const queue_flow &flow, absl::Duration service);
    /// Returns the charge of a call that was taken but not served.
    void refund(const queue_flow &flow);
    std::size_t size() const { return m_size; }
    /// Estimated service time of the caller's next call; zero if the caller is not known.
    absl::Duration estimate(const queue_flow &flow) const;

private:
    struct caller_queue
    {
        double virtualTime = 0; ///< seconds of charged service
        double estimate = 0.01; ///< seconds; moving mean of the caller's service times
        std::deque<queue_ticket> calls;
    };
    struct class_queue
    {
        double virtualTime = 0;        ///< seconds of charged service per weight
        double callersVirtualTime = 0; ///< virtual time of the caller served last
        std::size_t size = 0;
        std::map<caller_id, caller_queue> callers;
    };
    struct team_queue
    {
        double weight = 1;
        std::uint32_t maxQueued = 0;   ///< calls per class
        double virtualTime = 0;        ///< seconds of charged service per weight
        double classesVirtualTime = 0; ///< virtual time of the class served last
        double urgentCredit = 0; ///< seconds of service that urgent calls get before all others
        std::size_t size = 0;
        std::array<class_queue, 3> classes;
    };

    team_queue &teamOf(const team_id &team);
    void charge(team_queue &team, class_queue &queue, caller_queue &caller, urgency level,
                double seconds);
    void earnUrgentCredit(double seconds);
    team_queue *nextTeam(bool urgentOnly);
    std::size_t nextClass(const team_queue &team) const;
    queue_ticket take(team_queue &team, std::size_t index);
    queue_ticket evict(class_queue &queue, team_queue &team, const caller_id &newcomer);
    void removeIdleCallers(class_queue &queue);

    queue_settings m_settings;
    std::map<team_id, team_queue> m_teams;
    double m_teamsVirtualTime = 0; ///< virtual time of the team served last
    std::size_t m_size = 0;
};

} // namespace hyssoppond
