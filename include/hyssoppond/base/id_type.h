/// @file Identifiers as distinct types, so that a team cannot be passed where a job is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace hyssoppond {

/// A name that identifies one kind of object. The empty name means "none".
template<class tag>
class typed_name
{
public:
    typed_name() = default;
    explicit typed_name(std::string value)
        : m_value(std::move(value))
    { }

    const std::string &str() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }
    auto operator<=>(const typed_name &) const = default;

    /// Hook of absl::Hash.
    template<class hash_state>
    friend hash_state AbslHashValue(hash_state state, const typed_name &name)
    {
        return hash_state::combine(std::move(state), name.m_value);
    }

    /// Hook of cereal.
    template<class archive>
    void serialize(archive &ar)
    {
        ar(m_value);
    }

private:
    std::string m_value;
};

using team_id = typed_name<struct team_tag>;
using caller_id = typed_name<struct caller_tag>;
using contract_id = typed_name<struct contract_tag>;
using job_id = typed_name<struct job_tag>;
using request_id = typed_name<struct request_tag>; ///< chosen by the caller, unique within its team
using worker_id = typed_name<struct worker_tag>;
using runner_id = typed_name<struct runner_tag>;
using rack_id = typed_name<struct rack_tag>;
using zone_id = typed_name<struct zone_tag>;
using region_id = typed_name<struct region_tag>;
using process_id = typed_name<struct process_tag>; ///< a hyssoppond process, entry or agent

/// Start time of a process in microseconds since the epoch; a restarted process has a higher
/// number.
using incarnation_number = std::uint64_t;
/// Number of an attempt to run a job, counted from 1.
using attempt_number = std::uint32_t;
/// Number of a decider grant, counted from 1.
using epoch_number = std::uint64_t;
/// Offset of a record in the journal, counted from 1; 0 means "before all records".
using journal_offset = std::uint64_t;

} // namespace hyssoppond

template<class tag>
struct std::hash<hyssoppond::typed_name<tag>>
{
    std::size_t operator()(const hyssoppond::typed_name<tag> &name) const noexcept
    {
        return std::hash<std::string> {}(name.str());
    }
};
