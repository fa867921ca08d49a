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
constexpr std::size_t MaxPayloadBytes = 1024 * 1024;

/// Version byte, xxhash of the rest, then the batch as a portable binary archive.
std::string encodeBatch(const std::vector<journal_record> &batch);

/// Never throws. Errors: UnsupportedVersion (written by a newer program), BodyTooLarge,
/// ChecksumMismatch, MalformedMessage.
result<std::vector<journal_record>> decodeBatch(std::string_view payload);

} // namespace hyssoppond::journal
