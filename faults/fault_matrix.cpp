/// @file Program that runs the fault matrix and prints one line per cell.
#include "cell_base.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>
#include <tuple>

namespace hyssoppond::faults {
namespace {

/// Restricts the run to cells whose fields equal the given ones; empty fields match all.
struct cell_filter
{
    std::string invariant;
    std::string fault;
    std::string step;

    bool matches(const cell &matrixCell) const
    {
        return (invariant.empty() || invariant == matrixCell.invariant)
            && (fault.empty() || fault == matrixCell.fault)
            && (step.empty() || step == matrixCell.step);
    }
};

/// Prints one line and returns whether the cell passed under all seeds.
bool runCell(const cell &matrixCell, std::uint64_t firstSeed, std::uint64_t seeds)
{
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        const cell_result outcome = matrixCell.run({seed, false});
        if (!outcome.passed) {
            std::cout << matrixCell.invariant << ' ' << matrixCell.fault << ' ' << matrixCell.step
                      << " FAILED seed=" << seed << ' ' << outcome.detail << '\n';
            return false;
        }
    }
    std::cout << matrixCell.invariant << ' ' << matrixCell.fault << ' ' << matrixCell.step
              << " passed\n";
    return true;
}

/// Checks that the cells can fail: with its mechanism switched off, each must.
bool runSwitchedOff(const cell &matrixCell, std::uint64_t seed)
{
    const bool failed = !matrixCell.run({seed, true}).passed;
    std::cout << matrixCell.invariant << ' ' << matrixCell.fault << ' ' << matrixCell.step
              << " without " << matrixCell.mechanism
              << (failed ? " fails as it must\n" : " STILL PASSES\n");
    return failed;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("hyssoppond-faults", "Runs the fault matrix in virtual time.");
    options.add_options()("invariant", "only this invariant, I1 to I8",
                          cxxopts::value<std::string>()->default_value(""))(
        "fault", "only this fault", cxxopts::value<std::string>()->default_value(""))(
        "step", "only this step", cxxopts::value<std::string>()->default_value(""))(
        "seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of seeds per cell", cxxopts::value<std::uint64_t>()->default_value("3"))(
        "switch-off",
        "run the cells without their mechanisms; each must then fail")("help", "print this text");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    const cell_filter filter {parsed["invariant"].as<std::string>(),
                              parsed["fault"].as<std::string>(), parsed["step"].as<std::string>()};
    const bool switchOff = parsed.count("switch-off") != 0;
    const auto seed = parsed["seed"].as<std::uint64_t>();
    std::stable_sort(cells().begin(), cells().end(), [](const cell &a, const cell &b) {
        return std::tie(a.invariant, a.fault, a.step) < std::tie(b.invariant, b.fault, b.step);
    });
    std::size_t passed = 0;
    std::size_t failed = 0;
    for (const cell &matrixCell : cells()) {
        if (!filter.matches(matrixCell) || (switchOff && matrixCell.mechanism.empty()))
            continue;
        const bool asExpected = switchOff
            ? runSwitchedOff(matrixCell, seed)
            : runCell(matrixCell, seed, parsed["seeds"].as<std::uint64_t>());
        ++(asExpected ? passed : failed);
    }
    std::cout << passed << " passed, " << failed << " failed\n";
    if (passed + failed == 0)
        std::cerr << "no cell matches; see the names in a run without filters\n";
    return failed == 0 && passed > 0 ? 0 : 1;
}

} // namespace
} // namespace hyssoppond::faults

int main(int argc, char **argv)
{
    try {
        return hyssoppond::faults::run(argc, argv);
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << "\nuse --help for the options\n";
        return 2;
    }
}
