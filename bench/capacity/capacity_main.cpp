/// @file Program that prints how costs grow with the size of the site. It checks no bounds.
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
    const auto selectedPart = parsed["part"].as<std::string>();
    bool partFound = false;
    for (const slope_part &part : parts()) {
        if (!selectedPart.empty() && selectedPart != part.name)
            continue;
        partFound = true;
        part.measure(parsed["max-size"].as<std::size_t>(), [&part](const point &measured) {
            const nlohmann::ordered_json line {{"part", part.name},
                                               {"measure", measured.measure},
                                               {"size", measured.size},
                                               {"value", measured.value},
                                               {"clock", measured.wallClock ? "wall" : "virtual"}};
            std::cout << line.dump() << std::endl;
        });
    }
    if (!partFound)
        std::cerr << "no part has this name; --help lists them\n";
    return partFound ? 0 : 1;
}

} // namespace
} // namespace hyssoppond::capacity

int main(int argc, char **argv)
{
    try {
        return hyssoppond::capacity::run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\nuse --help for the options\n";
        return 2;
    }
}
