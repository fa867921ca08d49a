/// @file Commands on workers, teams, contracts and waiting jobs.
#include "hyssoppond/policy/scheduler_base.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace hyssoppond {

namespace {

/// Background work is queued as if it had been submitted this much later.
constexpr double BackgroundDelay = 4 * 3600; // seconds

} // namespace

scheduler::scheduler(scheduler_options options)
    : m_options(options)
    , m_fleet(options.bestFit)
    , m_queue(options.fairShares)
    , m_runTimes(options.learnRunTimes)
{ }

result<void> scheduler::addWorker(const worker &machine, command_mode mode)
{
    if (machine.id.isEmpty() || machine.accelerators > MaxAcceleratorsPerWorker)
        return fail(reason::InvalidArgument,
                    absl::StrFormat("worker \"%s\" has %d accelerators; give an id and at most %d",
                                    machine.id.str(), machine.accelerators,
                                    MaxAcceleratorsPerWorker));
    if (const auto known = m_fleet.find(machine.id)) {
        const worker &before = m_fleet.at(*known).machine;
        if (before.rack != machine.rack || before.zone != machine.zone
            || before.accelerators != machine.accelerators)
            return fail(reason::InvalidArgument,
                        absl::StrFormat("worker %s is known with another rack, zone or size; "
                                        "announce it under a new id",
                                        machine.id.str()));
    }
    if (mode == command_mode::Test)
        return {};
    const bool isNew = !m_fleet.find(machine.id);
    const bool zoneKnown = m_fleet.hasZone(machine.zone);
    const worker_index index = m_fleet.add(machine);
    std::erase_if(m_absent,
                  [index](const absent_worker &absent) { return absent.worker == index; });
    if (!zoneKnown)
        m_packing.setZone(machine.zone, m_fleet.zoneNumber(machine.zone));
    if (isNew) {
        m_packing.addWorker(m_fleet.available().rackOf(index), m_fleet.available().zoneOf(index));
        m_fleet.at(index).quarantineDelay = m_options.quarantineDelay;
    }
    m_fleet.refreshTotal(index);
    m_fleet.refresh(index);
    m_packing.setCapacity(index, m_fleet.guaranteeCapacity(index));
    return {};
}

result<void> scheduler::removeWorker(const worker_id &id, command_mode mode)
{
    const auto index = m_fleet.find(id);
    if (!index || !m_fleet.at(*index).present)
        return fail(reason::UnknownEndpoint,
                    absl::StrFormat("worker %s is not in the fleet; list the workers", id.str()));
    if (mode == command_mode::Test)
        return {};
    m_fleet.at(*index).present = false;
    m_fleet.refreshTotal(*index);
    m_absent.push_back({*index});
    changeCondition(*index, worker_condition::Usable);
    return {};
}

result<void> scheduler::setWorkerCondition(const worker_id &id, worker_condition condition,
                                           command_mode mode)
{
    const auto index = m_fleet.find(id);
    if (!index || !m_fleet.at(*index).present)
        return fail(reason::UnknownEndpoint,
                    absl::StrFormat("worker %s is not in the fleet; list the workers", id.str()));
    if (mode == command_mode::Test)
        return {};
    m_fleet.at(*index).failures = 0;
    m_fleet.at(*index).quarantineDelay = m_options.quarantineDelay;
    // Only the operator ends a quarantine that an operator set.
    m_fleet.at(*index).quarantinedUntil = absl::InfiniteFuture();
    changeCondition(*index, condition);
    return {};
}

