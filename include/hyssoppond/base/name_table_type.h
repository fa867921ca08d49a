/// @file Tables that give each enumerator its name, in both directions.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace hyssoppond {

/// Names of the enumerators of `enumeration`, which count from 0 without gaps.
template<class enumeration, std::size_t count>
struct name_table
{
    std::array<std::string_view, count> names; ///< in the order of the enumerators

    /// Name of `value`; "Unknown" for a value outside the enumeration.
    constexpr std::string_view name(enumeration value) const
    {
        const auto index = static_cast<std::size_t>(value);
        return index < count ? names[index] : std::string_view("Unknown");
    }

    /// Enumerator with the name `text`, or none.
    constexpr std::optional<enumeration> find(std::string_view text) const
    {
        for (std::size_t i = 0; i < count; ++i) {
            if (names[i] == text)
                return static_cast<enumeration>(i);
        }
        return std::nullopt;
    }
};

} // namespace hyssoppond
