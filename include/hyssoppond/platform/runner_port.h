/// @file Interface to a runner of the platform.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/base/id_type.h"

#include <functional>
#include <string>

namespace hyssoppond {

/// A call as it is sent to the runner.
struct runner_call
{
    request_id request; ///< passed on for the runner's own records
    std::string payload;
    absl::Time deadline;
};

/// One runner. It keeps no record of ids: a call that is sent twice runs twice.
class runner_port
{
public:
    virtual ~runner_port() = default;

    /// Runs one call and completes with the answer. execution::NotRun in an error means that the
    /// runner certainly did not begin the call.
    virtual void call(runner_call runnerCall, std::function<void(result<std::string>)> done) = 0;
};

} // namespace hyssoppond
