/// @file Queues of frames that wait for their connection, with limits for each peer.
#pragma once

#include "hyssoppond/world/machine_type.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppond {

/// Limits: frames and bytes in the queue of one peer, and the number of peers.
struct outbox_limits
{
    std::size_t frames = 0;
    std::size_t bytes = 0;
    std::size_t peers = 0;
};

/// Queues of encoded frames. Thread-safe.
class outbox
{
public:
    explicit outbox(outbox_limits limits)
        : m_limits(limits)
    { }

    /// Appends a frame and returns the number of frames dropped: the oldest ones if a limit of the
    /// peer is exceeded, or this frame if it is for a new peer and there are too many peers.
    std::size_t push(const address &to, std::string encoded);
    /// Puts frames that were not completely sent back to the front of the queue.
    void putBack(const address &to, std::deque<std::string> frames);
    /// Removes and returns frames of up to `bytes` bytes in total, but at least one frame if any is
    /// queued.
    std::deque<std::string> take(const address &to, std::size_t bytes);
    /// Removes all frames of a peer and returns their number.
    std::size_t drop(const address &to);
    /// Peers with queued frames.
    std::vector<address> waitingPeers() const;

private:
    struct peer_queue
    {
        std::deque<std::string> frames;
        std::size_t bytes = 0;
    };

    const outbox_limits m_limits;
    mutable absl::Mutex m_mutex;
    std::map<address, peer_queue> m_queues ABSL_GUARDED_BY(m_mutex);
};

} // namespace hyssoppond
