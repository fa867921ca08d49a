/// @file Conversion between jobs and their protocol messages.
#include "job_message_func.h"

#include <algorithm>

namespace hyssoppond {

namespace {

/// Milliseconds since the Unix epoch; 0 for InfinitePast, which marks a time that is not set.
std::int64_t unixMillis(absl::Time time)
{
    return time == absl::InfinitePast() ? 0 : absl::ToUnixMillis(time);
}

v1::Urgency toMessage(urgency level)
{
    switch (level) {
    case urgency::Background:
        return v1::BACKGROUND;
    case urgency::Normal:
        return v1::NORMAL;
    case urgency::Urgent:
        break;
    }
    return v1::URGENT;
}

} // namespace

urgency fromMessage(v1::Urgency level)
{
    switch (level) {
    case v1::BACKGROUND:
        return urgency::Background;
    case v1::URGENT:
        return urgency::Urgent;
    default:
        return urgency::Normal;
    }
}

v1::Job toMessage(const job_view &job)
{
    const journal::job_entry &entry = job.entry;
    v1::Job message;
    message.set_id(entry.spec.id.str());
    message.set_request_id(entry.spec.request.str());
    message.set_team(entry.spec.team.str());
    message.set_caller(entry.spec.caller.str());
    message.set_urgency(toMessage(entry.spec.level));
    message.mutable_shape()->set_members(entry.spec.wanted.members);
    message.mutable_shape()->set_accelerators_per_member(entry.spec.wanted.acceleratorsPerMember);
    message.mutable_shape()->set_within(static_cast<v1::Adjacency>(entry.spec.wanted.within));
    message.set_state(static_cast<v1::JobState>(entry.state));
    message.set_attempt(entry.attempt);
    for (const gang_member &member : entry.members) {
        v1::GangMember *memberMessage = message.add_members();
        memberMessage->set_worker(member.worker.str());
        memberMessage->set_accelerators(member.accelerators);
    }
    message.set_submitted_unix_ms(unixMillis(entry.spec.submittedAt));
    message.set_started_unix_ms(unixMillis(entry.startedAt));
    message.set_ended_unix_ms(entry.isEnded() ? unixMillis(entry.changedAt) : 0);
    if (entry.isEnded() || entry.attempt > 1)
        message.set_last_outcome(std::string(AttemptOutcomeNames.name(entry.lastOutcome)));
    message.set_command(entry.spec.command);
    message.set_repeatable(entry.spec.repeatable);
    message.set_waiting_for(job.waitingFor);
    return message;
}

job_spec fromMessage(const v1::SubmitRequest &request, absl::Time now)
{
    job_spec spec;
    spec.request = request_id(request.request_id());
    spec.team = team_id(request.team());
    spec.id = jobIdFor(spec.team, spec.request);
    spec.caller = caller_id(request.caller());
    spec.level = fromMessage(request.urgency());
    spec.wanted.members = std::max(1U, request.shape().members());
    spec.wanted.acceleratorsPerMember = std::max(1U, request.shape().accelerators_per_member());
    spec.wanted.within = static_cast<adjacency>(request.shape().within());
    spec.submittedAt = now;
    spec.declaredRunSeconds = request.declared_run_seconds();
    spec.repeatable = !request.not_repeatable();
    spec.held = request.hold();
    spec.command = request.command();
    return spec;
}

} // namespace hyssoppond
