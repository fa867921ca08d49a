/// @file The agent and its worker: starts, stops, leases and the lists of runs.
#include "hyssoppond/batch/batch_agent_base.h"
#include "hyssoppond/batch/lease_rule_func.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Time for the answer to an order; the worker is on the same machine.
constexpr absl::Duration OrderAnswer = absl::Milliseconds(700);

/// Wait of a look, so that the lease is renewed well before a third of it has passed.
constexpr absl::Duration PollWait = absl::Milliseconds(1500);

/// Pause after a look that got no answer, or while ends wait for the journal.
constexpr absl::Duration PollRetry = absl::Milliseconds(200);

/// Pause after a stop that failed.
constexpr absl::Duration OrderRetry = absl::Milliseconds(200);

/// A lease is renewed after this time even while ends wait for the journal.
constexpr absl::Duration LeaseRenewal = absl::Milliseconds(1500);

/// An answer of the worker shows for so long in which life it is; it takes longer to restart.
constexpr absl::Duration LifeConfirmedFor = absl::Milliseconds(400);

/// A start needs a lease of at least this length, in ms, to be worth sending.
constexpr std::int64_t ShortestLeaseMs = 1'000;

/// Sends of a start before the agent reports that it did not start.
constexpr std::uint32_t MostStartSends = 4;

/// Bits of a fencing token that count the agent's own steps within one session.
constexpr unsigned TokenStepBits = 10;

/// Share of the gang timeout that is left for the order's way to all members.
constexpr double GangStartShare = 0.6;

std::string nameOf(const item_run &id)
{
    return absl::StrCat(id.unit.job.str(), ".", id.unit.occurrence, ".", id.unit.step, ".",
                        id.member, "/", id.run);
}

} // namespace

std::uint64_t batch_agent::token() const
{
    return ((*m_sessionAt + 1) << TokenStepBits) + m_tokenStep;
}

void batch_agent::supersedeOrders()
{
    ++m_tokenStep;
}

void batch_agent::noteClock(const std::optional<std::int64_t> &clockMs)
{
    if (!clockMs)
        return;
    m_clockMs = clockMs;
    m_clockReadAt = m_hooks.now();
}

std::optional<std::int64_t> batch_agent::leaseUntilMs() const
{
    if (!m_clockMs || m_evicted)
        return std::nullopt;
    const absl::Time now = m_hooks.now();
    const std::int64_t lease
        = allowedLeaseMs(m_follower.currentAsOf(), now, m_options.longestLeaseMs);
    if (lease <= 0)
        return std::nullopt;
    const double passed
        = absl::ToDoubleMilliseconds(now - m_clockReadAt) * (1.0 - WorkerClockError);
    return *m_clockMs + static_cast<std::int64_t>(passed) + lease;
}

run_ended batch_agent::endOf(const item_run &id, run_end how, const std::string &checkpoint) const
{
    run_ended ended {id.unit, id.run, id.member, m_options.agent, how, checkpoint, false};
    const auto run = m_runs.find(id);
    if (run != m_runs.end() && run->second.startedAt < m_hooks.now())
        ended.ranMs = absl::ToInt64Milliseconds(m_hooks.now() - run->second.startedAt);
    return ended;
}

void batch_agent::report(std::vector<run_ended> ends, std::uint64_t acknowledge)
{
    std::vector<stored_record> records;
    for (const run_ended &ended : ends) {
        const item_run id {ended.unit, ended.member, ended.run};
        decided("run ended", nameOf(id), std::string(RunEndNames.name(ended.how)));
        const auto found = m_runs.find(id);
        if (found != m_runs.end())
            found->second.state = phase::Reported;
        const batch_record content = ended;
        records.push_back({keyOf(content), encodeRecord(content), 0});
    }
    ++m_reporting;
    m_writer.write(std::move(records), absl::InfiniteFuture(),
                   [this, ends = std::move(ends), acknowledge,
                    life = m_life](write_result what, std::uint64_t /*offset*/) {
                       --m_reporting;
                       if (what != write_result::Written)
                           return; // only another process with this name could fence us
                       for (const run_ended &ended : ends)
                           endLocally({ended.unit, ended.member, ended.run});
                       if (life == m_life)
                           m_acknowledged = std::max(m_acknowledged, acknowledge);
                       m_pollAt = m_hooks.now();
                   });
}

void batch_agent::reportNotStarted(const item_run &id, const char *why)
{
    decided("not started", nameOf(id), why);
    report({endOf(id, run_end::NotStarted, "")}, 0);
}

