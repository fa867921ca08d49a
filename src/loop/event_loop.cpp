/// @file Implementation of the event loop on epoll.
#include "hyssoppond/loop/event_loop_base.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <ctime>
#include <stdexcept>

#include <sys/epoll.h>
#include <unistd.h>

namespace hyssoppond {

namespace {

/// Limit of events taken from the kernel by one call of epoll_wait.
constexpr int MaxEventsPerWait = 32;

/// Longest wait in milliseconds. It limits the delay if a deadline was computed too late.
constexpr int MaxWaitMs = 60'000;

} // namespace

event_loop::event_loop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
{
    if (m_epoll < 0)
        throw std::runtime_error("epoll_create1 failed; raise the limit of open files");
}

event_loop::~event_loop()
{
    close(m_epoll);
}

absl::Time event_loop::steadyNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return absl::TimeFromTimespec(now);
}

absl::Duration event_loop::suspendedTime()
{
    timespec monotonic {};
    timespec boot {};
    clock_gettime(CLOCK_MONOTONIC, &monotonic);
    clock_gettime(CLOCK_BOOTTIME, &boot);
    return absl::DurationFromTimespec(boot) - absl::DurationFromTimespec(monotonic);
}

absl::Time event_loop::wallNow()
{
    return absl::FromChrono(std::chrono::system_clock::now());
}

void event_loop::watch(int descriptor, std::uint32_t events,
                       std::function<void(std::uint32_t)> onReady)
{
    const auto found = m_watches.find(descriptor);
    epoll_event registration {};
    registration.events = events;
    registration.data.fd = descriptor;
    if (found != m_watches.end()) {
        if (found->second->events != events) {
            epoll_ctl(m_epoll, EPOLL_CTL_MOD, descriptor, &registration);
            found->second->events = events;
        }
        found->second->onReady = std::move(onReady);
        return;
    }
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &registration);
    m_watches[descriptor] = std::make_shared<watch_entry>(watch_entry {std::move(onReady), events});
}

void event_loop::unwatch(int descriptor)
{
    if (m_watches.erase(descriptor) != 0)
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
}

timer_id event_loop::callAt(absl::Time deadline, std::function<void()> callback)
{
    const timer_id timer = ++m_lastTimer;
    m_timers[{deadline, timer}] = std::move(callback);
    m_deadlines[timer] = deadline;
    return timer;
}

void event_loop::cancel(timer_id timer)
{
    const auto found = m_deadlines.find(timer);
    if (found == m_deadlines.end())
        return;
    m_timers.erase({found->second, timer});
    m_deadlines.erase(found);
}

void event_loop::onRound(std::function<absl::Time()> hook)
{
    m_roundHooks.push_back(std::move(hook));
}

absl::Time event_loop::nextDeadline()
{
    const absl::Time timer
        = m_timers.empty() ? absl::InfiniteFuture() : m_timers.begin()->first.first;
    return std::min(timer, m_nextRoundAt);
}

void event_loop::waitForEvents()
{
    const absl::Duration remaining = nextDeadline() - steadyNow();
    int timeoutMs = MaxWaitMs;
    if (remaining < absl::Milliseconds(MaxWaitMs))
        timeoutMs = static_cast<int>(std::max<std::int64_t>(
            0, absl::ToInt64Milliseconds(absl::Ceil(remaining, absl::Milliseconds(1)))));
    std::array<epoll_event, MaxEventsPerWait> events {};
    const int count = epoll_wait(m_epoll, events.data(), MaxEventsPerWait, timeoutMs);
    for (int i = 0; i < count; ++i) {
        const auto found = m_watches.find(events[static_cast<std::size_t>(i)].data.fd);
        if (found == m_watches.end())
            continue;
        // Shared ownership keeps the entry alive if the callback unwatches its own descriptor.
        const std::shared_ptr<watch_entry> current = found->second;
        current->onReady(events[static_cast<std::size_t>(i)].events);
    }
}

void event_loop::fireTimers()
{
    const absl::Time now = steadyNow();
    while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
        const auto first = m_timers.begin();
        const std::function<void()> callback = std::move(first->second);
        m_deadlines.erase(first->first.second);
        m_timers.erase(first);
        callback();
    }
}

void event_loop::run()
{
    m_running = true;
    while (m_running) {
        m_nextRoundAt = absl::InfiniteFuture();
        for (const auto &hook : m_roundHooks)
            m_nextRoundAt = std::min(m_nextRoundAt, hook());
        if (!m_running)
            return;
        waitForEvents();
        fireTimers();
    }
}

} // namespace hyssoppond
