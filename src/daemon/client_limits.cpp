/// @file Limits of what clients make a native process hold.
#include "client_limits.h"

#include <algorithm>

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace hyssoppond {
namespace {

constexpr std::size_t Megabyte = 1'048'576;
constexpr int LargeBlockBytes = 128 * 1024; // initial threshold of glibc

std::size_t memoryMbOf(const settings &values)
{
    if (const std::int64_t memoryMb = values.number("memory-mb"); memoryMb > 0)
        return static_cast<std::size_t>(memoryMb);
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long pageBytes = sysconf(_SC_PAGESIZE);
    return static_cast<std::size_t>(std::max(pages, 1L)) * static_cast<std::size_t>(pageBytes)
        / Megabyte;
}

} // namespace

// The limits of budgetLimitsFor() end at 64 MB, which suits the platform's bodies of 256 KiB. Here
// a body may have 2 MiB, so that a large machine grants more. A load balancer may be in front of
// all callers, so that one address may take the share of all.
budget_limits clientLimits(const settings &values)
{
    const std::size_t memoryMb = memoryMbOf(values);
    budget_limits limits = budgetLimitsFor(memoryMb);
    limits.totalBytes = std::max(limits.totalBytes, memoryMb * Megabyte / 4);
    const std::size_t third = limits.totalBytes / 3;
    for (listener_share &share : limits.shares)
        share = {};
    limits.of(client_listener::Rpc) = {third, 2 * third, 2 * third};
    limits.of(client_listener::Peers) = {third, 2 * third, 2 * third};
    return limits;
}

client_settings clientSettings(const settings &values, client_budget *budget)
{
    rlimit descriptors {};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    const std::size_t usable = static_cast<std::size_t>(descriptors.rlim_cur) / 5 * 4;
    const auto limitOf = [&](const char *name) {
        return connectionLimitFor(usable, static_cast<unsigned>(values.number(name)));
    };
    return {budget, limitOf("rpc-connections"), limitOf("peer-connections"),
            static_cast<std::size_t>(values.number("peer-connections-per-address"))};
}

void returnLargeBlocks()
{
    mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
}

} // namespace hyssoppond
