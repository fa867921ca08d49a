/// @file cereal hooks for absl::Time, carried as microseconds since the epoch.
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

/// Hook of cereal.
template<class archive>
void load_minimal(const archive &, Time &time, const std::int64_t &micros)
{
    if (micros == INT64_MAX)
        time = InfiniteFuture();
    else if (micros == INT64_MIN)
        time = InfinitePast();
    else
        time = FromUnixMicros(micros);
}

} // namespace absl
