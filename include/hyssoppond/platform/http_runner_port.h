/// @file Adapter to a runner over HTTP, as docs/platform-protocol.md defines it.
#pragma once

#include "hyssoppond/base/thread_pool_base.h"
#include "hyssoppond/platform/runner_port.h"

#include <cstddef>
#include <string>

namespace hyssoppond {

/// Settings of an http_runner_port.
struct http_runner_options
{
    std::string url;            ///< for example "http://127.0.0.1:8080", without a path
    std::size_t threads = 8;    ///< calls in flight; as many as the runner has slots
    std::size_t maxQueued = 64; ///< calls waiting for a thread; further ones get Overloaded
};

/// Sends each call from a pool thread over the connection that this thread keeps. Completions run
/// on the pool threads. Errors: Overloaded (NotRun), RunnerFailed (Ran) and RunnerUnreachable
/// (NotRun if certainly nothing was sent, else Unknown).
class http_runner_port : public runner_port
{
public:
    explicit http_runner_port(http_runner_options options);

    void call(runner_call runnerCall, std::function<void(result<std::string>)> done) override;

private:
    http_runner_options m_options;
    thread_pool m_threads;
};

} // namespace hyssoppond
