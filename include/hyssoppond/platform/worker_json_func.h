/// @file JSON bodies of the worker protocol, shared by the adapter and the stand-in.
#pragma once

#include "hyssoppond/platform/worker_port.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace hyssoppond {

nlohmann::json toJson(const task_id &id);
nlohmann::json toJson(const task_status &status);
nlohmann::json toJson(const task_start &order);
nlohmann::json toJson(const error &problem);

/// Parses a body. Errors: MalformedMessage; never throws.
result<nlohmann::json> parseJson(std::string_view text);
/// Each of these reads one value. Errors: MalformedMessage; they never throw.
result<task_id> taskIdFrom(const nlohmann::json &value);
result<task_status> taskStatusFrom(const nlohmann::json &value);
result<task_start> taskStartFrom(const nlohmann::json &value);
/// Error in a worker's answer; MalformedMessage with execution::Unknown if the body names none.
error errorFrom(const nlohmann::json &value);

} // namespace hyssoppond
