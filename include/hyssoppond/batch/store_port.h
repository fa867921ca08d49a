/// @file Interface to a store of keyed logs with fenced appends and group membership.
#pragma once

#include "hyssoppond/base/name_table_type.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppond::batch {

/// What is known about a call to the store.
enum class store_outcome : std::uint8_t {
    Ok,
    Refused,       ///< nothing was done
    Unknown,       ///< no answer: it may have been done or may still be done
    Fenced,        ///< a higher epoch of the producer exists
    OutOfSequence, ///< the sequence number does not follow the producer's last one
    Expired,       ///< the records asked for are no longer kept
    Rejected,      ///< the store does not accept this call; repeating it does not help
};

/// Names of the outcomes.
inline constexpr name_table<store_outcome, 7> StoreOutcomeNames {
    {"ok", "refused", "unknown", "fenced", "out_of_sequence", "expired", "rejected"}};

/// One record. In a keyed topic, an empty value removes the key.
struct stored_record
{
    std::string key; ///< empty in a topic without keys
    std::string value;
    std::uint64_t offset = 0;
};

/// Identifies the writer, so that the store fences earlier epochs and drops repetitions.
struct producer_stamp
{
    std::string name;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

struct append_request
{
    std::string topic;
    std::vector<stored_record> records; ///< appended all or none; offsets are ignored
    std::optional<producer_stamp> producer;
    absl::Time deadline; ///< on the caller's steady clock
    /// Sent directly if no peer can send it, even while the store refuses calls.
    bool urgent = false;
};

struct append_answer
{
    store_outcome outcome = store_outcome::Unknown;
    std::uint64_t offset = 0; ///< of the first record
};

struct read_request
{
    std::string topic;
    std::uint64_t from = 0;
    absl::Duration wait = absl::ZeroDuration(); ///< how long the store may wait for a record
    absl::Time deadline;
    bool freshConnection = false; ///< an earlier call on a kept connection got no answer
};

struct read_answer
{
    store_outcome outcome = store_outcome::Unknown;
    std::vector<stored_record> records;
    std::uint64_t end = 0;   ///< offset of the next append
    std::uint64_t first = 0; ///< oldest offset that is kept
    /// Least time from the start of the call to the moment at which the topic was as this answer
    /// shows: the wait of the call if the store itself answered after it, otherwise 0.
    absl::Duration waited = absl::ZeroDuration();
};

struct newest_request
{
    std::string topic;
    std::string afterKey; ///< empty: from the first key
    absl::Time deadline;
    bool freshConnection = false;
};

struct newest_answer
{
    store_outcome outcome = store_outcome::Unknown;
    std::vector<stored_record> records; ///< the newest one of each key, in the order of the keys
    bool more = false;                  ///< there are further keys
    std::uint64_t end = 0;              ///< offset of the next append
};

struct join_request
{
    std::string group;
    std::string member;
    std::string topic;
    absl::Duration ttl;           ///< of the membership, unless it is renewed by another call
    std::uint64_t generation = 0; ///< last one that the member received; 0: none
    absl::Time deadline;
    bool freshConnection = false;
};

struct join_answer
{
    store_outcome outcome = store_outcome::Unknown;
    std::uint64_t generation = 0;
    std::vector<std::uint32_t> partitions; ///< of the topic that belong to the member
};

/// The store. Completions run on the caller's thread, once per call.
struct store_port
{
    std::function<void(append_request, std::function<void(append_answer)>)> append;
    std::function<void(read_request, std::function<void(read_answer)>)> read;
    std::function<void(newest_request, std::function<void(newest_answer)>)> newest;
    std::function<void(join_request, std::function<void(join_answer)>)> join;
    std::function<void(join_request)> leave; ///< best effort
};

/// Clocks and random numbers of a state machine, so that tests can replace them.
struct loop_hooks
{
    /// Steady clock that also counts the time during which the machine is suspended.
    std::function<absl::Time()> now;
    std::function<absl::Time()> wallNow; ///< time of day
    std::function<std::uint64_t()> random;
};

} // namespace hyssoppond::batch
