/// @file Program that prints the figures of the bench and fails if one exceeds its bound.
#include "figure_base.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace hyssoppond::bench {
namespace {

/// Verdict of one figure: "ok", "short" (the bound is not met) or "info" (no bound).
std::string verdictOf(const figure &measured)
{
    switch (measured.kind) {
    case bound_kind::AtMost:
        return measured.value <= measured.bound ? "ok" : "short";
    case bound_kind::AtLeast:
        return measured.value >= measured.bound ? "ok" : "short";
    case bound_kind::None:
        break;
    }
    return "info";
}

void print(const figure &measured)
{
    nlohmann::ordered_json line {{"measure", measured.measure},   {"site", measured.site},
                                 {"policy", measured.policy},     {"seeds", measured.seeds},
                                 {"value", measured.value},       {"bound", nullptr},
                                 {"verdict", verdictOf(measured)}};
    if (measured.kind != bound_kind::None)
        line["bound"] = measured.bound;
    std::cout << line.dump() << std::endl;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("hyssoppond-bench", "Measures the decisions in virtual time.");
    options.add_options()("part", "only this part",
                          cxxopts::value<std::string>()->default_value(""))("help",
                                                                            "print this text");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help() << "parts:";
        for (const bench_part &part : parts())
            std::cout << ' ' << part.name;
        std::cout << '\n';
        return 0;
    }
    const auto selectedPart = parsed["part"].as<std::string>();
    bool allOk = true;
    bool partFound = false;
    for (const bench_part &part : parts()) {
        if (!selectedPart.empty() && selectedPart != part.name)
            continue;
        partFound = true;
        for (const figure &measured : part.measure()) {
            print(measured);
            allOk = allOk && verdictOf(measured) != "short";
        }
    }
    if (!partFound)
        std::cerr << "no part has this name; --help lists them\n";
    return allOk && partFound ? 0 : 1;
}

} // namespace
} // namespace hyssoppond::bench

int main(int argc, char **argv)
{
    try {
        return hyssoppond::bench::run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\nuse --help for the options\n";
        return 2;
    }
}
