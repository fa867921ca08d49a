/// @file Groups of commands and the functions that they share.
#pragma once

#include "hyssoppond/tool/tool_base.h"

#include "hyssoppond.pb.h"

#include <string>
#include <vector>

namespace hyssoppond {

std::vector<tool_command> jobCommands();
std::vector<tool_command> siteCommands();
std::vector<tool_command> configCheckCommands();
std::vector<tool_command> runbookCommands();

/// Returns the request id of a command: `explicitId` if it is not empty, else that of the context,
/// which is derived from the step in a runbook, else a random one.
std::string requestIdFor(tool_context *context, const std::string &explicitId);

/// Calls a procedure, "<Service>/<Method>", with the timeout of the context. The procedure must be
/// idempotent, because the request may be sent more than once. Errors: those of rpc_client::call().
result<void> callProcedure(tool_context *context, const std::string &method,
                           const google::protobuf::Message &request,
                           google::protobuf::Message *answer);

/// Waits until a job has ended, at most for the timeout of the context, and prints it. Reports each
/// change of its state as progress. Errors: Expired, or those of rpc_client::call().
result<exit_code> waitForJob(tool_context *context, const std::string &jobId);

/// Parses an urgency: background, normal or urgent, in any case. Error: InvalidArgument.
result<v1::Urgency> parseUrgency(const std::string &text);

} // namespace hyssoppond
