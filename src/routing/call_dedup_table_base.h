/// @file Record of an agent about the calls that it admitted, refused or fenced.
#pragma once

#include "hyssoppond/routing/call_message_type.h"

#include <map>
#include <tuple>
#include <vector>

namespace hyssoppond {

/// What a record of the table is about.
enum class dedup_scope : std::uint8_t { Attempt, Id, Token };

/// Key of a record. For `Token` the request is the nonce of the token.
struct dedup_key
{
    dedup_scope scope = dedup_scope::Attempt;
    call_attempt attempt; ///< for `Id` and `Token` only the call id is set

    auto operator<=>(const dedup_key &) const = default;
};

enum class dedup_state : std::uint8_t { Waiting, Running, Ended, Fenced, Refused };

/// One call, attempt or fence.
struct dedup_record
{
    dedup_state state = dedup_state::Waiting;
    absl::Time keepUntil;
    std::uint64_t checksum = 0;        ///< of the request's payload
    std::vector<call_attempt> waiters; ///< attempts that get the outcome
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

    dedup_record *find(const dedup_key &key);
    /// Whether another record fits.
    bool hasRoom() const;
    /// Adds a record; the caller has checked hasRoom().
    dedup_record &insert(const dedup_key &key, dedup_record what);
    /// Stores the outcome of a call and counts its bytes.
    void end(dedup_record &of, call_response outcome);
    void erase(const dedup_key &key);
    /// Drops what may be dropped at `now`.
    void expire(absl::Time now);
    std::size_t size() const { return m_records.size(); }
    /// Earliest time at which expire() may drop something.
    absl::Time nextExpiry() const;

private:
    std::size_t m_maxRecords;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::map<dedup_key, dedup_record> m_records; ///< a map, so that records do not move
    std::multimap<absl::Time, dedup_key> m_expiry;
};

} // namespace hyssoppond