void batch_agent::startDue()
{
    if (!m_synced || m_evicted)
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
        else if (run.sends >= MostStartSends)
            reportNotStarted(id, "worker refuses it");
        else
            start(id);
    }
}

void batch_agent::start(const item_run &id)
{
    const std::optional<std::int64_t> until = leaseUntilMs();
    const std::int64_t lease
        = allowedLeaseMs(m_follower.currentAsOf(), m_hooks.now(), m_options.longestLeaseMs);
    if (!until || lease < ShortestLeaseMs)
        return;
    local_run &run = m_runs.at(id);
    run.state = phase::Starting;
    run.progressAt = m_hooks.now();
    ++run.sends;
    decided("start", nameOf(id), absl::StrCat("token ", token(), ", lease until ", *until));
    start_order order;
    order.run = id;
    order.payload = run.payload;
    order.checkpoint = run.checkpoint;
    order.leaseUntilMs = *until;
    order.fencingToken = token();
    order.worker = m_description->worker;
    order.deadline = m_hooks.now() + OrderAnswer;
    m_worker->start(std::move(order), [this, id, sent = token()](const order_answer &answer) {
        onStarted(id, sent, answer);
    });
}

void batch_agent::onStarted(const item_run &id, std::uint64_t sent, const order_answer &answer)
{
    noteClock(answer.workerClockMs);
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
        // It may be carried out later. A look with a higher token rules that out, and shows
        // whether it was carried out already.
        decided("start unanswered", nameOf(id), "");
        run.state = phase::Ordered;
        run.uncertain = true;
        m_pollFresh = true;
        m_pollAt = m_hooks.now();
        if (sent == token())
            supersedeOrders();
        break;
    case order_outcome::StaleToken:
    case order_outcome::LeaseExpired:
    case order_outcome::StaleRun:
        run.state = phase::Ordered;
        run.uncertain = true;
        m_pollAt = m_hooks.now();
        break;
    case order_outcome::NoCapacity:
    case order_outcome::Unhealthy:
    case order_outcome::Rejected:
        reportNotStarted(id, answer.outcome == order_outcome::NoCapacity ? "no room" : "refused");
        break;
    case order_outcome::WorkerRestarted:
        break; // the heartbeat of the new life settles it
    }
    tick();
}

