/// @file State of the membership and its functions, which are split over several source files.
#pragma once

#include "event_queue.h"
#include "hyssoppond/membership/membership_base.h"
#include "member_table.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hyssoppond {

/// The probe of the current period.
struct probe_state
{
    process_id process;
    incarnation_number incarnation = 0;
    std::uint32_t sequence = 0;
    absl::Time indirectAt;
    bool indirectSent = false;
};

/// A ping sent on behalf of another member (`origin`).
struct relay_state
{
    peer origin;
    std::uint32_t originSequence = 0;
    absl::Time until;
};

/// An event that is sent repeatedly until the receiver acknowledges it.
struct notice_state
{
    peer to;
    member_event event;
    std::uint32_t attempts = 0;
    absl::Time nextAt;
};

struct membership::state
{
    membership_settings settings;
    membership_hooks hooks;
    bool started = false;
    member_event self;
    bool stale = false;
    std::uint32_t staleSequence = 0; ///< an Ack with this or a later sequence ends the stale state
    config_digest config;
    std::vector<address> seeds;
    member_table table;
    event_queue queue;
    std::uint32_t nextSequence = 1;
    process_id currentSender; ///< sender of the message being handled
    /// True while applying an exchange of views, which is not gossiped.
    bool suppressGossip = false;

    std::optional<probe_state> probe;
    /// Shuffled members of the own zone; the last is probed next.
    std::vector<process_id> localProbeOrder;
    absl::flat_hash_map<std::uint32_t, relay_state> relays;
    absl::flat_hash_map<std::uint32_t, notice_state> notices;
    std::set<std::pair<absl::Time, process_id>> deadlines; ///< ends of suspicions and retentions
    std::set<process_id> ownSuspects; ///< suspected members that this process probes itself

    absl::Time lastTick;
    absl::Time nextPeriod;
    absl::Time nextView;
    absl::Duration viewDelay; ///< between exchanges; doubles after the start up to viewInterval
    absl::Time nextDeadRetry;
    absl::Time forwardAt = absl::InfiniteFuture();
    absl::Time lastForward = absl::InfinitePast();
    /// End of the forwarding time that past forwardings have used.
    absl::Time forwardBudgetUntil = absl::InfinitePast();
    absl::Time nextJoin = absl::InfiniteFuture();
    /// Until then, the whole view may be requested again.
    absl::Time rescanUntil = absl::InfinitePast();
    std::uint16_t joinBucket = 0;   ///< next bucket to request; lower ones were received
    std::uint32_t joinSequence = 0; ///< of the bucket request that awaits its answer

    // membership.cpp: start, timers and message dispatch.
    absl::Time now() const { return hooks.env.now(); }
    /// Random number from 0 to `bound` - 1.
    std::uint64_t randomBelow(std::uint64_t bound) const { return hooks.env.random() % bound; }
    void run();
    absl::Time nextDue() const;
    void checkPause();
    void dispatch(const peer &from, const membership_message &message);
    void onAck(const peer &from, const membership_message &message);
    void leave();

    // events.cpp: merging of statements and their dissemination.
    void apply(const member_event &event);
    void applyAboutSelf(const member_event &event);
    void add(const member_event &event);
    void change(member_entry &entry, const member_event &next);
    void setDeadline(member_entry &entry, absl::Time when);
    void startSuspicion(member_entry &entry, bool ownSuspicion);
    void expire();
    void disseminate(const member_event &event, bool urgent);
    void forward();
    void notify(const peer &to, const member_event &event);
    void repeatNotices();
    void announceDeparture(const member_event &event);
    std::uint32_t retransmitLimit() const;
    absl::Duration suspicionTimeout() const;

    // probes.cpp: pings and their relays.
    void startPeriod();
    void finishProbe();
    member_entry *chooseProbe();
    void sendPing(const peer &to, std::uint32_t sequence);
    void sendIndirect(const member_entry &about, std::uint32_t sequence);
    void onPing(const peer &from, const membership_message &message);
    void onPingRequest(const peer &from, const membership_message &message);
    void retryDead();

    // view.cpp: exchange of views.
    void exchangeView();
    void requestBuckets();
    void onViewDigest(const peer &from, const membership_message &message);
    void onBucketRequest(const peer &from, const membership_message &message);
    void sendBuckets(const peer &to, const std::vector<std::uint16_t> &buckets,
                     std::uint32_t sequence);
    void onBucketData(const membership_message &message);

    // sending.cpp: packets and choice of receivers.
    void send(const peer &to, membership_message message, const process_id &about = {});
    void sendAck(const peer &to, std::uint32_t sequence, const peer &target = {});
    member_entry *choose(const member_table::entry_list &from, const process_id &except = {}) const;
    member_entry *chooseAny(const process_id &except = {}) const;
    std::vector<member_entry *> chooseRelays(const member_entry &about) const;
    std::optional<peer> chooseContact() const;
};

} // namespace hyssoppond
