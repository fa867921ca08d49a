/// @file Ports whose completions run as tasks of a state machine.
#pragma once

#include "hyssoppond/base/strand_base.h"
#include "hyssoppond/platform/runner_port.h"
#include "hyssoppond/platform/worker_port.h"

#include <utility>

namespace hyssoppond {

/// Wraps a completion so that it runs as a task of `completionStrand`.
template<class value>
std::function<void(result<value>)> serialised(strand *completionStrand,
                                              std::function<void(result<value>)> done)
{
    return [completionStrand, done = std::move(done)](result<value> what) {
        completionStrand->post([done, what = std::move(what)] { done(what); });
    };
}

/// Passes requests on to a worker.
class serial_worker_port : public worker_port
{
public:
    explicit serial_worker_port(worker_port *inner)
        : m_inner(inner)
    { }

    /// Set before the first request.
    strand *completionStrand = nullptr;

    void startTask(task_start what, std::function<void(result<task_status>)> done) override
    {
        m_inner->startTask(std::move(what), serialised(completionStrand, std::move(done)));
    }
    void renewLease(task_id id, absl::Time leaseUntil,
                    std::function<void(result<task_status>)> done) override
    {
        m_inner->renewLease(std::move(id), leaseUntil,
                            serialised(completionStrand, std::move(done)));
    }
    void checkpointTask(task_id id, absl::Time deadline,
                        std::function<void(result<task_status>)> done) override
    {
        m_inner->checkpointTask(std::move(id), deadline,
                                serialised(completionStrand, std::move(done)));
    }
    void throttleTask(task_id id, std::uint32_t percent,
                      std::function<void(result<task_status>)> done) override
    {
        m_inner->throttleTask(std::move(id), percent,
                              serialised(completionStrand, std::move(done)));
    }
    void stopTask(task_id id, std::function<void(result<task_status>)> done) override
    {
        m_inner->stopTask(std::move(id), serialised(completionStrand, std::move(done)));
    }
    void listTasks(std::function<void(result<std::vector<task_status>>)> done) override
    {
        m_inner->listTasks(serialised(completionStrand, std::move(done)));
    }

private:
    worker_port *m_inner;
};

/// Passes calls on to a runner.
class serial_runner_port : public runner_port
{
public:
    explicit serial_runner_port(runner_port *inner)
        : m_inner(inner)
    { }

    /// Set before the first call.
    strand *completionStrand = nullptr;

    void call(runner_call what, std::function<void(result<std::string>)> done) override
    {
        m_inner->call(std::move(what), serialised(completionStrand, std::move(done)));
    }

private:
    runner_port *m_inner;
};

} // namespace hyssoppond
