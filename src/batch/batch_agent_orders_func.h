/// @file What the parts of the agent that call the worker share.
#pragma once

#include "hyssoppond/batch/batch_type.h"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <string>

namespace hyssoppond::batch {

/// Time limit for the answer to an order; the worker is on the same machine.
inline constexpr absl::Duration OrderTimeout = absl::Milliseconds(700);

/// Pause after a poll that failed, or while ends are written to the journal or unknown runs are
/// stopped.
inline constexpr absl::Duration PollRetryDelay = absl::Milliseconds(200);

/// Name of a run in the log.
inline std::string nameOf(const item_run &id)
{
    return absl::StrCat(id.unit.job.str(), ".", id.unit.occurrence, ".", id.unit.step, ".",
                        id.member, "/", id.run);
}

} // namespace hyssoppond::batch
