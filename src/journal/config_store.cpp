/// @file Implementation of the configuration store.
#include "hyssoppond/journal/config_store_base.h"

#include <xxhash.h>

#include <algorithm>

namespace hyssoppond::journal {
namespace {

std::uint32_t bucketOf(const std::string &key)
{
    return static_cast<std::uint32_t>(XXH64(key.data(), key.size(), 0) % config_store::Buckets);
}

/// Hash of key and version. The version determines the value, so the value is not hashed.
std::uint64_t hashOf(const config_item &item)
{
    return XXH64(item.key.data(), item.key.size(), item.version);
}

/// Approximate encoded size of an item in bytes.
std::size_t sizeOf(const config_item &item)
{
    constexpr std::size_t FixedBytes = 32; // length of key, length of value, version and time
    return FixedBytes + item.key.size() + item.value.size();
}

/// Adds items to a part until its size limit is reached. The first item is always added, whatever
/// its size.
class part_builder
{
public:
    part_builder(config_part *part, std::size_t maxBytes)
        : m_part(part)
        , m_remainingBytes(maxBytes)
    { }

    /// Returns false, and marks the part as incomplete, if the item does not fit.
    bool add(const config_item &item)
    {
        const std::size_t size = sizeOf(item);
        if (!m_part->items.empty() && size > m_remainingBytes) {
            m_part->more = true;
            return false;
        }
        m_remainingBytes -= std::min(m_remainingBytes, size);
        m_part->items.push_back(item);
        return true;
    }

private:
    config_part *m_part;
    std::size_t m_remainingBytes;
};

} // namespace

void config_store::erase(const std::string &key)
{
    const std::uint32_t bucket = bucketOf(key);
    const auto it = m_items[bucket].find(key);
    if (it == m_items[bucket].end())
        return;
    m_hashes[bucket] ^= hashOf(it->second);
    m_byVersion.erase({it->second.version, key});
    m_items[bucket].erase(it);
}

bool config_store::merge(const config_item &item)
{
    const config_item *known = find(item.key);
    if (known != nullptr
        && (item.version == known->version || (newestWins && item.version < known->version)))
        return false;
    erase(item.key);
    const std::uint32_t bucket = bucketOf(item.key);
    m_items[bucket][item.key] = item;
    m_hashes[bucket] ^= hashOf(item);
    m_byVersion.insert({item.version, item.key});
    if (onChange)
        onChange(item);
    return true;
}

const config_item *config_store::find(const std::string &key) const
{
    const auto &bucket = m_items[bucketOf(key)];
    const auto it = bucket.find(key);
    return it == bucket.end() ? nullptr : &it->second;
}

journal_offset config_store::highest() const
{
    return m_byVersion.empty() ? 0 : m_byVersion.rbegin()->first;
}

std::uint64_t config_store::hash() const
{
    std::uint64_t combined = 0;
    for (const std::uint64_t bucketHash : m_hashes)
        combined ^= bucketHash;
    return combined;
}

config_part config_store::newerThan(journal_offset version, std::size_t maxBytes) const
{
    config_part part;
    part_builder builder(&part, maxBytes);
    for (auto it = m_byVersion.lower_bound({version + 1, {}}); it != m_byVersion.end(); ++it) {
        if (!builder.add(*find(it->second)))
            break;
    }
    return part;
}

config_part config_store::walk(std::uint64_t mask, const config_cursor &cursor,
                               std::size_t maxBytes) const
{
    config_part part;
    part.next = cursor;
    part_builder builder(&part, maxBytes);
    for (std::uint32_t bucket = cursor.bucket; bucket < Buckets; ++bucket) {
        if ((mask >> bucket & 1U) == 0)
            continue;
        const bool resumesBucket = bucket == cursor.bucket && !cursor.after.empty();
        auto it
            = resumesBucket ? m_items[bucket].upper_bound(cursor.after) : m_items[bucket].begin();
        for (; it != m_items[bucket].end(); ++it) {
            if (!builder.add(it->second))
                return part;
            part.next = {bucket, it->first};
        }
    }
    return part;
}

void config_store::prune(absl::Time before)
{
    std::vector<std::string> expired;
    for (const auto &bucket : m_items) {
        for (const auto &[key, item] : bucket) {
            if (item.value.empty() && item.changedAt < before)
                expired.push_back(key);
        }
    }
    for (const std::string &key : expired)
        erase(key);
}

} // namespace hyssoppond::journal
