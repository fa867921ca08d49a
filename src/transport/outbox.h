/// @file Frames waiting for their connection, bounded for each peer.
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

/// Limits of the queue of one peer and of the number of peers.
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

    /// Appends a frame and returns how many frames were dropped for it; a frame for a new peer
    /// is itself dropped when there are too many peers.
    std::size_t push(const address &to, std::string encoded);
    /// Puts a frame that was not completely sent back to the front.
    void putBack(const address &to, std::deque<std::string> frames);
    /// Removes up to `bytes` bytes, at least one frame if any is there.
    std::deque<std::string> take(const address &to, std::size_t bytes);
    /// Removes all frames of a peer and returns their number.
    std::size_t drop(const address &to);
    /// Peers for which frames wait.
    std::vector<address> waiting() const;

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
