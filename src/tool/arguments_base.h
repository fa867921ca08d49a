/// @file Parser of the arguments of one command.
#pragma once

#include "hyssoppond/base/error_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hyssoppond {

/// Options, switches and positional words that a command accepts.
struct argument_rules
{
    std::set<std::string> options;  ///< names of the options that take a value
    std::set<std::string> switches; ///< names of the options that take no value
    std::size_t minPositional = 0;  ///< fewest positional words
    std::size_t maxPositional = 0;  ///< most positional words
    bool takesCommand = false;      ///< words after "--" form the command of the job
};

/// Parsed arguments of one command.
class arguments
{
public:
    /// Parses the words after the name of the command. Error: InvalidArgument, with what is wrong.
    static result<arguments> parse(const std::vector<std::string> &words,
                                   const argument_rules &rules);

    const std::vector<std::string> &positional() const { return m_positional; }
    /// Returns the value of an option, or the default if it is not given.
    std::string text(const std::string &name, const std::string &defaultValue = "") const;
    /// Returns the value of an option as a whole number from 0 to `maxValue`, or the default if the
    /// option is not given. Error: InvalidArgument.
    result<std::uint64_t> number(const std::string &name, std::uint64_t defaultValue,
                                 std::uint64_t maxValue) const;
    bool has(const std::string &name) const { return m_options.contains(name); }
    /// Returns the words after "--", joined by spaces.
    const std::string &command() const { return m_command; }

private:
    std::map<std::string, std::string> m_options;
    std::vector<std::string> m_positional;
    std::string m_command;
};

} // namespace hyssoppond
