/// @file JSON bodies of the worker protocol. Times are microseconds since the Unix epoch.
#include "hyssoppond/platform/worker_json_func.h"

#include <nlohmann/json.hpp>

namespace hyssoppond {

namespace {

tl::unexpected<error> malformedBody()
{
    return fail(reason::MalformedMessage,
                "the body is not as docs/platform-protocol-worker.md defines it; correct it",
                execution::Unknown);
}

} // namespace

nlohmann::json toJson(const task_id &id)
{
    return {{"job", id.job.str()}, {"attempt", id.attempt}, {"member", id.member}};
}

nlohmann::json toJson(const task_status &status)
{
    return {{"id", toJson(status.id)},
            {"state", std::string(TaskStateNames.name(status.state))},
            {"leaseUntil", absl::ToUnixMicros(status.leaseUntil)},
            {"accelerators", status.accelerators}};
}

nlohmann::json toJson(const task_start &order)
{
    return {{"id", toJson(order.id)},
            {"accelerators", order.accelerators},
            {"command", order.command},
            {"startBefore", absl::ToUnixMicros(order.startBefore)},
            {"leaseUntil", absl::ToUnixMicros(order.leaseUntil)}};
}

nlohmann::json toJson(const error &problem)
{
    return {{"error",
             {{"why", std::string(ReasonNames.name(problem.why))},
              {"state", std::string(ExecutionNames.name(problem.state))},
              {"message", problem.message}}}};
}

result<nlohmann::json> parseJson(std::string_view text)
{
    nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded() || !value.is_object())
        return malformedBody();
    return value;
}

result<task_id> taskIdFrom(const nlohmann::json &value)
{
    try {
        return task_id {job_id(value.at("job").get<std::string>()),
                        value.at("attempt").get<attempt_number>(),
                        value.at("member").get<std::uint32_t>()};
    } catch (const nlohmann::json::exception &) {
        return malformedBody();
    }
}

result<task_status> taskStatusFrom(const nlohmann::json &value)
{
    try {
        const auto id = taskIdFrom(value.at("id"));
        const auto state = TaskStateNames.find(value.at("state").get<std::string>());
        if (!id || !state)
            return malformedBody();
        return task_status {*id, *state,
                            absl::FromUnixMicros(value.at("leaseUntil").get<std::int64_t>()),
                            value.at("accelerators").get<accelerator_mask>()};
    } catch (const nlohmann::json::exception &) {
        return malformedBody();
    }
}

result<task_start> taskStartFrom(const nlohmann::json &value)
{
    try {
        const auto id = taskIdFrom(value.at("id"));
        if (!id)
            return malformedBody();
        return task_start {*id, value.at("accelerators").get<accelerator_mask>(),
                           value.at("command").get<std::string>(),
                           absl::FromUnixMicros(value.at("startBefore").get<std::int64_t>()),
                           absl::FromUnixMicros(value.at("leaseUntil").get<std::int64_t>())};
    } catch (const nlohmann::json::exception &) {
        return malformedBody();
    }
}

error errorFrom(const nlohmann::json &value)
{
    try {
        const nlohmann::json &body = value.at("error");
        const auto why = ReasonNames.find(body.at("why").get<std::string>());
        const auto state = ExecutionNames.find(body.at("state").get<std::string>());
        if (why && state)
            return {*why, body.at("message").get<std::string>(), *state, absl::InfiniteFuture()};
    } catch (const nlohmann::json::exception &) {
        // A body that names no error is reported as malformed below.
    }
    return malformedBody().value();
}

} // namespace hyssoppond
