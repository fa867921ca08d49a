/// @file Availability zones that the operator evacuates, as read from the operator's topic.
#pragma once

#include "hyssoppond/batch/batch_state_base.h"
#include "hyssoppond/batch/store_port.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoppond::batch {

/// Begin or end of an evacuation in a record of the operator's topic.
struct zone_request
{
    std::string zone;
    bool evacuated = false;
};

/// The evacuations that this process has read from the operator's topic, combined with those that a
/// decider has recorded in the journal. A decider may have read less of the operator's topic than
/// the one before it; the offsets tell which of the two knows more. No I/O.
class zone_evacuations
{
public:
    /// Decodes a record of the operator's topic; empty if it concerns no evacuation.
    std::function<std::optional<zone_request>(const stored_record &)> decode;

    /// Replaces all that was read, as the newest record of each key was loaded as of `end`.
    void load(const std::vector<stored_record> &records, std::uint64_t end);
    /// Applies later records, which end at `end`.
    void apply(const std::vector<stored_record> &records, std::uint64_t end);

    /// Zones that take no work now. `recorded` are the records of the journal.
    std::set<std::string> zones(const std::map<std::string, zone_evacuated> &recorded) const;
    /// Records that the journal lacks. Empty for a site without evacuations.
    std::vector<zone_evacuated> missingRecords(
        const std::map<std::string, zone_evacuated> &recorded) const;

private:
    std::set<std::string> m_zones;
    std::uint64_t m_end = 0; ///< of the operator's topic, as of which m_zones holds
};

} // namespace hyssoppond::batch
