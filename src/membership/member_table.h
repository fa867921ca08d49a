/// @file Known members with random choice, and a hash of each bucket of the view.
#pragma once

#include "hyssoppond/membership/member_type.h"
#include "hyssoppond/membership/membership_message_type.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <array>
#include <functional>
#include <memory>
#include <vector>

namespace hyssoppond {

/// One known member.
struct member_entry
{
    member_event now; ///< latest statement; its announcement is null if never received
    absl::Time deadline = absl::InfiniteFuture(); ///< end of the suspicion or of the retention
    bool suspectedHere = false; ///< this process itself got no answer from the member
    std::uint16_t bucket = 0;
    std::size_t position = 0;       ///< index in the list of all members
    std::size_t zonePosition = 0;   ///< index in the list of the zone
    std::size_t bucketPosition = 0; ///< index in the list of the bucket

    member_state state() const;
    /// True if the member has an address and is not considered dead.
    bool isReachable() const { return now.announcement && now.state != liveness::Dead; }
    peer asPeer() const;
    member_view view() const { return {now.process, now.incarnation, state(), now.announcement}; }
};

/// Table of the members other than the own process.
class member_table
{
public:
    using entries = std::vector<member_entry *>;

    member_entry *find(const process_id &process);
    const member_entry *find(const process_id &process) const;
    member_entry &insert(const member_event &what);
    /// Replaces the statement about a member.
    void update(member_entry &entry, member_event what);
    void erase(const process_id &process);

    const entries &all() const { return m_all; }
    const entries &inZone(const zone_id &zone) const;
    const entries &inBucket(std::uint16_t bucket) const { return m_buckets[bucket]; }
    const entries &entriesOfSite() const { return m_entryRole; }
    /// Hashes of the buckets over all members that are not dead, and the own process.
    std::array<std::uint16_t, ViewBuckets> digestsWith(const member_event &self) const;
    std::size_t reachable() const { return m_reachable; }
    /// Bytes held for all members, including their announcements.
    std::size_t bytes() const;

private:
    void link(member_entry &entry);
    void unlink(member_entry &entry);

    absl::flat_hash_map<process_id, std::unique_ptr<member_entry>> m_members;
    entries m_all;
    entries m_entryRole; ///< members with the role Entry, which learn of departures first
    absl::flat_hash_map<zone_id, entries> m_zones;
    std::array<entries, ViewBuckets> m_buckets;
    std::array<std::uint16_t, ViewBuckets> m_digests {};
    std::size_t m_reachable = 0;
};

} // namespace hyssoppond
