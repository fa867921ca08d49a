/// @file What the reduction of the journal knows about jobs, deciders, configuration and endpoints.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/journal/record_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssoppond::journal {

/// Decision of the reduction about one record; equal in all processes.
struct verdict
{
    bool accepted = false;
    reason why = reason::None;  ///< of the rejection
    bool repeated = false;      ///< accepted before with the same content; no effect now
    journal_offset related = 0; ///< first offset of a repetition, or the winning version of a key
    bool outageLease = false;   ///< the grant conferred the outage right that it names
};

/// Command that was applied to a job.
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

/// Change that was applied to a configuration key.
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

/// Requests remembered per job and per key. A runbook repeats its steps in order, so a repetition
/// comes at most a few requests after the first one.
constexpr std::size_t MaxAppliedCommands = 32;
constexpr std::size_t MaxAppliedChanges = 16;

/// A job as reduced from the journal.
struct job_entry
{
    job_spec spec;
    job_state state = job_state::Queued;
    attempt_number attempt = 1; ///< next attempt while queued, else the current or last one
    domain_id domain;           ///< of the current attempt
    epoch_number epoch = 0;     ///< that placed the current attempt
    std::vector<gang_member> members;
    bool cancelRequested = false;
    bool suspendRequested = false;
    bool requeueRequested = false;
    journal_offset submitted = 0;
    absl::Time placedAt = absl::InfinitePast();
    absl::Time startedAt = absl::InfinitePast();
    absl::Time changedAt = absl::InfinitePast(); ///< record time of the last change
    attempt_outcome lastOutcome = attempt_outcome::Completed;
    double runSeconds = 0;                ///< of all attempts
    contract_id contract;                 ///< of the current attempt; empty: borrowed
    std::vector<applied_command> applied; ///< the last MaxAppliedCommands, oldest first

    bool isEnded() const { return state >= job_state::Completed; }
    bool isOnWorkers() const { return state == job_state::Placed || state == job_state::Running; }

    template<class archive>
    void serialize(archive &ar)
    {
        ar(spec, state, attempt, domain, epoch, members, cancelRequested, suspendRequested,
           requeueRequested, submitted, placedAt, startedAt, changedAt, lastOutcome, runSeconds,
           contract, applied);
    }
};

/// Decider and outage right of one domain.
struct domain_entry
{
    epoch_number epoch = 0;
    process_id holder; ///< empty: released
    incarnation_number incarnation = 0;
    absl::Time grantedAt = absl::InfinitePast();
    process_id outageLeaseHolder; ///< empty: no outage right exists
    incarnation_number outageLeaseIncarnation = 0;
    epoch_number outageLeaseFirstEpoch = 0; ///< first epoch under which this holder had the right
    epoch_number outageLeaseLastEpoch = 0;
    absl::Time outageLeaseUntil = absl::InfinitePast();

    template<class archive>
    void serialize(archive &ar)
    {
        ar(epoch, holder, incarnation, grantedAt, outageLeaseHolder, outageLeaseIncarnation,
           outageLeaseFirstEpoch, outageLeaseLastEpoch, outageLeaseUntil);
    }
};

struct binding_entry
{
    process_id agent;
    incarnation_number incarnation = 0;
    journal_offset offset = 0;
    absl::Time boundAt;
    absl::Time until = absl::InfiniteFuture(); ///< deadline of the first binder

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

struct endpoint_entry
{
    endpoint announced;
    bool removed = false;
    absl::Time changedAt;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(announced, removed, changedAt);
    }
};

} // namespace hyssoppond::journal
