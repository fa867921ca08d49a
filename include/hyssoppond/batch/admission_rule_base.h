/// @file Refusal of jobs that cannot be served any more, at their submission.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/batch/batch_state_base.h"
#include "hyssoppond/batch/item_time_model_base.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <string>

namespace hyssoppond::batch {

struct admission_refusal
{
    reason why = reason::Overloaded;
    std::string message;
    absl::Duration retryAfter;
};

struct admission_input
{
    const batch_job *job = nullptr; ///< as it would be recorded
    const batch_state *state = nullptr;
    const site_config *config = nullptr;
    const item_time_model *times = nullptr;
    absl::Duration observedFor; ///< how long this process has known the journal
    unix_ms nowMs = 0;
    std::uint64_t random = 0; ///< spreads the callers that come back
};

/// Decides whether a submission is refused at once. A refusal where the job could have been served
/// is worse than a job that ends late, so every doubt speaks for acceptance.
class admission_rule
{
public:
    /// Notes a worker that the journal announces. Workers that have left still count for what the
    /// service can hold, as they may come back.
    void onAnnounced(const agent_announced &announced);
    /// Empty: the job is accepted.
    std::optional<admission_refusal> check(const admission_input &input) const;

private:
    /// True if the service never had workers for the step, or that cannot be told yet.
    bool isKnownImpossible(const admission_input &input, const queue_policy &queue,
                           const batch_step &step) const;

    std::map<process_id, worker_description> m_workers;
};

} // namespace hyssoppond::batch
