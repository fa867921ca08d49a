/// @file The agent and its worker: starts, stops and reports of ends.
#include "hyssoppond/batch/batch_agent_base.h"
#include "hyssoppond/batch/lease_rule_func.h"

#include "batch_agent_orders_func.h"

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Pause after a stop that failed.
constexpr absl::Duration StopRetryDelay = absl::Milliseconds(200);

/// A start is sent only with a lease of at least this length, which covers a poll on its way.
constexpr std::int64_t ShortestStartLeaseMs = 2'000;

/// Attempts to start an item before the agent reports that it did not start.
constexpr std::uint32_t MaxStartAttempts = 4;

/// A start is sent only this long after a poll that the present incarnation of the worker has
/// answered. A restart takes longer, so the start cannot reach the next incarnation, whose clock
/// starts anew: a lease by the earlier one would be the longest there.
constexpr absl::Duration IncarnationKnownFor = absl::Milliseconds(400);

/// Interval between two polls that ask for the incarnation, while none is answered.
constexpr absl::Duration ConfirmInterval = absl::Milliseconds(100);

/// Starts are reported as not started if the incarnation is not known after this time.
constexpr absl::Duration ConfirmTimeout = absl::Milliseconds(3'000);

/// Share of the gang timeout within which the order has to reach all members.
constexpr double GangStartShare = 0.6;

} // namespace

run_ended batch_agent::endOf(const item_run &id, run_end how, const std::string &checkpoint) const
{
    run_ended ended {id.unit, id.run, id.member, m_options.agent, how, checkpoint, false};
    const auto run = m_runs.find(id);
    if (run != m_runs.end() && run->second.startedAt < m_hooks.now())
        ended.runTimeMs = absl::ToInt64Milliseconds(m_hooks.now() - run->second.startedAt);
    return ended;
}

void batch_agent::report(std::vector<run_ended> ends, std::uint64_t lastEnd)
{
    std::vector<stored_record> records;
    for (const run_ended &ended : ends) {
        const item_run id {ended.unit, ended.member, ended.run};
        logDecision("run ended", nameOf(id), std::string(RunEndNames.name(ended.how)));
        const auto found = m_runs.find(id);
        if (found != m_runs.end())
            found->second.state = phase::Reported;
        records.push_back({keyOf(ended, m_options.incarnation), encodeRecord(ended), 0});
    }
    ++m_reportsInFlight;
    m_writer.write(std::move(records), absl::InfiniteFuture(),
                   [this, ends = std::move(ends), lastEnd, workerIncarnation = m_workerIncarnation](
                       write_result writeResult, std::uint64_t offset) {
                       --m_reportsInFlight;
                       if (writeResult != write_result::Written) {
                           retire("the store refused the ends of runs");
                           return;
                       }
                       for (const run_ended &ended : ends) {
                           const item_run id {ended.unit, ended.member, ended.run};
                           logDecision("end recorded", nameOf(id), absl::StrCat("offset ", offset));
                           m_unreadEnds[id] = offset++;
                           markEnded(id);
                       }
                       if (workerIncarnation == m_workerIncarnation)
                           m_handledEnd = std::max(m_handledEnd, lastEnd);
                       m_pollAt = m_hooks.now();
                   });
}

void batch_agent::reportNotStarted(const item_run &id, const char *why)
{
    logDecision("not started", nameOf(id), why);
    report({endOf(id, run_end::NotStarted, "")}, 0);
}

std::vector<item_run> batch_agent::dueStarts() const
{
    std::vector<item_run> due;
    for (const auto &[id, run] : m_runs) {
        if (run.state == phase::Ordered && !run.uncertain && isCurrent(run))
            due.push_back(id);
    }
    return due;
}

