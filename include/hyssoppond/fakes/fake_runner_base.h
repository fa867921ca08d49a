/// @file In-memory fake of a runner that keeps its own record of the calls that it ran.
#pragma once

#include "hyssoppond/fakes/virtual_clock_base.h"
#include "hyssoppond/platform/runner_port.h"

#include <cstdint>
#include <vector>

namespace hyssoppond {

/// Faults of a fake runner.
struct runner_faults
{
    bool failCalls = false;   ///< runs each call and answers with an error
    bool loseAnswers = false; ///< runs each call and never answers
    bool hang = false;        ///< begins each call, keeps its slot and never ends it
    double slowdown = 1;      ///< factor on the service time
};

/// One call in the runner's own record.
struct call_run
{
    request_id request;
    std::string payload;
    absl::Time from;
    absl::Time until = absl::InfiniteFuture(); ///< InfiniteFuture if it has not ended
};

/// Fake of one runner. A call beyond its slots is answered Overloaded without being run.
class fake_runner : public runner_port
{
public:
    explicit fake_runner(virtual_clock *clock, std::uint32_t slots = 8)
        : m_clock(clock)
        , m_slots(slots)
    { }

    runner_faults faults;
    /// Service time of a call, without the slowdown.
    std::function<absl::Duration(const runner_call &)> serviceTime
        = [](const runner_call &) { return absl::Milliseconds(10); };

    /// Every call that began, oldest first. Checkers compare this record with what the scheduler
    /// reports.
    const std::vector<call_run> &runs() const { return m_runs; }
    std::uint32_t busySlots() const { return m_busy; }
    /// Stops all calls without an answer and empties the slots.
    void crash();

    /// Answer that the runner gives to a payload.
    static std::string answerTo(const std::string &payload) { return "answer to " + payload; }

    void call(runner_call runnerCall, std::function<void(result<std::string>)> done) override;

private:
    void finish(std::size_t index, const std::function<void(result<std::string>)> &done);

    virtual_clock *m_clock;
    std::uint32_t m_slots;
    std::uint32_t m_busy = 0;
    std::uint64_t m_generation = 0; ///< number of crashes; calls from before a crash never end
    std::vector<call_run> m_runs;
};

} // namespace hyssoppond
