/// @file Requests of callers and operators to the cluster controller.
#include "hyssoppond/entry/cluster_controller_base.h"

#include "hyssoppond/config/config_value_func.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace hyssoppond {

namespace {

/// Delay after which a caller may retry a request that was refused for a transient cause.
constexpr absl::Duration RefusalRetryDelay = absl::Seconds(1);
/// Longest time that a read of the journal is assumed to take. A read that ends later than this
/// after a query therefore began after the query.
constexpr absl::Duration MaxReadDuration = absl::Milliseconds(500);
constexpr std::size_t MaxCommandBytes = 64 * 1024;
constexpr std::size_t MaxIdBytes = 128;

tl::unexpected<error> unknownJob(const job_id &job)
{
    return fail(reason::UnknownJob,
                absl::StrFormat("job %s is not known; ended jobs are removed after some hours; "
                                "list the jobs to see those that are kept",
                                job.str()));
}

} // namespace

cluster_controller::cluster_controller(cluster_settings settings, environment env, log_port *log,
                                       cluster_hooks hooks)
    : m_settings(std::move(settings))
    , m_env(std::move(env))
    , m_hooks(std::move(hooks))
    , m_state(journal::cluster_options {.maxClockSkew = m_settings.maxClockSkew})
    , m_scheduler(std::make_unique<scheduler>())
    , m_coordinator(m_settings.self, m_settings.gang, m_env, coordinatorHooks())
    , m_startedAt(m_env.now())
    , m_nextDecideAt(m_startedAt)
    , m_nextGrantAt(m_startedAt)
{
    journal::journal_hooks journalHooks;
    journalHooks.onRecord
        = [this](journal_offset offset, const journal::journal_record &record,
                 const journal::verdict &decision) { onRecord(offset, record, decision); };
    journalHooks.onRestored = [this] { onRestored(); };
    journalHooks.maySnapshot = [this] { return m_leading; };
    journalHooks.count = m_hooks.count;
    journalHooks.post = m_hooks.post;
    m_journal = std::make_unique<journal::journal_client>(m_env, log, m_settings.self,
                                                          m_settings.incarnation, &m_state,
                                                          journalHooks, m_settings.journal);
}

cluster_controller::~cluster_controller() = default;

result<void> cluster_controller::checkSpec(const job_spec &spec) const
{
    if (spec.request.isEmpty() || spec.request.str().size() > MaxIdBytes)
        return fail(reason::InvalidArgument,
                    absl::StrFormat("the request id must have 1 to %d bytes", MaxIdBytes));
    if (spec.caller.str().size() > MaxIdBytes)
        return fail(reason::InvalidArgument,
                    absl::StrFormat("the caller must have at most %d bytes", MaxIdBytes));
    if (spec.command.size() > MaxCommandBytes)
        return fail(reason::BodyTooLarge,
                    absl::StrFormat("the command must have at most %d bytes", MaxCommandBytes));
    return m_scheduler->submit(spec, command_mode::Test);
}

void cluster_controller::submit(job_spec spec, bool isRetry, absl::Time deadline, job_reply reply)
{
    const job_id id = spec.id;
    const bool isKnown = m_scheduler->find(id) != nullptr;
    if (isRetry && !isKnown) {
        // Another entry may still accept the earlier submission, so the outcome of the request
        // stays unknown.
        reply = [inner = std::move(reply)](result<job_view> answer) {
            if (!answer && answer.error().why != reason::RequestIdReused)
                answer.error().state = execution::Unknown;
            inner(std::move(answer));
        };
    }
    const auto refuse = [&](error problem) { reply(tl::unexpected<error>(std::move(problem))); };
    if (m_leaving)
        return refuse({reason::Leaving,
                       "this entry is shutting down; send the request to another entry",
                       execution::NotRun, m_env.now()});
    if (!m_journal->progress().caughtUp && !logIsDown())
        return refuse(
            {reason::LogUnavailable,
             "this entry is still reading the journal; retry, or send the request to another entry",
             execution::NotRun, m_env.now() + RefusalRetryDelay});
    const auto checked = checkSpec(spec);
    if (!checked)
        return refuse(checked.error());
    const auto outage = m_outageJobs.find(id);
    if (outage != m_outageJobs.end() && !outage->second.started)
        return outage->second.replies.push_back(std::move(reply)); // the job may still be refused
    if (isKnown)
        return reply(view(id));
    if (logIsDown())
        return submitInOutage(spec, std::move(reply));
    const std::uint64_t number = ++m_lastUnsettledNumber;
    if (m_leading && spec.level == urgency::Urgent && !spec.held)
        m_unsettled.emplace(number, unsettled_submission {spec, reply});
    const bool isUnsettled = m_unsettled.contains(number);
    m_journal->append(
        journal::job_submitted {std::move(spec)}, deadline,
        [this, id, number, isUnsettled, reply = std::move(reply)](const auto &outcome) {
            if (isUnsettled && m_unsettled.erase(number) == 0)
                return; // resubmitUnsettled() answers under the outage lease
            if (!outcome)
                return reply(tl::unexpected<error>(outcome.error()));
            if (!outcome->decision.accepted)
                return reply(fail(outcome->decision.why,
                                  "the request id was used before for another job; "
                                  "choose a new one"));
            reply(view(id));
        });
}

