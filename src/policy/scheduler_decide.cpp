/// @file Decisions: urgent work under contract and reclaim, then the shared queue.
#include "hyssoppond/policy/scheduler_base.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace hyssoppond {

namespace {

/// Urgent jobs of one team and shape that one call of `decide` considers; more wait for the next.
constexpr std::size_t MaxUrgentPerShape = 16;

/// Shapes that need a removed worker are accepted for this time, since an ordinary restart of an
/// endpoint takes some minutes at most.
constexpr absl::Duration AbsenceLimit = absl::Minutes(10);

} // namespace

std::vector<decision> scheduler::decide(absl::Time now)
{
    std::vector<decision> out;
    endQuarantines(now);
    endAbsences(now);
    updateStarvedReservations(now);
    decideUrgent(now, out);
    decideStarvedJobs(now, out);
    decideShared(out);
    rollBack();
    return out;
}

void scheduler::rollBack()
{
    for (; !m_undo.empty(); m_undo.pop_back())
        m_undo.back()();
}

void scheduler::endQuarantines(absl::Time now)
{
    const std::vector<worker_index> quarantined = m_quarantined;
    for (const worker_index index : quarantined) {
        if (m_fleet.at(index).quarantinedUntil <= now)
            changeCondition(index, worker_condition::Probation);
    }
}

void scheduler::endAbsences(absl::Time now)
{
    std::erase_if(m_absent, [this, now](absent_worker &absent) {
        absent.countedUntil = std::min(absent.countedUntil, now + AbsenceLimit);
        if (absent.countedUntil > now)
            return false;
        m_fleet.dropAbsent(absent.worker);
        return true;
    });
}

void scheduler::proposePlace(scheduled_job &job, const gang_location &location,
                             const contract_id &contractId, decision_cause cause,
                             std::vector<decision> &out)
{
    std::vector<gang_member> members = m_fleet.membersAt(location);
    out.emplace_back(place_decision {job.spec.id, job.attempt, members, contractId, cause});
    m_queue.erase(job);
    m_fleet.occupy(job, members, location);
    const auto accelerators = static_cast<std::int64_t>(job.spec.wanted.accelerators());
    m_queue.addUsedAccelerators(job.team, accelerators);
    m_undo.emplace_back([this, &job, accelerators] {
        m_queue.addUsedAccelerators(job.team, -accelerators);
        m_fleet.vacate(job);
        m_queue.insert(job);
    });
}

void scheduler::proposePreempt(scheduled_job &victim, const scheduled_job &beneficiary,
                               const contract_id &contractId, decision_cause cause, absl::Time now,
                               std::vector<decision> &out)
{
    out.emplace_back(preempt_decision {victim.spec.id, victim.attempt,
                                       now + m_options.checkpointTime, contractId,
                                       beneficiary.spec.id, cause});
    victim.stopping = true;
    m_undo.emplace_back([&victim] { victim.stopping = false; });
}

std::vector<scheduled_job *> scheduler::coveredUrgentJobs(
    const job_queue::jobs_by_shape &jobsByShape) const
{
    std::vector<scheduled_job *> jobs;
    for (const auto &[wanted, waitingJobs] : jobsByShape) {
        if (!m_packing.unusedGuarantee(waitingJobs.begin()->second->spec.team, wanted))
            continue;
        std::size_t count = 0;
        for (auto candidate = waitingJobs.begin();
             candidate != waitingJobs.end() && count < MaxUrgentPerShape; ++candidate) {
            if (candidate->second->guaranteeIndex)
                continue;
            jobs.push_back(candidate->second);
            ++count;
        }
    }
    std::sort(jobs.begin(), jobs.end(), [](const scheduled_job *a, const scheduled_job *b) {
        return std::pair(a->key, a->sequence) < std::pair(b->key, b->sequence);
    });
    return jobs;
}

void scheduler::decideUrgent(absl::Time now, std::vector<decision> &out)
{
    // The jobs are copied, because proposals remove them from the queue.
    std::vector<scheduled_job *> jobs = m_claiming;
    for (const auto &[team, jobsByShape] : m_queue.urgent()) {
        const auto covered = coveredUrgentJobs(jobsByShape);
        jobs.insert(jobs.end(), covered.begin(), covered.end());
    }
    for (scheduled_job *job : jobs) {
        if (out.size() < m_options.maxDecisions)
            decideUnderContract(*job, now, out);
        if (!job->guaranteeIndex || !job->members.empty())
            continue;
        // A job whose accelerators are being reclaimed must not take borrowed ones as well.
        m_queue.erase(*job);
        m_undo.emplace_back([this, job] { m_queue.insert(*job); });
    }
}

