/// @file The agent and its worker: the lists of runs.
#include "hyssoppond/batch/batch_agent_base.h"
#include "hyssoppond/batch/lease_rule_func.h"

#include "batch_agent_orders_func.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Longest wait of a poll, so that the lease is renewed well before a third of it has passed.
constexpr absl::Duration PollWait = absl::Milliseconds(1500);

/// The lease is renewed after this time even while ends are written to the journal.
constexpr absl::Duration LeaseRenewalInterval = absl::Milliseconds(1500);

/// An answer of the worker identifies its incarnation for this long; a restart takes longer.
constexpr absl::Duration IncarnationConfirmedFor = absl::Milliseconds(400);

} // namespace

bool batch_agent::wantsPoll() const
{
    // Runs without an order can be recognized only when all orders before this session are known.
    if (!m_sessionConfirmed || !m_follower.isLoaded() || !m_description)
        return false;
    // While a start waits for the incarnation and nothing runs, there is no lease to extend. One
    // that is on its way without an answer would hold up the start.
    const auto isOpen = [this](const auto &entry) {
        return !m_confirmDue || entry.second.uncertain || entry.second.state != phase::Ordered;
    };
    return !m_synced || m_candidate || m_reportsInFlight != 0 || m_handledEnd > m_acknowledgedEnd
        || std::any_of(m_runs.begin(), m_runs.end(), isOpen);
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
    m_lastPollAt = now;
    m_silentAt = std::min(m_silentAt, now + absl::Milliseconds(m_options.longestLeaseMs));
    const bool uncertain = std::any_of(m_runs.begin(), m_runs.end(),
                                       [](const auto &entry) { return entry.second.uncertain; });
    updateLeaseProof();
    poll_request request;
    request.fencingToken = currentToken();
    // The worker may have restarted since its last answer, and then numbers its ends anew. Ends
    // that were never read must not be acknowledged by the numbers of the previous incarnation.
    const bool incarnationConfirmed = now - m_incarnationConfirmedAt < IncarnationConfirmedFor;
    request.acknowledgedEnd = incarnationConfirmed ? m_handledEnd : 0;
    const bool mayWait = !m_renewalDue && m_synced && !uncertain && m_reportsInFlight == 0
        && incarnationConfirmed && m_handledEnd == m_acknowledgedEnd;
    request.wait = mayWait ? PollWait : absl::ZeroDuration();
    // A poll that waits extends no lease: while an order with a long lease is without an answer,
    // nothing can be started.
    const std::int64_t leaseMs = mayWait ? 0 : longestLeaseMs(granted_leases::effect::None);
    std::optional<std::uint64_t> grant;
    if (leaseMs > 0) {
        request.leaseUntilMs = workerClockMs() + leaseMs;
        noteGrant(*request.leaseUntilMs);
        grant = m_grants.noteSent(currentToken(), now, leaseMs, granted_leases::effect::None);
    }
    const bool isRenewal = !mayWait && !m_grants.hasUnansweredStart();
    if (mayWait)
        m_renewalDue = true;
    request.worker = m_description->worker;
    request.deadline = now + request.wait + OrderTimeout;
    request.freshConnection = m_pollOnFreshConnection;
    const std::uint64_t lastSeen = request.acknowledgedEnd;
    m_polling = true;
    sendPoll(
        std::move(request),
        [this, sentToken = currentToken(), workerIncarnation = m_workerIncarnation, now, lastSeen,
         grant, isRenewal, startsSent = m_startsSent](const poll_answer &answer) {
            m_polling = false;
            if (grant && answer.outcome != order_outcome::NoAnswer)
                m_grants.noteAnswered(*grant);
            if (answer.outcome == order_outcome::Done && workerIncarnation == m_workerIncarnation)
                m_renewalDue = m_renewalDue && !(isRenewal && startsSent == m_startsSent);
            // Carried out late, it would extend the lease past the time for which the
            // journal was read.
            if (grant)
                supersedeIfUnanswered(answer.outcome, sentToken, true);
            if (answer.outcome == order_outcome::Done && workerIncarnation == m_workerIncarnation)
                m_acknowledgedEnd = std::max(m_acknowledgedEnd, lastSeen);
            onPoll(answer, sentToken, workerIncarnation, now);
        });
}

void batch_agent::sendPoll(poll_request request, std::function<void(const poll_answer &)> done)
{
    m_worker->poll(std::move(request), [this, done = std::move(done)](const poll_answer &answer) {
        // It may come from an earlier incarnation or from one that is not known yet.
        const bool isUnidentified = answer.outcome == order_outcome::Done && !answer.workerStartMs;
        if (isUnidentified)
            logDecision("lists ignored", "", "they do not name the worker incarnation");
        done(isUnidentified ? poll_answer {} : answer);
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

bool batch_agent::checkIncarnation(const poll_answer &answer, std::uint64_t sentToken,
                                   absl::Time sentAt)
{
    if (*answer.workerStartMs != m_description->workerStartMs) {
        onRestartSeen(*answer.workerStartMs);
        return false;
    }
    m_incarnationKnownAsOf = std::max(m_incarnationKnownAsOf, sentAt);
    const absl::Time now = m_hooks.now();
    m_grants.noteAccepted(sentToken, now);
    if (sentToken == currentToken() && m_lateOrderUntil > now) {
        // Until now a late order may have extended the lease.
        m_leaseOverAt = std::max(m_leaseOverAt,
                                 now + longestLeaseDuration(m_options.longestLeaseMs) + LeaseSlack);
        m_lateOrderUntil = absl::InfinitePast();
    }
    return true;
}

void batch_agent::onPoll(const poll_answer &answer, std::uint64_t sentToken,
                         std::uint64_t workerIncarnation, absl::Time sentAt)
{
    const absl::Time now = m_hooks.now();
    if (m_lastPollSentAt && sentAt >= *m_lastPollSentAt)
        m_lastPollSentAt.reset();
    updateWorkerClock(answer.workerClockMs, answer.outcome, workerIncarnation);
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
    if (!checkIncarnation(answer, sentToken, sentAt))
        return;
    m_incarnationConfirmedAt = now;
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
        if (runningItem.percent > 0)
            ++run.progressLooks;
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
        if (listed.contains(id) || !isCurrent(run) || !answer.complete || answer.moreEnds)
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
    if (m_reportsInFlight != 0 || hasUnknownRuns || m_grants.hasUnansweredStart())
        m_pollAt = now + PollRetryDelay;
}

} // namespace hyssoppond::batch
