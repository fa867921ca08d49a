/// @file The agent and the incarnations of its worker: reports, notices and announcements.
#include "hyssoppond/batch/batch_agent_base.h"
#include "hyssoppond/batch/lease_rule_func.h"

#include "batch_agent_orders_func.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// A worker's leaving time is announced again when it changes by more than this.
constexpr unix_ms LeavingToleranceMs = 1'000;

/// Longest wait for the runs of a leaving worker to stop before its notice is answered. A stop
/// takes up to 0.9 s, and callers expect the answer within a second.
constexpr absl::Duration NoticeAnswerTimeout = absl::Milliseconds(900);

/// A worker that has given notice or drains is gone if its machine refuses this many connections in
/// a row and no heartbeat of it arrives meanwhile.
constexpr unsigned MaxRefusedPolls = 3;

bool sameAnnouncement(const worker_description &a, const worker_description &b)
{
    return a.worker == b.worker && a.workerStartMs == b.workerStartMs && a.service == b.service
        && a.rack == b.rack && a.kind == b.kind && a.labels == b.labels && a.capacity == b.capacity
        && a.draining == b.draining
        && std::abs(a.earliestLeaveMs - b.earliestLeaveMs) <= LeavingToleranceMs;
}

/// Whether `heartbeat` tells nothing newer than `known` does. The numbers of different incarnations
/// do not compare.
bool isOutdated(const worker_heartbeat &heartbeat, const std::optional<worker_heartbeat> &known)
{
    return known && known->worker.isSameIncarnation(heartbeat.worker)
        && heartbeat.number <= known->number;
}

} // namespace

void batch_agent::onHeartbeat(const worker_heartbeat &heartbeat)
{
    if (m_superseded)
        return;
    const worker_description &worker = heartbeat.worker;
    if (isOutdated(heartbeat, m_newestHeartbeat) || isOutdated(heartbeat, m_candidate)) {
        logDecision("heartbeat outdated", worker.worker,
                    absl::StrCat("number ", heartbeat.number, ", ",
                                 worker.draining ? "draining" : "ready"));
        return;
    }
    const bool newIncarnation = !m_description || !m_description->isSameIncarnation(worker);
    if (m_description && newIncarnation) {
        m_candidate = heartbeat;
        m_pollAt = m_hooks.now();
        tick();
        return;
    }
    const bool wasDescribed = isDescribed();
    m_newestHeartbeat = heartbeat;
    if (!newIncarnation && !m_leaving)
        m_refusedPolls = 0; // it lives, even if it accepts no connection for a moment
    if (!newIncarnation
        && (m_leaving || (wasDescribed && sameAnnouncement(*m_description, worker))))
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
    m_incarnationKnownAsOf = absl::InfinitePast();
    m_silentAt = absl::InfiniteFuture();
    m_refusedPolls = 0;
    m_workerClockMs.reset();
    m_grantedUntilMs = 0;
    m_pollAt = m_hooks.now();
    // An order for the previous incarnation may still arrive at this one.
    supersedeOrders();
    m_lateOrderUntil = std::max(m_lateOrderUntil, m_hooks.now() + LongestOrderDelay);
}

void batch_agent::onRestartSeen(unix_ms workerStartMs)
{
    logDecision("worker restarted", m_description->worker, "seen in its answer to a poll");
    m_description->workerStartMs = workerStartMs;
    // The agent may have known the present incarnation, and taken a late heartbeat for a newer one.
    const bool isAnnounced = m_newestAnnouncement && m_newestAnnouncement->hasWorker
        && m_newestAnnouncement->worker.isSameIncarnation(*m_description);
    if (isAnnounced) {
        m_description = m_newestAnnouncement->worker;
        m_newestHeartbeat = {*m_description, m_newestAnnouncement->heartbeatNumber};
    }
    beginWorkerIncarnation();
    useCandidateIfPresent();
}

