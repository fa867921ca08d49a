/// @file Implementation of log_follower.
#include "hyssoppond/batch/log_follower_base.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace hyssoppond::batch {

namespace {

/// First and longest pause before a failed call is repeated; the store's outages last seconds.
constexpr absl::Duration FirstRetryDelay = absl::Milliseconds(100);
constexpr absl::Duration MaxRetryDelay = absl::Milliseconds(400);

/// Growth of the time limit with each try without an answer.
constexpr double TimeoutGrowth = 4.0;

/// Pause after a read that the store answered at once without a record.
constexpr absl::Duration EmptyTopicPause = absl::Milliseconds(150);

/// Pause after the last of `failures` tries.
absl::Duration retryPause(std::uint32_t failures, std::uint64_t random)
{
    const double jitter = 0.75 + 0.5 * static_cast<double>(random % 1000) / 1000.0;
    return std::min(MaxRetryDelay, FirstRetryDelay * failures) * jitter;
}

/// The same call may succeed later.
bool isUnanswered(store_outcome outcome)
{
    return outcome == store_outcome::Unknown || outcome == store_outcome::Refused;
}

} // namespace

log_follower::log_follower(follower_options options, store_port *store, loop_hooks hooks)
    : m_options(std::move(options))
    , m_store(store)
    , m_hooks(std::move(hooks))
{ }

absl::Time log_follower::nextDeadline() const
{
    return m_inFlight ? absl::InfiniteFuture() : m_retryAt;
}

void log_follower::tick()
{
    if (m_inFlight || m_hooks.now() < m_retryAt)
        return;
    switch (m_phase) {
    case phase::ReadingPages:
        readPage();
        break;
    case phase::CatchingUp:
        catchUp();
        break;
    case phase::Following:
        follow();
        break;
    }
}

void log_follower::wake()
{
    // Wake-up messages must not make the calls to a failing store more frequent.
    if (m_failures == 0 && isLoaded())
        m_retryAt = absl::InfinitePast();
    if (!m_inFlight)
        tick();
}

std::string toString(const load_summary &load)
{
    return absl::StrCat(load.pages, " pages, end ", load.firstEnd, " to ", load.lastEnd, ", ",
                        load.newerRecords, " newer records");
}

log_follower::call_try log_follower::beginTry(absl::Duration wait)
{
    const absl::Time now = m_hooks.now();
    const bool isLong = m_unansweredTries > 0 && !m_longTryInFlight;
    absl::Duration limit = m_options.answerTimeout;
    if (isLong) {
        limit = std::min(limit * std::pow(TimeoutGrowth, m_unansweredTries),
                         m_options.maxAnswerTimeout);
        m_longTryInFlight = true;
        m_retryAt
            = now + wait + m_options.answerTimeout + retryPause(m_failures + 1, m_hooks.random());
    } else {
        m_inFlight = true;
    }
    return {m_step, isLong, now, now + wait + limit};
}

bool log_follower::endTry(const call_try &ended, store_outcome outcome)
{
    if (ended.step != m_step)
        return false;
    if (ended.isLong)
        m_longTryInFlight = false;
    else
        m_inFlight = false;
    if (outcome == store_outcome::Unknown)
        ++m_unansweredTries;
    m_useFreshConnection = outcome == store_outcome::Unknown;
    if (!isUnanswered(outcome))
        endStep();
    return true;
}

void log_follower::endStep()
{
    ++m_step;
    m_unansweredTries = 0;
    m_inFlight = false;
    m_longTryInFlight = false;
}

void log_follower::readPage()
{
    const call_try current = beginTry(absl::ZeroDuration());
    m_store->newest({m_options.topic, m_afterKey, current.deadline, m_useFreshConnection},
                    [this, current](newest_answer answer) { onPage(std::move(answer), current); });
}

void log_follower::onPage(newest_answer answer, const call_try &answered)
{
    if (!endTry(answered, answer.outcome))
        return;
    if (answer.outcome != store_outcome::Ok) {
        // The pages so far can be kept, as the log since the first one is merged into them.
        if (!isUnanswered(answer.outcome))
            resetLoad();
        retryLater(answered);
        return;
    }
    if (m_pages == 0) {
        m_firstPageEnd = answer.end;
        m_loadPosition = answer.end;
    }
    ++m_pages;
    m_catchUpEnd = std::max(m_catchUpEnd, answer.end);
    for (const stored_record &record : answer.records)
        m_catchUpEnd = std::max(m_catchUpEnd, record.offset + 1);
    m_loadCurrentAsOf = answered.sentAt;
    if (!answer.records.empty())
        m_afterKey = answer.records.back().key;
    const bool more = answer.more && !answer.records.empty();
    m_loadedRecords.insert(m_loadedRecords.end(), std::make_move_iterator(answer.records.begin()),
                           std::make_move_iterator(answer.records.end()));
    if (more) {
        readPage();
        return;
    }
    // The pages are not a snapshot: a record that was appended after the first page may have
    // replaced one that is in no page. The log holds all of those records.
    m_phase = phase::CatchingUp;
    if (m_loadPosition >= m_catchUpEnd)
        handOver();
    else
        catchUp();
}

void log_follower::catchUp()
{
    const call_try current = beginTry(absl::ZeroDuration());
    m_store->read({m_options.topic, m_loadPosition, absl::ZeroDuration(), current.deadline,
                   m_useFreshConnection},
                  [this, current](read_answer answer) { onCaughtUp(std::move(answer), current); });
}

