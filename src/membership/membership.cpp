/// @file Start, timers and message dispatch of the membership.
#include "membership_state.h"

#include <algorithm>

namespace hyssoppond {
namespace {

bool isValidName(const std::string &text)
{
    return !text.empty() && text.size() <= MaxMemberNameBytes;
}

} // namespace

void membership::state::run()
{
    checkPause();
    lastTick = now();
    expire();
    if (probe && !probe->indirectSent && probe->indirectAt <= now()) {
        probe->indirectSent = true;
        if (const member_entry *entry = table.find(probe->process);
            entry != nullptr && entry->latest.announcement)
            sendIndirect(*entry, probe->sequence);
    }
    if (nextPeriod <= now()) {
        nextPeriod = now() + settings.period;
        startPeriod();
    }
    if (nextView <= now()) {
        // A random delay of 0.5 to 1.5 intervals desynchronizes processes started together.
        nextView = now() + viewDelay * (0.5 + static_cast<double>(randomBelow(1000)) / 1000);
        viewDelay = std::min(viewDelay * 2, settings.viewInterval);
        exchangeView();
    }
    if (nextDeadRetry <= now()) {
        nextDeadRetry = now() + settings.deadRetryInterval;
        retryDead();
    }
    if (nextJoin <= now())
        requestBuckets();
    if (forwardAt <= now())
        forward();
    repeatNotices();
}

absl::Time membership::state::nextDue() const
{
    absl::Time due = std::min({nextPeriod, nextView, nextDeadRetry, nextJoin, forwardAt});
    if (probe && !probe->indirectSent)
        due = std::min(due, probe->indirectAt);
    if (!deadlines.empty())
        due = std::min(due, deadlines.begin()->first);
    for (const auto &[sequence, notice] : notices)
        due = std::min(due, notice.nextAt);
    return due;
}

// After a pause of this process or a step of the clock, missing answers are no evidence of failure:
// all suspicions start again, and peers are pinged at once. Answers to messages sent before the
// pause do not end the stale state.
void membership::state::checkPause()
{
    const absl::Duration gap = now() - lastTick;
    if (!settings.mechanisms.pauseCheck || (gap <= suspicionTimeout() && gap >= -settings.period))
        return;
    lastTick = now();
    probe.reset();
    relays.clear();
    nextPeriod = nextView = nextDeadRetry = now();
    if (nextJoin != absl::InfiniteFuture())
        nextJoin = now();
    lastForward = absl::InfinitePast();
    for (member_entry *entry : table.all()) {
        if (entry->latest.state == liveness::Suspect)
            startSuspicion(*entry, false);
        else if (entry->deadline != absl::InfiniteFuture())
            setDeadline(*entry, now() + settings.deadRetention);
    }
    ownSuspects.clear();
    staleSequence = nextSequence;
    if (settings.mechanisms.refutation)
        ++self.counter;
    disseminate(self, true);
    if (table.reachable() == 0 || stale)
        return;
    stale = true;
    if (hooks.onStale)
        hooks.onStale(true);
    for (std::uint32_t i = 0; i < settings.forwardFanout; ++i) {
        if (const member_entry *member = chooseAny())
            sendPing(member->asPeer(), nextSequence++);
    }
}

void membership::state::dispatch(const peer &from, const membership_message &message)
{
    const member_entry *known = table.find(from.process);
    if (from.process.isEmpty() || from.process == self.process
        || (known != nullptr && settings.mechanisms.incarnationCheck
            && from.incarnation < known->latest.incarnation))
        return;
    currentSender = from.process;
    suppressGossip = message.kind == membership_kind::BucketData;
    for (const member_event &event : message.events)
        apply(event);
    suppressGossip = false;
    currentSender = process_id();
    if (message.config != config && hooks.onConfigDigest)
        hooks.onConfigDigest(from, message.config);
    if (message.announce && message.kind != membership_kind::BucketRequest) {
        membership_message introduction;
        introduction.kind = membership_kind::Gossip;
        introduction.events.push_back(self);
        send(from, std::move(introduction));
    }
    switch (message.kind) {
    case membership_kind::Ping:
        return onPing(from, message);
    case membership_kind::Ack:
        return onAck(from, message);
    case membership_kind::PingRequest:
        return onPingRequest(from, message);
    case membership_kind::Notice:
        return sendAck(from, message.sequence);
    case membership_kind::ViewDigest:
        return onViewDigest(from, message);
    case membership_kind::BucketRequest:
        return onBucketRequest(from, message);
    case membership_kind::BucketData:
        return onBucketData(message);
    case membership_kind::Gossip:
        return;
    }
}

void membership::state::onAck(const peer &from, const membership_message &message)
{
    if (stale && message.sequence >= staleSequence) {
        stale = false;
        if (hooks.onStale)
            hooks.onStale(false);
    }
    notices.erase(message.sequence);
    const bool relayed = !message.target.process.isEmpty();
    const process_id &process = relayed ? message.target.process : from.process;
    const incarnation_number incarnation = relayed ? message.target.incarnation : from.incarnation;
    if (probe && probe->sequence == message.sequence && probe->process == process
        && (probe->incarnation == incarnation || !settings.mechanisms.incarnationCheck))
        probe.reset();
    const auto it = relays.find(message.sequence);
    if (it == relays.end() || relayed)
        return;
    const relay_state relay = it->second;
    relays.erase(it);
    membership_message ack;
    ack.kind = membership_kind::Ack;
    ack.sequence = relay.originSequence;
    ack.target = from;
    // Forwards a refutation that the target sent with its answer to the member that probes it.
    for (const member_event &event : message.events) {
        if (event.process == from.process)
            ack.events.push_back(event);
    }
    send(relay.origin, std::move(ack));
}

void membership::state::leave()
{
    if (self.leaving || !started)
        return;
    self.leaving = true;
    disseminate(self, true);
    member_event departure = self;
    departure.announcement = nullptr;
    announceDeparture(departure);
}

membership::membership(membership_settings settings, membership_hooks hooks)
    : m_state(std::make_unique<state>())
{
    m_state->settings = settings;
    m_state->hooks = std::move(hooks);
}

membership::~membership() = default;

result<void> membership::start(const endpoint &self, process_role role,
                               const std::vector<address> &seeds)
{
    for (const std::string *name : {&self.agent.str(), &self.control.host, &self.zone.str()}) {
        if (!isValidName(*name))
            return fail(reason::InvalidArgument,
                        "process id, address and zone must have 1 to 40 bytes: '" + *name + "'");
    }
    for (const std::string *name : {&self.servedWorker.id.str(), &self.servedWorker.rack.str(),
                                    &self.servedWorker.zone.str(), &self.servedRunner.id.str()}) {
        if (name->size() > MaxMemberNameBytes)
            return fail(reason::InvalidArgument,
                        "names of worker, rack, worker zone and runner must have at most 40 bytes: "
                            + *name);
    }
    if (self.incarnation == 0)
        return fail(reason::InvalidArgument, "incarnation must be the start time, not 0");
    state &internal = *m_state;
    auto announcement = std::make_shared<member_announcement>();
    announcement->self = self;
    announcement->role = role;
    internal.self = {self.agent, self.incarnation, 0, false, liveness::Alive, announcement};
    addSeeds(seeds);
    internal.started = true;
    internal.lastTick = internal.nextJoin = internal.now();
    internal.rescanUntil = internal.now() + internal.settings.rescanWindow;
    internal.nextPeriod = internal.now()
        + internal.settings.period * (static_cast<double>(internal.randomBelow(1000)) / 1000);
    // The members that answer the request for the whole view may have just started themselves, so
    // that their answers are incomplete. Early exchanges of digests fetch the missing members.
    internal.viewDelay = internal.settings.catchUpInterval;
    internal.nextView = internal.now() + internal.viewDelay;
    internal.nextDeadRetry = internal.now() + internal.settings.deadRetryInterval;
    internal.disseminate(internal.self, true);
    return {};
}

void membership::addSeeds(const std::vector<address> &seeds)
{
    for (const address &seed : seeds) {
        const bool isSelf
            = m_state->self.announcement && seed == m_state->self.announcement->self.control;
        if (!isSelf
            && std::find(m_state->seeds.begin(), m_state->seeds.end(), seed)
                == m_state->seeds.end())
            m_state->seeds.push_back(seed);
    }
}

void membership::receive(const peer &from, const membership_message &message)
{
    if (!m_state->started)
        return;
    m_state->checkPause();
    m_state->dispatch(from, message);
}

void membership::tick()
{
    if (m_state->started)
        m_state->run();
}

absl::Time membership::nextDeadline() const
{
    return m_state->started ? m_state->nextDue() : absl::InfiniteFuture();
}

void membership::leave()
{
    m_state->leave();
}

bool membership::isLeaving() const
{
    return m_state->self.leaving;
}

bool membership::isStale() const
{
    return m_state->stale;
}

std::vector<member_view> membership::members() const
{
    std::vector<member_view> all;
    forEach([&all](const member_view &member) { all.push_back(member); });
    return all;
}

void membership::forEach(const std::function<void(const member_view &)> &visit) const
{
    for (const member_entry *entry : m_state->table.all()) {
        if (entry->latest.announcement)
            visit(entry->view());
    }
}

result<member_view> membership::find(const process_id &process) const
{
    const member_entry *entry = std::as_const(m_state->table).find(process);
    if (entry == nullptr || !entry->latest.announcement)
        return fail(reason::UnknownEndpoint,
                    "member '" + process.str()
                        + "' is not known; list the nodes to see all members");
    return entry->view();
}

std::size_t membership::reachableMembers() const
{
    return m_state->table.reachable();
}

void membership::setConfigDigest(config_digest digest)
{
    m_state->config = digest;
}

absl::Duration membership::suspicionTimeout() const
{
    return m_state->suspicionTimeout();
}

std::size_t membership::memoryBytes() const
{
    return m_state->table.bytes();
}

} // namespace hyssoppond