void batch_agent::useCandidateIfPresent()
{
    if (!m_candidate || !m_candidate->worker.isSameIncarnation(*m_description))
        return;
    const worker_heartbeat heartbeat = *m_candidate;
    m_candidate.reset();
    onHeartbeat(heartbeat);
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
    // The worker is on the same machine, which refuses connections only while nobody listens. One
    // that drains may end without a notice, or its notice may be lost.
    const bool isGone = m_refusedPolls >= MaxRefusedPolls;
    if (m_synced && m_description->draining && isGone) {
        endWorker();
        return;
    }
    if (!m_leaving)
        return;
    const bool settled
        = m_synced && m_runs.empty() && m_reportsInFlight == 0 && m_handledEnd <= m_acknowledgedEnd;
    if (settled || now >= m_noticeAnswerAt)
        answerNotices();
    if (settled || leasesOver || isGone)
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

bool batch_agent::isDescribed() const
{
    return m_description && m_newestHeartbeat
        && m_newestHeartbeat->worker.isSameIncarnation(*m_description);
}

void batch_agent::announce()
{
    m_announceDue = false;
    m_announcing = true;
    agent_announced record;
    record.agent = m_options.agent;
    record.hasWorker = isDescribed();
    if (record.hasWorker) {
        record.worker = *m_description;
        record.heartbeatNumber = m_newestHeartbeat->number;
    }
    // Announcements begin after all those of earlier processes were read, so the newest one is
    // known.
    const bool wasPresent = m_newestAnnouncement && m_newestAnnouncement->hasWorker
        && m_newestAnnouncement->worker.workerStartMs == record.worker.workerStartMs;
    record.presentSince = wasPresent ? m_newestAnnouncement->presentSince : PresentSinceThisRecord;
    const batch_record content = record;
    m_writer.write({{keyOf(content), encodeRecord(content), 0}}, absl::InfiniteFuture(),
                   [this, workerIncarnation = m_workerIncarnation, record](write_result writeResult,
                                                                           std::uint64_t offset) {
                       m_announcing = false;
                       if (writeResult != write_result::Written) {
                           retire("the store refused the announcement of its worker");
                           return;
                       }
                       noteAnnouncement(record, offset);
                       logDecision("announced", m_options.agent.str(),
                                   absl::StrCat("offset ", offset, ", worker incarnation ",
                                                record.worker.workerStartMs));
                       if (workerIncarnation == m_workerIncarnation && record.hasWorker
                           && m_description && !m_announced) {
                           m_announced = true;
                           m_announcedOffset = offset;
                       }
                   });
}

void batch_agent::probe()
{
    m_probedLast = true;
    poll_request request;
    request.fencingToken = currentToken();
    request.worker = m_candidate->worker.worker;
    request.deadline = m_hooks.now() + OrderTimeout;
    request.freshConnection = true;
    m_polling = true;
    sendPoll(std::move(request), [this, candidate = *m_candidate](const poll_answer &answer) {
        m_polling = false;
        onProbe(candidate, answer);
    });
}

void batch_agent::onProbe(const worker_heartbeat &heartbeat, const poll_answer &answer)
{
    const worker_description &candidate = heartbeat.worker;
    m_pollAt = m_hooks.now();
    if (!m_candidate || !m_description)
        return;
    if (answer.outcome != order_outcome::Done && answer.outcome != order_outcome::WorkerRestarted) {
        if (answer.outcome == order_outcome::StaleToken)
            supersedeOrders();
        if (!m_synced)
            m_pollAt += PollRetryDelay;
        return;
    }
    m_probedLast = false;
    const unix_ms startMs = answer.workerStartMs.value_or(candidate.workerStartMs);
    const bool isPresent
        = candidate.worker == m_description->worker && startMs == m_description->workerStartMs;
    if (isPresent)
        useCandidateIfPresent();
    if (!m_candidate)
        return;
    if (answer.outcome == order_outcome::WorkerRestarted || isPresent) {
        logDecision("report refuted", candidate.worker,
                    absl::StrCat("worker incarnation ", candidate.workerStartMs));
        m_candidate.reset();
        return;
    }
    // A later heartbeat may have come while the worker was asked.
    const bool isNewer = m_candidate->worker.isSameIncarnation(candidate);
    m_newestHeartbeat = isNewer ? *m_candidate : heartbeat;
    m_description = m_newestHeartbeat->worker;
    m_description->workerStartMs = startMs;
    m_candidate.reset();
    logDecision("worker found", m_description->worker,
                m_description->draining ? "draining" : "ready");
    beginWorkerIncarnation();
}

} // namespace hyssoppond::batch
