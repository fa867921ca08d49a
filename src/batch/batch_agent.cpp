/// @file The agent and the journal: orders, announcements and heartbeats.
#include "hyssoppond/batch/batch_agent_base.h"
#include "hyssoppond/batch/lease_rule_func.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Interval between two heartbeats; the decider considers an agent silent after about three.
constexpr absl::Duration HeartbeatInterval = absl::Milliseconds(1000);

/// Longest wait of one read of the journal. A completed read proves that no record was missed up to
/// then; leases depend on how recent that proof is, see JournalReadValidity.
constexpr absl::Duration JournalWait = absl::Milliseconds(1200);

/// An order is stale if the journal was last read to its end longer than this before the order was
/// received. Covers one long read and its transmission.
constexpr absl::Duration MaxOrderAge = absl::Milliseconds(1700);

/// Shortest interval between two reads of the journal without wake-up messages; short compared with
/// the time that an urgent job may wait, about 1 s.
constexpr absl::Duration MinReadInterval = absl::Milliseconds(50);

/// Shortest interval between two reads of the journal with wake-up messages, which may be lost.
constexpr absl::Duration MinReadIntervalWithWakes = absl::Milliseconds(500);

/// A worker's leaving time is announced again when it changes by more than this.
constexpr unix_ms LeavingToleranceMs = 1'000;

/// Random low bits of an epoch. They keep processes apart that start at the same time of day, which
/// a step of the clock makes possible. The rest is the time of day in ms.
constexpr unsigned EpochRandomBits = 10;

/// First raise of an epoch that is too low, in ms; exceeds the steps of the clock. It doubles with
/// each further raise.
constexpr std::uint64_t FirstEpochRaiseMs = 4'000;
constexpr std::uint32_t MaxEpochDoublings = 20;

/// Pause before the session is recorded with a higher epoch.
constexpr absl::Duration SessionRetryDelay = absl::Milliseconds(100);
/// Longest wait for the runs of a leaving worker to stop before its notice is answered. A stop
/// takes up to 0.9 s, and callers expect the answer within a second.
constexpr absl::Duration NoticeAnswerTimeout = absl::Milliseconds(900);

/// A worker that has given notice is gone if its machine refuses this many connections in a row.
constexpr unsigned MaxRefusedPolls = 3;

/// Time limit for one answer of the store.
constexpr absl::Duration StoreTimeout = absl::Milliseconds(1000);

bool sameAnnouncement(const worker_description &a, const worker_description &b)
{
    return a.worker == b.worker && a.workerStartMs == b.workerStartMs && a.service == b.service
        && a.rack == b.rack && a.kind == b.kind && a.labels == b.labels && a.capacity == b.capacity
        && a.draining == b.draining
        && std::abs(a.earliestLeaveMs - b.earliestLeaveMs) <= LeavingToleranceMs;
}

} // namespace

batch_agent::batch_agent(batch_agent_options options, store_port *store, item_worker_port *worker,
                         loop_hooks hooks)
    : m_options(std::move(options))
    , m_store(store)
    , m_worker(worker)
    , m_hooks(std::move(hooks))
    , m_follower({m_options.journalTopic, JournalWait}, store, m_hooks)
    , m_writer(
          {m_options.journalTopic, absl::StrCat(m_options.agent.str(), "/journal"), clockEpoch()},
          store, m_hooks)
{
    m_follower.setMinReadInterval(m_options.wakeAddress.empty() ? MinReadInterval
                                                                : MinReadIntervalWithWakes);
    m_follower.onLoaded = [this](const auto &records) { onLoaded(records); };
    m_follower.onRecords = [this](const auto &records) { onRecords(records); };
    m_follower.onReachable = [this](bool reachable) {
        logDecision(reachable ? "store regained" : "store lost", "", "");
    };
    // An earlier process of this agent may have granted a lease until now.
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
    if (m_recordingSession)
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
    if (m_follower.isLoaded() && m_announced) {
        startDue();
        stopDue();
        if (m_hooks.now() >= m_heartbeatAt)
            sendHeartbeat();
    }
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
    }
    return next;
}

