/// @file Settings of the gang protocol, equal on all processes of a site.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace hyssoppond {

/// Mechanisms that uphold the invariants. Only the fault matrix switches them off, to show that
/// its cells can fail.
struct gang_mechanisms
{
    bool settlement = true;       ///< ask the other members when a reservation ends
    bool treeLease = true;        ///< renew a lease only when the whole gang is alive
    bool waitForFencing = true;   ///< end an attempt only when every member is fenced
    bool epochCheck = true;       ///< refuse lower epochs
    bool incarnationCheck = true; ///< refuse messages to earlier incarnations
    /// Start nothing after reserveUntil, startBefore and the first lease of the gang.
    bool startBefore = true;
};

/// Durations of the protocol. Constraint: interval * 3 <= lease, so that one lost round of the tree
/// does not end a gang.
struct gang_options
{
    absl::Duration interval = absl::Seconds(1); ///< of gang_keepalive and gang_renew
    absl::Duration lease = absl::Seconds(3);
    absl::Duration maxClockSkew = absl::Milliseconds(250);
    /// From the start of an attempt to reserveUntil. Shorter than the lease, so that a member that
    /// settles finds the members that started still running.
    absl::Duration reserveFor = absl::Seconds(2);
    absl::Duration startWithin = absl::Seconds(4); ///< from the start of an attempt to startBefore
    absl::Duration firstRetry = absl::Milliseconds(100); ///< doubles up to `interval`
    absl::Duration checkpointFor = absl::Seconds(5);     ///< allowed before a preemption
    /// A gang that has not heard from a coordinator for this long gets no new leases. Without it a
    /// coordinator could never end an attempt of which no agent answers any more.
    absl::Duration contactLimit = absl::Minutes(10);
    /// Ended attempts whose coordinator has not confirmed the end are kept this long as evidence.
    absl::Duration keepEvidence = absl::Hours(1);
    std::uint32_t fanOut = 4;
    std::size_t maxRecords = 4096; ///< member records per agent; reservations beyond are refused
    gang_mechanisms mechanisms;
};

} // namespace hyssoppond
