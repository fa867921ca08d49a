/// @file Scheduling decisions for gang jobs, without I/O, clock or lock.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/policy/decision_type.h"
#include "hyssoppond/policy/fleet_base.h"
#include "hyssoppond/policy/guarantee_packing_base.h"
#include "hyssoppond/policy/job_queue_base.h"
#include "hyssoppond/policy/run_time_model_base.h"
#include "hyssoppond/world/contract_type.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/node_hash_map.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hyssoppond {

/// Reason for the present state of a job, for operators.
struct job_explanation
{
    job_state state = job_state::Queued;
    reason why = reason::None;
    std::string text;
};

/// Decides which gangs start on which workers and which are preempted. Each command first tests its
/// preconditions and returns an error without effect when one fails; in the mode Test it returns
/// after the tests.
///
/// `decide` proposes; the caller records the proposals and reports them back through
/// `placementAccepted` and `preemptionAccepted`. Until then `decide` may return
/// the same proposals again.
class scheduler
{
public:
    explicit scheduler(scheduler_options options = {});
    scheduler(const scheduler &) = delete;
    scheduler &operator=(const scheduler &) = delete;

    /// Adds a worker, or a known one again after its removal. InvalidArgument if the id is empty,
    /// the accelerators exceed MaxAcceleratorsPerWorker, or rack, zone or size of a known worker
    /// differ.
    result<void> addWorker(const worker &machine, command_mode mode = command_mode::Execute);
    /// UnknownEndpoint for an unknown or removed worker. Gangs on it keep their accelerators until
    /// attemptEnded.
    result<void> removeWorker(const worker_id &id, command_mode mode = command_mode::Execute);
    /// Changes the condition and clears the count of failed starts. A quarantine set by this call
    /// lasts until another call changes it. UnknownEndpoint.
    result<void> setWorkerCondition(const worker_id &id, worker_condition condition,
                                    command_mode mode = command_mode::Execute);

    /// InvalidArgument for an empty id or a weight that is not above 0.
    result<void> setTeam(const team &value, command_mode mode = command_mode::Execute);
    /// UnknownTeam. WrongState while the team has queued or active jobs, or contracts.
    result<void> removeTeam(const team_id &id, command_mode mode = command_mode::Execute);
    /// Also accepts contracts that do not fit, since workers may not have been announced yet;
    /// guaranteesAtRisk lists them. `canGuarantee` is the test before publication. UnknownTeam,
    /// InvalidArgument.
    result<void> setContract(const contract &value, command_mode mode = command_mode::Execute);
    /// UnknownContract. Gangs that run under the contract keep their accelerators.
    result<void> removeContract(const contract_id &id, command_mode mode = command_mode::Execute);
    /// GuaranteeAtRisk if the contract cannot be packed beside all others now.
    result<void> canGuarantee(const contract &value) const;

    /// Queues a job. A repeated call with the same id and specification succeeds without effect.
    /// RequestIdReused for the same id with another specification. UnknownTeam, ImpossibleShape,
    /// QueueFull.
    result<void> submit(const job_spec &spec, command_mode mode = command_mode::Execute);
    /// Queues a job that is already in the journal, with `attempt` as its next one. Does not test
    /// limits. WrongState if the job is known.
    result<void> restore(const job_spec &spec, attempt_number attempt);
    /// Ends a waiting job at once; an active one becomes Cancelled when its attempt ends. This and
    /// the following commands on jobs return UnknownJob and WrongState.
    result<void> cancel(const job_id &id, command_mode mode = command_mode::Execute);
    /// Takes a queued job out of the queue until `release`.
    result<void> hold(const job_id &id, command_mode mode = command_mode::Execute);
    result<void> release(const job_id &id, command_mode mode = command_mode::Execute);
    /// An active job becomes Suspended when its attempt ends; the caller must stop the gang.
    /// WrongState also for a job that is not repeatable and may have run.
    result<void> suspend(const job_id &id, command_mode mode = command_mode::Execute);
    result<void> resume(const job_id &id, command_mode mode = command_mode::Execute);
    /// Queues the job again; an active one when its attempt ends. WrongState also for a job that is
    /// not repeatable and may have run.
    result<void> requeue(const job_id &id, command_mode mode = command_mode::Execute);
    /// Removes a finished job; its id is unknown afterwards.
    result<void> forget(const job_id &id, command_mode mode = command_mode::Execute);

    /// Records a placement, also one that another process decided. With an empty contract the
    /// accelerators are borrowed. AcceleratorBusy, StaleAttempt, WrongState, UnknownJob,
    /// UnknownEndpoint; InvalidArgument if the members are not the whole gang.
    result<void> placementAccepted(const job_id &id, attempt_number attempt,
                                   const std::vector<gang_member> &members,
                                   const contract_id &underContract = contract_id(),
                                   command_mode mode = command_mode::Execute);
    /// Records that an attempt will be stopped, and claims the accelerators for the beneficiary.
    /// UnknownJob, WrongState, StaleAttempt.
    result<void> preemptionAccepted(const preempt_decision &accepted,
                                    command_mode mode = command_mode::Execute);
    /// Records that all members of the gang run. UnknownJob, WrongState, StaleAttempt.
    result<void> gangStarted(const job_id &id, attempt_number attempt, absl::Time time,
                             command_mode mode = command_mode::Execute);
    /// Frees the accelerators and queues the job again where its outcome allows it. `runSeconds` is
    /// the run time of this attempt. UnknownJob, WrongState, StaleAttempt.
    result<void> attemptEnded(const job_id &id, attempt_number attempt, attempt_outcome outcome,
                              absl::Time time, double runSeconds,
                              command_mode mode = command_mode::Execute);
    /// Counts a failed start of the worker `id`, which refused its member after another member of
    /// the gang had started. The outcome of the attempt does not show such a refusal. UnknownJob,
    /// UnknownEndpoint.
    result<void> startRefused(const job_id &job, const worker_id &id, absl::Time time);

