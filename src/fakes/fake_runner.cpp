/// @file Implementation of the fake runner.
#include "hyssoppond/fakes/fake_runner_base.h"

namespace hyssoppond {

void fake_runner::crash()
{
    ++m_generation;
    m_busy = 0;
}

void fake_runner::call(runner_call runnerCall, std::function<void(result<std::string>)> done)
{
    if (m_busy >= m_slots) {
        done(fail(reason::Overloaded, "all slots of the runner are busy; retry later"));
        return;
    }
    ++m_busy;
    const std::size_t index = m_runs.size();
    m_runs.push_back({runnerCall.request, runnerCall.payload, m_clock->now()});
    if (faults.hang)
        return;
    m_clock->after(serviceTime(runnerCall) * faults.slowdown,
                   [this, index, done = std::move(done), generation = m_generation] {
                       if (generation == m_generation)
                           finish(index, done);
                   });
}

void fake_runner::finish(std::size_t index, const std::function<void(result<std::string>)> &done)
{
    --m_busy;
    m_runs[index].until = m_clock->now();
    if (faults.loseAnswers)
        return;
    if (faults.failCalls)
        done(fail(reason::RunnerFailed, "the runner failed the call", execution::Ran));
    else
        done(answerTo(m_runs[index].payload));
}

} // namespace hyssoppond
