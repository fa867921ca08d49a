/// @file One run of a gang under faults, from its placement to the end of its last attempt.
#pragma once

#include "cell_base.h"
#include "gang_site_base.h"

#include <functional>
#include <string>
#include <vector>

namespace hyssoppond::faults {

/// When a fault is applied.
enum class gang_step : std::uint8_t {
    BeforeReserve,
    AfterReserve, ///< the first member has reserved
    AfterAllReserved,
    AfterFirstStart,
    AfterAllStarted,
    DuringRun,
    DuringStop,
};

inline constexpr name_table<gang_step, 7> GangStepNames {
    {"before-reserve", "after-reserve", "after-all-reserved", "after-first-start",
     "after-all-started", "during-run", "during-stop"}};

class gang_scenario;

/// A fault and how it is removed. `victim` is the index of a member, chosen by the seed.
struct gang_fault
{
    std::string name;
    std::function<void(gang_scenario &, std::size_t victim)> apply;
    std::function<void(gang_scenario &, std::size_t victim)> heal; ///< may be empty
};

/// All faults that the cells of gangs apply.
const std::vector<gang_fault> &gangFaults();

/// Places one job, applies faults at steps, starts further attempts as a decider does, cancels the
/// last one and judges the workers' records.
class gang_scenario
{
public:
    gang_scenario(std::uint64_t seed, bool repeatable, gang_options options = {});

    gang_site site;
    std::size_t members;
    bool repeatable;
    epoch_number epoch = 1;
    stop_cause cause = stop_cause::Cancel; ///< of the stop at the end

    void inject(const gang_fault &fault, gang_step step);
    cell_result run();
    /// A new decider with the next epoch takes over all attempts that have not ended.
    void takeOver();
    site_node &node(std::size_t index) { return *site.nodes[index]; }
    site_entry &entry() { return *site.entries.back(); }

private:
    struct planned_fault
    {
        const gang_fault *fault;
        gang_step step;
        std::size_t victim;
        bool applied = false;
    };

    void startAttempt(attempt_number attempt);
    void onEnded(const attempt_end &end);
    void observeMessage(const process_id &from, const gang_message &message);
    void onStepReached(gang_step step);

    std::vector<planned_fault> m_plannedFaults;
    attempt_number m_attempt = 0;
    epoch_number m_placedEpoch = 0; ///< epoch in which the attempt m_attempt was placed
    std::size_t m_reserved = 0;
    bool m_finishing = false;
};

} // namespace hyssoppond::faults
