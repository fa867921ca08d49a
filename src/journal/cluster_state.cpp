/// @file Applying the journal: dispatch of records, queries, retention and snapshots.
#include "hyssoppond/journal/cluster_state_base.h"

#include "hyssoppond/base/checksummed_archive_func.h"
#include "hyssoppond/journal/record_codec_func.h"
#include "verdict_func.h"

#include <algorithm>

namespace hyssoppond::journal {
namespace {

constexpr std::uint8_t SnapshotVersion = 2;
/// The control plane may use 256 MB of memory on a node. A state larger than half of that is not
/// restored.
constexpr std::size_t MaxSnapshotBytes = 128 * 1024 * 1024;

/// Pointer to the value of a key in `entries`; null if the key is not in it.
template<class map, class key>
auto *findValue(const map &entries, const key &wanted)
{
    const auto it = entries.find(wanted);
    return it == entries.end() ? nullptr : &it->second;
}

} // namespace

bool cluster_state::apply(journal_offset offset, std::string_view payload)
{
    if (offset != m_offset + 1)
        return false;
    m_offset = offset;
    const result<std::vector<journal_record>> batch = decodeBatch(payload);
    if (!batch) {
        ++(batch.error().why == reason::UnsupportedVersion ? m_skippedNewer : m_skippedDamaged);
        return true;
    }
    for (const journal_record &record : *batch) {
        const verdict decision = applyRecord(record);
        if (m_listener)
            m_listener(offset, record, decision);
    }
    prune();
    return true;
}

verdict cluster_state::applyRecord(const journal_record &record)
{
    m_recordTime = record.writtenAt;
    m_time = std::max(m_time, record.writtenAt);
    if (m_window.testAndSet(record.id, m_time))
        return reject(reason::DuplicateMessage);
    return std::visit([this](const auto &body) { return applyBody(body); }, record.body);
}

// Snapshot parts describe the state and do not change it.
// NOLINTNEXTLINE(readability-convert-member-functions-to-static,readability-make-member-function-const)
verdict cluster_state::applyBody(const snapshot_part &)
{
    return accept();
}

const job_entry *cluster_state::findJob(const job_id &id) const
{
    return findValue(m_jobs, id);
}

const domain_entry *cluster_state::findDomain(const domain_id &id) const
{
    return findValue(m_domains, id);
}

const binding_entry *cluster_state::findBinding(const team_id &team,
                                                const request_id &request) const
{
    return findValue(m_bindings, std::make_pair(team, request));
}

const config_entry *cluster_state::findConfig(const std::string &key) const
{
    const config_entry *entry = findValue(m_config, key);
    return entry != nullptr && !entry->value.empty() ? entry : nullptr;
}

accelerator_mask cluster_state::allocated(const worker_id &worker) const
{
    accelerator_mask mask = 0;
    if (const auto *jobs = findValue(m_allocations, worker)) {
        for (const auto &[job, part] : *jobs)
            mask |= part;
    }
    return mask;
}

void cluster_state::prune()
{
    if (m_time < m_prunedAt + m_options.pruneInterval)
        return;
    m_prunedAt = m_time;
    const absl::Time endedBefore = m_time - m_options.endedJobRetention;
    const absl::Time boundBefore = m_time - m_options.bindingRetention;
    const absl::Time removedBefore = m_time - m_options.removedKeyRetention;
    std::erase_if(m_jobs, [&](const auto &item) {
        return item.second.isEnded() && item.second.changedAt < endedBefore;
    });
    std::erase_if(m_bindings, [&](const auto &item) { return item.second.boundAt < boundBefore; });
    std::erase_if(m_config, [&](const auto &item) {
        return item.second.value.empty() && item.second.changedAt < removedBefore;
    });
    std::erase_if(m_endpoints, [&](const auto &item) {
        return item.second.removed && item.second.changedAt < removedBefore;
    });
    m_window.prune(m_time - m_options.writerRetention);
}

std::string cluster_state::encode() const
{
    return encodeChecksummed(SnapshotVersion, *this);
}

result<void> cluster_state::restore(std::string_view encoded)
{
    result<cluster_state> restored
        = decodeChecksummed<cluster_state>(SnapshotVersion, encoded, MaxSnapshotBytes);
    if (!restored)
        return tl::unexpected<error>(restored.error());
    restored->m_options = m_options;
    restored->m_listener = std::move(m_listener);
    restored->m_skippedNewer = m_skippedNewer;
    restored->m_skippedDamaged = m_skippedDamaged;
    *this = std::move(*restored);
    return {};
}

std::vector<snapshot_part> cluster_state::snapshot(const record_id &id) const
{
    const std::string encoded = encode();
    std::vector<snapshot_part> parts;
    const auto count = static_cast<std::uint32_t>((encoded.size() + MaxSnapshotPartBytes - 1)
                                                  / MaxSnapshotPartBytes);
    for (std::uint32_t i = 0; i < count; ++i)
        parts.push_back({id, m_offset, i, count,
                         encoded.substr(i * MaxSnapshotPartBytes, MaxSnapshotPartBytes)});
    return parts;
}

result<std::string> joinParts(const std::vector<snapshot_part> &parts)
{
    std::string joined;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (parts[i].index != i || parts[i].count != parts.size())
            return fail(
                reason::MalformedMessage,
                "a snapshot part is missing or out of order; read all parts in index order");
        joined += parts[i].bytes;
    }
    return joined;
}

} // namespace hyssoppond::journal
