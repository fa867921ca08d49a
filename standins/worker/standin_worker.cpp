/// @file Tasks of the worker stand-in.
#include "standin_worker_base.h"

#include "hyssoppond/base/process_clock_base.h"
#include "hyssoppond/platform/worker_json_func.h"

#include <absl/strings/numbers.h>
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
    for (auto &[id, entry] : m_tasks) {
        if (entry.status.state != task_state::Running)
            continue;
        const absl::Time completesAt = entry.speedPercent == 0
            ? absl::InfiniteFuture()
            : entry.remainingAsOf + entry.remainingRunTime * (100.0 / entry.speedPercent);
        const absl::Time endsAt = std::min(completesAt, entry.status.leaseUntil);
        if (endsAt <= now) {
            entry.status.state = completesAt <= entry.status.leaseUntil ? task_state::Completed
                                                                        : task_state::Stopped;
            entry.endedAt = endsAt;
            continue;
        }
        entry.remainingRunTime -= (now - entry.remainingAsOf) * (entry.speedPercent / 100.0);
        entry.remainingAsOf = now;
    }
}

result<task_status> standin_worker::start(const task_start &request, absl::Time now)
{
    const auto existing = m_tasks.find(request.id);
    if (existing != m_tasks.end())
        return existing->second.status;
    if (now >= request.startBefore || now >= request.leaseUntil)
        return fail(reason::Expired, "the time to start this task has passed; use a new attempt");
    if (m_faults.refuseStarts)
        return fail(reason::WorkerRefused, "the worker cannot start tasks; use another worker");
    if ((request.accelerators >> m_accelerators) != 0)
        return fail(reason::ImpossibleShape, "the worker has fewer accelerators; use another");
    for (const auto &[id, entry] : m_tasks) {
        if (entry.status.state == task_state::Running
            && (entry.status.accelerators & request.accelerators) != 0)
            return fail(reason::AcceleratorBusy, "an accelerator is in use; stop its task first");
    }
    task &entry = m_tasks[request.id];
    entry.status = {request.id, task_state::Running, request.leaseUntil, request.accelerators};
    entry.startedAt = now;
    entry.remainingAsOf = now;
    entry.remainingRunTime = runTimeOf(request.command);
    entry.wasStarted = true;
    if (request.command == "fail") {
        entry.status.state = task_state::Failed;
        entry.endedAt = now;
    }
    return entry.status;
}

result<task_status> standin_worker::updateTask(const std::string &path, task &entry,
                                               const nlohmann::json &body, absl::Time now)
{
    const bool running = entry.status.state == task_state::Running;
    if (path == "/tasks/renew" && running) {
        entry.status.leaseUntil
            = std::max(entry.status.leaseUntil,
                       absl::FromUnixMicros(body.value("leaseUntil", std::int64_t {0})));
    } else if (path == "/tasks/throttle" && running) {
        entry.speedPercent = std::min<std::uint32_t>(100, body.value("percent", 100U));
    } else if (path == "/tasks/stop" && running) {
        entry.status.state = task_state::Stopped;
        entry.endedAt = now;
    }
    return entry.status; // a checkpoint completes at once and changes nothing
}

result<task_status> standin_worker::handleTaskRequest(const std::string &path,
                                                      const nlohmann::json &body, absl::Time now)
{
    if (path == "/tasks/start") {
        const auto request = taskStartFrom(body);
        return request ? start(*request, now) : tl::unexpected(request.error());
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
    return updateTask(path, it->second, body, now);
}

std::string standin_worker::listTasks() const
{
    nlohmann::json tasks = nlohmann::json::array();
    for (const auto &[id, entry] : m_tasks)
        tasks.push_back(toJson(entry.status));
    return nlohmann::json {{"tasks", tasks}}.dump();
}

std::string standin_worker::listRuns() const
{
    nlohmann::json runs = nlohmann::json::array();
    for (const auto &[id, entry] : m_tasks) {
        if (!entry.wasStarted)
            continue;
        nlohmann::json run {{"id", toJson(id)}, {"from", absl::ToUnixMicros(entry.startedAt)}};
        if (entry.endedAt != absl::InfiniteFuture())
            run["until"] = absl::ToUnixMicros(entry.endedAt);
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
    const absl::Time now = processNow();
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
                answer = answerOf(handleTaskRequest(path, *parsed, now));
        } else {
            answer.status = 404;
            answer.body = "{}";
        }
    } catch (const nlohmann::json::exception &) {
        answer = answerOf(fail(reason::MalformedMessage, "a field has the wrong type; correct it"));
    }
    answer.dropConnection = m_faults.loseAnswers && !admin;
    answer.delay = admin ? absl::ZeroDuration() : m_faults.answerDelay;
    return answer;
}

} // namespace hyssoppond::standins
