/// @file Deduplication table of an agent: the calls that it admitted, refused or fenced.
#pragma once

#include "hyssoppond/routing/call_message_type.h"

#include <map>
#include <tuple>
#include <vector>

namespace hyssoppond {

/// What a record of the table identifies: one attempt, a request id or a token.
enum class dedup_scope : std::uint8_t { Attempt, Id, Token };

/// Key of a record. For `Token` the request is the nonce of the token.
struct dedup_key
{
    dedup_scope scope = dedup_scope::Attempt;
    call_attempt attempt; ///< for `Id` and `Token` only the call id is set

    auto operator<=>(const dedup_key &) const = default;
};

enum class dedup_state : std::uint8_t { Waiting, Running, Ended, Fenced, Refused };

/// State of one call, refused attempt or fence.
struct dedup_record
{
    dedup_state state = dedup_state::Waiting;
    absl::Time keepUntil;              ///< earliest time at which the record may be dropped
    std::uint64_t checksum = 0;        ///< of the request's payload
    std::vector<call_attempt> waiters; ///< attempts that are sent the outcome
    call_response outcome;             ///< of an ended call
    call_refused refusal;              ///< of a refused attempt
};

/// Bounded table of records. A record is dropped only when its `keepUntil` has passed and it is
/// neither waiting nor running.
class call_dedup_table
{
public:
    call_dedup_table(std::size_t maxRecords, std::size_t maxBytes)
        : m_maxRecords(maxRecords)
        , m_maxBytes(maxBytes)
    { }

    /// Returns the record, or null.
    dedup_record *find(const dedup_key &key);
    /// Whether the table is below its limits of records and of outcome bytes.
    bool hasCapacity() const;
    /// Adds a record; the caller has checked hasCapacity().
    dedup_record &insert(const dedup_key &key, dedup_record record);
    /// Marks a call as ended, stores its outcome and counts the bytes of the payload.
    void storeOutcome(dedup_record &record, call_response outcome);
    void erase(const dedup_key &key);
    /// Drops the records that may be dropped at `now`.
    void expire(absl::Time now);
    std::size_t size() const { return m_records.size(); }
    /// Earliest time at which expire() may drop a record.
    absl::Time nextExpiry() const;

private:
    std::size_t m_maxRecords;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::map<dedup_key, dedup_record> m_records; ///< a map keeps references to records valid
    std::multimap<absl::Time, dedup_key> m_expiry;
};

} // namespace hyssoppond
