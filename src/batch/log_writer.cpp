/// @file Implementation of log_writer.
#include "hyssoppond/batch/log_writer_base.h"

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// First and longest pause before a batch is repeated. Each is twice as long as the one before, by
/// a random part shorter or longer.
constexpr absl::Duration FirstRetryDelay = absl::Milliseconds(60);
constexpr absl::Duration MaxRetryDelay = absl::Milliseconds(800);

/// Records of one append. The platform accepts 2 MB a call, and a record has at most a few KB.
constexpr std::size_t MaxRecordsPerBatch = 200;

} // namespace

log_writer::log_writer(writer_options options, store_port *store, loop_hooks hooks)
    : m_options(std::move(options))
    , m_store(store)
    , m_hooks(std::move(hooks))
{ }

void log_writer::write(std::vector<stored_record> records, absl::Time deadline, absl::Time settleBy,
                       completion done)
{
    if (m_fenced) {
        done(write_result::Fenced, 0);
        return;
    }
    const std::size_t size = records.size();
    m_queue.push_back(
        {std::move(records), deadline, std::max(deadline, settleBy), std::move(done), size});
    if (m_batch.empty())
        sendNext();
}

void log_writer::beginEpoch(std::uint64_t epoch)
{
    m_options.epoch = epoch;
    m_sequence = 1;
    m_fenced = false;
}

bool log_writer::isStalled(absl::Duration limit) const
{
    return !m_batch.empty() && m_hooks.now() - m_batchStartedAt > limit;
}

absl::Time log_writer::nextDeadline() const
{
    absl::Time next = absl::InfiniteFuture();
    if (!m_batch.empty() && !m_inFlight)
        next = m_retryAt;
    for (const queued_write &queuedWrite : m_batch) {
        if (queuedWrite.done)
            next = std::min(next,
                            queuedWrite.deadline > m_hooks.now() ? queuedWrite.deadline
                                                                 : queuedWrite.settleBy);
    }
    for (const queued_write &queuedWrite : m_queue)
        next = std::min(next, queuedWrite.deadline);
    return next;
}

void log_writer::tick()
{
    expire();
    if (m_batch.empty())
        sendNext();
    else if (!m_inFlight && m_hooks.now() >= m_retryAt)
        send();
}

void log_writer::expire()
{
    const absl::Time now = m_hooks.now();
    std::vector<completion> expired;
    while (!m_queue.empty() && m_queue.front().deadline <= now) {
        expired.push_back(std::move(m_queue.front().done));
        m_queue.pop_front();
    }
    std::vector<completion> unknown;
    if (!m_inFlight && !m_unsettled) {
        // Every try was refused, so records whose deadline has passed can still be withdrawn.
        std::erase_if(m_batch, [&](queued_write &queuedWrite) {
            if (queuedWrite.deadline > now)
                return false;
            if (queuedWrite.done) // empty if it was called with Unknown
                expired.push_back(std::move(queuedWrite.done));
            return true;
        });
    }
    for (queued_write &queuedWrite : m_batch) {
        if (queuedWrite.done && queuedWrite.settleBy <= now) {
            unknown.push_back(std::move(queuedWrite.done));
            queuedWrite.done = nullptr;
        }
    }
    for (const completion &done : expired)
        done(write_result::NotWritten, 0);
    for (const completion &done : unknown)
        done(write_result::Unknown, 0);
}

void log_writer::sendNext()
{
    std::size_t records = 0;
    while (!m_queue.empty()
           && (records == 0 || records + m_queue.front().size <= MaxRecordsPerBatch)) {
        records += m_queue.front().size;
        m_batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    if (m_batch.empty())
        return;
    m_retryDelay = absl::ZeroDuration();
    m_unsettled = false;
    m_batchStartedAt = m_hooks.now();
    send();
}

void log_writer::send()
{
    m_inFlight = true;
    append_request request;
    request.topic = m_options.topic;
    request.producer = producer_stamp {m_options.producer, m_options.epoch, m_sequence};
    request.deadline = m_hooks.now() + m_options.answerTimeout;
    for (const queued_write &queuedWrite : m_batch)
        request.records.insert(request.records.end(), queuedWrite.records.begin(),
                               queuedWrite.records.end());
    m_store->append(std::move(request), [this](const append_answer &answer) { onAnswer(answer); });
}

void log_writer::onAnswer(const append_answer &answer)
{
    m_inFlight = false;
    switch (answer.outcome) {
    case store_outcome::Ok:
        finish(write_result::Written, answer.offset);
        return;
    case store_outcome::Fenced:
    case store_outcome::OutOfSequence: // another writer has used the same epoch
        m_fenced = true;
        finish(write_result::Fenced, 0);
        return;
    case store_outcome::Unknown:
        m_unsettled = true;
        break;
    case store_outcome::Refused:
    case store_outcome::Expired:
    case store_outcome::Rejected:
        break;
    }
    const double jitter = 0.75 + 0.5 * static_cast<double>(m_hooks.random() % 1000) / 1000.0;
    m_retryDelay = std::clamp(m_retryDelay * 2, FirstRetryDelay, MaxRetryDelay);
    m_retryAt = m_hooks.now() + m_retryDelay * jitter;
    expire();
}

void log_writer::finish(write_result writeResult, std::uint64_t offset)
{
    std::vector<queued_write> finished = std::move(m_batch);
    m_batch.clear();
    if (writeResult == write_result::Written)
        ++m_sequence;
    if (writeResult == write_result::Fenced) {
        for (queued_write &queuedWrite : m_queue)
            finished.push_back(std::move(queuedWrite));
        m_queue.clear();
    }
    if (!m_fenced)
        sendNext();
    for (queued_write &queuedWrite : finished) {
        if (queuedWrite.done)
            queuedWrite.done(writeResult, offset);
        offset += queuedWrite.size;
    }
}

} // namespace hyssoppond::batch