void log_follower::onCaughtUp(read_answer answer, const call_try &answered)
{
    if (!endTry(answered, answer.outcome))
        return;
    if (answer.outcome != store_outcome::Ok || answer.records.empty()) {
        const bool expired = answer.outcome == store_outcome::Expired;
        if (!isUnanswered(answer.outcome))
            resetLoad();
        if (expired)
            m_retryAt = m_hooks.now() + FirstRetryDelay;
        else
            retryLater(answered);
        return;
    }
    m_loadPosition = answer.records.back().offset + 1;
    if (m_loadPosition >= answer.end)
        m_loadCurrentAsOf = answered.sentAt;
    m_newerRecords.insert(m_newerRecords.end(), std::make_move_iterator(answer.records.begin()),
                          std::make_move_iterator(answer.records.end()));
    if (m_loadPosition >= m_catchUpEnd)
        handOver();
    else
        catchUp();
}

void log_follower::resetLoad()
{
    m_phase = phase::ReadingPages;
    m_afterKey.clear();
    m_loadedRecords.clear();
    m_newerRecords.clear();
    m_catchUpEnd = 0;
    m_pages = 0;
}

void log_follower::mergeNewerRecords()
{
    std::map<std::string, std::uint64_t> newestOffsets;
    for (const stored_record &record : m_newerRecords)
        newestOffsets[record.key] = record.offset;
    std::erase_if(m_loadedRecords,
                  [&](const stored_record &record) { return newestOffsets.contains(record.key); });
    for (stored_record &record : m_newerRecords) {
        if (newestOffsets.at(record.key) == record.offset && !record.value.empty())
            m_loadedRecords.push_back(std::move(record));
    }
    std::sort(m_loadedRecords.begin(), m_loadedRecords.end(),
              [](const stored_record &a, const stored_record &b) { return a.offset < b.offset; });
}

void log_follower::handOver()
{
    m_lastLoad = {m_firstPageEnd, m_loadPosition, m_pages, m_newerRecords.size()};
    mergeNewerRecords();
    const std::vector<stored_record> records = std::move(m_loadedRecords);
    resetLoad();
    m_phase = phase::Following;
    m_position = m_loadPosition;
    m_currentAsOf = std::max(m_currentAsOf, m_loadCurrentAsOf);
    m_failures = 0;
    m_retryAt = absl::InfinitePast();
    if (!m_reachable) {
        m_reachable = true;
        if (onReachable)
            onReachable(true);
    }
    onLoaded(records);
    tick(); // no effect if the receiver has caused the read
}

void log_follower::follow()
{
    const absl::Time now = m_hooks.now();
    // After a failure, or an answer that came late because this process did not run, the first read
    // does not wait, so that the records are soon known to be current.
    const bool lateAnswer = now - m_currentAsOf > m_options.wait + m_options.answerTimeout;
    const absl::Duration wait
        = m_failures == 0 && !lateAnswer ? m_options.wait : absl::ZeroDuration();
    const call_try current = beginTry(wait);
    m_store->read({m_options.topic, m_position, wait, current.deadline, m_useFreshConnection},
                  [this, current](read_answer answer) { onRead(std::move(answer), current); });
}

void log_follower::onRead(read_answer answer, const call_try &answered)
{
    if (!endTry(answered, answer.outcome))
        return;
    const absl::Time sentAt = answered.sentAt;
    if (answer.outcome == store_outcome::Expired) {
        resetLoad();
        m_retryAt = m_hooks.now();
        return;
    }
    if (answer.outcome != store_outcome::Ok) {
        retryLater(answered);
        return;
    }
    m_previousCurrentAsOf = m_currentAsOf;
    const bool nothingNew = answer.records.empty() && answer.end <= m_position;
    const bool waitElapsed
        = nothingNew && answer.waited >= m_options.wait && m_hooks.now() - sentAt >= m_options.wait;
    const bool reachedEnd
        = answer.records.empty() || answer.records.back().offset + 1 >= answer.end;
    if (reachedEnd)
        m_currentAsOf = std::max(m_currentAsOf, waitElapsed ? sentAt + m_options.wait : sentAt);
    m_currentAsOf = std::min(m_currentAsOf, m_hooks.now());
    m_failures = 0;
    m_retryAt = absl::InfinitePast();
    if (!m_reachable) {
        m_reachable = true;
        if (onReachable)
            onReachable(true);
    }
    // The store does not wait for records in a topic that was never written to.
    if (nothingNew && !waitElapsed)
        m_retryAt = m_hooks.now() + EmptyTopicPause;
    else if (!nothingNew && reachedEnd)
        m_retryAt = m_hooks.now() + m_minReadInterval;
    deliver(answer.records, answer.end);
    if (!m_inFlight && isLoaded() && m_hooks.now() >= m_retryAt)
        follow();
}

void log_follower::deliver(const std::vector<stored_record> &records, std::uint64_t /*end*/)
{
    std::vector<stored_record> newRecords;
    for (const stored_record &record : records) {
        if (record.offset >= m_position)
            newRecords.push_back(record);
    }
    if (newRecords.empty())
        return;
    m_position = newRecords.back().offset + 1;
    onRecords(newRecords);
}

void log_follower::barrier(absl::Time deadline, std::function<void(bool)> done)
{
    if (!isLoaded()) {
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
    if (answer.outcome != store_outcome::Ok || !isLoaded()) {
        done(false);
        return;
    }
    deliver(answer.records, answer.end);
    done(m_position >= answer.end);
}

void log_follower::retryLater(const call_try &ended)
{
    ++m_failures;
    if (m_reachable) {
        m_reachable = false;
        if (onReachable)
            onReachable(false);
    }
    const absl::Time retryAt = m_hooks.now() + retryPause(m_failures, m_hooks.random());
    // The end of a long try delays no other one.
    m_retryAt = ended.isLong ? std::min(m_retryAt, retryAt) : retryAt;
}

} // namespace hyssoppond::batch
