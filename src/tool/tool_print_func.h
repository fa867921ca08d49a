/// @file Output of the tool, as tables or JSON.
#pragma once

#include "hyssoppond/tool/tool_base.h"

#include "hyssoppond.pb.h"

#include <string>
#include <vector>

namespace hyssoppond {

/// Prints a message as JSON, or by `asTable`.
void print(tool_context *context, const google::protobuf::Message &message,
           const std::vector<std::vector<std::string>> &table);

/// Rows of the tables; the first row has the headings.
std::vector<std::vector<std::string>> jobRows(const std::vector<v1::Job> &jobs);
std::vector<std::vector<std::string>> nodeRows(const v1::NodesResponse &nodes);
std::vector<std::vector<std::string>> configRows(const v1::ShowResponse &config);

/// One line that describes an error with its remedy.
std::string describe(const error &problem);

/// Exit code for an error.
exit_code exitCodeOf(const error &problem);

} // namespace hyssoppond
