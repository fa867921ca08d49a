/// @file Cells of the fault matrix: one invariant, one fault, one step.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace hyssoppond::faults {

/// Parameters of one run of a cell.
struct cell_context
{
    std::uint64_t seed = 1;
    bool mechanismOff = false; ///< run without the mechanism that keeps the invariant
};

/// Outcome of one run of a cell.
struct cell_result
{
    bool passed = false;
    std::string detail; ///< what was violated; empty when passed
};

/// One cell. `run` drives production code in virtual time and judges it only by
/// records that are kept outside that code.
struct cell
{
    std::string invariant; ///< "I1" to "I8"
    std::string fault;     ///< what fails, for example "agent-killed"
    std::string step;      ///< when it fails, for example "after-reserve"
    std::function<cell_result(const cell_context &)> run;
    /// Name of the mechanism without which this cell must fail; empty if it has no switch.
    std::string mechanism;
};

/// All cells of the program.
inline std::vector<cell> &cells()
{
    static std::vector<cell> all;
    return all;
}

/// Adds the cells that a file builds, from a static object of that file.
struct cell_registration
{
    explicit cell_registration(const std::function<std::vector<cell>()> &build)
    {
        for (cell &matrixCell : build())
            cells().push_back(std::move(matrixCell));
    }
};

} // namespace hyssoppond::faults
