/// @file Table of known members.
#include "member_table.h"

#include <xxhash.h>

namespace hyssoppond {
namespace {

std::uint64_t hashOf(const process_id &process, std::uint64_t seed)
{
    return XXH64(process.str().data(), process.str().size(), seed);
}

/// Hash of the fields that the exchange of views synchronizes. Suspicions are left out, because
/// they change often and are resolved by probes.
std::uint16_t digestOf(const member_event &event)
{
    if (event.state == liveness::Dead || !event.announcement)
        return 0;
    return static_cast<std::uint16_t>(
        hashOf(event.process, event.incarnation * 2 + (event.leaving ? 1 : 0)));
}

/// Removes `entry` from `list` in constant time; `index` is the field that stores its position.
void removeAt(member_table::entry_list &list, member_entry &entry, std::size_t member_entry::*index)
{
    list[entry.*index] = list.back();
    list[entry.*index]->*index = entry.*index;
    list.pop_back();
}

/// Heap memory of a string in bytes; strings of up to 15 characters are stored inline.
std::size_t heapBytes(const std::string &text)
{
    return text.capacity() > 15 ? text.capacity() + 1 : 0;
}

std::size_t bytesOf(const member_announcement &announced)
{
    const endpoint &self = announced.self;
    return sizeof(announced) + 16 + heapBytes(self.agent.str()) + heapBytes(self.control.host)
        + heapBytes(self.zone.str()) + heapBytes(self.servedWorker.id.str())
        + heapBytes(self.servedWorker.rack.str()) + heapBytes(self.servedRunner.id.str());
}

} // namespace

member_state member_entry::state() const
{
    if (latest.state == liveness::Dead)
        return member_state::Dead;
    if (latest.leaving)
        return member_state::Leaving;
    return latest.state == liveness::Suspect ? member_state::Suspect : member_state::Alive;
}

peer member_entry::asPeer() const
{
    return {latest.process, latest.incarnation,
            latest.announcement ? latest.announcement->self.control : address {}};
}

member_entry *member_table::find(const process_id &process)
{
    const auto it = m_members.find(process);
    return it == m_members.end() ? nullptr : it->second.get();
}

const member_entry *member_table::find(const process_id &process) const
{
    const auto it = m_members.find(process);
    return it == m_members.end() ? nullptr : it->second.get();
}

member_entry &member_table::insert(const member_event &event)
{
    auto entry = std::make_unique<member_entry>();
    entry->latest = event;
    entry->bucket = static_cast<std::uint16_t>(hashOf(event.process, 0) % ViewBuckets);
    member_entry &added = *entry;
    m_members[event.process] = std::move(entry);
    link(added);
    return added;
}

void member_table::update(member_entry &entry, member_event event)
{
    unlink(entry);
    entry.latest = std::move(event);
    link(entry);
}

void member_table::erase(const process_id &process)
{
    const auto it = m_members.find(process);
    if (it == m_members.end())
        return;
    unlink(*it->second);
    m_members.erase(it);
}

const member_table::entry_list &member_table::inZone(const zone_id &zone) const
{
    static const entry_list none;
    const auto it = m_zones.find(zone);
    return it == m_zones.end() ? none : it->second;
}

void member_table::link(member_entry &entry)
{
    const auto append = [&entry](entry_list &list, std::size_t member_entry::*index) {
        entry.*index = list.size();
        list.push_back(&entry);
    };
    append(m_all, &member_entry::position);
    append(m_buckets[entry.bucket], &member_entry::bucketPosition);
    if (entry.latest.announcement) {
        append(m_zones[entry.latest.announcement->self.zone], &member_entry::zonePosition);
        if (entry.latest.announcement->role == process_role::Entry)
            m_entryProcesses.push_back(&entry);
    }
    m_digests[entry.bucket] ^= digestOf(entry.latest);
    m_reachable += entry.isReachable() ? 1 : 0;
}

void member_table::unlink(member_entry &entry)
{
    removeAt(m_all, entry, &member_entry::position);
    removeAt(m_buckets[entry.bucket], entry, &member_entry::bucketPosition);
    if (entry.latest.announcement) {
        removeAt(m_zones[entry.latest.announcement->self.zone], entry, &member_entry::zonePosition);
        if (entry.latest.announcement->role == process_role::Entry)
            std::erase(m_entryProcesses, &entry);
    }
    m_digests[entry.bucket] ^= digestOf(entry.latest);
    m_reachable -= entry.isReachable() ? 1 : 0;
}

std::array<std::uint16_t, ViewBuckets> member_table::digestsWith(const member_event &self) const
{
    std::array<std::uint16_t, ViewBuckets> digests = m_digests;
    digests[hashOf(self.process, 0) % ViewBuckets] ^= digestOf(self);
    return digests;
}

std::size_t member_table::bytes() const
{
    std::size_t bytes = m_members.capacity() * (sizeof(process_id) + sizeof(void *) + 1)
        + (m_all.capacity() + m_entryProcesses.capacity()) * sizeof(void *);
    for (const entry_list &bucket : m_buckets)
        bytes += bucket.capacity() * sizeof(void *);
    for (const auto &[zone, list] : m_zones)
        bytes += list.capacity() * sizeof(void *);
    for (const member_entry *entry : m_all) {
        bytes += sizeof(*entry) + 2 * heapBytes(entry->latest.process.str());
        if (entry->latest.announcement)
            bytes += bytesOf(*entry->latest.announcement);
    }
    return bytes;
}

} // namespace hyssoppond
