/// @file Records of the batch journal. Each has a key, and the store keeps the newest one of each
/// key.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/batch/batch_type.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hyssoppond::batch {

/// Topic of the journal.
inline constexpr const char *JournalTopic = "keyed.journal";

/// Topic of the agents' heartbeats.
inline constexpr const char *HeartbeatTopic = "beats";

/// An entry accepted a job. Further records with the same job id have no effect.
struct job_submitted
{
    batch_job job;
    /// Policy of its queue at the acceptance, which applies once the queue is removed.
    std::optional<queue_policy> policy {};
    template<class archive>
    void save(archive &ar) const
    {
        ar(job, policy);
    }
    /// Records of earlier versions end before policy.
    template<class archive>
    void load(archive &ar)
    {
        ar(job);
        if (ar.remaining() != 0)
            ar(policy);
    }
};

/// A caller cancelled a job whose submission was not recorded, although it may be written later: by
/// an entry that waits for its outcome, by the store, or as a late repetition.
struct early_cancellation
{
    team_id team; ///< of the caller, who cancels only jobs of this team and of none; empty: no key
    unix_ms cancelledMs = 0;
    template<class archive>
    void serialize(archive &ar)
    {
        ar(team, cancelledMs);
    }
};

/// A caller cancelled a job.
struct job_cancelled
{
    job_id job;
    std::optional<early_cancellation> early {}; ///< empty: the job was recorded
    template<class archive>
    void save(archive &ar) const
    {
        ar(job);
        if (early)
            ar(*early);
    }
    /// Earlier versions refuse records with `early`; theirs end before it.
    template<class archive>
    void load(archive &ar)
    {
        ar(job);
        if (ar.remaining() != 0)
            ar(early.emplace());
    }
};

/// The decider failed a job, because an item used all its attempts.
struct job_failed
{
    job_id job;
    template<class archive>
    void serialize(archive &ar)
    {
        ar(job);
    }
};

/// One item of a run and the worker that it is to run on.
struct run_member
{
    std::uint32_t index = 0; ///< of the item in its step
    process_id agent;
    unix_ms workerStartMs = 0; ///< incarnation of the agent's worker that is to run it
    template<class archive>
    void serialize(archive &ar)
    {
        ar(index, agent, workerStartMs);
    }
};

/// The decider orders a unit to run.
struct run_ordered
{
    unit_id unit;
    std::uint32_t run = 0; ///< counts the runs of the unit from 1
    bool gang = false;
    std::vector<run_member> members;
    std::string payload;
    std::string checkpoint;
    unix_ms orderedMs = 0;
    template<class archive>
    void serialize(archive &ar)
    {
        ar(unit, run, gang, members, payload, checkpoint, orderedMs);
    }
};

/// The decider orders all members of a run to stop.
struct run_stopping
{
    unit_id unit;
    std::uint32_t run = 0;
    template<class archive>
    void serialize(archive &ar)
    {
        ar(unit, run);
    }
};

/// The run of one item has ended. Recorded by its agent, or by the decider if the agent is gone.
struct run_ended
{
    unit_id unit;
    std::uint32_t run = 0;
    std::uint32_t member = 0; ///< index of the item in its step
    process_id agent;         ///< agent that ran it
    run_end how = run_end::Lost;
    std::string checkpoint;
    bool byDecider = false;
    std::int64_t runTimeMs = 0; ///< run time as seen by the agent; 0 if unknown
    template<class archive>
    void save(archive &ar) const
    {
        ar(unit, run, member, agent, how, checkpoint, byDecider, runTimeMs);
    }
    /// Records of earlier versions end before runTimeMs.
    template<class archive>
    void load(archive &ar)
    {
        ar(unit, run, member, agent, how, checkpoint, byDecider);
        if (ar.remaining() != 0)
            ar(runTimeMs);
    }
};

/// An agent or an entry started. The offset of an agent's record is the base of its fencing tokens.
struct process_started
{
    process_id process;
    incarnation_number incarnation = 0;
    bool isEntry = false;
    std::string wakeAddress; ///< HOST:PORT for wake-up messages; empty if it takes none
    template<class archive>
    void serialize(archive &ar)
    {
        ar(process, incarnation, isEntry, wakeAddress);
    }
};

/// Value of agent_announced::presentSince of the first announcement of an incarnation in a row.
inline constexpr std::uint64_t PresentSinceThisRecord = std::numeric_limits<std::uint64_t>::max();

/// A worker has started, restarted, started to drain or left. Runs that were ordered for another
/// incarnation of the worker are lost. So are those ordered before `presentSince`, as an earlier
/// announcement said otherwise; the store has dropped it.
struct agent_announced
{
    process_id agent;
    bool hasWorker = false; ///< false: the worker has left or is not known yet
    worker_description worker;
    /// Offset of the first of the announcements of this incarnation in a row; 0 if it is not known.
    std::uint64_t presentSince = 0;
    std::uint64_t heartbeatNumber = 0; ///< of the newest heartbeat of the worker; 0 if not known
    template<class archive>
    void save(archive &ar) const
    {
        ar(agent, hasWorker, worker, presentSince, heartbeatNumber);
    }
    /// Records of earlier versions end before presentSince or heartbeatNumber.
    template<class archive>
    void load(archive &ar)
    {
        ar(agent, hasWorker, worker);
        if (ar.remaining() != 0)
            ar(presentSince);
        if (ar.remaining() != 0)
            ar(heartbeatNumber);
    }
    /// Offset before which orders for this incarnation are void, if this record has `offset`.
    std::uint64_t firstValidOrder(std::uint64_t offset) const
    {
        return presentSince == PresentSinceThisRecord ? offset : presentSince;
    }
};

