/// @file Connects the parts of an entry process.
#include "hyssoppond/entry/entry_node_base.h"

#include "hyssoppond/base/log_func.h"
#include "hyssoppond/base/process_clock_base.h"
#include "hyssoppond/config/config_value_func.h"
#include "hyssoppond/gang/gang_codec_func.h"

#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include <utility>

namespace hyssoppond {

namespace {

constexpr std::size_t MaxQueuedTasks = 20'000; ///< of one strand
constexpr std::size_t PoolQueueLimit = 64;     ///< tasks; each strand queues one at a time
/// Time to append the release of the grant, and then to flush the messages of the node.
constexpr absl::Duration ReleaseTime = absl::Milliseconds(500);
constexpr absl::Duration BindTimeout = absl::Seconds(5);

} // namespace

entry_node::entry_node(entry_settings settings, std::unique_ptr<log_port> log,
                       counter_registry *counters)
    : m_settings(std::move(settings))
    , m_counters(counters)
    , m_log(std::move(log))
    , m_pool(std::make_unique<thread_pool>("machines", m_settings.threads, PoolQueueLimit))
    , m_http({.listen = m_settings.http,
              .maxConnections = m_settings.clients.rpcConnections,
              .budget = m_settings.clients.budget},
             counters)
{
    node_link_hooks hooks;
    hooks.onGang = [this](const frame &received) { onGang(received); };
    hooks.onCall = [this](const frame &received) { onCall(received); };
    hooks.onMember = [this](const member_view &member) { onMember(member); };
    hooks.onConfig = [this](const journal::config_item &item) { onConfig(item); };
    hooks.onStale = [this](bool stale) {
        m_clusterStrand->post([this, stale] { m_cluster->setStale(stale); });
    };
    m_link = std::make_unique<node_link>(node_link_settings {m_settings.self, process_role::Entry,
                                                             m_settings.seeds, m_settings.clients},
                                         std::move(hooks), m_pool.get(), counters);
    m_cluster = std::make_unique<cluster_controller>(m_settings.cluster, m_link->env(), m_log.get(),
                                                     clusterHooks());
    m_router = std::make_unique<call_router>(routerSettings(), m_link->env(), routerHooks());
    m_clusterStrand = std::make_unique<strand>(
        "cluster", m_pool.get(), MaxQueuedTasks,
        [this] {
            m_cluster->tick();
            m_ready = m_ready || m_cluster->progress().caughtUp;
        },
        [this] { return m_cluster->nextDeadline(); });
    m_callStrand = std::make_unique<strand>(
        "calls", m_pool.get(), MaxQueuedTasks, [this] { m_router->tick(); },
        [this] { return m_router->nextDeadline(); });
    addMethods();
    m_http.addPage("/metrics", [this] { return metricsPage(); });
    m_http.addPage("/healthz", [this] { return healthPage(); });
}

entry_node::~entry_node()
{
    stop(absl::InfinitePast());
}

router_settings entry_node::routerSettings() const
{
    router_settings values;
    values.entry = m_settings.self.agent;
    values.incarnation = m_settings.self.incarnation;
    values.routes.zone = m_settings.self.zone;
    return values;
}

cluster_hooks entry_node::clusterHooks()
{
    cluster_hooks hooks;
    hooks.send = [this](const process_id &to, const gang_message &gangMessage) {
        m_link->send(to, channel::Gang, encode(gangMessage));
    };
    hooks.onConfigAccepted = [this](const journal::config_item &item, bool isLocal) {
        m_link->publishConfig(item, isLocal);
    };
    hooks.count = [this](disposition outcome, reason why) { m_counters->count(outcome, why); };
    hooks.post = [this](std::function<void()> task) { m_clusterStrand->post(std::move(task)); };
    return hooks;
}

router_hooks entry_node::routerHooks()
{
    router_hooks hooks;
    hooks.send = [this](const process_id &to, const call_message &callMessage) {
        m_link->send(to, channel::Call, encode(callMessage));
    };
    hooks.count = [this](disposition outcome, reason why) { m_counters->count(outcome, why); };
    hooks.bindRequest = [this](const call_id &id, const call_binding &proposed, auto onBound) {
        m_clusterStrand->post([this, id, proposed, onBound] {
            m_cluster->bindRequest(
                id.team, id.request, proposed.agent, proposed.incarnation, proposed.until,
                std::min(proposed.until, processNow() + BindTimeout),
                [this, onBound](const result<journal::binding_entry> &bound) {
                    m_callStrand->post([onBound, bound] {
                        if (!bound)
                            return onBound(tl::unexpected<error>(bound.error()));
                        onBound(call_binding {bound->agent, bound->incarnation, bound->until});
                    });
                });
        });
    };
    return hooks;
}

result<void> entry_node::start()
{
    auto joined = m_link->start();
    if (!joined)
        return joined;
    m_clusterStrand->start();
    m_callStrand->start();
    return m_http.start();
}

void entry_node::onGang(const frame &received)
{
    auto message = decodeGangMessage(received.payload);
    if (!message)
        return m_counters->count(disposition::Dropped, message.error().why);
    m_clusterStrand->post([this, from = received.sender, gangMessage = std::move(*message)] {
        m_cluster->receiveGang(from, gangMessage);
    });
}

void entry_node::onCall(const frame &received)
{
    auto message = decodeCall(received.payload);
    if (!message)
        return m_counters->count(disposition::Dropped, message.error().why);
    m_callStrand->post([this, from = received.sender, callMessage = std::move(*message)] {
        m_router->receive(from, callMessage);
    });
}

void entry_node::onMember(const member_view &member)
{
    m_clusterStrand->post([this, member] { m_cluster->setMember(member); });
    if (member.role() != process_role::Agent)
        return;
    m_callStrand->post([this, member] {
        if (member.state == member_state::Dead)
            m_router->removeEndpoint(member.process);
        else if (!member.announcement->self.servedRunner.id.isEmpty())
            m_router->setEndpoint(member.announcement->self, member.state == member_state::Leaving);
    });
    writeLog(log_level::Info, "member changed state",
             {{"member", member.process.str()},
              {"state", std::string(MemberStateNames.name(member.state))},
              {"incarnation", absl::StrFormat("%d", member.incarnation)}});
}

void entry_node::onConfig(const journal::config_item &item)
{
    m_clusterStrand->post([this, item] { m_cluster->applyConfig(item); });
    const auto value = parseConfig(item.key, item.value);
    if (!value || item.value.empty() || !std::holds_alternative<team>(*value))
        return;
    m_callStrand->post([this, teamValue = std::get<team>(*value)] {
        m_router->setTeam(teamValue.id, teamValue.weight, teamValue.maxQueuedCalls);
    });
}

http_page entry_node::metricsPage()
{
    return {.body = m_counters->renderPrometheus()};
}

http_page entry_node::healthPage() const
{
    if (m_leaving)
        return {503, "text/plain", "leaving\n"};
    return m_ready ? http_page {200, "text/plain", "ok\n"}
                   : http_page {503, "text/plain", "reading the journal\n"};
}

void entry_node::stop(absl::Time deadline)
{
    if (!m_pool)
        return;
    m_leaving = true;
    m_callStrand->post([this] { m_router->drain(); });
    m_http.stop(deadline);
    m_clusterStrand->post([this] { m_cluster->leave(); });
    if (deadline > processNow())
        absl::SleepFor(ReleaseTime);
    m_link->leave();
    m_link->stop(processNow() + ReleaseTime);
    m_callStrand->stop();
    m_clusterStrand->stop();
    m_log.reset(); // its completions post to the stopped strands
    m_pool->stop();
    m_router.reset();
    m_cluster.reset();
    m_callStrand.reset();
    m_clusterStrand.reset();
    m_link.reset();
    m_pool.reset();
}

} // namespace hyssoppond
