/// @file Direct probes, indirect probes through relays, and probes of members considered dead.
#include "membership_state.h"

#include <algorithm>

namespace hyssoppond {
namespace {

// Maximum number of suspected members probed again in one period. It bounds the packets when many
// members are suspected at once, for example after the loss of a zone. Several processes probe each
// member, so that others cover the remaining members.
constexpr std::size_t MaxRepeatedProbes = 8;
// Mean number of seed probes of all members together in one deadRetryInterval. Each process probes
// seeds rarely, so that a large site does not flood its seeds.
constexpr std::uint64_t SeedProbesPerInterval = 4;

} // namespace

void membership::state::startPeriod()
{
    finishProbe();
    absl::erase_if(relays, [this](const auto &relay) { return relay.second.until <= now(); });
    std::size_t repeated = 0;
    for (const process_id &process : ownSuspects) {
        const member_entry *entry = table.find(process);
        if (entry == nullptr || !entry->isReachable())
            continue;
        if (++repeated > MaxRepeatedProbes)
            break;
        const std::uint32_t sequence = nextSequence++;
        sendPing(entry->asPeer(), sequence);
        sendIndirect(*entry, sequence);
    }
    const member_entry *next = chooseProbe();
    if (next == nullptr)
        return;
    probe = probe_state {next->latest.process, next->latest.incarnation, nextSequence++,
                         now() + settings.probeTimeout};
    sendPing(next->asPeer(), probe->sequence);
}

void membership::state::finishProbe()
{
    if (!probe)
        return;
    member_entry *entry = table.find(probe->process);
    const bool current = entry != nullptr && entry->latest.incarnation == probe->incarnation;
    probe.reset();
    if (!current || !entry->isReachable())
        return;
    if (entry->latest.state == liveness::Alive) {
        member_event suspect = entry->latest;
        suspect.state = liveness::Suspect;
        change(*entry, suspect);
    }
    if (!entry->ownSuspicion)
        startSuspicion(*entry, true);
}

// Chooses members of the own zone in shuffled order. The configured share of probes goes to a
// random member of another zone, so that other zones detect the loss of a whole zone.
member_entry *membership::state::chooseProbe()
{
    const zone_id &zone = self.announcement->self.zone;
    const member_table::entry_list &local = table.inZone(zone);
    if (local.empty() || randomBelow(100) < settings.remoteProbePercent) {
        for (std::uint32_t draw = 0; draw < 16; ++draw) {
            member_entry *remote = chooseAny();
            if (remote != nullptr && remote->latest.announcement->self.zone != zone)
                return remote;
        }
    }
    for (int round = 0; round < 2; ++round) {
        while (!localProbeOrder.empty()) {
            member_entry *entry = table.find(localProbeOrder.back());
            localProbeOrder.pop_back();
            if (entry != nullptr && entry->isReachable())
                return entry;
        }
        for (const member_entry *entry : local)
            localProbeOrder.push_back(entry->latest.process);
        for (std::size_t i = localProbeOrder.size(); i > 1; --i)
            std::swap(localProbeOrder[i - 1], localProbeOrder[randomBelow(i)]);
    }
    return chooseAny();
}

void membership::state::sendPing(const peer &to, std::uint32_t sequence)
{
    membership_message ping;
    ping.sequence = sequence;
    ping.target.incarnation = to.incarnation;
    send(to, std::move(ping));
}

void membership::state::sendIndirect(const member_entry &about, std::uint32_t sequence)
{
    if (!settings.mechanisms.indirectProbes)
        return;
    for (const member_entry *relay : chooseRelays(about)) {
        membership_message request;
        request.kind = membership_kind::PingRequest;
        request.sequence = sequence;
        request.target = about.asPeer();
        send(relay->asPeer(), std::move(request), about.latest.process);
    }
}

void membership::state::onPing(const peer &from, const membership_message &message)
{
    const bool forThisIncarnation
        = message.target.incarnation == 0 || message.target.incarnation == self.incarnation;
    membership_message ack;
    ack.kind = membership_kind::Ack;
    ack.sequence = message.sequence;
    // A ping for another incarnation is not acknowledged. The answer is the announcement of this
    // incarnation.
    if (!forThisIncarnation && settings.mechanisms.incarnationCheck) {
        ack.kind = membership_kind::Gossip;
        ack.events.push_back(self);
    }
    const auto suspectsSelf = [this](const member_event &event) {
        return event.process == self.process && event.state != liveness::Alive;
    };
    if (forThisIncarnation
        && std::any_of(message.events.begin(), message.events.end(), suspectsSelf)) {
        ack.events.push_back(self);
        ack.events.back().announcement = nullptr;
    }
    send(from, std::move(ack));
}

void membership::state::onPingRequest(const peer &from, const membership_message &message)
{
    // Bounds the memory that ping requests can take. The requesting member also uses other relays.
    constexpr std::size_t maxRelays = 1000;
    if (relays.size() >= maxRelays || message.target.process == self.process)
        return;
    const std::uint32_t sequence = nextSequence++;
    relays[sequence] = {from, message.sequence, now() + settings.period};
    membership_message ping;
    ping.sequence = sequence;
    ping.target.incarnation = message.target.incarnation;
    send(message.target, std::move(ping));
}

// Pings a random dead member, so that the two sides of a partition find each other again when it
// ends.
void membership::state::retryDead()
{
    if (!settings.mechanisms.deadRetry)
        return;
    const member_table::entry_list &all = table.all();
    for (int draw = 0; draw < 64 && !all.empty(); ++draw) {
        const member_entry *entry = all[randomBelow(all.size())];
        if (entry->latest.state != liveness::Dead || !entry->latest.announcement)
            continue;
        sendPing(entry->asPeer(), nextSequence++);
        break;
    }
    if (!seeds.empty() && randomBelow(table.reachable() + 1) < SeedProbesPerInterval)
        sendPing(peer {{}, 0, seeds[randomBelow(seeds.size())]}, nextSequence++);
}

} // namespace hyssoppond
