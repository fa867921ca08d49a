/// @file Tokens, each of which admits one call to one incarnation of one agent.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/base/id_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace hyssoppond {

/// Content of a token.
struct call_token
{
    process_id agent;
    incarnation_number incarnation = 0;
    team_id team;
    std::uint64_t nonce = 0;
    absl::Time deadline; ///< the call does not run at or after this time
};

/// Text form with a hash keyed by `secret`: "v1.AGENT.INCARNATION.TEAM.NONCE.MICROS.HASH". AGENT
/// and TEAM are in hexadecimal; MICROS is the deadline in microseconds since the epoch. The keyed
/// hash rejects tokens that are wrong by mistake, such as those of an earlier incarnation; it is
/// not a cryptographic signature.
std::string issueToken(const call_token &token, std::uint64_t secret);
/// Reads a token without checking its hash. Error: InvalidArgument.
result<call_token> readToken(std::string_view text);
/// Reads a token and checks its hash. Error: InvalidArgument.
result<call_token> verifyToken(std::string_view text, std::uint64_t secret);

} // namespace hyssoppond
