/// @file Reservation of workers for starved gangs, compaction in their favour, and explanations.
#include "hyssoppond/policy/scheduler_base.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace hyssoppond {

namespace {

/// Seconds that a moved gang loses besides its checkpoint, since it is placed and loaded again.
constexpr double RestartSeconds = 30;

} // namespace

void scheduler::dropStarvedReservation(const scheduled_job &job)
{
    const auto found
        = std::find_if(m_starvedReservations.begin(), m_starvedReservations.end(),
                       [&job](const auto &reservation) { return reservation.job == &job; });
    if (found == m_starvedReservations.end())
        return;
    const std::vector<worker_index> workers = std::move(found->workers);
    m_starvedReservations.erase(found);
    for (const worker_index index : workers) {
        m_fleet.at(index).reservedForStarved = false;
        m_fleet.refresh(index);
    }
}

void scheduler::updateStarvedReservations(absl::Time now)
{
    if (!m_options.reserveForStarved)
        return;
    scheduled_job *job = m_queue.oldestBlocked(
        [this](const shape &wanted) { return m_fleet.available().fits(wanted); });
    if (job == nullptr || job->guaranteeIndex
        || now - job->spec.submittedAt < m_options.starvedAfter)
        return;
    const bool hasReservation
        = std::any_of(m_starvedReservations.begin(), m_starvedReservations.end(),
                      [job](const auto &reservation) { return reservation.job == job; });
    if (!hasReservation)
        addStarvedReservation(*job);
}

void scheduler::addStarvedReservation(scheduled_job &job)
{
    const shape &wanted = job.spec.wanted;
    const auto capacityOf = [this](worker_index index) {
        return m_fleet.at(index).reservedForStarved ? 0 : m_fleet.guaranteeCapacity(index);
    };
    starved_reservation reservation {&job, {}, 0};
    std::uint32_t members = 0;
    const auto selectWorkers = [&](std::vector<worker_index> candidates) {
        std::stable_sort(candidates.begin(), candidates.end(),
                         [this](worker_index a, worker_index b) {
                             return m_fleet.at(a).freeCount() > m_fleet.at(b).freeCount();
                         });
        reservation.workers.clear();
        reservation.accelerators = members = 0;
        for (const worker_index index : candidates) {
            const std::uint32_t fittingMembers = capacityOf(index) / wanted.acceleratorsPerMember;
            if (fittingMembers == 0 || members >= wanted.members)
                continue;
            members += fittingMembers;
            reservation.workers.push_back(index);
            reservation.accelerators += m_fleet.at(index).machine.accelerators;
        }
        return members >= wanted.members;
    };
    if (!selectWorkers(m_fleet.available().nearest(wanted))) {
        // The workers nearest to fitting the shape are too small even without gangs, so any
        // location that is large enough is taken.
        const auto location = m_fleet.total().find(wanted);
        std::vector<worker_index> workers;
        for (const worker_share &share : location.value_or(gang_location {})) {
            if (workers.empty() || workers.back() != share.worker)
                workers.push_back(share.worker);
        }
        if (!selectWorkers(workers))
            return;
    }
    std::uint32_t reservedAccelerators = reservation.accelerators;
    for (const starved_reservation &other : m_starvedReservations)
        reservedAccelerators += other.accelerators;
    if (!m_starvedReservations.empty()
        && reservedAccelerators > m_options.maxReservedShare * m_fleet.accelerators())
        return;
    for (const worker_index index : reservation.workers) {
        m_fleet.at(index).reservedForStarved = true;
        m_fleet.refresh(index);
    }
    m_starvedReservations.push_back(std::move(reservation));
}

std::optional<gang_location> scheduler::locateInReservation(
    const starved_reservation &reservation) const
{
    const shape &wanted = reservation.job->spec.wanted;
    gang_location location;
    for (const worker_index index : reservation.workers) {
        const fleet_worker &worker = m_fleet.at(index);
        std::uint32_t free = worker.freeCount();
        free -= std::min(free, worker.claimed);
        for (; free >= wanted.acceleratorsPerMember && location.size() < wanted.members;
             free -= wanted.acceleratorsPerMember)
            location.push_back({index, wanted.acceleratorsPerMember});
    }
    if (location.size() < wanted.members)
        return std::nullopt;
    return location;
}

void scheduler::decideStarvedJobs(absl::Time now, std::vector<decision> &out)
{
    for (const starved_reservation &reservation : m_starvedReservations) {
        if (!reservation.job->members.empty())
            continue; // placed under contract by this call of `decide`
        std::optional<gang_location> location
            = m_fleet.available().find(reservation.job->spec.wanted);
        if (!location)
            location = locateInReservation(reservation);
        if (location)
            proposePlace(*reservation.job, *location, contract_id(), decision_cause::FairShare,
                         out);
        else if (m_options.compaction)
            compact(reservation, now, out);
    }
}

