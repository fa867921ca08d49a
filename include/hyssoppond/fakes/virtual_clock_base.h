/// @file Virtual time: an event queue that tests, benches and fault cells drive.
#pragma once

#include "hyssoppond/base/environment_type.h"

#include <absl/random/random.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace hyssoppond {

/// Events in order of time, then of their scheduling.
class virtual_clock
{
public:
    explicit virtual_clock(std::uint64_t seed = 1)
        : m_random(seed)
    { }

    absl::Time now() const { return m_now; }

    /// Runs `what` at `when`, or at once in order if that is past.
    void at(absl::Time when, std::function<void()> what)
    {
        m_events.emplace(std::make_pair(std::max(when, m_now), m_next++), std::move(what));
    }
    void after(absl::Duration delay, std::function<void()> what)
    {
        at(m_now + delay, std::move(what));
    }

    /// Runs `what` every `period` until it returns false.
    void every(absl::Duration period, std::function<bool()> what)
    {
        after(period, [this, period, what = std::move(what)] {
            if (what())
                every(period, what);
        });
    }

    /// Runs all events up to `until` and sets the time to it.
    void runUntil(absl::Time until)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= until) {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key().first;
            node.mapped()();
        }
        m_now = until;
    }
    void runFor(absl::Duration span) { runUntil(m_now + span); }

    /// Next event's time; InfiniteFuture if there is none.
    absl::Time nextEvent() const
    {
        return m_events.empty() ? absl::InfiniteFuture() : m_events.begin()->first.first;
    }

    /// Uniform 64-bit value from the seeded generator.
    std::uint64_t random() { return m_random(); }
    /// Uniform value in [0, 1).
    double uniform() { return std::uniform_real_distribution<>(0, 1)(m_random); }

    /// Hooks for a state machine whose clock is `skew` ahead of this one.
    environment hooks(absl::Duration skew = absl::ZeroDuration())
    {
        return {[this, skew] { return m_now + skew; }, [this] { return m_random(); }};
    }

private:
    absl::Time m_now = absl::FromUnixSeconds(1'000'000);
    std::uint64_t m_next = 0;
    std::multimap<std::pair<absl::Time, std::uint64_t>, std::function<void()>> m_events;
    std::mt19937_64 m_random;
};

} // namespace hyssoppond