void batch_agent::onHeartbeat(const worker_description &worker)
{
    if (m_superseded)
        return;
    const bool newIncarnation = !m_description
        || m_description->workerStartMs != worker.workerStartMs
        || m_description->worker != worker.worker;
    if (m_description && newIncarnation) {
        m_candidate = worker;
        m_pollAt = m_hooks.now();
        tick();
        return;
    }
    if (!newIncarnation && (m_leaving || sameAnnouncement(*m_description, worker)))
        return;
    m_description = worker;
    logDecision(newIncarnation ? "worker found" : "worker changed", worker.worker,
                worker.draining ? "draining" : "ready");
    if (newIncarnation)
        beginWorkerIncarnation();
    else
        m_announceDue = m_synced;
    tick();
}

void batch_agent::beginWorkerIncarnation()
{
    ++m_workerIncarnation;
    m_leaving = false;
    answerNotices();
    m_announced = false;
    m_announceDue = false;
    m_synced = false;
    m_handledEnd = 0;
    m_acknowledgedEnd = 0;
    m_incarnationConfirmedAt = absl::InfinitePast();
    m_silentAt = absl::InfiniteFuture();
    m_workerClockMs.reset();
    m_grantedUntilMs = 0;
    m_pollAt = m_hooks.now();
    // An order for the previous incarnation may still arrive at this one.
    supersedeOrders();
}

void batch_agent::onWorkerLeft(const std::string &worker, std::function<void()> done)
{
    const bool known = m_description && m_description->worker == worker;
    logDecision(known ? "worker left" : "notice ignored", worker,
                absl::StrCat(m_runs.size(), " runs, ", describeLease()));
    if (done)
        m_noticeAnswers.push_back(std::move(done));
    if (!known) {
        answerNotices();
        return;
    }
    if (!m_leaving) {
        // The runs have not ended yet, and the notice may be a delayed one of an earlier
        // incarnation. The worker gets no more work and no more lease, and its lists show which
        // runs have ended.
        m_leaving = true;
        m_refusedPolls = 0;
        m_noticeAnswerAt = m_hooks.now() + NoticeAnswerTimeout;
        m_announceDue = m_synced && !m_description->draining;
        m_description->draining = true;
        for (auto &[id, run] : m_runs)
            run.unwanted = true;
        m_pollAt = m_hooks.now();
    }
    tick();
}

bool batch_agent::isSilent() const
{
    return m_synced && m_hooks.now() >= m_silentAt;
}

void batch_agent::checkWorker()
{
    const absl::Time now = m_hooks.now();
    // Without runs nobody waits for the worker, and it is not polled.
    const bool leasesOver = now >= std::max(m_leaseOverAt, lateLeaseOverAt());
    if (isSilent() && !m_runs.empty() && leasesOver) {
        endWorker();
        return;
    }
    if (!m_leaving)
        return;
    const bool settled
        = m_synced && m_runs.empty() && m_reportsInFlight == 0 && m_handledEnd <= m_acknowledgedEnd;
    if (settled || now >= m_noticeAnswerAt)
        answerNotices();
    // The worker is on the same machine, which refuses connections only while nobody listens.
    if (settled || leasesOver || m_refusedPolls >= MaxRefusedPolls)
        endWorker();
}

void batch_agent::answerNotices()
{
    const std::vector<std::function<void()>> answers = std::move(m_noticeAnswers);
    m_noticeAnswers.clear();
    for (const auto &answer : answers)
        answer();
}

void batch_agent::endWorker()
{
    logDecision("worker ended", m_description->worker,
                absl::StrCat(m_runs.size(), " runs, ", describeLease()));
    answerNotices();
    // The announcement ends these runs too, but a later one replaces it in the store.
    std::vector<run_ended> ends;
    for (const auto &[id, run] : m_runs) {
        if (run.state != phase::Reported)
            ends.push_back(endOf(id, run_end::Lost, ""));
    }
    if (!ends.empty())
        report(std::move(ends), 0);
    m_leaving = false;
    m_description.reset();
    m_candidate.reset();
    m_announced = false;
    m_synced = false;
    ++m_workerIncarnation;
    m_runs.clear();
    announce();
}

void batch_agent::dropOrdersOfOtherIncarnations()
{
    std::erase_if(m_runs, [this](const auto &entry) {
        const bool isVoid = !isCurrent(entry.second);
        if (isVoid)
            m_voidedRuns.insert(entry.first);
        return isVoid;
    });
}

bool batch_agent::isCurrent(const local_run &run) const
{
    return m_description && run.workerStartMs == m_description->workerStartMs;
}

