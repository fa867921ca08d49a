/// @file Implementation of the ledger of calls.
#include "call_ledger_base.h"

namespace hyssoppond {

ledger_record *call_ledger::find(const ledger_key &key)
{
    const auto it = m_records.find(key);
    return it == m_records.end() ? nullptr : &it->second;
}

bool call_ledger::hasRoom() const
{
    return m_records.size() < m_maxRecords && m_bytes < m_maxBytes;
}

ledger_record &call_ledger::insert(const ledger_key &key, ledger_record what)
{
    m_expiry.emplace(what.keepUntil, key);
    return m_records[key] = std::move(what);
}

void call_ledger::end(ledger_record &of, call_response outcome)
{
    m_bytes += outcome.payload.size();
    of.state = ledger_state::Ended;
    of.outcome = std::move(outcome);
    of.waiters.clear();
}

void call_ledger::erase(const ledger_key &key)
{
    const auto it = m_records.find(key);
    if (it == m_records.end())
        return;
    m_bytes -= it->second.outcome.payload.size();
    m_records.erase(it);
}

void call_ledger::expire(absl::Time now)
{
    while (!m_expiry.empty() && m_expiry.begin()->first < now) {
        const ledger_key key = m_expiry.begin()->second;
        m_expiry.erase(m_expiry.begin());
        const ledger_record *record = find(key);
        if (record == nullptr)
            continue;
        const bool active
            = record->state == ledger_state::Waiting || record->state == ledger_state::Running;
        if (active)
            m_expiry.emplace(now + absl::Seconds(1), key);
        else if (record->keepUntil < now)
            erase(key);
        else
            m_expiry.emplace(record->keepUntil, key);
    }
}

absl::Time call_ledger::nextExpiry() const
{
    return m_expiry.empty() ? absl::InfiniteFuture() : m_expiry.begin()->first;
}

} // namespace hyssoppond