bool scheduler::decideUnderContract(scheduled_job &job, absl::Time now, std::vector<decision> &out)
{
    if (job.guaranteeIndex)
        return placeAtClaim(job, out) || reclaim(job, now, out);
    const auto guaranteeIndex = m_packing.unusedGuarantee(job.spec.team, job.spec.wanted);
    if (!guaranteeIndex)
        return false;
    if (placeWithGuarantee(job, *guaranteeIndex, out))
        return true;
    if (!m_packing.isPacked(*guaranteeIndex))
        return false;
    // The claim puts the guarantee in use at its reservation, so that later proposals do not take
    // it.
    claimFor(job, *guaranteeIndex);
    const auto record
        = m_packing.use(*guaranteeIndex, gang_location(m_packing.reserved(*guaranteeIndex)), false);
    m_undo.emplace_back([this, &job, record] {
        for (const worker_share &share : job.claim) {
            m_fleet.at(share.worker).claimed -= share.accelerators;
            m_fleet.refresh(share.worker);
        }
        job.claim.clear();
        job.guaranteeIndex.reset();
        std::erase(m_claiming, &job);
        m_packing.undo(*record);
    });
    return reclaim(job, now, out);
}

bool scheduler::hasFree(const gang_location &location, bool ignoreClaims) const
{
    std::map<worker_index, std::uint32_t> needed;
    for (const worker_share &share : location)
        needed[share.worker] += share.accelerators;
    return std::all_of(needed.begin(), needed.end(), [&](const auto &entry) {
        const fleet_worker &worker = m_fleet.at(entry.first);
        const std::uint32_t claimedByOthers = ignoreClaims ? 0 : worker.claimed;
        return m_fleet.guaranteeCapacity(entry.first) > 0
            && worker.freeCount() >= entry.second + claimedByOthers;
    });
}

bool scheduler::placeAtClaim(scheduled_job &job, std::vector<decision> &out)
{
    if (!hasFree(job.claim, true))
        return false;
    const gang_location location = job.claim;
    proposePlace(job, location, m_packing.contractOf(*job.guaranteeIndex),
                 decision_cause::UnderContract, out);
    return true;
}

bool scheduler::placeWithGuarantee(scheduled_job &job, guarantee_index guaranteeIndex,
                                   std::vector<decision> &out)
{
    const contract_id contractId = m_packing.contractOf(guaranteeIndex);
    const shape &wanted = job.spec.wanted;
    const gang_location reserved = m_packing.reserved(guaranteeIndex);
    const bool sameShape = m_packing.find(contractId)->guaranteed == wanted;
    const auto propose
        = [&](const gang_location &location, const guarantee_packing::use_record &record) {
              m_undo.emplace_back([this, record] { m_packing.undo(record); });
              proposePlace(job, location, contractId, decision_cause::UnderContract, out);
              return true;
          };
    // A gang smaller than the guaranteed shape is placed within the reservation, so that the rest
    // of the reservation stays next to it.
    if (sameShape || !m_options.guaranteeCheck) {
        if (const auto location
            = m_fleet.available().find(wanted, m_packing.zoneOf(guaranteeIndex))) {
            if (const auto record
                = m_packing.use(guaranteeIndex, *location, m_options.guaranteeCheck))
                return propose(*location, *record);
        }
    }
    if (reserved.empty())
        return false;
    gang_location location(reserved.begin(), reserved.begin() + wanted.members);
    for (worker_share &share : location)
        share.accelerators = wanted.acceleratorsPerMember;
    if (!hasFree(location, false))
        return false;
    return propose(location, *m_packing.use(guaranteeIndex, reserved, false));
}

scheduled_job *scheduler::cheapestVictim(worker_index index, absl::Time now) const
{
    const auto lostWork = [now](const scheduled_job &job) {
        const double runSeconds
            = job.state == job_state::Running ? absl::ToDoubleSeconds(now - job.startedAt) : 0;
        // Work that is not repeatable would be lost as a whole, so it is chosen last.
        return std::tuple(!job.spec.repeatable,
                          runSeconds * static_cast<double>(job.spec.wanted.accelerators()),
                          -static_cast<double>(job.sequence));
    };
    scheduled_job *best = nullptr;
    for (scheduled_job *job : m_fleet.at(index).gangs) {
        const bool reclaimable = job->isActive() && !job->guaranteeIndex && !job->stopping;
        if (reclaimable && (best == nullptr || lostWork(*job) < lostWork(*best)))
            best = job;
    }
    return best;
}

bool scheduler::reclaim(scheduled_job &job, absl::Time now, std::vector<decision> &out)
{
    for (const worker_share &share : job.claim) {
        const fleet_worker &worker = m_fleet.at(share.worker);
        for (;;) {
            std::uint32_t expectedFree = worker.freeCount();
            for (const scheduled_job *gang : worker.gangs) {
                if (!gang->stopping)
                    continue;
                for (const worker_share &part : gang->location)
                    expectedFree += part.worker == share.worker ? part.accelerators : 0;
            }
            if (expectedFree >= worker.claimed)
                break;
            scheduled_job *victim = cheapestVictim(share.worker, now);
            if (victim == nullptr)
                break;
            proposePreempt(*victim, job, m_packing.contractOf(*job.guaranteeIndex),
                           decision_cause::Reclaim, now, out);
        }
    }
    return true;
}

void scheduler::decideShared(std::vector<decision> &out)
{
    const auto fits = [this](const shape &wanted) { return m_fleet.available().fits(wanted); };
    while (out.size() < m_options.maxDecisions) {
        scheduled_job *job = m_queue.best(fits);
        if (job == nullptr)
            return;
        const auto location = m_fleet.available().find(job->spec.wanted);
        proposePlace(*job, *location, contract_id(), decision_cause::FairShare, out);
    }
}

} // namespace hyssoppond
