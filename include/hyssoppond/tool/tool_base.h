/// @file The command-line tool of callers and operators.
#pragma once

#include "hyssoppond/rpc/rpc_client_base.h"

#include <cstdint>
#include <functional>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace hyssoppond {

/// Exit codes of hyssopctl; docs/OPERATIONS.md lists them.
enum class exit_code : std::uint8_t {
    Ok = 0,
    JobNotCompleted = 1, ///< `wait` or a runbook: the job ended, but not as Completed
    Usage = 2,
    NotRun = 3,  ///< refused; it did not run
    Unknown = 4, ///< it may have run; repeat with the same request id
    Failed = 5,  ///< it ran and failed
    NoEntry = 6, ///< no entry could be reached
};

/// What a command runs with.
struct tool_context
{
    rpc_client *client = nullptr;
    std::ostream *out = nullptr;
    std::ostream *progress = nullptr; ///< of long waits and runbooks
    bool json = false;
    absl::Duration timeout = absl::Seconds(30);
    std::string requestId; ///< empty: a random one for each command
    /// Job ids by the names that earlier steps of a runbook gave them with --as.
    std::map<std::string, std::string> names;
};

/// One command of the tool.
struct tool_command
{
    std::string name;  ///< one or two words, for example "config publish"
    std::string usage; ///< arguments after the name
    std::string summary;
    bool inRunbooks = true;
    /// Runs the command; with `check`, only parses the arguments.
    std::function<result<exit_code>(tool_context *, const std::vector<std::string> &, bool check)>
        run;
};

/// All commands, in the order of the help text.
const std::vector<tool_command> &toolCommands();

/// Finds the command that the first words of `words` name and removes them from `words`.
result<const tool_command *> findCommand(std::vector<std::string> *words);

/// Runs the tool with the arguments after the program name.
int runTool(const std::vector<std::string> &arguments, std::ostream *out, std::ostream *err);

} // namespace hyssoppond
