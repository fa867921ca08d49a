/// @file Implementation of the evacuations of availability zones.
#include "hyssoppond/batch/zone_evacuations_base.h"

namespace hyssoppond::batch {

void zone_evacuations::load(const std::vector<stored_record> &records, std::uint64_t end)
{
    m_zones.clear();
    apply(records, end);
}

void zone_evacuations::apply(const std::vector<stored_record> &records, std::uint64_t end)
{
    for (const stored_record &stored : records) {
        const std::optional<zone_request> request = decode ? decode(stored) : std::nullopt;
        if (request && request->evacuated)
            m_zones.insert(request->zone);
        else if (request)
            m_zones.erase(request->zone);
    }
    m_end = end;
}

std::set<std::string> zone_evacuations::zones(
    const std::map<std::string, zone_evacuated> &recorded) const
{
    std::set<std::string> zones = m_zones;
    for (const auto &[zone, record] : recorded) {
        if (record.asOf <= m_end)
            continue;
        if (record.evacuated)
            zones.insert(zone);
        else
            zones.erase(zone);
    }
    return zones;
}

std::vector<zone_evacuated> zone_evacuations::missingRecords(
    const std::map<std::string, zone_evacuated> &recorded) const
{
    std::vector<zone_evacuated> missing;
    for (const std::string &zone : m_zones) {
        const auto known = recorded.find(zone);
        if (known == recorded.end() || (!known->second.evacuated && known->second.asOf <= m_end))
            missing.push_back({zone, true, m_end});
    }
    for (const auto &[zone, record] : recorded) {
        if (record.evacuated && record.asOf <= m_end && !m_zones.contains(zone))
            missing.push_back({zone, false, m_end});
    }
    return missing;
}

} // namespace hyssoppond::batch
