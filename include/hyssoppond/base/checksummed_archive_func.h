/// @file Encoding of a value as a version byte, a checksum and an archive of cereal.
#pragma once

#include "hyssoppond/base/bounded_archive_base.h"
#include "hyssoppond/base/error_type.h"

#include <cereal/archives/portable_binary.hpp>
#include <xxhash.h>

#include <cstring>
#include <exception>
#include <sstream>
#include <string>
#include <string_view>

namespace hyssoppond {

/// Bytes of the version and the checksum before the archive.
constexpr std::size_t ChecksumHeaderBytes = 1 + sizeof(std::uint64_t);

/// Encodes `value` as the byte `version`, the XXH64 checksum of the archive (with `version` as its
/// seed) and the archive.
template<class content>
std::string encodeChecksummed(std::uint8_t version, const content &value)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(value);
    }
    const std::string body = std::move(out).str();
    const std::uint64_t checksum = XXH64(body.data(), body.size(), version);
    std::string encoded(ChecksumHeaderBytes, '\0');
    encoded[0] = static_cast<char>(version);
    std::memcpy(encoded.data() + 1, &checksum, sizeof checksum);
    return encoded + body;
}

/// Decodes what encodeChecksummed() returned. Errors: BodyTooLarge (above `maxBytes`),
/// UnsupportedVersion, ChecksumMismatch, MalformedMessage.
template<class content>
result<content> decodeChecksummed(std::uint8_t version, std::string_view encoded,
                                  std::size_t maxBytes)
{
    if (encoded.size() > maxBytes)
        return fail(reason::BodyTooLarge, "the payload exceeds the size limit; send smaller parts");
    if (encoded.size() <= ChecksumHeaderBytes)
        return fail(reason::MalformedMessage, "the payload is truncated; send it again");
    if (static_cast<std::uint8_t>(encoded[0]) != version)
        return fail(reason::UnsupportedVersion,
                    "the payload has an unsupported version; update this program");
    std::uint64_t checksum = 0;
    std::memcpy(&checksum, encoded.data() + 1, sizeof checksum);
    const std::string_view body = encoded.substr(ChecksumHeaderBytes);
    if (checksum != XXH64(body.data(), body.size(), version))
        return fail(reason::ChecksumMismatch,
                    "the checksum of the payload does not match; send it again");
    try {
        content value;
        bounded_input_archive archive(body);
        archive(value);
        if (archive.remaining() != 0)
            return fail(reason::MalformedMessage, "the payload has trailing bytes; send it again");
        return value;
    } catch (const std::exception &problem) {
        return fail(reason::MalformedMessage, problem.what());
    }
}

} // namespace hyssoppond
