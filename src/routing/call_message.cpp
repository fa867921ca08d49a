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
constexpr std::size_t HeaderBytes = 2; // version and kind
constexpr std::size_t MaxMessage = MaxCallPayload + 16 * MaxCallName;

bool isShort(const std::string &name)
{
    return name.size() <= MaxCallName;
}

bool hasValidAttempt(const call_attempt &attempt)
{
    return isShort(attempt.id.team.str()) && isShort(attempt.id.request.str())
        && isShort(attempt.entry.str());
}

bool isValid(const call_request &what)
{
    return what.level <= urgency::Urgent && what.payload.size() <= MaxCallPayload
        && isShort(what.token) && isShort(what.caller.str());
}
bool isValid(const call_response &what)
{
    return what.state <= execution::Ran && what.payload.size() <= MaxCallPayload;
}
bool isValid(const call_refused &what)
{
    return what.why <= reason::Internal;
}
bool isValid(const call_fenced &what)
{
    return what.state <= call_state::Fenced;
}
bool isValid(const call_reserved &what)
{
    return isShort(what.token);
}
bool isValid(const call_fence &what)
{
    return isShort(what.token);
}
bool isValid(const call_query &what)
{
    return isShort(what.token);
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
    message what;
    try {
        bounded_input_archive archive(bytes);
        archive(what);
        if (archive.remaining() != 0)
            return malformed();
    } catch (const cereal::Exception &) {
        return malformed();
    }
    if (!hasValidAttempt(what.attempt) || !isValid(what))
        return malformed();
    return call_message(std::move(what));
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

std::string encode(const call_message &what)
{
    std::ostringstream stream;
    stream.put(Version);
    stream.put(static_cast<char>(what.index()));
    cereal::PortableBinaryOutputArchive archive(stream);
    std::visit([&archive](const auto &message) { archive(message); }, what);
    return std::move(stream).str();
}

result<call_message> decodeCall(std::string_view bytes)
{
    if (bytes.size() < HeaderBytes)
        return malformed();
    if (bytes[0] != Version) {
        return fail(reason::UnsupportedVersion,
                    absl::StrFormat("call message of version %d; this process reads version %d",
                                    static_cast<unsigned char>(bytes[0]), Version));
    }
    if (bytes.size() > MaxMessage) {
        return fail(reason::BodyTooLarge,
                    absl::StrFormat("call message of %d bytes; at most %d are accepted",
                                    bytes.size(), MaxMessage));
    }
    return decodeKind(static_cast<unsigned char>(bytes[1]), bytes.substr(HeaderBytes),
                      std::make_index_sequence<std::variant_size_v<call_message>> {});
}

} // namespace hyssoppond
