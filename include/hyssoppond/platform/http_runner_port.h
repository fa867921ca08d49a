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
    std::string url;         ///< for example "http://127.0.0.1:8080", without a path
    std::size_t threads = 8; ///< calls in flight; the slots of the runner
    std::size_t maxQueued = 64;
};

/// Sends each call on a connection of its own thread. Completions run on these threads.
class http_runner_port : public runner_port
{
public:
    explicit http_runner_port(http_runner_options options);

    void call(runner_call what, std::function<void(result<std::string>)> done) override;

private:
    http_runner_options m_options;
    thread_pool m_threads;
};

} // namespace hyssoppond
