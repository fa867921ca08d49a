/// @file Holds: workers kept for a gang that waits for its shape, and compaction in its favour.
#include "hyssoppond/policy/scheduler_base.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace hyssoppond {

namespace {

/// Seconds that a moved gang loses besides its checkpoint: it has to be placed and to load again.
constexpr double RestartSeconds = 30;

} // namespace

void scheduler::dropHold(const job_entry &job)
{
    const auto found = std::find_if(m_holds.begin(), m_holds.end(),
                                    [&job](const auto &kept) { return kept.job == &job; });
    if (found == m_holds.end())
        return;
    const std::vector<worker_index> workers = std::move(found->workers);
    m_holds.erase(found);
    for (const worker_index index : workers) {
        m_fleet.at(index).held = false;
        m_fleet.refresh(index);
    }
}

void scheduler::updateHolds(absl::Time now)
{
    if (!m_options.reserveForStarved)
        return;
    job_entry *job = m_queue.oldestBlocked(
        [this](const shape &wanted) { return m_fleet.free().fits(wanted); });
    if (job == nullptr || job->unit || now - job->spec.submittedAt < m_options.starvedAfter)
        return;
    const bool known = std::any_of(m_holds.begin(), m_holds.end(),
                                   [job](const auto &kept) { return kept.job == job; });
    if (!known)
        addHold(*job);
}

void scheduler::addHold(job_entry &job)
{
    const shape &wanted = job.spec.wanted;
    const auto capacityOf = [this](worker_index index) {
        return m_fleet.at(index).held ? 0 : m_fleet.guaranteeCapacity(index);
    };
    starved_hold kept {&job, {}, 0};
    std::uint32_t members = 0;
    const auto takeWorkers = [&](std::vector<worker_index> from) {
        std::stable_sort(from.begin(), from.end(), [this](worker_index a, worker_index b) {
            return m_fleet.at(a).freeCount() > m_fleet.at(b).freeCount();
        });
        kept.workers.clear();
        kept.accelerators = members = 0;
        for (const worker_index index : from) {
            const std::uint32_t fit = capacityOf(index) / wanted.acceleratorsPerMember;
            if (fit == 0 || members >= wanted.members)
                continue;
            members += fit;
            kept.workers.push_back(index);
            kept.accelerators += m_fleet.at(index).machine.accelerators;
        }
        return members >= wanted.members;
    };
    if (!takeWorkers(m_fleet.free().nearest(wanted))) {
        // The position nearest to fitting is too small even when empty: take any that is large
        // enough.
        const auto at = m_fleet.total().find(wanted);
        std::vector<worker_index> workers;
        for (const worker_share &share : at.value_or(gang_location {})) {
            if (workers.empty() || workers.back() != share.worker)
                workers.push_back(share.worker);
        }
        if (!takeWorkers(workers))
            return;
    }
    std::uint32_t held = kept.accelerators;
    for (const starved_hold &other : m_holds)
        held += other.accelerators;
    if (!m_holds.empty() && held > m_options.maxReservedShare * m_fleet.accelerators())
        return;
    for (const worker_index index : kept.workers) {
        m_fleet.at(index).held = true;
        m_fleet.refresh(index);
    }
    m_holds.push_back(std::move(kept));
}

std::optional<gang_location> scheduler::locateHeld(const starved_hold &kept) const
{
    const shape &wanted = kept.job->spec.wanted;
    gang_location at;
    for (const worker_index index : kept.workers) {
        const fleet_worker &worker = m_fleet.at(index);
        std::uint32_t free = worker.freeCount();
        free -= std::min(free, worker.claimed);
        for (; free >= wanted.acceleratorsPerMember && at.size() < wanted.members;
             free -= wanted.acceleratorsPerMember)
            at.push_back({index, wanted.acceleratorsPerMember});
    }
    if (at.size() < wanted.members)
        return std::nullopt;
    return at;
}

