/// @file Settings of the gang protocol, equal on all processes of a site.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace hyssoppond {

/// Mechanisms that enforce the invariants. Only the fault tests disable them, to show that each
/// test fails without its mechanism.
struct gang_mechanisms
{
    bool settlement = true;       ///< query the other members when a reservation expires
    bool treeLease = true;        ///< renew leases only while all members are alive
    bool waitForFencing = true;   ///< end an attempt only when every member is fenced
    bool epochCheck = true;       ///< refuse messages with a lower epoch than seen before
    bool incarnationCheck = true; ///< refuse messages to earlier incarnations
    /// Accept no start after reserveUntil, start no task at or after startBefore, and limit the
    /// first lease to the one that gang_start gives.
    bool startBefore = true;
};

/// Durations and limits of the protocol. Constraint: interval * 3 <= lease, so that one lost round
/// of keepalives through the tree does not end a gang.
struct gang_options
{
    absl::Duration interval = absl::Seconds(1); ///< between rounds of gang_keepalive and gang_renew
    absl::Duration lease = absl::Seconds(3);    ///< counted from when all members were alive
    absl::Duration maxClockSkew = absl::Milliseconds(250); ///< between clocks of two processes
    /// Time from the start of an attempt to reserveUntil. Must be shorter than the lease, so that a
    /// member in settlement finds the members that have started still running.
    absl::Duration reserveTimeout = absl::Seconds(2);
    /// Time from the start of an attempt to startBefore.
    absl::Duration startTimeout = absl::Seconds(4);
    absl::Duration firstRetry = absl::Milliseconds(100); ///< of a message; doubles up to `interval`
    absl::Duration checkpointTimeout = absl::Seconds(5); ///< for a checkpoint before a preemption
    /// The leases of a gang are not renewed beyond this time after the last message of a
    /// coordinator. Otherwise a coordinator could never end an attempt none of whose agents answers
    /// any more.
    absl::Duration contactLimit = absl::Minutes(10);
    /// Minimum time for which an agent keeps the record of an ended member whose end the
    /// coordinator has not confirmed. The coordinator confirms late reports of an ended attempt for
    /// this long.
    absl::Duration endedRetention = absl::Hours(1);
    std::uint32_t fanOut = 4;      ///< children per member in the lease renewal tree
    std::size_t maxRecords = 4096; ///< member records per agent; more reservations are refused
    gang_mechanisms mechanisms;
};

} // namespace hyssoppond
