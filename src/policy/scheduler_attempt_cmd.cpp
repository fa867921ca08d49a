/// @file Commands on attempts: placements, preemptions, starts and ends, with the quarantines of
/// workers.
#include "hyssoppond/policy/scheduler_base.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <bit>

namespace hyssoppond {

namespace {

/// A gang that fails after a shorter run time counts as a failed start.
constexpr double FailedStartSeconds = 10;
constexpr absl::Duration MaxQuarantineDelay = absl::Hours(8);

/// True if each member of `part` fits into a different member of `whole`.
bool isPartOf(const gang_location &part, gang_location whole)
{
    return std::all_of(part.begin(), part.end(), [&whole](const worker_share &share) {
        const auto found = std::find_if(whole.begin(), whole.end(), [&share](const auto &other) {
            return other.worker == share.worker && other.accelerators >= share.accelerators;
        });
        if (found == whole.end())
            return false;
        whole.erase(found);
        return true;
    });
}

} // namespace

result<gang_location> scheduler::locationOf(const scheduled_job &job,
                                            const std::vector<gang_member> &members) const
{
    gang_location location;
    std::map<worker_index, accelerator_mask> taken;
    for (const gang_member &member : members) {
        const auto index = m_fleet.find(member.worker);
        if (!index)
            return fail(
                reason::UnknownEndpoint,
                absl::StrFormat("worker %s of the placement is not in the fleet; decide again",
                                member.worker.str()));
        accelerator_mask &mask = taken[*index];
        const auto free = static_cast<accelerator_mask>(m_fleet.at(*index).free & ~mask);
        const auto count = static_cast<std::uint32_t>(std::popcount(member.accelerators));
        if ((member.accelerators & ~free) != 0)
            return fail(reason::AcceleratorBusy,
                        absl::StrFormat("worker %s has no free accelerators for job %s; decide "
                                        "again",
                                        member.worker.str(), job.spec.id.str()));
        mask = static_cast<accelerator_mask>(mask | member.accelerators);
        location.push_back({*index, count});
    }
    const shape &wanted = job.spec.wanted;
    const bool complete = location.size() == wanted.members
        && std::all_of(location.begin(), location.end(), [&wanted](const worker_share &share) {
                              return share.accelerators == wanted.acceleratorsPerMember;
                          });
    if (!complete)
        return fail(reason::InvalidArgument,
                    absl::StrFormat("the placement of job %s is not its whole gang of %d x %d "
                                    "accelerators; decide again",
                                    job.spec.id.str(), wanted.members,
                                    wanted.acceleratorsPerMember));
    return location;
}

void scheduler::useGuarantee(scheduled_job &job, const contract_id &id)
{
    job.contract = id;
    if (job.guaranteeIndex)
        return; // the claim of the job already put the guarantee in use
    const auto guaranteeIndex = m_packing.unusedGuarantee(id, job.spec.wanted);
    if (!guaranteeIndex)
        return; // the contract shrank after the decision; the gang can be reclaimed like borrowed
                // work
    // A gang smaller than the guaranteed shape also keeps the rest of the reservation in use, so
    // that the whole guaranteed shape fits again when the gang ends.
    const gang_location reserved = m_packing.reserved(*guaranteeIndex);
    m_packing.use(*guaranteeIndex, isPartOf(job.location, reserved) ? reserved : job.location,
                  false);
    job.guaranteeIndex = guaranteeIndex;
}

result<void> scheduler::placementAccepted(const job_id &id, attempt_number attempt,
                                          const std::vector<gang_member> &members,
                                          const contract_id &underContract, command_mode mode)
{
    const auto found = jobInState(id, {job_state::Queued}, "placed");
    if (!found)
        return tl::unexpected(found.error());
    scheduled_job &job = **found;
    if (attempt != job.attempt)
        return fail(reason::StaleAttempt,
                    absl::StrFormat("job %s waits for attempt %d, not %d; decide again", id.str(),
                                    job.attempt, attempt));
    const auto location = locationOf(job, members);
    if (!location)
        return tl::unexpected(location.error());
    if (mode == command_mode::Test)
        return {};
    if (job.guaranteeIndex && (underContract.isEmpty() || *location != job.claim))
        dropClaim(job);
    for (const worker_share &share : job.claim)
        m_fleet.at(share.worker).claimed -= share.accelerators;
    job.claim.clear();
    std::erase(m_claiming, &job);
    dropStarvedReservation(job);
    m_queue.erase(job);
    m_fleet.occupy(job, members, *location);
    m_queue.addUsedAccelerators(job.team,
                                static_cast<std::int64_t>(job.spec.wanted.accelerators()));
    job.state = job_state::Placed;
    if (!underContract.isEmpty())
        useGuarantee(job, underContract);
    return {};
}

void scheduler::claimFor(scheduled_job &job, guarantee_index guaranteeIndex)
{
    const gang_location whole = m_packing.reserved(guaranteeIndex);
    job.claim.assign(whole.begin(), whole.begin() + job.spec.wanted.members);
    for (worker_share &share : job.claim) {
        share.accelerators = job.spec.wanted.acceleratorsPerMember;
        m_fleet.at(share.worker).claimed += share.accelerators;
        m_fleet.refresh(share.worker);
    }
    job.guaranteeIndex = guaranteeIndex;
    m_claiming.push_back(&job);
}

void scheduler::dropClaim(scheduled_job &job)
{
    for (const worker_share &share : job.claim) {
        m_fleet.at(share.worker).claimed -= share.accelerators;
        m_fleet.refresh(share.worker);
    }
    job.claim.clear();
    std::erase(m_claiming, &job);
    if (job.guaranteeIndex && job.isQueued()) {
        m_packing.release(*job.guaranteeIndex);
        job.guaranteeIndex.reset();
    }
}

result<void> scheduler::preemptionAccepted(const preempt_decision &accepted, command_mode mode)
{
    const auto found
        = jobInState(accepted.job, {job_state::Placed, job_state::Running}, "preempted");
    if (!found)
        return tl::unexpected(found.error());
    if ((*found)->attempt != accepted.attempt)
        return fail(reason::StaleAttempt,
                    absl::StrFormat("job %s runs attempt %d, not %d; decide again",
                                    accepted.job.str(), (*found)->attempt, accepted.attempt));
    if (mode == command_mode::Test)
        return {};
    (*found)->stopping = true;
    const auto beneficiaryJob = m_jobs.find(accepted.beneficiary);
    if (accepted.contract.isEmpty() || beneficiaryJob == m_jobs.end()
        || !beneficiaryJob->second.isQueued() || beneficiaryJob->second.guaranteeIndex)
        return {};
    const auto guaranteeIndex
        = m_packing.unusedGuarantee(accepted.contract, beneficiaryJob->second.spec.wanted);
    if (guaranteeIndex && m_packing.isPacked(*guaranteeIndex)) {
        claimFor(beneficiaryJob->second, *guaranteeIndex);
        m_packing.use(*guaranteeIndex, gang_location(m_packing.reserved(*guaranteeIndex)), false);
    }
    return {};
}

result<void> scheduler::gangStarted(const job_id &id, attempt_number attempt, absl::Time time,
                                    command_mode mode)
{
    const auto found = jobInState(id, {job_state::Placed}, "started");
    if (!found)
        return tl::unexpected(found.error());
    if ((*found)->attempt != attempt)
        return fail(reason::StaleAttempt,
                    absl::StrFormat("job %s is at attempt %d, not %d", id.str(), (*found)->attempt,
                                    attempt));
    if (mode == command_mode::Test)
        return {};
    (*found)->state = job_state::Running;
    (*found)->startedAt = time;
    return {};
}

void scheduler::recordFailedStart(worker_index index, const scheduled_job &job,
                                  attempt_outcome outcome, absl::Time time)
{
    fleet_worker &failed = m_fleet.at(index);
    // A caller whose own tasks are faulty must not quarantine the fleet, so its consecutive
    // failures on a worker count once. A start that the platform refused always counts.
    const bool sameCaller = !job.spec.caller.isEmpty() && failed.failures > 0
        && failed.lastFailedCaller == job.spec.caller;
    if (outcome == attempt_outcome::Failed && sameCaller
        && failed.condition != worker_condition::Probation)
        return;
    failed.lastFailedCaller = job.spec.caller;
    ++failed.failures;
    const bool onProbation = failed.condition == worker_condition::Probation;
    if (!onProbation
        && (failed.condition != worker_condition::Usable
            || failed.failures < m_options.quarantineAfterFailures))
        return;
    failed.quarantinedUntil = time + failed.quarantineDelay;
    failed.quarantineDelay = std::min(2 * failed.quarantineDelay, MaxQuarantineDelay);
    changeCondition(index, worker_condition::Quarantined);
}

result<void> scheduler::startRefused(const job_id &job, const worker_id &id, absl::Time time)
{
    const auto known = m_jobs.find(job);
    if (known == m_jobs.end())
        return fail(reason::UnknownJob, "the job is not known; submit it first");
    const auto index = m_fleet.find(id);
    if (!index)
        return fail(reason::UnknownEndpoint,
                    absl::StrFormat("worker %s is not in the fleet; list the workers", id.str()));
    if (m_options.quarantine)
        recordFailedStart(*index, known->second, attempt_outcome::Aborted, time);
    return {};
}

void scheduler::recordGoodStart(worker_index index)
{
    fleet_worker &good = m_fleet.at(index);
    good.failures = 0;
    if (good.condition != worker_condition::Probation)
        return;
    good.quarantineDelay = m_options.quarantineDelay;
    changeCondition(index, worker_condition::Usable);
}

void scheduler::recordStartResult(const scheduled_job &job, attempt_outcome outcome,
                                  absl::Time time, double runSeconds)
{
    if (!m_options.quarantine)
        return;
    const bool failed = outcome == attempt_outcome::Aborted
        || (outcome == attempt_outcome::Failed && runSeconds < FailedStartSeconds);
    const bool good = outcome == attempt_outcome::Completed
        || (runSeconds >= FailedStartSeconds && outcome != attempt_outcome::Lost);
    if (!failed && !good)
        return;
    gang_location workers = job.location;
    std::sort(workers.begin(), workers.end());
    workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
    for (const worker_share &share : workers) {
        if (failed)
            recordFailedStart(share.worker, job, outcome, time);
        else
            recordGoodStart(share.worker);
    }
}

job_state scheduler::stateAfter(const scheduled_job &job, attempt_outcome outcome)
{
    if (outcome == attempt_outcome::Completed)
        return job_state::Completed;
    if (job.afterStop && *job.afterStop == job_state::Cancelled)
        return job_state::Cancelled;
    // A task that may have run is started again only if its caller allowed it.
    const bool mayRepeat = job.spec.repeatable || outcome == attempt_outcome::Aborted;
    if (job.afterStop && mayRepeat)
        return *job.afterStop;
    switch (outcome) {
    case attempt_outcome::Cancelled:
        return job_state::Cancelled;
    case attempt_outcome::Aborted:
    case attempt_outcome::Lost:
    case attempt_outcome::Preempted:
        return mayRepeat ? job_state::Queued : job_state::Failed;
    default:
        return job_state::Failed;
    }
}

result<void> scheduler::attemptEnded(const job_id &id, attempt_number attempt,
                                     attempt_outcome outcome, absl::Time time, double runSeconds,
                                     command_mode mode)
{
    const auto found = jobInState(id, {job_state::Placed, job_state::Running}, "ended");
    if (!found)
        return tl::unexpected(found.error());
    scheduled_job &job = **found;
    if (job.attempt != attempt)
        return fail(
            reason::StaleAttempt,
            absl::StrFormat("job %s is at attempt %d, not %d", id.str(), job.attempt, attempt));
    if (mode == command_mode::Test)
        return {};
    recordStartResult(job, outcome, time, runSeconds);
    m_fleet.vacate(job);
    m_queue.addUsedAccelerators(job.team,
                                -static_cast<std::int64_t>(job.spec.wanted.accelerators()));
    if (job.guaranteeIndex)
        m_packing.release(*job.guaranteeIndex);
    job.guaranteeIndex.reset();
    job.contract = contract_id();
    job.stopping = false;
    job.attainedSeconds += runSeconds;
    if (outcome == attempt_outcome::Completed)
        m_runTimes.finished(job.spec, job.attainedSeconds);
    job.mayHaveRun = job.mayHaveRun || outcome != attempt_outcome::Aborted;
    ++job.attempt;
    const job_state next = stateAfter(job, outcome);
    job.afterStop.reset();
    job.state = next;
    if (next == job_state::Queued)
        enqueue(job);
    return {};
}

} // namespace hyssoppond
