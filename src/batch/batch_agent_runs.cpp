/// @file The agent and its worker: starts, stops, leases and the lists of runs.
#include "hyssoppond/batch/batch_agent_base.h"
#include "hyssoppond/batch/lease_rule_func.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Time limit for the answer to an order; the worker is on the same machine.
constexpr absl::Duration OrderTimeout = absl::Milliseconds(700);

/// Longest wait of a poll, so that the lease is renewed well before a third of it has passed.
constexpr absl::Duration PollWait = absl::Milliseconds(1500);

/// Pause after a poll that failed, or while ends are written to the journal or unknown runs are
/// stopped.
constexpr absl::Duration PollRetryDelay = absl::Milliseconds(200);

/// Pause after a stop that failed.
constexpr absl::Duration StopRetryDelay = absl::Milliseconds(200);

/// The lease is renewed after this time even while ends are written to the journal.
constexpr absl::Duration LeaseRenewalInterval = absl::Milliseconds(1500);

/// An answer of the worker identifies its incarnation for this long; a restart takes longer.
constexpr absl::Duration IncarnationConfirmedFor = absl::Milliseconds(400);

/// A start is sent only with a lease of at least this length.
constexpr std::int64_t ShortestLeaseMs = 1'000;

/// Longest lease of a start, and of polls until one sent after it was answered. A start may be
/// carried out late with its lease counting from then, also after its agent was lost. The lease
/// then has to end before the run is given away. Polls extend it.
constexpr std::int64_t StartLeaseMs = 2'700;

/// Unanswered orders with shorter pauses between them are one series.
constexpr absl::Duration UnansweredSeriesPause = absl::Seconds(15);

/// Attempts to start an item before the agent reports that it did not start.
constexpr std::uint32_t MaxStartAttempts = 4;

/// Low bits of a fencing token, which count the raises of the token since the record that gave the
/// high bits.
constexpr unsigned TokenStepBits = 10;
constexpr std::uint64_t LastTokenStep = (1U << TokenStepBits) - 1;

/// After this many raises the process records its session again, which gives new high bits.
constexpr std::uint64_t TokenStepsPerSession = LastTokenStep / 2;

/// Share of the gang timeout within which the order has to reach all members.
constexpr double GangStartShare = 0.6;

std::string nameOf(const item_run &id)
{
    return absl::StrCat(id.unit.job.str(), ".", id.unit.occurrence, ".", id.unit.step, ".",
                        id.member, "/", id.run);
}

} // namespace

std::uint64_t batch_agent::currentToken() const
{
    return ((*m_sessionOffset + 1) << TokenStepBits) + m_tokenStep;
}

void batch_agent::supersedeOrders()
{
    m_tokenStep = std::min(m_tokenStep + 1, LastTokenStep);
    if (m_tokenStep >= TokenStepsPerSession)
        recordSession();
}

void batch_agent::supersedeIfUnanswered(order_outcome outcome, std::uint64_t sentToken,
                                        bool extendsLease)
{
    if (outcome != order_outcome::NoAnswer)
        return;
    if (m_hooks.now() >= m_unansweredSeriesUntil) {
        m_unansweredSince = m_hooks.now();
        m_heartbeatAt = m_hooks.now();
    }
    m_unansweredSeriesUntil = m_hooks.now() + UnansweredSeriesPause;
    if (extendsLease)
        m_lateOrderUntil = m_hooks.now() + LongestOrderDelay;
    if (sentToken != currentToken())
        return;
    supersedeOrders();
}

void batch_agent::updateWorkerClock(const std::optional<std::int64_t> &clockMs)
{
    if (!clockMs)
        return;
    m_workerClockMs = clockMs;
    m_workerClockReadAt = m_hooks.now();
    m_silentAt = absl::InfiniteFuture();
}

std::optional<std::int64_t> batch_agent::leaseUntilMs(std::int64_t longestMs) const
{
    // An order that extends the lease needs a next token to supersede it.
    if (!m_workerClockMs || m_evicted || m_leaving || isSilent() || m_tokenStep == LastTokenStep)
        return std::nullopt;
    // An agent that is out of the decider's sight and does not know what its orders did may soon be
    // evicted, and a late order could then outlast the wait for its leases.
    if (m_hooks.now() < m_unansweredSeriesUntil && m_heartbeatStoredAt < m_unansweredSince)
        return std::nullopt;
    const absl::Time now = m_hooks.now();
    const std::int64_t lease = allowedLeaseMs(m_follower.currentAsOf(), now, longestMs);
    if (lease <= 0)
        return std::nullopt;
    const double passed
        = absl::ToDoubleMilliseconds(now - m_workerClockReadAt) * (1.0 - WorkerClockError);
    return *m_workerClockMs + static_cast<std::int64_t>(passed) + lease;
}