void cluster_controller::command(const job_id &job, journal::command_kind kind,
                                 const request_id &request, absl::Time deadline, job_reply reply)
{
    if (!view(job)) {
        return lookUp(job, [=, this](const result<job_view> &found) {
            if (!found)
                return reply(found);
            command(job, kind, request, deadline, reply);
        });
    }
    if (m_outageJobs.contains(job) && m_state.findJob(job) == nullptr)
        return reply(fail(reason::LogUnavailable,
                          "the job was accepted while the log was down and is not recorded yet; "
                          "retry when the log is available",
                          execution::NotRun, m_env.now() + RefusalRetryDelay));
    m_journal->append(
        journal::job_command {job, kind, request, ""}, deadline,
        [this, job, kind, reply = std::move(reply)](const auto &outcome) {
            if (!outcome)
                return reply(tl::unexpected<error>(outcome.error()));
            if (!outcome->decision.accepted) {
                const auto *entry = m_state.findJob(job);
                return reply(
                    fail(outcome->decision.why,
                         absl::StrFormat("cannot %s job %s in state %s; see its status",
                                         journal::CommandKindNames.name(kind), job.str(),
                                         entry == nullptr ? "unknown"
                                                          : JobStateNames.name(entry->state))));
            }
            reply(view(job));
        });
}

result<job_view> cluster_controller::view(const job_id &job) const
{
    const journal::job_entry *entry = m_state.findJob(job);
    if (entry == nullptr) {
        const auto outage = m_outageJobs.find(job);
        if (outage == m_outageJobs.end())
            return unknownJob(job);
        job_view shown;
        shown.entry.spec = outage->second.spec;
        shown.entry.state = outage->second.started ? job_state::Running : job_state::Placed;
        shown.entry.members = outage->second.members;
        return shown;
    }
    job_view shown {*entry, ""};
    if (entry->state == job_state::Queued) {
        const auto explained = m_scheduler->explain(job);
        shown.waitingFor = explained ? explained->text : explained.error().message;
    }
    return shown;
}

void cluster_controller::lookUp(const job_id &job, job_reply reply)
{
    const auto currentView = view(job);
    if (currentView || logIsDown())
        return reply(currentView);
    m_lookUps.push_back({job, m_env.now(), std::move(reply)});
}

void cluster_controller::answerLookUps()
{
    const auto isSettled = [this](const look_up &query) {
        return view(query.job) || logIsDown()
            || m_journal->progress().lastReadAt > query.askedAt + MaxReadDuration;
    };
    std::vector<look_up> settled;
    for (auto it = m_lookUps.begin(); it != m_lookUps.end();) {
        if (!isSettled(*it)) {
            ++it;
            continue;
        }
        settled.push_back(std::move(*it));
        it = m_lookUps.erase(it);
    }
    for (const look_up &query : settled)
        query.reply(view(query.job));
}

std::vector<job_view> cluster_controller::list(const team_id &team, bool includeEnded,
                                               std::size_t limit) const
{
    std::vector<job_view> found;
    for (const auto &[id, entry] : m_state.jobs()) {
        if (found.size() >= limit)
            break;
        if ((team.isEmpty() || entry.spec.team == team) && (includeEnded || !entry.isEnded()))
            found.push_back(*view(id));
    }
    return found;
}

void cluster_controller::wait(const job_id &job, absl::Time deadline, job_reply reply)
{
    const auto currentView = view(job);
    if (!currentView) {
        return lookUp(job, [=, this](const result<job_view> &found) {
            if (!found)
                return reply(found);
            wait(job, deadline, reply);
        });
    }
    if (currentView->entry.isEnded())
        return reply(currentView);
    m_waiterDeadlines.insert({deadline, job});
    m_waiters.emplace(job, waiter {job, deadline, std::move(reply)});
}

void cluster_controller::replyWaiters(const job_id &job)
{
    const auto [first, last] = m_waiters.equal_range(job);
    std::vector<waiter> due;
    for (auto it = first; it != last; ++it)
        due.push_back(std::move(it->second));
    m_waiters.erase(first, last);
    for (const waiter &dueWaiter : due) {
        m_waiterDeadlines.erase({dueWaiter.deadline, job});
        dueWaiter.reply(view(job));
    }
}

