/// @file Command-line tool hyssopctl for callers and operators.
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
    Findings = 1,        ///< `config check`: the configuration has faults
    Usage = 2,           ///< the arguments are not valid
    NotRun = 3,          ///< refused; it did not run
    Unknown = 4,         ///< it may have run; repeat with the same request id
    Failed = 5,          ///< it ran and failed
    NoEntry = 6,         ///< no entry could be reached
};

/// Client, output streams and options that a command uses.
struct tool_context
{
    rpc_client *client = nullptr;
    std::ostream *out = nullptr;
    std::ostream *progress = nullptr; ///< for the progress of waits and runbooks; may be null
    bool json = false;
    absl::Duration timeout = absl::Seconds(30);
    /// Request id for commands without --request-id. Empty: a random one for each command.
    std::string requestId;
    /// Job ids by the names that submit --as gave in earlier steps of a runbook.
    std::map<std::string, std::string> jobIdsByName;
};

/// One command of the tool.
struct tool_command
{
    std::string name;  ///< one or two words, for example "config publish"
    std::string usage; ///< arguments after the name
    std::string summary;
    bool inRunbooks = true; ///< the command is allowed as a step of a runbook
    /// Runs the command with the words after its name. With `checkOnly`, only parses the arguments.
    std::function<result<exit_code>(tool_context *, const std::vector<std::string> &,
                                    bool checkOnly)>
        run;
};

/// Returns all commands, in the order of the help text.
const std::vector<tool_command> &toolCommands();

/// Finds the command whose name is at the start of `words` and removes the name from `words`.
/// Error: InvalidArgument if there is no such command.
result<const tool_command *> findCommand(std::vector<std::string> *words);

/// Runs the tool with the arguments after the program name. Returns the exit code of the process.
int runTool(const std::vector<std::string> &arguments, std::ostream *out, std::ostream *err);

} // namespace hyssoppond
