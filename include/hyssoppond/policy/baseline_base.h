/// @file Simple schedulers that the bench compares the scheduler with.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/policy/capacity_index_base.h"
#include "hyssoppond/policy/decision_type.h"
#include "hyssoppond/world/machine_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppond {

/// Policy that a baseline follows.
enum class baseline_kind : std::uint8_t {
    FirstComeFirstFit, ///< strict order of submission, first location that fits
    FirstFitSkipping,  ///< order of submission, but jobs that do not fit are passed over
    QuotaPreemption,  ///< best fit; urgent work within its quota preempts by accelerator count only
    FixedReservation, ///< accelerators of each contract are reserved for its team
};

inline constexpr name_table<baseline_kind, 4> BaselineKindNames {
    {"fcfs-first-fit", "skipping-first-fit", "quota-preemption", "fixed-reservation"}};

/// Offers the commands of `scheduler` that the bench uses, and decides by a simple policy.
class baseline_scheduler
{
public:
    explicit baseline_scheduler(baseline_kind kind)
        : m_kind(kind)
    { }

    result<void> addWorker(const worker &machine);
    result<void> setTeam(const team &value);
    result<void> setContract(const contract &value);
    result<void> submit(const job_spec &spec);
    result<void> placementAccepted(const job_id &id, attempt_number attempt,
                                   const std::vector<gang_member> &members,
                                   const contract_id &underContract);
    result<void> preemptionAccepted(const preempt_decision &accepted);
    result<void> gangStarted(const job_id &id, attempt_number attempt, absl::Time time);
    result<void> attemptEnded(const job_id &id, attempt_number attempt, attempt_outcome outcome,
                              absl::Time time, double runSeconds);
    std::vector<decision> decide(absl::Time now);

private:
    struct baseline_worker
    {
        worker machine;
        accelerator_mask free = 0;
        accelerator_mask reserved = 0;     ///< may be used by the team `owner` only
        accelerator_mask reservedFree = 0; ///< free ones of `reserved`; never part of `free`
        team_id owner;                     ///< empty: nothing is reserved
    };
    struct baseline_job
    {
        job_spec spec;
        attempt_number attempt = 1;
        std::vector<gang_member> members;
        bool inQuota = false;
        bool stopping = false;
        std::uint64_t order = 0;
    };
    using free_counts = std::vector<std::uint32_t>; ///< free accelerators by worker index

    free_counts countsFor(const team_id &owner) const;
    std::optional<gang_location> find(const shape &wanted, const free_counts &free) const;
    std::optional<gang_location> fillDomain(const std::vector<std::size_t> &workers,
                                            const shape &wanted, const free_counts &free) const;
    bool tryPlace(baseline_job &job, std::vector<decision> &out);
    void occupy(baseline_job &job, const std::vector<gang_member> &members);
    void vacate(baseline_job &job);
    bool withinQuota(const baseline_job &job) const;
    void preemptFor(const baseline_job &job, absl::Time now, std::vector<decision> &out);

    baseline_kind m_kind;
    std::vector<baseline_worker> m_workers;
    std::map<worker_id, std::size_t> m_workerIndexes;
    std::map<std::string, std::vector<std::size_t>> m_racks; ///< worker indexes by "zone/rack"
    std::map<std::string, std::vector<std::size_t>> m_zones;
    std::map<team_id, std::uint64_t> m_quota; ///< accelerators under contract by team
    std::map<team_id, std::uint64_t> m_quotaUse;
    std::map<job_id, baseline_job> m_jobs;
    std::map<std::uint64_t, baseline_job *> m_queue; ///< waiting jobs by order of submission
    std::uint64_t m_nextOrder = 0;
};

} // namespace hyssoppond