void batch_agent::startDue()
{
    // Orders before the announcement may be void; only the records up to it tell.
    if (!m_synced || m_evicted || m_follower.position() <= m_announcedOffset)
        return;
    for (const item_run &id : dueStarts()) {
        const local_run &run = m_runs.at(id);
        const bool late
            = run.stale || m_hooks.now() - run.receivedAt > m_options.gangTimeout * GangStartShare;
        if (run.unwanted)
            reportNotStarted(id, "no longer wanted");
        else if (m_description->draining)
            reportNotStarted(id, "worker is draining");
        else if (m_evacuatedZones.contains(m_description->zone))
            reportNotStarted(id, "zone is evacuated");
        else if (run.gang && late)
            reportNotStarted(id, "too late for its gang");
        else if (run.startAttempts >= MaxStartAttempts)
            reportNotStarted(id, "all start attempts failed");
        else if (m_hooks.now() >= m_confirmBefore)
            reportNotStarted(id, "worker does not answer");
        else
            start(id);
    }
}

void batch_agent::start(const item_run &id)
{
    const bool isKnown = m_hooks.now() - m_incarnationKnownAsOf < IncarnationKnownFor;
    if (!isKnown)
        confirmIncarnation();
    const std::int64_t leaseMs = longestLeaseMs(granted_leases::effect::Starts);
    if (leaseMs < std::min(ShortestStartLeaseMs, m_options.longestLeaseMs)) {
        hastenHeartbeat();
        return;
    }
    if (!isKnown)
        return;
    local_run &run = m_runs.at(id);
    run.state = phase::Starting;
    run.progressAt = m_hooks.now();
    ++run.startAttempts;
    m_renewalDue = true;
    ++m_startsSent;
    const std::int64_t leaseEndMs = workerClockMs() + leaseMs;
    noteGrant(leaseEndMs);
    const std::uint64_t grant
        = m_grants.noteSent(currentToken(), m_hooks.now(), leaseMs, granted_leases::effect::Starts);
    logDecision("start", nameOf(id), absl::StrCat("token ", currentToken(), ", ", describeLease()));
    start_order order;
    order.run = id;
    order.payload = run.payload;
    order.checkpoint = run.checkpoint;
    order.leaseUntilMs = leaseEndMs;
    order.fencingToken = currentToken();
    order.worker = m_description->worker;
    order.deadline = m_hooks.now() + OrderTimeout;
    m_worker->start(std::move(order),
                    [this, id, grant, sentToken = currentToken(),
                     workerIncarnation = m_workerIncarnation](const order_answer &answer) {
                        if (answer.outcome != order_outcome::NoAnswer)
                            m_grants.noteAnswered(grant);
                        onStarted(id, sentToken, workerIncarnation, answer);
                    });
}

void batch_agent::confirmIncarnation()
{
    const absl::Time now = m_hooks.now();
    const bool isFirst = m_confirmBefore == absl::InfiniteFuture();
    if (isFirst)
        m_confirmBefore = now + ConfirmTimeout;
    m_confirmDue = true;
    if (now < m_confirmAt)
        return;
    m_confirmAt = now + ConfirmInterval;
    poll_request request;
    request.fencingToken = currentToken();
    request.worker = m_description->worker;
    request.deadline = now + IncarnationKnownFor; // a later answer would be of no use
    request.freshConnection = !isFirst;
    sendPoll(std::move(request),
             [this, sentToken = currentToken(), workerIncarnation = m_workerIncarnation,
              now](const poll_answer &answer) {
                 onConfirmed(answer, sentToken, workerIncarnation, now);
             });
}

void batch_agent::onConfirmed(const poll_answer &answer, std::uint64_t sentToken,
                              std::uint64_t workerIncarnation, absl::Time sentAt)
{
    if (m_superseded || !m_description || workerIncarnation != m_workerIncarnation)
        return;
    updateWorkerClock(answer.workerClockMs, answer.outcome, workerIncarnation);
    switch (answer.outcome) {
    case order_outcome::Done:
        checkIncarnation(answer, sentToken, sentAt);
        break;
    case order_outcome::StaleToken:
        if (sentToken == currentToken())
            supersedeOrders();
        break;
    case order_outcome::Unhealthy:
    case order_outcome::NotListening:
    case order_outcome::Rejected:
        for (const item_run &id : dueStarts())
            reportNotStarted(id, "refused");
        break;
    default:
        break; // asked again
    }
}

