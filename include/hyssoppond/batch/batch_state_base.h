/// @file State of all batch jobs, reduced from the journal in the same way by every process.
#pragma once

#include "hyssoppond/batch/batch_record_type.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoppond::batch {

/// One item of a run.
struct member_state
{
    run_member member;
    std::optional<run_end> end;
};

/// A run that has not ended on all its members.
struct run_state
{
    std::uint32_t run = 0;
    std::vector<member_state> members;
    bool stopping = false;
    unix_ms orderedMs = 0;
};

/// An item or a gang.
struct unit_state
{
    bool done = false;
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0; ///< runs that ended as Failed
    std::optional<run_state> active;
    std::string checkpoint;        ///< newest that a run left behind
    std::set<process_id> failedOn; ///< agents on which a run failed
    unix_ms lastOrderedMs = 0;
};

struct step_state
{
    std::vector<unit_state> units;
    std::uint32_t left = 0; ///< units that are not done
};

struct occurrence_state
{
    std::vector<step_state> steps;
    std::uint32_t left = 0; ///< steps that are not done
};

/// A job and its progress.
struct job_state
{
    batch_job job;
    bool cancelled = false;
    bool failed = false;
    bool started = false;   ///< some item was ordered to run
    std::uint32_t left = 0; ///< occurrences that are not done
    std::vector<occurrence_state> occurrences;
    std::uint32_t activeRuns = 0;
    std::set<unit_id> activeUnits;

    job_status status() const;
    bool isOver() const { return cancelled || failed || left == 0; }
};

/// A run's member that ended, for observers of the reduction.
struct ended_member
{
    unit_id unit;
    std::uint32_t run = 0;
    run_member member;
    run_end how = run_end::Lost;
    std::int64_t ranMs = 0; ///< as in run_ended
};

/// Reduction of the journal. Records are applied in the order of their offsets.
class batch_state
{
public:
    /// Forgets everything, before the newest record of each key is applied again.
    void clear();
    /// Applies one record.
    void apply(const batch_record &record, std::uint64_t offset);

    const std::map<job_id, job_state> &jobs() const { return m_jobs; }
    const job_state *find(const job_id &id) const;
    const std::map<process_id, agent_announced> &agents() const { return m_agents; }
    bool isEvicted(const process_id &agent) const { return m_evicted.contains(agent); }
    const std::set<process_id> &evicted() const { return m_evicted; }
    const decider_granted &grant() const { return m_grant; }
    const std::map<process_id, process_started> &processes() const { return m_processes; }
    /// Jobs that are completed, failed or cancelled so far; changes whenever one more is.
    std::uint64_t jobsOver() const { return m_jobsOver; }
    /// Active runs with a member on `agent`.
    std::vector<unit_id> runsOn(const process_id &agent) const;
    const unit_state *findUnit(const unit_id &unit) const;
    /// Accepted jobs of `queue`, due at once, of which no item was ordered.
    std::size_t pending(const std::string &queue) const;

    /// Called for each member that ends.
    std::function<void(const ended_member &)> onMemberEnded;

private:
    void on(const job_submitted &r);
    void on(const job_cancelled &r);
    void on(const job_failed &r);
    void on(const run_ordered &r);
    void on(const run_stopping &r);
    void on(const run_ended &r);
    void on(const process_started &r);
    void on(const agent_announced &r);
    void on(const agent_evicted &r);
    void on(const decider_granted &r);

    unit_state *unitOf(const unit_id &unit);
    void endMember(const unit_id &unit, unit_state *state, member_state *member, run_end how,
                   const std::string &checkpoint, std::int64_t ranMs = 0);
    void closeRun(const unit_id &unit, unit_state *state);

    std::map<job_id, job_state> m_jobs;
    std::map<process_id, agent_announced> m_agents;
    std::set<process_id> m_evicted;
    std::map<process_id, std::set<unit_id>> m_runsOn;
    decider_granted m_grant;
    std::map<process_id, process_started> m_processes;
    std::uint64_t m_jobsOver = 0;
};

/// Units of a step: its items, or one for a gang.
std::uint32_t unitsOf(const batch_step &step);

} // namespace hyssoppond::batch
