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

/// Why a job is where it is, for operators.
struct job_explanation
{
    job_state state = job_state::Queued;
    reason why = reason::None;
    std::string text;
};

/// Decides which gangs start where and which give way. Each command first tests its preconditions
/// and returns an error without effect when one fails; in the mode Test it stops there.
///
/// `decide` proposes; the caller records the proposals and reports them back through
/// `placementAccepted` and `preemptionAccepted`. Until then the same proposals may come again.
class scheduler
{
public:
    explicit scheduler(scheduler_options options = {});
    scheduler(const scheduler &) = delete;
    scheduler &operator=(const scheduler &) = delete;

    /// Adds a worker, or announces a known one again after its removal. InvalidArgument when the
    /// accelerators exceed MaxAcceleratorsPerWorker or rack, zone or size of a known one differ.
    result<void> addWorker(const worker &machine, command_mode mode = command_mode::Execute);
    /// UnknownEndpoint for an unknown worker. Gangs on it stay until attemptEnded.
    result<void> removeWorker(const worker_id &id, command_mode mode = command_mode::Execute);
    /// Changes the condition; Usable also ends a quarantine and forgets failed starts. Quarantined
    /// set here lasts until it is changed here.
    result<void> setWorkerCondition(const worker_id &id, worker_condition condition,
                                    command_mode mode = command_mode::Execute);

    result<void> setTeam(const team &value, command_mode mode = command_mode::Execute);
    /// WrongState while the team has unfinished jobs or contracts.
    result<void> removeTeam(const team_id &id, command_mode mode = command_mode::Execute);
    /// Accepts contracts that do not fit, since the fleet may not have announced itself yet; what
    /// does not fit shows in guaranteesAtRisk. `canGuarantee` tests before publication.
    result<void> setContract(const contract &value, command_mode mode = command_mode::Execute);
    result<void> removeContract(const contract_id &id, command_mode mode = command_mode::Execute);
    /// GuaranteeAtRisk if the contract cannot be packed beside all others now.
    result<void> canGuarantee(const contract &value) const;

    /// Queues a job. The same id and specification again has no effect and succeeds; another
    /// specification is RequestIdReused. UnknownTeam, ImpossibleShape, QueueFull.
    result<void> submit(const job_spec &spec, command_mode mode = command_mode::Execute);
    /// Queues a job that the journal already holds, at its next attempt; does not test limits.
    result<void> restore(const job_spec &spec, attempt_number attempt);
    /// Ends a queued job at once; an active one is Cancelled when its attempt ends.
    result<void> cancel(const job_id &id, command_mode mode = command_mode::Execute);
    result<void> hold(const job_id &id, command_mode mode = command_mode::Execute);
    result<void> release(const job_id &id, command_mode mode = command_mode::Execute);
    /// An active job becomes Suspended when its attempt ends; the caller stops the gang.
    result<void> suspend(const job_id &id, command_mode mode = command_mode::Execute);
    result<void> resume(const job_id &id, command_mode mode = command_mode::Execute);
    /// Queues the job again; an active one when its attempt ends.
    result<void> requeue(const job_id &id, command_mode mode = command_mode::Execute);
    /// Drops a finished job, after which its id is unknown.
    result<void> forget(const job_id &id, command_mode mode = command_mode::Execute);

    /// Records a placement, also one that another process decided. AcceleratorBusy, StaleAttempt,
    /// WrongState. An empty contract means borrowed.
    result<void> placementAccepted(const job_id &id, attempt_number attempt,
                                   const std::vector<gang_member> &members,
                                   const contract_id &underContract = contract_id(),
                                   command_mode mode = command_mode::Execute);
    /// Records that an attempt will be stopped, and claims the accelerators for the beneficiary.
    result<void> preemptionAccepted(const preempt_decision &accepted,
                                    command_mode mode = command_mode::Execute);
    result<void> gangStarted(const job_id &id, attempt_number attempt, absl::Time time,
                             command_mode mode = command_mode::Execute);
    /// Frees the accelerators; `runSeconds` is the run time of this attempt.
    result<void> attemptEnded(const job_id &id, attempt_number attempt, attempt_outcome outcome,
                              absl::Time time, double runSeconds,
                              command_mode mode = command_mode::Execute);
    /// Counts a start that `id` refused although another member of the gang had started, so that
    /// the outcome of the attempt does not show it. UnknownJob, UnknownEndpoint.
    result<void> startRefused(const job_id &job, const worker_id &id, absl::Time time);

