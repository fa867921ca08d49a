/// @file Applies the journal: each accepted record changes the scheduler in the same way in all
/// entries.
#include "hyssoppond/entry/cluster_controller_base.h"

#include "hyssoppond/base/log_func.h"
#include "hyssoppond/config/config_value_func.h"

#include <absl/strings/str_format.h>

#include <variant>

namespace hyssoppond {

void cluster_controller::checkApplied(const result<void> &outcome)
{
    if (outcome)
        return;
    // The scheduler refuses a change that the journal accepted, so the two may differ. The operator
    // must know of it.
    m_hooks.count(disposition::Dropped, outcome.error().why);
    writeLog(log_level::Warn,
             "scheduler refused an accepted change; its state may differ from the journal",
             {{"reason", std::string(ReasonNames.name(outcome.error().why))},
              {"detail", outcome.error().message},
              {"offset", absl::StrFormat("%d", m_state.offset())}});
}

void cluster_controller::onRecord(journal_offset offset, const journal::journal_record &record,
                                  const journal::verdict &decision)
{
    if (!decision.accepted || decision.repeated) {
        if (!decision.accepted)
            m_hooks.count(disposition::Dropped, decision.why);
        if (const auto *placed = std::get_if<journal::job_placed>(&record.body))
            m_proposed.erase(placed->job);
        return;
    }
    if (const auto *changed = std::get_if<journal::config_changed>(&record.body)) {
        const bool isLocal = record.id.process == m_settings.self
            && record.id.incarnation == m_settings.incarnation;
        m_hooks.onConfigAccepted({changed->key, changed->value, offset, record.writtenAt}, isLocal);
        return;
    }
    std::visit([this](const auto &body) { apply(body); }, record.body);
}

void cluster_controller::apply(const journal::job_submitted &body)
{
    if (m_scheduler->find(body.spec.id) != nullptr)
        return; // the job was accepted under the outage lease
    checkApplied(m_scheduler->restore(body.spec, 1));
    if (body.spec.held)
        checkApplied(m_scheduler->hold(body.spec.id));
}

void cluster_controller::apply(const journal::job_command &body)
{
    const auto change = [&]() -> result<void> {
        switch (body.kind) {
        case journal::command_kind::Cancel:
            return m_scheduler->cancel(body.job);
        case journal::command_kind::Hold:
            return m_scheduler->hold(body.job);
        case journal::command_kind::Release:
            return m_scheduler->release(body.job);
        case journal::command_kind::Suspend:
            return m_scheduler->suspend(body.job);
        case journal::command_kind::Resume:
            return m_scheduler->resume(body.job);
        case journal::command_kind::Requeue:
            return m_scheduler->requeue(body.job);
        }
        return {};
    };
    checkApplied(change());
    const auto *entry = m_state.findJob(body.job);
    if (entry == nullptr)
        return;
    if (entry->isEnded())
        replyWaiters(body.job);
    if (m_leading)
        stopAsRequested(*entry);
}

void cluster_controller::apply(const journal::job_placed &body)
{
    m_proposed.erase(body.job);
    // The log went down before the outcome of this placement was known, and the gang was started
    // under the outage lease.
    if (m_outageJobs.contains(body.job))
        return onOutageJobRecorded(body.job);
    checkApplied(
        m_scheduler->placementAccepted(body.job, body.attempt, body.members, body.contract));
    if (m_leading && body.epoch == epoch())
        startGang(body.job, body.attempt);
}

void cluster_controller::apply(const journal::outage_placed &body)
{
    const job_id id = body.spec.id;
    if (m_outageJobs.contains(id))
        return onOutageJobRecorded(id);
    if (m_scheduler->find(id) == nullptr)
        checkApplied(m_scheduler->restore(body.spec, 1));
    checkApplied(m_scheduler->placementAccepted(id, 1, body.members, body.contract));
    if (m_leading)
        takeOverGangs();
}

void cluster_controller::apply(const journal::gang_started &body)
{
    const scheduled_job *scheduledJob = m_scheduler->find(body.job);
    if (scheduledJob != nullptr && scheduledJob->state == job_state::Running)
        return;
    checkApplied(m_scheduler->gangStarted(body.job, body.attempt, body.startedAt));
}

void cluster_controller::apply(const journal::attempt_ended &body)
{
    const scheduled_job *scheduledJob = m_scheduler->find(body.job);
    // onGangEnded() reports the end of a gang to the scheduler at once while the log is down, so
    // the scheduler may know of the end before its record.
    if (scheduledJob == nullptr || scheduledJob->isActive())
        checkApplied(m_scheduler->attemptEnded(body.job, body.attempt, body.outcome, body.endedAt,
                                               body.runSeconds));
    const auto *entry = m_state.findJob(body.job);
    if (entry != nullptr && entry->isEnded()) {
        replyWaiters(body.job);
        m_endedJobs.insert(body.job);
    }
}

void cluster_controller::apply(const journal::decider_grant &body)
{
    const bool isOwnGrant
        = body.holder == m_settings.self && body.incarnation == m_settings.incarnation;
    if (m_leading && !isOwnGrant)
        stopLeading();
    writeLog(log_level::Info, "decider grant applied",
             {{"holder", body.holder.str()},
              {"epoch", absl::StrFormat("%d", body.epoch)},
              {"offset", absl::StrFormat("%d", m_state.offset())}});
}

void cluster_controller::apply(const journal::endpoint_announced &body)
{
    if (!body.announced.servedWorker.id.isEmpty())
        checkApplied(m_scheduler->addWorker(body.announced.servedWorker));
    applyDrains();
}

void cluster_controller::apply(const journal::endpoint_removed &body)
{
    const auto endpointEntry = m_state.endpoints().find(body.agent);
    if (endpointEntry == m_state.endpoints().end()
        || endpointEntry->second.announced.servedWorker.id.isEmpty())
        return;
    checkApplied(m_scheduler->removeWorker(endpointEntry->second.announced.servedWorker.id));
}

void cluster_controller::restoreJob(const journal::job_entry &job)
{
    const job_id &id = job.spec.id;
    if (job.isEnded())
        return;
    checkApplied(m_scheduler->restore(job.spec, job.attempt));
    if (job.state == job_state::Held)
        checkApplied(m_scheduler->hold(id));
    if (job.state == job_state::Suspended)
        checkApplied(m_scheduler->suspend(id));
    if (!job.isOnWorkers())
        return;
    checkApplied(m_scheduler->placementAccepted(id, job.attempt, job.members, job.contract));
    if (job.state == job_state::Running)
        checkApplied(m_scheduler->gangStarted(id, job.attempt, job.startedAt));
    if (job.cancelRequested)
        checkApplied(m_scheduler->cancel(id));
    else if (job.suspendRequested)
        checkApplied(m_scheduler->suspend(id));
}

void cluster_controller::onRestored()
{
    m_scheduler = std::make_unique<scheduler>();
    m_coordinator.resign();
    m_leading = false;
    m_proposed.clear();
    m_drained.clear();
    for (const auto &[key, item] : m_config)
        applyToScheduler(item);
    for (const auto &[key, entry] : m_state.config())
        m_hooks.onConfigAccepted({key, entry.value, entry.version, entry.changedAt}, false);
    for (const auto &[agent, entry] : m_state.endpoints()) {
        if (entry.announced.servedWorker.id.isEmpty())
            continue;
        checkApplied(m_scheduler->addWorker(entry.announced.servedWorker));
        // A removed worker is added first, because it may return soon and the scheduler counts it
        // until then when it tests whether a shape is possible.
        if (entry.removed)
            checkApplied(m_scheduler->removeWorker(entry.announced.servedWorker.id));
    }
    applyDrains();
    for (const auto &[id, job] : m_state.jobs())
        restoreJob(job);
}

void cluster_controller::applyToScheduler(const journal::config_item &item)
{
    const auto value = parseConfig(item.key, item.value);
    if (!value)
        return checkApplied(tl::unexpected<error>(value.error()));
    if (const auto *teamValue = std::get_if<team>(&*value))
        checkApplied(item.value.empty() ? m_scheduler->removeTeam(teamValue->id)
                                        : m_scheduler->setTeam(*teamValue));
    if (const auto *contractValue = std::get_if<contract>(&*value))
        checkApplied(item.value.empty() ? m_scheduler->removeContract(contractValue->id)
                                        : m_scheduler->setContract(*contractValue));
}

void cluster_controller::applyConfig(const journal::config_item &item)
{
    m_config[item.key] = item;
    applyToScheduler(item);
    applyDrains();
}

void cluster_controller::applyDrains()
{
    for (const auto &[agent, entry] : m_state.endpoints()) {
        const worker_id &worker = entry.announced.servedWorker.id;
        if (entry.removed || worker.isEmpty())
            continue;
        const auto key = m_config.find("drain/" + agent.str());
        const auto member = m_members.find(agent);
        const bool leaving
            = member != m_members.end() && member->second.state == member_state::Leaving;
        const bool drain = leaving || (key != m_config.end() && !key->second.value.empty());
        if (drain == m_drained.contains(worker))
            continue;
        // The condition is set only on a change, because setting Usable ends a quarantine.
        checkApplied(m_scheduler->setWorkerCondition(
            worker, drain ? worker_condition::Draining : worker_condition::Usable));
        if (drain)
            m_drained.insert(worker);
        else
            m_drained.erase(worker);
    }
}

void cluster_controller::forgetEndedJobs()
{
    for (auto it = m_endedJobs.begin(); it != m_endedJobs.end();) {
        if (m_state.findJob(*it) != nullptr) {
            ++it;
            continue;
        }
        (void)m_scheduler->forget(*it);
        it = m_endedJobs.erase(it);
    }
}

} // namespace hyssoppond
