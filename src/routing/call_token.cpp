/// @file Issuing, reading and verifying of call tokens.
#include "hyssoppond/routing/call_token_func.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <xxhash.h>

#include <vector>

namespace hyssoppond {
namespace {

constexpr std::size_t FieldCount = 7; // including the version and the hash

std::string hashOf(const std::string &body, std::uint64_t secret)
{
    return absl::StrFormat("%016x", XXH3_64bits_withSeed(body.data(), body.size(), secret));
}

tl::unexpected<error> invalid()
{
    return fail(reason::InvalidArgument,
                "the token is not valid; obtain a new one with Calls/Reserve");
}

} // namespace

std::string issueToken(const call_token &token, std::uint64_t secret)
{
    const std::string body = absl::StrFormat(
        "v1.%s.%d.%s.%d.%d", absl::BytesToHexString(token.agent.str()), token.incarnation,
        absl::BytesToHexString(token.team.str()), token.nonce, absl::ToUnixMicros(token.deadline));
    return body + "." + hashOf(body, secret);
}

result<call_token> readToken(std::string_view text)
{
    const std::vector<std::string> parts = absl::StrSplit(std::string(text), '.');
    call_token token;
    std::int64_t micros = 0;
    if (parts.size() != FieldCount || parts[0] != "v1"
        || !absl::SimpleAtoi(parts[2], &token.incarnation)
        || !absl::SimpleAtoi(parts[4], &token.nonce) || !absl::SimpleAtoi(parts[5], &micros))
        return invalid();
    const auto isHex = [](const std::string &name) {
        return name.size() % 2 == 0
            && name.find_first_not_of("0123456789abcdef") == std::string::npos;
    };
    if (!isHex(parts[1]) || !isHex(parts[3]))
        return invalid();
    token.agent = process_id(absl::HexStringToBytes(parts[1]));
    token.team = team_id(absl::HexStringToBytes(parts[3]));
    token.deadline = absl::FromUnixMicros(micros);
    return token;
}

result<call_token> verifyToken(std::string_view text, std::uint64_t secret)
{
    const std::size_t end = text.rfind('.');
    if (end == std::string_view::npos
        || hashOf(std::string(text.substr(0, end)), secret) != text.substr(end + 1))
        return invalid();
    return readToken(text);
}

} // namespace hyssoppond
