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

/// Checksum in big-endian byte order, so that it is the same on all machines.
XXH64_canonical_t checksumOf(std::string_view body)
{
    XXH64_canonical_t canonical;
    XXH64_canonicalFromHash(&canonical, XXH64(body.data(), body.size(), 0));
    return canonical;
}

// A length takes 4 bytes instead of cereal's 8. getText() checks it before memory is allocated.
void putText(writer &archive, const std::string &text)
{
    archive(static_cast<std::uint32_t>(text.size()),
            cereal::binary_data(const_cast<char *>(text.data()), text.size()));
}

std::string getText(reader &archive, std::size_t limit)
{
    std::uint32_t size = 0;
    archive(size);
    if (size > limit)
        throw std::runtime_error("length beyond the end of the frame");
    std::string text(size, '\0');
    archive(cereal::binary_data(text.data(), size));
    return text;
}

frame getFrame(reader &archive, std::size_t limit)
{
    frame message;
    std::uint8_t kind = 0;
    std::uint8_t channelNumber = 0;
    archive(kind, channelNumber, message.senderIncarnation, message.addresseeIncarnation,
            message.senderAddress.port);
    if (kind > static_cast<std::uint8_t>(frame_kind::ProbeAnswer) || channelNumber >= ChannelCount)
        throw std::runtime_error("unknown kind or channel");
    message.kind = static_cast<frame_kind>(kind);
    message.protocol = static_cast<channel>(channelNumber);
    message.sender = process_id(getText(archive, limit));
    message.senderAddress.host = getText(archive, limit);
    message.addressee = process_id(getText(archive, limit));
    message.payload = getText(archive, limit);
    return message;
}

} // namespace

std::string encode(const frame &message)
{
    std::ostringstream out;
    {
        writer archive(out);
        archive(static_cast<std::uint8_t>(message.kind),
                static_cast<std::uint8_t>(message.protocol), message.senderIncarnation,
                message.addresseeIncarnation, message.senderAddress.port);
        putText(archive, message.sender.str());
        putText(archive, message.senderAddress.host);
        putText(archive, message.addressee.str());
        putText(archive, message.payload);
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
        return fail(reason::ChecksumMismatch,
                    "frame checksum does not match; the frame was damaged in transit");
    try {
        std::istringstream in {std::string(body)};
        reader archive(in);
        frame message = getFrame(archive, body.size());
        if (in.peek() != std::istringstream::traits_type::eof())
            return fail(reason::MalformedMessage, "frame has trailing bytes");
        return message;
    } catch (const std::exception &error) {
        return fail(reason::MalformedMessage, std::string("frame is malformed: ") + error.what());
    }
}

} // namespace hyssoppond
