/// @file Tokens that admit one call to one incarnation of one agent.
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

/// Text form with a hash keyed by `secret`: "v1.AGENT.INCARNATION.TEAM.NONCE.MICROS.HASH", with the
/// two names in hexadecimal. The keyed hash guards against forgery by mistake, such as a token of
/// an earlier incarnation; it is no cryptographic signature.
std::string issueToken(const call_token &what, std::uint64_t secret);
/// Reads a token without checking its hash. Error: InvalidArgument.
result<call_token> readToken(std::string_view text);
/// Reads a token and checks its hash. Error: InvalidArgument.
result<call_token> verifyToken(std::string_view text, std::uint64_t secret);

} // namespace hyssoppond
