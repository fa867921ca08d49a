/// @file Implementation of the search for snapshots.
#include "hyssoppond/journal/snapshot_scan_base.h"

#include <utility>

namespace hyssoppond::journal {

void snapshot_scan::add(snapshot_part part)
{
    if (part.asOf <= m_newest || part.index >= part.count)
        return;
    incomplete_snapshot &entry = m_incomplete[{part.asOf, part.snapshot}];
    entry.count = part.count;
    entry.parts[part.index] = m_keepBytes ? std::move(part.bytes) : std::string();
    if (entry.parts.size() != entry.count)
        return;
    m_bytes.clear();
    for (const auto &[index, bytes] : entry.parts)
        m_bytes += bytes;
    noteComplete(part.asOf);
}

void snapshot_scan::noteComplete(journal_offset asOf)
{
    if (asOf <= m_newest)
        return;
    m_newest = asOf;
    std::erase_if(m_incomplete, [asOf](const auto &item) { return item.first.first <= asOf; });
}

} // namespace hyssoppond::journal
