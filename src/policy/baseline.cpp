/// @file Simple schedulers that the bench compares the scheduler with.
#include "hyssoppond/policy/baseline_base.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <bit>

namespace hyssoppond {

namespace {

/// Equal to the default of scheduler_options::checkpointTime.
constexpr absl::Duration CheckpointTime = absl::Seconds(5);

/// The lowest `count` set bits of `free`.
accelerator_mask lowestBits(accelerator_mask free, std::uint32_t count)
{
    accelerator_mask out = 0;
    for (std::uint32_t bit = 0; bit < MaxAcceleratorsPerWorker && count > 0; ++bit) {
        if ((free >> bit & 1U) == 0)
            continue;
        out = static_cast<accelerator_mask>(out | 1U << bit);
        --count;
    }
    return out;
}

std::uint32_t countOf(accelerator_mask mask)
{
    return static_cast<std::uint32_t>(std::popcount(mask));
}

} // namespace

result<void> baseline_scheduler::addWorker(const worker &machine)
{
    const std::size_t index = m_workers.size();
    m_workerIndexes[machine.id] = index;
    m_racks[absl::StrCat(machine.zone.str(), "/", machine.rack.str())].push_back(index);
    m_zones[machine.zone.str()].push_back(index);
    baseline_worker &added = m_workers.emplace_back();
    added.machine = machine;
    added.free = static_cast<accelerator_mask>((1U << machine.accelerators) - 1);
    return {};
}

result<void> baseline_scheduler::setTeam(const team &)
{
    return {};
}

result<void> baseline_scheduler::setContract(const contract &value)
{
    m_quota[value.team] += value.count * value.guaranteed.accelerators();
    if (m_kind != baseline_kind::FixedReservation)
        return {};
    for (std::uint32_t i = 0; i < value.count; ++i) {
        free_counts free;
        for (const baseline_worker &worker : m_workers)
            free.push_back(
                worker.owner.isEmpty() || worker.owner == value.team ? countOf(worker.free) : 0);
        const auto location = find(value.guaranteed, free);
        if (!location)
            return fail(reason::GuaranteeAtRisk,
                        "the fixed reservation does not fit the fleet; reduce the count or "
                        "shape of the contract");
        for (const worker_share &share : *location) {
            baseline_worker &worker = m_workers[share.worker];
            const accelerator_mask mask = lowestBits(worker.free, share.accelerators);
            worker.free = static_cast<accelerator_mask>(worker.free & ~mask);
            worker.reserved = static_cast<accelerator_mask>(worker.reserved | mask);
            worker.reservedFree = static_cast<accelerator_mask>(worker.reservedFree | mask);
            worker.owner = value.team;
        }
    }
    return {};
}

result<void> baseline_scheduler::submit(const job_spec &spec)
{
    baseline_job &job = m_jobs[spec.id];
    job.spec = spec;
    job.order = m_nextOrder++;
    m_queue[job.order] = &job;
    return {};
}

baseline_scheduler::free_counts baseline_scheduler::countsFor(const team_id &owner) const
{
    free_counts out;
    out.reserve(m_workers.size());
    for (const baseline_worker &worker : m_workers)
        out.push_back(countOf(worker.free)
                      + (worker.owner == owner ? countOf(worker.reservedFree) : 0));
    return out;
}

std::optional<gang_location> baseline_scheduler::fillDomain(const std::vector<std::size_t> &workers,
                                                            const shape &wanted,
                                                            const free_counts &free) const
{
    gang_location location;
    for (const std::size_t index : workers) {
        std::uint32_t remaining = free[index];
        for (; remaining >= wanted.acceleratorsPerMember && location.size() < wanted.members;
             remaining -= wanted.acceleratorsPerMember)
            location.push_back({static_cast<worker_index>(index), wanted.acceleratorsPerMember});
    }
    if (location.size() < wanted.members)
        return std::nullopt;
    return location;
}

std::optional<gang_location> baseline_scheduler::find(const shape &wanted,
                                                      const free_counts &free) const
{
    const bool bestFit = m_kind == baseline_kind::QuotaPreemption;
    std::optional<gang_location> best;
    std::uint32_t bestFree = UINT32_MAX;
    const auto consider = [&](const std::vector<std::size_t> &workers) {
        std::uint32_t total = 0;
        for (const std::size_t index : workers)
            total += free[index];
        if (total >= bestFree)
            return;
        if (auto location = fillDomain(workers, wanted, free)) {
            best = std::move(location);
            bestFree = bestFit ? total : 0;
        }
    };
    if (wanted.within == adjacency::Worker) {
        for (std::size_t index = 0; index < m_workers.size(); ++index)
            consider({index});
        return best;
    }
    for (const auto &[name, workers] : wanted.within == adjacency::Rack ? m_racks : m_zones)
        consider(workers);
    return best;
}

void baseline_scheduler::occupy(baseline_job &job, const std::vector<gang_member> &members)
{
    job.members = members;
    for (const gang_member &member : members) {
        baseline_worker &worker = m_workers[m_workerIndexes.at(member.worker)];
        worker.free = static_cast<accelerator_mask>(worker.free & ~member.accelerators);
        worker.reservedFree
            = static_cast<accelerator_mask>(worker.reservedFree & ~member.accelerators);
    }
    job.inQuota = withinQuota(job);
    if (job.inQuota)
        m_quotaUse[job.spec.team] += job.spec.wanted.accelerators();
}

void baseline_scheduler::vacate(baseline_job &job)
{
    for (const gang_member &member : job.members) {
        baseline_worker &worker = m_workers[m_workerIndexes.at(member.worker)];
        const auto reservedPart
            = static_cast<accelerator_mask>(member.accelerators & worker.reserved);
        worker.reservedFree = static_cast<accelerator_mask>(worker.reservedFree | reservedPart);
        worker.free
            = static_cast<accelerator_mask>(worker.free | (member.accelerators ^ reservedPart));
    }
    if (job.inQuota)
        m_quotaUse[job.spec.team] -= job.spec.wanted.accelerators();
    job.inQuota = false;
    job.members.clear();
}

bool baseline_scheduler::withinQuota(const baseline_job &job) const
{
    const auto quota = m_quota.find(job.spec.team);
    const auto use = m_quotaUse.find(job.spec.team);
    return job.spec.level == urgency::Urgent && quota != m_quota.end()
        && (use == m_quotaUse.end() ? 0 : use->second) + job.spec.wanted.accelerators()
        <= quota->second;
}

bool baseline_scheduler::tryPlace(baseline_job &job, std::vector<decision> &out)
{
    const auto location = find(job.spec.wanted, countsFor(job.spec.team));
    if (!location)
        return false;
    std::vector<gang_member> members;
    std::map<worker_index, accelerator_mask> taken;
    for (const worker_share &share : *location) {
        const baseline_worker &worker = m_workers[share.worker];
        accelerator_mask &mask = taken[share.worker];
        accelerator_mask usable = worker.free;
        if (worker.owner == job.spec.team)
            usable = static_cast<accelerator_mask>(usable | worker.reservedFree);
        const accelerator_mask chosen
            = lowestBits(static_cast<accelerator_mask>(usable & ~mask), share.accelerators);
        mask = static_cast<accelerator_mask>(mask | chosen);
        members.push_back({worker.machine.id, worker.machine.agent, chosen});
    }
    out.emplace_back(place_decision {job.spec.id, job.attempt, members, contract_id(),
                                     decision_cause::FairShare});
    return true;
}

void baseline_scheduler::preemptFor(const baseline_job &job, absl::Time now,
                                    std::vector<decision> &out)
{
    std::uint64_t expectedFree = 0;
    for (const baseline_worker &worker : m_workers)
        expectedFree += countOf(worker.free);
    std::vector<baseline_job *> victims;
    for (auto &[id, other] : m_jobs) {
        if (other.stopping)
            expectedFree += other.spec.wanted.accelerators();
        else if (!other.members.empty() && !other.inQuota)
            victims.push_back(&other);
    }
    std::sort(victims.begin(), victims.end(),
              [](const auto *a, const auto *b) { return a->order > b->order; });
    for (baseline_job *victim : victims) {
        if (expectedFree >= job.spec.wanted.accelerators())
            return;
        expectedFree += victim->spec.wanted.accelerators();
        out.emplace_back(preempt_decision {victim->spec.id, victim->attempt, now + CheckpointTime,
                                           contract_id(), job.spec.id, decision_cause::Reclaim});
    }
}

std::vector<decision> baseline_scheduler::decide(absl::Time now)
{
    // Returns the decisions for one job at most; the caller repeats the call until there is none.
    std::vector<decision> out;
    if (m_kind == baseline_kind::QuotaPreemption) {
        for (const auto &[order, job] : m_queue) {
            if (!withinQuota(*job))
                continue;
            if (!tryPlace(*job, out))
                preemptFor(*job, now, out);
            if (!out.empty())
                return out;
        }
    }
    for (const auto &[order, job] : m_queue) {
        if (tryPlace(*job, out) || m_kind == baseline_kind::FirstComeFirstFit)
            return out;
    }
    return out;
}

result<void> baseline_scheduler::placementAccepted(const job_id &id, attempt_number,
                                                   const std::vector<gang_member> &members,
                                                   const contract_id &)
{
    baseline_job &job = m_jobs.at(id);
    m_queue.erase(job.order);
    occupy(job, members);
    return {};
}

result<void> baseline_scheduler::preemptionAccepted(const preempt_decision &accepted)
{
    m_jobs.at(accepted.job).stopping = true;
    return {};
}

result<void> baseline_scheduler::gangStarted(const job_id &, attempt_number, absl::Time)
{
    return {};
}

result<void> baseline_scheduler::attemptEnded(const job_id &id, attempt_number,
                                              attempt_outcome outcome, absl::Time, double)
{
    baseline_job &job = m_jobs.at(id);
    vacate(job);
    job.stopping = false;
    ++job.attempt;
    if (outcome == attempt_outcome::Completed)
        m_jobs.erase(id);
    else
        m_queue[job.order] = &job;
    return {};
}

} // namespace hyssoppond
