/// @file Time and randomness as hooks, so that decisions can run in virtual time with a fixed seed.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>

namespace hyssoppond {

/// Clock and random source of a state machine. Apart from these it depends only on its messages.
struct environment
{
    std::function<absl::Time()> now;
    std::function<std::uint64_t()> random; ///< uniform over all 64-bit values
};

} // namespace hyssoppond
