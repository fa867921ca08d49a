/// @file Codec of frames: version byte, checksum, then cereal's portable binary archive.
#include "hyssoppond/transport/frame_type.h"

#include <cereal/archives/portable_binary.hpp>
#include <xxhash.h>

#include <cstring>
#include <sstream>
#include <stdexcept>

namespace hyssoppond {
namespace {

constexpr char Version = 1;
constexpr std::size_t ChecksumBytes = 8;
constexpr std::size_t HeaderBytes = 1 + ChecksumBytes;

using writer = cereal::PortableBinaryOutputArchive;
using reader = cereal::PortableBinaryInputArchive;

/// Checksum in big-endian order, the same on all machines.
XXH64_canonical_t checksumOf(std::string_view body)
{
    XXH64_canonical_t canonical;
    XXH64_canonicalFromHash(&canonical, XXH64(body.data(), body.size(), 0));
    return canonical;
}

// Lengths take 4 bytes instead of cereal's 8, and are checked before memory is allocated.
void putText(writer &ar, const std::string &text)
{
    ar(static_cast<std::uint32_t>(text.size()),
       cereal::binary_data(const_cast<char *>(text.data()), text.size()));
}

std::string getText(reader &ar, std::size_t limit)
{
    std::uint32_t size = 0;
    ar(size);
    if (size > limit)
        throw std::runtime_error("length beyond the end of the frame");
    std::string text(size, '\0');
    ar(cereal::binary_data(text.data(), size));
    return text;
}

frame getFrame(reader &ar, std::size_t limit)
{
    frame what;
    std::uint8_t kind = 0;
    std::uint8_t channelNumber = 0;
    ar(kind, channelNumber, what.senderIncarnation, what.addresseeIncarnation,
       what.senderAddress.port);
    if (kind > static_cast<std::uint8_t>(frame_kind::ProbeAnswer) || channelNumber >= ChannelCount)
        throw std::runtime_error("unknown kind or channel");
    what.kind = static_cast<frame_kind>(kind);
    what.via = static_cast<channel>(channelNumber);
    what.sender = process_id(getText(ar, limit));
    what.senderAddress.host = getText(ar, limit);
    what.addressee = process_id(getText(ar, limit));
    what.payload = getText(ar, limit);
    return what;
}

} // namespace

std::string encode(const frame &what)
{
    std::ostringstream out;
    {
        writer ar(out);
        ar(static_cast<std::uint8_t>(what.kind), static_cast<std::uint8_t>(what.via),
           what.senderIncarnation, what.addresseeIncarnation, what.senderAddress.port);
        putText(ar, what.sender.str());
        putText(ar, what.senderAddress.host);
        putText(ar, what.addressee.str());
        putText(ar, what.payload);
    }
    const std::string body = std::move(out).str();
    const XXH64_canonical_t checksum = checksumOf(body);
    std::string bytes(1, Version);
    bytes.append(reinterpret_cast<const char *>(checksum.digest), ChecksumBytes);
    return bytes + body;
}

result<frame> decodeFrame(std::string_view bytes, std::size_t maxBytes)
{
    if (bytes.size() < HeaderBytes || bytes.size() > maxBytes)
        return fail(reason::MalformedMessage, "frame is too short or longer than the limit");
    if (bytes[0] != Version)
        return fail(reason::UnsupportedVersion,
                    "frame has an unknown version; update the older process");
    const std::string_view body = bytes.substr(HeaderBytes);
    const XXH64_canonical_t checksum = checksumOf(body);
    if (std::memcmp(checksum.digest, bytes.data() + 1, ChecksumBytes) != 0)
        return fail(reason::ChecksumMismatch, "frame was damaged on its way");
    try {
        std::istringstream in {std::string(body)};
        reader ar(in);
        frame what = getFrame(ar, body.size());
        if (in.peek() != std::istringstream::traits_type::eof())
            return fail(reason::MalformedMessage, "frame is followed by further bytes");
        return what;
    } catch (const std::exception &problem) {
        return fail(reason::MalformedMessage, std::string("frame is malformed: ") + problem.what());
    }
}

} // namespace hyssoppond