void scheduler::changeCondition(worker_index index, worker_condition condition)
{
    fleet_worker &changed = m_fleet.at(index);
    changed.condition = condition;
    std::erase(m_quarantined, index);
    if (condition == worker_condition::Quarantined)
        m_quarantined.push_back(index);
    if (m_fleet.guaranteeCapacity(index) == 0) {
        // Claims and reservations on a worker that takes no work would wait for ever.
        const auto usesWorker = [index](const gang_location &location) {
            return std::any_of(
                location.begin(), location.end(),
                [index](const worker_share &share) { return share.worker == index; });
        };
        const auto claiming = m_claiming;
        for (scheduled_job *job : claiming) {
            if (usesWorker(job->claim))
                dropClaim(*job);
        }
        const auto reservations = m_starvedReservations;
        for (const starved_reservation &reservation : reservations) {
            if (std::find(reservation.workers.begin(), reservation.workers.end(), index)
                != reservation.workers.end())
                dropStarvedReservation(*reservation.job);
        }
    }
    m_fleet.refresh(index);
    m_packing.setCapacity(index, m_fleet.guaranteeCapacity(index));
}

result<void> scheduler::setTeam(const team &value, command_mode mode)
{
    if (value.id.isEmpty() || !(value.weight > 0))
        return fail(reason::InvalidArgument,
                    absl::StrFormat("team \"%s\" has weight %g; give an id and a weight above 0",
                                    value.id.str(), value.weight));
    if (mode == command_mode::Test)
        return {};
    m_teams[value.id] = value;
    m_queue.setWeight(m_queue.teamNumber(value.id), value.weight);
    return {};
}

result<void> scheduler::removeTeam(const team_id &id, command_mode mode)
{
    if (!m_teams.contains(id))
        return fail(reason::UnknownTeam,
                    absl::StrFormat("team %s is not configured; check its name", id.str()));
    const std::uint32_t number = m_queue.teamNumber(id);
    if (m_queue.queuedJobs(number) > 0 || m_queue.usedAccelerators(number) > 0
        || m_packing.hasTeam(id))
        return fail(reason::WrongState,
                    absl::StrFormat("team %s has unfinished jobs or contracts; cancel them first",
                                    id.str()));
    if (mode == command_mode::Execute)
        m_teams.erase(id);
    return {};
}

result<void> scheduler::setContract(const contract &value, command_mode mode)
{
    if (!m_teams.contains(value.team))
        return fail(reason::UnknownTeam,
                    absl::StrFormat("team %s of contract %s is not configured; publish it first",
                                    value.team.str(), value.id.str()));
    if (value.id.isEmpty() || value.guaranteed.members == 0
        || value.guaranteed.members > MaxGangMembers || value.guaranteed.acceleratorsPerMember == 0
        || value.guaranteed.acceleratorsPerMember > MaxAcceleratorsPerWorker)
        return fail(reason::InvalidArgument,
                    absl::StrFormat("contract \"%s\" promises %d x %d accelerators; members are 1 "
                                    "to %d, accelerators per member 1 to %d",
                                    value.id.str(), value.guaranteed.members,
                                    value.guaranteed.acceleratorsPerMember, MaxGangMembers,
                                    MaxAcceleratorsPerWorker));
    if (mode == command_mode::Execute)
        m_packing.setContract(value, m_fleet.zoneNumber(value.zone));
    return {};
}

result<void> scheduler::removeContract(const contract_id &id, command_mode mode)
{
    if (m_packing.find(id) == nullptr)
        return fail(reason::UnknownContract,
                    absl::StrFormat("contract %s is not configured; check its id", id.str()));
    if (mode == command_mode::Execute)
        m_packing.removeContract(id);
    return {};
}

result<void> scheduler::canGuarantee(const contract &value) const
{
    if (m_packing.wouldFit(value, m_fleet.zoneNumber(value.zone)))
        return {};
    return fail(reason::GuaranteeAtRisk,
                absl::StrFormat("contract %s cannot be packed beside the others; reduce its count "
                                "or shape, or add workers",
                                value.id.str()));
}

