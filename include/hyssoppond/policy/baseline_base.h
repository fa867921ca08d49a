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

/// Which simple policy a baseline follows.
enum class baseline_kind : std::uint8_t {
    FirstComeFirstFit, ///< strict order of submission, first position that fits
    FirstFitSkipping,  ///< order of submission, but jobs that do not fit are passed over
    QuotaPreemption,   ///< best fit; urgent work within quota preempts by counts, not by shape
    FixedReservation,  ///< accelerators of each contract are set apart for its team
};

inline constexpr name_table<baseline_kind, 4> BaselineKindNames {
    {"fcfs-first-fit", "skipping-first-fit", "quota-preemption", "fixed-reservation"}};

/// Baseline with the same commands as `scheduler`, as far as the bench uses them.
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
        accelerator_mask reserved = 0;     ///< set apart for `owner`
        accelerator_mask reservedFree = 0; ///< of these, free; never part of `free`
        team_id owner;
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
    using free_counts = std::vector<std::uint32_t>; ///< by worker

    free_counts countsFor(const team_id &owner) const;
    std::optional<gang_location> find(const shape &wanted, const free_counts &free) const;
    std::optional<gang_location> fillDomain(const std::vector<std::size_t> &workers,
                                            const shape &wanted, const free_counts &free) const;
    bool tryPlace(baseline_job &job, std::vector<decision> &out);
    void take(baseline_job &job, const std::vector<gang_member> &members);
    void giveBack(baseline_job &job);
    bool withinQuota(const baseline_job &job) const;
    void preemptFor(const baseline_job &job, absl::Time now, std::vector<decision> &out);

    baseline_kind m_kind;
    std::vector<baseline_worker> m_workers;
    std::map<worker_id, std::size_t> m_numbers;
    std::map<std::string, std::vector<std::size_t>> m_racks; ///< "zone/rack"
    std::map<std::string, std::vector<std::size_t>> m_zones;
    std::map<team_id, std::uint64_t> m_quota; ///< accelerators under contract
    std::map<team_id, std::uint64_t> m_quotaUse;
    std::map<job_id, baseline_job> m_jobs;
    std::map<std::uint64_t, baseline_job *> m_queue; ///< by order of submission
    std::uint64_t m_nextOrder = 0;
};

} // namespace hyssoppond
