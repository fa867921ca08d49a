/// @file Value types of batch jobs, their steps and items, and of the site that runs them.
#pragma once

#include "hyssoppond/base/id_type.h"
#include "hyssoppond/base/name_table_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssoppond::batch {

/// Milliseconds since 1970 by the wall clock, as on the wire and in the journal.
using unix_ms = std::int64_t;

/// Resources that one item needs, or that one worker has.
struct resources
{
    std::int64_t cpuMilli = 0; ///< thousandths of a core
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(cpuMilli, memoryMb, accelerators);
    }

    bool operator==(const resources &) const = default;
};

/// True if `need` is within `available`.
inline bool fits(const resources &available, const resources &need)
{
    return available.cpuMilli >= need.cpuMilli && available.memoryMb >= need.memoryMb
        && available.accelerators >= need.accelerators;
}

inline resources &operator+=(resources &left, const resources &right)
{
    left.cpuMilli += right.cpuMilli;
    left.memoryMb += right.memoryMb;
    left.accelerators += right.accelerators;
    return left;
}

inline resources &operator-=(resources &left, const resources &right)
{
    left.cpuMilli -= right.cpuMilli;
    left.memoryMb -= right.memoryMb;
    left.accelerators -= right.accelerators;
    return left;
}

/// Cores that one accelerator counts for in the weight of work.
inline constexpr std::int64_t CoresPerAccelerator = 8; // as in the users' rule for wasted work

/// Weight of `need` in cores.
inline double weightOf(const resources &need)
{
    return static_cast<double>(need.cpuMilli) / 1000.0
        + static_cast<double>(CoresPerAccelerator * need.accelerators);
}

/// A step: `count` items of the same shape.
struct batch_step
{
    std::uint32_t count = 0;
    resources item;
    std::uint32_t estimateMs = 0;         ///< declared run time of one item; often far off
    std::vector<std::uint32_t> dependsOn; ///< steps that must be done first
    bool gang = false;                    ///< all items run together or none runs
    bool sameRack = false;                ///< slower by the remote factor across racks
    bool checkpointed = false;            ///< saves its progress while it runs
    bool speculative = false;             ///< copies of one item may run in parallel
    bool longRunning = false;             ///< runs until cancelled and is always restarted
    bool usesIdleCpu = false;             ///< uses only processor time that others leave idle
    std::string requiredLabel;            ///< label that the worker must have; empty: any
    std::string dataRack;             ///< rack of the data; runs elsewhere are slower; empty: none
    std::uint32_t maxPerWorker = 0;   ///< items of this step on one worker; 0: no limit
    std::uint32_t maxUnavailable = 0; ///< items that may be unavailable at once

    template<class archive>
    void serialize(archive &ar)
    {
        ar(count, item, estimateMs, dependsOn, gang, sameRack, checkpointed, speculative,
           longRunning, usesIdleCpu, requiredLabel, dataRack, maxPerWorker, maxUnavailable);
    }
};

/// A job as it was submitted.
struct batch_job
{
    job_id id;
    std::string queue;   ///< name of the queue that accepted it
    team_id team;        ///< empty if the queue is public
    std::string payload; ///< opaque text handed to the workers
    std::vector<batch_step> steps;
    std::uint32_t repeats = 0;   ///< occurrences of a scheduled job; 0: one, due at once
    unix_ms firstRunMs = 0;      ///< due time of occurrence 0
    std::int64_t intervalMs = 0; ///< between the due times of two occurrences
    unix_ms submittedMs = 0;     ///< when an entry accepted it

    template<class archive>
    void serialize(archive &ar)
    {
        ar(id, queue, team, payload, steps, repeats, firstRunMs, intervalMs, submittedMs);
    }

    std::uint32_t occurrences() const { return repeats == 0 ? 1 : repeats; }
    unix_ms dueMs(std::uint32_t occurrence) const
    {
        return repeats == 0 ? submittedMs : firstRunMs + intervalMs * occurrence;
    }
};

