/// @file Implementation of the deduplication table of calls.
#include "call_dedup_table_base.h"

namespace hyssoppond {

dedup_record *call_dedup_table::find(const dedup_key &key)
{
    const auto it = m_records.find(key);
    return it == m_records.end() ? nullptr : &it->second;
}

bool call_dedup_table::hasCapacity() const
{
    return m_records.size() < m_maxRecords && m_bytes < m_maxBytes;
}

dedup_record &call_dedup_table::insert(const dedup_key &key, dedup_record record)
{
    m_expiry.emplace(record.keepUntil, key);
    return m_records[key] = std::move(record);
}

void call_dedup_table::storeOutcome(dedup_record &record, call_response outcome)
{
    m_bytes += outcome.payload.size();
    record.state = dedup_state::Ended;
    record.outcome = std::move(outcome);
    record.waiters.clear();
}

void call_dedup_table::erase(const dedup_key &key)
{
    const auto it = m_records.find(key);
    if (it == m_records.end())
        return;
    m_bytes -= it->second.outcome.payload.size();
    m_records.erase(it);
}

void call_dedup_table::expire(absl::Time now)
{
    while (!m_expiry.empty() && m_expiry.begin()->first < now) {
        const dedup_key key = m_expiry.begin()->second;
        m_expiry.erase(m_expiry.begin());
        const dedup_record *record = find(key);
        if (record == nullptr)
            continue;
        const bool active
            = record->state == dedup_state::Waiting || record->state == dedup_state::Running;
        if (active)
            m_expiry.emplace(now + absl::Seconds(1), key);
        else if (record->keepUntil < now)
            erase(key);
        else
            m_expiry.emplace(record->keepUntil, key);
    }
}

absl::Time call_dedup_table::nextExpiry() const
{
    return m_expiry.empty() ? absl::InfiniteFuture() : m_expiry.begin()->first;
}

} // namespace hyssoppond
