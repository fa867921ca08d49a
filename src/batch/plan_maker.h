/// @file One pass of the scheduler over all waiting units.
#pragma once

#include "hyssoppond/batch/batch_scheduler_base.h"

#include "scarcity_order.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppond::batch {

/// Order of the waiting units, the most important first.
bool startsBefore(const waiting_unit &a, const waiting_unit &b);

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
    /// Part of `headroom` that stays free on workers that run nothing, for items that need more
    /// than half of a worker.
    std::int64_t wholeHeadroom = 0;
    std::uint32_t reservations = 0;       ///< gangs for which capacity is reserved in this plan
    std::uint32_t urgentSearches = 0;     ///< for capacity of urgent units, also without success
    std::uint32_t urgentReservations = 0; ///< urgent units for which capacity is reserved

    /// Active run of an item or a gang.
    struct active_run
    {
        const job_state *job = nullptr;
        const unit_id *unit = nullptr;
        const run_state *state = nullptr;
        resources item; ///< resources of each member
    };
    std::vector<const job_state *> openJobs = {};
    std::vector<active_run> runs = {};
    std::vector<std::string> racks = {}; ///< of the workers
    /// Indexes in `workers`, by agent.
    absl::flat_hash_map<std::string_view, std::size_t> workerIndexes = {};
    /// Accelerators that the urgent runs of each team use.
    absl::flat_hash_map<std::string_view, std::int64_t> urgentUse = {};

    /// Units that no worker takes now, as their resources and limits are the same as those of one
    /// that did not fit.
    struct unplaced_shape
    {
        const batch_step *step = nullptr;
        const queue_policy *queue = nullptr;
    };

    /// What stopping a run costs.
    struct stop_cost
    {
        double coreSeconds = 0; ///< work thrown away, and what else the stop counts for
        bool endsSoon = false;  ///< expected to end within the time that a stop takes
        std::string why;        ///< why it is not just the work since the newest checkpoint
    };

    /// Time of the order of units that were started on capacity which stops freed.
    std::map<unit_id, unix_ms> startedByStops = {};
    /// See stopCostOf(), by index in `runs`.
    mutable std::vector<std::optional<stop_cost>> stopCosts = {};

    std::vector<unplaced_shape> unplaced = {};
    /// Queues that were looked up, by name; see configuredQueue().
    mutable absl::flat_hash_map<std::string_view, const queue_policy *> knownQueues = {};
    /// See couldRunElsewhere().
    mutable absl::flat_hash_map<const unit_state *, bool> runnableElsewhere = {};
    /// See membersOfStep().
    mutable absl::flat_hash_map<const step_state *, std::vector<std::uint32_t>> stepMembers = {};

    /// Collects the open jobs and the active runs.
    void collectJobs();
    /// Fills `workers` with the announced workers, their free and their soon freed resources.
    void collectWorkers(const batch_scheduler &scheduler);
    /// Stops runs of which a member ended while none was done, and runs that are expected to end
    /// only after their worker leaves.
    void stopBrokenRuns();
    /// Cancels jobs that were recorded after their cancelling. Agents know no early cancellations.
    void cancelLateSubmissions();
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
    /// Policy that applies to `job`: that of its queue in the configuration or, once the queue is
    /// removed, the one under which the job was accepted. Null if neither is known.
    const queue_policy *queueOf(const job_state &job) const;
    /// Policy of the queue `name`; null if the configuration has none. A configuration may hold
    /// thousands of queues, so those of the jobs are looked up once.
    const queue_policy *configuredQueue(const std::string &name) const;
    /// True for an item that is not urgent if one like it found no place in this plan. What is free
    /// does not grow while the plan is made.
    bool isKnownUnplaceable(const waiting_unit &unit) const;
    void noteUnplaceable(const waiting_unit &unit);
    /// Members of the unit's step on each worker, for steps with a limit of them.
    std::vector<std::uint32_t> &membersOfStep(const waiting_unit &unit) const;
    /// Sets the start class of units that are better put off, as not all work can end in time.
    void putOffLateWork(std::vector<waiting_unit> *units) const;
    /// The same for one service, whose workers have `total` in all.
    void putOffLateWork(const std::string &service, const resources &total,
                        std::vector<waiting_unit> *units) const;
    /// Capacity of the service that runs, `units` that go first and the headroom leave.
    capacity_forecast forecastFor(const std::string &service, const resources &total,
                                  const std::vector<waiting_unit> &units) const;
    /// Share of the work of an occurrence that is done or runs.
    double investedShare(const job_state &job, std::uint32_t occurrence) const;
    bool placeNow(const waiting_unit &unit);
    /// True if new work of some kind may be ordered from the worker now.
    static bool takesWork(const worker_availability &worker);
    /// True unless the worker takes no work for a longer time. A quarantine is short.
    static bool mayTakeWorkAgain(const worker_availability &worker);
    /// True if `unit` may be ordered from the worker. The only rule of where work may go.
    bool isSuitable(const waiting_unit &unit, const worker_availability &worker) const;
    /// True if the worker is of the unit's service and has the label that its step requires.
    static bool meetsConstraints(const waiting_unit &unit, const worker_availability &worker);
    /// Run of the unit that failed on this incarnation of the worker; null if none did lately.
    static const failed_run *failureOn(const waiting_unit &unit, const worker_availability &worker);
    /// True if a run of the unit failed on the worker so shortly ago that the unit waits for
    /// another worker, if there is one.
    bool avoids(const waiting_unit &unit, const worker_availability &worker) const;
    /// True if the unit would fit on the workers that it does not avoid, if nothing but its own
    /// step ran there. As of the first call for the unit in this plan.
    bool couldRunElsewhere(const waiting_unit &unit) const;
    /// Members of `unit` that `available` on `worker` is enough for, at most the members of the
    /// unit.
    std::uint32_t capacityFor(const waiting_unit &unit, const worker_availability &worker,
                              const resources &available) const;
    /// Place of a worker in the order in which `unit` takes workers, by speed; lower is earlier.
    static int speedRank(const waiting_unit &unit, const worker_availability &worker);
    /// Slowness of the slowest of the workers `chosen`.
    double slownessOf(const std::vector<std::size_t> &chosen) const;
    /// Indexes in `workers` for the members of `unit`, one for each member; empty if they do not
    /// fit. Uses only workers that `accept` lets through, with the resources that `available`
    /// gives.
    std::vector<std::size_t> fit(const waiting_unit &unit, const worker_filter &accept,
                                 const resource_measure &available) const;
    /// As fit(), with all members in one rack: the one whose workers suit the unit best by speed
    /// and, among equals, that has the fewest accelerators available.
    std::vector<std::size_t> fitInOneRack(const waiting_unit &unit,
                                          const resource_measure &available,
                                          const worker_filter &accept) const;
    /// The rack of the unit's data, or all racks if its data are in none; indexes in `racks`.
    std::vector<std::size_t> candidateRacks(const waiting_unit &unit) const;
    /// True if all members would fit in one of the racks if nothing ran there.
    bool someRackCouldHold(const waiting_unit &unit) const;
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
    /// True if `wholeHeadroom` accelerators stay free on idle workers when work that is not urgent
    /// starts on the workers `chosen`.
    bool leavesIdleWorkers(const std::vector<std::size_t> &chosen) const;
    /// Reserves the capacity that a waiting urgent unit will take, so that no work starts there
    /// only to be stopped for it.
    void reserveForUrgent(const waiting_unit &unit);
    /// True if the run has to be stopped now, as `worker` leaves before it ends.
    bool mustLeaveNow(const active_run &run, const worker_description &worker) const;
    /// True if the run's members fit on workers that take work.
    bool hasRoomElsewhere(const active_run &run) const;
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
        std::size_t run = 0; ///< index in `runs`
        resources here;      ///< resources of its members on the worker
        double cost = 0;     ///< core-seconds, see stop_cost
        /// It is not stopped, as it is expected to end as soon as a stop would.
        bool endsSoon = false;
    };
    /// Cheapest way to make room for one more member on one worker.
    struct preemption_option
    {
        std::size_t worker = 0;
        resources available;
        std::vector<victim> victims; ///< runs that may be stopped there, the cheapest first
        std::uint32_t placed = 0;    ///< members of the unit that are placed there
        std::uint32_t limit = 0;     ///< most members of the unit there
        bool isCurrent = false;      ///< the following fields are up to date
        bool isFeasible = false;
        std::vector<victim> stops;
        double cost = 0; ///< core-seconds
    };
    struct preemption_plan
    {
        std::vector<std::size_t> chosen; ///< indexes in `workers`, one for each member
        std::vector<victim> victims;
        double cost = 0;          ///< core-seconds
        bool isTooCostly = false; ///< given up at the highest cost
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
    /// if not enough can be preempted for at most `maxCost` core-seconds.
    preemption_plan planPreemption(const waiting_unit &unit, const worker_filter &accept,
                                   double maxCost) const;
    /// The cheapest plan for `unit` in the racks that it prefers or, if it may, anywhere.
    preemption_plan cheapestStops(const waiting_unit &unit, double maxCost) const;
    /// Finds the cheapest stops for one more member; runs in `stoppedRuns` are free already.
    void evaluate(preemption_option *option, const waiting_unit &unit,
                  const std::vector<bool> &stoppedRuns) const;
    /// Lateness of the run's job if the run ends at `endMs`: 0 in time, 1 late, 2 of no use.
    int latenessOfEnd(const active_run &run, unix_ms endMs) const;
    stop_cost computeStopCost(const active_run &run) const;
    /// Expected run time on the slowest of the workers of `run`, in ms.
    std::int64_t expectedRunMs(const active_run &run) const;
    /// Cost of stopping the run with this index in `runs`.
    const stop_cost &stopCostOf(std::size_t run) const;
    /// The cost and its reason, as the log gives them with a stop.
    std::string describeStop(std::size_t run) const;
    /// Takes out the stops that later, larger ones have made needless. `options` holds the
    /// resources that the plan leaves on each worker.
    void dropNeedlessStops(const std::vector<preemption_option> &options,
                           preemption_plan *plan) const;
    /// True if runs of the job `victimJob` may be stopped for `unit`.
    bool mayPreempt(const waiting_unit &unit, const job_state &victimJob) const;
    /// Accelerators that the team's urgent runs use.
    std::int64_t urgentAccelerators(const team_id &team) const;
    /// Decides to stop a run; without effect if this plan stops it already.
    void stopRun(const active_run &run, std::string why);
};

} // namespace hyssoppond::batch
