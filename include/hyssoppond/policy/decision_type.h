/// @file Decisions of the scheduler, their causes, and its options.
#pragma once

#include "hyssoppond/world/contract_type.h"
#include "hyssoppond/world/job_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hyssoppond {

/// Why a decision was taken.
enum class decision_cause : std::uint8_t {
    UnderContract, ///< urgent work of a team that has an unused guarantee
    FairShare,     ///< next in the order of shares and keys
    Reclaim,       ///< borrowed accelerators go back to the owner of a guarantee
    Compaction,    ///< borrowed work moves so that a starved gang fits
};

inline constexpr name_table<decision_cause, 4> DecisionCauseNames {
    {"UnderContract", "FairShare", "Reclaim", "Compaction"}};

/// Start an attempt of a job on these members.
struct place_decision
{
    job_id job;
    attempt_number attempt = 0;
    std::vector<gang_member> members;
    contract_id contract; ///< empty: borrowed
    decision_cause cause = decision_cause::FairShare;
};

/// Checkpoint an attempt and stop it at the deadline.
struct preempt_decision
{
    job_id job;
    attempt_number attempt = 0;
    absl::Time checkpointBefore;
    contract_id contract; ///< guarantee that is reclaimed; empty for a compaction
    job_id beneficiary;   ///< job that gets the accelerators
    decision_cause cause = decision_cause::Reclaim;
};

using decision = std::variant<place_decision, preempt_decision>;

/// Whether a worker may receive work.
enum class worker_condition : std::uint8_t {
    Usable,
    Draining,    ///< running gangs finish, no new ones
    Failed,      ///< its accelerators are gone
    Quarantined, ///< failed several starts in a row; no new work
    Probation,   ///< was quarantined; may run one gang
};

inline constexpr name_table<worker_condition, 5> WorkerConditionNames {
    {"Usable", "Draining", "Failed", "Guarded", "Probation"}};

/// Whether a command only tests its preconditions or also takes effect.
enum class command_mode : std::uint8_t { Test, Execute };

/// Guarantee that cannot be packed now.
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
    bool bestFit = true; ///< least leftover; off: the worker with the most free, the first zone
    bool learnRunTimes = true;     ///< off: declared run times order the queue
    bool fairShares = true;        ///< off: one order over all teams
    bool reserveForStarved = true; ///< keep workers for a gang that waits for its shape
    bool compaction = true;        ///< move borrowed work for a starved gang
    bool quarantine = true;        ///< stop giving work to workers that fail starts
    absl::Duration checkpointTime = absl::Seconds(5); ///< 7.5 s to start, less 2 s to stop
    absl::Duration starvedAfter = absl::Minutes(5);
    absl::Duration quarantineDelay = absl::Minutes(1); ///< first delay before probation, doubles
    std::uint32_t quarantineAfterFailures = 3;
    double runTimeWeight = 4.0;    ///< seconds of later submission that a second of run time costs
    double maxReservedShare = 0.6; ///< part of the fleet that may be kept for starved gangs
    std::uint32_t maxDecisions = 64;
};

} // namespace hyssoppond
