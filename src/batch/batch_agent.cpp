/// @file The agent: what is due, its session and its heartbeats.
#include "hyssoppond/batch/batch_agent_base.h"
#include "hyssoppond/batch/lease_rule_func.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Interval between two heartbeats; the decider considers an agent silent after about three.
constexpr absl::Duration HeartbeatInterval = absl::Milliseconds(1000);

/// Shortest interval between two heartbeats, where orders need a recent one.
constexpr absl::Duration MinHeartbeatInterval = absl::Milliseconds(500);

/// Number of heartbeats without an answer after which they become rarer, and the interval then. A
/// store that is overloaded by the heartbeats of all agents would not recover from it otherwise.
/// They may be stored all the same, so the interval is below the time after which an agent counts
/// as silent.
constexpr std::uint32_t MaxUnansweredHeartbeats = 2;
constexpr absl::Duration MaxHeartbeatInterval = absl::Milliseconds(2000);

/// Longest wait of one read of the journal. A completed read proves that no record was missed up to
/// then; leases depend on how recent that proof is, see JournalReadValidity.
constexpr absl::Duration JournalWait = absl::Milliseconds(1200);

/// Shortest interval between two reads of the journal without wake-up messages; short compared with
/// the time that an urgent job may wait, about 1 s.
constexpr absl::Duration MinReadInterval = absl::Milliseconds(50);

/// Shortest interval between two reads of the journal with wake-up messages, which may be lost.
constexpr absl::Duration MinReadIntervalWithWakes = absl::Milliseconds(500);

/// Random low bits of an epoch. They keep processes apart that start at the same time of day, which
/// a step of the clock makes possible. The rest is the time of day in ms.
constexpr unsigned EpochRandomBits = 10;

/// First raise of an epoch that is too low, in ms; exceeds the steps of the clock. It doubles with
/// each further raise.
constexpr std::uint64_t FirstEpochRaiseMs = 4'000;
constexpr std::uint32_t MaxEpochDoublings = 20;

/// Pause before the session is recorded with a higher epoch.
constexpr absl::Duration SessionRetryDelay = absl::Milliseconds(100);

/// Time limit for one answer of the store.
constexpr absl::Duration StoreTimeout = absl::Milliseconds(1000);

/// Longest time that a process that is to end waits for its records. Covers an append through a
/// peer; the next process is started only when this one has ended.
constexpr absl::Duration StopTimeout = absl::Milliseconds(1000);

} // namespace

batch_agent::batch_agent(batch_agent_options options, store_port *store, item_worker_port *worker,
                         loop_hooks hooks)
    : m_options(std::move(options))
    , m_store(store)
    , m_worker(worker)
    , m_hooks(std::move(hooks))
    , m_startedAt(m_hooks.now())
    , m_follower({m_options.journalTopic, JournalWait}, store, m_hooks)
    , m_writer(
          {m_options.journalTopic, absl::StrCat(m_options.agent.str(), "/journal"), clockEpoch()},
          store, m_hooks)
    , m_grants(m_options.longestLeaseMs)
{
    m_follower.setMinReadInterval(m_options.wakeAddress.empty() ? MinReadInterval
                                                                : MinReadIntervalWithWakes);
    m_follower.onLoaded = [this](const auto &records) { onLoaded(records); };
    m_follower.onRecords = [this](const auto &records) { onRecords(records); };
    m_follower.onReachable = [this](bool reachable) {
        logDecision(reachable ? "store regained" : "store lost", "", "");
        if (reachable)
            m_heartbeatAt = std::min(m_heartbeatAt, m_heartbeatSentAt + HeartbeatInterval);
    };
    // An earlier process of this agent may have granted a lease until now, and may have sent orders
    // that are still to be carried out.
    m_lateOrderUntil = m_hooks.now() + LongestOrderDelay;
    m_leaseOverAt = m_hooks.now()
        + absl::Milliseconds(m_options.longestLeaseMs) / (1.0 - WorkerClockError) + LeaseSlack;
    recordSession();
}

void batch_agent::logDecision(const char *decision, const std::string &item,
                              const std::string &detail) const
{
    if (onDecision)
        onDecision(decision, item, detail);
}

std::uint64_t batch_agent::clockEpoch() const
{
    const auto nowMs = static_cast<std::uint64_t>(absl::ToUnixMillis(m_hooks.wallNow()));
    return (nowMs << EpochRandomBits) + (m_hooks.random() & ((1U << EpochRandomBits) - 1));
}

