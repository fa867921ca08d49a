/// @file Implementation of the strand.
#include "hyssoppond/base/strand_base.h"

#include "hyssoppond/base/process_clock_base.h"

#include <algorithm>
#include <utility>

namespace hyssoppond {

namespace {

/// Tasks that a strand runs before it returns the thread to other strands.
constexpr std::size_t MaxBatchTasks = 64;
/// Least time between two ticks without tasks, so that a deadline in the past does not occupy a
/// core.
constexpr absl::Duration MinTickInterval = absl::Milliseconds(2);
/// Time until a strand that a full pool refused is posted again.
constexpr absl::Duration FullPoolRetryDelay = absl::Milliseconds(5);

} // namespace

strand::strand(const std::string &name, thread_pool *pool, std::size_t maxQueued,
               std::function<void()> tick, std::function<absl::Time()> nextDeadline)
    : m_pool(pool)
    , m_maxQueued(maxQueued)
    , m_tick(std::move(tick))
    , m_nextDeadline(std::move(nextDeadline))
    , m_name(name)
{ }

void strand::start()
{
    m_timer = std::make_unique<deadline_timer>(m_name, [this] {
        const absl::MutexLock lock(&m_mutex);
        if (!m_started || m_stopping)
            return absl::InfiniteFuture();
        schedule();
        return m_scheduled ? absl::InfiniteFuture() : processNow() + FullPoolRetryDelay;
    });
    // Tasks run only from here on, because runBatch() uses m_timer.
    const absl::MutexLock lock(&m_mutex);
    m_started = true;
    schedule();
}

strand::~strand()
{
    stop();
}

void strand::schedule()
{
    if (m_started && !m_scheduled)
        m_scheduled = m_pool->post([this] { runBatch(); });
}

bool strand::post(std::function<void()> task)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_stopping || m_tasks.size() >= m_maxQueued)
            return false;
        m_tasks.push_back(std::move(task));
        schedule();
        if (m_scheduled || !m_started)
            return true;
    }
    m_timer->wakeAt(processNow() + FullPoolRetryDelay);
    return true;
}

void strand::runBatch()
{
    std::deque<std::function<void()>> batch;
    {
        const absl::MutexLock lock(&m_mutex);
        for (std::size_t i = 0; i < MaxBatchTasks && !m_tasks.empty(); ++i) {
            batch.push_back(std::move(m_tasks.front()));
            m_tasks.pop_front();
        }
    }
    for (const auto &task : batch)
        task();
    m_tick();
    absl::Time next = std::max(m_nextDeadline(), processNow() + MinTickInterval);
    const absl::MutexLock lock(&m_mutex);
    m_scheduled = false;
    if (!m_tasks.empty()) {
        schedule();
        if (!m_scheduled)
            next = std::min(next, processNow() + FullPoolRetryDelay);
    }
    // wakeAt() is called under the mutex. If the timer fired before m_scheduled is false, the tick
    // would be lost, and after stop() the timer may be destroyed as soon as the mutex is free.
    m_timer->wakeAt(next);
}

void strand::stop()
{
    if (m_timer)
        m_timer->stop();
    const auto idle = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return !m_scheduled; };
    std::deque<std::function<void()>> remaining;
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        m_mutex.Await(absl::Condition(&idle));
        remaining.swap(m_tasks);
        if (!m_started)
            return;
    }
    // Tasks remain if a full pool refused the strand after its last batch. They run on this thread.
    for (const auto &task : remaining)
        task();
}

} // namespace hyssoppond
