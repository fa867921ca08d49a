/// @file Implementation of the adapter to a runner.
#include "hyssoppond/platform/http_runner_port.h"

#include "http_exchange_base.h"

#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include <utility>

namespace hyssoppond {

namespace {

/// A call may take long without a byte; its deadline bounds it.
constexpr exchange_timeouts CallTimeouts {absl::Seconds(1), absl::Hours(1)};

result<std::string> runCall(const std::string &url, const runner_call &what)
{
    thread_local http_exchange exchange(CallTimeouts);
    http_answer answer = exchange.run(url + "/call", what.payload, what.deadline);
    if (answer.status == 200)
        return std::move(answer.body);
    if (answer.status == 429) {
        return fail(reason::Overloaded, "the runner has no free slot; retry later",
                    execution::NotRun, absl::Now());
    }
    if (answer.status != 0) {
        return fail(
            reason::RunnerFailed,
            absl::StrFormat("the runner answered status %d: %s", answer.status, answer.body),
            execution::Ran);
    }
    return fail(
        reason::RunnerUnreachable,
        absl::StrFormat("no answer from the runner: %s; check that it runs", answer.problem),
        answer.unsent ? execution::NotRun : execution::Unknown);
}

} // namespace

http_runner_port::http_runner_port(http_runner_options options)
    : m_options(std::move(options))
    , m_threads("runner", m_options.threads, m_options.maxQueued)
{ }

void http_runner_port::call(runner_call what, std::function<void(result<std::string>)> done)
{
    const auto shared = std::make_shared<std::function<void(result<std::string>)>>(std::move(done));
    const bool queued = m_threads.post(
        [this, what = std::move(what), shared] { (*shared)(runCall(m_options.url, what)); });
    if (!queued) {
        (*shared)(fail(reason::Overloaded, "too many calls wait for the runner; retry later",
                       execution::NotRun, absl::Now()));
    }
}

} // namespace hyssoppond
