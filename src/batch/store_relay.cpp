/// @file Implementation of store_relay.
#include "hyssoppond/batch/store_relay_base.h"

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// A peer is asked too after this time or, where the store is slow for all, after a multiple of the
/// time that it took lately. The store answers within 4 ms, or 300 ms where it is slow.
constexpr absl::Duration HedgeDelay = absl::Milliseconds(300);
constexpr double HedgeDelayFactor = 2.0;

/// Longest such time, so that a peer can still answer before the deadlines of the calls, about 1 s.
constexpr absl::Duration MaxHedgeDelay = absl::Milliseconds(700);

/// Share by which the time that the store took lately approaches that of a faster answer.
constexpr double AnswerTimeDecay = 0.1;

/// A read whose records are known to exist is overdue after this time; covers a slow network.
constexpr absl::Duration ExpectedRecordDelay = absl::Milliseconds(120);

/// Time limit for a peer's answer, added to the wait of a read. Covers the messages in both
/// directions and the store's answer.
constexpr absl::Duration PeerAnswerTimeout = absl::Milliseconds(250);

/// A store that took longer than this to answer is slow for all, and counts as slow for the
/// following time. Peers could not answer in time either.
constexpr absl::Duration SlowAnswerTime = absl::Milliseconds(200);
constexpr absl::Duration SlowAnswerMemory = absl::Seconds(2);

/// Longest wait of a relayed read. Its answer may be lost, which costs this time.
constexpr absl::Duration MaxRelayedWait = absl::Milliseconds(700);

/// Number of peers that are asked for one call.
constexpr unsigned MaxPeerTries = 4;

/// Mean interval between two direct calls while the store does not answer directly.
constexpr absl::Duration ProbeInterval = absl::Milliseconds(1000);

/// Topics whose refusals are remembered; messages of peers may name any.
constexpr std::size_t MaxRefusedTopics = 16;

/// First and longest pause without calls through peers after peers have failed too.
constexpr absl::Duration FirstRelayPause = absl::Milliseconds(200);
constexpr absl::Duration MaxRelayPause = absl::Seconds(2);

/// Budget of the appends by peers that get no answer: one for ten calls that the store answered.
retry_settings peerTrySettings()
{
    retry_settings settings;
    settings.perRequest = 0.1;
    settings.initialRetries = MaxPeerTries;
    settings.maxSavedRetries = settings.initialRetries;
    return settings;
}

/// Calls of peers that are served at the same time; bounds memory.
constexpr std::size_t MaxServedCalls = 64;

/// Longest time for which a peer's call, without its wait, is served. Calls of this version ask for
/// PeerAnswerTimeout.
constexpr absl::Duration MaxServedTime = absl::Milliseconds(1000);

/// Bytes of a reply besides its records, and of a record besides its key and value.
constexpr std::size_t ReplyOverhead = 128;
constexpr std::size_t RecordOverhead = 32;

/// The store has answered with a final outcome.
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
    for (const stored_record &storedRecord : request.records)
        bytes += sizeOf(storedRecord);
    return bytes;
}

/// Drops records from the end until the rest fits into a message. If not even the first one fits,
/// the outcome becomes Refused.
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

