/// @file Implementation of the configuration gossip.
#include "hyssoppond/journal/config_gossip_base.h"

#include "hyssoppond/base/checksummed_archive_func.h"

#include <algorithm>

namespace hyssoppond::journal {
namespace {

constexpr std::uint8_t ConfigMessageVersion = 1;
/// Upper limit of the size of a UDP datagram.
constexpr std::size_t MaxMessageBytes = 64 * 1024;

} // namespace

std::string encode(const config_message &message)
{
    return encodeChecksummed(ConfigMessageVersion, message);
}

result<config_message> decodeConfig(std::string_view bytes)
{
    return decodeChecksummed<config_message>(ConfigMessageVersion, bytes, MaxMessageBytes);
}

config_gossip::config_gossip(environment env, config_store *store, gossip_hooks hooks,
                             gossip_options options)
    : m_env(std::move(env))
    , m_store(store)
    , m_hooks(std::move(hooks))
    , m_options(options)
    , m_nextDigestAt(m_env.now()) // a new process sends its first digest at once
    , m_nextPruneAt(m_env.now() + absl::Minutes(1))
{ }

void config_gossip::publish(const config_item &item, bool push)
{
    m_store->merge(item);
    if (!push || !m_options.disseminate)
        return;
    for (const process_id &peer : m_hooks.pushPeers())
        send(peer, config_push {{item}, false});
}

void config_gossip::receive(const process_id &from, const config_message &message)
{
    std::visit([&](const auto &body) { handle(from, body); }, message);
}

void config_gossip::tick()
{
    const absl::Time now = m_env.now();
    if (m_nextPruneAt <= now) {
        m_nextPruneAt = now + absl::Minutes(1);
        m_store->prune(now - m_options.removedKeyRetention);
    }
    if (m_transfer && m_transfer->repeatAt <= now) {
        if (++m_transfer->tries >= m_options.partTries) {
            m_transfer.reset();
        } else {
            m_transfer->repeatAt = now + m_options.partTimeout;
            send(m_transfer->peer, m_transfer->request);
        }
    }
    if (m_nextDigestAt > now)
        return;
    // Jitter of plus or minus 25 % spreads the digests of processes that started together.
    const double fraction = static_cast<double>(m_env.random() >> 11) * 0x1.0p-53;
    m_nextDigestAt = now + m_options.digestPeriod * (0.75 + fraction / 2);
    if (!m_options.disseminate)
        return;
    for (const process_id &peer : m_hooks.randomPeers(1))
        send(peer, digest(false));
}

absl::Time config_gossip::nextDeadline() const
{
    const absl::Time next = std::min(m_nextDigestAt, m_nextPruneAt);
    return m_transfer ? std::min(next, m_transfer->repeatAt) : next;
}

config_digest config_gossip::digest(bool answer) const
{
    return {m_store->highest(), m_store->hash(), answer};
}

void config_gossip::mergeAll(const process_id &from, const std::vector<config_item> &items,
                             bool forward)
{
    const absl::Time removedBefore = m_env.now() - m_options.removedKeyRetention;
    config_push newItems;
    for (const config_item &item : items) {
        if (item.value.empty() && item.changedAt < removedBefore)
            continue; // this process has already pruned the removed key
        if (m_store->merge(item))
            newItems.items.push_back(item);
    }
    if (newItems.items.empty() || !forward || !m_options.disseminate)
        return;
    for (const process_id &peer : m_hooks.randomPeers(m_options.fanout)) {
        if (peer != from)
            send(peer, newItems);
    }
}

void config_gossip::startTransfer(const process_id &peer, config_message request)
{
    send(peer, request);
    m_transfer = transfer {peer, std::move(request), m_env.now() + m_options.partTimeout, 0};
}

bool config_gossip::endTransfer(const process_id &peer)
{
    if (!m_transfer || m_transfer->peer != peer)
        return false;
    m_transfer.reset();
    return true;
}

void config_gossip::handle(const process_id &from, const config_push &message)
{
    const journal_offset previousHighest = m_store->highest();
    // Items of a transfer are not forwarded, because other processes already have them.
    const bool transferred = endTransfer(from);
    mergeAll(from, message.items, !transferred && !message.more);
    if (message.more && m_store->highest() > previousHighest)
        startTransfer(from, digest(false));
}

void config_gossip::handle(const process_id &from, const config_digest &message)
{
    if (message.hash == m_store->hash()) {
        endTransfer(from);
        return;
    }
    if (message.highest < m_store->highest()) {
        config_part part = m_store->newerThan(message.highest, m_options.partBytes);
        send(from, config_push {std::move(part.items), part.more});
    } else if (message.highest > m_store->highest()) {
        if (!message.answer)
            send(from, digest(true));
    } else {
        send(from, config_hashes {m_store->hashes()});
    }
}

void config_gossip::handle(const process_id &from, const config_hashes &message)
{
    std::uint64_t mask = 0;
    for (std::uint32_t i = 0; i < config_store::Buckets; ++i) {
        if (message.hashes[i] != m_store->hashes()[i])
            mask |= std::uint64_t {1} << i;
    }
    if (mask != 0 && !m_transfer)
        startTransfer(from, config_fetch {mask, {}});
}

void config_gossip::handle(const process_id &from, const config_fetch &message)
{
    config_part part = m_store->walk(message.mask, message.from, m_options.partBytes);
    send(from, config_fetched {message.mask, std::move(part.items), part.next, part.more});
}

void config_gossip::handle(const process_id &from, const config_fetched &message)
{
    const bool expected = endTransfer(from);
    mergeAll(from, message.items, false);
    if (expected && message.more)
        startTransfer(from, config_fetch {message.mask, message.next});
}

void config_gossip::send(const process_id &to, const config_message &message) const
{
    m_hooks.send(to, message);
}

} // namespace hyssoppond::journal
