/// @file Parses the JSON values of the configuration keys.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/world/contract_type.h"

#include <string>
#include <variant>

namespace hyssoppond {

/// Value of a key drain/<endpoint>. The endpoint gets no new work while the key exists.
struct endpoint_drain
{
    process_id endpoint;
};

/// Content of a key and its value. For a removed key only the ids that the key names are set.
using config_value = std::variant<team, contract, endpoint_drain>;

/// Parses a key and its value; an empty value means that the key is removed. Error:
/// InvalidArgument, with the allowed keys, fields and ranges in its message.
result<config_value> parseConfig(const std::string &key, const std::string &value);

} // namespace hyssoppond