void batch_agent::noteGrant(std::int64_t leaseEndMs)
{
    m_grantedUntilMs = std::max(m_grantedUntilMs, leaseEndMs);
    const double leftMs = static_cast<double>(leaseEndMs - m_workerClockMs.value_or(leaseEndMs));
    m_leaseOverAt = std::max(
        m_leaseOverAt,
        m_workerClockReadAt + absl::Milliseconds(leftMs) / (1.0 - WorkerClockError) + LeaseSlack);
}

absl::Time batch_agent::lateLeaseOverAt() const
{
    const absl::Duration longestLease = absl::Milliseconds(m_options.longestLeaseMs);
    return m_lateOrderUntil + longestLease / (1.0 - WorkerClockError) + LeaseSlack;
}

void batch_agent::updateLeaseProof()
{
    if (!m_evicted)
        m_leaseProofAsOf = std::max(m_leaseProofAsOf, m_follower.currentAsOf());
}

std::string batch_agent::describeLease() const
{
    return absl::StrCat("lease until ", m_grantedUntilMs, " on its clock, which showed ",
                        m_workerClockMs.value_or(0), " ",
                        absl::FormatDuration(m_hooks.now() - m_workerClockReadAt),
                        " ago; journal read ",
                        absl::FormatDuration(m_hooks.now() - m_follower.currentAsOf()), " ago",
                        m_lateOrderUntil < m_hooks.now()
                            ? ""
                            : absl::StrCat("; an order without an answer may still extend it for ",
                                           absl::FormatDuration(m_lateOrderUntil - m_hooks.now())));
}

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

void batch_agent::startDue()
{
    // Orders before the announcement may be void; only the records up to it tell.
    if (!m_synced || m_evicted || m_follower.position() <= m_announcedOffset)
        return;
    std::vector<item_run> due;
    for (const auto &[id, run] : m_runs) {
        if (run.state == phase::Ordered && !run.uncertain && isCurrent(run))
            due.push_back(id);
    }
    for (const item_run &id : due) {
        const local_run &run = m_runs.at(id);
        const bool late
            = run.stale || m_hooks.now() - run.receivedAt > m_options.gangTimeout * GangStartShare;
        if (run.unwanted)
            reportNotStarted(id, "no longer wanted");
        else if (m_description->draining)
            reportNotStarted(id, "worker is draining");
        else if (run.gang && late)
            reportNotStarted(id, "too late for its gang");
        else if (run.startAttempts >= MaxStartAttempts)
            reportNotStarted(id, "all start attempts failed");
        else
            start(id);
    }
}

void batch_agent::start(const item_run &id)
{
    const std::int64_t longestMs = std::min(StartLeaseMs, m_options.longestLeaseMs);
    const std::optional<std::int64_t> until = leaseUntilMs(longestMs);
    const std::int64_t lease = allowedLeaseMs(m_follower.currentAsOf(), m_hooks.now(), longestMs);
    if (!until || lease < ShortestLeaseMs)
        return;
    local_run &run = m_runs.at(id);
    run.state = phase::Starting;
    run.progressAt = m_hooks.now();
    ++run.startAttempts;
    m_shortLease = true;
    ++m_startsSent;
    noteGrant(*until);
    logDecision("start", nameOf(id), absl::StrCat("token ", currentToken(), ", ", describeLease()));
    start_order order;
    order.run = id;
    order.payload = run.payload;
    order.checkpoint = run.checkpoint;
    order.leaseUntilMs = *until;
    order.fencingToken = currentToken();
    order.worker = m_description->worker;
    order.deadline = m_hooks.now() + OrderTimeout;
    m_worker->start(std::move(order),
                    [this, id, sentToken = currentToken()](const order_answer &answer) {
                        onStarted(id, sentToken, answer);
                    });
}

void batch_agent::onStarted(const item_run &id, std::uint64_t sentToken, const order_answer &answer)
{
    updateWorkerClock(answer.workerClockMs);
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
                   [this, id, sentToken = currentToken()](const order_answer &answer) {
                       updateWorkerClock(answer.workerClockMs);
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
                       m_pollAt = std::max(m_pollAt, retryAt);
                   });
}

bool batch_agent::wantsPoll() const
{
    // Runs without an order can be recognized only when all orders before this session are known.
    if (!m_sessionConfirmed || !m_follower.isLoaded() || !m_description)
        return false;
    return !m_synced || m_candidate || !m_runs.empty() || m_reportsInFlight != 0
        || m_handledEnd > m_acknowledgedEnd;
}

