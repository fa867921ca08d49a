/// @file Messages of the membership protocol and their codec.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/membership/member_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppond {

/// Maximum size of an encoded message in bytes. With the frame around it, the message fits into a
/// datagram of 1,200 bytes.
inline constexpr std::size_t MaxMembershipMessageBytes = 1050;
/// Maximum length of a name in a message, in bytes. The frame header with two such names stays
/// below 150 bytes.
inline constexpr std::size_t MaxMemberNameBytes = 40;
/// Number of buckets into which the view is divided. Their digests of 2 bytes each fit into one
/// message.
inline constexpr std::uint16_t ViewBuckets = 448;

/// Kinds of messages.
enum class membership_kind : std::uint8_t {
    Ping,          ///< answered by Ack
    Ack,           ///< answers a Ping or Notice; `target` is set if another member relays it
    PingRequest,   ///< asks the receiver to ping `target`
    Notice,        ///< carries events that the receiver acknowledges by Ack
    Gossip,        ///< carries events; not answered
    ViewDigest,    ///< carries a hash of each bucket of the view
    BucketRequest, ///< asks for the buckets in `digests` (`sequence` 0) or for all from `bucket` on
    BucketData,    ///< carries the members of buckets; `bucket` is the next one to request
};

/// Number of message kinds; received kinds are validated against it.
inline constexpr std::uint8_t MembershipKinds = 8;

/// Highest configuration version of a process and a hash of its configuration.
struct config_digest
{
    journal_offset version = 0;
    std::uint64_t hash = 0;
    bool operator==(const config_digest &) const = default;
};

/// One message of the membership protocol.
struct membership_message
{
    membership_kind kind = membership_kind::Ping;
    /// Identifies a Ping, PingRequest, Notice or BucketRequest; its answer repeats it.
    std::uint32_t sequence = 0;
    peer target; ///< Ping: incarnation expected; PingRequest and relayed Ack: the member probed
    config_digest config;
    std::uint16_t bucket = 0; ///< used by BucketRequest and BucketData
    bool announce = false; ///< the sender does not know the receiver and asks for its announcement
    std::vector<std::uint16_t> digests; ///< ViewDigest: hashes; BucketRequest: bucket numbers
    std::vector<member_event> events;
};

/// Encodes a message. The caller keeps its size within MaxMembershipMessageBytes.
std::string encode(const membership_message &message);
/// Decodes a message. Errors: UnsupportedVersion, MalformedMessage. Never throws.
result<membership_message> decodeMembership(std::string_view bytes);
/// Size of the encoded event in bytes.
std::size_t encodedBytes(const member_event &event);
/// Size of the encoded message in bytes.
std::size_t encodedBytes(const membership_message &message);

} // namespace hyssoppond
