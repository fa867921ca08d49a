/// @file Search of the retained log for the newest complete snapshot.
#pragma once

#include "hyssoppond/journal/record_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppond::journal {

/// Collects snapshot parts. Keeps the bytes of the newest complete snapshot, and of the incomplete
/// snapshots that are newer than it.
class snapshot_scan
{
public:
    /// Without `keepBytes`, only the offsets of complete snapshots are recorded.
    explicit snapshot_scan(bool keepBytes)
        : m_keepBytes(keepBytes)
    { }

    /// Adds one part. Parts of snapshots that are not newer than newest() are ignored.
    void add(snapshot_part part);
    /// Last offset of the newest complete snapshot; 0 if there is none.
    journal_offset newest() const { return m_newest; }
    /// Encoded state of the newest complete snapshot that was added.
    const std::string &bytes() const { return m_bytes; }
    /// Records that a complete snapshot as of `asOf` exists, and drops incomplete older ones.
    void noteComplete(journal_offset asOf);

private:
    struct incomplete_snapshot
    {
        std::map<std::uint32_t, std::string> parts;
        std::uint32_t count = 0;
    };

    bool m_keepBytes;
    std::map<std::pair<journal_offset, record_id>, incomplete_snapshot> m_incomplete;
    journal_offset m_newest = 0;
    std::string m_bytes;
};

} // namespace hyssoppond::journal
