/// @file Decides which units of batch jobs start on which workers, and which runs are stopped.
#pragma once

#include "hyssoppond/batch/batch_state_base.h"
#include "hyssoppond/batch/item_time_model_base.h"

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hyssoppond::batch {

struct scheduler_options
{
    /// Slowdown of a run across racks or far from its data, as a factor; set by the platform.
    double remoteFactor = 3.0;
    /// Time from the submission within which guaranteed work has to start; set by the platform.
    absl::Duration reclaimWithin = absl::Milliseconds(2'900);
    /// Longest time that the stop of a run takes; set by the platform.
    absl::Duration stopTime = absl::Milliseconds(900);
    /// Time between two checkpoints of a run that saves its progress; set by the platform. Zero:
    /// not known, a stop loses no work since the newest one.
    absl::Duration checkpointInterval = absl::ZeroDuration();
    /// Quarantine of a worker after a failed item; doubles with further failures.
    absl::Duration failureQuarantine = absl::Seconds(4);
    /// Quarantine of a worker after it refused an item.
    absl::Duration refusalQuarantine = absl::Seconds(1);
};

/// Inputs of one plan.
struct plan_input
{
    const batch_state *state = nullptr;
    const site_config *config = nullptr;
    std::set<process_id> silent; ///< agents without recent heartbeats; they get no new work
    std::set<std::string> evacuatedZones; ///< zones whose workers get no new work
    absl::Time now;                       ///< steady clock
    unix_ms nowMs = 0;                    ///< time of day
};

/// A worker and its available capacity, while a plan is made.
struct worker_availability
{
    process_id agent;
    const worker_description *description = nullptr;
    std::size_t rack = 0; ///< index of its rack among those of the plan
    resources free;       ///< neither used by a run nor reserved by the plan; may be negative
    resources releasing;  ///< used by runs that are being stopped
    bool quarantined = false;
    bool silent = false; ///< its agent sends no heartbeats
    bool evicted = false;
    bool evacuated = false; ///< its zone is evacuated
    double slowness = 1.0;  ///< run times as a multiple of those on a worker of mean speed
    /// Active runs with members here, as indexes among those of the plan, and the number of these
    /// members.
    std::vector<std::pair<std::size_t, std::uint32_t>> runs;
};

/// A decision with the reason and the inputs that the log gives for it.
struct plan_decision
{
    batch_record record;
    std::string why;
};

/// What the order of waiting units expects of a unit when not all work can end in time.
enum class start_class : std::uint8_t {
    InTime,   ///< it ends in time, or there is no shortage
    Late,     ///< put off, as others end in time only without it; it ends late
    Hopeless, ///< put off until it is of no use any more, unless capacity becomes free
};

inline constexpr name_table<start_class, 3> StartClassNames {{"InTime", "Late", "Hopeless"}};

/// A unit that can start now.
struct waiting_unit
{
    unit_id id;
    const job_state *job = nullptr;
    const batch_step *step = nullptr;
    const unit_state *state = nullptr;
    const queue_policy *queue = nullptr;
    double lateness = 0; ///< 0: in time; 1: late; 2: too late to be of use
    /// Latest start to end within the objective or, if late, within three times the objective.
    unix_ms latestStartMs = 0;
    std::uint32_t members = 1;
    std::int64_t expectedMs = 0; ///< run time on a worker of mean speed near the data
    /// Slowest worker on which the unit still ends in time or, if late, before it is of no use.
    double maxSlowness = 1.0;
    bool reclaimDue = false; ///< its guarantee is about to be missed unless runs stop now
    bool guaranteed = false; ///< urgent, and its team's guarantee covers it
    /// Latest start to end within three times the objective.
    unix_ms lastStartMs = 0;
    start_class startClass = start_class::InTime;
    double serveCost = 0; ///< orders units that end too late, see due_work::cost

    /// Urgent units go first, except late ones without a guarantee: these are worth less than other
    /// work that is in time.
    bool goesFirst() const { return queue->priority == 0 && (lateness == 0 || guaranteed); }
};

/// A worker that gets no work for a time, because a run failed there or was refused.
struct worker_quarantine
{
    absl::Time until;
    std::uint32_t failures = 0; ///< consecutive failed runs; 0 after a refusal
};

/// Makes the plans. Between plans it keeps only learned run times, quarantines and claims.
class batch_scheduler
{
public:
    explicit batch_scheduler(scheduler_options options)
        : m_options(options)
    { }

    /// Learns from the run time of an item or gang that has ended.
    void learn(const ended_member &ended, const batch_state &state);
    /// Learns from the progress of a run that goes on. Its end replaces that later.
    void learnProgress(const run_progress &progress, const batch_state &state);
    /// Drops the learned run times before the journal is replayed, which teaches them again.
    void forgetRunTimes();
    /// Learns from the newest runs that ended in the replay, in the order of the records. The racks
    /// of their workers are known only then, as an announcement is stored behind earlier ends.
    void learnReplayed(const batch_state &state);
    /// At most `limit` workers whose speed changed notably and was not taken yet, for the log.
    std::vector<std::pair<process_id, speed_estimate>> takeChangedSpeeds(std::size_t limit);
    /// Learned run times and speeds.
    const item_time_model &times() const { return m_times; }
    /// Sets or ends the quarantine of a worker according to the end of a run on it. Returns the
    /// quarantine if that end has set it.
    std::optional<worker_quarantine> observe(const ended_member &ended, const batch_state &state,
                                             absl::Time now);
    /// Decisions that are due, in the order in which they are to be recorded.
    std::vector<plan_decision> plan(const plan_input &input);
    /// Earliest time at which a plan could change without a new record.
    absl::Time nextDeadline(const plan_input &input) const;

private:
    struct quarantine_entry
    {
        unix_ms workerStartMs = 0; ///< incarnation of the worker that it is for
        absl::Time until = absl::InfinitePast();
        std::uint32_t failures = 0; ///< consecutive failed runs
        /// A later failure counts as the first one: the worker has been sound in between.
        absl::Time forgetFailuresAt = absl::InfiniteFuture();
    };

    /// A run whose time is known: of an item, or of a gang as a whole.
    struct learnable_run
    {
        unit_id unit;
        std::int64_t runTimeMs = 0;
        std::vector<process_id> agents;
    };

    void learnRun(const learnable_run &run, const batch_state &state, bool isProgress = false);

    friend struct plan_maker;

    scheduler_options m_options;
    std::map<process_id, quarantine_entry> m_quarantines;
    item_time_model m_times;
    std::set<process_id> m_changedSpeeds;
    bool m_isReplaying = false;
    std::deque<learnable_run> m_replayedRuns; ///< of the present replay, not learned yet
    /// Workers that are being cleared for an urgent unit, one entry for each member.
    std::map<unit_id, std::vector<process_id>> m_claims;
    /// Time of the order of units that were started lately on capacity which stops freed.
    std::map<unit_id, unix_ms> m_startedByStops;
};

/// Expected time of the longest chain of dependent steps among those from `firstStep` on, in ms.
std::int64_t longestChainMs(const batch_job &job, std::uint32_t firstStep,
                            const item_time_model &times);

} // namespace hyssoppond::batch
