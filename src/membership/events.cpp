/// @file Merging of statements about members and their dissemination.
#include "membership_state.h"

#include <algorithm>
#include <cmath>

namespace hyssoppond {
namespace {

/// True if `fresh` says something that `known` does not contain. Both are about one incarnation.
bool isNews(const member_event &fresh, const member_event &known)
{
    return fresh.rank() > known.rank() || (fresh.leaving && !known.leaving);
}

/// Merges two statements about one incarnation; the result does not depend on their order.
member_event merged(const member_event &known, const member_event &fresh)
{
    member_event next = fresh.rank() > known.rank() ? fresh : known;
    next.leaving = known.leaving || fresh.leaving;
    next.announcement = known.announcement ? known.announcement : fresh.announcement;
    return next;
}

} // namespace

void membership::state::apply(const member_event &what)
{
    if (what.process == self.process)
        return applyAboutSelf(what);
    member_entry *known = table.find(what.process);
    if (known == nullptr)
        return add(what);
    const bool checked = settings.mechanisms.incarnationCheck;
    if (checked && what.incarnation < known->now.incarnation)
        return;
    if (checked && what.incarnation > known->now.incarnation) {
        member_event next = what;
        // Without an announcement, the address of the earlier incarnation is still the best guess.
        if (!next.announcement)
            next.announcement = known->now.announcement;
        suspectedHere.erase(what.process);
        return change(*known, next);
    }
    if (isNews(what, known->now))
        return change(*known, merged(known->now, what));
    if (what.announcement && !known->now.announcement)
        change(*known, merged(known->now, what));
}

// An unknown member is added when its announcement or its departure is heard. The departure of an
// unknown member is kept so that its older announcement, which may still arrive, is not believed.
void membership::state::add(const member_event &what)
{
    if (what.state == liveness::Dead || (!what.announcement && !what.leaving))
        return;
    member_entry &entry = table.insert(what);
    if (!what.announcement)
        setDeadline(entry, now() + settings.deadRetention);
    if (what.state == liveness::Suspect)
        startSuspicion(entry, false);
    if (what.announcement && hooks.onChange)
        hooks.onChange(entry.view());
    disseminate(what, true);
}

void membership::state::applyAboutSelf(const member_event &what)
{
    const bool ours = what.incarnation == self.incarnation;
    if (!ours && settings.mechanisms.incarnationCheck)
        return;
    if (what.state == liveness::Alive || what.counter < self.counter
        || !settings.mechanisms.refutation)
        return;
    self.counter = what.counter + 1;
    disseminate(self, what.state == liveness::Dead);
}

void membership::state::change(member_entry &entry, const member_event &next)
{
    const member_event before = entry.now;
    const member_state stateBefore = entry.state();
    table.update(entry, next);
    if (next.state == liveness::Alive) {
        suspectedHere.erase(next.process);
        entry.suspectedHere = false;
        setDeadline(entry, absl::InfiniteFuture());
    } else if (next.state == liveness::Suspect) {
        if (before.state != liveness::Suspect || next.counter != before.counter
            || next.incarnation != before.incarnation)
            startSuspicion(entry, false);
    } else if (before.state != liveness::Dead) {
        suspectedHere.erase(next.process);
        entry.suspectedHere = false;
        setDeadline(entry, now() + settings.deadRetention);
    }
    const bool visible = stateBefore != entry.state() || before.incarnation != next.incarnation
        || (!before.announcement && next.announcement);
    const bool urgent = before.incarnation != next.incarnation || before.leaving != next.leaving
        || (before.state == liveness::Dead) != (next.state == liveness::Dead);
    member_event told = next;
    if (before.incarnation == next.incarnation)
        told.announcement = nullptr;
    disseminate(told, urgent);
    if (next.leaving && !before.leaving && heardFrom == next.process
        && settings.mechanisms.retransmission)
        announceDeparture(told);
    if (visible && next.announcement && hooks.onChange)
        hooks.onChange(entry.view());
}

void membership::state::setDeadline(member_entry &entry, absl::Time when)
{
    deadlines.erase({entry.deadline, entry.now.process});
    entry.deadline = when;
    if (when != absl::InfiniteFuture())
        deadlines.emplace(when, entry.now.process);
}

// A process that got no answer itself waits for one suspicion timeout while it probes again. One
// that only heard of the suspicion waits twice as long and then probes by itself, so that a lost
// refutation does not turn into a false death.
void membership::state::startSuspicion(member_entry &entry, bool here)
{
    entry.suspectedHere = here;
    if (here)
        suspectedHere.insert(entry.now.process);
    setDeadline(entry, now() + suspicionTimeout() * (here ? 1 : 2));
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
        if (entry->now.state == liveness::Dead || !entry->now.announcement) {
            queue.remove(process);
            table.erase(process);
        } else if (entry->suspectedHere) {
            member_event dead = entry->now;
            dead.state = liveness::Dead;
            const peer to = entry->asPeer();
            change(*entry, dead);
            // If the member lives, it learns of its death first and refutes it.
            sendPing(to, nextSequence++);
        } else {
            startSuspicion(*entry, true);
        }
    }
}

void membership::state::disseminate(const member_event &what, bool urgent)
{
    const bool own = what.process == self.process;
    if (!own && (quiet || !settings.mechanisms.retransmission))
        return;
    queue.add(what);
    if (urgent && settings.mechanisms.retransmission)
        forwardAt = std::min(forwardAt,
                             std::max({now(), lastForward + settings.forwardInterval,
                                       forwardCredit - settings.forwardBurst}));
}

// Sends the newest events to random members, among them an entry.
void membership::state::forward()
{
    forwardAt = absl::InfiniteFuture();
    lastForward = now();
    forwardCredit = std::max(forwardCredit, now()) + settings.forwardSustained;
    membership_message gossip;
    gossip.kind = membership_kind::Gossip;
    if (const member_entry *entry = choose(table.entriesOfSite()))
        send(entry->asPeer(), gossip);
    for (std::uint32_t i = 1; i < settings.forwardFanout; ++i) {
        if (const member_entry *any = chooseAny())
            send(any->asPeer(), gossip);
    }
}

void membership::state::notify(const peer &to, const member_event &what)
{
    const std::uint32_t sequence = nextSequence++;
    membership_message notice;
    notice.kind = membership_kind::Notice;
    notice.sequence = sequence;
    notice.events.push_back(what);
    send(to, notice);
    if (settings.mechanisms.retransmission)
        notices[sequence] = {to, what, 1, now() + settings.noticeInterval};
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
        const bool slow = notice.attempts > settings.fastNotices;
        notice.nextAt = now() + (slow ? settings.period : settings.noticeInterval);
        membership_message message;
        message.kind = membership_kind::Notice;
        message.sequence = it->first;
        message.events.push_back(notice.what);
        send(notice.to, message);
        ++it;
    }
}

// Tells all entries, which send work, and a few others that pass it on.
void membership::state::announceDeparture(const member_event &what)
{
    // 64 entries cover the design size with one entry for 330 agents; gossip reaches the rest.
    constexpr std::size_t maxEntries = 64;
    std::vector<peer> receivers;
    for (const member_entry *entry : table.entriesOfSite()) {
        if (entry->isReachable() && entry->now.process != what.process
            && receivers.size() < maxEntries)
            receivers.push_back(entry->asPeer());
    }
    for (std::uint32_t i = 0; i < settings.forwardFanout; ++i) {
        if (const member_entry *any = chooseAny(what.process))
            receivers.push_back(any->asPeer());
    }
    for (const peer &to : receivers)
        notify(to, what);
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
