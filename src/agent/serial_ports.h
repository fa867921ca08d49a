/// @file Worker and runner ports whose completions run as tasks of a strand.
#pragma once

#include "hyssoppond/base/strand_base.h"
#include "hyssoppond/platform/runner_port.h"
#include "hyssoppond/platform/worker_port.h"

#include <utility>

namespace hyssoppond {

/// Wraps a completion so that it runs as a task of `completionStrand`.
template<class value>
std::function<void(result<value>)> completeOnStrand(strand *completionStrand,
                                                    std::function<void(result<value>)> done)
{
    return [completionStrand, done = std::move(done)](result<value> outcome) {
        completionStrand->post([done, outcome = std::move(outcome)] { done(outcome); });
    };
}

/// Forwards requests to the inner worker port and runs their completions on completionStrand.
class serial_worker_port : public worker_port
{
public:
    explicit serial_worker_port(worker_port *inner)
        : m_inner(inner)
    { }

    /// Must be set before the first request.
    strand *completionStrand = nullptr;

    void startTask(task_start request, std::function<void(result<task_status>)> done) override
    {
        m_inner->startTask(std::move(request), completeOnStrand(completionStrand, std::move(done)));
    }
    void renewLease(task_id id, absl::Time leaseUntil,
                    std::function<void(result<task_status>)> done) override
    {
        m_inner->renewLease(std::move(id), leaseUntil,
                            completeOnStrand(completionStrand, std::move(done)));
    }
    void checkpointTask(task_id id, absl::Time deadline,
                        std::function<void(result<task_status>)> done) override
    {
        m_inner->checkpointTask(std::move(id), deadline,
                                completeOnStrand(completionStrand, std::move(done)));
    }
    void throttleTask(task_id id, std::uint32_t percent,
                      std::function<void(result<task_status>)> done) override
    {
        m_inner->throttleTask(std::move(id), percent,
                              completeOnStrand(completionStrand, std::move(done)));
    }
    void stopTask(task_id id, std::function<void(result<task_status>)> done) override
    {
        m_inner->stopTask(std::move(id), completeOnStrand(completionStrand, std::move(done)));
    }
    void listTasks(std::function<void(result<std::vector<task_status>>)> done) override
    {
        m_inner->listTasks(completeOnStrand(completionStrand, std::move(done)));
    }

private:
    worker_port *m_inner;
};

/// Forwards calls to the inner runner port and runs their completions on completionStrand.
class serial_runner_port : public runner_port
{
public:
    explicit serial_runner_port(runner_port *inner)
        : m_inner(inner)
    { }

    /// Must be set before the first call.
    strand *completionStrand = nullptr;

    void call(runner_call request, std::function<void(result<std::string>)> done) override
    {
        m_inner->call(std::move(request), completeOnStrand(completionStrand, std::move(done)));
    }

private:
    runner_port *m_inner;
};

} // namespace hyssoppond
