/// @file Traffic counters and processor time that the parts of the capacity program share.
#pragma once

#include "hyssoppond/base/id_type.h"

#include <malloc.h>

#include <cstddef>
#include <cstdint>
#include <ctime>
#include <map>

namespace hyssoppond::capacity {

/// Number of messages and their encoded bytes, without frames.
struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

    void add(std::size_t size)
    {
        ++messages;
        bytes += size;
    }
};

/// Traffic that one process sent and received.
struct process_traffic
{
    traffic sent;
    traffic received;

    std::uint64_t messages() const { return sent.messages + received.messages; }
    std::uint64_t bytes() const { return sent.bytes + received.bytes; }
};

using traffic_by_process = std::map<process_id, process_traffic>;

/// Processor time of this process in seconds. Less sensitive to a busy machine than wall-clock
/// time.
inline double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Bytes allocated from the heap, without the allocator's own free blocks.
inline double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

} // namespace hyssoppond::capacity
