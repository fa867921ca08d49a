/// @file Encoding and decoding of the gang messages.
#pragma once

#include "hyssoppond/gang/gang_message_type.h"

#include <string>
#include <string_view>

namespace hyssoppond {

/// Maximum size of an encoded message in bytes. A plan of 512 members with names of 100 bytes each
/// fits.
constexpr std::size_t MaxGangMessageBytes = 256 * 1024;

/// Encodes a message: a format version byte, the index of the message type in gang_message as one
/// byte, and the fields in cereal's portable binary format.
std::string encode(const gang_message &message);

/// Decodes a message from an untrusted sender. Errors: UnsupportedVersion, BodyTooLarge,
/// MalformedMessage. Never throws.
result<gang_message> decodeGangMessage(std::string_view bytes);

} // namespace hyssoppond