void scheduler::decideHeld(absl::Time now, std::vector<decision> &out)
{
    for (const starved_hold &kept : m_holds) {
        if (!kept.job->members.empty())
            continue; // placed under contract by this decision
        std::optional<gang_location> at = m_fleet.free().find(kept.job->spec.wanted);
        if (!at)
            at = locateHeld(kept);
        if (at)
            proposePlace(*kept.job, *at, contract_id(), decision_cause::FairShare, out);
        else if (m_options.compaction)
            compact(kept, now, out);
    }
}

void scheduler::compact(const starved_hold &kept, absl::Time now, std::vector<decision> &out)
{
    std::vector<job_entry *> moving;
    std::uint64_t accelerators = 0;
    for (const worker_index index : kept.workers) {
        for (job_entry *gang : m_fleet.at(index).gangs) {
            if (gang->stopping)
                return; // an earlier move is under way
            if (!gang->isActive() || gang->unit || !gang->spec.repeatable)
                return;
            if (std::find(moving.begin(), moving.end(), gang) != moving.end())
                continue;
            moving.push_back(gang);
            accelerators += gang->spec.wanted.accelerators();
        }
    }
    const double cost = static_cast<double>(accelerators)
        * (absl::ToDoubleSeconds(m_options.checkpointTime) + RestartSeconds);
    double wait = 0; // seconds until the last of the gangs is expected to end by itself
    for (const job_entry *gang : moving) {
        const double ran
            = gang->state == job_state::Running ? absl::ToDoubleSeconds(now - gang->startedAt) : 0;
        wait = std::max(wait,
                        m_runTimes.expected(gang->spec, gang->attainedSeconds + ran)
                            - gang->attainedSeconds - ran);
        // Each must fit elsewhere at once; the free index does not contain held workers.
        if (!m_fleet.free().fits(gang->spec.wanted))
            return;
    }
    const auto starved = static_cast<double>(kept.job->spec.wanted.accelerators());
    if (moving.empty() || m_fleet.free().totalAvailable() < accelerators || cost >= starved * wait)
        return;
    for (job_entry *gang : moving)
        proposePreempt(*gang, *kept.job, contract_id(), decision_cause::Compaction, now, out);
}

result<job_explanation> scheduler::explain(const job_id &id) const
{
    const job_entry *job = find(id);
    if (job == nullptr)
        return fail(reason::UnknownJob, absl::StrFormat("job %s is not known", id.str()));
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
    if (!m_fleet.known().fits(wanted)) {
        out.why = reason::ImpossibleShape;
        out.text += "; no position of the fleet is large enough; cancel it or add workers";
    } else if (!m_fleet.total().fits(wanted)) {
        out.why = reason::WorkerUnreachable;
        out.text += "; workers that it needs are absent; it starts when they return";
    } else if (!job->claim.empty()) {
        out.why = reason::AcceleratorBusy;
        out.text += "; borrowed work is being stopped for its guarantee";
    } else if (!m_fleet.free().fits(wanted)) {
        out.why = reason::AcceleratorBusy;
        out.text += absl::StrFormat("; no %s has %d x %d accelerators free",
                                    std::string(AdjacencyNames.name(wanted.within)), wanted.members,
                                    wanted.acceleratorsPerMember);
        const bool kept = std::any_of(m_holds.begin(), m_holds.end(),
                                      [job](const auto &hold) { return hold.job == job; });
        if (kept)
            out.text += "; workers are kept for it until the gangs on them end";
    } else {
        out.why = reason::QuotaExceeded;
        out.text += absl::StrFormat("; its team uses %d accelerators, others with a lower share "
                                    "go first",
                                    m_queue.use(job->team));
    }
    if (job->spec.level == urgency::Urgent && !job->unit
        && !m_packing.unusedUnit(job->spec.team, wanted))
        out.text += "; no unused guarantee of the team covers it, so it counts as normal";
    return out;
}

} // namespace hyssoppond
