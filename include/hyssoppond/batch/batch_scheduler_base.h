/// @file Decides which units of batch jobs start where, and what is stopped for them.
#pragma once

#include "hyssoppond/batch/batch_state_base.h"
#include "hyssoppond/batch/item_time_model_base.h"

#include <absl/time/time.h>

#include <map>
#include <set>
#include <vector>

namespace hyssoppond::batch {

struct scheduler_options
{
    double remoteFactor = 3.0; ///< slowdown across racks or far from the data; of the platform
    absl::Duration reclaimWithin = absl::Milliseconds(2'900); ///< guaranteed work begins; platform
    absl::Duration stopTime = absl::Milliseconds(900);   ///< longest stop of a run; of the platform
    absl::Duration failureQuarantine = absl::Seconds(4); ///< a worker rests after a failed item
    absl::Duration refusalQuarantine = absl::Seconds(1); ///< and after it refused one
};

/// What a decision is based on.
struct plan_input
{
    const batch_state *state = nullptr;
    const site_config *config = nullptr;
    std::set<process_id> silent; ///< agents that may be gone
    absl::Time now;              ///< steady clock
    unix_ms nowMs = 0;           ///< time of day
};

/// A worker with its room, while a plan is made.
struct worker_availability
{
    process_id agent;
    const worker_description *description = nullptr;
    resources free;      ///< not held by any run
    resources releasing; ///< held by runs that are being stopped
    bool quarantined = false;
};

/// A decision with what it is based on, for logs.
struct plan_decision
{
    batch_record record;
    std::string why;
};

/// A unit that can start now.
struct waiting_unit
{
    unit_id id;
    const job_state *job = nullptr;
    const batch_step *step = nullptr;
    const unit_state *state = nullptr;
    const queue_policy *queue = nullptr;
    double lateness = 0;       ///< 0 in time, 1 late, 2 past any use
    unix_ms latestStartMs = 0; ///< to end within the objective
    std::uint32_t members = 1;
    std::int64_t expectedMs = 0; ///< run time on a sound worker near the data
    bool guaranteed = false;     ///< its team's guarantee covers it
};

/// Makes decisions; what it learns of workers is its only state.
class batch_scheduler
{
public:
    explicit batch_scheduler(scheduler_options options)
        : m_options(options)
    { }

    /// Learns from the run time of an item that has ended.
    void learn(const ended_member &ended, const batch_state &state);
    /// The journal is about to be read from its newest records again.
    void forgetRunTimes() { m_times = {}; }
    /// Notes how runs end on a worker.
    void observe(const ended_member &ended, const batch_state &state, absl::Time now);
    /// Decisions that are due, in the order in which they are to be recorded.
    std::vector<plan_decision> plan(const plan_input &input);
    /// Earliest time at which a plan could change without a new record.
    absl::Time nextDeadline(const plan_input &input) const;

private:
    struct quarantine_entry
    {
        absl::Time until = absl::InfinitePast();
        std::uint32_t failures = 0; ///< in a row
    };

    friend struct plan_maker;

    scheduler_options m_options;
    std::map<process_id, quarantine_entry> m_quarantines;
    item_time_model m_times;
    /// Workers that are being cleared for an urgent unit, one for each member.
    std::map<unit_id, std::vector<process_id>> m_claims;
};

/// Longest chain of expected times over the steps from `from` on, in ms.
std::int64_t chainMs(const batch_job &job, std::uint32_t from, const item_time_model &times);

} // namespace hyssoppond::batch
