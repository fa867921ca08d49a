/// @file Decisions of the scheduler, their causes, and its options.
#pragma once

#include "hyssoppond/world/contract_type.h"
#include "hyssoppond/world/job_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hyssoppond {

/// Reason for a decision.
enum class decision_cause : std::uint8_t {
    UnderContract, ///< urgent work of a team that has an unused guarantee
    FairShare,     ///< next job by share of its team and key
    Reclaim,       ///< borrowed accelerators are returned to the owner of a guarantee
    Compaction,    ///< borrowed work is moved so that a starved gang fits
};

inline constexpr name_table<decision_cause, 4> DecisionCauseNames {
    {"UnderContract", "FairShare", "Reclaim", "Compaction"}};

/// Start an attempt of a job on these members.
struct place_decision
{
    job_id job;
    attempt_number attempt = 0;
    std::vector<gang_member> members;
    contract_id contract; ///< empty: the accelerators are borrowed
    decision_cause cause = decision_cause::FairShare;
};

/// Checkpoint an attempt and stop it by `checkpointBefore`.
struct preempt_decision
{
    job_id job;
    attempt_number attempt = 0;
    absl::Time checkpointBefore;
    contract_id contract; ///< contract whose guarantee is reclaimed; empty for a compaction
    job_id beneficiary;   ///< job that gets the accelerators
    decision_cause cause = decision_cause::Reclaim;
};

using decision = std::variant<place_decision, preempt_decision>;

/// Whether a worker may receive work.
enum class worker_condition : std::uint8_t {
    Usable,
    Draining,    ///< running gangs finish; no new gang starts
    Failed,      ///< its accelerators cannot be used
    Quarantined, ///< several starts in a row failed; no new gang starts
    Probation,   ///< after a quarantine; may run one gang as a trial
};

inline constexpr name_table<worker_condition, 5> WorkerConditionNames {
    {"Usable", "Draining", "Failed", "Guarded", "Probation"}};

/// Whether a command only tests its preconditions or also takes effect.
enum class command_mode : std::uint8_t { Test, Execute };

/// Contract whose guarantees cannot all be packed now.
struct guarantee_risk
{
    contract_id contract;
    std::uint32_t gangs = 0; ///< gangs of the contract that cannot be packed
    std::string why;
};

/// Settings and mechanism switches of the scheduler.
struct scheduler_options
{
    bool guaranteeCheck = true; ///< test the packing of all unused guarantees (I1)
    /// Choose the location with the least leftover; off: the first zone that fits, or the worker
    /// with the most available accelerators.
    bool bestFit = true;
    bool learnRunTimes = true;     ///< off: the queue is ordered by declared run times
    bool fairShares = true;        ///< off: all teams share one order
    bool reserveForStarved = true; ///< reserve workers for a gang that waits for its shape
    bool compaction = true;        ///< move borrowed work in favour of a starved gang
    bool quarantine = true;        ///< give no work to workers that fail starts
    /// Time that a preempted gang gets for its checkpoint. Urgent work must start within 7.5 s, of
    /// which 2 s are needed to stop the gang.
    absl::Duration checkpointTime = absl::Seconds(5);
    absl::Duration starvedAfter = absl::Minutes(5);    ///< since submission
    absl::Duration quarantineDelay = absl::Minutes(1); ///< before probation; doubles each time
    std::uint32_t quarantineAfterFailures = 3;         ///< failed starts in a row
    /// Seconds of later submission that count as much as one second of longer run time.
    double runTimeWeight = 4.0;
    double maxReservedShare = 0.6;   ///< part of the fleet that may be reserved for starved gangs
    std::uint32_t maxDecisions = 64; ///< per call of `decide`
};

} // namespace hyssoppond
