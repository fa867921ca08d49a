/// @file Encoding of the gang messages with cereal's portable binary archive.
#include "hyssoppond/gang/gang_codec_func.h"

#include "hyssoppond/base/bounded_archive_base.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/vector.hpp>

#include <array>
#include <exception>
#include <sstream>
#include <utility>

namespace hyssoppond {

template<class archive>
void serialize(archive &ar, gang_reserve &m)
{
    ar(m.header, m.plan);
}
template<class archive>
void serialize(archive &ar, gang_reserved &m)
{
    ar(m.header);
}
template<class archive>
void serialize(archive &ar, gang_refused &m)
{
    ar(m.header, m.why);
}
template<class archive>
void serialize(archive &ar, gang_start &m)
{
    ar(m.header, m.plan, m.leaseUntil);
}
template<class archive>
void serialize(archive &ar, gang_started &m)
{
    ar(m.header);
}
template<class archive>
void serialize(archive &ar, gang_renew &m)
{
    ar(m.header, m.leaseUntil, m.contactAt);
}
template<class archive>
void serialize(archive &ar, gang_keepalive &m)
{
    ar(m.header, m.aliveAt);
}
template<class archive>
void serialize(archive &ar, gang_stop &m)
{
    ar(m.header, m.why, m.checkpointUntil, m.startBefore);
}
template<class archive>
void serialize(archive &ar, gang_stopped &m)
{
    ar(m.header, m.why, m.mayHaveRun, m.completed, m.failed, m.keepalivesEnded, m.runSeconds);
}
template<class archive>
void serialize(archive &ar, gang_query &m)
{
    ar(m.header, m.settling, m.wantPlan);
}
template<class archive>
void serialize(archive &ar, gang_state &m)
{
    ar(m.header, m.state, m.settling, m.leaseUntil, m.reserveUntil, m.startBefore, m.plan);
}
template<class archive>
void serialize(archive &ar, gang_throttle &m)
{
    ar(m.header, m.percent);
}
template<class archive>
void serialize(archive &ar, gang_throttled &m)
{
    ar(m.header, m.percent);
}
template<class archive>
void serialize(archive &ar, gang_checkpointed &m)
{
    ar(m.header);
}

namespace {

constexpr char FormatVersion = 1;

using decoder = gang_message (*)(bounded_input_archive &);

template<std::size_t index>
gang_message decodeAs(bounded_input_archive &ar)
{
    std::variant_alternative_t<index, gang_message> value;
    ar(value);
    return value;
}

template<std::size_t... index>
constexpr auto makeDecoders(std::index_sequence<index...>)
{
    return std::array<decoder, sizeof...(index)> {&decodeAs<index>...};
}

bool planIsValid(const gang_plan &plan)
{
    return plan.members.size() <= MaxGangMembers && plan.spec.level <= urgency::Urgent
        && plan.spec.wanted.within <= adjacency::Zone;
}

/// Returns false for values that cereal decodes but no correct sender produces.
bool isValid(const gang_message &message)
{
    if (const auto *reserve = std::get_if<gang_reserve>(&message))
        return planIsValid(reserve->plan);
    if (const auto *start = std::get_if<gang_start>(&message))
        return planIsValid(start->plan);
    if (const auto *state = std::get_if<gang_state>(&message)) {
        return state->state <= gang_member_state::Fenced && state->plan.size() <= 1
            && (state->plan.empty() || planIsValid(state->plan.front()));
    }
    if (const auto *stop = std::get_if<gang_stop>(&message))
        return stop->why <= stop_cause::Finished;
    if (const auto *refused = std::get_if<gang_refused>(&message))
        return refused->why <= reason::Internal;
    if (const auto *stopped = std::get_if<gang_stopped>(&message))
        return stopped->why <= reason::Internal;
    return true;
}

} // namespace

std::string encode(const gang_message &message)
{
    std::ostringstream out;
    out.put(FormatVersion);
    out.put(static_cast<char>(message.index()));
    {
        cereal::PortableBinaryOutputArchive ar(out);
        std::visit([&ar](const auto &alternative) { ar(alternative); }, message);
    }
    return out.str();
}

result<gang_message> decodeGangMessage(std::string_view bytes)
{
    static constexpr auto Decoders
        = makeDecoders(std::make_index_sequence<std::variant_size_v<gang_message>>());
    if (bytes.size() > MaxGangMessageBytes)
        return fail(reason::BodyTooLarge, "gang message exceeds 256 KiB; drop it");
    if (bytes.size() < 2)
        return fail(reason::MalformedMessage, "gang message is truncated; drop it");
    if (bytes[0] != FormatVersion)
        return fail(reason::UnsupportedVersion,
                    "gang message has an unknown format version; upgrade the older process");
    const auto index = static_cast<std::uint8_t>(bytes[1]);
    if (index >= Decoders.size())
        return fail(reason::MalformedMessage, "gang message has an unknown type; drop it");
    try {
        bounded_input_archive ar(bytes.substr(2));
        gang_message message = Decoders[index](ar);
        if (ar.remaining() == 0 && isValid(message))
            return message;
    } catch (const std::exception &) {
        // cereal throws on truncated input and on impossible sizes; both count as malformed.
    }
    return fail(reason::MalformedMessage, "gang message is malformed; drop it");
}

} // namespace hyssoppond
