/// @file Client that follows the journal, appends records and settles their outcomes.
#pragma once

#include "hyssoppond/base/environment_type.h"
#include "hyssoppond/journal/cluster_state_base.h"
#include "hyssoppond/journal/journal_client_type.h"
#include "hyssoppond/journal/snapshot_scan_base.h"
#include "hyssoppond/platform/log_port.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace hyssoppond::journal {

/// Client of the journal in one process. Applies the log to a cluster_state and appends records. An
/// append whose answer was lost is never sent again, because it may have taken effect; it completes
/// when its record is read from the log.
class journal_client
{
public:
    using completion = std::function<void(result<append_outcome>)>;

    /// `log` and `state` must outlive the client. The client replaces the listener of `state`.
    journal_client(environment env, log_port *log, process_id self, incarnation_number incarnation,
                   cluster_state *state, journal_hooks hooks = {}, journal_options options = {});
    journal_client(const journal_client &) = delete;
    journal_client &operator=(const journal_client &) = delete;
    ~journal_client() = default;

    /// Appends one record. `done` is called from a later tick or completion, once the record has
    /// been applied locally. Errors: LogUnavailable or Overloaded with NotRun and a retry time;
    /// BodyTooLarge if the encoded record exceeds MaxPayloadBytes; LogUnsettled with Unknown if the
    /// outcome of a sent record is not known at the deadline.
    record_id append(record_body body, absl::Time deadline, completion done);

    /// Sends batches, starts reads, handles timeouts and calls completions that are due.
    void tick();
    /// Time at which tick has something to do next.
    absl::Time nextDeadline() const;
    catch_up_progress progress() const;
    /// Number of appends sent to the log. Each append is a batch of records.
    std::uint64_t appendsSent() const { return m_appendsSent; }

private:
    /// Whether a pending record waits to be sent, or was sent and its outcome is not yet known.
    enum class phase { Queued, Unsettled };

    struct pending
    {
        journal_record record;
        std::size_t bytes = 0;
        absl::Time deadline;
        completion done;
        phase state = phase::Queued;
    };

    struct finished
    {
        completion done;
        result<append_outcome> outcome;
    };

    /// Search for a snapshot after the log dropped the offset that this client would read next.
    struct rescan
    {
        journal_offset oldest = 0;   ///< oldest offset that the log keeps; 0: not yet known
        journal_offset position = 0; ///< next offset to read
        journal_offset end = 0;      ///< offset after the last one of the log
        snapshot_scan snapshots {true};
    };

    /// Completion for the log port. It runs `handler` through the post hook, and drops the answer
    /// if the client was destroyed.
    template<class value>
    std::function<void(value)> bindToLifetime(std::function<void(const value &)> handler) const
    {
        return [alive = std::weak_ptr<bool>(m_alive), post = m_hooks.post,
                handler = std::move(handler)](value portAnswer) {
            auto run = [alive, handler, portAnswer = std::move(portAnswer)] {
                if (alive.lock())
                    handler(portAnswer);
            };
            if (post)
                post(std::move(run));
            else
                run();
        };
    }

    void expirePending();
    void refuseQueued();
    void sendBatches();
    void sendBatch();
    bool batchIsDue() const;
    absl::Time batchDueAt() const;
    void onAppended(std::uint64_t batch, const std::vector<std::uint64_t> &counters,
                    const result<journal_offset> &answer);
    void complete(std::uint64_t counter, result<append_outcome> outcome);
    void flushFinished();

    void startRead();
    void onRead(std::uint64_t sequence, const result<log_batch> &answer);
    void applyBatch(const log_batch &batch);
    void scanBatch(const log_batch &batch);
    void finishScan();
    void onReadFailed(const error &problem);
    void onRecord(journal_offset offset, const journal_record &record, const verdict &decision);
    void writeSnapshotIfDue();

    bool logSeemsDown() const;
    absl::Duration backoff(std::uint32_t failures) const;
    void count(disposition kind, reason why) const;

    environment m_env;
    log_port *m_log;
    process_id m_self;
    incarnation_number m_incarnation;
    cluster_state *m_state;
    journal_hooks m_hooks;
    journal_options m_options;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

    std::uint64_t m_counter = 0;
    std::map<std::uint64_t, pending> m_pending; ///< by record counter
    std::set<std::pair<absl::Time, std::uint64_t>> m_deadlines;
    std::deque<std::uint64_t> m_queue;
    std::size_t m_unsettled = 0;                    ///< pending records in phase Unsettled
    std::map<std::uint64_t, absl::Time> m_inFlight; ///< timeout of each batch, by its number
    std::uint64_t m_appendsSent = 0;
    absl::Time m_firstQueuedAt = absl::InfinitePast();
    absl::Time m_nextAppendAt = absl::InfinitePast();
    absl::Time m_appendRetryAt = absl::InfinitePast();
    std::uint32_t m_appendFailures = 0;
    std::vector<finished> m_finished;

    bool m_reading = false;
    std::uint64_t m_readSequence = 0;
    absl::Time m_readTimeoutAt = absl::InfiniteFuture();
    absl::Time m_nextReadAt = absl::InfinitePast();
    absl::Time m_lastReadAt = absl::InfinitePast();
    std::uint32_t m_readFailures = 0;
    journal_offset m_logEnd = 0; ///< offset after the last one that is known to be in the log
    bool m_caughtUp = false;
    std::optional<rescan> m_rescan;

    snapshot_scan m_snapshots {false};
    absl::Time m_snapshotAt = absl::InfinitePast(); ///< record time of the newest snapshot
    std::size_t m_snapshotPartsUnsettled = 0;
    absl::Time m_snapshotRetryAt = absl::InfinitePast();
};

} // namespace hyssoppond::journal
