/// @file Implementation of the check of a configuration.
#include "hyssoppond/config/config_check_func.h"

#include "hyssoppond/config/config_value_func.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace hyssoppond {

namespace {

using json = nlohmann::json;

struct fleet_agent
{
    std::string zone;
    std::uint64_t accelerators = 0;
};

/// Text of a value as it would be published. A value may be given as an object or as its text.
std::string publishedText(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

class config_checker
{
public:
    std::vector<config_finding> check(const config_check_input &input)
    {
        const auto config = readObject(input.config, "the configuration");
        if (input.fleet)
            readFleet(*input.fleet);
        if (config) {
            for (const auto &[key, value] : config->items())
                addKey(key, publishedText(value));
            checkDrains();
            checkContracts();
            if (m_hasFleet)
                checkCapacity();
        }
        if (input.inForce) {
            const auto inForce = readObject(*input.inForce, "the version in force");
            if (config && inForce)
                compare(*inForce, *config);
        }
        std::stable_sort(m_findings.begin(), m_findings.end(), [](const auto &a, const auto &b) {
            return std::tie(a.kind, a.key) < std::tie(b.kind, b.key);
        });
        return std::move(m_findings);
    }

private:
    struct named_contract
    {
        std::string key;
        contract value;
    };

    void add(finding_kind kind, const std::string &key, std::string message)
    {
        const auto known = m_values.find(key);
        m_findings.push_back(
            {kind, key, known == m_values.end() ? "" : known->second, std::move(message)});
    }

    /// Parses a file. Keys that occur twice are reported, as only the last one would count.
    std::optional<json> readObject(const std::string &text, const std::string &what)
    {
        std::set<std::string> keys;
        std::set<std::string> repeated;
        const auto onEvent = [&](int depth, json::parse_event_t event, const json &parsed) {
            if (event == json::parse_event_t::key && depth == 1
                && !keys.insert(parsed.get<std::string>()).second)
                repeated.insert(parsed.get<std::string>());
            return true;
        };
        json object = json::parse(text, onEvent, false);
        if (!object.is_object()) {
            add(finding_kind::Error, "",
                what + " is not a JSON object; give an object of values by key");
            return std::nullopt;
        }
        for (const std::string &key : repeated)
            add(finding_kind::Error, key, "the key is given twice in " + what + "; remove one");
        return object;
    }

    void readFleet(const std::string &text)
    {
        const auto fleet = readObject(text, "the fleet");
        if (!fleet)
            return;
        m_hasFleet = true;
        for (const auto &[name, agent] : fleet->items()) {
            const bool isValid = agent.is_object() && agent.contains("zone")
                && agent["zone"].is_string() && agent.contains("accelerators")
                && agent["accelerators"].is_number_unsigned()
                && agent["accelerators"].get<std::uint64_t>() <= MaxAcceleratorsPerWorker;
            if (isValid)
                m_fleet[name] = {agent["zone"].get<std::string>(),
                                 agent["accelerators"].get<std::uint64_t>()};
            else
                add(finding_kind::Error, name,
                    absl::StrFormat("agent of the fleet: give \"zone\" as text and "
                                    "\"accelerators\" as a whole number from 0 to %d",
                                    MaxAcceleratorsPerWorker));
        }
    }

    void addKey(const std::string &key, const std::string &value)
    {
        m_values[key] = value;
        if (value.empty()) {
            add(finding_kind::Error, key,
                "an empty value removes the key; leave the key out of the file");
            return;
        }
        const result<config_value> parsed = parseConfig(key, value);
        if (!parsed)
            add(finding_kind::Error, key, parsed.error().message);
        else if (const auto *teamValue = std::get_if<team>(&*parsed))
            m_teams[teamValue->id.str()] = *teamValue;
        else if (const auto *contractValue = std::get_if<contract>(&*parsed))
            m_contracts.push_back({key, *contractValue});
        else
            m_drains[std::get<endpoint_drain>(*parsed).endpoint.str()] = key;
    }

    void checkDrains()
    {
        for (const auto &[endpoint, key] : m_drains) {
            if (m_hasFleet && !m_fleet.contains(endpoint))
                add(finding_kind::NeverMatches, key,
                    "the fleet has no agent of this name; correct the name or remove the drain");
        }
    }

    /// True if an agent of the fleet that is not drained can hold members of the contract.
    bool mayHold(const contract &value, const std::string &name, const fleet_agent &agent) const
    {
        return !m_drains.contains(name)
            && (value.zone.str().empty() || value.zone.str() == agent.zone);
    }

    void checkContracts()
    {
        for (const auto &[key, value] : m_contracts) {
            const std::string ownerKey = "team/" + value.team.str();
            const auto owner = m_teams.find(value.team.str());
            // A team with an invalid value is reported as an error of its own.
            if (!m_values.contains(ownerKey))
                add(finding_kind::NeverMatches, key,
                    absl::StrFormat("there is no team \"%s\"; add %s or remove the contract",
                                    value.team.str(), ownerKey));
            else if (owner != m_teams.end() && owner->second.maxQueuedJobs == 0)
                add(finding_kind::Contradiction, key,
                    absl::StrFormat("%s refuses all jobs with \"max_queued_jobs\" 0; raise "
                                    "the limit or remove the contract",
                                    ownerKey));
            if (value.guaranteed.within == adjacency::Worker
                && value.guaranteed.accelerators() > MaxAcceleratorsPerWorker)
                add(finding_kind::Contradiction, key,
                    absl::StrFormat("%d accelerators within one worker, which has at most %d; set "
                                    "\"within\" to Rack or Zone, or fewer members",
                                    value.guaranteed.accelerators(), MaxAcceleratorsPerWorker));
            else if (m_hasFleet)
                checkShape(key, value);
        }
    }

    void checkShape(const std::string &key, const contract &value)
    {
        std::uint64_t largest = 0;
        bool zoneExists = value.zone.str().empty();
        for (const auto &[name, agent] : m_fleet) {
            zoneExists = zoneExists || agent.zone == value.zone.str();
            if (mayHold(value, name, agent))
                largest = std::max(largest, agent.accelerators);
        }
        const std::uint64_t needed = value.guaranteed.within == adjacency::Worker
            ? value.guaranteed.accelerators()
            : value.guaranteed.acceleratorsPerMember;
        if (!zoneExists)
            add(finding_kind::NeverMatches, key,
                absl::StrFormat("the fleet has no zone \"%s\"; correct or omit \"zone\"",
                                value.zone.str()));
        else if (needed > largest)
            add(finding_kind::Contradiction, key,
                absl::StrFormat("one worker must have %d accelerators, but the largest that is "
                                "not drained has %d; ask for fewer",
                                needed, largest));
    }

    /// Compares the sum of the guarantees with the fleet, as a whole and in each zone.
    void checkCapacity()
    {
        std::map<std::string, std::uint64_t> promised; // by zone; empty: any zone
        std::map<std::string, std::uint64_t> present;
        for (const auto &[key, value] : m_contracts) {
            const std::uint64_t size = value.guaranteed.accelerators() * value.count;
            promised[""] += size;
            if (!value.zone.str().empty())
                promised[value.zone.str()] += size;
        }
        for (const auto &[name, agent] : m_fleet) {
            if (m_drains.contains(name))
                continue;
            present[""] += agent.accelerators;
            present[agent.zone] += agent.accelerators;
        }
        for (const auto &[zone, size] : promised) {
            if (size > present[zone])
                add(finding_kind::Contradiction, "",
                    absl::StrFormat("the contracts guarantee %d accelerators in %s, which has %d "
                                    "that are not drained; lower a \"count\" or end a drain",
                                    size, zone.empty() ? "the fleet" : "zone " + zone,
                                    present[zone]));
        }
    }

    /// Reports the keys that are added, removed or changed. Values are compared as JSON.
    void compare(const json &inForce, const json &config)
    {
        const auto parsed = [](const json &value) {
            return value.is_string() ? json::parse(value.get<std::string>(), nullptr, false)
                                     : value;
        };
        for (const auto &[key, value] : config.items()) {
            if (!inForce.contains(key))
                add(finding_kind::Difference, key, "added");
            else if (parsed(inForce[key]) != parsed(value))
                add(finding_kind::Difference, key,
                    "changed; in force is " + publishedText(inForce[key]));
        }
        for (const auto &[key, value] : inForce.items()) {
            if (!config.contains(key))
                add(finding_kind::Difference, key, "removed; in force is " + publishedText(value));
        }
    }

    std::vector<config_finding> m_findings;
    std::map<std::string, std::string> m_values; ///< as published, by key
    std::map<std::string, team> m_teams;
    std::vector<named_contract> m_contracts;
    std::map<std::string, std::string> m_drains; ///< keys, by endpoint
    bool m_hasFleet = false;
    std::map<std::string, fleet_agent> m_fleet;
};

} // namespace

std::vector<config_finding> checkConfig(const config_check_input &input)
{
    return config_checker().check(input);
}

} // namespace hyssoppond