void batch_agent::announce()
{
    m_announceDue = false;
    m_announcing = true;
    agent_announced record;
    record.agent = m_options.agent;
    record.hasWorker = m_description.has_value();
    if (m_description)
        record.worker = *m_description;
    const batch_record content = record;
    m_writer.write(
        {{keyOf(content), encodeRecord(content), 0}}, absl::InfiniteFuture(),
        [this, workerIncarnation = m_workerIncarnation,
         announcedStartMs = record.worker.workerStartMs](write_result writeResult,
                                                         std::uint64_t offset) {
            m_announcing = false;
            if (writeResult != write_result::Written) {
                retire("the store refused the announcement of its worker");
                return;
            }
            logDecision("announced", m_options.agent.str(),
                        absl::StrCat("offset ", offset, ", worker incarnation ", announcedStartMs));
            if (workerIncarnation == m_workerIncarnation && m_description && !m_announced) {
                m_announced = true;
                m_announcedOffset = offset;
            }
        });
}

void batch_agent::sendHeartbeat()
{
    m_heartbeatAt = m_hooks.now() + HeartbeatInterval;
    if (!m_description)
        return;
    agent_heartbeat content;
    content.agent = m_options.agent;
    content.workerStartMs = m_description->workerStartMs;
    append_request request;
    request.topic = m_options.heartbeatTopic;
    request.records.push_back({"", encodeAgentHeartbeat(content), 0});
    // Each heartbeat has its own epoch, so that a lost heartbeat does not delay the next one.
    request.producer = producer_stamp {
        absl::StrCat(m_options.agent.str(), "/", m_writer.epoch(), "/beat"), ++m_heartbeats, 1};
    request.deadline = m_hooks.now() + StoreTimeout;
    // A lost heartbeat is not repeated; the next one replaces it.
    m_store->append(std::move(request),
                    [this, sentAt = m_hooks.now()](const append_answer &answer) {
                        if (answer.outcome == store_outcome::Ok)
                            m_heartbeatStoredAt = std::max(m_heartbeatStoredAt, sentAt);
                    });
}

void batch_agent::onLoaded(const std::vector<stored_record> &records)
{
    m_endedRuns.clear();
    m_endedJobs.clear();
    m_stoppingRuns.clear();
    m_evicted = false;
    m_announcedStartMs.reset();
    std::map<item_run, local_run> previousRuns;
    previousRuns.swap(m_runs);
    pruneUnreadEnds();
    for (const auto &[id, offset] : m_unreadEnds)
        m_endedRuns.insert(id);
    // Orders are rebuilt from the journal; the known state of their runs is kept.
    m_applyingLoad = true;
    for (const stored_record &storedRecord : records)
        applyRecord(storedRecord, true);
    m_applyingLoad = false;
    for (auto &[id, run] : m_runs) {
        const auto known = previousRuns.find(id);
        if (known == previousRuns.end())
            continue;
        const bool unwanted = run.unwanted;
        run = known->second;
        run.unwanted = run.unwanted || unwanted;
    }
    m_leaseProofAsOf = std::max(m_leaseProofAsOf, m_follower.currentAsOf());
    logDecision("journal loaded", "",
                absl::StrCat(records.size(), " records, ", m_runs.size(), " runs, ",
                             toString(m_follower.lastLoad())));
    tick();
}

void batch_agent::onRecords(const std::vector<stored_record> &records)
{
    const bool stale = m_hooks.now() - m_follower.previousCurrentAsOf() > MaxOrderAge;
    pruneUnreadEnds();
    for (const stored_record &storedRecord : records)
        applyRecord(storedRecord, stale);
    tick();
}

