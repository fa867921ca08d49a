/// @file Implementation of the thread pool and the timer.
#include "hyssoppond/base/thread_pool_base.h"

#include "hyssoppond/base/process_clock_base.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include <pthread.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace hyssoppond {
namespace {

constexpr std::size_t MaxThreadNameBytes = 15; // limit of Linux for thread names

void setThreadName(std::thread &thread, const std::string &name)
{
    pthread_setname_np(thread.native_handle(), name.substr(0, MaxThreadNameBytes).c_str());
}

/// Timer that no step of the time of day moves, and that expires during a suspension.
int openTimer()
{
    const int timer = timerfd_create(CLOCK_BOOTTIME, TFD_CLOEXEC);
    if (timer < 0)
        throw std::runtime_error("timerfd_create failed; raise the limit of open files");
    return timer;
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
    , m_timer(openTimer())
    , m_thread([this] { runTimer(); })
{
    setThreadName(m_thread, name);
}

deadline_timer::~deadline_timer()
{
    stop();
    close(m_timer);
}

void deadline_timer::wakeAt(absl::Time when)
{
    const absl::MutexLock lock(&m_mutex);
    if (when >= m_due)
        return;
    m_due = when;
    arm();
}

void deadline_timer::stop()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        arm();
    }
    if (m_thread.joinable())
        m_thread.join();
}

void deadline_timer::arm()
{
    itimerspec expiry {}; // a value of 0 disarms the timer
    if (m_stopping)
        expiry.it_value.tv_nsec = 1;
    else if (m_due != absl::InfiniteFuture())
        expiry.it_value = absl::ToTimespec(std::max(m_due - processNow(), absl::Nanoseconds(1)));
    timerfd_settime(m_timer, 0, &expiry, nullptr);
}

void deadline_timer::runTimer()
{
    while (true) {
        bool isDue = false;
        {
            const absl::MutexLock lock(&m_mutex);
            if (m_stopping)
                return;
            isDue = m_due <= processNow();
            // m_due is reset before the call, so that a wakeAt() during the call is kept.
            if (isDue)
                m_due = absl::InfiniteFuture();
            else
                arm();
        }
        if (!isDue) {
            std::uint64_t expirations = 0;
            [[maybe_unused]] const ssize_t bytesRead
                = read(m_timer, &expirations, sizeof expirations);
            continue;
        }
        const absl::Time next = m_onDue();
        const absl::MutexLock lock(&m_mutex);
        m_due = std::min(m_due, next);
    }
}

} // namespace hyssoppond
