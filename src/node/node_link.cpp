/// @file Transport, membership and configuration of one process.
#include "hyssoppond/node/node_link_base.h"

#include <absl/random/random.h>
#include <absl/time/clock.h>

#include <utility>

namespace hyssoppond {

namespace {

constexpr std::size_t MaxQueuedTasks = 20'000;
/// Agents of each zone that get an accepted configuration at once; gossip reaches the others.
constexpr std::size_t PushedAgentsPerZone = 2;

environment realEnvironment()
{
    return {[] { return absl::Now(); },
            [] {
                thread_local absl::BitGen generator;
                return absl::Uniform<std::uint64_t>(generator);
            }};
}

transport_settings transportSettings(const endpoint &self)
{
    transport_settings values;
    values.listen = self.control;
    values.self = self.agent;
    values.incarnation = self.incarnation;
    return values;
}

} // namespace

node_link::node_link(node_link_settings settings, node_link_hooks hooks, thread_pool *pool,
                     counter_registry *counters)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_counters(counters)
    , m_membership(membership_settings(), membershipHooks())
    , m_gossip(realEnvironment(), &m_config, gossipHooks())
    , m_members(
          "members", pool, MaxQueuedTasks, [this] { m_membership.tick(); },
          [this] { return m_membership.nextDeadline(); })
    , m_gossiping(
          "config", pool, MaxQueuedTasks, [this] { m_gossip.tick(); },
          [this] { return m_gossip.nextDeadline(); })
{
    m_config.onChange = [this](const journal::config_item &item) {
        // Changes of different keys arrive in any order; the gauge must not show an older one.
        m_counters->set("config_version", static_cast<double>(m_config.highest()));
        if (m_hooks.onConfig)
            m_hooks.onConfig(item);
    };
    transport_hooks receive;
    receive.onFrame[static_cast<std::size_t>(channel::Gang)] = m_hooks.onGang;
    receive.onFrame[static_cast<std::size_t>(channel::Call)] = m_hooks.onCall;
    receive.onFrame[static_cast<std::size_t>(channel::Membership)] = [this](const frame &got) {
        const auto message = decodeMembership(got.payload);
        if (!message)
            return m_counters->count(disposition::Dropped, message.error().why);
        const peer from {got.sender, got.senderIncarnation, got.senderAddress};
        m_members.post([this, from, what = *message] { m_membership.receive(from, what); });
    };
    receive.onFrame[static_cast<std::size_t>(channel::Config)] = [this](const frame &got) {
        auto message = journal::decodeConfig(got.payload);
        if (!message)
            return m_counters->count(disposition::Dropped, message.error().why);
        m_gossiping.post([this, from = got.sender, what = std::move(*message)] {
            m_gossip.receive(from, what);
        });
    };
    receive.zoneOf = [this](const address &where) { return m_addresses.zoneOf(where); };
    receive.ownZone = m_settings.self.zone;
    receive.counters = counters;
    m_transport = std::make_unique<transport>(transportSettings(m_settings.self), receive);
}

node_link::~node_link()
{
    stop(absl::InfinitePast());
}

environment node_link::env() const
{
    return realEnvironment();
}

membership_hooks node_link::membershipHooks()
{
    membership_hooks hooks;
    hooks.env = realEnvironment();
    hooks.send = [this](const peer &to, const membership_message &what) {
        frame out;
        out.addressee = to.process;
        out.addresseeIncarnation = to.incarnation;
        out.protocol = channel::Membership;
        out.payload = encode(what);
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
    hooks.send = [this](const process_id &to, const journal::config_message &what) {
        send(to, channel::Config, journal::encode(what));
    };
    hooks.randomPeers = [this](std::size_t count) { return m_addresses.random(count); };
    hooks.pushPeers = [this] { return m_addresses.entriesAndSome(PushedAgentsPerZone); };
    hooks.count = [this](disposition what, reason why) { m_counters->count(what, why); };
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
    m_members.start();
    m_gossiping.start();
    return {};
}

void node_link::leave()
{
    m_members.post([this] { m_membership.leave(); });
}

void node_link::stop(absl::Time deadline)
{
    m_transport->stop(deadline);
    m_members.stop();
    m_gossiping.stop();
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
    m_transport->send(row->where, std::move(out));
}

void node_link::publishConfig(const journal::config_item &item, bool isLocal)
{
    m_gossiping.post([this, item, isLocal] { m_gossip.publish(item, isLocal); });
}

void node_link::withMembers(std::function<void(const std::vector<member_view> &)> visit)
{
    m_members.post([this, visit = std::move(visit)] { visit(m_membership.members()); });
}

} // namespace hyssoppond
