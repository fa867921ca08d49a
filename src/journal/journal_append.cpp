/// @file Append side of the journal client.
#include "hyssoppond/journal/journal_client_base.h"

#include "hyssoppond/journal/record_codec_func.h"

#include <algorithm>
#include <utility>

namespace hyssoppond::journal {

journal_client::journal_client(environment env, log_port *log, process_id self,
                               incarnation_number incarnation, cluster_state *state,
                               journal_hooks hooks, journal_options options)
    : m_env(std::move(env))
    , m_log(log)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_state(state)
    , m_hooks(std::move(hooks))
    , m_options(options)
{
    m_state->setListener([this](journal_offset offset, const journal_record &record,
                                const verdict &decision) { onRecord(offset, record, decision); });
}

record_id journal_client::append(record_body body, absl::Time deadline, completion done)
{
    const std::uint64_t counter = ++m_counter;
    const absl::Time now = m_env.now();
    pending entry {
        {{m_self, m_incarnation, counter}, now, std::move(body)}, 0, deadline, std::move(done)};
    record_id id = entry.record.id;
    entry.bytes = encodeBatch({entry.record}).size();
    const std::size_t bytes = entry.bytes;
    if (m_queue.empty())
        m_firstQueuedAt = now;
    m_pending.emplace(counter, std::move(entry));
    m_deadlines.emplace(deadline, counter);
    m_queue.push_back(counter);
    if (m_queue.size() > m_options.maxQueued) {
        complete(counter,
                 fail(reason::Overloaded, "too many records wait for the log; retry later",
                      execution::NotRun, now + absl::Seconds(1)));
    } else if (bytes > MaxPayloadBytes) {
        complete(counter, fail(reason::BodyTooLarge, "the record exceeds 1 MiB; shorten it"));
    }
    return id;
}

void journal_client::complete(std::uint64_t counter, result<append_outcome> outcome)
{
    const auto it = m_pending.find(counter);
    if (it == m_pending.end())
        return;
    if (it->second.state == phase::Unsettled)
        --m_unsettled;
    else
        std::erase(m_queue, counter);
    if (!outcome)
        count(disposition::Refused, outcome.error().why);
    m_deadlines.erase({it->second.deadline, counter});
    m_finished.push_back({std::move(it->second.done), std::move(outcome)});
    m_pending.erase(it);
}

void journal_client::flushFinished()
{
    // A completion may call append, which can add to m_finished, so the list is moved out before
    // the loop over it.
    while (!m_finished.empty()) {
        for (finished &finishedAppend : std::exchange(m_finished, {})) {
            if (finishedAppend.done)
                finishedAppend.done(std::move(finishedAppend.outcome));
        }
    }
}

bool journal_client::logSeemsDown() const
{
    return m_readFailures > 0 || (m_appendFailures > 0 && m_env.now() < m_appendRetryAt);
}

void journal_client::expirePending()
{
    const absl::Time now = m_env.now();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const std::uint64_t counter = m_deadlines.begin()->second;
        if (m_pending.at(counter).state == phase::Queued) {
            complete(counter,
                     fail(reason::LogUnavailable,
                          "the record was not sent to the log before its deadline; retry",
                          execution::NotRun, now + m_options.backoffLimit));
        } else {
            complete(counter,
                     fail(reason::LogUnsettled,
                          "the record was sent to the log, but its outcome was not known at the "
                          "deadline; repeat with the same request id",
                          execution::Unknown, now + m_options.backoffLimit));
        }
    }
    for (auto it = m_inFlight.begin(); it != m_inFlight.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        it = m_inFlight.erase(it);
        ++m_appendFailures;
        m_appendRetryAt = now + backoff(m_appendFailures);
        count(disposition::Retried, reason::LogUnsettled);
    }
}

void journal_client::refuseQueued()
{
    const absl::Time retryAt = std::max(m_appendRetryAt, m_nextReadAt) + m_options.backoffLimit;
    while (!m_queue.empty())
        complete(m_queue.front(),
                 fail(reason::LogUnavailable, "the log is unavailable; retry", execution::NotRun,
                      retryAt));
}

absl::Time journal_client::batchDueAt() const
{
    if (m_queue.empty() || m_inFlight.size() >= m_options.maxAppendsInFlight)
        return absl::InfiniteFuture();
    const bool full = m_queue.size() >= m_options.maxBatchRecords;
    return std::max(m_nextAppendAt,
                    full ? m_firstQueuedAt : m_firstQueuedAt + m_options.batchDelay);
}

bool journal_client::batchIsDue() const
{
    return batchDueAt() <= m_env.now();
}

void journal_client::sendBatches()
{
    if (logSeemsDown())
        refuseQueued();
    while (batchIsDue())
        sendBatch();
}

void journal_client::sendBatch()
{
    const absl::Time now = m_env.now();
    std::vector<journal_record> records;
    std::vector<std::uint64_t> counters;
    std::size_t bytes = 0;
    while (!m_queue.empty() && records.size() < m_options.maxBatchRecords) {
        pending &next = m_pending.at(m_queue.front());
        bytes += next.bytes;
        if (!records.empty() && bytes > m_options.maxBatchBytes)
            break;
        next.state = phase::Unsettled;
        ++m_unsettled;
        records.push_back(next.record);
        counters.push_back(m_queue.front());
        m_queue.pop_front();
    }
    m_firstQueuedAt = now;
    m_nextAppendAt = now + absl::Seconds(1) / m_options.maxAppendsPerSecond;
    const std::uint64_t batch = ++m_appendsSent;
    const absl::Time timeout = now + m_options.appendTimeout;
    m_inFlight.emplace(batch, timeout);
    m_log->append(
        encodeBatch(records), timeout,
        bindToLifetime<result<journal_offset>>(
            [this, batch, counters = std::move(counters)](const result<journal_offset> &answer) {
                onAppended(batch, counters, answer);
                tick();
            }));
}

void journal_client::onAppended(std::uint64_t batch, const std::vector<std::uint64_t> &counters,
                                const result<journal_offset> &answer)
{
    const bool beforeTimeout = m_inFlight.erase(batch) > 0;
    if (answer) {
        m_appendFailures = 0;
        m_logEnd = std::max(m_logEnd, *answer + 1);
        if (!m_reading && m_readFailures == 0)
            m_nextReadAt = m_env.now();
        return;
    }
    if (beforeTimeout) {
        ++m_appendFailures;
        m_appendRetryAt = m_env.now() + backoff(m_appendFailures);
    }
    if (answer.error().state != execution::NotRun && m_options.settleByReading)
        return; // the outcome is settled when the record is read from the log
    for (const std::uint64_t counter : counters)
        complete(counter,
                 fail(reason::LogUnavailable, answer.error().message, execution::NotRun,
                      m_appendRetryAt));
}

void journal_client::count(disposition kind, reason why) const
{
    if (m_hooks.count)
        m_hooks.count(kind, why);
}

} // namespace hyssoppond::journal
