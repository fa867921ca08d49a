/// @file Record of an agent about the calls that it admitted, refused or fenced.
#pragma once

#include "hyssoppond/routing/call_message_type.h"

#include <map>
#include <tuple>
#include <vector>

namespace hyssoppond {

/// What a record of the ledger is about.
enum class ledger_scope : std::uint8_t { Attempt, Id, Token };

/// Key of a record. For `Token` the request is the nonce of the token.
struct ledger_key
{
    ledger_scope scope = ledger_scope::Attempt;
    call_attempt attempt; ///< for `Id` and `Token` only the call id is set

    auto operator<=>(const ledger_key &) const = default;
};

enum class ledger_state : std::uint8_t { Waiting, Running, Ended, Fenced, Refused };

/// One call, attempt or fence.
struct ledger_record
{
    ledger_state state = ledger_state::Waiting;
    absl::Time keepUntil;
    std::uint64_t checksum = 0;        ///< of the request's payload
    std::vector<call_attempt> waiters; ///< attempts that get the outcome
    call_response outcome;             ///< of an ended call
    call_refused refusal;              ///< of a refused attempt
};

/// Bounded table of records. A record is dropped only when its `keepUntil` has passed and it is
/// neither waiting nor running.
class call_ledger
{
public:
    call_ledger(std::size_t maxRecords, std::size_t maxBytes)
        : m_maxRecords(maxRecords)
        , m_maxBytes(maxBytes)
    { }

    ledger_record *find(const ledger_key &key);
    /// Whether another record fits.
    bool hasRoom() const;
    /// Adds a record; the caller has checked hasRoom().
    ledger_record &insert(const ledger_key &key, ledger_record what);
    /// Stores the outcome of a call and counts its bytes.
    void end(ledger_record &of, call_response outcome);
    void erase(const ledger_key &key);
    /// Drops what may be dropped at `now`.
    void expire(absl::Time now);
    std::size_t size() const { return m_records.size(); }
    /// Earliest time at which expire() may drop something.
    absl::Time nextExpiry() const;

private:
    std::size_t m_maxRecords;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::map<ledger_key, ledger_record> m_records; ///< a map, so that records do not move
    std::multimap<absl::Time, ledger_key> m_expiry;
};

} // namespace hyssoppond
