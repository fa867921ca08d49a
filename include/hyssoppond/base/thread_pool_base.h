/// @file Threads that run tasks from a bounded queue, and a timer that calls a function when due.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace hyssoppond {

/// Threads that run the tasks of one bounded queue. Thread-safe.
class thread_pool
{
public:
    /// Starts `threads` threads. Linux shows the first 15 bytes of `name`. At most `maxQueued`
    /// tasks wait.
    thread_pool(const std::string &name, std::size_t threads, std::size_t maxQueued);
    /// Calls stop().
    ~thread_pool();
    thread_pool(const thread_pool &) = delete;
    thread_pool &operator=(const thread_pool &) = delete;

    /// Queues a task. Returns false if the queue is full or the pool is stopping; never blocks.
    [[nodiscard]] bool post(std::function<void()> task);
    /// Refuses new tasks, runs the queued ones and joins the threads. Must not be called by a task.
    void stop();

private:
    void runTasks();

    const std::size_t m_maxQueued;
    absl::Mutex m_mutex;
    std::deque<std::function<void()>> m_tasks ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_threads;
};

/// Calls a function on its own thread whenever it is due by processNow(). Thread-safe.
class deadline_timer
{
public:
    /// `onDue` returns when it is to be called next; the first call is made at once.
    deadline_timer(const std::string &name, std::function<absl::Time()> onDue);
    ~deadline_timer();
    deadline_timer(const deadline_timer &) = delete;
    deadline_timer &operator=(const deadline_timer &) = delete;

    /// Brings the next call forward to `when` if it is due later.
    void wakeAt(absl::Time when);
    /// Ends the thread after the call that is running. Must not be called by `onDue`.
    void stop();

private:
    void runTimer();
    /// Makes the timer expire when the next call is due or the thread has to end.
    void arm() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    std::function<absl::Time()> m_onDue;
    const int m_timer; ///< file descriptor
    absl::Mutex m_mutex;
    absl::Time m_due ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace hyssoppond
