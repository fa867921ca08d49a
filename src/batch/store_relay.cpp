/// @file Implementation of the relay.
#include "hyssoppond/batch/store_relay_base.h"

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// The store answers within 4 ms, and within 240 ms where it is slow; later a peer is asked too.
constexpr absl::Duration HedgeAfter = absl::Milliseconds(300);

/// A read whose records are known to exist is overdue after this; covers a slow way.
constexpr absl::Duration ExpectedWithin = absl::Milliseconds(120);

/// Time for a peer's answer besides the wait of a read: two ways and the store's answer.
constexpr absl::Duration PeerAnswer = absl::Milliseconds(250);

/// Longest wait of a relayed read; its answer may be lost, which costs that time.
constexpr absl::Duration LongestRelayedWait = absl::Milliseconds(700);

/// Peers that are asked for one call.
constexpr unsigned MostTries = 4;

/// Between two direct calls while the direct way does not answer.
constexpr absl::Duration ProbeInterval = absl::Milliseconds(1000);

/// Calls that are served for peers at once; bounds memory.
constexpr std::size_t MostServed = 64;

/// Bytes of a reply besides its records, and of a record besides its key and value.
constexpr std::size_t ReplyOverhead = 128;
constexpr std::size_t RecordOverhead = 32;

/// The store has said what became of the call.
bool isSettled(store_outcome outcome)
{
    return outcome != store_outcome::Unknown && outcome != store_outcome::Refused;
}

std::size_t sizeOf(const stored_record &record)
{
    return record.key.size() + record.value.size() + RecordOverhead;
}

std::size_t sizeOf(const append_request &request)
{
    std::size_t bytes = ReplyOverhead;
    for (const stored_record &one : request.records)
        bytes += sizeOf(one);
    return bytes;
}

/// Drops records from the end until the rest fits into a message.
void truncate(read_answer *answer)
{
    std::size_t bytes = ReplyOverhead;
    std::size_t kept = 0;
    for (; kept < answer->records.size(); ++kept) {
        bytes += sizeOf(answer->records[kept]);
        if (bytes > MaxPeerMessageBytes)
            break;
    }
    if (kept == 0 && !answer->records.empty())
        answer->outcome = store_outcome::Refused;
    answer->records.resize(kept);
}

std::uint32_t toMs(absl::Duration duration)
{
    return static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, absl::ToInt64Milliseconds(duration)));
}

} // namespace

store_relay::store_relay(std::string ownAddress, store_port *direct, loop_hooks hooks)
    : m_ownAddress(std::move(ownAddress))
    , m_direct(direct)
    , m_hooks(std::move(hooks))
    , m_nextId(m_hooks.random())
{ }

store_port store_relay::port()
{
    store_port port;
    port.append = [this](append_request request, std::function<void(append_answer)> done) {
        if (!request.producer || sizeOf(request) > MaxPeerMessageBytes) {
            m_direct->append(std::move(request), std::move(done));
            return;
        }
        operation op;
        op.deadline = request.deadline;
        op.append = std::move(request);
        op.appended = std::move(done);
        start(std::move(op));
    };
    port.read = [this](read_request request, std::function<void(read_answer)> done) {
        operation op;
        op.deadline = request.deadline;
        op.read = std::move(request);
        op.gotRecords = std::move(done);
        start(std::move(op));
    };
    port.newest = [this](newest_request request, std::function<void(newest_answer)> done) {
        m_direct->newest(std::move(request), std::move(done));
    };
    port.join = [this](join_request request, std::function<void(join_answer)> done) {
        m_direct->join(std::move(request), std::move(done));
    };
    port.leave = [this](join_request request) { m_direct->leave(std::move(request)); };
    return port;
}

