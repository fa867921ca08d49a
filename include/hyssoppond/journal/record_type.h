/// @file Records of the journal.
#pragma once

#include "hyssoppond/world/job_type.h"
#include "hyssoppond/world/machine_type.h"

#include <cereal/types/variant.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hyssoppond::journal {

/// Unique identifier of a record. The author of a record whose append answer was lost recognises
/// the record by it when reading the log.
struct record_id
{
    process_id process;
    incarnation_number incarnation = 0;
    std::uint64_t counter = 0; ///< counted from 1 within the incarnation

    auto operator<=>(const record_id &) const = default;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(process, incarnation, counter);
    }
};

/// Kind of a command that a caller or operator gives about a job.
enum class command_kind : std::uint8_t { Cancel, Hold, Release, Suspend, Resume, Requeue };

inline constexpr name_table<command_kind, 6> CommandKindNames {
    {"Cancel", "Hold", "Release", "Suspend", "Resume", "Requeue"}};

/// Submission of a job.
struct job_submitted
{
    job_spec spec;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(spec);
    }
};

/// Command of a caller or operator about a job.
struct job_command
{
    job_id job;
    command_kind kind = command_kind::Cancel;
    request_id request;
    std::string issuedBy; ///< operator or caller

    template<class archive>
    void serialize(archive &ar)
    {
        ar(job, kind, request, issuedBy);
    }
};

/// Placement domain: a site or a region, with one decider.
using domain_id = typed_name<struct domain_tag>;

/// Placement of a job by the decider. Valid only in the current epoch of the domain, for a queued
/// job, and on free accelerators.
struct job_placed
{
    domain_id domain;
    job_id job;
    attempt_number attempt = 0;
    epoch_number epoch = 0;
    std::vector<gang_member> members;
    contract_id contract = {}; ///< contract that guarantees the placement; empty: borrowed

    template<class archive>
    void serialize(archive &ar)
    {
        ar(domain, job, attempt, epoch, members, contract);
    }
};

/// Job that the holder of an outage lease accepted and placed while the log was unavailable. Valid
/// if the outage lease was held in `epoch`, even if that epoch is no longer the current one.
struct outage_placed
{
    domain_id domain;
    job_spec spec;
    epoch_number epoch = 0;
    std::vector<gang_member> members; ///< members of attempt 1
    contract_id contract = {};        ///< contract that guarantees the placement

    template<class archive>
    void serialize(archive &ar)
    {
        ar(domain, spec, epoch, members, contract);
    }
};

/// All members of the gang of an attempt have started.
struct gang_started
{
    domain_id domain;
    job_id job;
    attempt_number attempt = 0;
    epoch_number epoch = 0;
    absl::Time startedAt;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(domain, job, attempt, epoch, startedAt);
    }
};

/// End of an attempt of a job.
struct attempt_ended
{
    domain_id domain;
    job_id job;
    attempt_number attempt = 0;
    epoch_number epoch = 0;
    attempt_outcome outcome = attempt_outcome::Completed;
    absl::Time endedAt;
    double runSeconds = 0; ///< run time of this attempt

    template<class archive>
    void serialize(archive &ar)
    {
        ar(domain, job, attempt, epoch, outcome, endedAt, runSeconds);
    }
};

/// Binds a request that may run only once to one agent; the first binding wins.
struct request_bound
{
    request_id request;
    team_id team;
    process_id agent;
    incarnation_number incarnation = 0;
    absl::Time until = absl::InfiniteFuture(); ///< the request is not run after this time

    template<class archive>
    void serialize(archive &ar)
    {
        ar(request, team, agent, incarnation, until);
    }
};

/// Change or removal of one configuration key.
struct config_changed
{
    std::string key;
    std::string value; ///< empty: removes the key
    /// Version that the change replaces; 0: the key does not exist.
    journal_offset expectedVersion = 0;
    request_id request;
    std::string issuedBy; ///< operator

    template<class archive>
    void serialize(archive &ar)
    {
        ar(key, value, expectedVersion, request, issuedBy);
    }
};

/// Makes `holder` the decider of a domain, or renews its outage lease when the epoch is unchanged.
struct decider_grant
{
    domain_id domain;
    process_id holder;
    incarnation_number incarnation = 0;
    epoch_number epoch = 0;
    absl::Time outageLeaseUntil = absl::InfinitePast(); ///< InfinitePast: no outage lease
    absl::Time issuedAt;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(domain, holder, incarnation, epoch, outageLeaseUntil, issuedAt);
    }
};

/// Releases the grant and the outage lease of `holder`.
struct decider_release
{
    domain_id domain;
    process_id holder;
    incarnation_number incarnation = 0;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(domain, holder, incarnation);
    }
};

/// An agent announces its endpoint.
struct endpoint_announced
{
    endpoint announced;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(announced);
    }
};

/// The endpoint of an agent incarnation is removed.
struct endpoint_removed
{
    process_id agent;
    incarnation_number incarnation = 0;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(agent, incarnation);
    }
};

/// Largest size of snapshot_part::bytes.
constexpr std::size_t MaxSnapshotPartBytes = 64 * 1024;

/// Part of an encoded cluster_state.
struct snapshot_part
{
    record_id snapshot;      ///< identifies the snapshot; equal in all its parts
    journal_offset asOf = 0; ///< last offset that the snapshot contains
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string bytes;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(snapshot, asOf, index, count, bytes);
    }
};

using record_body
    = std::variant<job_submitted, job_command, job_placed, outage_placed, gang_started,
                   attempt_ended, request_bound, config_changed, decider_grant, decider_release,
                   endpoint_announced, endpoint_removed, snapshot_part>;

/// One record with its identifier and the time at which its author wrote it.
struct journal_record
{
    record_id id;
    absl::Time writtenAt;
    record_body body;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(id, writtenAt, body);
    }
};

} // namespace hyssoppond::journal