/// The decider evicts a silent agent, whose runs are declared lost later, or reinstates it.
struct agent_evicted
{
    process_id agent;
    bool evicted = false; ///< false: the agent is reinstated
    /// End of the heartbeats that the decider had read when it decided; 0 if it is not known.
    std::uint64_t heartbeatsRead = 0;
    template<class archive>
    void save(archive &ar) const
    {
        ar(agent, evicted, heartbeatsRead);
    }
    /// Records of earlier versions end before heartbeatsRead.
    template<class archive>
    void load(archive &ar)
    {
        ar(agent, evicted);
        if (ar.remaining() != 0)
            ar(heartbeatsRead);
    }
};

/// An entry becomes the decider. The store fences appends of earlier epochs.
struct decider_granted
{
    process_id entry;
    epoch_number epoch = 0;
    template<class archive>
    void serialize(archive &ar)
    {
        ar(entry, epoch);
    }
};

/// A process of an agent ends in an orderly way. Its runs go on under their leases, and the next
/// process of the agent adopts them.
struct process_ending
{
    process_id process;
    incarnation_number incarnation = 0; ///< as in its process_started
    template<class archive>
    void serialize(archive &ar)
    {
        ar(process, incarnation);
    }
};

/// The operator evacuates a zone or takes that back. Recorded by the decider before any later
/// order, so that an agent which reads an order late also reads that its zone takes no work.
struct zone_evacuated
{
    std::string zone;
    bool evacuated = false;
    /// End of the operator's topic as of which this holds. A reader whose copy of the topic ends
    /// before it knows less than this record.
    std::uint64_t asOf = 0;
    template<class archive>
    void serialize(archive &ar)
    {
        ar(zone, evacuated, asOf);
    }
};

/// An item of a job has started on a worker. Recorded by its agent some time later, unless the
/// agent has read that the job has begun.
struct job_begun
{
    job_id job;
    process_id agent;
    template<class archive>
    void serialize(archive &ar)
    {
        ar(job, agent);
    }
};

using batch_record
    = std::variant<job_submitted, job_cancelled, job_failed, run_ordered, run_stopping, run_ended,
                   process_started, agent_announced, agent_evicted, decider_granted, process_ending,
                   zone_evacuated, job_begun>;

/// Key under which the store keeps `record`, at most 255 bytes.
std::string keyOf(const batch_record &record);
/// The same for an end that a process of the run's agent records. Each process has keys of its own,
/// so that no end replaces an earlier one, which was the one to take effect.
std::string keyOf(const run_ended &ended, incarnation_number agentIncarnation);

/// Job of the early cancellation that is stored under `key`; empty for other records.
std::optional<job_id> jobOfEarlyCancellation(std::string_view key);

/// Encodes a record with version and checksum.
std::string encodeRecord(const batch_record &record);
/// Errors: those of decodeChecksummed.
result<batch_record> decodeRecord(std::string_view bytes);

/// Value of agent_heartbeat::storedOffset while no heartbeat of the process was answered.
inline constexpr std::uint64_t NoHeartbeatStored = std::numeric_limits<std::uint64_t>::max();

/// Expected time of a run that goes on, by the progress that its worker lists.
struct run_progress
{
    unit_id unit;
    std::uint32_t run = 0;
    std::int64_t expectedMs = 0; ///< from the start to the end
    template<class archive>
    void serialize(archive &ar)
    {
        ar(unit, run, expectedMs);
    }
};

/// Most entries of agent_heartbeat::progress.
inline constexpr std::size_t MaxProgressEntries = 16;

/// An agent is alive. Stored in a topic apart from the journal, which only the decider reads.
struct agent_heartbeat
{
    process_id agent;
    unix_ms workerStartMs = 0; ///< incarnation of its worker
    /// Runs without progress, and for how long in ms.
    std::vector<std::pair<std::string, std::uint32_t>> stalled;
    incarnation_number sender = 0; ///< process of the agent, whose steady clock the times are of
    std::int64_t sentUs = 0;
    /// Offset of the last earlier heartbeat of the process that the store has answered.
    std::uint64_t storedOffset = NoHeartbeatStored;
    std::int64_t storedUs = 0; ///< when the store's answer to it was received
    std::vector<run_progress> progress;
    template<class archive>
    void save(archive &ar) const
    {
        ar(agent, workerStartMs, stalled, sender, sentUs, storedOffset, storedUs);
        // Left out if it is empty: deciders of earlier versions refuse heartbeats with it.
        if (!progress.empty())
            ar(progress);
    }
    /// Heartbeats of earlier versions end before sender or progress.
    template<class archive>
    void load(archive &ar)
    {
        ar(agent, workerStartMs, stalled);
        if (ar.remaining() != 0)
            ar(sender, sentUs, storedOffset, storedUs);
        if (ar.remaining() != 0)
            ar(progress);
    }
};

/// Encodes a heartbeat with version and checksum.
std::string encodeAgentHeartbeat(const agent_heartbeat &heartbeat);
/// Errors: those of decodeChecksummed.
result<agent_heartbeat> decodeAgentHeartbeat(std::string_view bytes);

} // namespace hyssoppond::batch
