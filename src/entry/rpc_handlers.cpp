/// @file Remote procedure calls that an entry serves.
#include "hyssoppond/entry/entry_node_base.h"
#include "job_message_func.h"

#include "hyssoppond/base/process_clock_base.h"

#include <absl/strings/str_format.h>

#include <map>
#include <memory>
#include <utility>

namespace hyssoppond {

namespace {

constexpr std::int64_t MaxTimeoutMillis = 30 * 60 * 1000;
constexpr std::uint32_t MaxListedJobs = 1000;

template<class response>
using reply_of = std::function<void(result<response>)>;

/// Converts a timeout in milliseconds to a deadline; a timeout of 0 means `fallback`. Error:
/// InvalidArgument if the timeout is out of range.
result<absl::Time> deadlineOf(std::int64_t millis, absl::Duration fallback,
                              std::int64_t maxMillis = MaxTimeoutMillis)
{
    if (millis < 0 || millis > maxMillis)
        return fail(reason::InvalidArgument,
                    absl::StrFormat("timeout_ms is %d; allowed: 0 to %d", millis, maxMillis));
    return processNow() + (millis == 0 ? fallback : absl::Milliseconds(millis));
}

/// Error for a request that arrives when the task queue of the entry is full.
error overloaded()
{
    return {reason::Overloaded, "this entry is overloaded; retry at another one", execution::NotRun,
            processNow() + absl::Seconds(1)};
}

/// Posts a task, or replies Overloaded if the queue is full.
template<class response>
void postOrRefuse(strand *target, const reply_of<response> &reply, std::function<void()> task)
{
    if (!target->post(std::move(task)))
        reply(tl::unexpected<error>(overloaded()));
}

/// Returns a job_reply that passes the message of the job, or the error, to `reply`.
template<class response>
job_reply jobReply(const reply_of<response> &reply);

template<>
job_reply jobReply<v1::Job>(const reply_of<v1::Job> &reply)
{
    return [reply](const result<job_view> &job) {
        if (!job)
            return reply(tl::unexpected<error>(job.error()));
        reply(toMessage(*job));
    };
}

/// Configuration key that drains the endpoint.
std::string drainKey(const std::string &endpoint)
{
    return "drain/" + endpoint;
}

} // namespace

/// Registers the RPC methods of one entry and handles their requests.
class rpc_handlers
{
public:
    explicit rpc_handlers(entry_node *entry)
        : m_entry(entry)
    { }

    void addAll()
    {
        addJobs();
        addCalls();
        addConfig();
        addNodes();
    }

private:
    template<class request, class response>
    void add(const std::string &name,
             std::function<void(const request &, const reply_of<response> &)> handler)
    {
        m_entry->m_http.add(makeMethod<request, response>(
            "/hyssoppond.v1." + name,
            [entry = m_entry, handler = std::move(handler)](const request &message,
                                                            reply_of<response> reply) {
                if (entry->m_leaving)
                    return reply(
                        fail(reason::Leaving,
                             "this entry is shutting down; send the request to another entry",
                             execution::NotRun, processNow()));
                const absl::Time receivedAt = processNow();
                handler(message,
                        [entry, receivedAt, reply = std::move(reply)](result<response> answer) {
                            entry->m_counters->observe("request", processNow() - receivedAt);
                            reply(std::move(answer));
                        });
            }));
    }

    void addJobs();
    void addCommand(const std::string &name, journal::command_kind kind);
    void addCalls();
    void addConfig();
    void addNodes();
    void publish(journal::config_changed change, bool anyVersion, std::int64_t timeoutMillis,
                 const reply_of<v1::PublishResponse> &reply);
    v1::NodesResponse nodesResponse(const std::vector<member_view> &members) const;
    void addNode(const member_announcement &member, member_state state,
                 v1::NodesResponse *answer) const;

    strand *cluster() const { return m_entry->m_clusterStrand.get(); }
    cluster_controller *controller() const { return m_entry->m_cluster.get(); }

