/// @file Follows a keyed topic of the store from the newest record of each key on.
#pragma once

#include "hyssoppond/batch/store_port.h"

#include <string>

namespace hyssoppond::batch {

struct follower_options
{
    std::string topic;
    absl::Duration wait = absl::Milliseconds(1500);         ///< of one long read
    absl::Duration answerWithin = absl::Milliseconds(1200); ///< besides the wait
};

/// Reads the newest record of each key, then all further records. Not thread-safe.
class log_follower
{
public:
    log_follower(follower_options options, store_port *store, loop_hooks hooks);

    /// All records as of now, in offset order; earlier ones are to be forgotten.
    std::function<void(const std::vector<stored_record> &)> onLoaded;
    /// Further records, in offset order.
    std::function<void(const std::vector<stored_record> &)> onRecords;
    /// The store stopped or resumed answering this follower.
    std::function<void(bool reachable)> onReachable;

    /// After a read that returned records, the next one begins no sooner than this after it, so
    /// that one call returns what several processes append in that time.
    void setLeastInterval(absl::Duration interval) { m_leastInterval = interval; }

    /// Reads as soon as the call in flight, if any, is answered.
    void wake();

    /// Does what is due.
    void tick();
    absl::Time nextDeadline() const;

    /// Everything was loaded once.
    bool isLoaded() const { return m_loaded; }
    /// Offset of the next record to read.
    std::uint64_t position() const { return m_position; }
    /// A time at which the store's log ended at or before the records that were handed over.
    absl::Time currentAsOf() const { return m_currentAsOf; }
    /// currentAsOf as it was before the records that were handed over last.
    absl::Time previousCurrentAsOf() const { return m_previousCurrentAsOf; }
    /// Calls `done(true)` when all records as of now are handed over, `done(false)` if the store
    /// does not say so before `deadline`.
    void barrier(absl::Time deadline, std::function<void(bool)> done);

private:
    void load();
    void onPage(newest_answer answer, absl::Time sentAt);
    void follow();
    void onRead(read_answer answer, absl::Time sentAt);
    void onBarrier(const read_answer &answer, absl::Time deadline,
                   const std::function<void(bool)> &done);
    void retryLater();
    void handOver(const std::vector<stored_record> &records, std::uint64_t end);

    follower_options m_options;
    store_port *m_store;
    loop_hooks m_hooks;
    absl::Duration m_leastInterval = absl::ZeroDuration();
    bool m_loaded = false;
    bool m_busy = false;
    bool m_reachable = true;
    bool m_fresh = false; ///< use a new connection, as the last call got no answer
    std::uint32_t m_failures = 0;
    absl::Time m_retryAt = absl::InfinitePast();
    absl::Time m_currentAsOf = absl::InfinitePast();
    absl::Time m_previousCurrentAsOf = absl::InfinitePast();
    absl::Time m_loadSentAt;
    std::uint64_t m_position = 0;
    std::uint64_t m_loadEnd = 0;
    std::string m_afterKey;
    std::vector<stored_record> m_pages;
};

} // namespace hyssoppond::batch
