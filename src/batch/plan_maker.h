/// @file One pass of the scheduler over all waiting units.
#pragma once

#include "hyssoppond/batch/batch_scheduler_base.h"

#include <functional>
#include <string>
#include <vector>

namespace hyssoppond::batch {

/// Makes the decisions of one plan. Created for one plan and then dropped.
struct plan_maker
{
    const plan_input &input;
    const scheduler_options &options;
    const item_time_model &times;
    std::vector<worker_availability> workers = {};
    std::vector<plan_decision> decisions = {};
    std::set<unit_id> stopped = {}; ///< units whose runs this plan stops
    /// Claims made by earlier plans: the workers that are being cleared for a unit.
    std::map<unit_id, std::vector<process_id>> claims = {};
    std::map<unit_id, std::vector<process_id>> keptClaims = {}; ///< claims that the next plan gets
    /// Accelerators that work of lower priority leaves free for the next urgent jobs.
    std::int64_t headroom = 0;
    std::uint32_t reservations = 0; ///< gangs for which capacity is reserved in this plan

    /// Fills `workers` with the announced workers, their free and their soon freed resources.
    void collectWorkers(const batch_scheduler &scheduler);
    /// Stops runs of which a member ended while none was done, and runs that are expected to end
    /// only after their worker leaves.
    void stopBrokenRuns();
    /// Fails jobs with a unit that used all its attempts.
    void failExhaustedJobs();
    /// Units that can start now, the most important first.
    std::vector<waiting_unit> waitingUnits() const;
    /// Sets `headroom` according to the urgent jobs of the last seconds.
    void computeHeadroom();
    /// Reserves the claimed resources, so that no other unit starts there.
    void reserveClaims(const std::vector<waiting_unit> &units);
    /// Orders a run of `unit`, or claims or reserves capacity for it, or leaves it waiting.
    void place(const waiting_unit &unit);

private:
    using worker_filter = std::function<bool(const worker_availability &)>;
    using resource_measure = std::function<resources(const worker_availability &)>;

    void addUnits(const job_state &job, std::vector<waiting_unit> *units) const;
    bool isSuitable(const waiting_unit &unit, const worker_availability &worker) const;
    /// Members of `unit` that `available` on `worker` is enough for, at most the members of the
    /// unit.
    std::uint32_t capacityFor(const waiting_unit &unit, const worker_availability &worker,
                              const resources &available) const;
    /// Indexes in `workers` for the members of `unit`, one for each member; empty if they do not
    /// fit. Uses only workers that `accept` lets through, with the resources that `available`
    /// gives.
    std::vector<std::size_t> fit(const waiting_unit &unit, const worker_filter &accept,
                                 const resource_measure &available) const;
    /// As fit(), with all members in one rack: the one that has the fewest accelerators available.
    std::vector<std::size_t> fitInOneRack(const waiting_unit &unit,
                                          const resource_measure &available) const;
    /// The rack of the unit's data, or all racks if its data are in none.
    std::vector<std::string> candidateRacks(const waiting_unit &unit) const;
    /// True if all members would fit in `rack` if nothing ran there.
    bool rackCouldHold(const waiting_unit &unit, const std::string &rack) const;
    void orderRun(const waiting_unit &unit, const std::vector<std::size_t> &chosen);
    /// True if a unit that runs faster within one rack is better started across racks than left
    /// waiting.
    bool shouldSpanRacks(const waiting_unit &unit) const;
    std::int64_t freeAccelerators() const;
    /// The unit's urgency and the free accelerators, as the log gives them with a decision.
    std::string describe(const waiting_unit &unit) const;
    /// Subtracts the members' resources from the free ones of the workers.
    void reserve(const waiting_unit &unit, const std::vector<std::size_t> &chosen);
    /// Stops runs of other jobs and claims their workers for `unit`. False if nothing was stopped,
    /// because it would be of no use, cost too much or need not happen yet.
    bool preempt(const waiting_unit &unit);
    /// True if `headroom` accelerators stay free when `unit` starts.
    bool leavesHeadroom(const waiting_unit &unit) const;
    /// Reserves the workers of the rack with the most free accelerators for a waiting gang.
    void reserveForGang(const waiting_unit &unit);
    /// Reserves the workers and keeps them for the unit in the next plans.
    void claim(const waiting_unit &unit, const std::vector<std::size_t> &chosen);
    /// Orders the run on the claimed workers if they are free, or keeps the claim if the runs being
    /// stopped free enough. False if there is no claim or the unit does not fit there any more.
    bool useClaim(const waiting_unit &unit);
    /// Indexes of the claimed workers, or none if one of them is gone or unsuitable.
    std::vector<std::size_t> claimedWorkers(const waiting_unit &unit) const;
    /// Undoes reserve().
    void unreserve(const waiting_unit &unit, const std::vector<std::size_t> &chosen);

    struct victim
    {
        unit_id unit;
        double cost = 0; ///< core-seconds, see preemptionCost()
    };
    struct preemption_plan
    {
        std::vector<std::size_t> chosen; ///< indexes in `workers`, one for each member
        std::set<unit_id> victims;
        double cost = 0; ///< core-seconds
    };

    /// True if the urgent runs of the unit's team stay within its guarantee when the unit starts.
    bool isGuaranteed(const waiting_unit &unit) const;
    /// True if a guaranteed unit would start too late for its guarantee if nothing were stopped
    /// now.
    bool mustReclaim(const waiting_unit &unit) const;
    /// Runs on `worker` that `unit` may preempt, the cheapest first.
    std::vector<victim> victimsOn(const waiting_unit &unit,
                                  const worker_availability &worker) const;
    /// Workers for all members of `unit` and the runs to stop there, chosen greedily by cost; empty
    /// if not enough can be preempted.
    preemption_plan planPreemption(const waiting_unit &unit, const worker_filter &accept) const;
    /// Cost of stopping the active run of `unit`, in core-seconds.
    double preemptionCost(const unit_id &unit) const;
    /// True if runs of the job `victimJob` may be stopped for `unit`.
    bool mayPreempt(const waiting_unit &unit, const job_state &victimJob) const;
    /// Accelerators that the team's urgent runs use.
    std::int64_t urgentAccelerators(const team_id &team) const;
    /// Decides to stop the active run of `unit`; without effect if this plan stops it already.
    void stopRun(const unit_id &unit, std::string why);
};

} // namespace hyssoppond::batch
