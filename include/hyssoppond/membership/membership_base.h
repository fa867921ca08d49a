/// @file SWIM membership: failure detection, announcements of endpoints and their departure.
#pragma once

#include "hyssoppond/base/environment_type.h"
#include "hyssoppond/base/error_type.h"
#include "hyssoppond/membership/member_type.h"
#include "hyssoppond/membership/membership_message_type.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace hyssoppond {

/// Mechanisms that tests switch off to show that their checks can fail.
struct membership_mechanisms
{
    bool refutation = true;       ///< a suspected member raises its counter
    bool indirectProbes = true;   ///< an unresponsive member is also probed through others
    bool retransmission = true;   ///< events are repeated, and members forward received events
    bool incarnationCheck = true; ///< events about an earlier incarnation are outranked
    bool deadRetry = true;        ///< dead members are probed again at a low rate
    bool pauseCheck = true; ///< after a pause, older state counts as stale until a peer answers
};

/// Settings of the protocol. Only the settings hold durations; the class stores deadlines.
struct membership_settings
{
    absl::Duration period = absl::Seconds(1); ///< one regular probe is sent in each period
    absl::Duration probeTimeout = absl::Milliseconds(300); ///< after it, indirect probes are sent
    std::uint32_t indirectProbes = 3; ///< relays asked to probe an unresponsive member
    /// Suspicion timeout in periods, multiplied by log10 of the number of members (at least 1).
    std::uint32_t suspicionPeriods = 4;
    std::uint32_t remoteProbePercent = 20; ///< share of probes sent to other zones, in percent
    /// Number of times an event is sent: this factor multiplied by log2 of the number of members.
    /// With a factor of 1, one of 15 members missed a death in a third of the cases at 10% packet
    /// loss.
    std::uint32_t retransmitFactor = 3;
    std::uint32_t forwardFanout = 3; ///< members to which an urgent event is forwarded at once
    absl::Duration forwardInterval = absl::Milliseconds(100); ///< minimum time between forwardings
    // Forwardings are rate limited: with 3 packets of 1,050 bytes each, sustained forwarding takes
    // at most 1.6 KB/s of the 2 KB/s allowed for each node. A burst of ten forwardings is allowed,
    // so that departures are forwarded at once.
    /// Between forwardings once the burst allowance is used.
    absl::Duration sustainedForwardInterval = absl::Seconds(2);
    /// Forwarding time that may be used in advance.
    absl::Duration forwardBurstAllowance = absl::Seconds(20);
    std::size_t maxPiggybackBytes = 400; ///< of events added to a message other than Gossip
    absl::Duration noticeInterval = absl::Milliseconds(300); ///< between repetitions of a notice
    /// Sent at noticeInterval; later ones once in each period.
    std::uint32_t fastNoticeAttempts = 6;
    std::uint32_t noticeAttempts = 60; ///< covers a loss of contact of nearly one minute
    absl::Duration viewInterval = absl::Seconds(10); ///< between exchanges of view digests
    /// Between view exchanges while views differ widely.
    absl::Duration catchUpInterval = absl::Seconds(1);
    /// Time after the start in which the whole view may be requested again.
    absl::Duration rescanWindow = absl::Seconds(30);
    /// Between bucket requests while joining.
    absl::Duration joinInterval = absl::Milliseconds(200);
    /// Packets sent for one bucket request; at least one whole bucket is sent.
    std::uint32_t bucketPackets = 4;
    absl::Duration deadRetryInterval = absl::Seconds(10); ///< between probes of dead members
    /// Dead members are kept; longer than the longest loss of contact.
    absl::Duration deadRetention = absl::Hours(1);
    membership_mechanisms mechanisms;
};

/// Functions through which the membership reads time and random numbers, sends messages and
/// reports changes.
struct membership_hooks
{
    environment env;
    std::function<void(const peer &to, const membership_message &)> send;
    /// A member appeared, changed its state or was replaced by a new incarnation.
    std::function<void(const member_view &)> onChange;
    /// Called with true after this process was paused: it must not act on state from before the
    /// pause. Called with false once a peer has answered again.
    std::function<void(bool stale)> onStale;
    /// A peer reports a configuration digest that differs from the one set by setConfigDigest().
    std::function<void(const peer &from, const config_digest &)> onConfigDigest;
};

/// The membership of one process. Not thread-safe; it does no I/O and reads the time only through
/// its hooks.
class membership
{
public:
    membership(membership_settings settings, membership_hooks hooks);
    ~membership();
    membership(const membership &) = delete;
    membership &operator=(const membership &) = delete;

    /// Joins through `seeds`. Error: InvalidArgument if a name is empty or longer than
    /// MaxMemberNameBytes, or the incarnation is 0.
    result<void> start(const endpoint &self, process_role role, const std::vector<address> &seeds);
    /// Adds addresses at which members may be found, for example from the journal.
    void addSeeds(const std::vector<address> &seeds);
    void receive(const peer &from, const membership_message &message);
    /// Runs all timers that are due: deadlines, probes, view exchanges and repetitions.
    void tick();
    /// Time at which tick() must be called next; InfiniteFuture before start().
    absl::Time nextDeadline() const;
    /// Announces the departure at once. The process continues to answer probes until it stops.
    void leave();
    bool isLeaving() const;
    /// True from the end of a pause of this process until a peer has answered.
    bool isStale() const;

    /// All known members except this process, including dead ones within the retention time.
    std::vector<member_view> members() const;
    void forEach(const std::function<void(const member_view &)> &visit) const;
    /// State of one member. Error: UnknownEndpoint if no such member is known.
    result<member_view> find(const process_id &process) const;
    /// Members with the state Alive, Suspect or Leaving.
    std::size_t reachableMembers() const;
    /// Sets the configuration digest sent with each message.
    void setConfigDigest(config_digest digest);
    /// Time without refutation after which a suspected member is considered dead.
    absl::Duration suspicionTimeout() const;
    /// Memory held for the known members, in bytes.
    std::size_t memoryBytes() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace hyssoppond
