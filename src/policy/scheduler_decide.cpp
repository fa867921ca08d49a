/// @file The decision: urgent work under contract with reclaim, then the shared queue.
#include "hyssoppond/policy/scheduler_base.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace hyssoppond {

namespace {

/// Urgent jobs of one team and shape that a decision looks at; more wait for the next one.
constexpr std::size_t UrgentPerLane = 16;

/// A removed worker is expected back within this time; an ordinary restart of an endpoint takes
/// some minutes at most.
constexpr absl::Duration AbsenceLimit = absl::Minutes(10);

} // namespace

std::vector<decision> scheduler::decide(absl::Time now)
{
    std::vector<decision> out;
    endQuarantines(now);
    endAbsences(now);
    updateHolds(now);
    decideUrgent(now, out);
    decideHeld(now, out);
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
    std::erase_if(m_absent, [this, now](absent_worker &one) {
        one.countsUntil = std::min(one.countsUntil, now + AbsenceLimit);
        if (one.countsUntil > now)
            return false;
        m_fleet.forget(one.worker);
        return true;
    });
}

void scheduler::proposePlace(job_entry &job, const gang_location &at, const contract_id &under,
                             decision_cause cause, std::vector<decision> &out)
{
    std::vector<gang_member> members = m_fleet.membersAt(at);
    out.emplace_back(place_decision {job.spec.id, job.attempt, members, under, cause});
    m_queue.erase(job);
    m_fleet.occupy(job, members, at);
    const auto accelerators = static_cast<std::int64_t>(job.spec.wanted.accelerators());
    m_queue.addUse(job.team, accelerators);
    m_undo.emplace_back([this, &job, accelerators] {
        m_queue.addUse(job.team, -accelerators);
        m_fleet.vacate(job);
        m_queue.insert(job);
    });
}

void scheduler::proposePreempt(job_entry &victim, const job_entry &beneficiary,
                               const contract_id &under, decision_cause cause, absl::Time now,
                               std::vector<decision> &out)
{
    out.emplace_back(preempt_decision {victim.spec.id, victim.attempt,
                                       now + m_options.checkpointTime, under, beneficiary.spec.id,
                                       cause});
    victim.stopping = true;
    m_undo.emplace_back([&victim] { victim.stopping = false; });
}

std::vector<job_entry *> scheduler::coveredUrgent(const job_queue::lanes_by_shape &lanes) const
{
    std::vector<job_entry *> jobs;
    for (const auto &[wanted, lane] : lanes) {
        if (!m_packing.unusedUnit(lane.begin()->second->spec.team, wanted))
            continue;
        std::size_t count = 0;
        for (auto at = lane.begin(); at != lane.end() && count < UrgentPerLane; ++at) {
            if (at->second->unit)
                continue;
            jobs.push_back(at->second);
            ++count;
        }
    }
    std::sort(jobs.begin(), jobs.end(), [](const job_entry *a, const job_entry *b) {
        return std::pair(a->key, a->sequence) < std::pair(b->key, b->sequence);
    });
    return jobs;
}

void scheduler::decideUrgent(absl::Time now, std::vector<decision> &out)
{
    // Copied, because proposals take jobs out of the queue.
    std::vector<job_entry *> jobs = m_claiming;
    for (const auto &[team, lanes] : m_queue.urgent()) {
        const auto covered = coveredUrgent(lanes);
        jobs.insert(jobs.end(), covered.begin(), covered.end());
    }
    for (job_entry *job : jobs) {
        if (out.size() < m_options.maxDecisions)
            decideUnderContract(*job, now, out);
        if (!job->unit || !job->members.empty())
            continue;
        // A job whose accelerators are being reclaimed does not also take borrowed ones.
        m_queue.erase(*job);
        m_undo.emplace_back([this, job] { m_queue.insert(*job); });
    }
}

bool scheduler::decideUnderContract(job_entry &job, absl::Time now, std::vector<decision> &out)
{
    if (job.unit)
        return placeAtClaim(job, out) || reclaim(job, now, out);
    const auto unit = m_packing.unusedUnit(job.spec.team, job.spec.wanted);
    if (!unit)
        return false;
    if (placeWithUnit(job, *unit, out))
        return true;
    if (!m_packing.isPacked(*unit))
        return false;
    // The claim makes the unit in use at its reservation, so that later proposals keep off it.
    claimFor(job, *unit);
    const auto record = m_packing.use(*unit, gang_location(m_packing.reserved(*unit)), false);
    m_undo.emplace_back([this, &job, record] {
        for (const worker_share &share : job.claim) {
            m_fleet.at(share.worker).claimed -= share.accelerators;
            m_fleet.refresh(share.worker);
        }
        job.claim.clear();
        job.unit.reset();
        std::erase(m_claiming, &job);
        m_packing.undo(*record);
    });
    return reclaim(job, now, out);
}

