/// @file Reaches the store through a peer while the direct way does not answer.
#pragma once

#include "hyssoppond/batch/peer_message_type.h"
#include "hyssoppond/batch/store_port.h"

#include <map>
#include <string>
#include <vector>

namespace hyssoppond::batch {

/// State machine without I/O. A store may refuse or not answer some processes while it serves
/// others. Appends with a producer's stamp and reads are then also sent by a peer. Both are safe to
/// send twice: the store drops a repeated append, and a read that a peer begins later proves at
/// least as much. Whole loads and group membership are never relayed.
class store_relay
{
public:
    /// `ownAddress` is the HOST:PORT at which this process takes datagrams.
    store_relay(std::string ownAddress, store_port *direct, loop_hooks hooks);
    store_relay(const store_relay &) = delete;
    store_relay &operator=(const store_relay &) = delete;

    /// The store as the state machines of this process use it; valid as long as this object.
    store_port port();

    /// Addresses of the peers to ask, without this process.
    std::function<std::vector<std::string>()> peers;
    /// Sends a datagram to HOST:PORT; best effort.
    std::function<void(const std::string &address, const std::string &message)> send;
    /// The direct way to the store stopped or resumed answering.
    std::function<void(bool reachable)> onDirect;

    /// Handles a message of a peer; wake messages have no effect here.
    void receive(const peer_message &message);
    /// `topic` has records up to `end`: a read that waits for them is overdue.
    void expectRecords(const std::string &topic, std::uint64_t end);

    void tick();
    absl::Time nextDeadline() const;
    /// Calls that were answered through a peer.
    std::uint64_t relayed() const { return m_relayed; }

private:
    struct operation
    {
        append_request append;
        read_request read;
        std::function<void(append_answer)> appended; ///< set for an append
        std::function<void(read_answer)> gotRecords; ///< set for a read
        bool directPending = false;
        bool relayPending = false;
        bool mayHaveRun = false; ///< a try got no answer
        unsigned tries = 0;      ///< by peers
        absl::Time relayAt;      ///< next try by a peer
        absl::Time deadline;
        std::size_t firstPeer = 0;
    };

    void start(operation op);
    void sendDirect(std::uint64_t id, const operation &op);
    void tryPeer(std::uint64_t id);
    void onDirectOutcome(std::uint64_t id, store_outcome outcome);
    void onRelayOutcome(std::uint64_t id, store_outcome outcome);
    /// Ends the call without an answer if no way is left.
    void settle(std::uint64_t id);
    void finish(std::uint64_t id, append_answer appended, read_answer records);
    void setDirectLost(bool lost);
    void serve(const relayed_append &call);
    void serve(const relayed_read &call);
    void reply(const std::string &address, const peer_message &message) const;

    std::string m_ownAddress;
    store_port *m_direct;
    loop_hooks m_hooks;
    std::map<std::uint64_t, operation> m_operations;
    std::map<std::string, std::uint64_t> m_expectedEnds; ///< of topics, as peers said
    std::uint64_t m_nextId;
    bool m_directLost = false;
    absl::Time m_probeAt = absl::InfinitePast();
    std::size_t m_serving = 0; ///< calls of peers that the store has not answered
    std::uint64_t m_relayed = 0;
};

} // namespace hyssoppond::batch
