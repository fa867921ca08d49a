/// @file cereal hooks for absl::Time, stored as microseconds since the epoch.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace absl {

/// Hook of cereal. The infinite times map to the extremes of the 64-bit range.
template<class archive>
std::int64_t save_minimal(const archive &, const Time &time)
{
    return ToUnixMicros(time);
}

/// Hook of cereal. The extremes of the 64-bit range become the infinite times.
template<class archive>
void load_minimal(const archive &, Time &time, const std::int64_t &microseconds)
{
    if (microseconds == INT64_MAX)
        time = InfiniteFuture();
    else if (microseconds == INT64_MIN)
        time = InfinitePast();
    else
        time = FromUnixMicros(microseconds);
}

} // namespace absl