    /// Proposals for the state at `now`. Places and preempts nothing by itself; only what depends
    /// on time changes: quarantines and absences end, and workers are reserved for starved gangs.
    std::vector<decision> decide(absl::Time now);

    /// Reason why the job waits, or on what terms it runs. UnknownJob.
    result<job_explanation> explain(const job_id &id) const;
    /// Contracts with gangs that cannot be packed onto free or borrowed accelerators.
    std::vector<guarantee_risk> guaranteesAtRisk() const { return m_packing.atRisk(); }

    /// Null for an unknown job.
    const scheduled_job *find(const job_id &id) const;
    std::size_t queueLength() const { return m_queue.size(); }
    /// Failed for an unknown worker.
    worker_condition conditionOf(const worker_id &id) const;
    /// Index nodes, queue heads, guarantees and workers visited so far: the unit of the cost
    /// figures of the bench.
    std::uint64_t steps() const;

private:
    struct absent_worker
    {
        worker_index worker = 0;
        absl::Time countedUntil = absl::InfiniteFuture(); ///< set by the next call of `decide`
    };
    /// Workers that take no other work until the starved job is placed.
    struct starved_reservation
    {
        scheduled_job *job = nullptr;
        std::vector<worker_index> workers;
        std::uint32_t accelerators = 0; ///< of all these workers, free or not
    };

    // Commands, in scheduler_cmd.cpp and scheduler_attempt_cmd.cpp.
    result<scheduled_job *> jobInState(const job_id &id, std::initializer_list<job_state> allowed,
                                       const char *verb);
    static result<void> checkRepeatable(const scheduled_job &job);
    result<void> checkSpec(const job_spec &spec) const;
    scheduled_job &addJob(const job_spec &spec, attempt_number attempt);
    void enqueue(scheduled_job &job);
    void removeFromQueue(scheduled_job &job, bool refundCaller);
    result<gang_location> locationOf(const scheduled_job &job,
                                     const std::vector<gang_member> &members) const;
    void useGuarantee(scheduled_job &job, const contract_id &id);
    void claimFor(scheduled_job &job, guarantee_index guaranteeIndex);
    void dropClaim(scheduled_job &job);
    void changeCondition(worker_index index, worker_condition condition);
    void recordFailedStart(worker_index index, const scheduled_job &job, attempt_outcome outcome,
                           absl::Time time);
    void recordGoodStart(worker_index index);
    void recordStartResult(const scheduled_job &job, attempt_outcome outcome, absl::Time time,
                           double runSeconds);
    static job_state stateAfter(const scheduled_job &job, attempt_outcome outcome);

    // Decisions, in scheduler_decide.cpp and scheduler_starved.cpp.
    void endQuarantines(absl::Time now);
    void endAbsences(absl::Time now);
    void decideUrgent(absl::Time now, std::vector<decision> &out);
    std::vector<scheduled_job *> coveredUrgentJobs(
        const job_queue::jobs_by_shape &jobsByShape) const;
    bool decideUnderContract(scheduled_job &job, absl::Time now, std::vector<decision> &out);
    bool placeAtClaim(scheduled_job &job, std::vector<decision> &out);
    bool placeWithGuarantee(scheduled_job &job, guarantee_index guaranteeIndex,
                            std::vector<decision> &out);
    bool reclaim(scheduled_job &job, absl::Time now, std::vector<decision> &out);
    scheduled_job *cheapestVictim(worker_index index, absl::Time now) const;
    bool hasFree(const gang_location &location, bool ignoreClaims) const;
    void decideShared(std::vector<decision> &out);
    void proposePlace(scheduled_job &job, const gang_location &location,
                      const contract_id &contractId, decision_cause cause,
                      std::vector<decision> &out);
    void proposePreempt(scheduled_job &victim, const scheduled_job &beneficiary,
                        const contract_id &contractId, decision_cause cause, absl::Time now,
                        std::vector<decision> &out);
    void updateStarvedReservations(absl::Time now);
    void addStarvedReservation(scheduled_job &job);
    void dropStarvedReservation(const scheduled_job &job);
    void decideStarvedJobs(absl::Time now, std::vector<decision> &out);
    std::optional<gang_location> locateInReservation(const starved_reservation &reservation) const;
    void compact(const starved_reservation &reservation, absl::Time now,
                 std::vector<decision> &out);
    void rollBack();

    scheduler_options m_options;
    fleet m_fleet;
    guarantee_packing m_packing;
    job_queue m_queue;
    run_time_model m_runTimes;
    std::map<team_id, team> m_teams;
    absl::node_hash_map<job_id, scheduled_job> m_jobs; // its entries keep their addresses
    std::vector<starved_reservation> m_starvedReservations;
    std::vector<scheduled_job *> m_claiming; // queued jobs whose accelerators are being reclaimed
    std::vector<worker_index> m_quarantined;
    std::vector<absent_worker> m_absent; ///< removed, but shapes that need them are still accepted
    absl::flat_hash_map<std::pair<team_id, caller_id>, double>
        m_callerVirtualTimes;                  ///< s since the epoch
    std::vector<std::function<void()>> m_undo; // reverts the proposals at the end of `decide`
    std::uint64_t m_nextSequence = 0;
};

} // namespace hyssoppond
