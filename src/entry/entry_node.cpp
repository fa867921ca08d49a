/// @file Implementation of the entry process.
#include "hyssoppond/entry/entry_node_base.h"

#include "hyssoppond/base/log_func.h"
#include "hyssoppond/entry/config_value_func.h"
#include "hyssoppond/gang/gang_codec_func.h"

#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include <utility>

namespace hyssoppond {

namespace {

constexpr std::size_t MaxQueuedTasks = 20'000;
constexpr std::size_t PoolQueue = 64; ///< each runner queues one task at a time
constexpr absl::Duration ReleaseTime = absl::Milliseconds(500); ///< to record the release
constexpr absl::Duration BindTimeout = absl::Seconds(5);

} // namespace

entry_node::entry_node(entry_settings settings, std::unique_ptr<log_port> log,
                       counter_registry *counters)
    : m_settings(std::move(settings))
    , m_counters(counters)
    , m_log(std::move(log))
    , m_pool(std::make_unique<thread_pool>("machines", m_settings.threads, PoolQueue))
    , m_http({.listen = m_settings.http}, counters)
{
    node_link_hooks hooks;
    hooks.onGang = [this](const frame &got) { onGang(got); };
    hooks.onCall = [this](const frame &got) { onCall(got); };
    hooks.onMember = [this](const member_view &member) { onMember(member); };
    hooks.onConfig = [this](const journal::config_item &item) { onConfig(item); };
    hooks.onStale = [this](bool stale) {
        m_clusterStrand->post([this, stale] { m_cluster->setStale(stale); });
    };
    m_link = std::make_unique<node_link>(
        node_link_settings {m_settings.self, process_role::Entry, m_settings.seeds},
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
    hooks.send = [this](const process_id &to, const gang_message &what) {
        m_link->send(to, channel::Gang, encode(what));
    };
    hooks.onConfigAccepted = [this](const journal::config_item &item, bool here) {
        m_link->publishConfig(item, here);
    };
    hooks.count = [this](disposition what, reason why) { m_counters->count(what, why); };
    hooks.post = [this](std::function<void()> task) { m_clusterStrand->post(std::move(task)); };
    return hooks;
}

router_hooks entry_node::routerHooks()
{
    router_hooks hooks;
    hooks.send = [this](const process_id &to, const call_message &what) {
        m_link->send(to, channel::Call, encode(what));
    };
    hooks.count = [this](disposition what, reason why) { m_counters->count(what, why); };
    hooks.bindRequest = [this](const call_id &id, const call_binding &proposed, auto done) {
        m_clusterStrand->post([this, id, proposed, done] {
            m_cluster->bindRequest(
                id.team, id.request, proposed.agent, proposed.incarnation, proposed.until,
                std::min(proposed.until, absl::Now() + BindTimeout),
                [this, done](const result<journal::binding_entry> &bound) {
                    m_callStrand->post([done, bound] {
                        if (!bound)
                            return done(tl::unexpected<error>(bound.error()));
                        done(call_binding {bound->agent, bound->incarnation, bound->until});
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

void entry_node::onGang(const frame &got)
{
    auto message = decodeGangMessage(got.payload);
    if (!message)
        return m_counters->count(disposition::Dropped, message.error().why);
    m_clusterStrand->post([this, from = got.sender, what = std::move(*message)] {
        m_cluster->receiveGang(from, what);
    });
}

void entry_node::onCall(const frame &got)
{
    auto message = decodeCall(got.payload);
    if (!message)
        return m_counters->count(disposition::Dropped, message.error().why);
    m_callStrand->post(
        [this, from = got.sender, what = std::move(*message)] { m_router->receive(from, what); });
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
    m_callStrand->post([this, group = std::get<team>(*value)] {
        m_router->setTeam(group.id, group.weight, group.maxQueuedCalls);
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
    if (deadline > absl::Now())
        absl::SleepFor(ReleaseTime);
    m_link->leave();
    m_link->stop(absl::Now() + ReleaseTime);
    m_callStrand->stop();
    m_clusterStrand->stop();
    m_log.reset(); // its completions post to the stopped runners
    m_pool->stop();
    m_router.reset();
    m_cluster.reset();
    m_callStrand.reset();
    m_clusterStrand.reset();
    m_link.reset();
    m_pool.reset();
}

} // namespace hyssoppond