void batch_agent::applyRecord(const stored_record &stored, bool stale)
{
    if (stored.value.empty())
        return;
    // Submissions are by far the largest records and hold nothing that an agent needs.
    if (stored.key.starts_with("j:"))
        return;
    const result<batch_record> decoded = decodeRecord(stored.value);
    if (!decoded) {
        logDecision("record ignored", stored.key, decoded.error().message);
        return;
    }
    if (const auto *ordered = std::get_if<run_ordered>(&*decoded)) {
        onOrdered(*ordered, stale);
    } else if (const auto *stopping = std::get_if<run_stopping>(&*decoded)) {
        m_stoppingRuns.insert({stopping->unit, stopping->run});
        for (auto &[id, run] : m_runs)
            run.unwanted = run.unwanted || (id.unit == stopping->unit && id.run == stopping->run);
    } else if (const auto *ended = std::get_if<run_ended>(&*decoded)) {
        if (ended->agent == m_options.agent)
            markEnded({ended->unit, ended->member, ended->run});
    } else if (const auto *started = std::get_if<process_started>(&*decoded)) {
        if (started->isEntry && !started->wakeAddress.empty())
            m_entryAddresses[started->process] = started->wakeAddress;
        if (!started->isEntry && started->process == m_options.agent
            && stored.offset >= m_newestSessionOffset) {
            m_newestSession = *started;
            m_newestSessionOffset = stored.offset;
        }
    } else if (const auto *announced = std::get_if<agent_announced>(&*decoded)) {
        if (announced->agent == m_options.agent)
            onOwnAnnouncement(*announced);
    } else if (const auto *cancelled = std::get_if<job_cancelled>(&*decoded)) {
        markUnwanted(cancelled->job);
    } else if (const auto *failed = std::get_if<job_failed>(&*decoded)) {
        markUnwanted(failed->job);
    } else if (const auto *evicted = std::get_if<agent_evicted>(&*decoded)) {
        if (evicted->agent == m_options.agent && m_evicted != evicted->evicted) {
            m_evicted = evicted->evicted;
            logDecision(m_evicted ? "evicted" : "reinstated", m_options.agent.str(),
                        absl::StrCat("offset ", stored.offset));
            // A heartbeat reinstates the agent, and one without a usable worker must not be.
            if (m_evicted && m_announced)
                sendHeartbeat();
        }
    }
}

void batch_agent::onOrdered(const run_ordered &ordered, bool stale)
{
    // The decider orders a unit again only when its earlier runs are over.
    for (auto &[id, run] : m_runs)
        run.unwanted = run.unwanted || (id.unit == ordered.unit && id.run < ordered.run);
    for (const run_member &member : ordered.members) {
        if (member.agent != m_options.agent)
            continue;
        const item_run id {ordered.unit, member.index, ordered.run};
        if (m_endedRuns.contains(id))
            continue;
        if ((m_synced && member.workerStartMs != m_description->workerStartMs)
            || (m_announcedStartMs && member.workerStartMs != *m_announcedStartMs)) {
            m_voidedRuns.insert(id);
            // The state has lost this run, but a load cannot tell so once the same incarnation is
            // announced again.
            if (m_sessionConfirmed && !m_applyingLoad)
                report({endOf(id, run_end::NotStarted, "")}, 0);
            continue;
        }
        local_run run;
        run.payload = ordered.payload;
        run.checkpoint = ordered.checkpoint;
        run.receivedAt = m_hooks.now();
        run.stale = stale;
        run.workerStartMs = member.workerStartMs;
        run.gang = ordered.gang;
        run.unwanted = m_leaving || m_endedJobs.contains(ordered.unit.job)
            || m_stoppingRuns.contains({ordered.unit, ordered.run});
        m_runs.try_emplace(id, std::move(run));
    }
}

void batch_agent::onOwnAnnouncement(const agent_announced &announced)
{
    // As in batch_state: orders before the announcement are void unless they name this incarnation.
    m_announcedStartMs = announced.hasWorker ? announced.worker.workerStartMs : 0;
    std::vector<run_ended> ends;
    std::erase_if(m_runs, [this, &ends](const auto &entry) {
        const local_run &run = entry.second;
        const bool isVoid = run.workerStartMs != *m_announcedStartMs && run.state == phase::Ordered
            && !run.uncertain;
        if (isVoid) {
            m_voidedRuns.insert(entry.first);
            ends.push_back(endOf(entry.first, run_end::NotStarted, ""));
        }
        return isVoid;
    });
    if (!ends.empty() && m_sessionConfirmed && !m_applyingLoad)
        report(std::move(ends), 0);
}

void batch_agent::markEnded(const item_run &run)
{
    m_endedRuns.insert(run);
    m_runs.erase(run);
}

void batch_agent::pruneUnreadEnds()
{
    std::erase_if(m_unreadEnds,
                  [this](const auto &entry) { return entry.second < m_follower.position(); });
}

void batch_agent::markUnwanted(const job_id &job)
{
    m_endedJobs.insert(job);
    for (auto &[id, run] : m_runs)
        run.unwanted = run.unwanted || id.unit.job == job;
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
    if (m_synced && !m_runs.empty())
        poll();
}

} // namespace hyssoppond::batch