void cluster_controller::publish(journal::config_changed change, bool anyVersion,
                                 absl::Time deadline,
                                 std::function<void(result<journal_offset>)> reply)
{
    const auto value = parseConfig(change.key, change.value);
    if (!value)
        return reply(tl::unexpected<error>(value.error()));
    // The tests below would refuse the removal of a key that this request has removed before.
    if (const auto *earlier = m_state.findApplied(change))
        return reply(earlier->version);
    result<void> allowed;
    if (const auto *contractValue = std::get_if<contract>(&*value))
        allowed = change.value.empty()
            ? m_scheduler->removeContract(contractValue->id, command_mode::Test)
            : m_scheduler->canGuarantee(*contractValue);
    else if (const auto *teamValue = std::get_if<team>(&*value))
        allowed = change.value.empty() ? m_scheduler->removeTeam(teamValue->id, command_mode::Test)
                                       : m_scheduler->setTeam(*teamValue, command_mode::Test);
    if (!allowed)
        return reply(tl::unexpected<error>(allowed.error()));
    if (anyVersion) {
        const auto *current = m_state.findConfig(change.key);
        change.expectedVersion = current == nullptr ? 0 : current->version;
    }
    m_journal->append(std::move(change), deadline, [reply = std::move(reply)](const auto &outcome) {
        if (!outcome)
            return reply(tl::unexpected<error>(outcome.error()));
        const journal::verdict &decision = outcome->decision;
        if (decision.accepted)
            return reply(decision.repeated ? decision.related : outcome->offset);
        error problem {decision.why,
                       absl::StrFormat("another change of this key came first; version %d is "
                                       "in force, show it and publish again",
                                       decision.related)};
        problem.winningVersion = decision.related;
        reply(tl::unexpected<error>(std::move(problem)));
    });
}

void cluster_controller::bindRequest(const team_id &team, const request_id &request,
                                     const process_id &agent, incarnation_number incarnation,
                                     absl::Time until, absl::Time deadline,
                                     std::function<void(result<journal::binding_entry>)> reply)
{
    if (const auto *bound = m_state.findBinding(team, request))
        return reply(*bound);
    m_journal->append(journal::request_bound {request, team, agent, incarnation, until}, deadline,
                      [this, team, request, reply = std::move(reply)](const auto &outcome) {
                          if (!outcome)
                              return reply(tl::unexpected<error>(outcome.error()));
                          const auto *bound = m_state.findBinding(team, request);
                          if (bound == nullptr)
                              return reply(fail(reason::Expired,
                                                "the binding of this request id expired with the "
                                                "deadline of the call; use a longer timeout"));
                          reply(*bound);
                      });
}

bool cluster_controller::isDecider() const
{
    return m_leading;
}

std::vector<guarantee_risk> cluster_controller::guaranteesAtRisk() const
{
    return m_scheduler->guaranteesAtRisk();
}

worker_condition cluster_controller::conditionOf(const worker_id &worker) const
{
    return m_scheduler->conditionOf(worker);
}

std::uint32_t cluster_controller::acceleratorsInUse(const worker_id &worker) const
{
    return static_cast<std::uint32_t>(std::popcount(m_state.allocated(worker)));
}

void cluster_controller::leave()
{
    m_leaving = true;
    const auto *domainEntry = domain();
    if (domainEntry != nullptr && domainEntry->holder == m_settings.self
        && domainEntry->incarnation == m_settings.incarnation)
        record(
            journal::decider_release {m_settings.domain, m_settings.self, m_settings.incarnation});
    stopLeading();
}

void cluster_controller::tick()
{
    m_journal->tick();
    m_coordinator.tick();
    answerLookUps();
    const absl::Time now = m_env.now();
    while (!m_waiterDeadlines.empty() && m_waiterDeadlines.begin()->first <= now) {
        const job_id job = m_waiterDeadlines.begin()->second;
        m_waiterDeadlines.erase(m_waiterDeadlines.begin());
        replyWaiters(job);
    }
    if (now < m_nextDecideAt)
        return;
    m_nextDecideAt = now + m_settings.decideInterval;
    tickDecider();
    forgetEndedJobs();
}

absl::Time cluster_controller::nextDeadline() const
{
    const absl::Time waiting
        = m_waiterDeadlines.empty() ? absl::InfiniteFuture() : m_waiterDeadlines.begin()->first;
    return std::min(
        {m_journal->nextDeadline(), m_coordinator.nextDeadline(), m_nextDecideAt, waiting});
}

} // namespace hyssoppond
