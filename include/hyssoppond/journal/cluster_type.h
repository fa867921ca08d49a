/// @file Entries of the cluster state: jobs, deciders, configuration and endpoints.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/journal/record_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssoppond::journal {

/// Decision about one record when it is applied; equal in all processes.
struct verdict
{
    bool accepted = false;
    reason why = reason::None; ///< why the record was rejected
    /// The record was accepted earlier with the same content; this repetition has no effect.
    bool repeated = false;
    /// Offset of the earlier record that this one repeats or conflicts with, or the winning version
    /// of a key, or the current epoch of a domain.
    journal_offset related = 0;
    bool outageLease = false; ///< the grant conferred the outage lease that it names
};

/// Command that was applied to a job; remembered so that a repetition has no effect.
struct applied_command
{
    request_id request;
    command_kind kind = command_kind::Cancel;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(request, kind);
    }
};

/// Change that was applied to a configuration key; remembered so that a repetition has no effect.
struct applied_change
{
    request_id request;
    std::string issuedBy;
    std::uint64_t valueHash = 0;
    journal_offset version = 0;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(request, issuedBy, valueHash, version);
    }
};

/// Number of requests remembered per job and per key. A runbook repeats its steps in order, so a
/// repeated request follows at most a few requests after the first one.
constexpr std::size_t MaxAppliedCommands = 32;
constexpr std::size_t MaxAppliedChanges = 16;

/// State of a job after the journal is applied.
struct job_entry
{
    job_spec spec;
    job_state state = job_state::Queued;
    attempt_number attempt = 1; ///< next attempt while queued, else the current or last one
    domain_id domain;           ///< domain of the current attempt
    epoch_number epoch = 0;     ///< epoch that placed the current attempt
    std::vector<gang_member> members;
    bool cancelRequested = false;
    bool suspendRequested = false;
    bool requeueRequested = false;
    journal_offset submittedOffset = 0; ///< offset of the submission; 0: not yet set
    absl::Time placedAt = absl::InfinitePast();
    absl::Time startedAt = absl::InfinitePast();
    absl::Time changedAt = absl::InfinitePast(); ///< record time of the last change
    attempt_outcome lastOutcome = attempt_outcome::Completed;
    double runSeconds = 0;                ///< total of all attempts, in seconds
    contract_id contract;                 ///< contract of the current attempt; empty: borrowed
    std::vector<applied_command> applied; ///< the last MaxAppliedCommands, oldest first

    bool isEnded() const { return state >= job_state::Completed; }
    bool isOnWorkers() const { return state == job_state::Placed || state == job_state::Running; }

    template<class archive>
    void serialize(archive &ar)
    {
        ar(spec, state, attempt, domain, epoch, members, cancelRequested, suspendRequested,
           requeueRequested, submittedOffset, placedAt, startedAt, changedAt, lastOutcome,
           runSeconds, contract, applied);
    }
};

/// Decider and outage lease of one domain.
struct domain_entry
{
    epoch_number epoch = 0;
    process_id holder; ///< current decider; empty: released
    incarnation_number incarnation = 0;
    absl::Time grantedAt = absl::InfinitePast();
    process_id outageLeaseHolder; ///< empty: no outage lease exists
    incarnation_number outageLeaseIncarnation = 0;
    /// First epoch in which this holder had the outage lease.
    epoch_number outageLeaseFirstEpoch = 0;
    epoch_number outageLeaseLastEpoch = 0;
    absl::Time outageLeaseUntil = absl::InfinitePast();

    template<class archive>
    void serialize(archive &ar)
    {
        ar(epoch, holder, incarnation, grantedAt, outageLeaseHolder, outageLeaseIncarnation,
           outageLeaseFirstEpoch, outageLeaseLastEpoch, outageLeaseUntil);
    }
};

/// Agent to which a request that may run only once is bound.
struct binding_entry
{
    process_id agent;
    incarnation_number incarnation = 0;
    journal_offset offset = 0;
    absl::Time boundAt;
    absl::Time until = absl::InfiniteFuture(); ///< deadline in the first binding of the request

    template<class archive>
    void serialize(archive &ar)
    {
        ar(agent, incarnation, offset, boundAt, until);
    }
};

/// Newest accepted change of one key.
struct config_entry
{
    std::string value; ///< empty: removed
    journal_offset version = 0;
    request_id request;
    std::string issuedBy;
    absl::Time changedAt;
    std::vector<applied_change> applied; ///< the last MaxAppliedChanges, oldest first

    template<class archive>
    void serialize(archive &ar)
    {
        ar(value, version, request, issuedBy, changedAt, applied);
    }
};

/// Last known endpoint of one agent.
struct endpoint_entry
{
    endpoint announced;
    bool removed = false;
    absl::Time changedAt; ///< record time of the last change

    template<class archive>
    void serialize(archive &ar)
    {
        ar(announced, removed, changedAt);
    }
};

} // namespace hyssoppond::journal
