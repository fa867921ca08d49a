/// @file Relays calls to the store through a peer while the store does not answer directly.
#pragma once

#include "hyssoppond/base/name_table_type.h"
#include "hyssoppond/batch/peer_message_type.h"
#include "hyssoppond/batch/store_port.h"
#include "hyssoppond/routing/retry_budget_type.h"

#include <map>
#include <string>
#include <vector>

namespace hyssoppond::batch {

/// Calls that a process makes to the store.
enum class store_call : std::uint8_t { Append, Read, Newest, Join };

/// Names of the calls.
inline constexpr name_table<store_call, 4> StoreCallNames {{"append", "read", "newest", "join"}};

/// How a call was sent.
enum class store_way : std::uint8_t {
    Direct,
    ThroughPeer, ///< a peer was asked to send it
    ForPeer,     ///< sent to the store because a peer asked for it
};

/// Names of the ways.
inline constexpr name_table<store_way, 3> StoreWayNames {{"direct", "through_peer", "for_peer"}};

/// Outcome of one try of a call.
struct store_try
{
    store_call call = store_call::Append;
    std::string topic;
    store_way way = store_way::Direct;
    store_outcome outcome = store_outcome::Unknown;
    absl::Duration age; ///< since the try was sent
};

/// State machine without I/O. A store may refuse or not answer some processes while it serves
/// others. Appends with a producer stamp and reads are then also sent by a peer. Both are safe to
/// send twice: the store drops a repeated append, and a read that a peer begins later proves at
/// least as recent a state. Loads of a whole topic and group membership are never relayed.
///
/// A store that is overloaded refuses appends too, and then repetitions keep it so. Appends by
/// peers take from a retry budget, which gets them back when a peer answers the call. When peers
/// have failed too, none is asked for a pause, which grows. A refused append counts for its topic
/// only, as each has a queue of its own. Reads do not queue.
class store_relay
{
public:
    /// `ownAddress` is the HOST:PORT at which this process takes datagrams.
    store_relay(std::string ownAddress, store_port *direct, loop_hooks hooks);
    store_relay(const store_relay &) = delete;
    store_relay &operator=(const store_relay &) = delete;

    /// The port that the state machines of this process use; valid as long as this object.
    store_port port();

    /// Returns the addresses of the peers to ask, as HOST:PORT, without this process.
    std::function<std::vector<std::string>()> peers;
    /// Sends a datagram to HOST:PORT; best effort.
    std::function<void(const std::string &address, const std::string &message)> send;
    /// Called when the store stops or resumes answering this process directly.
    std::function<void(bool reachable)> onDirectReachability;

    /// Called with the outcome of each try.
    std::function<void(const store_try &)> onTry;

    /// Handles a message of a peer; a wake_message has no effect here.
    void receive(const peer_message &message);
    /// Notes that `topic` has records before `end`. A read that still waits for them is overdue and
    /// is soon sent by a peer too.
    void expectRecords(const std::string &topic, std::uint64_t end);

    /// Does what is due.
    void tick();
    /// When tick has to be called next.
    absl::Time nextDeadline() const;
    /// Number of calls that were answered through a peer.
    std::uint64_t relayedCalls() const { return m_relayed; }

private:
    struct operation
    {
        append_request append;
        read_request read;
        std::function<void(append_answer)> onAppended; ///< set for an append
        std::function<void(read_answer)> onRead;       ///< set for a read
        bool directPending = false;
        bool relayPending = false;
        bool mayHaveRun = false; ///< a try got no answer
        unsigned peerTries = 0;  ///< number of peers that were asked
        bool directTried = false;
        std::string peer; ///< that was asked last
        absl::Time sentAt;
        absl::Time relayedAt;          ///< last try by a peer
        absl::Time relayAt;            ///< next try by a peer
        std::uint64_t expectedEnd = 0; ///< of the topic of a read, when the read was sent
        absl::Time deadline;
        std::size_t firstPeer = 0;
    };

    void start(operation op);
    void sendDirect(std::uint64_t id, const operation &op);
    void tryPeer(std::uint64_t id);
    /// Time after which a peer is asked too.
    absl::Duration hedgeDelay() const;
    /// Notes how long the store took to answer a direct call, without the wait of a read.
    void noteAnswerTime(absl::Duration time);
    bool isAvoided(const operation &op) const;
    /// Time of the next direct call of the kind of `op` while those are avoided.
    absl::Time &probeAtOf(const operation &op);
    void noteRefused(const std::string &topic);
    /// The store was slow to answer this process lately.
    bool isSlow() const;
    /// An append to `topic` is sent for a peer now.
    bool mayServe(const std::string &topic);
    bool mayAskPeer(const operation &op);
    /// Notes that peers were asked for a call and none has answered it.
    void pauseRelay();
    void onDirectOutcome(std::uint64_t id, store_outcome outcome);
    void onDirectAnswer();
    void onPeerAnswer(const operation &op, store_outcome outcome);
    void onRelayOutcome(std::uint64_t id, store_outcome outcome);
    /// Ends the call as Unknown or Refused if neither the store nor a peer may still answer it.
    void settle(std::uint64_t id);
    void finish(std::uint64_t id, append_answer appended, read_answer records);
    void setDirectUnreachable(bool unreachable);
    /// A read that was sent when `topic` was said to reach to `expectedEnd` found it shorter: the
    /// message was wrong.
    void forgetExpectation(const std::string &topic, std::uint64_t expectedEnd, std::uint64_t end);
    void serve(const relayed_append &call);
    void serve(const relayed_read &call);
    void reply(const std::string &address, const peer_message &message) const;
    void noteTry(store_call call, const std::string &topic, store_way way, store_outcome outcome,
                 absl::Time sentAt) const;
    void noteRelayed(const operation &op, store_outcome outcome) const;

    std::string m_ownAddress;
    store_port *m_direct;
    loop_hooks m_hooks;
    std::map<std::uint64_t, operation> m_operations;
    std::map<std::string, std::uint64_t> m_expectedEnds; ///< by topic, as peers reported
    std::uint64_t m_nextId;
    bool m_directUnreachable = false;
    absl::Duration m_answerTime; ///< of the store lately, see noteAnswerTime()
    absl::Time m_slowUntil = absl::InfinitePast();
    absl::Time m_answeredAt = absl::InfinitePast(); ///< last direct answer
    absl::Time m_probeAt = absl::InfinitePast();
    /// Topics whose last direct append was refused, and when one is sent directly again.
    std::map<std::string, absl::Time> m_refusedTopics;
    retry_budget m_peerTries;
    absl::Duration m_relayPause; ///< the last one; zero once a peer has answered
    absl::Time m_relayPausedUntil = absl::InfinitePast();
    std::string m_servingPeer; ///< peer that answered last; empty: unknown
    std::size_t m_serving = 0; ///< calls of peers that the store has not answered
    std::uint64_t m_relayed = 0;
};

} // namespace hyssoppond::batch
