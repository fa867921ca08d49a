/// @file Table of known members, with lists for random choice and a digest of each bucket of the
/// view.
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
    member_event latest; ///< latest statement; its announcement is null if never received
    absl::Time deadline = absl::InfiniteFuture(); ///< end of the suspicion or of the retention
    bool ownSuspicion = false; ///< this process probes the suspected member itself
    std::uint16_t bucket = 0;
    std::size_t position = 0;       ///< index in the list of all members
    std::size_t zonePosition = 0;   ///< index in the list of the zone
    std::size_t bucketPosition = 0; ///< index in the list of the bucket

    member_state state() const;
    /// True if the member has an address and is not considered dead.
    bool isReachable() const { return latest.announcement && latest.state != liveness::Dead; }
    peer asPeer() const;
    member_view view() const
    {
        return {latest.process, latest.incarnation, state(), latest.announcement};
    }
};

/// Table of all known members except this process.
class member_table
{
public:
    using entry_list = std::vector<member_entry *>;

    member_entry *find(const process_id &process);
    const member_entry *find(const process_id &process) const;
    member_entry &insert(const member_event &event);
    /// Replaces the statement about a member.
    void update(member_entry &entry, member_event event);
    void erase(const process_id &process);

    const entry_list &all() const { return m_all; }
    const entry_list &inZone(const zone_id &zone) const;
    const entry_list &inBucket(std::uint16_t bucket) const { return m_buckets[bucket]; }
    /// Members with the role Entry.
    const entry_list &entryProcesses() const { return m_entryProcesses; }
    /// Digest of each bucket over all members that are not dead, and over this process (`self`).
    std::array<std::uint16_t, ViewBuckets> digestsWith(const member_event &self) const;
    /// Number of members for which isReachable() is true.
    std::size_t reachable() const { return m_reachable; }
    /// Memory held for all members, including their announcements, in bytes.
    std::size_t bytes() const;

private:
    void link(member_entry &entry);
    void unlink(member_entry &entry);

    absl::flat_hash_map<process_id, std::unique_ptr<member_entry>> m_members;
    entry_list m_all;
    /// Members with the role Entry, which are notified of departures first.
    entry_list m_entryProcesses;
    absl::flat_hash_map<zone_id, entry_list> m_zones;
    std::array<entry_list, ViewBuckets> m_buckets;
    std::array<std::uint16_t, ViewBuckets> m_digests {};
    std::size_t m_reachable = 0;
};

} // namespace hyssoppond
