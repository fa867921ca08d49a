/// @file Single-threaded loop over descriptors and timers. It sleeps until the next event, so an
/// idle process uses little processor time.
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
/// clock of `steadyNow`, so an adjustment of the system clock does not move timers. Not
/// thread-safe.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// Time on the steady clock; comparable only within this process. It counts the time during
    /// which the machine is suspended, because other machines rely on leases measured with it.
    /// std::chrono::steady_clock stands still meanwhile.
    static absl::Time steadyNow();
    /// Time since boot during which the machine was suspended.
    static absl::Duration suspendedTime();
    /// Time of day by the operating system's clock. absl::Now() interpolates with the processor's
    /// cycle counter, which runs at another rate where a machine is throttled or suspended.
    static absl::Time wallNow();

    /// Calls `onReady` with the pending epoll events whenever `descriptor` has one of `events`.
    /// Replaces an earlier watch of the same descriptor.
    void watch(int descriptor, std::uint32_t events, std::function<void(std::uint32_t)> onReady);
    void unwatch(int descriptor);

    /// Calls `callback` once, at `deadline` or slightly later.
    timer_id callAt(absl::Time deadline, std::function<void()> callback);
    void cancel(timer_id timer);

    /// Calls `hook` before the loop waits for events, once per round of callbacks. It returns the
    /// latest time at which the next round must start.
    void onRound(std::function<absl::Time()> hook);

    /// Runs until `stop` is called.
    void run();
    void stop() { m_running = false; }

private:
    struct watch_entry
    {
        std::function<void(std::uint32_t)> onReady;
        std::uint32_t events = 0;
    };

    void waitForEvents();
    void fireTimers();
    absl::Time nextDeadline();

    int m_epoll;
    bool m_running = false;
    timer_id m_lastTimer = 0;
    std::map<int, std::shared_ptr<watch_entry>> m_watches;
    std::map<std::pair<absl::Time, timer_id>, std::function<void()>> m_timers;
    std::map<timer_id, absl::Time> m_deadlines;
    std::vector<std::function<absl::Time()>> m_roundHooks;
    absl::Time m_nextRoundAt = absl::InfiniteFuture();
};

} // namespace hyssoppond
