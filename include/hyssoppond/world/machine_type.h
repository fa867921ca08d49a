/// @file Workers, runners, zones and the endpoints that announce them.
#pragma once

#include "hyssoppond/base/id_type.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hyssoppond {

/// IP address and port of a process, as in its settings.
struct address
{
    std::string host; ///< numeric IPv4 or IPv6
    std::uint16_t port = 0;

    auto operator<=>(const address &) const = default;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(host, port);
    }
};

/// A machine that runs tasks of gangs under leases.
struct worker
{
    worker_id id;
    process_id agent;
    rack_id rack;
    zone_id zone;
    std::uint32_t accelerators = 0; ///< 0 to MaxAcceleratorsPerWorker
    std::uint32_t cores = 0;
    std::uint64_t memoryBytes = 0;

    template<class archive>
    void serialize(archive &ar)
    {
        ar(id, agent, rack, zone, accelerators, cores, memoryBytes);
    }
};

/// A server that answers calls.
struct runner
{
    runner_id id;
    process_id agent;
    zone_id zone;
    std::uint32_t slots = 8;        ///< calls answered at the same time
    std::uint32_t connections = 64; ///< open connections accepted

    template<class archive>
    void serialize(archive &ar)
    {
        ar(id, agent, zone, slots, connections);
    }
};

/// Announcement of an agent: its address and the worker and runner that it serves. The id of either
/// may be empty.
struct endpoint
{
    process_id agent;
    incarnation_number incarnation = 0;
    address control; ///< where the agent receives frames of hyssoppond's own protocol
    zone_id zone;
    worker servedWorker; ///< id empty: serves no worker
    runner servedRunner; ///< id empty: serves no runner

    template<class archive>
    void serialize(archive &ar)
    {
        ar(agent, incarnation, control, zone, servedWorker, servedRunner);
    }
};

} // namespace hyssoppond
