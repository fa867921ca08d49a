/// @file Messages between the entry and the agent of a call, and their binary form.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/base/id_type.h"
#include "hyssoppond/base/time_serialize_func.h"
#include "hyssoppond/world/job_type.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace hyssoppond {

constexpr std::size_t MaxCallPayloadBytes = std::size_t {4} << 20; ///< of a request or an answer
constexpr std::size_t MaxCallNameBytes = 1024; ///< of an id, reason text or token

/// Identifies a call: request ids are unique within their team only.
struct call_id
{
    team_id team;
    request_id request;

    auto operator<=>(const call_id &) const = default;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(team, request);
    }
};

/// Identifies one attempt of a call. An incarnation of an entry never uses a number twice.
struct call_attempt
{
    call_id id;
    process_id entry;
    incarnation_number entryIncarnation = 0;
    std::uint64_t number = 0;

    auto operator<=>(const call_attempt &) const = default;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(id, entry, entryIncarnation, number);
    }
};

/// Entry to agent: run this call.
struct call_request
{
    call_attempt attempt;
    incarnation_number agentIncarnation = 0; ///< the only incarnation that may run it
    caller_id caller;
    urgency level = urgency::Normal;
    bool repeatable = false;
    absl::Time deadline; ///< the call does not start at or after this time
    std::string token;   ///< empty: the call is identified by its request id
    std::string payload;
    std::uint64_t checksum = 0; ///< of the payload

    template<class archive>
    void serialize(archive &ar)
    {
        ar(attempt, agentIncarnation, caller, level, repeatable, deadline, token, payload,
           checksum);
    }
};

/// Agent to entry: the runner's answer.
struct call_response
{
    call_attempt attempt;
    incarnation_number agentIncarnation = 0;
    bool succeeded = false; ///< false: the runner failed the call; the payload is its message
    bool waited = false;    ///< the call waited for a slot
    execution state = execution::Ran; ///< whether a failed call ran
    std::uint64_t length = 0;         ///< of the payload, in bytes
    std::uint64_t checksum = 0;       ///< of the payload
    std::string payload;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(attempt, agentIncarnation, succeeded, waited, state, length, checksum, payload);
    }
};

/// Agent to entry: this attempt was not admitted and will not be admitted.
struct call_refused
{
    call_attempt attempt;
    incarnation_number agentIncarnation = 0;
    reason why = reason::Internal;
    bool notRun = false; ///< certain that this attempt did not run and will not run
    absl::Time retryAt;  ///< earliest time of a retry

    template<class archive>
    void serialize(archive &ar)
    {
        ar(attempt, agentIncarnation, why, notRun, retryAt);
    }
};

/// Entry to agent: never run this call from now on.
struct call_fence
{
    call_attempt attempt;
    incarnation_number agentIncarnation = 0;
    bool repeatable = false; ///< true: only the attempt is fenced; false: the request id or token
    std::string token;
    absl::Time deadline; ///< no request for this call has a later deadline

    template<class archive>
    void serialize(archive &ar)
    {
        ar(attempt, agentIncarnation, repeatable, token, deadline);
    }
};

/// State of a call on an agent.
enum class call_state : std::uint8_t { Unknown, Running, Ended, Fenced };

inline constexpr name_table<call_state, 4> CallStateNames {
    {"Unknown", "Running", "Ended", "Fenced"}};

/// Agent to entry: state of the call. Answers call_fence, and call_query if no outcome is stored.
struct call_fenced
{
    call_attempt attempt;
    incarnation_number agentIncarnation = 0;
    call_state state = call_state::Unknown; ///< Fenced: the call did not run and never will

    template<class archive>
    void serialize(archive &ar)
    {
        ar(attempt, agentIncarnation, state);
    }
};

/// Entry to agent: query for the state of this attempt. Answered by call_response, call_refused or
/// call_fenced.
struct call_query
{
    call_attempt attempt;
    incarnation_number agentIncarnation = 0;
    bool repeatable = false;
    std::string token;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(attempt, agentIncarnation, repeatable, token);
    }
};

/// Entry to agent: issue a token for one call.
struct call_reserve
{
    call_attempt attempt; ///< the request names the reservation, not the later call
    absl::Time deadline;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(attempt, deadline);
    }
};

/// Agent to entry: the issued token.
struct call_reserved
{
    call_attempt attempt;
    std::string token;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(attempt, token);
    }
};

using call_message = std::variant<call_request, call_response, call_refused, call_fence,
                                  call_fenced, call_query, call_reserve, call_reserved>;

/// Checksum (XXH3, 64 bits) of a payload.
std::uint64_t callChecksum(std::string_view payload);
/// Binary form of a message: version byte, kind byte, cereal portable binary.
std::string encode(const call_message &callMessage);
/// Decodes a message. Errors: UnsupportedVersion, BodyTooLarge, MalformedMessage.
result<call_message> decodeCall(std::string_view bytes);

} // namespace hyssoppond
