/// @file Packets and the choice of their receivers.
#include "membership_state.h"

#include <algorithm>

namespace hyssoppond {
namespace {

// Draws before a list is taken to have no suitable member. With half of the members dead, all
// draws fail in one of 65,536 cases, and the next period tries again.
constexpr int MaxDraws = 16;

} // namespace

// Fills the packet: first what the receiver must know about itself or the target, then the queue.
void membership::state::send(const peer &to, membership_message what, const process_id &about)
{
    what.config = config;
    const member_entry *known = table.find(about.isEmpty() ? to.process : about);
    if (known != nullptr && known->state() != member_state::Alive) {
        member_event told = known->now;
        told.announcement = nullptr;
        what.events.push_back(told);
    }
    if (known == nullptr && what.kind != membership_kind::BucketData) {
        what.announce = true;
        what.events.push_back(self);
    }
    // Whoever hears from a leaving process learns that it leaves, also after all repetitions.
    if (self.leaving && what.events.empty() && settings.mechanisms.retransmission) {
        what.events.push_back(self);
        what.events.back().announcement = nullptr;
    }
    const std::size_t used = encodedBytes(what);
    const std::size_t limit = what.kind == membership_kind::Gossip
        ? MaxMembershipMessageBytes
        : std::min(MaxMembershipMessageBytes, used + settings.maxPiggybackBytes);
    if (used < limit && what.kind != membership_kind::ViewDigest
        && what.kind != membership_kind::BucketData)
        queue.take(limit - used, retransmitLimit(), what.events);
    hooks.send(to, what);
}

void membership::state::sendAck(const peer &to, std::uint32_t sequence, const peer &target)
{
    membership_message ack;
    ack.kind = membership_kind::Ack;
    ack.sequence = sequence;
    ack.target = target;
    send(to, std::move(ack));
}

member_entry *membership::state::choose(const member_table::entries &from,
                                        const process_id &except) const
{
    for (int draw = 0; draw < MaxDraws && !from.empty(); ++draw) {
        member_entry *candidate = from[below(from.size())];
        if (candidate->isReachable() && candidate->now.process != except)
            return candidate;
    }
    return nullptr;
}

member_entry *membership::state::chooseAny(const process_id &except) const
{
    return choose(table.all(), except);
}

// The path over a relay must not use the link that may be broken. For a target in another zone, the
// first relay is therefore in a third zone; for one in the own zone, in any other zone.
std::vector<member_entry *> membership::state::chooseRelays(const member_entry &about) const
{
    std::vector<member_entry *> relays;
    const process_id &target = about.now.process;
    const zone_id &targetZone = about.now.announcement->self.zone;
    const zone_id &ownZone = self.announcement->self.zone;
    const auto use = [&](member_entry *relay) {
        if (relay != nullptr && std::find(relays.begin(), relays.end(), relay) == relays.end())
            relays.push_back(relay);
    };
    for (int draw = 0; draw < MaxDraws && relays.empty(); ++draw) {
        member_entry *candidate = chooseAny(target);
        if (candidate != nullptr && candidate->now.announcement->self.zone != targetZone
            && candidate->now.announcement->self.zone != ownZone)
            use(candidate);
    }
    use(choose(table.inZone(targetZone), target));
    for (int draw = 0; draw < MaxDraws && relays.size() < settings.indirectProbes; ++draw)
        use(chooseAny(target));
    return relays;
}

// A random member, or a seed if no member is known.
std::optional<peer> membership::state::chooseContact() const
{
    if (const member_entry *known = chooseAny())
        return known->asPeer();
    if (seeds.empty())
        return std::nullopt;
    return peer {{}, 0, seeds[below(seeds.size())]};
}

} // namespace hyssoppond
