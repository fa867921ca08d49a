/// @file Figures of the bench, which prints one JSON line with bound and verdict for each.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace hyssoppond::bench {

/// How a value is compared with its bound.
enum class bound_kind { AtMost, AtLeast, None };

/// One measured value. Bounds come from the targets of docs/design.md, section 9.
struct figure
{
    std::string measure; ///< with its unit, for example "p99_ratio"
    std::string site;    ///< "burrowline", "kivu" or "design-size"
    std::string policy;
    std::string seeds; ///< for example "final:101-110"
    double value = 0;
    bound_kind kind = bound_kind::None;
    double bound = 0;
};

/// A part of the bench: `measure` returns its figures.
struct bench_part
{
    std::string name;
    std::function<std::vector<figure>()> measure;
};

/// All parts of the program.
inline std::vector<bench_part> &parts()
{
    static std::vector<bench_part> all;
    return all;
}

/// Adds a part from a static object of its file.
struct part_registration
{
    part_registration(std::string name, std::function<std::vector<figure>()> measure)
    {
        parts().push_back({std::move(name), std::move(measure)});
    }
};

} // namespace hyssoppond::bench
