/// @file Virtual time: an event queue that tests, benchmarks and fault cells drive.
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

/// Clock that runs events in order of their time; events of the same time run in the order in which
/// they were scheduled.
class virtual_clock
{
public:
    explicit virtual_clock(std::uint64_t seed = 1)
        : m_random(seed)
    { }

    absl::Time now() const { return m_now; }

    /// Schedules `action` for `dueAt`, or for the present time if that has passed.
    void at(absl::Time dueAt, std::function<void()> action)
    {
        m_events.emplace(std::make_pair(std::max(dueAt, m_now), m_nextSequence++),
                         std::move(action));
    }
    void after(absl::Duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }

    /// Runs `action` every `period`, first after one period, until it returns false.
    void every(absl::Duration period, std::function<bool()> action)
    {
        after(period, [this, period, action = std::move(action)] {
            if (action())
                every(period, action);
        });
    }

    /// Runs all events up to and including `until`, then sets the time to `until`.
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

    /// Time of the next event; InfiniteFuture if there is none.
    absl::Time nextEvent() const
    {
        return m_events.empty() ? absl::InfiniteFuture() : m_events.begin()->first.first;
    }

    /// Uniform 64-bit value from the seeded generator.
    std::uint64_t random() { return m_random(); }
    /// Uniform value in [0, 1).
    double uniform() { return std::uniform_real_distribution<>(0, 1)(m_random); }

    /// Environment of a state machine whose clock is `skew` ahead of this one.
    environment hooks(absl::Duration skew = absl::ZeroDuration())
    {
        return {[this, skew] { return m_now + skew; }, [this] { return m_random(); }};
    }

private:
    absl::Time m_now = absl::FromUnixSeconds(1'000'000);
    std::uint64_t m_nextSequence = 0;
    std::multimap<std::pair<absl::Time, std::uint64_t>, std::function<void()>> m_events;
    std::mt19937_64 m_random;
};

} // namespace hyssoppond
