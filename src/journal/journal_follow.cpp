/// @file Read side of the journal client.
#include "hyssoppond/journal/journal_client_base.h"

#include "hyssoppond/journal/record_codec_func.h"

#include <algorithm>
#include <limits>

namespace hyssoppond::journal {

void journal_client::tick()
{
    const absl::Time now = m_env.now();
    if (m_reading && m_readTimeoutAt <= now) {
        m_reading = false;
        onReadFailed({reason::LogUnavailable, "the log did not answer the read in time",
                      execution::Unknown});
    }
    expirePending();
    writeSnapshotIfDue();
    sendBatches();
    if (!m_reading && m_nextReadAt <= now)
        startRead();
    flushFinished();
}

absl::Time journal_client::nextDeadline() const
{
    if (!m_finished.empty() || (!m_queue.empty() && logSeemsDown()))
        return m_env.now();
    absl::Time next = std::min(batchDueAt(), m_reading ? m_readTimeoutAt : m_nextReadAt);
    if (!m_deadlines.empty())
        next = std::min(next, m_deadlines.begin()->first);
    for (const auto &[batch, timeout] : m_inFlight)
        next = std::min(next, timeout);
    return next;
}

catch_up_progress journal_client::progress() const
{
    const journal_offset nextToApply = m_state->offset() + 1;
    return {m_state->offset(), m_logEnd > nextToApply ? m_logEnd - nextToApply : 0,
            m_caughtUp && !m_rescan && m_logEnd <= nextToApply, m_readFailures == 0 && m_logEnd > 0,
            m_lastReadAt};
}

absl::Duration journal_client::backoff(std::uint32_t failures) const
{
    const std::uint32_t doublings = std::min<std::uint32_t>(failures == 0 ? 0 : failures - 1, 16);
    const absl::Duration limit
        = std::min(m_options.backoffLimit, m_options.backoffBase * (1U << doublings));
    return limit * (static_cast<double>(m_env.random() >> 11) * 0x1.0p-53);
}

void journal_client::startRead()
{
    // The answer to a read past the end of the log contains the oldest offset that the log keeps.
    const journal_offset firstOffset = !m_rescan ? m_state->offset() + 1
        : m_rescan->oldest == 0                  ? std::numeric_limits<std::int64_t>::max()
                                                 : m_rescan->position;
    const std::uint64_t sequence = ++m_readSequence;
    m_reading = true;
    m_readTimeoutAt = m_env.now() + m_options.readTimeout;
    m_log->read(
        firstOffset, m_options.maxReadRecords, m_readTimeoutAt,
        bindToLifetime<result<log_batch>>([this, sequence](const result<log_batch> &answer) {
            onRead(sequence, answer);
            tick();
        }));
}

void journal_client::onRead(std::uint64_t sequence, const result<log_batch> &answer)
{
    const bool current = sequence == m_readSequence;
    if (current)
        m_reading = false;
    if (!answer) {
        if (current)
            onReadFailed(answer.error());
        return;
    }
    // A late answer is used as well: apply ignores offsets that are not the next one, and if late
    // answers were dropped, a log slower than the read timeout would never be followed.
    if (!current && m_rescan)
        return;
    m_readFailures = 0;
    m_lastReadAt = m_env.now();
    m_logEnd = std::max(m_logEnd, answer->next);
    if (m_rescan)
        scanBatch(*answer);
    else
        applyBatch(*answer);
}

void journal_client::applyBatch(const log_batch &batch)
{
    for (const log_record &record : batch.records)
        m_state->apply(record.offset, record.payload);
    m_caughtUp = m_state->offset() + 1 >= m_logEnd;
    const absl::Duration interval
        = m_unsettled > 0 ? m_options.pollIntervalUnsettled : m_options.pollInterval;
    m_nextReadAt = m_caughtUp ? m_env.now() + interval : m_env.now();
}

void journal_client::onReadFailed(const error &problem)
{
    const absl::Time now = m_env.now();
    m_caughtUp = false;
    if (problem.why == reason::Expired) {
        m_rescan = rescan();
        m_nextReadAt = now;
        count(disposition::Retried, reason::Expired);
        return;
    }
    ++m_readFailures;
    m_nextReadAt = now + backoff(m_readFailures);
    count(disposition::Retried, problem.why);
}

void journal_client::scanBatch(const log_batch &batch)
{
    if (m_rescan->oldest == 0) {
        m_rescan->oldest = batch.oldest;
        m_rescan->position = batch.oldest;
        m_nextReadAt = m_env.now();
    }
    m_rescan->end = std::max(m_rescan->end, batch.next);
    for (const log_record &record : batch.records) {
        m_rescan->position = record.offset + 1;
        result<std::vector<journal_record>> decoded = decodeBatch(record.payload);
        if (!decoded)
            continue;
        for (journal_record &entry : *decoded) {
            if (auto *part = std::get_if<snapshot_part>(&entry.body))
                m_rescan->snapshots.add(std::move(*part));
        }
    }
    if (m_rescan->position < m_rescan->end)
        m_nextReadAt = m_env.now();
    else
        finishScan();
}

void journal_client::finishScan()
{
    m_nextReadAt = m_env.now() + m_options.pollInterval;
    const snapshot_scan &snapshots = m_rescan->snapshots;
    if (snapshots.newest() + 1 < m_rescan->oldest || snapshots.newest() <= m_state->offset())
        return; // no usable snapshot yet; wait for the decider to write the next one
    const result<void> restored = m_state->restore(snapshots.bytes());
    if (!restored) {
        count(disposition::Dropped, restored.error().why);
        m_rescan = rescan();
        return;
    }
    m_snapshots.noteComplete(snapshots.newest());
    m_snapshotAt = m_state->time();
    m_rescan.reset();
    m_nextReadAt = m_env.now();
    if (m_hooks.onRestored)
        m_hooks.onRestored();
}

void journal_client::onRecord(journal_offset offset, const journal_record &record,
                              const verdict &decision)
{
    if (const auto *part = std::get_if<snapshot_part>(&record.body)) {
        const journal_offset previousNewest = m_snapshots.newest();
        m_snapshots.add({part->snapshot, part->asOf, part->index, part->count, {}});
        if (m_snapshots.newest() != previousNewest)
            m_snapshotAt = record.writtenAt;
    }
    if (m_hooks.onRecord)
        m_hooks.onRecord(offset, record, decision);
    if (record.id.process == m_self && record.id.incarnation == m_incarnation)
        complete(record.id.counter, append_outcome {offset, decision});
}

void journal_client::writeSnapshotIfDue()
{
    const absl::Time now = m_env.now();
    if (m_snapshotAt == absl::InfinitePast() && m_caughtUp)
        m_snapshotAt = now; // without a snapshot, its age is counted from the first complete replay
    const journal_offset payloadsSinceSnapshot
        = m_state->offset() - std::min(m_state->offset(), m_snapshots.newest());
    const bool ageReached
        = payloadsSinceSnapshot > 1 && now >= m_snapshotAt + m_options.snapshotAge;
    if ((payloadsSinceSnapshot < m_options.snapshotOffsets && !ageReached) || !m_caughtUp
        || m_snapshotPartsUnsettled > 0 || now < m_snapshotRetryAt || logSeemsDown())
        return;
    if (!m_hooks.maySnapshot || !m_hooks.maySnapshot())
        return;
    const std::vector<snapshot_part> parts
        = m_state->snapshot({m_self, m_incarnation, m_counter + 1});
    m_snapshotPartsUnsettled = parts.size();
    for (const snapshot_part &part : parts)
        append(part, now + m_options.snapshotDeadline,
               [this](const result<append_outcome> &outcome) {
                   --m_snapshotPartsUnsettled;
                   if (!outcome)
                       m_snapshotRetryAt = m_env.now() + m_options.snapshotDeadline;
               });
}

} // namespace hyssoppond::journal
