/// @file Public functions of the transport, called by any thread.
#include "transport_state.h"

#include <absl/time/clock.h>

#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

namespace hyssoppond {
namespace {

// Number of attempts to find a port that is free for both TCP and UDP.
constexpr int MaxPortAttempts = 20;

} // namespace

transport::state::state(transport_settings initialSettings, transport_hooks initialHooks)
    : settings(std::move(initialSettings))
    , hooks(std::move(initialHooks))
    , queues({settings.maxQueuedFrames, settings.maxQueuedBytes, settings.maxConnections})
{ }

result<void> transport::state::open()
{
    for (int attempt = 0; attempt < MaxPortAttempts; ++attempt) {
        auto tcp = openBound(settings.listen, SOCK_STREAM);
        if (!tcp)
            return tl::unexpected(tcp.error());
        boundAddress = {settings.listen.host, boundPort(*tcp)};
        auto udp = openBound(boundAddress, SOCK_DGRAM);
        if (!udp && (settings.listen.port != 0 || attempt + 1 == MaxPortAttempts))
            return tl::unexpected(udp.error());
        if (!udp)
            continue;
        listener = std::move(*tcp);
        datagrams = std::move(*udp);
        break;
    }
    wakeup = file_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (!wakeup.isOpen())
        return fail(reason::Internal,
                    "cannot create an event descriptor; raise the limit of open files");
    return {};
}

void transport::state::send(const address &to, frame message)
{
    if (rejectSends)
        return countDropped(reason::Leaving);
    message.sender = settings.self;
    message.senderIncarnation = settings.incarnation;
    message.senderAddress = boundAddress;
    std::string encoded = encode(message);
    if (encoded.size() > settings.maxFrameBytes)
        return countDropped(reason::BodyTooLarge);
    countSent(to, message.protocol, encoded.size());
    if (message.protocol == channel::Membership && encoded.size() <= MaxDatagramBytes)
        return sendDatagram(to, encoded);
    if (const std::size_t dropped = queues.push(to, std::move(encoded)); dropped > 0)
        countDropped(reason::QueueFull, dropped);
    wakeLoop();
}

void transport::state::sendDatagram(const address &to, const std::string &encoded) const
{
    const auto target = toSocketAddress(to);
    if (!target
        || sendto(datagrams.get(), encoded.data(), encoded.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                  target->get(), target->length)
            < 0)
        countDropped(reason::ConnectionFailed);
}

void transport::state::countSent(const address &to, channel protocol, std::size_t bytes)
{
    const bool remote = hooks.zoneOf && hooks.zoneOf(to) != hooks.ownZone;
    const std::string suffix
        = std::string(ChannelNames.name(protocol)) + (remote ? "_other_zone" : "_own_zone");
    hooks.counters->add("transport_sent_messages_" + suffix);
    hooks.counters->add("transport_sent_bytes_" + suffix, bytes);
}

void transport::state::countDropped(reason cause, std::size_t frames) const
{
    for (std::size_t i = 0; i < frames; ++i)
        hooks.counters->count(disposition::Dropped, cause);
}

void transport::state::wakeLoop() const
{
    const std::uint64_t increment = 1;
    // The write can only fail if the counter is full, and then the loop wakes up anyway.
    [[maybe_unused]] const ssize_t written = write(wakeup.get(), &increment, sizeof(increment));
}

transport::transport(transport_settings settings, transport_hooks hooks)
    : m_state(std::make_unique<state>(std::move(settings), std::move(hooks)))
{ }

transport::~transport()
{
    stop(absl::InfinitePast());
}

result<void> transport::start()
{
    if (m_state->hooks.counters == nullptr)
        return fail(reason::InvalidArgument,
                    "transport has no counter registry; set it in transport_hooks");
    if (auto opened = m_state->open(); !opened)
        return opened;
    m_state->pool = std::make_unique<thread_pool>("receive", m_state->settings.threads,
                                                  m_state->settings.maxQueuedReceives);
    m_state->rejectSends = false;
    m_state->ioThread = std::thread([this] { m_state->run(); });
    return {};
}

address transport::localAddress() const
{
    return m_state->boundAddress;
}

void transport::send(const address &to, frame message)
{
    m_state->send(to, std::move(message));
}

void transport::stop(absl::Time deadline)
{
    if (!m_state->ioThread.joinable())
        return;
    m_state->rejectSends = true;
    {
        const absl::MutexLock lock(&m_state->mutex);
        m_state->stopping = true;
        m_state->stopAt = deadline;
    }
    m_state->wakeLoop();
    m_state->ioThread.join();
    m_state->pool->stop();
}

} // namespace hyssoppond
