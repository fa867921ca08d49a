/// @file Runs a state machine on a thread pool: tasks one at a time and in order, ticks when due.
#pragma once

#include "hyssoppond/base/thread_pool_base.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace hyssoppond {

/// Serialises access to one state machine. A task may post to other strands; it never waits for
/// them, so no two state machines are locked at the same time.
class strand
{
public:
    /// `tick` performs what is due, `nextDeadline` tells when it is due next; both run as tasks.
    /// At most `maxQueued` tasks wait.
    strand(const std::string &name, thread_pool *pool, std::size_t maxQueued,
           std::function<void()> tick, std::function<absl::Time()> nextDeadline);
    ~strand();
    strand(const strand &) = delete;
    strand &operator=(const strand &) = delete;

    /// Begins to run tasks and ticks. Tasks posted earlier wait for it.
    void start();
    /// Queues a task; false if the queue is full or the strand has stopped.
    bool post(std::function<void()> task);
    /// Refuses new tasks and waits until the queued ones have run. Not to be called by a task.
    void stop();

private:
    void drain();
    void schedule() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    thread_pool *m_pool;
    const std::size_t m_maxQueued;
    std::function<void()> m_tick;
    std::function<absl::Time()> m_nextDeadline;
    absl::Mutex m_mutex;
    std::deque<std::function<void()>> m_tasks ABSL_GUARDED_BY(m_mutex);
    bool m_scheduled ABSL_GUARDED_BY(m_mutex) = false;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    bool m_started ABSL_GUARDED_BY(m_mutex) = false;
    const std::string m_name;
    std::unique_ptr<deadline_timer> m_timer; ///< set by start()
};

} // namespace hyssoppond
