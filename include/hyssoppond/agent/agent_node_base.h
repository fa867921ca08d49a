/// @file Agent process, which serves the worker and the runner of one endpoint.
#pragma once

#include "hyssoppond/gang/gang_member_agent_base.h"
#include "hyssoppond/node/node_link_base.h"
#include "hyssoppond/platform/runner_port.h"
#include "hyssoppond/platform/worker_port.h"
#include "hyssoppond/routing/call_executor_base.h"
#include "hyssoppond/rpc/rpc_server_base.h"

#include <atomic>
#include <memory>
#include <vector>

namespace hyssoppond {

/// Settings of an agent.
struct agent_settings
{
    endpoint self;
    std::vector<address> seeds;
    address metrics;         ///< address of the HTTP server with /metrics and /healthz
    std::size_t threads = 2; ///< threads that run the state machines
    gang_options gang;
    client_settings clients;
};

/// One agent process. start() and stop() are called from the same thread.
class agent_node
{
public:
    /// Takes over the ports to the worker and the runner that the endpoint serves. A null port
    /// means that it serves none of that kind. stop() destroys the ports.
    agent_node(agent_settings settings, std::unique_ptr<worker_port> worker,
               std::unique_ptr<runner_port> runner, counter_registry *counters);
    ~agent_node();
    agent_node(const agent_node &) = delete;
    agent_node &operator=(const agent_node &) = delete;

    /// Opens the sockets and joins the other processes. Error: an address cannot be used.
    result<void> start();
    /// Announces the departure, refuses new work, finishes running calls and waits until the
    /// coordinator has ended the gangs, but no longer than until `deadline`. Then closes the
    /// sockets and destroys the ports.
    void stop(absl::Time deadline);

private:
    void onGang(const frame &received);
    void onCall(const frame &received);
    void onConfig(const journal::config_item &item);
    /// Refuses new gangs and calls while `leaving`, and always once stop() has begun.
    void setLeaving(bool leaving);
    /// Whether a gang or a call is running. Waits for the answers of the strands.
    bool isBusy();
    gang_agent_hooks gangHooks();
    executor_hooks callHooks();

    agent_settings m_settings;
    counter_registry *m_counters;
    std::unique_ptr<worker_port> m_worker;
    std::unique_ptr<runner_port> m_runner;
    std::atomic<bool> m_stopping = false;
    std::unique_ptr<thread_pool> m_pool;
    std::unique_ptr<node_link> m_link;
    std::unique_ptr<gang_member_agent> m_gangs; ///< null: serves no worker
    std::unique_ptr<call_executor> m_calls;     ///< null: serves no runner
    std::unique_ptr<strand> m_gangStrand;
    std::unique_ptr<strand> m_callStrand;
    rpc_server m_http;
};

} // namespace hyssoppond
