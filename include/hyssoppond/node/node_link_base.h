/// @file Transport, membership and configuration, which every process needs.
#pragma once

#include "hyssoppond/base/counters_base.h"
#include "hyssoppond/base/strand_base.h"
#include "hyssoppond/journal/config_gossip_base.h"
#include "hyssoppond/membership/membership_base.h"
#include "hyssoppond/transport/transport_base.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppond {

/// Limits of what clients make a process hold.
struct client_settings
{
    client_budget *budget = nullptr; ///< null: no limit of the total; must outlive the process
    unsigned rpcConnections = 1000;
    std::size_t peerConnections = 1024;          ///< in each direction
    std::size_t peerConnectionsPerAddress = 256; ///< incoming
};

/// Settings of a node_link.
struct node_link_settings
{
    endpoint self; ///< the process listens at its control address
    process_role role = process_role::Entry;
    std::vector<address> seeds; ///< control addresses of processes to join through
    client_settings clients = {};
};

/// Callbacks through which an entry or an agent handles received frames and changes. Called on
/// threads of the pool.
struct node_link_hooks
{
    std::function<void(const frame &)> onGang;
    std::function<void(const frame &)> onCall;
    std::function<void(const member_view &)> onMember;
    std::function<void(const journal::config_item &)> onConfig;
    std::function<void(bool stale)> onStale;
};

/// Control addresses of the live processes. Thread-safe.
class address_book
{
public:
    struct row
    {
        address controlAddress;
        incarnation_number incarnation = 0;
        process_role role = process_role::Agent;
        zone_id zone;
    };

    void set(const process_id &process, row value);
    void erase(const process_id &process);
    std::optional<row> find(const process_id &process) const;
    /// Zone of the process with this control address; empty if it is not known.
    zone_id zoneOf(const address &controlAddress) const;
    /// Up to `count` different processes, chosen at random.
    std::vector<process_id> random(std::size_t count) const;
    /// All processes with the role Entry, and up to `agentsPerZone` agents of each zone.
    std::vector<process_id> entriesAndAgentsPerZone(std::size_t agentsPerZone) const;

private:
    mutable absl::Mutex m_mutex;
    std::map<process_id, row> m_rows ABSL_GUARDED_BY(m_mutex);
    std::map<address, zone_id> m_zones ABSL_GUARDED_BY(m_mutex);
};

/// Connects a process to the other processes. start() and stop() are called from the same thread;
/// the other functions are thread-safe.
class node_link
{
public:
    node_link(node_link_settings settings, node_link_hooks hooks, thread_pool *pool,
              counter_registry *counters);
    ~node_link();
    node_link(const node_link &) = delete;
    node_link &operator=(const node_link &) = delete;

    /// Opens the sockets and joins the membership. Error: the address cannot be used.
    result<void> start();
    /// Announces the departure. The process continues to answer until stop().
    void leave();
    /// Sends the queued frames until `deadline`, then closes the sockets.
    void stop(absl::Time deadline);

    /// Sends `payload` to a process. It is dropped and counted as UnknownEndpoint if the address of
    /// the process is not known.
    void send(const process_id &to, channel protocol, std::string payload);
    /// Merges a configuration change read from the journal. `isLocal`: this process accepted the
    /// change, so it also sends it to all entries and some agents at once.
    void publishConfig(const journal::config_item &item, bool isLocal);
    const endpoint &self() const { return m_settings.self; }
    const address_book &addresses() const { return m_addresses; }
    environment env() const;
    /// Runs `visit` with all members, on a thread of the pool.
    void withMembers(std::function<void(const std::vector<member_view> &)> visit);

private:
    void onMemberChange(const member_view &member);
    membership_hooks membershipHooks();
    journal::gossip_hooks gossipHooks();

    node_link_settings m_settings;
    node_link_hooks m_hooks;
    counter_registry *m_counters;
    address_book m_addresses;
    std::unique_ptr<transport> m_transport;
    membership m_membership;
    journal::config_store m_config;
    journal::config_gossip m_gossip;
    strand m_membershipStrand; ///< runs m_membership
    strand m_gossipStrand;     ///< runs m_gossip and m_config
};

} // namespace hyssoppond