result<void> scheduler::checkSpec(const job_spec &spec) const
{
    const auto owner = m_teams.find(spec.team);
    if (owner == m_teams.end())
        return fail(reason::UnknownTeam,
                    absl::StrFormat("team %s is not configured; check the name or ask an operator "
                                    "to publish it",
                                    spec.team.str()));
    const shape &wanted = spec.wanted;
    if (wanted.members == 0 || wanted.members > MaxGangMembers || wanted.acceleratorsPerMember == 0
        || !m_fleet.totalWithAbsent().fits(wanted))
        return fail(reason::ImpossibleShape,
                    absl::StrFormat("no %s of the fleet has %d x %d accelerators; ask for fewer, "
                                    "or for a wider adjacency",
                                    std::string(AdjacencyNames.name(wanted.within)), wanted.members,
                                    wanted.acceleratorsPerMember));
    const auto queued = m_queue.queuedJobs(m_queue.findTeam(spec.team));
    if (queued >= owner->second.maxQueuedJobs)
        return fail(reason::QueueFull,
                    absl::StrFormat("team %s has %d queued jobs, its limit; retry when some have "
                                    "started",
                                    spec.team.str(), queued),
                    execution::NotRun, spec.submittedAt + absl::Minutes(1));
    return {};
}

result<void> scheduler::submit(const job_spec &spec, command_mode mode)
{
    if (const auto known = m_jobs.find(spec.id); known != m_jobs.end()) {
        const job_spec &before = known->second.spec;
        if (before.team == spec.team && before.wanted == spec.wanted && before.level == spec.level
            && before.caller == spec.caller && before.command == spec.command
            && before.repeatable == spec.repeatable)
            return {};
        return fail(reason::RequestIdReused,
                    absl::StrFormat("request id %s was used for another job; choose a new id",
                                    spec.request.str()));
    }
    if (auto checked = checkSpec(spec); !checked || mode == command_mode::Test)
        return checked;
    addJob(spec, 1);
    return {};
}

result<void> scheduler::restore(const job_spec &spec, attempt_number attempt)
{
    if (m_jobs.contains(spec.id))
        return fail(
            reason::WrongState,
            absl::StrFormat("job %s is already known; restore each job only once", spec.id.str()));
    addJob(spec, attempt);
    return {};
}

scheduled_job &scheduler::addJob(const job_spec &spec, attempt_number attempt)
{
    scheduled_job &job = m_jobs[spec.id];
    job.spec = spec;
    job.attempt = attempt;
    job.sequence = m_nextSequence++;
    job.team = m_queue.teamNumber(spec.team);
    job.state = spec.held ? job_state::Held : job_state::Queued;
    if (!spec.held)
        enqueue(job);
    return job;
}

void scheduler::enqueue(scheduled_job &job)
{
    job.state = job_state::Queued;
    const double expected = m_runTimes.expected(job.spec, job.attainedSeconds);
    const double submitted = absl::ToDoubleSeconds(job.spec.submittedAt - absl::UnixEpoch());
    double &virtualTime = m_callerVirtualTimes[{job.spec.team, job.spec.caller}];
    const double virtualStart = std::max(submitted, virtualTime);
    // Accelerators of one caller: the fleet divided evenly over the teams, and the part of a team
    // over a few active callers.
    constexpr double ActiveCallersPerTeam = 4;
    const double acceleratorsPerCaller
        = std::max(1.0,
                   m_fleet.accelerators() / ActiveCallersPerTeam
                       / static_cast<double>(std::max<std::size_t>(1, m_teams.size())));
    job.callerCharge
        = expected * static_cast<double>(job.spec.wanted.accelerators()) / acceleratorsPerCaller;
    virtualTime = virtualStart + job.callerCharge;
    job.key = virtualStart + m_options.runTimeWeight * expected
        + (job.spec.level == urgency::Background ? BackgroundDelay : 0);
    m_queue.insert(job);
}

void scheduler::removeFromQueue(scheduled_job &job, bool refundCaller)
{
    dropClaim(job);
    dropStarvedReservation(job);
    m_queue.erase(job);
    if (refundCaller)
        m_callerVirtualTimes[{job.spec.team, job.spec.caller}] -= job.callerCharge;
}

