/// @file Implementation of the agent process.
#include "hyssoppond/agent/agent_node_base.h"

#include "hyssoppond/base/log_func.h"
#include "hyssoppond/base/process_clock_base.h"
#include "hyssoppond/gang/gang_codec_func.h"
#include "serial_ports.h"

#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include <utility>

namespace hyssoppond {

namespace {

constexpr std::size_t MaxQueuedTasks = 20'000; ///< of each strand
constexpr std::size_t MaxQueuedPoolTasks = 64; ///< each strand has at most one task in the pool
/// Time between two checks in stop() whether gangs or calls are still running.
constexpr absl::Duration IdlePollInterval = absl::Milliseconds(50);

/// Mask with one bit set for each of `accelerators` accelerators.
accelerator_mask maskOfAll(std::uint32_t accelerators)
{
    return static_cast<accelerator_mask>((1U << accelerators) - 1U);
}

} // namespace

agent_node::agent_node(agent_settings settings, std::unique_ptr<worker_port> worker,
                       std::unique_ptr<runner_port> runner, counter_registry *counters)
    : m_settings(std::move(settings))
    , m_counters(counters)
    , m_worker(std::move(worker))
    , m_runner(std::move(runner))
    , m_pool(std::make_unique<thread_pool>("machines", m_settings.threads, MaxQueuedPoolTasks))
    , m_http({.listen = m_settings.metrics,
              .maxConnections = m_settings.clients.rpcConnections,
              .threads = 1,
              .budget = m_settings.clients.budget},
             counters)
{
    node_link_hooks hooks;
    hooks.onGang = [this](const frame &received) { onGang(received); };
    hooks.onCall = [this](const frame &received) { onCall(received); };
    hooks.onConfig = [this](const journal::config_item &item) { onConfig(item); };
    m_link = std::make_unique<node_link>(node_link_settings {m_settings.self, process_role::Agent,
                                                             m_settings.seeds, m_settings.clients},
                                         std::move(hooks), m_pool.get(), counters);
    m_http.addPage("/metrics",
                   [this] { return http_page {.body = m_counters->renderPrometheus()}; });
    m_http.addPage("/healthz", [this] {
        return m_stopping ? http_page {503, "text/plain", "leaving\n"}
                          : http_page {200, "text/plain", "ok\n"};
    });
}

agent_node::~agent_node()
{
    stop(absl::InfinitePast());
}

gang_agent_hooks agent_node::gangHooks()
{
    gang_agent_hooks hooks;
    hooks.send = [this](const process_id &to, const gang_message &message) {
        m_link->send(to, channel::Gang, encode(message));
    };
    hooks.onDropped = [this](reason why) { m_counters->count(disposition::Dropped, why); };
    hooks.onMemberState = [this](const member_report &report) {
        m_counters->add("gang_member_changes");
        writeLog(log_level::Info, "gang member changed state",
                 {{"job", report.id.job.str()},
                  {"attempt", absl::StrFormat("%d", report.id.attempt)},
                  {"member", absl::StrFormat("%d", report.id.member)},
                  {"state", std::string(GangMemberStateNames.name(report.state))},
                  {"reason", std::string(ReasonNames.name(report.why))}});
    };
    return hooks;
}

executor_hooks agent_node::callHooks()
{
    executor_hooks hooks;
    hooks.send = [this](const process_id &to, const call_message &message) {
        m_link->send(to, channel::Call, encode(message));
    };
    hooks.count = [this](disposition outcome, reason why) { m_counters->count(outcome, why); };
    return hooks;
}

result<void> agent_node::start()
{
    const endpoint &self = m_settings.self;
    if (m_worker) {
        auto port = std::make_shared<serial_worker_port>(m_worker.get());
        m_gangs = std::make_unique<gang_member_agent>(
            self.agent, self.incarnation, maskOfAll(self.servedWorker.accelerators), port.get(),
            m_settings.gang, m_link->env(), gangHooks());
        m_gangStrand = std::make_unique<strand>(
            "gangs", m_pool.get(), MaxQueuedTasks, [this, port] { m_gangs->tick(); },
            [this] { return m_gangs->nextDeadline(); });
        port->completionStrand = m_gangStrand.get();
        m_gangStrand->start();
    }
    if (m_runner) {
        auto port = std::make_shared<serial_runner_port>(m_runner.get());
        executor_settings limits;
        limits.agent = self.agent;
        limits.incarnation = self.incarnation;
        limits.slots = self.servedRunner.slots;
        limits.connections = self.servedRunner.connections;
        executor_hooks hooks = callHooks();
        hooks.runner = port.get();
        m_calls = std::make_unique<call_executor>(limits, m_link->env(), std::move(hooks));
        m_callStrand = std::make_unique<strand>(
            "calls", m_pool.get(), MaxQueuedTasks, [this, port] { m_calls->tick(); },
            [this] { return m_calls->nextDeadline(); });
        port->completionStrand = m_callStrand.get();
        m_callStrand->start();
    }
    auto served = m_http.start();
    if (!served)
        return served;
    return m_link->start();
}

void agent_node::onGang(const frame &received)
{
    auto message = decodeGangMessage(received.payload);
    if (!message)
        return m_counters->count(disposition::Dropped, message.error().why);
    if (!m_gangStrand)
        return m_counters->count(disposition::Dropped, reason::UnknownEndpoint);
    m_gangStrand->post([this, from = received.sender, content = std::move(*message)] {
        m_gangs->receive(from, content);
    });
}

void agent_node::onCall(const frame &received)
{
    auto message = decodeCall(received.payload);
    if (!message)
        return m_counters->count(disposition::Dropped, message.error().why);
    if (!m_callStrand)
        return m_counters->count(disposition::Dropped, reason::UnknownEndpoint);
    m_callStrand->post([this, from = received.sender, content = std::move(*message)] {
        m_calls->receive(from, content);
    });
}

void agent_node::onConfig(const journal::config_item &item)
{
    if (item.key == "drain/" + m_settings.self.agent.str())
        setLeaving(!item.value.empty());
}

void agent_node::setLeaving(bool leaving)
{
    const bool refuseNewWork = leaving || m_stopping;
    if (m_gangStrand)
        m_gangStrand->post([this, refuseNewWork] { m_gangs->setLeaving(refuseNewWork); });
    if (m_callStrand)
        m_callStrand->post([this, refuseNewWork] { m_calls->setLeaving(refuseNewWork); });
}

bool agent_node::isBusy()
{
    absl::Mutex mutex;
    int pending = 0;
    bool busy = false;
    const auto query = [&](strand *target, const std::function<bool()> &predicate) {
        if (target == nullptr)
            return;
        {
            const absl::MutexLock lock(&mutex);
            ++pending;
        }
        const bool posted = target->post([&, predicate] {
            const bool answer = predicate();
            const absl::MutexLock lock(&mutex);
            busy = busy || answer;
            --pending;
        });
        if (!posted) {
            const absl::MutexLock lock(&mutex);
            --pending;
        }
    };
    query(m_gangStrand.get(), [this] { return !m_gangs->members().empty(); });
    query(m_callStrand.get(), [this] { return !m_calls->isIdle(); });
    const absl::MutexLock lock(&mutex);
    const auto allAnswered = [&] { return pending == 0; };
    mutex.Await(absl::Condition(&allAnswered));
    return busy;
}

void agent_node::stop(absl::Time deadline)
{
    if (!m_pool)
        return;
    m_stopping = true;
    m_link->leave();
    setLeaving(true);
    while (processNow() < deadline && isBusy())
        absl::SleepFor(IdlePollInterval);
    m_http.stop(processNow() + absl::Seconds(1));
    m_link->stop(std::min(deadline, processNow() + absl::Seconds(1)));
    if (m_callStrand)
        m_callStrand->stop();
    if (m_gangStrand)
        m_gangStrand->stop();
    m_runner.reset(); // waits for completions, which still post to the stopped strands
    m_worker.reset();
    m_pool->stop();
    m_gangStrand.reset();
    m_callStrand.reset();
    m_link.reset();
    m_pool.reset();
}

} // namespace hyssoppond
