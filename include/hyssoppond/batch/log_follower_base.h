/// @file Reads a keyed topic of the store: the newest record of each key, then all later records.
#pragma once

#include "hyssoppond/batch/store_port.h"

#include <string>

namespace hyssoppond::batch {

struct follower_options
{
    std::string topic;
    absl::Duration wait = absl::Milliseconds(1500);          ///< of the store, for a new record
    absl::Duration answerTimeout = absl::Milliseconds(1200); ///< added to the wait
    /// Upper bound of the time limit of a try after others got no answer.
    absl::Duration maxAnswerTimeout = absl::Milliseconds(9600);
};

/// How the newest records were read; the pages are not a snapshot.
struct load_summary
{
    std::uint64_t firstEnd = 0; ///< offset of the next append when the first page was read
    std::uint64_t lastEnd = 0;  ///< offset as of which the load was handed over
    std::uint32_t pages = 0;
    std::size_t newerRecords = 0; ///< records between these offsets, which were read from the log
};

/// Text for the log.
std::string toString(const load_summary &load);

/// Reads the newest record of each key, then all further records. Not thread-safe.
class log_follower
{
public:
    log_follower(follower_options options, store_port *store, loop_hooks hooks);

    /// Receives the newest record of each key as of position(), in offset order. They replace all
    /// earlier records.
    std::function<void(const std::vector<stored_record> &)> onLoaded;
    /// Receives later records, in offset order.
    std::function<void(const std::vector<stored_record> &)> onRecords;
    /// The store stopped or resumed answering this follower.
    std::function<void(bool reachable)> onReachable;

    /// Sets the shortest pause after a read that returned records, so that the next read returns
    /// what several processes append in that time.
    void setMinReadInterval(absl::Duration interval) { m_minReadInterval = interval; }

    /// Reads without a pause, as soon as the call in flight, if any, is answered. No effect while
    /// the store fails.
    void wake();

    /// Does what is due.
    void tick();
    /// When tick has to be called next.
    absl::Time nextDeadline() const;

    /// The newest record of each key was handed over.
    bool isLoaded() const { return m_phase == phase::Following; }
    /// The last load that was handed over.
    const load_summary &lastLoad() const { return m_lastLoad; }
    /// Offset of the next record to read.
    std::uint64_t position() const { return m_position; }
    /// Latest time as of which all records of the topic are known to be handed over.
    absl::Time currentAsOf() const { return m_currentAsOf; }
    /// Value of currentAsOf before the last successful read.
    absl::Time previousCurrentAsOf() const { return m_previousCurrentAsOf; }
    /// Calls `done(true)` when all records as of now are handed over, `done(false)` if the store
    /// does not confirm that before `deadline`.
    void barrier(absl::Time deadline, std::function<void(bool)> done);

private:
    enum class phase : std::uint8_t {
        ReadingPages, ///< the newest record of each key
        CatchingUp,   ///< records that were appended while the pages were read
        Following,    ///< the load was handed over
    };

    /// One call for a page or a read, which may be tried several times.
    struct call_try
    {
        std::uint64_t step = 0; ///< the page or read that it is for
        bool isLong = false;    ///< others may be sent beside it
        absl::Time sentAt;
        absl::Time deadline;
    };

    /// Begins a try of the present page or read. After a try without an answer the next one may
    /// take longer, and tries with the usual limit are sent beside it. So an answer that takes long
    /// arrives, and the end of a silence is noticed as soon as without the long try.
    call_try beginTry(absl::Duration wait);
    /// Ends a try. Returns false if its page or read has ended with another one.
    bool endTry(const call_try &ended, store_outcome outcome);
    /// Ends the present page or read with an answer: tries that are in flight no longer count.
    void endStep();

    void readPage();
    void onPage(newest_answer answer, const call_try &answered);
    void catchUp();
    void onCaughtUp(read_answer answer, const call_try &answered);
    /// Drops the load that is in progress, so that the next one begins with the first page.
    void resetLoad();
    /// Replaces the records of the pages by the newer ones of the log.
    void mergeNewerRecords();
    void handOver();
    void follow();
    void onRead(read_answer answer, const call_try &answered);
    void onBarrier(const read_answer &answer, absl::Time deadline,
                   const std::function<void(bool)> &done);
    /// Lets the next try begin after a pause.
    void retryLater(const call_try &ended);
    void deliver(const std::vector<stored_record> &records, std::uint64_t end);

    follower_options m_options;
    store_port *m_store;
    loop_hooks m_hooks;
    absl::Duration m_minReadInterval = absl::ZeroDuration();
    phase m_phase = phase::ReadingPages;
    bool m_inFlight = false; ///< a try beside which no other one is sent
    bool m_longTryInFlight = false;
    std::uint64_t m_step = 0;
    std::uint32_t m_unansweredTries = 0; ///< of the present page or read
    bool m_reachable = true;
    bool m_useFreshConnection = false; ///< as the last call got no answer
    std::uint32_t m_failures = 0;
    absl::Time m_retryAt = absl::InfinitePast();
    absl::Time m_currentAsOf = absl::InfinitePast();
    absl::Time m_previousCurrentAsOf = absl::InfinitePast();
    std::uint64_t m_position = 0;
    load_summary m_lastLoad;

    // The load that is in progress.
    std::string m_afterKey;
    std::vector<stored_record> m_loadedRecords; ///< of the pages
    std::vector<stored_record> m_newerRecords;  ///< of the log, from the end of the first page
    std::uint64_t m_firstPageEnd = 0;
    std::uint64_t m_loadPosition = 0; ///< offset up to which the log was read
    std::uint64_t m_catchUpEnd = 0;   ///< no page holds a record at this offset or later
    absl::Time m_loadCurrentAsOf;     ///< the load holds all records as of this time
    std::uint32_t m_pages = 0;
};

} // namespace hyssoppond::batch
