/// @file Private state of a call_executor.
#pragma once

#include "hyssoppond/routing/call_executor_base.h"
#include "hyssoppond/routing/call_token_func.h"

#include "call_dedup_table_base.h"

#include <algorithm>
#include <deque>

namespace hyssoppond {

/// Number of attempts that can wait for the outcome of one call. Further ones obtain the outcome by
/// call_query.
constexpr std::size_t MaxWaiters = 16;

/// An admitted call that has not started running.
struct call_executor::admitted_call
{
    dedup_key key;
    caller_id caller;
    bool waited = false; ///< for a slot of the runner
    runner_call runnerCall;
};

/// Calls that occupy a slot of the runner or wait for one.
struct call_executor::admitted_calls
{
    struct running_call
    {
        std::uint64_t run = 0; ///< number of the run; distinguishes the completions of two runs
        bool waited = false;
        absl::Time timeoutAt; ///< the outcome counts as unknown from this time on
    };
    std::map<dedup_key, running_call> running;
    std::deque<admitted_call> waiting; ///< oldest first
};

} // namespace hyssoppond
