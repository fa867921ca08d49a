/// @file Transport, membership and configuration of one process.
#include "hyssoppond/node/node_link_base.h"

#include "hyssoppond/base/process_clock_base.h"

#include <absl/random/random.h>

#include <utility>

namespace hyssoppond {

namespace {

/// Limit of each strand.
constexpr std::size_t MaxQueuedTasks = 20'000;
/// Agents of each zone to which an accepted configuration change is pushed at once. The others
/// receive it by gossip.
constexpr std::size_t PushedAgentsPerZone = 2;

/// System clock and a random generator for each thread.
environment systemEnvironment()
{
    return {[] { return processNow(); },
            [] {
                thread_local absl::BitGen generator;
                return absl::Uniform<std::uint64_t>(generator);
            }};
}

transport_settings transportSettings(const endpoint &self, const client_settings &clients)
{
    transport_settings values;
    values.listen = self.control;
    values.self = self.agent;
    values.incarnation = self.incarnation;
    values.maxConnections = clients.peerConnections;
    values.maxConnectionsPerAddress = clients.peerConnectionsPerAddress;
    values.budget = clients.budget;
    return values;
}

} // namespace

node_link::node_link(node_link_settings settings, node_link_hooks hooks, thread_pool *pool,
                     counter_registry *counters)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_counters(counters)
    , m_membership(membership_settings(), membershipHooks())
    , m_gossip(systemEnvironment(), &m_config, gossipHooks())
    , m_membershipStrand(
          "members", pool, MaxQueuedTasks, [this] { m_membership.tick(); },
          [this] { return m_membership.nextDeadline(); })
    , m_gossipStrand(
          "config", pool, MaxQueuedTasks, [this] { m_gossip.tick(); },
          [this] { return m_gossip.nextDeadline(); })
{
    m_config.onChange = [this](const journal::config_item &item) {
        // Changes of different keys arrive in any order, so the gauge shows the highest version and
        // not that of this change.
        m_counters->set("config_version", static_cast<double>(m_config.highest()));
        if (m_hooks.onConfig)
            m_hooks.onConfig(item);
    };
    transport_hooks receive;
    receive.onFrame[static_cast<std::size_t>(channel::Gang)] = m_hooks.onGang;
    receive.onFrame[static_cast<std::size_t>(channel::Call)] = m_hooks.onCall;
    receive.onFrame[static_cast<std::size_t>(channel::Membership)] = [this](const frame &received) {
        const auto message = decodeMembership(received.payload);
        if (!message)
            return m_counters->count(disposition::Dropped, message.error().why);
        const peer from {received.sender, received.senderIncarnation, received.senderAddress};
        m_membershipStrand.post(
            [this, from, content = *message] { m_membership.receive(from, content); });
    };
    receive.onFrame[static_cast<std::size_t>(channel::Config)] = [this](const frame &received) {
        auto message = journal::decodeConfig(received.payload);
        if (!message)
            return m_counters->count(disposition::Dropped, message.error().why);
        m_gossipStrand.post([this, from = received.sender, content = std::move(*message)] {
            m_gossip.receive(from, content);
        });
    };
    receive.zoneOf = [this](const address &where) { return m_addresses.zoneOf(where); };
    receive.ownZone = m_settings.self.zone;
    receive.counters = counters;
    m_transport = std::make_unique<transport>(
        transportSettings(m_settings.self, m_settings.clients), receive);
}

node_link::~node_link()
{
    stop(absl::InfinitePast());
}

environment node_link::env() const
{
    return systemEnvironment();
}

membership_hooks node_link::membershipHooks()
{
    membership_hooks hooks;
    hooks.env = systemEnvironment();
    hooks.send = [this](const peer &to, const membership_message &message) {
        frame out;
        out.addressee = to.process;
        out.addresseeIncarnation = to.incarnation;
        out.protocol = channel::Membership;
        out.payload = encode(message);
        m_transport->send(to.where, std::move(out));
    };
    hooks.onChange = [this](const member_view &member) { onMemberChange(member); };
    hooks.onStale = [this](bool stale) {
        if (m_hooks.onStale)
            m_hooks.onStale(stale);
    };
    return hooks;
}

journal::gossip_hooks node_link::gossipHooks()
{
    journal::gossip_hooks hooks;
    hooks.send = [this](const process_id &to, const journal::config_message &message) {
        send(to, channel::Config, journal::encode(message));
    };
    hooks.randomPeers = [this](std::size_t count) { return m_addresses.random(count); };
    hooks.pushPeers = [this] { return m_addresses.entriesAndAgentsPerZone(PushedAgentsPerZone); };
    hooks.count = [this](disposition outcome, reason why) { m_counters->count(outcome, why); };
    return hooks;
}

void node_link::onMemberChange(const member_view &member)
{
    if (member.state == member_state::Dead)
        m_addresses.erase(member.process);
    else
        m_addresses.set(member.process,
                        {member.where(), member.incarnation, member.role(), member.zone()});
    if (m_hooks.onMember)
        m_hooks.onMember(member);
}

result<void> node_link::start()
{
    auto opened = m_transport->start();
    if (!opened)
        return opened;
    m_settings.self.control = m_transport->localAddress();
    auto joined = m_membership.start(m_settings.self, m_settings.role, m_settings.seeds);
    if (!joined)
        return joined;
    m_membershipStrand.start();
    m_gossipStrand.start();
    return {};
}

void node_link::leave()
{
    m_membershipStrand.post([this] { m_membership.leave(); });
}

void node_link::stop(absl::Time deadline)
{
    m_transport->stop(deadline);
    m_membershipStrand.stop();
    m_gossipStrand.stop();
}

void node_link::send(const process_id &to, channel protocol, std::string payload)
{
    const auto row = m_addresses.find(to);
    if (!row)
        return m_counters->count(disposition::Dropped, reason::UnknownEndpoint);
    frame out;
    out.addressee = to;
    out.protocol = protocol;
    out.payload = std::move(payload);
    m_transport->send(row->controlAddress, std::move(out));
}

void node_link::publishConfig(const journal::config_item &item, bool isLocal)
{
    m_gossipStrand.post([this, item, isLocal] { m_gossip.publish(item, isLocal); });
}

void node_link::withMembers(std::function<void(const std::vector<member_view> &)> visit)
{
    m_membershipStrand.post([this, visit = std::move(visit)] { visit(m_membership.members()); });
}

} // namespace hyssoppond