void batch_agent::recordSession()
{
    // A later start of this process would take back that it ends.
    if (m_recordingSession || m_stopBy != absl::InfiniteFuture())
        return;
    m_recordingSession = true;
    const batch_record record
        = process_started {m_options.agent, m_options.incarnation, false, m_options.wakeAddress};
    m_writer.write({{keyOf(record), encodeRecord(record), 0}}, absl::InfiniteFuture(),
                   [this](write_result writeResult, std::uint64_t offset) {
                       m_recordingSession = false;
                       if (writeResult != write_result::Written && m_sessionConfirmed) {
                           retire("the store refused to record the session again");
                           return;
                       }
                       if (writeResult != write_result::Written) {
                           retrySession("the store knows a higher epoch");
                           return;
                       }
                       m_sessionOffset = offset;
                       m_tokenStep = 0;
                       logDecision("session recorded", m_options.agent.str(),
                                   absl::StrCat("offset ", offset, ", incarnation ",
                                                m_options.incarnation, ", epoch ",
                                                m_writer.epoch()));
                   });
}

void batch_agent::retrySession(const char *why)
{
    logDecision("session refused", m_options.agent.str(),
                absl::StrCat("epoch ", m_writer.epoch(), ": ", why));
    const std::uint64_t raiseMs = FirstEpochRaiseMs << std::min(m_epochRaises++, MaxEpochDoublings);
    m_writer.beginEpoch(std::max(m_writer.epoch(), clockEpoch()) + (raiseMs << EpochRandomBits));
    m_sessionOffset.reset();
    m_sessionRetryAt = m_hooks.now() + SessionRetryDelay;
}

void batch_agent::checkSession()
{
    if (!m_sessionOffset) {
        if (!m_recordingSession && m_hooks.now() >= m_sessionRetryAt)
            recordSession();
        return;
    }
    const bool recordedAgain = m_recordingSession && m_newestSession
        && m_newestSession->incarnation == m_options.incarnation;
    if (m_newestSession && m_newestSessionOffset > *m_sessionOffset && !recordedAgain) {
        retire("the journal shows a later process of this agent");
        return;
    }
    if (m_sessionConfirmed || !m_follower.isLoaded() || m_follower.position() <= *m_sessionOffset)
        return;
    m_sessionConfirmed = m_newestSession && m_newestSessionOffset == *m_sessionOffset
        && m_newestSession->incarnation == m_options.incarnation;
    // The store answers the append of a second process with the same epoch as if it repeated that
    // of the first one.
    if (!m_sessionConfirmed)
        retrySession("another process has used it");
}

void batch_agent::retire(const char *why)
{
    if (m_superseded)
        return;
    m_superseded = true;
    m_leaving = false;
    m_candidate.reset();
    m_description.reset();
    m_synced = false;
    m_announced = false;
    m_announceDue = false;
    logDecision("superseded", m_options.agent.str(), absl::StrCat(why, "; ", describeLease()));
    answerNotices();
    if (onSuperseded)
        onSuperseded();
}

void batch_agent::tick()
{
    if (m_superseded)
        return;
    m_follower.tick();
    m_writer.tick();
    checkSession();
    if (m_superseded)
        return;
    if (m_announceDue && !m_announcing)
        announce();
    m_confirmDue = false;
    if (m_follower.isLoaded() && m_announced) {
        startDue();
        stopDue();
        if (m_hooks.now() >= m_heartbeatAt)
            sendHeartbeat();
    }
    recordBegunJobs();
    if (!m_confirmDue)
        m_confirmBefore = absl::InfiniteFuture();
    if (wantsPoll() && !m_polling && m_hooks.now() >= m_pollAt)
        poll();
    checkWorker();
}

absl::Time batch_agent::nextDeadline() const
{
    if (m_superseded)
        return absl::InfiniteFuture();
    absl::Time next = std::min(m_follower.nextDeadline(), m_writer.nextDeadline());
    if (!m_sessionOffset && !m_recordingSession)
        next = std::min(next, m_sessionRetryAt);
    if (m_announced)
        next = std::min(next, m_heartbeatAt);
    if (wantsPoll() && !m_polling)
        next = std::min(next, m_pollAt);
    if (m_confirmDue)
        next = std::min(next, m_confirmAt);
    if (!m_noticeAnswers.empty())
        next = std::min(next, m_noticeAnswerAt);
    if (m_leaving)
        next = std::min(next, m_leaseOverAt);
    else if (m_synced && !m_runs.empty())
        next = std::min(next, std::max(m_silentAt, m_leaseOverAt));
    for (const auto &[id, run] : m_runs) {
        if (m_synced && m_announced && isCurrent(run) && run.unwanted && !run.stopSent
            && run.state == phase::Running)
            next = std::min(next, run.stopRetryAt);
        if (run.state == phase::Running && !m_recordingBegun && m_sessionConfirmed
            && !m_begunJobs.contains(id.unit.job))
            next = std::min(next, run.recordBegunAt);
    }
    return next;
}

