/// @file Codec of membership messages: cereal's portable binary archive behind a version byte.
#include "hyssoppond/membership/membership_message_type.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>
#include <stdexcept>

namespace hyssoppond {
namespace {

constexpr char Version = 1;
// Bytes of a message without names, digests and events: version byte, the archive's byte order,
// kind, sequence, bucket, announce, two counts, configuration digest, and the target's incarnation,
// port and two name lengths.
constexpr std::size_t FixedMessageBytes = 1 + 1 + 1 + 4 + 2 + 1 + 2 + 2 + 16 + 8 + 2 + 2;
// Bytes of an event without names: flags, incarnation, counter and the length of the process name.
constexpr std::size_t FixedEventBytes = 1 + 8 + 4 + 1;
// Bytes of an announcement without names: role, port, accelerators, cores, memory, slots,
// connections and six name lengths.
constexpr std::size_t FixedAnnouncementBytes = 1 + 2 + 4 + 4 + 8 + 4 + 4 + 6;

using writer = cereal::PortableBinaryOutputArchive;
using reader = cereal::PortableBinaryInputArchive;

/// Throws if a decoded field is invalid; decodeMembership() turns it into MalformedMessage.
void require(bool condition)
{
    if (!condition)
        throw std::runtime_error("field outside of its range");
}

/// Writes a name. Its length takes one byte instead of cereal's eight, because packets are small.
void put(writer &archive, const std::string &text)
{
    const auto length = static_cast<std::uint8_t>(std::min(text.size(), MaxMemberNameBytes));
    archive(length, cereal::binary_data(const_cast<char *>(text.data()), length));
}

template<class tag>
void put(writer &archive, const typed_name<tag> &name)
{
    put(archive, name.str());
}

std::string getText(reader &archive)
{
    std::uint8_t length = 0;
    archive(length);
    require(length <= MaxMemberNameBytes);
    std::string text(length, '\0');
    archive(cereal::binary_data(text.data(), length));
    return text;
}

template<class tag>
void get(reader &archive, typed_name<tag> &name)
{
    name = typed_name<tag>(getText(archive));
}

void put(writer &archive, const member_announcement &announced)
{
    const endpoint &self = announced.self;
    put(archive, self.control.host);
    put(archive, self.zone);
    put(archive, self.servedWorker.id);
    put(archive, self.servedWorker.rack);
    put(archive, self.servedRunner.id);
    put(archive, self.servedWorker.zone);
    archive(static_cast<std::uint8_t>(announced.role), self.control.port,
            self.servedWorker.accelerators, self.servedWorker.cores, self.servedWorker.memoryBytes,
            self.servedRunner.slots, self.servedRunner.connections);
}

announcement_pointer getAnnouncement(reader &archive, const member_event &owner)
{
    auto announced = std::make_shared<member_announcement>();
    endpoint &self = announced->self;
    self.agent = owner.process;
    self.incarnation = owner.incarnation;
    self.control.host = getText(archive);
    get(archive, self.zone);
    get(archive, self.servedWorker.id);
    get(archive, self.servedWorker.rack);
    get(archive, self.servedRunner.id);
    get(archive, self.servedWorker.zone);
    std::uint8_t role = 0;
    archive(role, self.control.port, self.servedWorker.accelerators, self.servedWorker.cores,
            self.servedWorker.memoryBytes, self.servedRunner.slots, self.servedRunner.connections);
    require(role <= static_cast<std::uint8_t>(process_role::Agent));
    announced->role = static_cast<process_role>(role);
    if (!self.servedWorker.id.isEmpty())
        self.servedWorker.agent = owner.process;
    if (!self.servedRunner.id.isEmpty()) {
        self.servedRunner.agent = owner.process;
        self.servedRunner.zone = self.zone;
    }
    return announced;
}

void put(writer &archive, const member_event &memberEvent)
{
    // Bits 0 and 1: liveness; bit 2: leaving; bit 3: an announcement follows.
    const auto flags = static_cast<std::uint8_t>(static_cast<unsigned>(memberEvent.state)
                                                 | (memberEvent.leaving ? 4U : 0U)
                                                 | (memberEvent.announcement ? 8U : 0U));
    archive(flags, memberEvent.incarnation, memberEvent.counter);
    put(archive, memberEvent.process);
    if (memberEvent.announcement)
        put(archive, *memberEvent.announcement);
}

member_event getEvent(reader &archive)
{
    member_event memberEvent;
    std::uint8_t flags = 0;
    archive(flags, memberEvent.incarnation, memberEvent.counter);
    require(flags < 16 && (flags & 3U) <= static_cast<unsigned>(liveness::Dead));
    get(archive, memberEvent.process);
    require(!memberEvent.process.isEmpty());
    memberEvent.state = static_cast<liveness>(flags & 3U);
    memberEvent.leaving = (flags & 4U) != 0;
    if ((flags & 8U) != 0)
        memberEvent.announcement = getAnnouncement(archive, memberEvent);
    return memberEvent;
}

membership_message getMessage(reader &archive)
{
    membership_message message;
    std::uint8_t kind = 0;
    std::uint8_t announce = 0;
    std::uint16_t digests = 0;
    std::uint16_t events = 0;
    archive(kind, message.sequence, message.bucket, announce, digests, events,
            message.config.version, message.config.hash, message.target.incarnation,
            message.target.where.port);
    require(kind < MembershipKinds && announce <= 1 && message.bucket <= ViewBuckets);
    require(digests <= ViewBuckets);
    require(kind != static_cast<std::uint8_t>(membership_kind::ViewDigest)
            || digests == ViewBuckets);
    get(archive, message.target.process);
    message.target.where.host = getText(archive);
    message.kind = static_cast<membership_kind>(kind);
    message.announce = announce != 0;
    message.digests.resize(digests);
    for (std::uint16_t &digest : message.digests) {
        archive(digest);
        require(message.kind != membership_kind::BucketRequest || digest < ViewBuckets);
    }
    for (std::uint16_t i = 0; i < events; ++i)
        message.events.push_back(getEvent(archive));
    return message;
}

} // namespace

std::string encode(const membership_message &message)
{
    std::ostringstream out;
    out.put(Version);
    {
        writer archive(out);
        archive(static_cast<std::uint8_t>(message.kind), message.sequence, message.bucket,
                static_cast<std::uint8_t>(message.announce ? 1 : 0),
                static_cast<std::uint16_t>(message.digests.size()),
                static_cast<std::uint16_t>(message.events.size()), message.config.version,
                message.config.hash, message.target.incarnation, message.target.where.port);
        put(archive, message.target.process);
        put(archive, message.target.where.host);
        for (const std::uint16_t digest : message.digests)
            archive(digest);
        for (const member_event &event : message.events)
            put(archive, event);
    }
    return std::move(out).str();
}

result<membership_message> decodeMembership(std::string_view bytes)
{
    if (bytes.empty() || bytes.size() > MaxMembershipMessageBytes)
        return fail(reason::MalformedMessage, "membership message is empty or too long");
    if (bytes[0] != Version)
        return fail(reason::UnsupportedVersion,
                    "membership message has an unknown version; update the older process");
    try {
        std::istringstream in {std::string(bytes.substr(1))};
        reader archive(in);
        membership_message message = getMessage(archive);
        require(in.peek() == std::istringstream::traits_type::eof());
        return message;
    } catch (const std::exception &error) {
        return fail(reason::MalformedMessage,
                    std::string("membership message is malformed: ") + error.what());
    }
}

std::size_t encodedBytes(const member_event &memberEvent)
{
    std::size_t bytes = FixedEventBytes + memberEvent.process.str().size();
    if (memberEvent.announcement) {
        const endpoint &self = memberEvent.announcement->self;
        bytes += FixedAnnouncementBytes + self.control.host.size() + self.zone.str().size()
            + self.servedWorker.id.str().size() + self.servedWorker.rack.str().size()
            + self.servedRunner.id.str().size() + self.servedWorker.zone.str().size();
    }
    return bytes;
}

std::size_t encodedBytes(const membership_message &message)
{
    std::size_t bytes = FixedMessageBytes + message.target.process.str().size()
        + message.target.where.host.size() + 2 * message.digests.size();
    for (const member_event &event : message.events)
        bytes += encodedBytes(event);
    return bytes;
}

} // namespace hyssoppond
