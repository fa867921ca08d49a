/// @file The process behind the balancer: serves callers and operators, and may lead placement.
#pragma once

#include "hyssoppond/entry/cluster_controller_base.h"
#include "hyssoppond/node/node_link_base.h"
#include "hyssoppond/routing/call_router_base.h"
#include "hyssoppond/rpc/rpc_server_base.h"

#include <atomic>
#include <memory>
#include <vector>

namespace hyssoppond {

/// Settings of an entry.
struct entry_settings
{
    endpoint self;
    std::vector<address> seeds;
    address http;            ///< of the remote procedure calls, /metrics and /healthz
    std::size_t threads = 4; ///< that run the state machines
    cluster_settings cluster;
};

/// One entry process. start() and stop() from one thread.
class entry_node
{
public:
    entry_node(entry_settings settings, std::unique_ptr<log_port> log, counter_registry *counters);
    ~entry_node();
    entry_node(const entry_node &) = delete;
    entry_node &operator=(const entry_node &) = delete;

    /// Error: an address cannot be used.
    result<void> start();
    /// Answers health checks "leaving", refuses new requests, finishes those in flight until
    /// `deadline`, gives up the grant and closes.
    void stop(absl::Time deadline);

private:
    friend class rpc_handlers;

    void onGang(const frame &got);
    void onCall(const frame &got);
    void onMember(const member_view &member);
    void onConfig(const journal::config_item &item);
    cluster_hooks clusterHooks();
    router_hooks routerHooks();
    router_settings routerSettings() const;
    void addMethods();
    http_page metricsPage();
    http_page healthPage() const;

    entry_settings m_settings;
    counter_registry *m_counters;
    std::unique_ptr<log_port> m_log;
    std::unique_ptr<thread_pool> m_pool;
    std::unique_ptr<node_link> m_link;
    std::unique_ptr<cluster_controller> m_cluster;
    std::unique_ptr<call_router> m_router;
    std::unique_ptr<strand> m_clusterStrand; ///< runs m_cluster
    std::unique_ptr<strand> m_callStrand;    ///< runs m_router
    std::shared_ptr<void> m_handlers;        ///< of m_http
    rpc_server m_http;
    std::atomic<bool> m_leaving = false;
    std::atomic<bool> m_ready = false; ///< the journal has been read to its end once
};

} // namespace hyssoppond
