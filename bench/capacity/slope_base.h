/// @file Parts of the capacity program: one JSON line for each point of a slope.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace hyssoppond::capacity {

/// One measured point.
struct point
{
    std::string measure;  ///< with its unit, for example "bytes_per_node_per_second"
    std::size_t size = 0; ///< independent variable of the slope, for example the number of members
    double value = 0;
    bool wallClock = false; ///< depends on the machine and is therefore never compared with a bound
};

/// A part: `measure` reports each point as soon as it is measured, because large sizes take long.
struct slope_part
{
    std::string name;
    std::function<void(std::size_t maxSize, const std::function<void(const point &)> &report)>
        measure;
};

/// All parts of the program.
inline std::vector<slope_part> &parts()
{
    static std::vector<slope_part> all;
    return all;
}

/// Adds a part from a static object of its file.
struct part_registration
{
    explicit part_registration(slope_part part) { parts().push_back(std::move(part)); }
};

} // namespace hyssoppond::capacity
