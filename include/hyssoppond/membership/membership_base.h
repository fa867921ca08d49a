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
    bool indirectProbes = true;   ///< a silent member is also probed through others
    bool retransmission = true;   ///< events are repeated, and members pass on what they hear
    bool incarnationCheck = true; ///< events about an earlier incarnation are outranked
    bool deadRetry = true;        ///< dead members are tried again at a low rate
    bool pauseCheck = true;       ///< a paused process distrusts the state from before the pause
};

/// Settings of the protocol. Durations here are options; the class stores deadlines only.
struct membership_settings
{
    absl::Duration period = absl::Seconds(1);              ///< one probe for each period
    absl::Duration probeTimeout = absl::Milliseconds(300); ///< then indirect probes start
    std::uint32_t indirectProbes = 3;
    std::uint32_t suspicionPeriods = 4;    ///< multiplied by log10 of the number of members
    std::uint32_t remoteProbePercent = 20; ///< share of probes to other zones
    /// Multiplied by log2 of the number of members. With 1, one of 15 members missed a death in a
    /// third of the cases at 10% loss.
    std::uint32_t retransmitFactor = 3;
    std::uint32_t forwardFanout = 3; ///< members to which an urgent event is forwarded at once
    absl::Duration forwardInterval = absl::Milliseconds(100); ///< at most one forwarding in it
    // With 3 packets of 1,050 bytes each, a sustained forwarding takes at most 1.6 KB/s of the
    // 2 KB/s for each node; a burst of ten passes on a departure at once.
    absl::Duration forwardSustained = absl::Seconds(2);      ///< between forwardings after a burst
    absl::Duration forwardBurst = absl::Seconds(20);         ///< that may be used in advance
    std::size_t maxPiggybackBytes = 400;                     ///< of events on a probe or its answer
    absl::Duration noticeInterval = absl::Milliseconds(300); ///< between repetitions of a notice
    std::uint32_t fastNotices = 6;     ///< then one repetition for each period
    std::uint32_t noticeAttempts = 60; ///< outlasts a loss of contact of most of a minute
    absl::Duration viewInterval = absl::Seconds(10);   ///< between exchanges of view digests
    absl::Duration catchUpInterval = absl::Seconds(1); ///< while views differ widely
    absl::Duration rescanSpan
        = absl::Seconds(30); ///< from the start, in which the view may be read again
    absl::Duration joinInterval = absl::Milliseconds(200); ///< between requests while joining
    std::uint32_t bucketPackets = 4; ///< packets sent for one bucket request, at least one bucket
    absl::Duration deadRetryInterval = absl::Seconds(10);
    absl::Duration deadRetention = absl::Hours(1); ///< longer than the longest loss of contact
    membership_mechanisms mechanisms;
};

/// Effects and inputs of the membership.
struct membership_hooks
{
    environment env;
    std::function<void(const peer &to, const membership_message &)> send;
    /// A member appeared, changed its state or was replaced by a new incarnation.
    std::function<void(const member_view &)> onChange;
    /// True: this process was paused and must not act on state from before the pause. False: it
    /// has heard from a peer again.
    std::function<void(bool stale)> onStale;
    /// A peer has another configuration than the one given to setConfigDigest.
    std::function<void(const peer &from, const config_digest &)> onConfigDigest;
};

/// The membership of one process. Not thread-safe; does no I/O and reads time by hook only.
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
    void receive(const peer &from, const membership_message &what);
    /// Performs everything that is due.
    void tick();
    /// When tick() is due next.
    absl::Time nextDeadline() const;
    /// Announces the departure at once. The process continues to answer probes until it stops.
    void leave();
    bool isLeaving() const;
    /// True after a pause until a peer has answered.
    bool isStale() const;

    /// All known members other than the own process, including dead ones within the retention.
    std::vector<member_view> members() const;
    void forEach(const std::function<void(const member_view &)> &visit) const;
    /// State of one member; error UnknownEndpoint.
    result<member_view> find(const process_id &process) const;
    /// Members with the state Alive, Suspect or Leaving.
    std::size_t reachableMembers() const;
    void setConfigDigest(config_digest digest);
    /// Time without refutation after which a suspected member is considered dead.
    absl::Duration suspicionTimeout() const;
    /// Bytes held for the known members.
    std::size_t memoryBytes() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace hyssoppond