    entry_node *m_entry;
};

void rpc_handlers::addJobs()
{
    add<v1::SubmitRequest, v1::SubmitResponse>(
        "Jobs/Submit", [this](const auto &request, const auto &reply) {
            const auto deadline = deadlineOf(request.timeout_ms(), absl::Seconds(5));
            if (!deadline)
                return reply(tl::unexpected<error>(deadline.error()));
            postOrRefuse<v1::SubmitResponse>(cluster(), reply, [this, request, reply, deadline] {
                const job_spec spec = fromMessage(request, processNow());
                const bool existed = controller()->view(spec.id).has_value();
                controller()->submit(spec, request.retry(), *deadline,
                                     [reply, existed](const result<job_view> &job) {
                                         if (!job)
                                             return reply(tl::unexpected<error>(job.error()));
                                         v1::SubmitResponse answer;
                                         *answer.mutable_job() = toMessage(*job);
                                         answer.set_existed(existed);
                                         reply(answer);
                                     });
            });
        });
    add<v1::JobRequest, v1::Job>("Jobs/Status", [this](const auto &request, const auto &reply) {
        postOrRefuse<v1::Job>(cluster(), reply, [this, request, reply] {
            controller()->lookUp(job_id(request.job_id()), jobReply<v1::Job>(reply));
        });
    });
    add<v1::WaitRequest, v1::Job>("Jobs/Wait", [this](const auto &request, const auto &reply) {
        const auto deadline = deadlineOf(request.timeout_ms(), absl::Seconds(20), 30'000);
        if (!deadline)
            return reply(tl::unexpected<error>(deadline.error()));
        postOrRefuse<v1::Job>(cluster(), reply, [this, request, reply, deadline] {
            controller()->wait(job_id(request.job_id()), *deadline, jobReply<v1::Job>(reply));
        });
    });
    add<v1::ListRequest, v1::ListResponse>(
        "Jobs/List", [this](const auto &request, const auto &reply) {
            if (request.limit() > MaxListedJobs)
                return reply(fail(reason::InvalidArgument,
                                  absl::StrFormat("limit is %d; allowed: 0 to %d", request.limit(),
                                                  MaxListedJobs)));
            postOrRefuse<v1::ListResponse>(cluster(), reply, [this, request, reply] {
                const std::size_t limit = request.limit() == 0 ? 100 : request.limit();
                const auto jobs
                    = controller()->list(team_id(request.team()), request.ended_too(), limit + 1);
                v1::ListResponse answer;
                for (std::size_t i = 0; i < std::min(limit, jobs.size()); ++i)
                    *answer.add_jobs() = toMessage(jobs[i]);
                answer.set_more(jobs.size() > limit);
                reply(answer);
            });
        });
    addCommand("Jobs/Cancel", journal::command_kind::Cancel);
    addCommand("Jobs/Hold", journal::command_kind::Hold);
    addCommand("Jobs/Release", journal::command_kind::Release);
    addCommand("Jobs/Suspend", journal::command_kind::Suspend);
    addCommand("Jobs/Resume", journal::command_kind::Resume);
    addCommand("Jobs/Requeue", journal::command_kind::Requeue);
}

void rpc_handlers::addCommand(const std::string &name, journal::command_kind kind)
{
    add<v1::JobRequest, v1::Job>(name, [this, kind](const auto &request, const auto &reply) {
        postOrRefuse<v1::Job>(cluster(), reply, [this, kind, request, reply] {
            controller()->command(job_id(request.job_id()), kind, request_id(request.request_id()),
                                  processNow() + absl::Seconds(5), jobReply<v1::Job>(reply));
        });
    });
}

void rpc_handlers::addCalls()
{
    add<v1::CallRequest, v1::CallResponse>(
        "Calls/Call", [this](const auto &request, const auto &reply) {
            const auto deadline = deadlineOf(request.timeout_ms(), absl::Seconds(10));
            if (!deadline)
                return reply(tl::unexpected<error>(deadline.error()));
            call_submission call;
            call.id = {team_id(request.team()), request_id(request.request_id())};
            call.caller = caller_id(request.caller());
            call.level = fromMessage(request.urgency());
            call.repeatable = !request.not_repeatable();
            call.token = request.token();
            call.deadline = *deadline;
            call.payload = request.payload();
            postOrRefuse<v1::CallResponse>(
                m_entry->m_callStrand.get(), reply, [this, call, reply, retry = request.retry()] {
                    m_entry->m_router->submit(call, [reply, retry](result<std::string> answer) {
                        if (!answer) {
                            // An earlier request with this id may still run, so the outcome of the
                            // call stays unknown.
                            if (retry && answer.error().state == execution::NotRun)
                                answer.error().state = execution::Unknown;
                            return reply(tl::unexpected<error>(answer.error()));
                        }
                        v1::CallResponse response;
                        response.set_payload(std::move(*answer));
                        reply(response);
                    });
                });
        });
    add<v1::ReserveRequest, v1::ReserveResponse>(
        "Calls/Reserve", [this](const auto &request, const auto &reply) {
            const auto deadline = deadlineOf(request.timeout_ms(), absl::Minutes(1));
            if (!deadline)
                return reply(tl::unexpected<error>(deadline.error()));
            postOrRefuse<v1::ReserveResponse>(
                m_entry->m_callStrand.get(), reply, [this, request, reply, deadline] {
                    m_entry->m_router->reserve(
                        team_id(request.team()), *deadline,
                        [reply, deadline](const result<std::string> &token) {
                            if (!token)
                                return reply(tl::unexpected<error>(token.error()));
                            v1::ReserveResponse response;
                            response.set_token(*token);
                            response.set_valid_until_unix_ms(absl::ToUnixMillis(*deadline));
                            reply(response);
                        });
                });
        });
}

void rpc_handlers::publish(journal::config_changed change, bool anyVersion,
                           std::int64_t timeoutMillis, const reply_of<v1::PublishResponse> &reply)
{
    const auto deadline = deadlineOf(timeoutMillis, absl::Seconds(5));
    if (!deadline)
        return reply(tl::unexpected<error>(deadline.error()));
    postOrRefuse<v1::PublishResponse>(
        cluster(), reply, [this, change = std::move(change), anyVersion, reply, deadline] {
            controller()->publish(change, anyVersion, *deadline,
                                  [reply](const result<journal_offset> &version) {
                                      if (!version)
                                          return reply(tl::unexpected<error>(version.error()));
                                      v1::PublishResponse answer;
                                      answer.set_version(*version);
                                      reply(answer);
                                  });
        });
}

void rpc_handlers::addConfig()
{
    add<v1::PublishRequest, v1::PublishResponse>(
        "Config/Publish", [this](const auto &request, const auto &reply) {
            publish({request.key(), request.value(), request.expected_version(),
                     request_id(request.request_id()), ""},
                    request.any_version(), request.timeout_ms(), reply);
        });
    add<v1::ShowRequest, v1::ShowResponse>(
        "Config/Show", [this](const auto &request, const auto &reply) {
            postOrRefuse<v1::ShowResponse>(cluster(), reply, [this, request, reply] {
                v1::ShowResponse answer;
                for (const auto &[key, item] : controller()->config()) {
                    answer.set_highest_version(std::max(answer.highest_version(), item.version));
                    if (item.value.empty() || key.rfind(request.prefix(), 0) != 0)
                        continue;
                    v1::ConfigItem *configItem = answer.add_items();
                    configItem->set_key(key);
                    configItem->set_value(item.value);
                    configItem->set_version(item.version);
                }
                reply(answer);
            });
        });
}

void rpc_handlers::addNode(const member_announcement &member, member_state state,
                           v1::NodesResponse *answer) const
{
    const endpoint &self = member.self;
    v1::Node *node = answer->add_nodes();
    node->set_process(self.agent.str());
    node->set_role(std::string(ProcessRoleNames.name(member.role)));
    node->set_zone(self.zone.str());
    node->set_state(std::string(MemberStateNames.name(state)));
    node->set_incarnation(self.incarnation);
    node->set_address(absl::StrFormat("%s:%d", self.control.host, self.control.port));
    node->set_worker(self.servedWorker.id.str());
    node->set_accelerators(self.servedWorker.accelerators);
    node->set_runner(self.servedRunner.id.str());
    const auto drainItem = controller()->config().find(drainKey(self.agent.str()));
    node->set_draining(drainItem != controller()->config().end()
                       && !drainItem->second.value.empty());
    if (self.servedWorker.id.isEmpty())
        return;
    node->set_accelerators_in_use(controller()->acceleratorsInUse(self.servedWorker.id));
    node->set_condition(
        std::string(WorkerConditionNames.name(controller()->conditionOf(self.servedWorker.id))));
}

v1::NodesResponse rpc_handlers::nodesResponse(const std::vector<member_view> &members) const
{
    v1::NodesResponse answer;
    const auto *domain = controller()->domain();
    if (domain != nullptr) {
        answer.set_decider(domain->holder.str());
        answer.set_epoch(domain->epoch);
    }
    answer.set_journal_offset(controller()->progress().offset);
    for (const guarantee_risk &risk : controller()->guaranteesAtRisk())
        answer.add_guarantees_at_risk(
            absl::StrFormat("%s: %d gangs: %s", risk.contract.str(), risk.gangs, risk.why));
    const member_announcement ownAnnouncement {m_entry->m_link->self(), process_role::Entry};
    addNode(ownAnnouncement, m_entry->m_leaving ? member_state::Leaving : member_state::Alive,
            &answer);
    for (const member_view &member : members)
        addNode(*member.announcement, member.state, &answer);
    return answer;
}

void rpc_handlers::addNodes()
{
    add<v1::NodesRequest, v1::NodesResponse>("Nodes/List", [this](const auto &, const auto &reply) {
        m_entry->m_link->withMembers([this, reply](const std::vector<member_view> &members) {
            postOrRefuse<v1::NodesResponse>(
                cluster(), reply, [this, members, reply] { reply(nodesResponse(members)); });
        });
    });
    add<v1::DrainRequest, v1::PublishResponse>(
        "Nodes/Drain", [this](const auto &request, const auto &reply) {
            publish({drainKey(request.endpoint()), "{}", 0, request_id(request.request_id()), ""},
                    true, 0, reply);
        });
    add<v1::DrainRequest, v1::PublishResponse>(
        "Nodes/Undrain", [this](const auto &request, const auto &reply) {
            publish({drainKey(request.endpoint()), "", 0, request_id(request.request_id()), ""},
                    true, 0, reply);
        });
}

void entry_node::addMethods()
{
    // The handlers capture the rpc_handlers object, so it must live as long as m_http uses them.
    const auto handlers = std::make_shared<rpc_handlers>(this);
    handlers->addAll();
    m_handlers = handlers;
}

} // namespace hyssoppond
