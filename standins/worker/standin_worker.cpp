/// @file Tasks of the worker stand-in.
#include "standin_worker_base.h"

#include "hyssoppond/platform/worker_json_func.h"

#include <absl/strings/numbers.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace hyssoppond::standins {

namespace {

standin_answer answerOf(const result<task_status> &status)
{
    if (status)
        return {200, toJson(*status).dump(), false, absl::ZeroDuration()};
    return {409, toJson(status.error()).dump(), false, absl::ZeroDuration()};
}

absl::Duration runTimeOf(const std::string &command)
{
    double seconds = 0;
    if (command.starts_with("sleep ") && absl::SimpleAtod(command.substr(6), &seconds))
        return absl::Seconds(seconds);
    return absl::InfiniteDuration();
}

} // namespace

void standin_worker::advance(absl::Time now)
{
    for (auto &[id, one] : m_tasks) {
        if (one.status.state != task_state::Running)
            continue;
        const absl::Time completes = one.percent == 0
            ? absl::InfiniteFuture()
            : one.countedAt + one.left * (100.0 / one.percent);
        const absl::Time due = std::min(completes, one.status.leaseUntil);
        if (due <= now) {
            one.status.state
                = completes <= one.status.leaseUntil ? task_state::Completed : task_state::Stopped;
            one.until = due;
            continue;
        }
        one.left -= (now - one.countedAt) * (one.percent / 100.0);
        one.countedAt = now;
    }
}

result<task_status> standin_worker::start(const task_start &what, absl::Time now)
{
    const auto known = m_tasks.find(what.id);
    if (known != m_tasks.end())
        return known->second.status;
    if (now >= what.startBefore || now >= what.leaseUntil)
        return fail(reason::Expired, "the time to start this task has passed; use a new attempt");
    if (m_faults.refuseStarts)
        return fail(reason::WorkerRefused, "the worker cannot start tasks; use another worker");
    if ((what.accelerators >> m_accelerators) != 0)
        return fail(reason::ImpossibleShape, "the worker has fewer accelerators; use another");
    for (const auto &[id, one] : m_tasks) {
        if (one.status.state == task_state::Running
            && (one.status.accelerators & what.accelerators) != 0)
            return fail(reason::AcceleratorBusy, "an accelerator is in use; stop its task first");
    }
    task &one = m_tasks[what.id];
    one.status = {what.id, task_state::Running, what.leaseUntil, what.accelerators};
    one.from = now;
    one.countedAt = now;
    one.left = runTimeOf(what.command);
    one.ran = true;
    if (what.command == "fail") {
        one.status.state = task_state::Failed;
        one.until = now;
    }
    return one.status;
}

result<task_status> standin_worker::change(const std::string &path, task &one,
                                           const nlohmann::json &body, absl::Time now)
{
    const bool running = one.status.state == task_state::Running;
    if (path == "/tasks/renew" && running) {
        one.status.leaseUntil
            = std::max(one.status.leaseUntil,
                       absl::FromUnixMicros(body.value("leaseUntil", std::int64_t {0})));
    } else if (path == "/tasks/throttle" && running) {
        one.percent = std::min<std::uint32_t>(100, body.value("percent", 100U));
    } else if (path == "/tasks/stop" && running) {
        one.status.state = task_state::Stopped;
        one.until = now;
    }
    return one.status; // a checkpoint takes no time
}

result<task_status> standin_worker::act(const std::string &path, const nlohmann::json &body,
                                        absl::Time now)
{
    if (path == "/tasks/start") {
        const auto what = taskStartFrom(body);
        return what ? start(*what, now) : tl::unexpected(what.error());
    }
    const auto id = taskIdFrom(body.value("id", nlohmann::json::object()));
    if (!id)
        return tl::unexpected(id.error());
    auto it = m_tasks.find(*id);
    if (it == m_tasks.end()) {
        if (path != "/tasks/stop")
            return fail(reason::UnknownJob, "the worker has no such task; list its tasks first");
        task stopped;
        stopped.status = {*id, task_state::Stopped, now, 0};
        it = m_tasks.emplace(*id, stopped).first;
    }
    return change(path, it->second, body, now);
}

std::string standin_worker::listTasks() const
{
    nlohmann::json tasks = nlohmann::json::array();
    for (const auto &[id, one] : m_tasks)
        tasks.push_back(toJson(one.status));
    return nlohmann::json {{"tasks", tasks}}.dump();
}

std::string standin_worker::listRuns() const
{
    nlohmann::json runs = nlohmann::json::array();
    for (const auto &[id, one] : m_tasks) {
        if (!one.ran)
            continue;
        nlohmann::json run {{"id", toJson(id)}, {"from", absl::ToUnixMicros(one.from)}};
        if (one.until != absl::InfiniteFuture())
            run["until"] = absl::ToUnixMicros(one.until);
        runs.push_back(run);
    }
    return nlohmann::json {{"runs", runs}}.dump();
}

bool standin_worker::setFaults(const nlohmann::json &body)
{
    m_faults.refuseStarts = body.value("refuseStarts", false);
    m_faults.loseAnswers = body.value("loseAnswers", false);
    m_faults.unreachable = body.value("unreachable", false);
    m_faults.answerDelay = absl::Milliseconds(std::clamp(body.value("answerDelayMs", 0), 0, 60000));
    return true;
}

standin_answer standin_worker::handle(const std::string &method, const std::string &path,
                                      const std::string &body)
{
    const absl::Time now = absl::Now();
    const absl::MutexLock lock(&m_mutex);
    advance(now);
    const bool admin = path.starts_with("/admin/") || path == "/runs";
    if (m_faults.unreachable && !admin)
        return {503, "", true, absl::ZeroDuration()};
    standin_answer answer;
    try {
        if (method == "GET" && path == "/tasks") {
            answer.body = listTasks();
        } else if (method == "GET" && path == "/runs") {
            answer.body = listRuns();
        } else if (method == "POST" && (path.starts_with("/tasks/") || admin)) {
            const auto parsed = parseJson(body);
            if (!parsed)
                answer = answerOf(tl::unexpected(parsed.error()));
            else if (path == "/admin/faults")
                answer.body = setFaults(*parsed) ? "{}" : "";
            else
                answer = answerOf(act(path, *parsed, now));
        } else {
            answer.status = 404;
            answer.body = "{}";
        }
    } catch (const nlohmann::json::exception &) {
        answer = answerOf(fail(reason::MalformedMessage, "a field has the wrong type; correct it"));
    }
    answer.lost = m_faults.loseAnswers && !admin;
    answer.delay = admin ? absl::ZeroDuration() : m_faults.answerDelay;
    return answer;
}

} // namespace hyssoppond::standins