void batch_agent::probe()
{
    m_polling = true;
    m_probedLast = true;
    poll_request request;
    request.fencingToken = currentToken();
    request.worker = m_candidate->worker;
    request.deadline = m_hooks.now() + OrderTimeout;
    request.freshConnection = true;
    m_worker->poll(std::move(request), [this, candidate = *m_candidate](const poll_answer &answer) {
        m_polling = false;
        onProbe(candidate, answer);
        tick();
    });
}

void batch_agent::onProbe(const worker_description &candidate, const poll_answer &answer)
{
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
    if (answer.outcome == order_outcome::WorkerRestarted || isPresent) {
        logDecision("report refuted", candidate.worker,
                    absl::StrCat("worker incarnation ", candidate.workerStartMs));
        m_candidate.reset();
        return;
    }
    m_description = candidate;
    m_description->workerStartMs = startMs;
    m_candidate.reset();
    logDecision("worker found", candidate.worker, candidate.draining ? "draining" : "ready");
    beginWorkerIncarnation();
}

void batch_agent::poll()
{
    // Polls alternate with unanswered probes, so that the lease is still extended.
    if (m_candidate && !m_probedLast) {
        probe();
        return;
    }
    m_probedLast = false;
    const absl::Time now = m_hooks.now();
    if (m_reportsInFlight != 0 && m_synced && now - m_lastPollAt < LeaseRenewalInterval) {
        // The worker would answer at once and list the same ends again.
        m_pollAt = m_lastPollAt + LeaseRenewalInterval;
        return;
    }
    m_polling = true;
    m_lastPollAt = now;
    m_silentAt = std::min(m_silentAt, now + absl::Milliseconds(m_options.longestLeaseMs));
    const bool uncertain = std::any_of(m_runs.begin(), m_runs.end(),
                                       [](const auto &entry) { return entry.second.uncertain; });
    updateLeaseProof();
    poll_request request;
    request.leaseUntilMs = leaseUntilMs(m_shortLease ? StartLeaseMs : m_options.longestLeaseMs);
    if (request.leaseUntilMs)
        noteGrant(*request.leaseUntilMs);
    request.fencingToken = currentToken();
    // The worker may have restarted since its last answer, and then numbers its ends anew. Ends
    // that were never read must not be acknowledged by the numbers of the previous incarnation.
    const bool incarnationConfirmed = now - m_incarnationConfirmedAt < IncarnationConfirmedFor;
    request.acknowledgedEnd = incarnationConfirmed ? m_handledEnd : 0;
    const bool mayWait = !m_shortLease && m_synced && !uncertain && m_reportsInFlight == 0
        && incarnationConfirmed && m_handledEnd == m_acknowledgedEnd;
    request.wait = mayWait ? PollWait : absl::ZeroDuration();
    request.worker = m_description->worker;
    request.deadline = now + request.wait + OrderTimeout;
    request.freshConnection = m_pollOnFreshConnection;
    const std::uint64_t lastSeen = request.acknowledgedEnd;
    const bool extendsLease = request.leaseUntilMs.has_value();
    m_worker->poll(std::move(request),
                   [this, sentToken = currentToken(), workerIncarnation = m_workerIncarnation, now,
                    lastSeen, extendsLease, startsSent = m_startsSent](const poll_answer &answer) {
                       m_polling = false;
                       if (answer.outcome == order_outcome::Done && startsSent == m_startsSent)
                           m_shortLease = false;
                       // Carried out late, it would extend the lease past the time for which the
                       // journal was read.
                       if (extendsLease)
                           supersedeIfUnanswered(answer.outcome, sentToken, true);
                       if (answer.outcome == order_outcome::Done
                           && workerIncarnation == m_workerIncarnation)
                           m_acknowledgedEnd = std::max(m_acknowledgedEnd, lastSeen);
                       onPoll(answer, sentToken, workerIncarnation, now);
                       tick();
                   });
}

item_run batch_agent::resolveListedRun(const item_run &listed) const
{
    if (m_runs.contains(listed))
        return listed;
    item_run gang = listed;
    gang.unit.index = 0; // the journal names all members of a gang by one unit
    return m_runs.contains(gang) || m_endedRuns.contains(gang) || m_voidedRuns.contains(gang)
        ? gang
        : listed;
}