void batch_agent::hastenHeartbeat()
{
    // While the store does not answer in time, more heartbeats would only be more load on it.
    if (m_heartbeatStoredAt < m_heartbeatSentAt)
        return;
    m_heartbeatAt = std::min(m_heartbeatAt,
                             std::max(m_hooks.now(), m_heartbeatSentAt + MinHeartbeatInterval));
}

absl::Duration batch_agent::nextHeartbeatInterval() const
{
    if (m_unansweredHeartbeats < MaxUnansweredHeartbeats)
        return HeartbeatInterval;
    const double jitter = 0.75 + 0.25 * static_cast<double>(m_hooks.random() % 1000) / 1000.0;
    return MaxHeartbeatInterval * jitter;
}

void batch_agent::sendHeartbeat()
{
    m_heartbeatSentAt = m_hooks.now();
    m_heartbeatAt = m_hooks.now() + nextHeartbeatInterval();
    if (!m_description)
        return;
    agent_heartbeat content;
    content.agent = m_options.agent;
    content.workerStartMs = m_description->workerStartMs;
    content.sender = m_options.incarnation;
    content.sentUs = absl::ToInt64Microseconds(m_heartbeatSentAt - m_startedAt);
    if (m_storedHeartbeat != NoHeartbeatStored) {
        content.storedOffset = m_storedHeartbeat;
        content.storedUs = absl::ToInt64Microseconds(m_heartbeatAnsweredAt - m_startedAt);
    }
    content.progress = takeProgress();
    append_request request;
    request.topic = m_options.heartbeatTopic;
    request.records.push_back({"", encodeAgentHeartbeat(content), 0});
    // Each heartbeat has its own epoch, so that a lost heartbeat does not delay the next one.
    request.producer = producer_stamp {
        absl::StrCat(m_options.agent.str(), "/", m_writer.epoch(), "/beat"), ++m_heartbeats, 1};
    request.deadline = m_hooks.now() + StoreTimeout;
    request.urgent = true;
    ++m_unansweredHeartbeats;
    // A lost heartbeat is not repeated; the next one replaces it.
    m_store->append(
        std::move(request),
        [this, sentAt = m_hooks.now(), progress = content.progress](const append_answer &answer) {
            if (answer.outcome != store_outcome::Ok) {
                returnProgress(progress);
                return;
            }
            m_heartbeatStoredAt = std::max(m_heartbeatStoredAt, sentAt);
            m_unansweredHeartbeats = 0;
            // Only a heartbeat that names an earlier one tells when it was sent.
            if (m_storedHeartbeat == NoHeartbeatStored)
                m_heartbeatAt = m_hooks.now();
            m_storedHeartbeat = answer.offset;
            m_heartbeatAnsweredAt = m_hooks.now();
        });
}

std::vector<std::string> batch_agent::entryAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[name, address] : m_entryAddresses)
        addresses.push_back(address);
    return addresses;
}

void batch_agent::prepareStop()
{
    if (m_superseded || m_stopBy != absl::InfiniteFuture())
        return;
    const absl::Time now = m_hooks.now();
    m_stopBy = now + StopTimeout;
    m_endingRecorded = !m_sessionOffset; // nobody knows this process yet
    if (m_sessionOffset) {
        const batch_record record = process_ending {m_options.agent, m_options.incarnation};
        m_writer.write({{keyOf(record), encodeRecord(record), 0}}, absl::InfiniteFuture(),
                       [this](write_result writeResult, std::uint64_t offset) {
                           m_endingRecorded = true;
                           logDecision(writeResult == write_result::Written ? "ending recorded"
                                                                            : "ending refused",
                                       m_options.agent.str(), absl::StrCat("offset ", offset));
                       });
    }
    if (m_synced && !m_runs.empty()) {
        m_renewalDue = true;
        poll();
        if (m_polling && m_lastPollAt >= now)
            m_lastPollSentAt = m_lastPollAt;
    }
}

bool batch_agent::isReadyToStop() const
{
    const bool isDone = m_endingRecorded && !m_lastPollSentAt && m_reportsInFlight == 0;
    return m_superseded || isDone || m_hooks.now() >= m_stopBy;
}

} // namespace hyssoppond::batch