void store_relay::start(operation op)
{
    const absl::Time now = m_hooks.now();
    const std::uint64_t id = m_nextId++;
    const bool alone = !peers || peers().empty();
    const bool direct = !m_directLost || now >= m_probeAt || alone;
    if (m_directLost && direct)
        m_probeAt = now + ProbeInterval;
    op.relayAt = m_directLost ? now : now + op.read.wait + HedgeAfter;
    if (op.gotRecords && op.read.from < m_expectedEnds[op.read.topic])
        op.relayAt = std::min(op.relayAt, now + ExpectedWithin);
    op.directPending = direct;
    op.firstPeer = static_cast<std::size_t>(m_hooks.random());
    const operation &started = m_operations.emplace(id, std::move(op)).first->second;
    const bool relayNow = started.relayAt <= now;
    if (direct)
        sendDirect(id, started);
    if (relayNow)
        tryPeer(id);
}

void store_relay::sendDirect(std::uint64_t id, const operation &op)
{
    if (op.appended) {
        m_direct->append(op.append, [this, id](const append_answer &answer) {
            if (isSettled(answer.outcome))
                setDirectLost(false);
            if (isSettled(answer.outcome) && m_operations.contains(id))
                finish(id, answer, {});
            else
                onDirectOutcome(id, answer.outcome);
        });
        return;
    }
    m_direct->read(op.read, [this, id](read_answer answer) {
        if (isSettled(answer.outcome))
            setDirectLost(false);
        if (isSettled(answer.outcome) && m_operations.contains(id))
            finish(id, {}, std::move(answer));
        else
            onDirectOutcome(id, answer.outcome);
    });
}

void store_relay::onDirectOutcome(std::uint64_t id, store_outcome outcome)
{
    if (isSettled(outcome))
        return; // a peer was faster
    setDirectLost(true);
    const auto found = m_operations.find(id);
    if (found == m_operations.end())
        return;
    found->second.directPending = false;
    found->second.mayHaveRun = found->second.mayHaveRun || outcome == store_outcome::Unknown;
    if (!found->second.relayPending)
        tryPeer(id);
}

void store_relay::tryPeer(std::uint64_t id)
{
    operation &op = m_operations.at(id);
    const absl::Time now = m_hooks.now();
    // A try without an answer may have been carried out.
    op.mayHaveRun = op.mayHaveRun || op.relayPending;
    op.relayPending = false;
    op.relayAt = absl::InfiniteFuture();
    const std::vector<std::string> known = peers ? peers() : std::vector<std::string>();
    if (known.empty() || op.tries >= std::min<std::size_t>(MostTries, known.size())
        || now >= op.deadline) {
        settle(id);
        return;
    }
    const std::string &peer = known[(op.firstPeer + op.tries) % known.size()];
    ++op.tries;
    op.relayPending = true;
    const absl::Duration wait = std::min(op.read.wait, LongestRelayedWait);
    op.relayAt = now + (op.appended ? absl::ZeroDuration() : wait) + PeerAnswer;
    if (op.appended)
        send(peer,
             encodePeerMessage(relayed_append {id, m_ownAddress, op.append.topic, op.append.records,
                                               *op.append.producer, toMs(PeerAnswer)}));
    else
        send(peer,
             encodePeerMessage(relayed_read {id, m_ownAddress, op.read.topic, op.read.from,
                                             toMs(wait), toMs(PeerAnswer)}));
}

void store_relay::onRelayOutcome(std::uint64_t id, store_outcome outcome)
{
    operation &op = m_operations.at(id);
    op.relayPending = false;
    op.mayHaveRun = op.mayHaveRun || outcome == store_outcome::Unknown;
    tryPeer(id);
}

void store_relay::settle(std::uint64_t id)
{
    const operation &op = m_operations.at(id);
    if (op.directPending || op.relayPending)
        return;
    const store_outcome outcome = op.mayHaveRun ? store_outcome::Unknown : store_outcome::Refused;
    append_answer appended;
    appended.outcome = outcome;
    read_answer records;
    records.outcome = outcome;
    finish(id, appended, std::move(records));
}

void store_relay::finish(std::uint64_t id, append_answer appended, read_answer records)
{
    auto node = m_operations.extract(id);
    if (node.mapped().appended)
        node.mapped().appended(appended);
    else
        node.mapped().gotRecords(std::move(records));
}

void store_relay::setDirectLost(bool lost)
{
    if (m_directLost == lost)
        return;
    m_directLost = lost;
    m_probeAt = m_hooks.now() + ProbeInterval;
    if (onDirect)
        onDirect(!lost);
}

