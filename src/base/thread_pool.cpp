/// @file Implementation of the thread pool and the timer.
#include "hyssoppond/base/thread_pool_base.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

#include <pthread.h>

namespace hyssoppond {
namespace {

constexpr std::size_t MaxThreadNameBytes = 15; // limit of Linux for thread names

void setThreadName(std::thread &thread, const std::string &name)
{
    pthread_setname_np(thread.native_handle(), name.substr(0, MaxThreadNameBytes).c_str());
}

} // namespace

thread_pool::thread_pool(const std::string &name, std::size_t threads, std::size_t maxQueued)
    : m_maxQueued(maxQueued)
{
    for (std::size_t i = 0; i < threads; ++i) {
        m_threads.emplace_back([this] { runTasks(); });
        setThreadName(m_threads.back(), name);
    }
}

thread_pool::~thread_pool()
{
    stop();
}

bool thread_pool::post(std::function<void()> task)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_stopping || m_tasks.size() >= m_maxQueued)
        return false;
    m_tasks.push_back(std::move(task));
    return true;
}

void thread_pool::stop()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    for (std::thread &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void thread_pool::runTasks()
{
    const auto ready
        = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_stopping || !m_tasks.empty(); };
    while (true) {
        std::function<void()> task;
        {
            const absl::MutexLock lock(&m_mutex);
            m_mutex.Await(absl::Condition(&ready));
            if (m_tasks.empty())
                return;
            task = std::move(m_tasks.front());
            m_tasks.pop_front();
        }
        task();
    }
}

deadline_timer::deadline_timer(const std::string &name, std::function<absl::Time()> onDue)
    : m_onDue(std::move(onDue))
    , m_thread([this] { runTimer(); })
{
    setThreadName(m_thread, name);
}

deadline_timer::~deadline_timer()
{
    stop();
}

void deadline_timer::wakeAt(absl::Time when)
{
    const absl::MutexLock lock(&m_mutex);
    if (when >= m_due)
        return;
    m_due = when;
    m_changed.Signal();
}

void deadline_timer::stop()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        m_changed.Signal();
    }
    if (m_thread.joinable())
        m_thread.join();
}

void deadline_timer::runTimer()
{
    while (true) {
        {
            const absl::MutexLock lock(&m_mutex);
            while (!m_stopping && m_due > absl::Now())
                m_changed.WaitWithDeadline(&m_mutex, m_due);
            if (m_stopping)
                return;
            // m_due is reset before the call, so that a wakeAt() during the call is kept.
            m_due = absl::InfiniteFuture();
        }
        const absl::Time next = m_onDue();
        const absl::MutexLock lock(&m_mutex);
        m_due = std::min(m_due, next);
    }
}

} // namespace hyssoppond