/// Identifies a unit, the smallest thing that is started as a whole: an item, or all items of a
/// gang step.
struct unit_id
{
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0; ///< of the item; 0 for a gang

    template<class archive>
    void serialize(archive &ar)
    {
        ar(job, occurrence, step, index);
    }

    auto operator<=>(const unit_id &) const = default;
};

/// Text form, as in keys and logs: JOB.OCCURRENCE.STEP.INDEX.
std::string toString(const unit_id &unit);

/// How a run of one item ended.
enum class run_end : std::uint8_t {
    Done,
    Failed,     ///< by its own fault or the worker's
    Stopped,    ///< by order of the decider
    Lapsed,     ///< its lease expired
    Broken,     ///< another member of the gang ended
    Alone,      ///< the other members of the gang did not start in time
    NotStarted, ///< the worker refused it, so it never started
    Lost,       ///< the worker is gone or has restarted
};

inline constexpr name_table<run_end, 8> RunEndNames {
    {"Done", "Failed", "Stopped", "Lapsed", "Broken", "Alone", "NotStarted", "Lost"}};

/// True if a run that ended so had started on its worker. One that was lost may have, or not.
inline bool hadStarted(run_end how)
{
    return how != run_end::NotStarted && how != run_end::Lost;
}

/// State of a job as callers see it.
enum class job_status : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };

/// A queue that callers submit to.
struct queue_policy
{
    std::string name;
    std::string host;
    std::string urlPrefix;
    std::string service; ///< service whose workers run its items
    int priority = 0;    ///< 0 comes first and may preempt others
    std::uint32_t maxAttempts = 1;
    double stretch = 1.0;           ///< objective as a multiple of the longest chain of steps
    std::int64_t latencyGoalMs = 0; ///< constant part of the objective, added to that multiple
    bool isPublic = false;          ///< callers need no key
    bool needsAdvice = false;       ///< starts need a ticket of the advice service

    template<class archive>
    void serialize(archive &ar)
    {
        ar(name, host, urlPrefix, service, priority, maxAttempts, stretch, latencyGoalMs, isPublic,
           needsAdvice);
    }

    bool operator==(const queue_policy &) const = default;
};

/// A team with its keys and its guarantee.
struct batch_team
{
    team_id id;
    std::vector<std::string> keys;
    std::int64_t guaranteedAccelerators = 0; ///< for its urgent jobs
};

/// A service: a pool of workers.
struct batch_service
{
    std::string name;
    bool workersRefuse = true; ///< its workers refuse items that do not fit
};

/// The operator's configuration.
struct site_config
{
    std::uint64_t version = 0;
    std::vector<queue_policy> queues;
    std::vector<batch_service> services;
    std::vector<batch_team> teams;

    const queue_policy *findQueue(const std::string &name) const;
    const batch_team *findTeam(const team_id &id) const;
};

/// Description of a worker, as its agent announces it.
struct worker_description
{
    std::string worker;        ///< with `workerStartMs`, identifies one incarnation of the worker
    unix_ms workerStartMs = 0; ///< start of this incarnation
    std::string service;
    std::string zone;
    std::string kind;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    unix_ms earliestLeaveMs = 0; ///< while draining: earliest time at which it leaves; 0 if unknown

    template<class archive>
    void serialize(archive &ar)
    {
        ar(worker, workerStartMs, service, zone, kind, rack, labels, capacity, draining,
           earliestLeaveMs);
    }
    bool isSameIncarnation(const worker_description &other) const
    {
        return worker == other.worker && workerStartMs == other.workerStartMs;
    }
};

/// What a worker says about itself.
struct worker_heartbeat
{
    worker_description worker;
    std::uint64_t number = 0; ///< increases with each heartbeat of one incarnation
};

} // namespace hyssoppond::batch
