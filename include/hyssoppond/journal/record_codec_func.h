/// @file Encoding of batches of records as payloads of the log.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/journal/record_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace hyssoppond::journal {

/// Version byte of the payloads that this program writes.
constexpr std::uint8_t RecordVersion = 2;
/// Largest payload that the client appends or decodes.
constexpr std::size_t MaxPayloadBytes = 1024 * 1024;

/// Encodes a batch as a version byte, the xxhash of the archive, and the batch as a portable binary
/// archive.
std::string encodeBatch(const std::vector<journal_record> &batch);

/// Reverses encodeBatch. Never throws. Errors: UnsupportedVersion (written by a newer program),
/// BodyTooLarge, ChecksumMismatch, MalformedMessage.
result<std::vector<journal_record>> decodeBatch(std::string_view payload);

} // namespace hyssoppond::journal