    /// Proposals for the state at `now`. Has no effect on jobs, workers and contracts; it only
    /// advances what depends on time: the end of quarantines and absences and the holds for starved
    /// gangs.
    std::vector<decision> decide(absl::Time now);

    /// Why the job waits or where it runs; UnknownJob.
    result<job_explanation> explain(const job_id &id) const;
    /// Contracts with gangs that cannot be packed onto free or borrowed accelerators.
    std::vector<guarantee_risk> guaranteesAtRisk() const { return m_packing.atRisk(); }

    const job_entry *find(const job_id &id) const;
    std::size_t queueLength() const { return m_queue.size(); }
    worker_condition conditionOf(const worker_id &id) const;
    /// Index nodes, queue heads and workers visited so far.
    std::uint64_t steps() const;

private:
    struct absent_worker
    {
        worker_index worker = 0;
        absl::Time countsUntil = absl::InfiniteFuture(); ///< set by the next decision
    };
    struct starved_hold
    {
        job_entry *job = nullptr;
        std::vector<worker_index> workers;
        std::uint32_t accelerators = 0;
    };

    // Commands, scheduler_cmd.cpp and scheduler_attempt_cmd.cpp.
    result<job_entry *> jobInState(const job_id &id, std::initializer_list<job_state> allowed,
                                   const char *verb);
    static result<void> testRepeatable(const job_entry &job);
    result<void> testSpec(const job_spec &spec) const;
    job_entry &addJob(const job_spec &spec, attempt_number attempt);
    void enqueue(job_entry &job);
    void leaveQueue(job_entry &job, bool refundCaller);
    result<gang_location> locationOf(const job_entry &job,
                                     const std::vector<gang_member> &members) const;
    void useGuarantee(job_entry &job, const contract_id &id);
    void claimFor(job_entry &job, unit_index unit);
    void dropClaim(job_entry &job);
    void changeCondition(worker_index index, worker_condition condition);
    void noteFailedStart(worker_index index, const job_entry &job, attempt_outcome outcome,
                         absl::Time time);
    void noteGoodStart(worker_index index);
    void noteStart(const job_entry &job, attempt_outcome outcome, absl::Time time,
                   double runSeconds);
    static job_state stateAfter(const job_entry &job, attempt_outcome outcome);

    // Decisions, scheduler_decide.cpp and scheduler_hold.cpp.
    void endQuarantines(absl::Time now);
    void endAbsences(absl::Time now);
    void decideUrgent(absl::Time now, std::vector<decision> &out);
    std::vector<job_entry *> coveredUrgent(const job_queue::lanes_by_shape &lanes) const;
    bool decideUnderContract(job_entry &job, absl::Time now, std::vector<decision> &out);
    bool placeAtClaim(job_entry &job, std::vector<decision> &out);
    bool placeWithUnit(job_entry &job, unit_index unit, std::vector<decision> &out);
    bool reclaim(job_entry &job, absl::Time now, std::vector<decision> &out);
    job_entry *cheapestVictim(worker_index index, absl::Time now) const;
    bool hasFree(const gang_location &at, bool ignoreClaims) const;
    void decideShared(std::vector<decision> &out);
    void proposePlace(job_entry &job, const gang_location &at, const contract_id &under,
                      decision_cause cause, std::vector<decision> &out);
    void proposePreempt(job_entry &victim, const job_entry &beneficiary, const contract_id &under,
                        decision_cause cause, absl::Time now, std::vector<decision> &out);
    void updateHolds(absl::Time now);
    void addHold(job_entry &job);
    void dropHold(const job_entry &job);
    void decideHeld(absl::Time now, std::vector<decision> &out);
    std::optional<gang_location> locateHeld(const starved_hold &kept) const;
    void compact(const starved_hold &kept, absl::Time now, std::vector<decision> &out);
    void rollBack();

    scheduler_options m_options;
    fleet m_fleet;
    guarantee_packing m_packing;
    job_queue m_queue;
    run_time_model m_runTimes;
    std::map<team_id, team> m_teams;
    absl::node_hash_map<job_id, job_entry> m_jobs; // stable addresses
    std::vector<starved_hold> m_holds;
    std::vector<job_entry *> m_claiming; // queued jobs whose accelerators are being reclaimed
    std::vector<worker_index> m_quarantined;
    std::vector<absent_worker> m_absent; ///< removed, but shapes are still judged with them
    absl::flat_hash_map<std::pair<team_id, caller_id>, double> m_callerTags;
    std::vector<std::function<void()>> m_undo; // of the proposals of the running `decide`
    std::uint64_t m_nextSequence = 0;
};

} // namespace hyssoppond
