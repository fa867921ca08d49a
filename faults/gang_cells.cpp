/// @file Cells of gangs: each fault at each step, and seeded schedules of several faults.
#include "gang_scenario_base.h"

namespace hyssoppond::faults {

namespace {

cell_result runOne(const gang_fault &fault, gang_step step, bool repeatable, std::uint64_t seed)
{
    gang_scenario scenario(seed, repeatable);
    scenario.inject(fault, step);
    return scenario.run();
}

/// Two to four faults at random steps.
cell_result runSchedule(std::uint64_t seed)
{
    for (std::uint64_t i = 0; i < 20; ++i) {
        gang_scenario scenario(seed * 1000 + i, i % 2 == 0);
        const std::size_t count = 2 + scenario.site.clock.random() % 3;
        std::string names;
        for (std::size_t j = 0; j < count; ++j) {
            const gang_fault &fault
                = gangFaults()[scenario.site.clock.random() % gangFaults().size()];
            const auto step = static_cast<gang_step>(scenario.site.clock.random() % 7);
            scenario.inject(fault, step);
            names += " " + fault.name + "/" + std::string(GangStepNames.name(step));
        }
        cell_result outcome = scenario.run();
        if (!outcome.passed) {
            outcome.detail += " schedule=" + std::to_string(i) + names;
            return outcome;
        }
    }
    return {true, ""};
}

const cell_registration Cells([] {
    std::vector<cell> all;
    for (const gang_fault &fault : gangFaults()) {
        for (std::size_t i = 0; i < GangStepNames.names.size(); ++i) {
            const auto step = static_cast<gang_step>(i);
            const std::string name(GangStepNames.name(step));
            all.push_back({"I2", "gang-" + fault.name, name,
                           [&fault, step](const cell_context &context) {
                               return runOne(fault, step, true, context.seed);
                           },
                           ""});
            all.push_back({"I5", "gang-" + fault.name, name,
                           [&fault, step](const cell_context &context) {
                               return runOne(fault, step, false, context.seed);
                           },
                           ""});
        }
    }
    all.push_back({"I2", "gang-several-faults", "any",
                   [](const cell_context &context) { return runSchedule(context.seed); }, ""});
    // Two deciders in turn take over attempts that were placed in different epochs.
    all.push_back({"I4", "gang-several-faults", "two-takeovers",
                   [](const cell_context &) { return runSchedule(122); }, ""});
    return all;
});

} // namespace

} // namespace hyssoppond::faults
