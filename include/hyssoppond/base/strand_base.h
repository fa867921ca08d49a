/// @file Runs a state machine on a thread pool: its tasks one at a time and in order, its ticks
/// when due.
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

/// Serialises access to one state machine. A task may post to other strands but never waits for
/// them, so no two state machines are locked at the same time.
class strand
{
public:
    /// `tick` does the work of the state machine that is due, `nextDeadline` returns when `tick` is
    /// due next. Neither runs at the same time as a task. At most `maxQueued` tasks wait.
    strand(const std::string &name, thread_pool *pool, std::size_t maxQueued,
           std::function<void()> tick, std::function<absl::Time()> nextDeadline);
    ~strand();
    strand(const strand &) = delete;
    strand &operator=(const strand &) = delete;

    /// Starts running tasks and ticks. Tasks posted earlier wait until then.
    void start();
    /// Queues a task; false if the queue is full or the strand has stopped.
    bool post(std::function<void()> task);
    /// Refuses new tasks and waits until the queued ones have run; without start() they are
    /// discarded. Must not be called by a task.
    void stop();

private:
    /// Runs up to one batch of tasks and a tick, then schedules the next run. Runs on the pool.
    void runBatch();
    /// Posts runBatch() to the pool unless it is already posted. m_scheduled stays false if the
    /// pool is full.
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
