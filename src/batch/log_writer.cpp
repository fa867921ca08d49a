/// @file Implementation of the writer.
#include "hyssoppond/batch/log_writer_base.h"

#include <algorithm>

namespace hyssoppond::batch {

namespace {

constexpr absl::Duration FirstRetry = absl::Milliseconds(60);
constexpr absl::Duration LongestRetry = absl::Milliseconds(400);

/// Records of one append; the platform takes 2 MB a call, and a record has at most some KB.
constexpr std::size_t MostRecordsPerBatch = 200;

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
    if (m_sent.empty())
        sendNext();
}

bool log_writer::isStalled(absl::Duration limit) const
{
    return !m_sent.empty() && m_hooks.now() - m_batchSince > limit;
}

absl::Time log_writer::nextDeadline() const
{
    absl::Time next = absl::InfiniteFuture();
    if (!m_sent.empty() && !m_inFlight)
        next = m_retryAt;
    for (const queued &one : m_sent) {
        if (one.done)
            next = std::min(next, one.deadline > m_hooks.now() ? one.deadline : one.settleBy);
    }
    for (const queued &one : m_queue)
        next = std::min(next, one.deadline);
    return next;
}

void log_writer::tick()
{
    expire();
    if (m_sent.empty())
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
        // Every try was refused, so what is late can still be withdrawn.
        std::erase_if(m_sent, [&](queued &one) {
            if (one.deadline > now)
                return false;
            if (one.done) // else it was told that the outcome is unknown
                expired.push_back(std::move(one.done));
            return true;
        });
    }
    for (queued &one : m_sent) {
        if (one.done && one.settleBy <= now) {
            unknown.push_back(std::move(one.done));
            one.done = nullptr;
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
           && (records == 0 || records + m_queue.front().size <= MostRecordsPerBatch)) {
        records += m_queue.front().size;
        m_sent.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    if (m_sent.empty())
        return;
    m_failures = 0;
    m_unsettled = false;
    m_batchSince = m_hooks.now();
    send();
}

void log_writer::send()
{
    m_inFlight = true;
    append_request request;
    request.topic = m_options.topic;
    request.producer = producer_stamp {m_options.producer, m_options.epoch, m_sequence};
    request.deadline = m_hooks.now() + m_options.answerWithin;
    for (const queued &one : m_sent)
        request.records.insert(request.records.end(), one.records.begin(), one.records.end());
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
    case store_outcome::OutOfSequence:
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
    ++m_failures;
    m_retryAt = m_hooks.now() + std::min(LongestRetry, FirstRetry * m_failures);
    expire();
}

void log_writer::finish(write_result what, std::uint64_t offset)
{
    std::vector<queued> sent = std::move(m_sent);
    m_sent.clear();
    if (what == write_result::Written)
        ++m_sequence;
    if (what == write_result::Fenced) {
        for (queued &one : m_queue)
            sent.push_back(std::move(one));
        m_queue.clear();
    }
    if (!m_fenced)
        sendNext();
    for (queued &one : sent) {
        if (one.done)
            one.done(what, offset);
        offset += one.size;
    }
}

} // namespace hyssoppond::batch