void scheduler::compact(const starved_reservation &reservation, absl::Time now,
                        std::vector<decision> &out)
{
    std::vector<scheduled_job *> movedGangs;
    std::uint64_t accelerators = 0;
    for (const worker_index index : reservation.workers) {
        for (scheduled_job *gang : m_fleet.at(index).gangs) {
            if (gang->stopping)
                return; // the gangs of an earlier compaction are still stopping
            if (!gang->isActive() || gang->guaranteeIndex || !gang->spec.repeatable)
                return;
            if (std::find(movedGangs.begin(), movedGangs.end(), gang) != movedGangs.end())
                continue;
            movedGangs.push_back(gang);
            accelerators += gang->spec.wanted.accelerators();
        }
    }
    // Costs and gains are in accelerator seconds.
    const double moveCost = static_cast<double>(accelerators)
        * (absl::ToDoubleSeconds(m_options.checkpointTime) + RestartSeconds);
    double expectedWaitSeconds = 0; // until the last of the gangs ends by itself
    for (const scheduled_job *gang : movedGangs) {
        const double runSeconds
            = gang->state == job_state::Running ? absl::ToDoubleSeconds(now - gang->startedAt) : 0;
        expectedWaitSeconds
            = std::max(expectedWaitSeconds,
                       m_runTimes.expected(gang->spec, gang->attainedSeconds + runSeconds)
                           - gang->attainedSeconds - runSeconds);
        // Each gang must fit on other workers now. `available` leaves out reserved workers.
        if (!m_fleet.available().fits(gang->spec.wanted))
            return;
    }
    const auto starvedAccelerators
        = static_cast<double>(reservation.job->spec.wanted.accelerators());
    if (movedGangs.empty() || m_fleet.available().totalAvailable() < accelerators
        || moveCost >= starvedAccelerators * expectedWaitSeconds)
        return;
    for (scheduled_job *gang : movedGangs)
        proposePreempt(*gang, *reservation.job, contract_id(), decision_cause::Compaction, now,
                       out);
}

result<job_explanation> scheduler::explain(const job_id &id) const
{
    const scheduled_job *job = find(id);
    if (job == nullptr)
        return fail(reason::UnknownJob,
                    absl::StrFormat("job %s is not known; check its id", id.str()));
    job_explanation out {job->state, reason::None, std::string(JobStateNames.name(job->state))};
    const shape &wanted = job->spec.wanted;
    if (job->isActive()) {
        out.text += job->stopping     ? "; is checkpointed and stopped for a guarantee or a move"
            : job->contract.isEmpty() ? "; borrowed, may be reclaimed"
                                      : "; under contract " + job->contract.str();
        return out;
    }
    if (!job->isQueued())
        return out;
    if (!m_fleet.totalWithAbsent().fits(wanted)) {
        out.why = reason::ImpossibleShape;
        out.text
            += "; no worker, rack or zone of the fleet is large enough; cancel it or add workers";
    } else if (!m_fleet.total().fits(wanted)) {
        out.why = reason::WorkerUnreachable;
        out.text += "; workers that it needs are absent; it starts when they return";
    } else if (!job->claim.empty()) {
        out.why = reason::AcceleratorBusy;
        out.text += "; borrowed work is being stopped for its guarantee";
    } else if (!m_fleet.available().fits(wanted)) {
        out.why = reason::AcceleratorBusy;
        out.text += absl::StrFormat("; no %s has %d x %d accelerators free",
                                    std::string(AdjacencyNames.name(wanted.within)), wanted.members,
                                    wanted.acceleratorsPerMember);
        const bool hasReservation
            = std::any_of(m_starvedReservations.begin(), m_starvedReservations.end(),
                          [job](const auto &reservation) { return reservation.job == job; });
        if (hasReservation)
            out.text += "; workers are reserved for it until the gangs on them end";
    } else {
        out.why = reason::QuotaExceeded;
        out.text += absl::StrFormat("; its team uses %d accelerators, others with a lower share "
                                    "go first",
                                    m_queue.usedAccelerators(job->team));
    }
    if (job->spec.level == urgency::Urgent && !job->guaranteeIndex
        && !m_packing.unusedGuarantee(job->spec.team, wanted))
        out.text += "; no unused guarantee of the team covers it, so it counts as normal";
    return out;
}

} // namespace hyssoppond
