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

/// Limit of an encoded message, so that it fits with its frame into a datagram of 1,200 bytes.
inline constexpr std::size_t MaxMembershipMessageBytes = 1050;
/// Longest name in a message. A frame with two such names stays below 150 bytes.
inline constexpr std::size_t MaxMemberNameBytes = 40;
/// Buckets into which the view is divided; 2 bytes for each fit into one message.
inline constexpr std::uint16_t ViewBuckets = 448;

/// Kinds of messages.
enum class membership_kind : std::uint8_t {
    Ping,          ///< answered by Ack
    Ack,           ///< `target` is set if another member relays it
    PingRequest,   ///< asks the receiver to ping `target`
    Notice,        ///< events that the receiver acknowledges by Ack
    Gossip,        ///< events without an answer
    ViewDigest,    ///< a hash for each bucket of the view
    BucketRequest, ///< `sequence` 0: asks for the buckets in `digests`; else all from `bucket` on
    BucketData,    ///< members of buckets; `bucket` is the next one to ask for
};

/// Number of kinds, for checks of input.
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
    std::uint32_t sequence = 0; ///< of the Ping, PingRequest or Notice; repeated in the Ack
    peer target;                ///< Ping: the incarnation that is meant; PingRequest, relayed Ack
    config_digest config;
    std::uint16_t bucket = 0;
    bool announce = false; ///< the sender does not know the receiver and asks for its announcement
    std::vector<std::uint16_t> digests;
    std::vector<member_event> events;
};

/// Encodes a message. Events that would exceed MaxMembershipMessageBytes must not be in it.
std::string encode(const membership_message &what);
/// Decodes a message; errors: UnsupportedVersion, MalformedMessage. Never throws.
result<membership_message> decodeMembership(std::string_view bytes);
/// Size of the encoded event in bytes.
std::size_t encodedBytes(const member_event &what);
/// Size of the encoded message in bytes.
std::size_t encodedBytes(const membership_message &what);

} // namespace hyssoppond
