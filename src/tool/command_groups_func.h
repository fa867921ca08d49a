/// @file Groups of commands and what they share.
#pragma once

#include "hyssoppond/tool/tool_base.h"

#include "hyssoppond.pb.h"

#include <string>
#include <vector>

namespace hyssoppond {

std::vector<tool_command> jobCommands();
std::vector<tool_command> siteCommands();
std::vector<tool_command> runbookCommands();

/// Request id of a command: the given one, that of the runbook's step, or a random one.
std::string requestIdFor(tool_context *context, const std::string &given);

/// Calls a procedure that may be repeated.
result<void> ask(tool_context *context, const std::string &method,
                 const google::protobuf::Message &request, google::protobuf::Message *answer);

/// Waits until a job has ended, with progress; prints it.
result<exit_code> waitForJob(tool_context *context, const std::string &job);

/// Reads a class of urgency. Error: InvalidArgument.
result<v1::Urgency> parseUrgency(const std::string &text);

} // namespace hyssoppond
