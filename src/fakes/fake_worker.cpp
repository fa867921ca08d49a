/// @file Implementation of the fake worker.
#include "hyssoppond/fakes/fake_worker_base.h"

namespace hyssoppond {

template<class value>
void fake_worker::answer(std::function<void(result<value>)> done, result<value> outcome)
{
    if (faults.loseAnswers)
        return;
    m_clock->after(faults.answerDelay,
                   [done = std::move(done), outcome = std::move(outcome)] { done(outcome); });
}

result<task_status> fake_worker::find(const task_id &id) const
{
    const auto it = m_tasks.find(id);
    if (it == m_tasks.end())
        return fail(reason::UnknownJob, "the worker has no such task; list its tasks first");
    return it->second;
}

void fake_worker::finish(const task_id &id, task_state state)
{
    const auto it = m_tasks.find(id);
    if (it == m_tasks.end() || it->second.state != task_state::Running)
        return;
    it->second.state = state;
    for (task_run &run : m_runs) {
        if (run.id == id && run.until == absl::InfiniteFuture())
            run.until = m_clock->now();
    }
}

void fake_worker::crash()
{
    for (auto &[id, status] : m_tasks)
        finish(id, task_state::Stopped);
}

void fake_worker::scheduleLapse(const task_id &id)
{
    m_clock->at(m_tasks.at(id).leaseUntil, [this, id] {
        const auto it = m_tasks.find(id);
        if (it == m_tasks.end() || it->second.state != task_state::Running)
            return;
        if (it->second.leaseUntil <= m_clock->now())
            finish(id, task_state::Stopped);
    });
}

void fake_worker::startTask(task_start order, std::function<void(result<task_status>)> done)
{
    if (faults.unreachable)
        return;
    if (m_tasks.contains(order.id))
        return answer<task_status>(std::move(done), find(order.id));
    const absl::Time now = m_clock->now();
    if (now >= order.startBefore || now >= order.leaseUntil) {
        return answer<task_status>(std::move(done),
                                   fail(reason::Expired, "the time to start this task has passed"));
    }
    if (faults.refuseStarts) {
        return answer<task_status>(std::move(done),
                                   fail(reason::WorkerRefused, "the worker cannot start tasks"));
    }
    for (const auto &[id, status] : m_tasks) {
        if (status.state == task_state::Running
            && (status.accelerators & order.accelerators) != 0) {
            return answer<task_status>(
                std::move(done),
                fail(reason::AcceleratorBusy, "an accelerator is in use; stop its task first"));
        }
    }
    m_tasks[order.id] = {order.id, task_state::Running, order.leaseUntil, order.accelerators};
    m_runs.push_back({order.id, now});
    scheduleLapse(order.id);
    if (runTime < absl::InfiniteDuration())
        m_clock->after(runTime, [this, id = order.id] { finish(id, task_state::Completed); });
    answer<task_status>(std::move(done), find(order.id));
}

void fake_worker::renewLease(task_id id, absl::Time leaseUntil,
                             std::function<void(result<task_status>)> done)
{
    if (faults.unreachable)
        return;
    const auto it = m_tasks.find(id);
    if (it != m_tasks.end() && it->second.state == task_state::Running
        && leaseUntil > it->second.leaseUntil) {
        it->second.leaseUntil = leaseUntil;
        scheduleLapse(id);
    }
    answer<task_status>(std::move(done), find(id));
}

void fake_worker::checkpointTask(task_id id, absl::Time,
                                 std::function<void(result<task_status>)> done)
{
    if (!faults.unreachable)
        answer<task_status>(std::move(done), find(id));
}

void fake_worker::throttleTask(task_id id, std::uint32_t,
                               std::function<void(result<task_status>)> done)
{
    if (!faults.unreachable)
        answer<task_status>(std::move(done), find(id));
}

void fake_worker::stopTask(task_id id, std::function<void(result<task_status>)> done)
{
    if (faults.unreachable)
        return;
    if (!m_tasks.contains(id))
        m_tasks[id] = {id, task_state::Stopped, m_clock->now(), 0};
    finish(id, task_state::Stopped);
    answer<task_status>(std::move(done), find(id));
}

void fake_worker::listTasks(std::function<void(result<std::vector<task_status>>)> done)
{
    if (faults.unreachable)
        return;
    std::vector<task_status> list;
    for (const auto &[id, status] : m_tasks)
        list.push_back(status);
    answer<std::vector<task_status>>(std::move(done), list);
}

} // namespace hyssoppond
