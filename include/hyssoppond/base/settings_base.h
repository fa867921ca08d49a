/// @file Settings from flags and environment variables, checked at start.
#pragma once

#include "hyssoppond/base/error_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppond {

/// Kind of a setting's value.
enum class setting_kind : std::uint8_t {
    Text,        ///< any text, or one of `choices` if they are given
    Number,      ///< whole number from `lowest` to `highest`
    Address,     ///< numeric IP address and port, HOST:PORT or [HOST]:PORT
    AddressList, ///< addresses separated by commas
    Switch,      ///< true or false
};

/// One setting of a program. Its environment variable is HYSSOPPOND_ and the name in capitals with
/// underscores; the flag overrides the variable.
struct setting_rule
{
    std::string name; ///< name of the flag, without the dashes
    setting_kind kind = setting_kind::Text;
    std::string defaultValue;
    std::string help; ///< help text, which names the unit
    std::int64_t lowest = 0;
    std::int64_t highest = INT64_MAX;
    std::vector<std::string> choices = {}; ///< allowed values of a Text; empty: any
    bool required = false;                 ///< the value must not be empty
    bool secret = false;                   ///< the value is never printed
};

/// Numeric IP address and port.
struct host_port
{
    std::string host;
    std::uint16_t port = 0;
};

/// Parses "127.0.0.1:8080" or "[::1]:8080"; none if the text has another form or the host
/// is not a numeric address.
std::optional<host_port> parseHostPort(const std::string &text);

/// Values of all settings of a program.
class settings
{
public:
    using environment_reader = std::function<std::optional<std::string>(const std::string &)>;

    /// Reads flags and environment. Error: lists all invalid settings at once, each with its flag,
    /// its environment variable, its value (hidden if secret) and the allowed values.
    static result<settings> read(const std::vector<setting_rule> &rules, int argc,
                                 const char *const *argv, const environment_reader &environment);

    const std::string &text(const std::string &name) const { return m_values.at(name); }
    std::int64_t number(const std::string &name) const;
    bool isOn(const std::string &name) const { return text(name) == "true"; }
    host_port address(const std::string &name) const;
    std::vector<host_port> addresses(const std::string &name) const;

    /// One "name=value" line per setting, for --check-settings; secrets are replaced by "***".
    std::string describe() const;

private:
    std::vector<setting_rule> m_rules;
    std::map<std::string, std::string> m_values;
};

/// Help text of the settings, in the order of the rules.
std::string describeRules(const std::string &program, const std::vector<setting_rule> &rules);

/// Value of an environment variable of this process; none if it is not set.
std::optional<std::string> processEnvironment(const std::string &name);

} // namespace hyssoppond