result<scheduled_job *> scheduler::jobInState(const job_id &id,
                                              std::initializer_list<job_state> allowed,
                                              const char *verb)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return fail(reason::UnknownJob,
                    absl::StrFormat("job %s is not known; check its id", id.str()));
    if (std::find(allowed.begin(), allowed.end(), found->second.state) == allowed.end())
        return fail(reason::WrongState,
                    absl::StrFormat("job %s is %s, in which it cannot be %s", id.str(),
                                    std::string(JobStateNames.name(found->second.state)), verb));
    return &found->second;
}

result<void> scheduler::checkRepeatable(const scheduled_job &job)
{
    if (job.spec.repeatable || !(job.mayHaveRun || job.isActive()))
        return {};
    return fail(reason::WrongState,
                absl::StrFormat("job %s is not repeatable and may have run; submit a new job",
                                job.spec.id.str()),
                execution::Unknown);
}

result<void> scheduler::cancel(const job_id &id, command_mode mode)
{
    const auto job = jobInState(id,
                                {job_state::Queued, job_state::Held, job_state::Placed,
                                 job_state::Running, job_state::Suspended},
                                "cancelled");
    if (!job || mode == command_mode::Test)
        return job.map([](scheduled_job *) {});
    if ((*job)->isActive()) {
        (*job)->afterStop = job_state::Cancelled;
        return {};
    }
    if ((*job)->isQueued())
        removeFromQueue(**job, true);
    (*job)->state = job_state::Cancelled;
    return {};
}

result<void> scheduler::hold(const job_id &id, command_mode mode)
{
    const auto job = jobInState(id, {job_state::Queued}, "held");
    if (!job || mode == command_mode::Test)
        return job.map([](scheduled_job *) {});
    removeFromQueue(**job, true);
    (*job)->state = job_state::Held;
    return {};
}

result<void> scheduler::release(const job_id &id, command_mode mode)
{
    const auto job = jobInState(id, {job_state::Held}, "released");
    if (!job || mode == command_mode::Test)
        return job.map([](scheduled_job *) {});
    enqueue(**job);
    return {};
}

result<void> scheduler::suspend(const job_id &id, command_mode mode)
{
    const auto job
        = jobInState(id, {job_state::Queued, job_state::Placed, job_state::Running}, "suspended");
    if (!job)
        return tl::unexpected(job.error());
    if (auto checked = checkRepeatable(**job); !checked || mode == command_mode::Test)
        return checked;
    if ((*job)->isActive()) {
        (*job)->afterStop = job_state::Suspended;
        return {};
    }
    removeFromQueue(**job, true);
    (*job)->state = job_state::Suspended;
    return {};
}

result<void> scheduler::resume(const job_id &id, command_mode mode)
{
    const auto job = jobInState(id, {job_state::Suspended}, "resumed");
    if (!job || mode == command_mode::Test)
        return job.map([](scheduled_job *) {});
    enqueue(**job);
    return {};
}

result<void> scheduler::requeue(const job_id &id, command_mode mode)
{
    const auto job = jobInState(id,
                                {job_state::Placed, job_state::Running, job_state::Suspended,
                                 job_state::Failed, job_state::Cancelled},
                                "queued again");
    if (!job)
        return tl::unexpected(job.error());
    if (auto checked = checkRepeatable(**job); !checked || mode == command_mode::Test)
        return checked;
    if ((*job)->isActive())
        (*job)->afterStop = job_state::Queued;
    else
        enqueue(**job);
    return {};
}

result<void> scheduler::forget(const job_id &id, command_mode mode)
{
    const auto job = jobInState(id, {job_state::Completed, job_state::Failed, job_state::Cancelled},
                                "forgotten");
    if (!job || mode == command_mode::Test)
        return job.map([](scheduled_job *) {});
    m_jobs.erase(id);
    return {};
}

const scheduled_job *scheduler::find(const job_id &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

worker_condition scheduler::conditionOf(const worker_id &id) const
{
    const auto index = m_fleet.find(id);
    return index ? m_fleet.at(*index).condition : worker_condition::Failed;
}

std::uint64_t scheduler::steps() const
{
    return m_fleet.available().steps() + m_packing.steps() + m_queue.steps();
}

} // namespace hyssoppond
