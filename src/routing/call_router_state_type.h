/// @file Private state of a call_router.
#pragma once

#include "hyssoppond/routing/call_router_base.h"
#include "hyssoppond/routing/call_token_func.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace hyssoppond {

/// Calls that may wait for a retry at the same time; beyond it the caller is told at once.
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
    call_submission what;
    call_done done;
    phase at = phase::Queued;
    std::optional<call_binding> binding; ///< of a call that is not repeatable
    std::vector<sent_attempt> attempts;  ///< the last one is the present one
    process_id slotOf;                   ///< agent on which this call counts as in flight
    absl::Time askAt;                    ///< next query about the present attempt
    std::uint32_t unanswered = 0;        ///< queries since the agent last answered
    std::uint32_t backoffs = 0;
    std::uint32_t dryBackoffs = 0; ///< that ended without a saved retry
    std::uint32_t failures = 0;    ///< attempts that the runner failed
    absl::Time retryAt;            ///< end of the backoff
    reason lastReason = reason::None;
    absl::Time timer = absl::InfiniteFuture();

    queue_flow flow() const { return {what.id.team, what.caller, what.level}; }
    sent_attempt &present() { return attempts.back(); }
};

/// A request for a token.
struct call_router::pending_reservation
{
    call_id id;
    process_id agent;
    absl::Time giveUpAt;
    call_done done;
};

} // namespace hyssoppond
