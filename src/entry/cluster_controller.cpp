/// @file Requests of callers and operators on the cluster controller.
#include "hyssoppond/entry/cluster_controller_base.h"

#include "hyssoppond/entry/config_value_func.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace hyssoppond {

namespace {

/// Retry time told with refusals that pass by themselves.
constexpr absl::Duration RefusalDelay = absl::Seconds(1);
/// A read that ended this long after a question began after the question.
constexpr absl::Duration LongestRead = absl::Milliseconds(500);
constexpr std::size_t MaxCommandBytes = 64 * 1024;
constexpr std::size_t MaxIdBytes = 128;

tl::unexpected<error> unknownJob(const job_id &job)
{
    return fail(reason::UnknownJob,
                absl::StrFormat("no job %s; ended jobs are forgotten after some hours, list the "
                                "jobs",
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
    journal::journal_hooks follow;
    follow.onRecord
        = [this](journal_offset offset, const journal::journal_record &record,
                 const journal::verdict &decision) { onRecord(offset, record, decision); };
    follow.onRestored = [this] { onRestored(); };
    follow.maySnapshot = [this] { return m_leading; };
    follow.count = m_hooks.count;
    follow.post = m_hooks.post;
    m_journal = std::make_unique<journal::journal_client>(
        m_env, log, m_settings.self, m_settings.incarnation, &m_state, follow, m_settings.journal);
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
    const bool known = m_scheduler->find(id) != nullptr;
    if (isRetry && !known) {
        // The earlier submission may still be accepted through another entry.
        reply = [inner = std::move(reply)](result<job_view> answer) {
            if (!answer && answer.error().why != reason::RequestIdReused)
                answer.error().state = execution::Unknown;
            inner(std::move(answer));
        };
    }
    const auto refuse = [&](error problem) { reply(tl::unexpected<error>(std::move(problem))); };
    if (m_leaving)
        return refuse({reason::Leaving, "this entry is leaving; ask another one", execution::NotRun,
                       m_env.now()});
    if (!m_journal->progress().caughtUp && !logIsDown())
        return refuse({reason::LogUnavailable, "this entry is still reading the journal",
                       execution::NotRun, m_env.now() + RefusalDelay});
    const auto checked = checkSpec(spec);
    if (!checked)
        return refuse(checked.error());
    const auto outage = m_outageJobs.find(id);
    if (outage != m_outageJobs.end() && !outage->second.started)
        return outage->second.replies.push_back(std::move(reply)); // it may still be refused
    if (known)
        return reply(view(id));
    if (logIsDown())
        return submitInOutage(spec, std::move(reply));
    const std::uint64_t number = ++m_nextUnsettled;
    if (m_leading && spec.level == urgency::Urgent && !spec.held)
        m_unsettled.emplace(number, unsettled_submission {spec, reply});
    const bool open = m_unsettled.contains(number);
    m_journal->append(journal::job_submitted {std::move(spec)}, deadline,
                      [this, id, number, open, reply = std::move(reply)](const auto &outcome) {
                          if (open && m_unsettled.erase(number) == 0)
                              return; // answered under the outage right
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
                          "the job was accepted while the log is down and is not recorded yet; "
                          "retry when the log is back",
                          execution::NotRun, m_env.now() + RefusalDelay));
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
    const auto known = view(job);
    if (known || logIsDown())
        return reply(known);
    m_lookUps.push_back({job, m_env.now(), std::move(reply)});
}

void cluster_controller::answerLookUps()
{
    const auto isSettled = [this](const look_up &one) {
        return view(one.job) || logIsDown()
            || m_journal->progress().lastReadAt > one.askedAt + LongestRead;
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
    for (const look_up &one : settled)
        one.reply(view(one.job));
}

std::vector<job_view> cluster_controller::list(const team_id &team, bool endedToo,
                                               std::size_t limit) const
{
    std::vector<job_view> found;
    for (const auto &[id, entry] : m_state.jobs()) {
        if (found.size() >= limit)
            break;
        if ((team.isEmpty() || entry.spec.team == team) && (endedToo || !entry.isEnded()))
            found.push_back(*view(id));
    }
    return found;
}

void cluster_controller::wait(const job_id &job, absl::Time deadline, job_reply reply)
{
    const auto now = view(job);
    if (!now) {
        return lookUp(job, [=, this](const result<job_view> &found) {
            if (!found)
                return reply(found);
            wait(job, deadline, reply);
        });
    }
    if (now->entry.isEnded())
        return reply(now);
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
    for (const waiter &one : due) {
        m_waiterDeadlines.erase({one.deadline, job});
        one.reply(view(job));
    }
}

void cluster_controller::publish(journal::config_changed change, bool anyVersion,
                                 absl::Time deadline,
                                 std::function<void(result<journal_offset>)> reply)
{
    const auto value = parseConfig(change.key, change.value);
    if (!value)
        return reply(tl::unexpected<error>(value.error()));
    // The tests below would refuse a repeated removal.
    if (const auto *earlier = m_state.findApplied(change))
        return reply(earlier->version);
    result<void> allowed;
    if (const auto *guarantee = std::get_if<contract>(&*value))
        allowed = change.value.empty()
            ? m_scheduler->removeContract(guarantee->id, command_mode::Test)
            : m_scheduler->canGuarantee(*guarantee);
    else if (const auto *group = std::get_if<team>(&*value))
        allowed = change.value.empty() ? m_scheduler->removeTeam(group->id, command_mode::Test)
                                       : m_scheduler->setTeam(*group, command_mode::Test);
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
    m_journal->append(
        journal::request_bound {request, team, agent, incarnation, until}, deadline,
        [this, team, request, reply = std::move(reply)](const auto &outcome) {
            if (!outcome)
                return reply(tl::unexpected<error>(outcome.error()));
            const auto *bound = m_state.findBinding(team, request);
            if (bound == nullptr)
                return reply(fail(reason::Expired, "the binding of this request id has expired"));
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
    const auto *known = domain();
    if (known != nullptr && known->holder == m_settings.self
        && known->incarnation == m_settings.incarnation)
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
    dropForgotten();
}

absl::Time cluster_controller::nextDeadline() const
{
    const absl::Time waiting
        = m_waiterDeadlines.empty() ? absl::InfiniteFuture() : m_waiterDeadlines.begin()->first;
    return std::min(
        {m_journal->nextDeadline(), m_coordinator.nextDeadline(), m_nextDecideAt, waiting});
}

} // namespace hyssoppond
