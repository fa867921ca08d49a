/// @file Check of a configuration before it is published, without a network.
#pragma once

#include "hyssoppond/base/name_table_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppond {

enum class finding_kind : std::uint8_t {
    Error,         ///< the entry would refuse the key or its value
    NeverMatches,  ///< the key is valid, but nothing can ever use it
    Contradiction, ///< limits and guarantees exclude each other or exceed the fleet
    Difference,    ///< from the version in force; not a fault
};

inline constexpr name_table<finding_kind, 4> FindingKindNames {
    {"Error", "NeverMatches", "Contradiction", "Difference"}};

struct config_finding
{
    finding_kind kind = finding_kind::Error;
    std::string key;     ///< empty: the whole file
    std::string value;   ///< as JSON; of a difference, the new value, empty if the key is removed
    std::string message; ///< what is wrong and the remedy, or what the difference is
};

/// Texts of the files that are checked. Each is a JSON object.
struct config_check_input
{
    std::string config;                 ///< values by key
    std::optional<std::string> inForce; ///< the configuration to compare with, in the same form
    /// Agents by name, each with `zone` and `accelerators`. Drains, zones and the size of the
    /// guarantees are checked against it.
    std::optional<std::string> fleet;
};

/// Checks a configuration. The findings are in the order of kind and key.
std::vector<config_finding> checkConfig(const config_check_input &input);

} // namespace hyssoppond
