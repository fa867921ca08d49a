/// @file Search of the retained log for the newest complete snapshot.
#pragma once

#include "hyssoppond/journal/record_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppond::journal {

/// Collects snapshot parts. Keeps the bytes of at most one complete and the incomplete snapshots
/// that are newer than it.
class snapshot_scan
{
public:
    /// `keepBytes` false: only notes which snapshots are complete.
    explicit snapshot_scan(bool keepBytes)
        : m_keepBytes(keepBytes)
    { }

    void add(snapshot_part part);
    /// Last offset of the newest complete snapshot; 0 if there is none.
    journal_offset newest() const { return m_newest; }
    /// Encoded state of the newest complete snapshot.
    const std::string &bytes() const { return m_bytes; }
    /// Notes a snapshot that is known from elsewhere.
    void noteComplete(journal_offset asOf);

private:
    struct partial
    {
        std::map<std::uint32_t, std::string> parts;
        std::uint32_t count = 0;
    };

    bool m_keepBytes;
    std::map<std::pair<journal_offset, record_id>, partial> m_partial;
    journal_offset m_newest = 0;
    std::string m_bytes;
};

} // namespace hyssoppond::journal
