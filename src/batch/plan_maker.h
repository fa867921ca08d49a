/// @file One pass of the scheduler over all waiting units.
#pragma once

#include "hyssoppond/batch/batch_scheduler_base.h"

#include <functional>
#include <string>
#include <vector>

namespace hyssoppond::batch {

/// Builds the decisions of one plan.
struct plan_maker
{
    const plan_input &input;
    const scheduler_options &options;
    const item_time_model &times;
    std::vector<worker_availability> workers = {};
    std::vector<plan_decision> decisions = {};
    std::set<unit_id> stopped = {}; ///< runs stopped by this plan
    /// Claims of the plans before; those that still hold are kept.
    std::map<unit_id, std::vector<process_id>> claims = {};
    std::map<unit_id, std::vector<process_id>> keptClaims = {};
    /// Accelerators that stay free of other work, for the next urgent job.
    std::int64_t headroom = 0;
    std::uint32_t reservations = 0; ///< gangs for which room is being gathered

    /// Collects the workers and what runs on them.
    void measureWorkers(const batch_scheduler &scheduler);
    /// Stops gangs that lost a member, runs on leaving workers and runs of failed jobs.
    void stopBroken();
    /// Gives up jobs with a unit that used all its attempts.
    void failHopeless();
    std::vector<waiting_unit> waitingUnits() const;
    /// Sets `headroom` by the urgent jobs of the last seconds.
    void measureHeadroom();
    /// Sets the room of claims aside, so that nothing else starts there.
    void reserveClaims(const std::vector<waiting_unit> &units);
    void place(const waiting_unit &unit);

private:
    using worker_filter = std::function<bool(const worker_availability &)>;
    using resource_measure = std::function<resources(const worker_availability &)>;

    void addUnits(const job_state &job, std::vector<waiting_unit> *units) const;
    bool isSuitable(const waiting_unit &unit, const worker_availability &worker) const;
    std::uint32_t capacityFor(const waiting_unit &unit, const worker_availability &worker,
                              const resources &available) const;
    /// Indexes of the workers for the members of `unit`, or none.
    std::vector<std::size_t> fit(const waiting_unit &unit, const worker_filter &accept,
                                 const resource_measure &available) const;
    std::vector<std::size_t> fitNear(const waiting_unit &unit,
                                     const resource_measure &available) const;
    std::vector<std::string> racksOf(const waiting_unit &unit) const;
    bool rackCouldHold(const waiting_unit &unit, const std::string &rack) const;
    void order(const waiting_unit &unit, const std::vector<std::size_t> &chosen);
    /// True if a unit that wants one rack is better started across racks than left waiting.
    bool shouldSpanRacks(const waiting_unit &unit) const;
    std::int64_t freeAccelerators() const;
    std::string describe(const waiting_unit &unit) const;
    void reserve(const waiting_unit &unit, const std::vector<std::size_t> &chosen);
    bool preempt(const waiting_unit &unit);
    /// True if enough accelerators stay free when `unit` starts.
    bool leavesHeadroom(const waiting_unit &unit) const;
    /// Keeps other work off the workers where a waiting gang will fit soonest.
    void reserveForGang(const waiting_unit &unit);
    void claim(const waiting_unit &unit, const std::vector<std::size_t> &chosen);
    /// Starts the unit on its claimed workers or goes on waiting for them; false if that cannot be.
    bool useClaim(const waiting_unit &unit);
    /// Indexes of the claimed workers, or none if one of them is gone or unsuitable.
    std::vector<std::size_t> claimedWorkers(const waiting_unit &unit) const;
    void release(const waiting_unit &unit, const std::vector<std::size_t> &chosen);

    struct victim
    {
        unit_id unit;
        double cost = 0;
    };
    struct eviction_plan
    {
        std::vector<std::size_t> chosen;
        std::set<unit_id> victims;
        double cost = 0;
    };

    /// The unit's team uses no more than its guarantee with it.
    bool isGuaranteed(const waiting_unit &unit) const;
    /// Its guarantee would be met too late if nothing were stopped now.
    bool mustReclaim(const waiting_unit &unit) const;
    std::vector<victim> victimsOn(const waiting_unit &unit,
                                  const worker_availability &worker) const;
    eviction_plan evict(const waiting_unit &unit, const worker_filter &accept) const;
    double lossOf(const unit_id &unit) const;
    bool mayPreempt(const waiting_unit &unit, const job_state &victim) const;
    std::int64_t urgentUse(const team_id &team) const;
    void stop(const unit_id &unit, std::string why);
};

} // namespace hyssoppond::batch
