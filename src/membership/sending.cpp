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
    const std::size_t used = encodedBytes(what);
    if (used < MaxMembershipMessageBytes && what.kind != membership_kind::ViewDigest
        && what.kind != membership_kind::BucketData)
        queue.take(MaxMembershipMessageBytes - used, retransmitLimit(), what.events);
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

member_entry *membership::state::choose(const member_table::entries &from, const process_id &except)
{
    for (int draw = 0; draw < MaxDraws && !from.empty(); ++draw) {
        member_entry *candidate = from[below(from.size())];
        if (candidate->isReachable() && candidate->now.process != except)
            return candidate;
    }
    return nullptr;
}

member_entry *membership::state::chooseAny(const process_id &except)
{
    return choose(table.all(), except);
}

// One relay from the target's zone, one from the own zone and the rest from any zone, so that a
// broken link between two zones does not silence all of them.
std::vector<member_entry *> membership::state::chooseRelays(const member_entry &about)
{
    std::vector<member_entry *> relays;
    const process_id &target = about.now.process;
    const auto use = [&](member_entry *relay) {
        if (relay != nullptr && std::find(relays.begin(), relays.end(), relay) == relays.end())
            relays.push_back(relay);
    };
    use(choose(table.inZone(about.now.announcement->self.zone), target));
    use(choose(table.inZone(self.announcement->self.zone), target));
    for (int draw = 0; draw < MaxDraws && relays.size() < settings.indirectProbes; ++draw)
        use(chooseAny(target));
    return relays;
}

// A random member, or a seed if no member is known.
std::optional<peer> membership::state::chooseContact()
{
    if (const member_entry *known = chooseAny())
        return known->asPeer();
    if (seeds.empty())
        return std::nullopt;
    return peer {{}, 0, seeds[below(seeds.size())]};
}

} // namespace hyssoppond
