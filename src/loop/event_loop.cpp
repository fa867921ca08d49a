/// @file Implementation of the event loop on epoll.
#include "hyssoppond/loop/event_loop_base.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <stdexcept>

#include <sys/epoll.h>
#include <unistd.h>

namespace hyssoppond {

namespace {

/// Events taken from the kernel in one call.
constexpr int EventsPerWait = 32;

/// Longest sleep in milliseconds; bounds the effect of a timer that was computed too late.
constexpr int LongestWaitMs = 60'000;

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
    return absl::UnixEpoch()
        + absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

absl::Time event_loop::wallNow()
{
    return absl::FromChrono(std::chrono::system_clock::now());
}

void event_loop::watch(int descriptor, std::uint32_t events,
                       std::function<void(std::uint32_t)> ready)
{
    const auto found = m_watched.find(descriptor);
    epoll_event request {};
    request.events = events;
    request.data.fd = descriptor;
    if (found != m_watched.end()) {
        if (found->second->events != events) {
            epoll_ctl(m_epoll, EPOLL_CTL_MOD, descriptor, &request);
            found->second->events = events;
        }
        found->second->ready = std::move(ready);
        return;
    }
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &request);
    m_watched[descriptor] = std::make_shared<watched>(watched {std::move(ready), events});
}

void event_loop::unwatch(int descriptor)
{
    if (m_watched.erase(descriptor) != 0)
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
}

timer_id event_loop::callAt(absl::Time deadline, std::function<void()> fire)
{
    const timer_id timer = ++m_lastTimer;
    m_timers[{deadline, timer}] = std::move(fire);
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

void event_loop::onRound(std::function<absl::Time()> check)
{
    m_checks.push_back(std::move(check));
}

absl::Time event_loop::nextDeadline()
{
    const absl::Time timer
        = m_timers.empty() ? absl::InfiniteFuture() : m_timers.begin()->first.first;
    return std::min(timer, m_checkAt);
}

void event_loop::waitForEvents()
{
    const absl::Duration left = nextDeadline() - steadyNow();
    int timeoutMs = LongestWaitMs;
    if (left < absl::Milliseconds(LongestWaitMs))
        timeoutMs = static_cast<int>(std::max<std::int64_t>(
            0, absl::ToInt64Milliseconds(absl::Ceil(left, absl::Milliseconds(1)))));
    std::array<epoll_event, EventsPerWait> events {};
    const int count = epoll_wait(m_epoll, events.data(), EventsPerWait, timeoutMs);
    for (int i = 0; i < count; ++i) {
        const auto found = m_watched.find(events[static_cast<std::size_t>(i)].data.fd);
        if (found == m_watched.end())
            continue;
        // Kept alive, as the callback may unwatch its own descriptor.
        const std::shared_ptr<watched> current = found->second;
        current->ready(events[static_cast<std::size_t>(i)].events);
    }
}

void event_loop::fireTimers()
{
    const absl::Time now = steadyNow();
    while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
        const auto first = m_timers.begin();
        const std::function<void()> fire = std::move(first->second);
        m_deadlines.erase(first->first.second);
        m_timers.erase(first);
        fire();
    }
}

void event_loop::run()
{
    m_running = true;
    while (m_running) {
        m_checkAt = absl::InfiniteFuture();
        for (const auto &check : m_checks)
            m_checkAt = std::min(m_checkAt, check());
        if (!m_running)
            return;
        waitForEvents();
        fireTimers();
    }
}

} // namespace hyssoppond