void batch_agent::stopDue()
{
    if (!m_synced)
        return;
    std::vector<item_run> due;
    for (const auto &[id, run] : m_runs) {
        if (run.unwanted && !run.stopSent && run.stopAt <= m_hooks.now()
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
    decided("stop", nameOf(id), absl::StrCat("token ", token()));
    m_worker->stop({id, token(), m_description->worker, m_hooks.now() + OrderAnswer},
                   [this, id](const order_answer &answer) {
                       noteClock(answer.workerClockMs);
                       if (answer.outcome == order_outcome::Done)
                           return; // its end will be listed
                       decided("stop failed", nameOf(id), "");
                       const absl::Time again = m_hooks.now() + OrderRetry;
                       const auto run = m_runs.find(id);
                       if (run != m_runs.end()) {
                           run->second.stopSent = false;
                           run->second.stopAt = again;
                       }
                       if (answer.outcome == order_outcome::NoAnswer)
                           supersedeOrders();
                       m_pollAt = std::max(m_pollAt, again);
                   });
}

bool batch_agent::wantsPoll() const
{
    // Runs can be told from strays only when all orders before this session are known.
    if (!m_sessionAt || !m_follower.isLoaded() || m_follower.position() <= *m_sessionAt
        || !m_description)
        return false;
    return !m_synced || !m_runs.empty() || m_reporting != 0 || m_acknowledged > m_acknowledgedSent;
}

void batch_agent::poll()
{
    const absl::Time now = m_hooks.now();
    if (m_reporting != 0 && m_synced && now - m_lastPollAt < LeaseRenewal) {
        // The worker would list the same ends again at once.
        m_pollAt = m_lastPollAt + LeaseRenewal;
        return;
    }
    m_polling = true;
    m_lastPollAt = now;
    const bool uncertain = std::any_of(m_runs.begin(), m_runs.end(),
                                       [](const auto &entry) { return entry.second.uncertain; });
    poll_request request;
    request.leaseUntilMs = leaseUntilMs();
    request.fencingToken = token();
    // The worker may have restarted since it was seen last, and its ends then count anew: ends that
    // were never read must not be acknowledged by the numbers of the life before.
    const bool sameLife = now - m_lifeSeenAt < LifeConfirmedFor;
    request.lastSeenEnd = sameLife ? m_acknowledged : 0;
    const bool mayWait = m_synced && !uncertain && m_reporting == 0 && sameLife
        && m_acknowledged == m_acknowledgedSent;
    request.wait = mayWait ? PollWait : absl::ZeroDuration();
    request.worker = m_description->worker;
    request.deadline = now + request.wait + OrderAnswer;
    request.freshConnection = m_pollFresh;
    const std::uint64_t lastSeen = request.lastSeenEnd;
    m_worker->poll(std::move(request),
                   [this, sent = token(), life = m_life, now, lastSeen](const poll_answer &answer) {
                       m_polling = false;
                       if (answer.outcome == order_outcome::Done && life == m_life)
                           m_acknowledgedSent = std::max(m_acknowledgedSent, lastSeen);
                       onPoll(answer, sent, life, now);
                       tick();
                   });
}

item_run batch_agent::ownRun(const item_run &listed) const
{
    if (m_runs.contains(listed))
        return listed;
    item_run gang = listed;
    gang.unit.index = 0; // the members of a gang share its unit
    return m_runs.contains(gang) || m_ended.contains(gang) || m_voided.contains(gang) ? gang
                                                                                      : listed;
}

void batch_agent::onPoll(const poll_answer &answer, std::uint64_t sent, std::uint64_t life,
                         absl::Time sentAt)
{
    const absl::Time now = m_hooks.now();
    noteClock(answer.workerClockMs);
    m_pollAt = now;
    m_pollFresh = false;
    if (answer.outcome != order_outcome::Done) {
        decided("look failed", "", absl::StrCat("outcome ", static_cast<int>(answer.outcome)));
        if (answer.outcome == order_outcome::StaleToken) {
            // An agent before this one used a higher token, or a late order of ours arrived.
            if (sent == token())
                supersedeOrders();
        }
        m_pollFresh = answer.outcome == order_outcome::NoAnswer;
        m_pollAt = now + PollRetry;
        return;
    }
    if (!m_description || life != m_life)
        return; // asked for an earlier life
    if (answer.workerStartMs && *answer.workerStartMs != m_description->workerStartMs) {
        decided("worker restarted", m_description->worker, "seen in its list of runs");
        m_description->workerStartMs = *answer.workerStartMs;
        beginLife();
        return;
    }
    m_lifeSeenAt = now;
    const bool firstPoll = !m_synced;
    bool strays = false;
    std::set<item_run> listed;
    for (const running_item &one : answer.running) {
        const item_run id = ownRun(one.run);
        listed.insert(id);
        const auto found = m_runs.find(id);
        if (found == m_runs.end()) {
            // Given away, of a job that is over, or ordered for an earlier life.
            stop(id);
            strays = true;
            continue;
        }
        local_run &run = found->second;
        if (run.state == phase::Ordered && firstPoll)
            decided("adopted", nameOf(id), "");
        if (run.state == phase::Ordered || run.state == phase::Starting)
            run.state = phase::Running;
        run.uncertain = false;
        if (one.percent != run.percent) {
            run.percent = one.percent;
            run.progressAt = now;
        }
    }
    std::vector<run_ended> ends;
    std::uint64_t newest = 0;
    for (const ended_item &one : answer.ended) {
        newest = std::max(newest, one.number);
        if (one.number <= m_acknowledged)
            continue;
        const item_run id = ownRun(one.run);
        listed.insert(id);
        const auto found = m_runs.find(id);
        const bool wanted = found != m_runs.end() && found->second.state != phase::Reported;
        // An order for the life before may have been carried out in this one, to its end.
        if (wanted || (one.how == run_end::Done && m_voided.contains(id)))
            ends.push_back(endOf(id, one.how, one.checkpoint));
    }
    if (!ends.empty())
        report(std::move(ends), newest);
    else if (m_reporting == 0)
        m_acknowledged = std::max(m_acknowledged, newest);
    std::vector<item_run> vanished;
    for (auto &[id, run] : m_runs) {
        if (listed.contains(id) || !isCurrent(run))
            continue;
        if (run.state == phase::Running && run.progressAt < sentAt)
            vanished.push_back(id);
        if (run.uncertain && sent == token())
            run.uncertain = false; // not there, and an earlier order can no longer start it
    }
    for (const item_run &id : vanished) {
        decided("run vanished", nameOf(id), "in neither list of the worker");
        report({endOf(id, run_end::Lapsed, "")}, 0);
    }
    if (!m_synced && !strays && sent == token()) {
        m_synced = true;
        m_announceDue = true;
    }
    if (m_reporting != 0 || strays)
        m_pollAt = now + PollRetry;
}

} // namespace hyssoppond::batch