bool scheduler::hasFree(const gang_location &at, bool ignoreClaims) const
{
    std::map<worker_index, std::uint32_t> needed;
    for (const worker_share &share : at)
        needed[share.worker] += share.accelerators;
    return std::all_of(needed.begin(), needed.end(), [&](const auto &entry) {
        const fleet_worker &worker = m_fleet.at(entry.first);
        const std::uint32_t others = ignoreClaims ? 0 : worker.claimed;
        return m_fleet.guaranteeCapacity(entry.first) > 0
            && worker.freeCount() >= entry.second + others;
    });
}

bool scheduler::placeAtClaim(job_entry &job, std::vector<decision> &out)
{
    if (!hasFree(job.claim, true))
        return false;
    const gang_location at = job.claim;
    proposePlace(job, at, m_packing.contractOf(*job.unit), decision_cause::UnderContract, out);
    return true;
}

bool scheduler::placeWithUnit(job_entry &job, unit_index unit, std::vector<decision> &out)
{
    const contract_id under = m_packing.contractOf(unit);
    const shape &wanted = job.spec.wanted;
    const gang_location reserved = m_packing.reserved(unit);
    const bool whole = m_packing.find(under)->guaranteed == wanted;
    const auto propose = [&](const gang_location &at, const guarantee_packing::use_record &record) {
        m_undo.emplace_back([this, record] { m_packing.undo(record); });
        proposePlace(job, at, under, decision_cause::UnderContract, out);
        return true;
    };
    // A gang smaller than the promise takes part of the reservation, so that the rest stays with
    // it.
    if (whole || !m_options.guaranteeCheck) {
        if (const auto at = m_fleet.free().find(wanted, m_packing.zoneOf(unit))) {
            if (const auto record = m_packing.use(unit, *at, m_options.guaranteeCheck))
                return propose(*at, *record);
        }
    }
    if (reserved.empty())
        return false;
    gang_location at(reserved.begin(), reserved.begin() + wanted.members);
    for (worker_share &share : at)
        share.accelerators = wanted.acceleratorsPerMember;
    if (!hasFree(at, false))
        return false;
    return propose(at, *m_packing.use(unit, reserved, false));
}

job_entry *scheduler::cheapestVictim(worker_index index, absl::Time now) const
{
    const auto lostWork = [now](const job_entry &job) {
        const double ran
            = job.state == job_state::Running ? absl::ToDoubleSeconds(now - job.startedAt) : 0;
        // Work that may not be repeated is lost as a whole and goes last.
        return std::tuple(!job.spec.repeatable,
                          ran * static_cast<double>(job.spec.wanted.accelerators()),
                          -static_cast<double>(job.sequence));
    };
    job_entry *best = nullptr;
    for (job_entry *job : m_fleet.at(index).gangs) {
        const bool reclaimable = job->isActive() && !job->unit && !job->stopping;
        if (reclaimable && (best == nullptr || lostWork(*job) < lostWork(*best)))
            best = job;
    }
    return best;
}

bool scheduler::reclaim(job_entry &job, absl::Time now, std::vector<decision> &out)
{
    for (const worker_share &share : job.claim) {
        const fleet_worker &worker = m_fleet.at(share.worker);
        for (;;) {
            std::uint32_t coming = worker.freeCount();
            for (const job_entry *gang : worker.gangs) {
                if (!gang->stopping)
                    continue;
                for (const worker_share &part : gang->at)
                    coming += part.worker == share.worker ? part.accelerators : 0;
            }
            if (coming >= worker.claimed)
                break;
            job_entry *victim = cheapestVictim(share.worker, now);
            if (victim == nullptr)
                break;
            proposePreempt(*victim, job, m_packing.contractOf(*job.unit), decision_cause::Reclaim,
                           now, out);
        }
    }
    return true;
}

void scheduler::decideShared(std::vector<decision> &out)
{
    const auto fits = [this](const shape &wanted) { return m_fleet.free().fits(wanted); };
    while (out.size() < m_options.maxDecisions) {
        job_entry *job = m_queue.best(fits);
        if (job == nullptr)
            return;
        const auto at = m_fleet.free().find(job->spec.wanted);
        proposePlace(*job, *at, contract_id(), decision_cause::FairShare, out);
    }
}

} // namespace hyssoppond
