/// @file Queues of frames that wait for their connection.
#include "outbox.h"

#include <utility>

namespace hyssoppond {

std::size_t outbox::push(const address &to, std::string encoded)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_queues.size() >= m_limits.peers && !m_queues.contains(to))
        return 1;
    peer_queue &queue = m_queues[to];
    queue.bytes += encoded.size();
    queue.frames.push_back(std::move(encoded));
    std::size_t dropped = 0;
    while (queue.frames.size() > m_limits.frames
           || (queue.bytes > m_limits.bytes && queue.frames.size() > 1)) {
        queue.bytes -= queue.frames.front().size();
        queue.frames.pop_front();
        ++dropped;
    }
    return dropped;
}

void outbox::putBack(const address &to, std::deque<std::string> frames)
{
    const absl::MutexLock lock(&m_mutex);
    if (frames.empty())
        return;
    peer_queue &queue = m_queues[to];
    while (!frames.empty()) {
        queue.bytes += frames.back().size();
        queue.frames.push_front(std::move(frames.back()));
        frames.pop_back();
    }
}

std::deque<std::string> outbox::take(const address &to, std::size_t bytes)
{
    const absl::MutexLock lock(&m_mutex);
    std::deque<std::string> taken;
    const auto it = m_queues.find(to);
    if (it == m_queues.end())
        return taken;
    std::deque<std::string> &frames = it->second.frames;
    std::size_t total = 0;
    while (!frames.empty() && (taken.empty() || total + frames.front().size() <= bytes)) {
        total += frames.front().size();
        taken.push_back(std::move(frames.front()));
        frames.pop_front();
    }
    it->second.bytes -= total;
    if (frames.empty())
        m_queues.erase(it);
    return taken;
}

std::size_t outbox::drop(const address &to)
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_queues.find(to);
    if (it == m_queues.end())
        return 0;
    const std::size_t dropped = it->second.frames.size();
    m_queues.erase(it);
    return dropped;
}

std::vector<address> outbox::waitingPeers() const
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<address> peers;
    for (const auto &[peer, queue] : m_queues)
        peers.push_back(peer);
    return peers;
}

} // namespace hyssoppond
