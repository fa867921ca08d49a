/// @file Implementation of the adapter to a runner.
#include "hyssoppond/platform/http_runner_port.h"

#include "hyssoppond/base/process_clock_base.h"

#include "http_exchange_base.h"

#include <absl/strings/str_format.h>

#include <utility>

namespace hyssoppond {

namespace {

/// A call may run for long before the first byte of its answer. The stall timeout is therefore so
/// long that only the deadline of the call bounds it.
constexpr exchange_timeouts CallTimeouts {absl::Seconds(1), absl::Hours(1)};

/// Sends one call to the runner and waits for the answer.
result<std::string> runCall(const std::string &url, const runner_call &runnerCall)
{
    thread_local http_exchange exchange(CallTimeouts);
    http_answer answer = exchange.run(url + "/call", runnerCall.payload, runnerCall.deadline);
    if (answer.status == 200)
        return std::move(answer.body);
    if (answer.status == 429) {
        return fail(reason::Overloaded, "the runner has no free slot; retry later",
                    execution::NotRun, processNow());
    }
    if (answer.status != 0) {
        return fail(
            reason::RunnerFailed,
            absl::StrFormat(
                "the runner answered with status %d: %s; check the payload and the runner's log",
                answer.status, answer.body),
            execution::Ran);
    }
    return fail(
        reason::RunnerUnreachable,
        absl::StrFormat("no answer from the runner: %s; check that it runs", answer.failureReason),
        answer.unsent ? execution::NotRun : execution::Unknown);
}

} // namespace

http_runner_port::http_runner_port(http_runner_options options)
    : m_options(std::move(options))
    , m_threads("runner", m_options.threads, m_options.maxQueued)
{ }

void http_runner_port::call(runner_call runnerCall, std::function<void(result<std::string>)> done)
{
    const auto sharedDone
        = std::make_shared<std::function<void(result<std::string>)>>(std::move(done));
    const bool queued = m_threads.post([this, runnerCall = std::move(runnerCall), sharedDone] {
        (*sharedDone)(runCall(m_options.url, runnerCall));
    });
    if (!queued) {
        (*sharedDone)(fail(reason::Overloaded, "too many calls wait for the runner; retry later",
                           execution::NotRun, processNow()));
    }
}

} // namespace hyssoppond
