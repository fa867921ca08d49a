/// @file Appends to a topic in order, each batch exactly once, even if answers are lost.
#pragma once

#include "hyssoppond/batch/store_port.h"

#include <deque>
#include <string>
#include <vector>

namespace hyssoppond::batch {

struct writer_options
{
    std::string topic;
    std::string producer;
    std::uint64_t epoch = 1;
    absl::Duration answerTimeout = absl::Milliseconds(1000); ///< for one try
};

/// Outcome of queued records.
enum class write_result : std::uint8_t {
    Written,
    NotWritten, ///< and never will be
    Unknown,    ///< the deadline passed; they may have been or may still be written
    Fenced, ///< the store takes nothing more of this epoch; an earlier try may have written them
};

/// Sends one batch at a time. A batch without an answer is repeated with the same sequence number
/// until its outcome is known, so nothing is written twice. Not thread-safe.
class log_writer
{
public:
    using completion = std::function<void(write_result, std::uint64_t offset)>;

    log_writer(writer_options options, store_port *store, loop_hooks hooks);

    /// Queues records that are written together. `done` is called once, with the offset of the
    /// first record if they were written. Records that the store has certainly not received by
    /// `deadline` are withdrawn: NotWritten. For records that it may have received, the writer
    /// waits for the outcome until `settleBy`: then Unknown.
    void write(std::vector<stored_record> records, absl::Time deadline, absl::Time settleBy,
               completion done);
    void write(std::vector<stored_record> records, absl::Time deadline, completion done)
    {
        write(std::move(records), deadline, deadline, std::move(done));
    }

    /// Continues with a higher epoch after Fenced, or while the writer is idle.
    void beginEpoch(std::uint64_t epoch);

    /// Does what is due.
    void tick();
    /// When tick has to be called next.
    absl::Time nextDeadline() const;

    /// A call to the store is in flight.
    bool isSending() const { return m_inFlight; }
    bool isIdle() const { return m_queue.empty() && m_batch.empty(); }
    /// The current batch has been without an outcome for longer than `limit`.
    bool isStalled(absl::Duration limit) const;
    std::uint64_t epoch() const { return m_options.epoch; }

private:
    struct queued_write
    {
        std::vector<stored_record> records;
        absl::Time deadline;
        absl::Time settleBy;
        completion done; ///< empty once called
        std::size_t size = 0;
    };

    void sendNext();
    void send();
    void onAnswer(const append_answer &answer);
    void expire();
    void finish(write_result writeResult, std::uint64_t offset);

    writer_options m_options;
    store_port *m_store;
    loop_hooks m_hooks;
    std::uint64_t m_sequence = 1;
    std::deque<queued_write> m_queue;
    std::vector<queued_write> m_batch; ///< writes of the current batch
    bool m_inFlight = false;
    bool m_unsettled = false; ///< some try of the current batch got no answer
    bool m_fenced = false;
    absl::Duration m_retryDelay; ///< before the last repetition of the batch
    absl::Time m_retryAt = absl::InfinitePast();
    absl::Time m_batchStartedAt = absl::InfiniteFuture();
};

} // namespace hyssoppond::batch
