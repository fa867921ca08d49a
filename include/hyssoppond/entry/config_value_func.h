/// @file Values of the configuration keys, as JSON objects.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/world/contract_type.h"

#include <string>
#include <variant>

namespace hyssoppond {

/// Value of a key drain/<endpoint>: the endpoint gets no new work.
struct endpoint_drain
{
    process_id endpoint;
};

/// What a key and its value mean. A removed key has the ids of its key and no other content.
using config_value = std::variant<team, contract, endpoint_drain>;

/// Reads a key and its value; an empty value means that the key is removed. Errors:
/// InvalidArgument with the allowed keys, fields and ranges.
result<config_value> parseConfig(const std::string &key, const std::string &value);

} // namespace hyssoppond
