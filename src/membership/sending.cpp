/// @file Composition of packets and the choice of their receivers.
#include "membership_state.h"

#include <algorithm>

namespace hyssoppond {
namespace {

// Number of random draws after which a list is considered to have no suitable member. With half of
// the members dead, all draws fail in one of 65,536 cases, and the next period tries again.
constexpr int MaxDraws = 16;

} // namespace

// Adds events to the message and sends it. The event that the receiver needs about itself or about
// the target comes first, then events from the queue.
void membership::state::send(const peer &to, membership_message message, const process_id &about)
{
    message.config = config;
    const member_entry *known = table.find(about.isEmpty() ? to.process : about);
    if (known != nullptr && known->state() != member_state::Alive) {
        member_event statement = known->latest;
        statement.announcement = nullptr;
        message.events.push_back(statement);
    }
    if (known == nullptr && message.kind != membership_kind::BucketData) {
        message.announce = true;
        message.events.push_back(self);
    }
    // A leaving process reports its departure in each message without other events, also after the
    // repetitions in the queue have ended.
    if (self.leaving && message.events.empty() && settings.mechanisms.retransmission) {
        message.events.push_back(self);
        message.events.back().announcement = nullptr;
    }
    const std::size_t used = encodedBytes(message);
    const std::size_t limit = message.kind == membership_kind::Gossip
        ? MaxMembershipMessageBytes
        : std::min(MaxMembershipMessageBytes, used + settings.maxPiggybackBytes);
    if (used < limit && message.kind != membership_kind::ViewDigest
        && message.kind != membership_kind::BucketData)
        queue.take(limit - used, retransmitLimit(), message.events);
    hooks.send(to, message);
}

void membership::state::sendAck(const peer &to, std::uint32_t sequence, const peer &target)
{
    membership_message ack;
    ack.kind = membership_kind::Ack;
    ack.sequence = sequence;
    ack.target = target;
    send(to, std::move(ack));
}

member_entry *membership::state::choose(const member_table::entry_list &from,
                                        const process_id &except) const
{
    for (int draw = 0; draw < MaxDraws && !from.empty(); ++draw) {
        member_entry *candidate = from[randomBelow(from.size())];
        if (candidate->isReachable() && candidate->latest.process != except)
            return candidate;
    }
    return nullptr;
}

member_entry *membership::state::chooseAny(const process_id &except) const
{
    return choose(table.all(), except);
}

// The path through a relay must avoid the network link that may have failed. The first relay is
// therefore in a zone that is neither the own zone nor that of the target.
std::vector<member_entry *> membership::state::chooseRelays(const member_entry &about) const
{
    std::vector<member_entry *> relays;
    const process_id &target = about.latest.process;
    const zone_id &targetZone = about.latest.announcement->self.zone;
    const zone_id &ownZone = self.announcement->self.zone;
    const auto use = [&](member_entry *relay) {
        if (relay != nullptr && std::find(relays.begin(), relays.end(), relay) == relays.end())
            relays.push_back(relay);
    };
    for (int draw = 0; draw < MaxDraws && relays.empty(); ++draw) {
        member_entry *candidate = chooseAny(target);
        if (candidate != nullptr && candidate->latest.announcement->self.zone != targetZone
            && candidate->latest.announcement->self.zone != ownZone)
            use(candidate);
    }
    use(choose(table.inZone(targetZone), target));
    for (int draw = 0; draw < MaxDraws && relays.size() < settings.indirectProbes; ++draw)
        use(chooseAny(target));
    return relays;
}

// Returns a random member, or a random seed if no reachable member was found.
std::optional<peer> membership::state::chooseContact() const
{
    if (const member_entry *known = chooseAny())
        return known->asPeer();
    if (seeds.empty())
        return std::nullopt;
    return peer {{}, 0, seeds[randomBelow(seeds.size())]};
}

} // namespace hyssoppond
