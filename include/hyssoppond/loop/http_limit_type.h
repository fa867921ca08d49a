/// @file Limits of an HTTP server whose effect on clients is counted and logged.
#pragma once

#include "hyssoppond/base/name_table_type.h"

#include <cstdint>

namespace hyssoppond {

enum class http_limit : std::uint8_t {
    BodyTooLarge, ///< answered with 413, or closed
    Budget,       ///< answered with 503, or closed within a body of unknown length
    Connections,  ///< a new connection was closed at once
    Stalled,      ///< a connection without progress was closed for another
};

/// Names of the limits, as in counters and logs.
inline constexpr name_table<http_limit, 4> HttpLimitNames {
    {"body_too_large", "budget", "connections", "stalled"}};

} // namespace hyssoppond
