/// @file Merging of statements about members and their dissemination.
#include "membership_state.h"

#include <algorithm>
#include <cmath>

namespace hyssoppond {
namespace {

/// True if `incoming` adds information to `known`. Both are about the same incarnation.
bool addsInformation(const member_event &incoming, const member_event &known)
{
    return incoming.rank() > known.rank() || (incoming.leaving && !known.leaving);
}

/// Merges two statements about the same incarnation. The result does not depend on their order.
member_event merged(const member_event &known, const member_event &incoming)
{
    member_event next = incoming.rank() > known.rank() ? incoming : known;
    next.leaving = known.leaving || incoming.leaving;
    next.announcement = known.announcement ? known.announcement : incoming.announcement;
    return next;
}

} // namespace

void membership::state::apply(const member_event &event)
{
    if (event.process == self.process)
        return applyAboutSelf(event);
    member_entry *known = table.find(event.process);
    if (known == nullptr)
        return add(event);
    const bool checked = settings.mechanisms.incarnationCheck;
    if (checked && event.incarnation < known->latest.incarnation)
        return;
    if (checked && event.incarnation > known->latest.incarnation) {
        member_event next = event;
        // Without a new announcement, the address of the earlier incarnation is kept, since it is
        // the most likely one.
        if (!next.announcement)
            next.announcement = known->latest.announcement;
        ownSuspects.erase(event.process);
        return change(*known, next);
    }
    if (addsInformation(event, known->latest))
        return change(*known, merged(known->latest, event));
    if (event.announcement && !known->latest.announcement)
        change(*known, merged(known->latest, event));
}

// Adds an unknown member when its announcement or its departure arrives. The departure of an
// unknown member is kept so that an older announcement, which may still arrive, has no effect.
void membership::state::add(const member_event &event)
{
    if (event.state == liveness::Dead || (!event.announcement && !event.leaving))
        return;
    member_entry &entry = table.insert(event);
    if (!event.announcement)
        setDeadline(entry, now() + settings.deadRetention);
    if (event.state == liveness::Suspect)
        startSuspicion(entry, false);
    if (event.announcement && hooks.onChange)
        hooks.onChange(entry.view());
    disseminate(event, true);
}

void membership::state::applyAboutSelf(const member_event &event)
{
    const bool sameIncarnation = event.incarnation == self.incarnation;
    if (!sameIncarnation && settings.mechanisms.incarnationCheck)
        return;
    if (event.state == liveness::Alive || event.counter < self.counter
        || !settings.mechanisms.refutation)
        return;
    self.counter = event.counter + 1;
    disseminate(self, event.state == liveness::Dead);
}

void membership::state::change(member_entry &entry, const member_event &next)
{
    const member_event before = entry.latest;
    const member_state stateBefore = entry.state();
    table.update(entry, next);
    if (next.state == liveness::Alive) {
        ownSuspects.erase(next.process);
        entry.ownSuspicion = false;
        setDeadline(entry, absl::InfiniteFuture());
    } else if (next.state == liveness::Suspect) {
        if (before.state != liveness::Suspect || next.counter != before.counter
            || next.incarnation != before.incarnation)
            startSuspicion(entry, false);
    } else if (before.state != liveness::Dead) {
        ownSuspects.erase(next.process);
        entry.ownSuspicion = false;
        setDeadline(entry, now() + settings.deadRetention);
    }
    const bool viewChanged = stateBefore != entry.state() || before.incarnation != next.incarnation
        || (!before.announcement && next.announcement);
    const bool urgent = before.incarnation != next.incarnation || before.leaving != next.leaving
        || (before.state == liveness::Dead) != (next.state == liveness::Dead);
    member_event statement = next;
    if (before.incarnation == next.incarnation)
        statement.announcement = nullptr;
    disseminate(statement, urgent);
    if (next.leaving && !before.leaving && currentSender == next.process
        && settings.mechanisms.retransmission)
        announceDeparture(statement);
    if (viewChanged && next.announcement && hooks.onChange)
        hooks.onChange(entry.view());
}

void membership::state::setDeadline(member_entry &entry, absl::Time when)
{
    deadlines.erase({entry.deadline, entry.latest.process});
    entry.deadline = when;
    if (when != absl::InfiniteFuture())
        deadlines.emplace(when, entry.latest.process);
}

// A process whose own probe got no answer repeats the probe for one suspicion timeout. A process
// that only received the suspicion from others waits twice as long and then probes the member
// itself, so that a lost refutation does not lead to a false declaration of death.
void membership::state::startSuspicion(member_entry &entry, bool ownSuspicion)
{
    entry.ownSuspicion = ownSuspicion;
    if (ownSuspicion)
        ownSuspects.insert(entry.latest.process);
    setDeadline(entry, now() + suspicionTimeout() * (ownSuspicion ? 1 : 2));
}

void membership::state::expire()
{
    while (!deadlines.empty() && deadlines.begin()->first <= now()) {
        const process_id process = deadlines.begin()->second;
        deadlines.erase(deadlines.begin());
        member_entry *entry = table.find(process);
        if (entry == nullptr)
            continue;
        entry->deadline = absl::InfiniteFuture();
        if (entry->latest.state == liveness::Dead || !entry->latest.announcement) {
            queue.remove(process);
            table.erase(process);
        } else if (entry->ownSuspicion) {
            member_event dead = entry->latest;
            dead.state = liveness::Dead;
            const peer to = entry->asPeer();
            change(*entry, dead);
            // If the member is alive, this ping tells it first that it is considered dead, so that
            // it can refute that.
            sendPing(to, nextSequence++);
        } else {
            startSuspicion(*entry, true);
        }
    }
}

void membership::state::disseminate(const member_event &event, bool urgent)
{
    const bool aboutSelf = event.process == self.process;
    if (!aboutSelf && (suppressGossip || !settings.mechanisms.retransmission))
        return;
    queue.add(event);
    if (urgent && settings.mechanisms.retransmission)
        forwardAt = std::min(forwardAt,
                             std::max({now(), lastForward + settings.forwardInterval,
                                       forwardBudgetUntil - settings.forwardBurstAllowance}));
}

// Sends the newest events to random members, one of them with the role Entry.
void membership::state::forward()
{
    forwardAt = absl::InfiniteFuture();
    lastForward = now();
    forwardBudgetUntil = std::max(forwardBudgetUntil, now()) + settings.sustainedForwardInterval;
    membership_message gossip;
    gossip.kind = membership_kind::Gossip;
    if (const member_entry *entry = choose(table.entryProcesses()))
        send(entry->asPeer(), gossip);
    for (std::uint32_t i = 1; i < settings.forwardFanout; ++i) {
        if (const member_entry *member = chooseAny())
            send(member->asPeer(), gossip);
    }
}

void membership::state::notify(const peer &to, const member_event &event)
{
    const std::uint32_t sequence = nextSequence++;
    membership_message notice;
    notice.kind = membership_kind::Notice;
    notice.sequence = sequence;
    notice.events.push_back(event);
    send(to, notice);
    if (settings.mechanisms.retransmission)
        notices[sequence] = {to, event, 1, now() + settings.noticeInterval};
}

void membership::state::repeatNotices()
{
    for (auto it = notices.begin(); it != notices.end();) {
        notice_state &notice = it->second;
        if (notice.nextAt > now()) {
            ++it;
            continue;
        }
        if (notice.attempts >= settings.noticeAttempts) {
            notices.erase(it++);
            continue;
        }
        ++notice.attempts;
        const bool slow = notice.attempts > settings.fastNoticeAttempts;
        notice.nextAt = now() + (slow ? settings.period : settings.noticeInterval);
        membership_message message;
        message.kind = membership_kind::Notice;
        message.sequence = it->first;
        message.events.push_back(notice.event);
        send(notice.to, message);
        ++it;
    }
}

// Sends the departure to all members with the role Entry, because they dispatch work, and to a few
// random members, which forward it.
void membership::state::announceDeparture(const member_event &event)
{
    // 64 entry processes cover the design size with one for every 330 agents. Gossip reaches any
    // others.
    constexpr std::size_t maxEntries = 64;
    std::vector<peer> receivers;
    for (const member_entry *entry : table.entryProcesses()) {
        if (entry->isReachable() && entry->latest.process != event.process
            && receivers.size() < maxEntries)
            receivers.push_back(entry->asPeer());
    }
    for (std::uint32_t i = 0; i < settings.forwardFanout; ++i) {
        if (const member_entry *member = chooseAny(event.process))
            receivers.push_back(member->asPeer());
    }
    for (const peer &to : receivers)
        notify(to, event);
}

std::uint32_t membership::state::retransmitLimit() const
{
    if (!settings.mechanisms.retransmission)
        return 1;
    const double members = static_cast<double>(table.all().size()) + 2;
    return settings.retransmitFactor * static_cast<std::uint32_t>(std::ceil(std::log2(members)));
}

absl::Duration membership::state::suspicionTimeout() const
{
    const double members = static_cast<double>(table.reachable()) + 1;
    return settings.period * settings.suspicionPeriods * std::max(1.0, std::log10(members));
}

} // namespace hyssoppond
