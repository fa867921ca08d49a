/// @file Implementation of the follower.
#include "hyssoppond/batch/log_follower_base.h"

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// First and longest pause before a failed call is repeated; the store's outages last seconds.
constexpr absl::Duration FirstRetry = absl::Milliseconds(100);
constexpr absl::Duration LongestRetry = absl::Milliseconds(400);

/// Between two reads that the store answered at once without a record.
constexpr absl::Duration EmptyTopicPause = absl::Milliseconds(150);

} // namespace

log_follower::log_follower(follower_options options, store_port *store, loop_hooks hooks)
    : m_options(std::move(options))
    , m_store(store)
    , m_hooks(std::move(hooks))
{ }

absl::Time log_follower::nextDeadline() const
{
    return m_busy ? absl::InfiniteFuture() : m_retryAt;
}

void log_follower::tick()
{
    if (m_busy || m_hooks.now() < m_retryAt)
        return;
    if (m_loaded)
        follow();
    else
        load();
}

void log_follower::wake()
{
    // A failing store is not asked more often because of this.
    if (m_failures == 0 && m_loaded)
        m_retryAt = absl::InfinitePast();
    if (!m_busy)
        tick();
}

void log_follower::load()
{
    m_busy = true;
    const absl::Time now = m_hooks.now();
    if (m_afterKey.empty()) {
        m_pages.clear();
        m_loadSentAt = now;
    }
    m_store->newest({m_options.topic, m_afterKey, now + m_options.answerWithin, m_fresh},
                    [this, now](newest_answer answer) { onPage(std::move(answer), now); });
}

void log_follower::onPage(newest_answer answer, absl::Time /*sentAt*/)
{
    m_busy = false;
    if (answer.outcome != store_outcome::Ok) {
        m_fresh = answer.outcome == store_outcome::Unknown;
        m_afterKey.clear();
        retryLater();
        return;
    }
    m_fresh = false;
    if (m_afterKey.empty())
        m_loadEnd = answer.end;
    if (!answer.records.empty())
        m_afterKey = answer.records.back().key;
    m_pages.insert(m_pages.end(), std::make_move_iterator(answer.records.begin()),
                   std::make_move_iterator(answer.records.end()));
    if (answer.more && !answer.records.empty()) {
        load();
        return;
    }
    m_afterKey.clear();
    // Pages are no snapshot: records after the end of the first page are read again below, which
    // has no effect, as a record is applied once per key.
    std::erase_if(m_pages, [this](const stored_record &one) { return one.offset >= m_loadEnd; });
    std::sort(m_pages.begin(), m_pages.end(),
              [](const stored_record &a, const stored_record &b) { return a.offset < b.offset; });
    m_position = m_loadEnd;
    m_currentAsOf = std::max(m_currentAsOf, m_loadSentAt);
    m_failures = 0;
    m_loaded = true;
    const std::vector<stored_record> pages = std::move(m_pages);
    m_pages.clear();
    if (!m_reachable) {
        m_reachable = true;
        if (onReachable)
            onReachable(true);
    }
    onLoaded(pages);
    follow();
}

void log_follower::follow()
{
    m_busy = true;
    const absl::Time now = m_hooks.now();
    // After a failure the first read returns at once, so that the state is proven again soon.
    const absl::Duration wait = m_failures == 0 ? m_options.wait : absl::ZeroDuration();
    m_store->read({m_options.topic, m_position, wait, now + wait + m_options.answerWithin, m_fresh},
                  [this, now](read_answer answer) { onRead(std::move(answer), now); });
}

void log_follower::onRead(read_answer answer, absl::Time sentAt)
{
    m_busy = false;
    if (answer.outcome == store_outcome::Expired) {
        m_loaded = false;
        m_afterKey.clear();
        m_retryAt = m_hooks.now();
        return;
    }
    if (answer.outcome != store_outcome::Ok) {
        m_fresh = answer.outcome == store_outcome::Unknown;
        retryLater();
        return;
    }
    // An empty answer to a long read was given when its wait had passed.
    m_previousCurrentAsOf = m_currentAsOf;
    const bool nothing = answer.records.empty() && answer.end <= m_position;
    const bool waited = m_failures == 0 && nothing && m_hooks.now() - sentAt >= m_options.wait;
    if (answer.records.empty() || answer.records.back().offset + 1 >= answer.end)
        m_currentAsOf = std::max(m_currentAsOf, waited ? sentAt + m_options.wait : sentAt);
    m_currentAsOf = std::min(m_currentAsOf, m_hooks.now());
    m_fresh = false;
    m_failures = 0;
    m_retryAt = absl::InfinitePast();
    if (!m_reachable) {
        m_reachable = true;
        if (onReachable)
            onReachable(true);
    }
    // The store does not wait in a topic that nobody has written to.
    if (nothing && !waited)
        m_retryAt = m_hooks.now() + EmptyTopicPause;
    else if (!nothing)
        m_retryAt = m_hooks.now() + m_leastInterval;
    handOver(answer.records, answer.end);
    if (!m_busy && m_loaded && m_hooks.now() >= m_retryAt)
        follow();
}

void log_follower::handOver(const std::vector<stored_record> &records, std::uint64_t /*end*/)
{
    std::vector<stored_record> fresh;
    for (const stored_record &one : records) {
        if (one.offset >= m_position)
            fresh.push_back(one);
    }
    if (fresh.empty())
        return;
    m_position = fresh.back().offset + 1;
    onRecords(fresh);
}

void log_follower::barrier(absl::Time deadline, std::function<void(bool)> done)
{
    if (!m_loaded) {
        done(false);
        return;
    }
    m_store->read({m_options.topic, m_position, absl::ZeroDuration(), deadline, false},
                  [this, deadline, done = std::move(done)](const read_answer &answer) {
                      onBarrier(answer, deadline, done);
                  });
}

void log_follower::onBarrier(const read_answer &answer, absl::Time /*deadline*/,
                             const std::function<void(bool)> &done)
{
    if (answer.outcome != store_outcome::Ok || !m_loaded) {
        done(false);
        return;
    }
    handOver(answer.records, answer.end);
    done(m_position >= answer.end);
}

void log_follower::retryLater()
{
    ++m_failures;
    if (m_reachable) {
        m_reachable = false;
        if (onReachable)
            onReachable(false);
    }
    const absl::Duration pause = std::min(LongestRetry, FirstRetry * m_failures);
    const double jitter = 0.75 + 0.5 * static_cast<double>(m_hooks.random() % 1000) / 1000.0;
    m_retryAt = m_hooks.now() + pause * jitter;
}

} // namespace hyssoppond::batch