void store_relay::expectRecords(const std::string &topic, std::uint64_t end)
{
    m_expectedEnds[topic] = std::max(m_expectedEnds[topic], end);
    for (auto &[id, op] : m_operations) {
        if (op.gotRecords && op.read.topic == topic && op.read.from < end && op.tries == 0)
            op.relayAt = std::min(op.relayAt, m_hooks.now() + ExpectedWithin);
    }
}

void store_relay::tick()
{
    const absl::Time now = m_hooks.now();
    std::vector<std::uint64_t> due;
    for (const auto &[id, op] : m_operations) {
        if (op.relayAt <= now || op.deadline <= now)
            due.push_back(id);
    }
    for (const std::uint64_t id : due) {
        const auto found = m_operations.find(id);
        if (found == m_operations.end())
            continue;
        operation &op = found->second;
        if (op.deadline <= now) {
            op.mayHaveRun = op.mayHaveRun || op.directPending || op.relayPending;
            op.directPending = false;
            op.relayPending = false;
            settle(id);
        } else {
            tryPeer(id);
        }
    }
}

absl::Time store_relay::nextDeadline() const
{
    absl::Time next = absl::InfiniteFuture();
    for (const auto &[id, op] : m_operations)
        next = std::min({next, op.relayAt, op.deadline});
    return next;
}

void store_relay::receive(const peer_message &message)
{
    if (const auto *append = std::get_if<relayed_append>(&message)) {
        serve(*append);
    } else if (const auto *read = std::get_if<relayed_read>(&message)) {
        serve(*read);
    } else if (const auto *appended = std::get_if<relayed_append_reply>(&message)) {
        const auto found = m_operations.find(appended->id);
        if (found == m_operations.end() || !found->second.appended)
            return; // answered by another way, or late
        if (!isSettled(appended->answer.outcome)) {
            onRelayOutcome(appended->id, appended->answer.outcome);
            return;
        }
        ++m_relayed;
        setDirectLost(true);
        finish(appended->id, appended->answer, {});
    } else if (const auto *records = std::get_if<relayed_read_reply>(&message)) {
        const auto found = m_operations.find(records->id);
        if (found == m_operations.end() || !found->second.gotRecords)
            return;
        if (!isSettled(records->answer.outcome)) {
            onRelayOutcome(records->id, records->answer.outcome);
            return;
        }
        ++m_relayed;
        setDirectLost(true);
        finish(records->id, {}, records->answer);
    }
}

void store_relay::reply(const std::string &address, const peer_message &message) const
{
    send(address, encodePeerMessage(message));
}

void store_relay::serve(const relayed_append &call)
{
    relayed_append_reply answer {call.id, {}};
    if (m_directLost || m_serving >= MostServed) {
        answer.answer.outcome = store_outcome::Refused;
        reply(call.replyTo, answer);
        return;
    }
    append_request request;
    request.topic = call.topic;
    request.records = call.records;
    request.producer = call.producer;
    request.deadline = m_hooks.now() + absl::Milliseconds(call.answerWithinMs);
    ++m_serving;
    m_direct->append(std::move(request),
                     [this, to = call.replyTo, answer](const append_answer &got) mutable {
                         --m_serving;
                         answer.answer = got;
                         reply(to, answer);
                     });
}

void store_relay::serve(const relayed_read &call)
{
    relayed_read_reply answer {call.id, {}};
    if (m_directLost || m_serving >= MostServed) {
        answer.answer.outcome = store_outcome::Refused;
        reply(call.replyTo, answer);
        return;
    }
    read_request request;
    request.topic = call.topic;
    request.from = call.from;
    request.wait = std::min(absl::Milliseconds(call.waitMs), LongestRelayedWait);
    request.deadline = m_hooks.now() + request.wait + absl::Milliseconds(call.answerWithinMs);
    ++m_serving;
    m_direct->read(std::move(request), [this, to = call.replyTo, answer](read_answer got) mutable {
        --m_serving;
        truncate(&got);
        answer.answer = std::move(got);
        reply(to, answer);
    });
}

} // namespace hyssoppond::batch