void batch_agent::onPoll(const poll_answer &answer, std::uint64_t sentToken,
                         std::uint64_t workerIncarnation, absl::Time sentAt)
{
    const absl::Time now = m_hooks.now();
    updateWorkerClock(answer.workerClockMs);
    if (m_superseded)
        return;
    m_pollAt = now;
    m_pollOnFreshConnection = false;
    m_refusedPolls = answer.outcome == order_outcome::NotListening ? m_refusedPolls + 1 : 0;
    if (answer.outcome != order_outcome::Done) {
        logDecision("look failed", "",
                    absl::StrCat("poll failed, outcome ", static_cast<int>(answer.outcome),
                                 ", token ", sentToken, ", ", m_runs.size(), " runs, ",
                                 describeLease()));
        if (answer.outcome == order_outcome::StaleToken) {
            // An earlier process of this agent used a higher token, or an order of this process
            // arrived late.
            if (sentToken == currentToken())
                supersedeOrders();
        }
        m_pollOnFreshConnection = answer.outcome == order_outcome::NoAnswer;
        m_pollAt = now + PollRetryDelay;
        return;
    }
    if (!m_description || workerIncarnation != m_workerIncarnation)
        return; // the poll was for an earlier incarnation
    if (answer.workerStartMs && *answer.workerStartMs != m_description->workerStartMs) {
        logDecision("worker restarted", m_description->worker, "seen in its answer to a poll");
        m_description->workerStartMs = *answer.workerStartMs;
        beginWorkerIncarnation();
        return;
    }
    m_incarnationConfirmedAt = now;
    if (sentToken == currentToken())
        m_lateOrderUntil = absl::InfinitePast();
    // Only a late order can have kept these runs alive; the decider may soon give them away.
    updateLeaseProof();
    const bool leasesOver = now > leasesOverAt(m_leaseProofAsOf);
    bool hasStrayRuns = false;
    const bool firstPoll = !m_synced;
    if (firstPoll)
        dropOrdersOfOtherIncarnations();
    // An entry that cannot be read may be any run.
    bool hasUnknownRuns = !answer.complete;
    std::set<item_run> listed;
    for (const running_item &runningItem : answer.running) {
        const item_run id = resolveListedRun(runningItem.run);
        listed.insert(id);
        const auto found = m_runs.find(id);
        if (found == m_runs.end()) {
            // The run was declared lost, its job has ended, or it was ordered for an earlier
            // incarnation of the worker.
            stop(id);
            hasUnknownRuns = true;
            continue;
        }
        local_run &run = found->second;
        if (run.state == phase::Ordered && firstPoll)
            logDecision("adopted", nameOf(id), "");
        if (run.state == phase::Ordered || run.state == phase::Starting)
            run.state = phase::Running;
        run.uncertain = false;
        if (leasesOver && run.state == phase::Running && !run.unwanted) {
            logDecision("run unleased", nameOf(id), describeLease());
            run.unwanted = true;
            hasStrayRuns = true;
        }
        if (runningItem.percent != run.percent) {
            run.percent = runningItem.percent;
            run.progressAt = now;
        }
    }
    if (hasStrayRuns)
        supersedeOrders(); // the stops make all late orders void
    std::vector<run_ended> ends;
    std::uint64_t newest = 0;
    for (const ended_item &endedItem : answer.ended) {
        newest = std::max(newest, endedItem.number);
        if (endedItem.number <= m_handledEnd)
            continue;
        const item_run id = resolveListedRun(endedItem.run);
        listed.insert(id);
        const auto found = m_runs.find(id);
        const bool wanted = found != m_runs.end() && found->second.state != phase::Reported;
        // An order for an earlier incarnation may have been carried out to its end by this one.
        if (wanted || (endedItem.how == run_end::Done && m_voidedRuns.contains(id)))
            ends.push_back(endOf(id, endedItem.how, endedItem.checkpoint));
    }
    if (!answer.complete)
        newest = 0; // an end that was not read must not be acknowledged
    if (!ends.empty())
        report(std::move(ends), newest);
    else if (m_reportsInFlight == 0)
        m_handledEnd = std::max(m_handledEnd, newest);
    std::vector<item_run> vanished;
    for (auto &[id, run] : m_runs) {
        if (listed.contains(id) || !isCurrent(run) || !answer.complete)
            continue;
        if (run.state == phase::Running && run.progressAt < sentAt)
            vanished.push_back(id);
        if (run.uncertain && sentToken == currentToken())
            run.uncertain = false; // it does not run, and no earlier order can start it
    }
    for (const item_run &id : vanished) {
        logDecision("run vanished", nameOf(id), "in neither list of the worker");
        report({endOf(id, run_end::Lapsed, "")}, 0);
    }
    if (!m_synced && !hasUnknownRuns && sentToken == currentToken()) {
        m_synced = true;
        m_announceDue = true;
    }
    if (m_reportsInFlight != 0 || hasUnknownRuns)
        m_pollAt = now + PollRetryDelay;
}

} // namespace hyssoppond::batch
