/// @file Encoding and decoding of the gang messages.
#pragma once

#include "hyssoppond/gang/gang_message_type.h"

#include <string>
#include <string_view>

namespace hyssoppond {

/// Largest encoded message in bytes; a plan of 512 members with names of 100 bytes fits.
constexpr std::size_t MaxGangMessageBytes = 256 * 1024;

/// Encodes a message behind a version byte and the index of its type.
std::string encode(const gang_message &what);

/// Decodes a message. Errors: UnsupportedVersion, BodyTooLarge, MalformedMessage. Never throws.
result<gang_message> decodeGangMessage(std::string_view bytes);

} // namespace hyssoppond
