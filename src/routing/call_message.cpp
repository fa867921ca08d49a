/// @file Encoding of call messages.
#include "hyssoppond/routing/call_message_type.h"

#include "hyssoppond/base/bounded_archive_base.h"

#include <absl/strings/str_format.h>
#include <cereal/archives/portable_binary.hpp>
#include <xxhash.h>

#include <sstream>
#include <utility>

namespace hyssoppond {
namespace {

constexpr char Version = 1;
constexpr std::size_t HeaderBytes = 2; // version byte and kind byte
constexpr std::size_t MaxMessageBytes = MaxCallPayloadBytes + 16 * MaxCallNameBytes;

bool isShort(const std::string &name)
{
    return name.size() <= MaxCallNameBytes;
}

bool hasValidAttempt(const call_attempt &attempt)
{
    return isShort(attempt.id.team.str()) && isShort(attempt.id.request.str())
        && isShort(attempt.entry.str());
}

bool isValid(const call_request &request)
{
    return request.level <= urgency::Urgent && request.payload.size() <= MaxCallPayloadBytes
        && isShort(request.token) && isShort(request.caller.str());
}
bool isValid(const call_response &response)
{
    return response.state <= execution::Ran && response.payload.size() <= MaxCallPayloadBytes;
}
bool isValid(const call_refused &refusal)
{
    return refusal.why <= reason::Internal;
}
bool isValid(const call_fenced &answer)
{
    return answer.state <= call_state::Fenced;
}
bool isValid(const call_reserved &reserved)
{
    return isShort(reserved.token);
}
bool isValid(const call_fence &fence)
{
    return isShort(fence.token);
}
bool isValid(const call_query &query)
{
    return isShort(query.token);
}
bool isValid(const call_reserve &)
{
    return true;
}

result<call_message> malformed()
{
    return fail(reason::MalformedMessage, "the call message is damaged; it was dropped");
}

template<class message>
result<call_message> decodeAs(std::string_view bytes)
{
    message decoded;
    try {
        bounded_input_archive archive(bytes);
        archive(decoded);
        if (archive.remaining() != 0)
            return malformed();
    } catch (const cereal::Exception &) {
        return malformed();
    }
    if (!hasValidAttempt(decoded.attempt) || !isValid(decoded))
        return malformed();
    return call_message(std::move(decoded));
}

template<std::size_t... kinds>
result<call_message> decodeKind(std::size_t kind, std::string_view bytes,
                                std::index_sequence<kinds...>)
{
    using decoder = result<call_message> (*)(std::string_view);
    static constexpr decoder Decoders[]
        = {&decodeAs<std::variant_alternative_t<kinds, call_message>>...};
    return kind < sizeof...(kinds) ? Decoders[kind](bytes) : malformed();
}

} // namespace

std::uint64_t callChecksum(std::string_view payload)
{
    return XXH3_64bits(payload.data(), payload.size());
}

std::string encode(const call_message &callMessage)
{
    std::ostringstream stream;
    stream.put(Version);
    stream.put(static_cast<char>(callMessage.index()));
    cereal::PortableBinaryOutputArchive archive(stream);
    std::visit([&archive](const auto &message) { archive(message); }, callMessage);
    return std::move(stream).str();
}

result<call_message> decodeCall(std::string_view bytes)
{
    if (bytes.size() < HeaderBytes)
        return malformed();
    if (bytes[0] != Version) {
        return fail(
            reason::UnsupportedVersion,
            absl::StrFormat(
                "call message has format version %d, but this process reads version %d; run "
                "the same release on both sides",
                static_cast<unsigned char>(bytes[0]), Version));
    }
    if (bytes.size() > MaxMessageBytes) {
        return fail(
            reason::BodyTooLarge,
            absl::StrFormat(
                "call message has %d bytes, but at most %d are accepted; shorten its payload",
                bytes.size(), MaxMessageBytes));
    }
    return decodeKind(static_cast<unsigned char>(bytes[1]), bytes.substr(HeaderBytes),
                      std::make_index_sequence<std::variant_size_v<call_message>> {});
}

} // namespace hyssoppond
