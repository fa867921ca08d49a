/// @file State of all batch jobs. Every process gets the same state by applying the journal.
#pragma once

#include "hyssoppond/batch/batch_record_type.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoppond::batch {

/// One item of a run and how it ended, if it has.
struct member_state
{
    run_member member;
    std::optional<run_end> end; ///< empty while it runs
};

/// A run that has not ended on all its members.
struct run_state
{
    std::uint32_t run = 0;
    std::vector<member_state> members;
    bool stopping = false;
    unix_ms orderedMs = 0;
    std::uint64_t orderOffset = 0; ///< of the record that ordered it
};

/// The newest run of a unit that failed on an agent.
struct failed_run
{
    unix_ms workerStartMs = 0; ///< incarnation of the agent's worker that ran it
    /// Time at which it failed, or an earlier one if its run time is not known.
    unix_ms failedMs = 0;
};

/// An item, or a gang as a whole, with its runs.
struct unit_state
{
    bool done = false;
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0; ///< runs that ended as Failed
    std::optional<run_state> active;
    std::string checkpoint; ///< newest checkpoint that a run reported
    /// Agents on which a run failed in the minute before the last failure.
    std::map<process_id, failed_run> failedOn;
    unix_ms lastOrderedMs = 0;
};

struct step_state
{
    std::vector<unit_state> units;
    std::uint32_t unitsLeft = 0; ///< units that are not done
};

struct occurrence_state
{
    std::vector<step_state> steps;
    std::uint32_t stepsLeft = 0; ///< steps that are not done
};

/// A job and its progress.
struct job_state
{
    batch_job job;
    /// Policy of its queue at the acceptance; null if an earlier version recorded the job.
    std::shared_ptr<const queue_policy> acceptedPolicy;
    bool cancelled = false;
    /// It was cancelled before it was recorded, and no record says so that outlives the early
    /// cancellation.
    bool needsCancellation = false;
    bool failed = false;
    bool begun = false;                ///< an item has started on a worker
    std::uint32_t occurrencesLeft = 0; ///< occurrences that are not done
    std::vector<occurrence_state> occurrences;
    std::uint32_t activeRuns = 0;
    std::set<unit_id> activeUnits;

    job_status status() const;
    bool isOver() const { return cancelled || failed || occurrencesLeft == 0; }
};

/// Record from which the state concludes that a member of a run has ended.
enum class end_evidence : std::uint8_t {
    AgentRecord,       ///< its agent recorded the end
    DeciderRecord,     ///< the decider declared it lost after an eviction
    WorkerIncarnation, ///< its agent announced another incarnation of the worker, or none
    LaterOrder,        ///< the unit was ordered again
};

inline constexpr name_table<end_evidence, 4> EndEvidenceNames {
    {"AgentRecord", "DeciderRecord", "WorkerIncarnation", "LaterOrder"}};

/// A member of a run that ended, as passed to batch_state::onMemberEnded.
struct ended_member
{
    unit_id unit;
    std::uint32_t run = 0;
    run_member member;
    run_end how = run_end::Lost;
    std::int64_t runTimeMs = 0; ///< see run_ended::runTimeMs
    end_evidence evidence = end_evidence::AgentRecord;
    std::uint64_t offset = 0; ///< of the record from which the end was concluded
};

/// State after applying the journal. Records have to be applied in the order of their offsets.
class batch_state
{
public:
    /// Drops the state before a reload, which applies the newest record of each key again.
    void clear();
    /// Applies one record. Records that repeat an earlier one, or that are for an
    /// unknown job or a run that is not active, have no effect.
    void apply(const batch_record &record, std::uint64_t offset);

    const std::map<job_id, job_state> &jobs() const { return m_jobs; }
    const job_state *find(const job_id &id) const;
    /// Applies that the store dropped the newest record of `key`.
    void applyDrop(const std::string &key);
    /// Early cancellations of a team: when each job was cancelled, by the clock of the entry.
    using early_cancellations = std::map<job_id, unix_ms>;
    /// By team.
    const std::map<team_id, early_cancellations> &earlyCancellations() const
    {
        return m_earlyCancellations;
    }
    /// Whether a submission of the job for `team` is void, as it was cancelled before.
    bool isCancelledEarly(const job_id &id, const team_id &team) const;
    const std::map<process_id, agent_announced> &agents() const { return m_agents; }
    bool isEvicted(const process_id &agent) const { return m_evicted.contains(agent); }
    const std::set<process_id> &evicted() const { return m_evicted; }
    /// Whether the newest process of `agent` has recorded that it ends.
    bool isEnding(const process_id &agent) const { return m_ending.contains(agent); }
    /// Newest record about each zone that was evacuated at some time.
    const std::map<std::string, zone_evacuated> &evacuations() const { return m_evacuations; }
    const decider_granted &grant() const { return m_grant; }
    const std::map<process_id, process_started> &processes() const { return m_processes; }
    /// Counts the jobs that were completed, failed or cancelled. clear() does not reset it, so that
    /// a reload counts them again; use it only to notice that a further job is over.
    std::uint64_t jobsOver() const { return m_jobsOver; }
    /// Active runs with a member on `agent`.
    std::vector<unit_id> runsOn(const process_id &agent) const;
    /// Null if there is no such job or unit; find() likewise.
    const unit_state *findUnit(const unit_id &unit) const;
    /// Number of open jobs of `queue` that are not scheduled for later and have not begun.
    std::size_t pendingJobs(const std::string &queue) const;

    /// Called for each member that ends.
    std::function<void(const ended_member &)> onMemberEnded;

private:
    void cancel(job_state *job);
    void applyRecord(const job_submitted &record);
    void applyRecord(const job_cancelled &record);
    void applyRecord(const job_failed &record);
    void applyRecord(const run_ordered &record);
    void applyRecord(const run_stopping &record);
    void applyRecord(const run_ended &record);
    void applyRecord(const process_started &record);
    void applyRecord(const agent_announced &record);
    void applyRecord(const agent_evicted &record);
    void applyRecord(const decider_granted &record);
    void applyRecord(const process_ending &record);
    void applyRecord(const zone_evacuated &record);
    void applyRecord(const job_begun &record);

    /// A shared copy of `policy`. Most jobs of a queue were accepted under the same one.
    std::shared_ptr<const queue_policy> sharedPolicy(const queue_policy &policy);
    unit_state *mutableUnit(const unit_id &unit);
    void endMember(const unit_id &unit, unit_state *state, member_state *member, run_end how,
                   const std::string &checkpoint, end_evidence evidence,
                   std::int64_t runTimeMs = 0);
    void closeRun(const unit_id &unit, unit_state *state);

    std::map<job_id, job_state> m_jobs;
    /// Newest policy of each queue under which a job was accepted, by the name of the queue.
    std::map<std::string, std::shared_ptr<const queue_policy>> m_policies;
    std::map<team_id, early_cancellations> m_earlyCancellations;
    std::map<process_id, agent_announced> m_agents;
    std::set<process_id> m_evicted;
    std::set<process_id> m_ending;
    std::map<std::string, zone_evacuated> m_evacuations;
    std::map<process_id, std::set<unit_id>> m_runsOn;
    decider_granted m_grant;
    std::map<process_id, process_started> m_processes;
    std::uint64_t m_jobsOver = 0;
    std::uint64_t m_offset = 0; ///< of the record that is being applied
};

/// Number of units of a step: one for each item, or one for a gang.
std::uint32_t unitCount(const batch_step &step);

} // namespace hyssoppond::batch
