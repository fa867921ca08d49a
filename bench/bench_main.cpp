/// @file Program that prints the figures of the bench and fails past a bound.
#include "figure_base.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace hyssoppond::bench {
namespace {

/// Verdict of one figure: "ok", "short" or "info".
std::string verdictOf(const figure &one)
{
    switch (one.kind) {
    case bound_kind::AtMost:
        return one.value <= one.bound ? "ok" : "short";
    case bound_kind::AtLeast:
        return one.value >= one.bound ? "ok" : "short";
    case bound_kind::None:
        break;
    }
    return "info";
}

void print(const figure &one)
{
    nlohmann::ordered_json line {{"measure", one.measure},   {"site", one.site},
                                 {"policy", one.policy},     {"seeds", one.seeds},
                                 {"value", one.value},       {"bound", nullptr},
                                 {"verdict", verdictOf(one)}};
    if (one.kind != bound_kind::None)
        line["bound"] = one.bound;
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
    const auto wanted = parsed["part"].as<std::string>();
    bool allOk = true;
    bool any = false;
    for (const bench_part &part : parts()) {
        if (!wanted.empty() && wanted != part.name)
            continue;
        any = true;
        for (const figure &one : part.measure()) {
            print(one);
            allOk = allOk && verdictOf(one) != "short";
        }
    }
    if (!any)
        std::cerr << "no part has this name; --help lists them\n";
    return allOk && any ? 0 : 1;
}

} // namespace
} // namespace hyssoppond::bench

int main(int argc, char **argv)
{
    try {
        return hyssoppond::bench::run(argc, argv);
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << "\nuse --help for the options\n";
        return 2;
    }
}
