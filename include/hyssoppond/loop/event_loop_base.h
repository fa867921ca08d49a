/// @file Single-threaded loop over descriptors and timers, for processes whose idle cost matters.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace hyssoppond {

/// Identifies a timer until it fires or is cancelled; 0 is never used.
using timer_id = std::uint64_t;

/// Runs callbacks when descriptors are ready or deadlines pass. Deadlines are points on the steady
/// clock of `steadyNow`, so a step of the time of day moves no timer. Not thread-safe.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// Time on the steady clock; comparable only within this process.
    static absl::Time steadyNow();
    /// Time of day by the operating system's clock. absl::Now() interpolates with the processor's
    /// cycle counter, which runs at another rate where a machine is throttled or suspended.
    static absl::Time wallNow();

    /// Calls `ready(events)` whenever `descriptor` has one of the epoll `events`; replaces an
    /// earlier watch of the same descriptor.
    void watch(int descriptor, std::uint32_t events, std::function<void(std::uint32_t)> ready);
    void unwatch(int descriptor);

    /// Calls `fire` once, at `deadline` or slightly later.
    timer_id callAt(absl::Time deadline, std::function<void()> fire);
    void cancel(timer_id timer);

    /// Calls `check` after each round of callbacks; it returns when it wants the next round at the
    /// latest.
    void onRound(std::function<absl::Time()> check);

    /// Runs until `stop` is called.
    void run();
    void stop() { m_running = false; }

private:
    struct watched
    {
        std::function<void(std::uint32_t)> ready;
        std::uint32_t events = 0;
    };

    void waitForEvents();
    void fireTimers();
    absl::Time nextDeadline();

    int m_epoll;
    bool m_running = false;
    timer_id m_lastTimer = 0;
    std::map<int, std::shared_ptr<watched>> m_watched;
    std::map<std::pair<absl::Time, timer_id>, std::function<void()>> m_timers;
    std::map<timer_id, absl::Time> m_deadlines;
    std::vector<std::function<absl::Time()>> m_checks;
    absl::Time m_checkAt = absl::InfiniteFuture();
};

} // namespace hyssoppond
