/// @file Appends to a topic in order, each batch exactly once, also when answers are lost.
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
    absl::Duration answerWithin = absl::Milliseconds(1000); ///< of one try
};

/// What became of queued records.
enum class write_result : std::uint8_t {
    Written,
    NotWritten, ///< and they never will be
    Unknown,    ///< the deadline passed; they may have been or may still be written
    Fenced,     ///< a higher epoch took over; an earlier try may have written them
};

/// Sends one batch at a time. A batch without an answer is repeated with the same sequence number
/// until the store says what became of it, so nothing is written twice. Not thread-safe.
class log_writer
{
public:
    using completion = std::function<void(write_result, std::uint64_t offset)>;

    log_writer(writer_options options, store_port *store, loop_hooks hooks);

    /// Queues records that are written together. `done` is called once, with the offset of the
    /// first record if they were written. Records that the store has not got by `deadline` are
    /// withdrawn. Those that it may have got are waited for until `settleBy`.
    void write(std::vector<stored_record> records, absl::Time deadline, absl::Time settleBy,
               completion done);
    void write(std::vector<stored_record> records, absl::Time deadline, completion done)
    {
        write(std::move(records), deadline, deadline, std::move(done));
    }

    void tick();
    absl::Time nextDeadline() const;

    /// A call to the store is not answered yet.
    bool isSending() const { return m_inFlight; }
    bool isIdle() const { return m_queue.empty() && m_sent.empty(); }
    /// The store has not answered the batch in flight for longer than `limit`.
    bool isStalled(absl::Duration limit) const;
    std::uint64_t epoch() const { return m_options.epoch; }

private:
    struct queued
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
    void finish(write_result what, std::uint64_t offset);

    writer_options m_options;
    store_port *m_store;
    loop_hooks m_hooks;
    std::uint64_t m_sequence = 1;
    std::deque<queued> m_queue;
    std::vector<queued> m_sent; ///< entries of the current batch
    bool m_inFlight = false;
    bool m_unsettled = false; ///< some try of the current batch got no answer
    bool m_fenced = false;
    std::uint32_t m_failures = 0;
    absl::Time m_retryAt = absl::InfinitePast();
    absl::Time m_batchSince = absl::InfiniteFuture();
};

} // namespace hyssoppond::batch
