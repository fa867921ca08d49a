/// @file Dissemination of accepted configuration between processes.
#pragma once

#include "hyssoppond/base/counters_base.h"
#include "hyssoppond/base/environment_type.h"
#include "hyssoppond/base/error_type.h"
#include "hyssoppond/journal/config_store_base.h"

#include <cereal/types/array.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <optional>
#include <variant>

namespace hyssoppond::journal {

/// Changes that are new to the sender, or newer than the highest version in the digest that the
/// receiver sent.
struct config_push
{
    std::vector<config_item> items;
    bool more = false; ///< items are left; the receiver sends its digest again to get them

    template<class archive>
    void serialize(archive &ar)
    {
        ar(items, more);
    }
};

/// Summary of the configuration that the sender knows.
struct config_digest
{
    journal_offset highest = 0; ///< highest version that the sender knows
    std::uint64_t hash = 0;
    bool answer = false; ///< sent in answer to a digest, and not answered by another digest

    template<class archive>
    void serialize(archive &ar)
    {
        ar(highest, hash, answer);
    }
};

/// Hash of each bucket of the sender. Sent in answer to a digest that has the same highest version
/// but another hash.
struct config_hashes
{
    config_store::bucket_hashes hashes {};

    template<class archive>
    void serialize(archive &ar)
    {
        ar(hashes);
    }
};

/// Asks for the items of some buckets, one part at a time.
struct config_fetch
{
    std::uint64_t mask = 0; ///< bit i for bucket i
    config_cursor from;     ///< position after which the part starts

    template<class archive>
    void serialize(archive &ar)
    {
        ar(mask, from);
    }
};

/// Answer to a config_fetch.
struct config_fetched
{
    std::uint64_t mask = 0;
    std::vector<config_item> items;
    config_cursor next;
    bool more = false;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(mask, items, next, more);
    }
};

using config_message
    = std::variant<config_push, config_digest, config_hashes, config_fetch, config_fetched>;

std::string encode(const config_message &message);
/// Decodes a message from another process. Never throws. Errors: UnsupportedVersion, BodyTooLarge,
/// ChecksumMismatch, MalformedMessage.
result<config_message> decodeConfig(std::string_view bytes);

/// Settings of a config_gossip.
struct gossip_options
{
    absl::Duration digestPeriod = absl::Seconds(1);
    std::size_t fanout = 4;       ///< random peers to which a new change is forwarded
    std::size_t partBytes = 1100; ///< of the items in one message; the frame fits one packet
    /// Time until an unanswered request is repeated.
    absl::Duration partTimeout = absl::Milliseconds(300);
    std::uint32_t partTries = 5; ///< sends of a request before its transfer is abandoned
    /// How long a removal is remembered. A process that was partitioned for longer may bring a
    /// removed key back.
    absl::Duration removedKeyRetention = absl::Hours(7 * 24);
    /// Sends changes and digests to peers. Disabled only in fault cells, where configuration then
    /// comes from the log alone.
    bool disseminate = true;
};

/// Callbacks through which a config_gossip sends messages and chooses peers.
struct gossip_hooks
{
    std::function<void(const process_id &to, const config_message &)> send = {};
    /// Up to `count` different live peers, chosen at random.
    std::function<std::vector<process_id>(std::size_t count)> randomPeers = {};
    /// Peers that get an accepted change at once: all entry processes and some members of each
    /// zone.
    std::function<std::vector<process_id>()> pushPeers = {};
    std::function<void(disposition, reason)> count = {};
};

/// Disseminates accepted changes between processes. A change is pushed when it is accepted, and a
/// receiver to which it is new forwards it. In addition each process compares digests with one
/// random peer per period, which repairs losses and brings new processes up to date.
class config_gossip
{
public:
    config_gossip(environment env, config_store *store, gossip_hooks hooks,
                  gossip_options options = {});

    /// Merges a change that this process read as accepted from the journal. With `push`, which is
    /// set in the process that accepted the change for an operator, also sends it to the push
    /// peers.
    void publish(const config_item &item, bool push);
    /// Handles a message from a peer.
    void receive(const process_id &from, const config_message &message);
    /// Sends and prunes what is due.
    void tick();
    /// Time at which tick has something to do next.
    absl::Time nextDeadline() const;

private:
    /// Transfer in several parts from one peer; at most one is in progress.
    struct transfer
    {
        process_id peer;
        config_message request; ///< sent again when the answer is late
        absl::Time repeatAt;
        std::uint32_t tries = 0;
    };

    void handle(const process_id &from, const config_push &message);
    void handle(const process_id &from, const config_digest &message);
    void handle(const process_id &from, const config_hashes &message);
    void handle(const process_id &from, const config_fetch &message);
    void handle(const process_id &from, const config_fetched &message);

    /// Merges items into the store; with `forward`, sends those that are new to random peers.
    void mergeAll(const process_id &from, const std::vector<config_item> &items, bool forward);
    void startTransfer(const process_id &peer, config_message request);
    /// Returns whether a transfer from `peer` was in progress.
    bool endTransfer(const process_id &peer);
    config_digest digest(bool answer) const;
    void send(const process_id &to, const config_message &message) const;

    environment m_env;
    config_store *m_store;
    gossip_hooks m_hooks;
    gossip_options m_options;
    absl::Time m_nextDigestAt;
    absl::Time m_nextPruneAt;
    std::optional<transfer> m_transfer;
};

} // namespace hyssoppond::journal
