/// @file Codec of membership messages: cereal's portable binary archive behind a version byte.
#include "hyssoppond/membership/membership_message_type.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>
#include <stdexcept>

namespace hyssoppond {
namespace {

constexpr char Version = 1;
// Version byte, the archive's byte order, kind, sequence, bucket, announce, two counts, digest and
// the target's incarnation, port and two name lengths.
constexpr std::size_t FixedMessageBytes = 1 + 1 + 1 + 4 + 2 + 1 + 2 + 2 + 16 + 8 + 2 + 2;
// Flags, incarnation, counter and the length of the name.
constexpr std::size_t FixedEventBytes = 1 + 8 + 4 + 1;
// Role, port, accelerators, cores, memory, slots, connections and six name lengths.
constexpr std::size_t FixedAnnouncementBytes = 1 + 2 + 4 + 4 + 8 + 4 + 4 + 6;

using writer = cereal::PortableBinaryOutputArchive;
using reader = cereal::PortableBinaryInputArchive;

void require(bool condition)
{
    if (!condition)
        throw std::runtime_error("field outside of its range");
}

/// Names take a length of one byte instead of cereal's eight, because packets are small.
void put(writer &ar, const std::string &text)
{
    const auto length = static_cast<std::uint8_t>(std::min(text.size(), MaxMemberNameBytes));
    ar(length, cereal::binary_data(const_cast<char *>(text.data()), length));
}

template<class tag>
void put(writer &ar, const typed_name<tag> &name)
{
    put(ar, name.str());
}

std::string getText(reader &ar)
{
    std::uint8_t length = 0;
    ar(length);
    require(length <= MaxMemberNameBytes);
    std::string text(length, '\0');
    ar(cereal::binary_data(text.data(), length));
    return text;
}

template<class tag>
void get(reader &ar, typed_name<tag> &name)
{
    name = typed_name<tag>(getText(ar));
}

void put(writer &ar, const member_announcement &what)
{
    const endpoint &self = what.self;
    put(ar, self.control.host);
    put(ar, self.zone);
    put(ar, self.servedWorker.id);
    put(ar, self.servedWorker.rack);
    put(ar, self.servedRunner.id);
    put(ar, self.servedWorker.zone);
    ar(static_cast<std::uint8_t>(what.role), self.control.port, self.servedWorker.accelerators,
       self.servedWorker.cores, self.servedWorker.memoryBytes, self.servedRunner.slots,
       self.servedRunner.connections);
}

announcement_pointer getAnnouncement(reader &ar, const member_event &about)
{
    auto what = std::make_shared<member_announcement>();
    endpoint &self = what->self;
    self.agent = about.process;
    self.incarnation = about.incarnation;
    self.control.host = getText(ar);
    get(ar, self.zone);
    get(ar, self.servedWorker.id);
    get(ar, self.servedWorker.rack);
    get(ar, self.servedRunner.id);
    get(ar, self.servedWorker.zone);
    std::uint8_t role = 0;
    ar(role, self.control.port, self.servedWorker.accelerators, self.servedWorker.cores,
       self.servedWorker.memoryBytes, self.servedRunner.slots, self.servedRunner.connections);
    require(role <= static_cast<std::uint8_t>(process_role::Agent));
    what->role = static_cast<process_role>(role);
    if (!self.servedWorker.id.isEmpty())
        self.servedWorker.agent = about.process;
    if (!self.servedRunner.id.isEmpty()) {
        self.servedRunner.agent = about.process;
        self.servedRunner.zone = self.zone;
    }
    return what;
}

void put(writer &ar, const member_event &what)
{
    const auto flags
        = static_cast<std::uint8_t>(static_cast<unsigned>(what.state) | (what.leaving ? 4U : 0U)
                                    | (what.announcement ? 8U : 0U));
    ar(flags, what.incarnation, what.counter);
    put(ar, what.process);
    if (what.announcement)
        put(ar, *what.announcement);
}

member_event getEvent(reader &ar)
{
    member_event what;
    std::uint8_t flags = 0;
    ar(flags, what.incarnation, what.counter);
    require(flags < 16 && (flags & 3U) <= static_cast<unsigned>(liveness::Dead));
    get(ar, what.process);
    require(!what.process.isEmpty());
    what.state = static_cast<liveness>(flags & 3U);
    what.leaving = (flags & 4U) != 0;
    if ((flags & 8U) != 0)
        what.announcement = getAnnouncement(ar, what);
    return what;
}

membership_message getMessage(reader &ar)
{
    membership_message what;
    std::uint8_t kind = 0;
    std::uint8_t announce = 0;
    std::uint16_t digests = 0;
    std::uint16_t events = 0;
    ar(kind, what.sequence, what.bucket, announce, digests, events, what.config.version,
       what.config.hash, what.target.incarnation, what.target.where.port);
    require(kind < MembershipKinds && announce <= 1 && what.bucket <= ViewBuckets);
    require(digests <= ViewBuckets);
    require(kind != static_cast<std::uint8_t>(membership_kind::ViewDigest)
            || digests == ViewBuckets);
    get(ar, what.target.process);
    what.target.where.host = getText(ar);
    what.kind = static_cast<membership_kind>(kind);
    what.announce = announce != 0;
    what.digests.resize(digests);
    for (std::uint16_t &digest : what.digests) {
        ar(digest);
        require(what.kind != membership_kind::BucketRequest || digest < ViewBuckets);
    }
    for (std::uint16_t i = 0; i < events; ++i)
        what.events.push_back(getEvent(ar));
    return what;
}

} // namespace

std::string encode(const membership_message &what)
{
    std::ostringstream out;
    out.put(Version);
    {
        writer ar(out);
        ar(static_cast<std::uint8_t>(what.kind), what.sequence, what.bucket,
           static_cast<std::uint8_t>(what.announce ? 1 : 0),
           static_cast<std::uint16_t>(what.digests.size()),
           static_cast<std::uint16_t>(what.events.size()), what.config.version, what.config.hash,
           what.target.incarnation, what.target.where.port);
        put(ar, what.target.process);
        put(ar, what.target.where.host);
        for (const std::uint16_t digest : what.digests)
            ar(digest);
        for (const member_event &event : what.events)
            put(ar, event);
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
        reader ar(in);
        membership_message what = getMessage(ar);
        require(in.peek() == std::istringstream::traits_type::eof());
        return what;
    } catch (const std::exception &problem) {
        return fail(reason::MalformedMessage,
                    std::string("membership message is malformed: ") + problem.what());
    }
}

std::size_t encodedBytes(const member_event &what)
{
    std::size_t bytes = FixedEventBytes + what.process.str().size();
    if (what.announcement) {
        const endpoint &self = what.announcement->self;
        bytes += FixedAnnouncementBytes + self.control.host.size() + self.zone.str().size()
            + self.servedWorker.id.str().size() + self.servedWorker.rack.str().size()
            + self.servedRunner.id.str().size() + self.servedWorker.zone.str().size();
    }
    return bytes;
}

std::size_t encodedBytes(const membership_message &what)
{
    std::size_t bytes = FixedMessageBytes + what.target.process.str().size()
        + what.target.where.host.size() + 2 * what.digests.size();
    for (const member_event &event : what.events)
        bytes += encodedBytes(event);
    return bytes;
}

} // namespace hyssoppond
