/// @file Frames exchanged between the processes of the scheduler, and their codec.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/base/id_type.h"
#include "hyssoppond/base/name_table_type.h"
#include "hyssoppond/world/machine_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hyssoppond {

/// Protocol that a frame belongs to.
enum class channel : std::uint8_t { Gang, Call, Membership, Config };

inline constexpr std::size_t ChannelCount = 4;
inline constexpr name_table<channel, ChannelCount> ChannelNames {
    {"gang", "call", "membership", "config"}};

/// Purpose of a frame. The transport itself handles probes and their answers.
enum class frame_kind : std::uint8_t { Data, Probe, ProbeAnswer };

/// One message between two processes.
struct frame
{
    process_id sender;
    incarnation_number senderIncarnation = 0;
    address senderAddress;
    process_id addressee;                        ///< empty: any process that listens at the address
    incarnation_number addresseeIncarnation = 0; ///< 0: any incarnation
    channel protocol = channel::Gang;
    std::string payload;
    frame_kind kind = frame_kind::Data;
};

/// Maximum size of a datagram in bytes. It stays below common path MTUs, so that datagrams are
/// never fragmented.
inline constexpr std::size_t MaxDatagramBytes = 1200;

/// Encodes a frame with version byte and checksum.
std::string encode(const frame &message);
/// Decodes a frame of at most `maxBytes` bytes. Errors: MalformedMessage, UnsupportedVersion,
/// ChecksumMismatch. Never throws.
result<frame> decodeFrame(std::string_view bytes, std::size_t maxBytes);

} // namespace hyssoppond
