/// @file Parses configuration values.
#include "hyssoppond/config/config_value_func.h"

#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <set>
#include <vector>

namespace hyssoppond {

namespace {

/// Largest allowed queue limit of a team, in jobs or calls.
constexpr std::uint32_t MaxQueueLimit = 100'000;
/// Largest allowed number of gangs that one contract guarantees.
constexpr std::uint32_t MaxContractGangs = 10'000;
constexpr double MaxWeight = 1e6;

using json = nlohmann::json;

tl::unexpected<error> refuse(const std::string &key, const std::string &problem)
{
    return fail(reason::InvalidArgument, absl::StrFormat("configuration key %s: %s", key, problem));
}

/// Reads the fields of one JSON object, with fallbacks for missing or invalid ones. If several
/// fields are invalid, problem() describes the one that was found last.
class field_reader
{
public:
    field_reader(const json &object, const std::set<std::string> &allowed)
        : m_object(object)
    {
        for (const auto &[name, value] : object.items()) {
            if (!allowed.contains(name))
                m_problem = absl::StrFormat("unknown field \"%s\"; see docs/OPERATIONS.md", name);
        }
    }

    std::uint32_t number(const char *name, std::uint32_t fallback, std::uint32_t lowest,
                         std::uint32_t highest)
    {
        const auto it = m_object.find(name);
        if (it == m_object.end())
            return fallback;
        if (!it->is_number_integer() || *it < lowest || *it > highest) {
            m_problem = absl::StrFormat("field \"%s\" must be a whole number from %d to %d", name,
                                        lowest, highest);
            return fallback;
        }
        return it->get<std::uint32_t>();
    }
    double weight(const char *name)
    {
        const auto it = m_object.find(name);
        if (it == m_object.end())
            return 1;
        if (!it->is_number() || !(it->get<double>() > 0) || it->get<double>() > MaxWeight) {
            m_problem
                = absl::StrFormat("field \"%s\" must be above 0 and at most %g", name, MaxWeight);
            return 1;
        }
        return it->get<double>();
    }
    std::string text(const char *name, const std::string &fallback)
    {
        const auto it = m_object.find(name);
        if (it == m_object.end())
            return fallback;
        if (!it->is_string()) {
            m_problem = absl::StrFormat("field \"%s\" must be a string", name);
            return fallback;
        }
        return it->get<std::string>();
    }
    void setProblem(std::string problem) { m_problem = std::move(problem); }
    const std::string &problem() const { return m_problem; }

private:
    const json &m_object;
    std::string m_problem;
};

result<config_value> parseTeam(const std::string &key, const std::string &name, const json &object)
{
    field_reader fields(object, {"weight", "max_queued_jobs", "max_queued_calls"});
    team value;
    value.id = team_id(name);
    value.weight = fields.weight("weight");
    value.maxQueuedJobs = fields.number("max_queued_jobs", value.maxQueuedJobs, 0, MaxQueueLimit);
    value.maxQueuedCalls
        = fields.number("max_queued_calls", value.maxQueuedCalls, 0, MaxQueueLimit);
    if (!fields.problem().empty())
        return refuse(key, fields.problem());
    return value;
}

result<config_value> parseContract(const std::string &key, const std::string &owner,
                                   const json &object)
{
    field_reader fields(object, {"members", "accelerators_per_member", "within", "count", "zone"});
    contract value;
    value.id = contract_id(key.substr(std::string("contract/").size()));
    value.team = team_id(owner);
    value.guaranteed.members = fields.number("members", 1, 1, MaxGangMembers);
    value.guaranteed.acceleratorsPerMember
        = fields.number("accelerators_per_member", 1, 1, MaxAcceleratorsPerWorker);
    value.count = fields.number("count", 1, 1, MaxContractGangs);
    value.zone = zone_id(fields.text("zone", ""));
    const auto within = AdjacencyNames.find(fields.text("within", "Worker"));
    if (!within)
        fields.setProblem("field \"within\" must be Worker, Rack or Zone");
    value.guaranteed.within = within.value_or(adjacency::Worker);
    if (!fields.problem().empty())
        return refuse(key, fields.problem());
    return value;
}

} // namespace

result<config_value> parseConfig(const std::string &key, const std::string &value)
{
    const std::vector<std::string> parts = absl::StrSplit(key, '/');
    const json object = value.empty() ? json::object() : json::parse(value, nullptr, false);
    if (!object.is_object())
        return refuse(key, "the value must be a JSON object; see docs/OPERATIONS.md");
    if (parts.size() == 2 && parts[0] == "team" && !parts[1].empty())
        return parseTeam(key, parts[1], object);
    if (parts.size() == 3 && parts[0] == "contract" && !parts[1].empty() && !parts[2].empty())
        return parseContract(key, parts[1], object);
    if (parts.size() == 2 && parts[0] == "drain" && !parts[1].empty())
        return endpoint_drain {process_id(parts[1])};
    return refuse(key, "the key must be team/<name>, contract/<team>/<name> or drain/<endpoint>");
}

} // namespace hyssoppond