void batch_agent::onStarted(const item_run &id, std::uint64_t sentToken,
                            std::uint64_t workerIncarnation, const order_answer &answer)
{
    updateWorkerClock(answer.workerClockMs, answer.outcome, workerIncarnation);
    if (answer.outcome == order_outcome::Done && workerIncarnation == m_workerIncarnation)
        m_grants.noteAccepted(sentToken, m_hooks.now());
    if (m_superseded)
        return;
    supersedeIfUnanswered(answer.outcome, sentToken, true);
    const auto found = m_runs.find(id);
    if (found == m_runs.end() || found->second.state != phase::Starting)
        return;
    local_run &run = found->second;
    switch (answer.outcome) {
    case order_outcome::Done:
        run.state = phase::Running;
        run.startedAt = m_hooks.now();
        run.progressAt = m_hooks.now();
        m_pollAt = m_hooks.now();
        break;
    case order_outcome::NoAnswer:
        // The start may be carried out later. A poll with a higher token rules that out and shows
        // whether it was carried out already.
        logDecision("start unanswered", nameOf(id), "polling with a higher fencing token");
        run.state = phase::Ordered;
        run.uncertain = true;
        m_pollOnFreshConnection = true;
        m_pollAt = m_hooks.now();
        break;
    case order_outcome::StaleToken:
        run.state = phase::Ordered;
        // If the token was raised while the start was on its way, nothing of it is left.
        run.uncertain = sentToken == currentToken();
        if (!run.uncertain)
            --run.startAttempts;
        m_pollAt = m_hooks.now();
        break;
    case order_outcome::LeaseExpired:
    case order_outcome::StaleRun:
        run.state = phase::Ordered;
        run.uncertain = true;
        m_pollAt = m_hooks.now();
        break;
    case order_outcome::NoCapacity:
    case order_outcome::Unhealthy:
    case order_outcome::NotListening:
    case order_outcome::Rejected:
        reportNotStarted(
            id, answer.outcome == order_outcome::NoCapacity ? "worker has no capacity" : "refused");
        break;
    case order_outcome::WorkerRestarted:
        break; // the heartbeat of the new incarnation drops the run
    }
    tick();
}

void batch_agent::stopDue()
{
    if (!m_synced)
        return;
    std::vector<item_run> due;
    for (const auto &[id, run] : m_runs) {
        if (run.unwanted && !run.stopSent && run.stopRetryAt <= m_hooks.now()
            && run.state == phase::Running && isCurrent(run))
            due.push_back(id);
    }
    for (const item_run &id : due)
        stop(id);
}

void batch_agent::stop(const item_run &id)
{
    const auto found = m_runs.find(id);
    if (found != m_runs.end())
        found->second.stopSent = true;
    logDecision("stop", nameOf(id), absl::StrCat("token ", currentToken()));
    m_worker->stop({id, currentToken(), m_description->worker, m_hooks.now() + OrderTimeout},
                   [this, id, sentToken = currentToken(),
                    workerIncarnation = m_workerIncarnation](const order_answer &answer) {
                       updateWorkerClock(answer.workerClockMs, answer.outcome, workerIncarnation);
                       if (answer.outcome == order_outcome::Done)
                           return; // the worker will list its end
                       logDecision("stop failed", nameOf(id), "trying again after a pause");
                       const absl::Time retryAt = m_hooks.now() + StopRetryDelay;
                       const auto run = m_runs.find(id);
                       if (run != m_runs.end()) {
                           run->second.stopSent = false;
                           run->second.stopRetryAt = retryAt;
                       }
                       supersedeIfUnanswered(answer.outcome, sentToken, false);
                   });
}

} // namespace hyssoppond::batch
