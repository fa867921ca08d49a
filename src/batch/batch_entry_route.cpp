/// @file Which queue and team a call is for, and which jobs its caller may see and cancel.
#include "hyssoppond/batch/batch_entry_base.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>

namespace hyssoppond::batch {

bool batch_entry::isJobId(const std::string &text)
{
    return text.size() == JobIdDigits && std::all_of(text.begin(), text.end(), [](char c) {
               return absl::ascii_isxdigit(static_cast<unsigned char>(c));
           });
}

const batch_team *batch_entry::teamWithKey(const std::string &key) const
{
    const auto found
        = std::find_if(m_config->teams.begin(), m_config->teams.end(), [&](const batch_team &team) {
              return std::find(team.keys.begin(), team.keys.end(), key) != team.keys.end();
          });
    return found == m_config->teams.end() ? nullptr : &*found;
}

bool batch_entry::mayAccess(const routed_call &target, const job_state &job)
{
    return job.job.team.str().empty() || job.job.team == target.caller;
}

result<batch_entry::routed_call> batch_entry::route(const job_call &call) const
{
    routed_call target;
    for (const queue_policy &queue : m_config->queues) {
        if (queue.host != call.host || !absl::StartsWith(call.path, queue.urlPrefix))
            continue;
        if (target.queue == nullptr || queue.urlPrefix.size() > target.queue->urlPrefix.size())
            target.queue = &queue;
    }
    if (target.queue != nullptr)
        target.id = call.path.substr(target.queue->urlPrefix.size());
    if (target.queue == nullptr)
        return fail(reason::UnknownEndpoint, "no such queue; check the host and the path");
    const batch_team *team = teamWithKey(call.key);
    if (team != nullptr)
        target.caller = team->id;
    if (target.queue->isPublic)
        return target;
    if (team == nullptr)
        return fail(reason::UnknownTeam,
                    "the key is not in force; use a key of the team that is in force");
    target.team = team->id;
    return target;
}

} // namespace hyssoppond::batch