/// Spreads the repetitions of processes that met the same failure.
absl::Duration jittered(absl::Duration pause, std::uint64_t random)
{
    return pause * (0.75 + 0.5 * static_cast<double>(random % 1'000) / 1'000.0);
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
    , m_peerTries(peerTrySettings())
{ }

store_port store_relay::port()
{
    store_port port;
    port.append = [this](append_request request, std::function<void(append_answer)> done) {
        if (!request.producer || sizeOf(request) > MaxPeerMessageBytes) {
            m_direct->append(request,
                             [this, topic = request.topic, sentAt = m_hooks.now(),
                              done = std::move(done)](const append_answer &answer) {
                                 noteTry(store_call::Append, topic, store_way::Direct,
                                         answer.outcome, sentAt);
                                 done(answer);
                             });
            return;
        }
        operation op;
        op.deadline = request.deadline;
        op.append = std::move(request);
        op.onAppended = std::move(done);
        start(std::move(op));
    };
    port.read = [this](read_request request, std::function<void(read_answer)> done) {
        operation op;
        op.deadline = request.deadline;
        op.read = std::move(request);
        op.onRead = std::move(done);
        start(std::move(op));
    };
    port.newest = [this](const newest_request &request, std::function<void(newest_answer)> done) {
        m_direct->newest(request,
                         [this, topic = request.topic, sentAt = m_hooks.now(),
                          done = std::move(done)](newest_answer answer) {
                             noteTry(store_call::Newest, topic, store_way::Direct, answer.outcome,
                                     sentAt);
                             done(std::move(answer));
                         });
    };
    port.join = [this](const join_request &request, std::function<void(join_answer)> done) {
        m_direct->join(request,
                       [this, topic = request.topic, sentAt = m_hooks.now(),
                        done = std::move(done)](const join_answer &answer) {
                           noteTry(store_call::Join, topic, store_way::Direct, answer.outcome,
                                   sentAt);
                           done(answer);
                       });
    };
    port.leave = [this](join_request request) { m_direct->leave(std::move(request)); };
    return port;
}

void store_relay::start(operation op)
{
    const absl::Time now = m_hooks.now();
    const std::uint64_t id = m_nextId++;
    const bool noPeers = !peers || peers().empty();
    const bool avoided = isAvoided(op);
    const bool direct = !avoided || now >= probeAtOf(op) || noPeers;
    if (avoided && direct)
        probeAtOf(op) = now + jittered(ProbeInterval, m_hooks.random());
    op.sentAt = now;
    op.relayAt = avoided ? now : now + op.read.wait + hedgeDelay();
    if (op.onRead)
        op.expectedEnd = m_expectedEnds[op.read.topic];
    if (op.read.from < op.expectedEnd)
        op.relayAt = std::min(op.relayAt, now + ExpectedRecordDelay);
    op.directPending = direct;
    op.directTried = direct;
    op.firstPeer = static_cast<std::size_t>(m_hooks.random());
    const operation &started = m_operations.emplace(id, std::move(op)).first->second;
    // A call that cannot be sent at all ends in the next tick, not within the caller's call.
    const bool relayNow = started.relayAt <= now && (direct || mayAskPeer(started));
    if (direct)
        sendDirect(id, started);
    if (relayNow)
        tryPeer(id);
}

bool store_relay::isAvoided(const operation &op) const
{
    return m_directUnreachable || (op.onAppended && m_refusedTopics.contains(op.append.topic));
}

absl::Time &store_relay::probeAtOf(const operation &op)
{
    return m_directUnreachable ? m_probeAt : m_refusedTopics.at(op.append.topic);
}

void store_relay::noteRefused(const std::string &topic)
{
    if (m_refusedTopics.size() < MaxRefusedTopics)
        m_refusedTopics.try_emplace(topic,
                                    m_hooks.now() + jittered(ProbeInterval, m_hooks.random()));
}

bool store_relay::isSlow() const
{
    return m_hooks.now() < m_slowUntil;
}

bool store_relay::mayServe(const std::string &topic)
{
    const auto refused = m_refusedTopics.find(topic);
    if (refused == m_refusedTopics.end())
        return true;
    if (m_hooks.now() < refused->second)
        return false;
    refused->second = m_hooks.now() + jittered(ProbeInterval, m_hooks.random());
    return true;
}

bool store_relay::mayAskPeer(const operation &op)
{
    const absl::Time now = m_hooks.now();
    return op.onRead || (now >= m_relayPausedUntil && m_peerTries.canTake(now));
}

void store_relay::pauseRelay()
{
    m_relayPause = std::clamp(m_relayPause * 2, FirstRelayPause, MaxRelayPause);
    m_relayPausedUntil = m_hooks.now() + jittered(m_relayPause, m_hooks.random());
    m_servingPeer.clear();
}

void store_relay::sendDirect(std::uint64_t id, const operation &op)
{
    if (op.onAppended) {
        m_direct->append(
            op.append,
            [this, id, topic = op.append.topic, sentAt = op.sentAt](const append_answer &answer) {
                noteTry(store_call::Append, topic, store_way::Direct, answer.outcome, sentAt);
                if (isSettled(answer.outcome)) {
                    noteAnswerTime(m_hooks.now() - sentAt);
                    m_refusedTopics.erase(topic);
                    onDirectAnswer();
                } else if (answer.outcome == store_outcome::Refused) {
                    noteRefused(topic);
                } else if (m_answeredAt < sentAt) {
                    setDirectUnreachable(true);
                }
                if (isSettled(answer.outcome) && m_operations.contains(id))
                    finish(id, answer, {});
                else
                    onDirectOutcome(id, answer.outcome);
            });
        return;
    }
    m_direct->read(op.read,
                   [this, id, topic = op.read.topic, expectedEnd = op.expectedEnd,
                    wait = op.read.wait, sentAt = op.sentAt](read_answer answer) {
                       noteTry(store_call::Read, topic, store_way::Direct, answer.outcome, sentAt);
                       if (isSettled(answer.outcome)) {
                           // With records, the store may have answered at any time of the wait.
                           if (answer.records.empty() || wait == absl::ZeroDuration())
                               noteAnswerTime(m_hooks.now() - sentAt - wait);
                           onDirectAnswer();
                       } else if (answer.outcome == store_outcome::Refused
                                  || m_answeredAt < sentAt) {
                           setDirectUnreachable(true);
                       }
                       if (answer.outcome == store_outcome::Ok && answer.end < expectedEnd)
                           forgetExpectation(topic, expectedEnd, answer.end);
                       if (isSettled(answer.outcome) && m_operations.contains(id))
                           finish(id, {}, std::move(answer));
                       else
                           onDirectOutcome(id, answer.outcome);
                   });
}

absl::Duration store_relay::hedgeDelay() const
{
    return std::clamp(m_answerTime * HedgeDelayFactor, HedgeDelay, MaxHedgeDelay);
}

void store_relay::noteAnswerTime(absl::Duration time)
{
    m_answerTime
        = time > m_answerTime ? time : m_answerTime + (time - m_answerTime) * AnswerTimeDecay;
    if (time >= SlowAnswerTime)
        m_slowUntil = m_hooks.now() + SlowAnswerMemory;
}

void store_relay::onDirectAnswer()
{
    m_answeredAt = m_hooks.now();
    m_peerTries.earn();
    setDirectUnreachable(false);
}

void store_relay::onDirectOutcome(std::uint64_t id, store_outcome outcome)
{
    const auto found = m_operations.find(id);
    if (found == m_operations.end() || isSettled(outcome))
        return; // a peer's answer came first
    found->second.directPending = false;
    found->second.mayHaveRun = found->second.mayHaveRun || outcome == store_outcome::Unknown;
    if (!found->second.relayPending)
        tryPeer(id);
}

void store_relay::tryPeer(std::uint64_t id)
{
    operation &op = m_operations.at(id);
    const absl::Time now = m_hooks.now();
    // A peer's call that got no answer may have been carried out.
    if (op.relayPending)
        noteRelayed(op, store_outcome::Unknown);
    op.mayHaveRun = op.mayHaveRun || op.relayPending;
    op.relayPending = false;
    op.relayAt = absl::InfiniteFuture();
    const std::vector<std::string> addresses = peers ? peers() : std::vector<std::string>();
    const bool exhausted = op.peerTries >= std::min<std::size_t>(MaxPeerTries, addresses.size());
    if (addresses.empty() || exhausted || now >= op.deadline || !mayAskPeer(op)) {
        if (op.onAppended && op.peerTries != 0 && now >= m_relayPausedUntil)
            pauseRelay();
        settle(id);
        return;
    }
    const auto serving = std::find(addresses.begin(), addresses.end(), m_servingPeer);
    if (op.peerTries == 0 && serving != addresses.end())
        op.firstPeer = static_cast<std::size_t>(serving - addresses.begin());
    const std::string &peer = addresses[(op.firstPeer + op.peerTries) % addresses.size()];
    if (op.onAppended)
        m_peerTries.take(now);
    ++op.peerTries;
    op.peer = peer;
    op.relayPending = true;
    op.relayedAt = now;
    const absl::Duration wait = std::min(op.read.wait, MaxRelayedWait);
    op.relayAt = now + (op.onAppended ? absl::ZeroDuration() : wait) + PeerAnswerTimeout;
    if (op.onAppended)
        send(peer,
             encodePeerMessage(relayed_append {id, m_ownAddress, op.append.topic, op.append.records,
                                               *op.append.producer, toMs(PeerAnswerTimeout)}));
    else
        send(peer,
             encodePeerMessage(relayed_read {id, m_ownAddress, op.read.topic, op.read.from,
                                             toMs(wait), toMs(PeerAnswerTimeout)}));
}

void store_relay::onRelayOutcome(std::uint64_t id, store_outcome outcome)
{
    operation &op = m_operations.at(id);
    noteRelayed(op, outcome);
    op.relayPending = false;
    op.mayHaveRun = op.mayHaveRun || outcome == store_outcome::Unknown;
    tryPeer(id);
}

void store_relay::onPeerAnswer(const operation &op, store_outcome outcome)
{
    ++m_relayed;
    noteRelayed(op, outcome);
    m_servingPeer = op.peer;
    if (op.onAppended) {
        m_peerTries.giveBack(op.peerTries);
        m_relayPause = absl::ZeroDuration();
        m_relayPausedUntil = absl::InfinitePast();
    }
    if (op.directPending && m_answeredAt < op.sentAt)
        setDirectUnreachable(true);
}

void store_relay::settle(std::uint64_t id)
{
    operation &op = m_operations.at(id);
    if (op.directPending || op.relayPending)
        return;
    if (op.append.urgent && !op.directTried && m_hooks.now() < op.deadline) {
        op.directPending = true;
        op.directTried = true;
        op.sentAt = m_hooks.now();
        sendDirect(id, op);
        return;
    }
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
    if (node.mapped().onAppended)
        node.mapped().onAppended(appended);
    else
        node.mapped().onRead(std::move(records));
}

void store_relay::setDirectUnreachable(bool unreachable)
{
    if (m_directUnreachable == unreachable)
        return;
    m_directUnreachable = unreachable;
    m_probeAt = m_hooks.now() + ProbeInterval;
    if (onDirectReachability)
        onDirectReachability(!unreachable);
}

void store_relay::expectRecords(const std::string &topic, std::uint64_t end)
{
    m_expectedEnds[topic] = std::max(m_expectedEnds[topic], end);
    for (auto &[id, op] : m_operations) {
        if (op.onRead && op.read.topic == topic && op.read.from < end && op.peerTries == 0)
            op.relayAt = std::min(op.relayAt, m_hooks.now() + ExpectedRecordDelay);
    }
}

void store_relay::forgetExpectation(const std::string &topic, std::uint64_t expectedEnd,
                                    std::uint64_t end)
{
    if (m_expectedEnds[topic] == expectedEnd)
        m_expectedEnds[topic] = end;
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
            if (op.relayPending)
                noteRelayed(op, store_outcome::Unknown);
            op.mayHaveRun = op.mayHaveRun || op.directPending || op.relayPending;
            op.directPending = false;
            op.relayPending = false;
            settle(id);
        } else if (op.directPending && !op.relayPending && op.onAppended && isSlow()
                   && m_answeredAt >= op.sentAt) {
            op.relayAt = absl::InfiniteFuture(); // it waits in the queue of the store
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
        if (found == m_operations.end() || !found->second.onAppended)
            return; // answered directly or by another peer, or past its deadline
        if (!isSettled(appended->answer.outcome)) {
            onRelayOutcome(appended->id, appended->answer.outcome);
            return;
        }
        onPeerAnswer(found->second, appended->answer.outcome);
        finish(appended->id, appended->answer, {});
    } else if (const auto *records = std::get_if<relayed_read_reply>(&message)) {
        const auto found = m_operations.find(records->id);
        if (found == m_operations.end() || !found->second.onRead)
            return;
        if (!isSettled(records->answer.outcome)) {
            onRelayOutcome(records->id, records->answer.outcome);
            return;
        }
        onPeerAnswer(found->second, records->answer.outcome);
        finish(records->id, {}, records->answer);
    }
}

void store_relay::reply(const std::string &address, const peer_message &message) const
{
    send(address, encodePeerMessage(message));
}

void store_relay::noteTry(store_call call, const std::string &topic, store_way way,
                          store_outcome outcome, absl::Time sentAt) const
{
    if (onTry)
        onTry({call, topic, way, outcome, m_hooks.now() - sentAt});
}

void store_relay::noteRelayed(const operation &op, store_outcome outcome) const
{
    const store_call call = op.onAppended ? store_call::Append : store_call::Read;
    noteTry(call, op.onAppended ? op.append.topic : op.read.topic, store_way::ThroughPeer, outcome,
            op.relayedAt);
}

void store_relay::serve(const relayed_append &call)
{
    relayed_append_reply answer {call.id, {}};
    if (m_directUnreachable || m_serving >= MaxServedCalls || isSlow() || !mayServe(call.topic)) {
        answer.answer.outcome = store_outcome::Refused;
        reply(call.replyTo, answer);
        return;
    }
    append_request request;
    request.topic = call.topic;
    request.records = call.records;
    request.producer = call.producer;
    request.deadline
        = m_hooks.now() + std::min(absl::Milliseconds(call.answerTimeoutMs), MaxServedTime);
    ++m_serving;
    m_direct->append(std::move(request),
                     [this, to = call.replyTo, topic = call.topic, sentAt = m_hooks.now(),
                      answer](const append_answer &storeAnswer) mutable {
                         noteTry(store_call::Append, topic, store_way::ForPeer, storeAnswer.outcome,
                                 sentAt);
                         --m_serving;
                         if (isSettled(storeAnswer.outcome))
                             m_refusedTopics.erase(topic);
                         else if (storeAnswer.outcome == store_outcome::Refused)
                             noteRefused(topic);
                         answer.answer = storeAnswer;
                         reply(to, answer);
                     });
}

void store_relay::serve(const relayed_read &call)
{
    relayed_read_reply answer {call.id, {}};
    if (m_directUnreachable || m_serving >= MaxServedCalls) {
        answer.answer.outcome = store_outcome::Refused;
        reply(call.replyTo, answer);
        return;
    }
    read_request request;
    request.topic = call.topic;
    request.from = call.from;
    request.wait = std::min(absl::Milliseconds(call.waitMs), MaxRelayedWait);
    request.deadline = m_hooks.now() + request.wait
        + std::min(absl::Milliseconds(call.answerTimeoutMs), MaxServedTime);
    ++m_serving;
    m_direct->read(std::move(request),
                   [this, to = call.replyTo, topic = call.topic, sentAt = m_hooks.now(),
                    answer](read_answer storeAnswer) mutable {
                       noteTry(store_call::Read, topic, store_way::ForPeer, storeAnswer.outcome,
                               sentAt);
                       --m_serving;
                       truncate(&storeAnswer);
                       answer.answer = std::move(storeAnswer);
                       reply(to, answer);
                   });
}

} // namespace hyssoppond::batch
