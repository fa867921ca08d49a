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

/// Changes that are new to the sender, or newer than the digest that the receiver sent.
struct config_push
{
    std::vector<config_item> items;
    bool more = false; ///< the receiver should send its digest again for the rest

    template<class archive>
    void serialize(archive &ar)
    {
        ar(items, more);
    }
};

/// What the sender knows.
struct config_digest
{
    journal_offset highest = 0;
    std::uint64_t hash = 0;
    bool answer = false; ///< sent in answer to a digest

    template<class archive>
    void serialize(archive &ar)
    {
        ar(highest, hash, answer);
    }
};

/// Hash of each bucket of the sender; sent when digests name the same highest version but differ.
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
    config_cursor from;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(mask, from);
    }
};

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
/// Never throws. Errors: UnsupportedVersion, BodyTooLarge, ChecksumMismatch, MalformedMessage.
result<config_message> decodeConfig(std::string_view bytes);

/// Settings of a config_gossip.
struct gossip_options
{
    absl::Duration digestPeriod = absl::Seconds(1);
    std::size_t fanout = 4;       ///< random peers to which a new change is forwarded
    std::size_t partBytes = 1100; ///< of items in one message; the frame fits one packet
    absl::Duration partTimeout = absl::Milliseconds(300); ///< until a lost part is asked for again
    std::uint32_t partTries = 5;
    /// A process that was cut off for longer than this may bring a removed key back.
    absl::Duration removedKeyRetention = absl::Hours(7 * 24);
    /// Off only in fault cells: configuration then comes from the log alone.
    bool disseminate = true;
};

/// Effects of a config_gossip.
struct gossip_hooks
{
    std::function<void(const process_id &to, const config_message &)> send = {};
    /// Up to `count` different live peers, chosen at random.
    std::function<std::vector<process_id>(std::size_t count)> randomPeers = {};
    /// Peers that get an accepted change at once: all entries and some members of each zone.
    std::function<std::vector<process_id>()> pushPeers = {};
    std::function<void(disposition, reason)> count = {};
};

/// Spreads accepted changes: push at acceptance, forwarding of what is new, and a comparison of
/// digests with one random peer per period, which repairs losses and serves new processes.
class config_gossip
{
public:
    config_gossip(environment env, config_store *store, gossip_hooks hooks,
                  gossip_options options = {});

    /// Merges a change that this process saw accepted in the journal. `push`: this process accepted
    /// it for an operator and sends it to the push peers.
    void publish(const config_item &item, bool push);
    void receive(const process_id &from, const config_message &message);
    void tick();
    absl::Time nextDeadline() const;

private:
    /// Transfer of several parts from one peer.
    struct transfer
    {
        process_id peer;
        config_message request; ///< repeated when an answer is lost
        absl::Time repeatAt;
        std::uint32_t tries = 0;
    };

    void handle(const process_id &from, const config_push &message);
    void handle(const process_id &from, const config_digest &message);
    void handle(const process_id &from, const config_hashes &message);
    void handle(const process_id &from, const config_fetch &message);
    void handle(const process_id &from, const config_fetched &message);

    void mergeAll(const process_id &from, const std::vector<config_item> &items, bool forward);
    void startTransfer(const process_id &peer, config_message request);
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
