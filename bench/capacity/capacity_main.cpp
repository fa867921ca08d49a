/// @file Program that prints how costs grow with the size of the site. It gates nothing.
#include "slope_base.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace hyssoppond::capacity {
namespace {

int run(int argc, char **argv)
{
    cxxopts::Options options("hyssoppond-capacity", "Measures slopes over the size of the site.");
    options.add_options()("part", "only this part",
                          cxxopts::value<std::string>()->default_value(""))(
        "max-size", "largest number of processes",
        cxxopts::value<std::size_t>()->default_value("1000"))("help", "print this text");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help() << "parts:";
        for (const slope_part &part : parts())
            std::cout << ' ' << part.name;
        std::cout << '\n';
        return 0;
    }
    const auto wanted = parsed["part"].as<std::string>();
    bool any = false;
    for (const slope_part &part : parts()) {
        if (!wanted.empty() && wanted != part.name)
            continue;
        any = true;
        part.measure(parsed["max-size"].as<std::size_t>(), [&part](const point &one) {
            const nlohmann::ordered_json line {{"part", part.name},
                                               {"measure", one.measure},
                                               {"size", one.size},
                                               {"value", one.value},
                                               {"clock", one.wallClock ? "wall" : "virtual"}};
            std::cout << line.dump() << std::endl;
        });
    }
    if (!any)
        std::cerr << "no part has this name; --help lists them\n";
    return any ? 0 : 1;
}

} // namespace
} // namespace hyssoppond::capacity

int main(int argc, char **argv)
{
    try {
        return hyssoppond::capacity::run(argc, argv);
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << "\nuse --help for the options\n";
        return 2;
    }
}
