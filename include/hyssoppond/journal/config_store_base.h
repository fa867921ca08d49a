/// @file Store of the newest configuration that one process knows.
#pragma once

#include "hyssoppond/base/id_type.h"
#include "hyssoppond/base/time_serialize_func.h"

#include <cereal/types/string.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssoppond::journal {

/// Accepted change of one configuration key.
struct config_item
{
    std::string key;
    std::string value;          ///< empty: removed
    journal_offset version = 0; ///< offset of the change in the journal
    absl::Time changedAt;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(key, value, version, changedAt);
    }
};

/// Position in a walk over the items, by bucket and key.
struct config_cursor
{
    std::uint32_t bucket = 0;
    std::string after; ///< key of the last item seen in the bucket

    template<class archive>
    void serialize(archive &ar)
    {
        ar(bucket, after);
    }
};

/// Part of a walk over the items, limited in size.
struct config_part
{
    std::vector<config_item> items;
    config_cursor next; ///< where the walk continues
    bool more = false;  ///< items are left after this part
};

/// Keeps the change with the highest version of each key. Removed keys are kept until prune, so
/// that an older value from another process cannot bring a removed key back.
class config_store
{
public:
    static constexpr std::uint32_t Buckets = 64;
    using bucket_hashes = std::array<std::uint64_t, Buckets>;

    /// Called for each change that took effect.
    std::function<void(const config_item &)> onChange;
    /// Keeps the change with the highest version. Disabled only in fault cells, where the change
    /// that arrives last then wins.
    bool newestWins = true;

    /// Stores the item if it is newer than the known item of its key. Returns whether it was
    /// stored.
    bool merge(const config_item &item);
    /// Newest change of a key, also if it removed the key; null if none is known.
    const config_item *find(const std::string &key) const;
    std::size_t size() const { return m_byVersion.size(); }
    /// Highest version of all items; 0 if empty.
    journal_offset highest() const;
    /// Hash of all items, equal in two processes that know the same changes; 0 if empty.
    std::uint64_t hash() const;
    const bucket_hashes &hashes() const { return m_hashes; }

    /// Items with a version above `version`, oldest first: up to about `maxBytes`, but at
    /// least one item.
    config_part newerThan(journal_offset version, std::size_t maxBytes) const;
    /// Items of the buckets in `mask` from `cursor` on: up to about `maxBytes`, but at least one
    /// item.
    config_part walk(std::uint64_t mask, const config_cursor &cursor, std::size_t maxBytes) const;
    /// Forgets keys that were removed before `before`.
    void prune(absl::Time before);

private:
    void erase(const std::string &key);

    std::array<std::map<std::string, config_item>, Buckets> m_items;
    std::set<std::pair<journal_offset, std::string>> m_byVersion;
    bucket_hashes m_hashes {};
};

} // namespace hyssoppond::journal
