/// @file The entry process behind the load balancer: serves callers and operators, and may be the
/// decider.
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
    address http;            ///< where remote procedure calls, /metrics and /healthz are served
    std::size_t threads = 4; ///< threads that run the state machines
    cluster_settings cluster;
    client_settings clients;
};

/// One entry process. Call start() and stop() from the same thread.
class entry_node
{
public:
    entry_node(entry_settings settings, std::unique_ptr<log_port> log, counter_registry *counters);
    ~entry_node();
    entry_node(const entry_node &) = delete;
    entry_node &operator=(const entry_node &) = delete;

    /// Joins the other processes and starts serving. Error if an address cannot be used.
    result<void> start();
    /// Answers health checks with "leaving", refuses new requests, finishes the requests in flight
    /// until `deadline`, releases the decider grant and closes the connections.
    void stop(absl::Time deadline);

private:
    friend class rpc_handlers;

    void onGang(const frame &received);
    void onCall(const frame &received);
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
    std::shared_ptr<void> m_handlers;        ///< handlers of m_http
    rpc_server m_http;
    std::atomic<bool> m_leaving = false;
    std::atomic<bool> m_ready = false; ///< the journal has been read to its end once
};

} // namespace hyssoppond
