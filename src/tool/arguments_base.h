/// @file Arguments of one command.
#pragma once

#include "hyssoppond/base/error_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hyssoppond {

/// Options, switches and positional words that a command knows.
struct argument_rules
{
    std::set<std::string> options;  ///< with a value
    std::set<std::string> switches; ///< without one
    std::size_t fewest = 0;         ///< positional words
    std::size_t most = 0;
    bool takesCommand = false; ///< words after "--" belong to the job's command
};

/// Parsed arguments of one command.
class arguments
{
public:
    /// Errors: InvalidArgument, with what is wrong and what is allowed.
    static result<arguments> parse(const std::vector<std::string> &words,
                                   const argument_rules &rules);

    const std::vector<std::string> &positional() const { return m_positional; }
    std::string text(const std::string &name, const std::string &fallback = "") const;
    /// Whole number from 0 to `highest`. Error: InvalidArgument.
    result<std::uint64_t> number(const std::string &name, std::uint64_t fallback,
                                 std::uint64_t highest) const;
    bool has(const std::string &name) const { return m_options.contains(name); }
    const std::string &command() const { return m_command; }

private:
    std::map<std::string, std::string> m_options;
    std::vector<std::string> m_positional;
    std::string m_command;
};

} // namespace hyssoppond
