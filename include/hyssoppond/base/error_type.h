/// @file The typed error of every operation that can fail.
#pragma once

#include "hyssoppond/base/name_table_type.h"
#include "hyssoppond/base/reason_type.h"

#include <absl/time/time.h>
#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace hyssoppond {

/// What is known about the execution of the request that failed.
enum class execution : std::uint8_t {
    NotRun,  ///< it did not run, and nothing delayed can run it later
    Unknown, ///< it may have run or may still run
    Ran,     ///< it ran and failed
};

/// Names of the kinds of execution.
inline constexpr name_table<execution, 3> ExecutionNames {{"NotRun", "Unknown", "Ran"}};

/// Why an operation failed and what the caller can do.
struct error
{
    reason why = reason::Internal;
    std::string message; ///< names what is wrong and the remedy
    execution state = execution::NotRun;
    absl::Time retryAt = absl::InfiniteFuture(); ///< InfiniteFuture: retrying does not help
    std::uint64_t winningVersion = 0; ///< for reason::VersionConflict: the version in force
};

/// Value of an operation, or the error with which it failed.
template<class value>
using result = tl::expected<value, error>;

/// Makes the error that a function with a `result` returns on failure.
inline tl::unexpected<error> fail(reason why, std::string message,
                                  execution state = execution::NotRun,
                                  absl::Time retryAt = absl::InfiniteFuture())
{
    return tl::unexpected<error>(error {why, std::move(message), state, retryAt, 0});
}

} // namespace hyssoppond
