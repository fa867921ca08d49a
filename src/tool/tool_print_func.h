/// @file Output of the tool, as tables or JSON.
#pragma once

#include "hyssoppond/tool/tool_base.h"

#include "hyssoppond.pb.h"

#include <string>
#include <vector>

namespace hyssoppond {

/// Prints a result: `message` as JSON if the context asks for JSON, else `table` in aligned
/// columns.
void print(tool_context *context, const google::protobuf::Message &message,
           const std::vector<std::vector<std::string>> &table);

/// Return the rows of a table; the first row has the headings.
std::vector<std::vector<std::string>> jobRows(const std::vector<v1::Job> &jobs);
std::vector<std::vector<std::string>> nodeRows(const v1::NodesResponse &nodes);
std::vector<std::vector<std::string>> configRows(const v1::ShowResponse &config);

/// Describes an error in one line: its reason, its message with the remedy, and whether the request
/// ran.
std::string describe(const error &problem);

/// Returns the exit code for an error.
exit_code exitCodeOf(const error &problem);

} // namespace hyssoppond
