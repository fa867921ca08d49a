/// @file Probes: direct, indirect through relays, and of members considered dead.
#include "membership_state.h"

#include <algorithm>

namespace hyssoppond {
namespace {

// Bounds the packets of one period when many members are suspected at once, as after the loss of
// a zone. Each member has several probers, so that the rest is covered by others.
constexpr std::size_t MaxRepeatedProbes = 8;
// A process probes seeds so rarely that the seeds of a large site are not flooded.
constexpr std::uint64_t SeedProbesPerInterval = 4;

} // namespace

void membership::state::startPeriod()
{
    finishProbe();
    absl::erase_if(relays, [this](const auto &relay) { return relay.second.until <= now(); });
    std::size_t repeated = 0;
    for (const process_id &process : suspectedHere) {
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
    probe = probe_state {next->now.process, next->now.incarnation, nextSequence++,
                         now() + settings.probeTimeout};
    sendPing(next->asPeer(), probe->sequence);
}

void membership::state::finishProbe()
{
    if (!probe)
        return;
    member_entry *entry = table.find(probe->process);
    const bool current = entry != nullptr && entry->now.incarnation == probe->incarnation;
    probe.reset();
    if (!current || !entry->isReachable())
        return;
    if (entry->now.state == liveness::Alive) {
        member_event suspect = entry->now;
        suspect.state = liveness::Suspect;
        change(*entry, suspect);
    }
    if (!entry->suspectedHere)
        startSuspicion(*entry, true);
}

// Members of the own zone in shuffled order, and with the configured share a random member of
// another zone, so that the loss of a whole zone is noticed from outside.
member_entry *membership::state::chooseProbe()
{
    const zone_id &zone = self.announcement->self.zone;
    const member_table::entries &local = table.inZone(zone);
    if (local.empty() || below(100) < settings.remoteProbePercent) {
        for (std::uint32_t draw = 0; draw < 16; ++draw) {
            member_entry *remote = chooseAny();
            if (remote != nullptr && remote->now.announcement->self.zone != zone)
                return remote;
        }
    }
    for (int round = 0; round < 2; ++round) {
        while (!localOrder.empty()) {
            member_entry *entry = table.find(localOrder.back());
            localOrder.pop_back();
            if (entry != nullptr && entry->isReachable())
                return entry;
        }
        for (const member_entry *entry : local)
            localOrder.push_back(entry->now.process);
        for (std::size_t i = localOrder.size(); i > 1; --i)
            std::swap(localOrder[i - 1], localOrder[below(i)]);
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
        send(relay->asPeer(), std::move(request), about.now.process);
    }
}

void membership::state::onPing(const peer &from, const membership_message &what)
{
    const bool meant = what.target.incarnation == 0 || what.target.incarnation == self.incarnation;
    membership_message ack;
    ack.kind = membership_kind::Ack;
    ack.sequence = what.sequence;
    // A ping for an earlier incarnation is answered by the announcement of this one only.
    if (!meant && settings.mechanisms.incarnationCheck) {
        ack.kind = membership_kind::Gossip;
        ack.events.push_back(self);
    }
    const auto doubted = [this](const member_event &event) {
        return event.process == self.process && event.state != liveness::Alive;
    };
    if (meant && std::any_of(what.events.begin(), what.events.end(), doubted)) {
        ack.events.push_back(self);
        ack.events.back().announcement = nullptr;
    }
    send(from, std::move(ack));
}

void membership::state::onPingRequest(const peer &from, const membership_message &what)
{
    // Bounds the memory that requests can take; the asking member has other relays.
    constexpr std::size_t maxRelays = 1000;
    if (relays.size() >= maxRelays || what.target.process == self.process)
        return;
    const std::uint32_t sequence = nextSequence++;
    relays[sequence] = {from, what.sequence, now() + settings.period};
    membership_message ping;
    ping.sequence = sequence;
    ping.target.incarnation = what.target.incarnation;
    send(what.target, std::move(ping));
}

// Tries a dead member, so that two sides of a healed partition find each other again.
void membership::state::retryDead()
{
    if (!settings.mechanisms.deadRetry)
        return;
    const member_table::entries &all = table.all();
    for (int draw = 0; draw < 64 && !all.empty(); ++draw) {
        const member_entry *entry = all[below(all.size())];
        if (entry->now.state != liveness::Dead || !entry->now.announcement)
            continue;
        sendPing(entry->asPeer(), nextSequence++);
        break;
    }
    if (!seeds.empty() && below(table.reachable() + 1) < SeedProbesPerInterval)
        sendPing(peer {{}, 0, seeds[below(seeds.size())]}, nextSequence++);
}

} // namespace hyssoppond
