/// @file Private state of a call_router.
#pragma once

#include "hyssoppond/routing/call_router_base.h"
#include "hyssoppond/routing/call_token_func.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace hyssoppond {

/// Number of calls that an entry holds at the same time, those that wait for a retry included.
/// Further calls are refused as Overloaded at once.
constexpr std::size_t MaxPendingCalls = 20000;

/// A call between submit() and its answer.
struct call_router::pending_call
{
    enum class phase : std::uint8_t { Queued, Binding, Sent, Backoff };
    enum class attempt_state : std::uint8_t { Open, NotRun, Failed, Lost };
    struct sent_attempt
    {
        std::uint64_t number = 0;
        process_id agent;
        incarnation_number incarnation = 0;
        absl::Time sentAt;
        attempt_state state = attempt_state::Open;
    };

    call_number number = 0;
    call_submission submission;
    call_done done;
    phase currentPhase = phase::Queued;
    std::optional<call_binding> binding; ///< of a call that is not repeatable
    std::vector<sent_attempt> attempts;  ///< the last one is the current attempt
    process_id slotAgent;                ///< agent on which this call counts as in flight
    absl::Time nextQueryAt;              ///< time of the next query about the current attempt
    std::uint32_t unanswered = 0;        ///< number of queries since the agent last answered
    std::uint32_t backoffs = 0;
    std::uint32_t backoffsWithoutBudget = 0;   ///< backoffs that ended with the retry budget empty
    std::uint32_t failures = 0;                ///< attempts that the runner failed
    absl::Time retryAt;                        ///< end of the backoff
    reason lastReason = reason::None;          ///< of the latest backoff
    absl::Time timer = absl::InfiniteFuture(); ///< key of the call in m_timers

    queue_flow flow() const { return {submission.id.team, submission.caller, submission.level}; }
    sent_attempt &currentAttempt() { return attempts.back(); }
};

/// A request for a token.
struct call_router::pending_reservation
{
    call_id id;
    process_id agent;
    absl::Time timeoutAt; ///< the reservation fails at this time
    call_done done;
};

} // namespace hyssoppond
