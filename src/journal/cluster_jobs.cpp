/// @file Applies the journal records of jobs.
#include "hyssoppond/journal/cluster_state_base.h"
#include "verdict_func.h"

#include <algorithm>
#include <bit>
#include <map>

namespace hyssoppond::journal {
namespace {

/// Whether two submissions have the same content. The submission time is not compared, because it
/// differs when a caller repeats a submission.
bool sameContent(const job_spec &a, const job_spec &b)
{
    return a.request == b.request && a.team == b.team && a.caller == b.caller && a.level == b.level
        && a.wanted == b.wanted && a.declaredRunSeconds == b.declaredRunSeconds
        && a.repeatable == b.repeatable && a.held == b.held && a.command == b.command;
}

/// Whether the id matches the team and request, and the shape and urgency are within their limits.
bool isValid(const job_spec &spec)
{
    return spec.id == jobIdFor(spec.team, spec.request) && spec.wanted.members >= 1
        && spec.wanted.members <= MaxGangMembers && spec.wanted.acceleratorsPerMember >= 1
        && spec.wanted.acceleratorsPerMember <= MaxAcceleratorsPerWorker
        && spec.level <= urgency::Urgent && spec.wanted.within <= adjacency::Zone;
}

/// Whether the members have the job's shape. Adjacency is not checked here: it depends on the
/// topology, and the decider checks it.
bool hasShape(const std::vector<gang_member> &members, const shape &wanted)
{
    std::map<worker_id, accelerator_mask> used;
    for (const gang_member &member : members) {
        accelerator_mask &mask = used[member.worker];
        if (std::popcount(member.accelerators) != static_cast<int>(wanted.acceleratorsPerMember)
            || (mask & member.accelerators) != 0)
            return false;
        mask |= member.accelerators;
    }
    return members.size() == wanted.members;
}

} // namespace

verdict cluster_state::applyBody(const job_submitted &body)
{
    if (!isValid(body.spec))
        return reject(reason::MalformedRequest);
    const auto known = m_jobs.find(body.spec.id);
    if (known != m_jobs.end()) {
        const job_entry &job = known->second;
        return sameContent(job.spec, body.spec)
            ? repeat(job.submittedOffset)
            : reject(reason::RequestIdReused, job.submittedOffset);
    }
    job_entry job;
    job.spec = body.spec;
    job.state = body.spec.held ? job_state::Held : job_state::Queued;
    job.submittedOffset = m_offset;
    job.changedAt = m_time;
    m_jobs.emplace(body.spec.id, std::move(job));
    return accept();
}

verdict cluster_state::requeue(job_entry &job)
{
    if (job.isOnWorkers()) {
        if (!job.spec.repeatable)
            return reject(reason::WrongState);
        job.requeueRequested = true;
        return accept();
    }
    if ((job.state != job_state::Failed && job.state != job_state::Cancelled)
        || !job.spec.repeatable)
        return reject(reason::WrongState);
    job.state = job_state::Queued;
    job.cancelRequested = false;
    ++job.attempt;
    return accept();
}

verdict cluster_state::applyBody(const job_command &body)
{
    const auto it = m_jobs.find(body.job);
    if (it == m_jobs.end())
        return reject(reason::UnknownJob);
    job_entry &job = it->second;
    const auto earlier = std::find_if(job.applied.begin(), job.applied.end(),
                                      [&](const applied_command &appliedCommand) {
                                          return appliedCommand.request == body.request;
                                      });
    if (earlier != job.applied.end())
        return earlier->kind == body.kind ? repeat(job.submittedOffset)
                                          : reject(reason::RequestIdReused, job.submittedOffset);
    // Moves the job from one state to another. A job already in the target state is accepted.
    const auto transition = [&](job_state from, job_state to) {
        if (job.state != from && job.state != to)
            return reject(reason::WrongState);
        job.state = to;
        return accept();
    };
    const auto execute = [&]() -> verdict {
        switch (body.kind) {
        case command_kind::Cancel:
            if (job.isEnded())
                return job.state == job_state::Cancelled ? repeat(job.submittedOffset)
                                                         : reject(reason::WrongState);
            job.cancelRequested = true;
            if (!job.isOnWorkers())
                job.state = job_state::Cancelled;
            return accept();
        case command_kind::Hold:
            return transition(job_state::Queued, job_state::Held);
        case command_kind::Release:
            return transition(job_state::Held, job_state::Queued);
        case command_kind::Suspend:
            job.suspendRequested = job.isOnWorkers();
            return job.isOnWorkers() ? accept()
                                     : transition(job_state::Queued, job_state::Suspended);
        case command_kind::Resume:
            job.suspendRequested = false;
            return job.isOnWorkers() ? accept()
                                     : transition(job_state::Suspended, job_state::Queued);
        case command_kind::Requeue:
            return requeue(job);
        }
        return reject(reason::MalformedRequest);
    };
    const verdict decision = execute();
    if (!decision.accepted)
        return decision;
    job.changedAt = m_time;
    if (!body.request.isEmpty()) {
        job.applied.push_back({body.request, body.kind});
        if (job.applied.size() > MaxAppliedCommands)
            job.applied.erase(job.applied.begin());
    }
    return decision;
}

bool cluster_state::acceleratorsAreFree(const std::vector<gang_member> &members) const
{
    return std::all_of(members.begin(), members.end(), [this](const gang_member &member) {
        return (allocated(member.worker) & member.accelerators) == 0;
    });
}

void cluster_state::allocateAccelerators(const job_id &id, const std::vector<gang_member> &members)
{
    for (const gang_member &member : members)
        m_allocations[member.worker][id] |= member.accelerators;
}

void cluster_state::releaseAccelerators(const job_id &id, job_entry &job)
{
    for (const gang_member &member : job.members) {
        const auto it = m_allocations.find(member.worker);
        if (it == m_allocations.end())
            continue;
        it->second.erase(id);
        if (it->second.empty())
            m_allocations.erase(it);
    }
    job.members.clear();
}

verdict cluster_state::checkPlacement(const job_entry &job, const job_placed &body) const
{
    const domain_entry *domain = findDomain(body.domain);
    const bool current
        = domain != nullptr && domain->epoch == body.epoch && !domain->holder.isEmpty();
    if (m_options.fenceByEpoch && !current)
        return reject(reason::StaleEpoch, domain == nullptr ? 0 : domain->epoch);
    if (job.state != job_state::Queued)
        return reject(reason::WrongState);
    if (job.attempt != body.attempt)
        return reject(reason::StaleAttempt);
    if (!hasShape(body.members, job.spec.wanted))
        return reject(reason::InvalidArgument);
    return acceleratorsAreFree(body.members) ? accept() : reject(reason::AcceleratorBusy);
}

verdict cluster_state::applyBody(const job_placed &body)
{
    const auto it = m_jobs.find(body.job);
    if (it == m_jobs.end())
        return reject(reason::UnknownJob);
    job_entry &job = it->second;
    const verdict decision = checkPlacement(job, body);
    if (!decision.accepted)
        return decision;
    job.state = job_state::Placed;
    job.domain = body.domain;
    job.epoch = body.epoch;
    job.members = body.members;
    job.contract = body.contract;
    job.placedAt = m_recordTime;
    job.changedAt = m_time;
    job.requeueRequested = false;
    allocateAccelerators(body.job, body.members);
    return decision;
}

verdict cluster_state::applyBody(const outage_placed &body)
{
    if (!isValid(body.spec) || !hasShape(body.members, body.spec.wanted))
        return reject(reason::MalformedRequest);
    const domain_entry *domain = findDomain(body.domain);
    if (domain == nullptr || body.epoch < domain->outageLeaseFirstEpoch
        || body.epoch > domain->outageLeaseLastEpoch)
        return reject(reason::NoOutageLease);
    const auto known = m_jobs.find(body.spec.id);
    // The caller may have repeated the submission elsewhere after the log became available
    // again. The job is then queued, and the attempt that already runs is adopted.
    if (known != m_jobs.end()) {
        if (!sameContent(known->second.spec, body.spec))
            return reject(reason::RequestIdReused, known->second.submittedOffset);
        if (known->second.state != job_state::Queued || known->second.attempt != 1)
            return reject(reason::WrongState, known->second.submittedOffset);
    }
    job_entry &job = m_jobs[body.spec.id];
    if (job.submittedOffset == 0)
        job.submittedOffset = m_offset;
    job.spec = body.spec;
    job.state = job_state::Placed;
    job.domain = body.domain;
    job.epoch = body.epoch;
    job.members = body.members;
    job.contract = body.contract;
    job.placedAt = m_recordTime;
    job.changedAt = m_time;
    // The accelerators are not checked for overlap: the gang already holds them at its agents,
    // which refuse any overlapping placement.
    allocateAccelerators(body.spec.id, body.members);
    return accept();
}

verdict cluster_state::checkAttempt(const job_id &id, const domain_id &domainId,
                                    attempt_number attempt, epoch_number epoch) const
{
    const job_entry *job = findJob(id);
    if (job == nullptr)
        return reject(reason::UnknownJob);
    const domain_entry *domain = findDomain(domainId);
    if (domain == nullptr || domain->epoch != epoch)
        return reject(reason::StaleEpoch, domain == nullptr ? 0 : domain->epoch);
    if (job->attempt != attempt || job->domain != domainId)
        return reject(reason::StaleAttempt);
    return job->isOnWorkers() ? accept() : reject(reason::WrongState);
}

verdict cluster_state::applyBody(const gang_started &body)
{
    const verdict decision = checkAttempt(body.job, body.domain, body.attempt, body.epoch);
    if (!decision.accepted)
        return decision;
    job_entry &job = m_jobs.find(body.job)->second;
    if (job.state == job_state::Running)
        return repeat(job.submittedOffset);
    job.state = job_state::Running;
    job.startedAt = body.startedAt;
    job.changedAt = m_time;
    return decision;
}

verdict cluster_state::applyBody(const attempt_ended &body)
{
    if (body.outcome > attempt_outcome::Cancelled)
        return reject(reason::MalformedRequest);
    const verdict decision = checkAttempt(body.job, body.domain, body.attempt, body.epoch);
    if (!decision.accepted)
        return decision;
    job_entry &job = m_jobs.find(body.job)->second;
    releaseAccelerators(body.job, job);
    job.lastOutcome = body.outcome;
    job.runSeconds += body.runSeconds;
    job.changedAt = m_time;
    const bool mayRunAgain = job.spec.repeatable || body.outcome == attempt_outcome::Aborted;
    if (body.outcome == attempt_outcome::Completed) {
        job.state = job_state::Completed;
    } else if (body.outcome == attempt_outcome::Cancelled || job.cancelRequested) {
        job.state = job_state::Cancelled;
    } else if (body.outcome == attempt_outcome::Failed || !mayRunAgain) {
        job.state = job_state::Failed;
    } else {
        job.state = job.suspendRequested ? job_state::Suspended : job_state::Queued;
        ++job.attempt;
    }
    job.suspendRequested = false;
    job.requeueRequested = false;
    return decision;
}

} // namespace hyssoppond::journal
