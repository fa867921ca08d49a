/// @file Implementation of the run of a gang under faults.
#include "gang_scenario_base.h"

namespace hyssoppond::faults {

namespace {

/// A contact limit of one minute, so that a scenario can wait for the end of its last attempt.
gang_options withShortContactLimit(gang_options options)
{
    options.contactLimit = absl::Minutes(1);
    return options;
}

} // namespace

gang_scenario::gang_scenario(std::uint64_t seed, bool mayRepeat, gang_options options)
    : site(seed, 2 + seed % 6, withShortContactLimit(options))
    , members(site.nodes.size())
    , repeatable(mayRepeat)
    , cause(seed % 2 == 0 ? stop_cause::Cancel : stop_cause::Preempt)
{
    site.addEntry("entry-1");
    site.network.setConditions({absl::Milliseconds(3), absl::Milliseconds(2), 0, 0});
    site.onEnded = [this](const attempt_end &end) { onEnded(end); };
    site.onSend = [this](const process_id &from, const gang_message &message) {
        observeMessage(from, message);
    };
}

void gang_scenario::inject(const gang_fault &fault, gang_step step)
{
    m_plannedFaults.push_back({&fault, step, site.clock.random() % members});
}

void gang_scenario::onStepReached(gang_step step)
{
    for (planned_fault &plan : m_plannedFaults) {
        if (plan.applied || plan.step != step)
            continue;
        plan.applied = true;
        // In a separate event, because the sender of the message that marks the step is still
        // running.
        site.clock.after(absl::ZeroDuration(),
                         [this, plan] { plan.fault->apply(*this, plan.victim); });
        if (plan.fault->heal) {
            const auto span = absl::Milliseconds(200 + site.clock.random() % 8000);
            site.clock.after(span, [this, plan] { plan.fault->heal(*this, plan.victim); });
        }
    }
}

void gang_scenario::observeMessage(const process_id &, const gang_message &message)
{
    if (std::holds_alternative<gang_reserved>(message)) {
        ++m_reserved;
        onStepReached(gang_step::AfterReserve);
        if (m_reserved >= members)
            onStepReached(gang_step::AfterAllReserved);
    } else if (std::holds_alternative<gang_started>(message)) {
        onStepReached(gang_step::AfterFirstStart);
    }
}

void gang_scenario::startAttempt(attempt_number attempt)
{
    m_attempt = attempt;
    m_placedEpoch = epoch;
    m_reserved = 0;
    auto placement = site.placementOf("j", attempt, members, epoch);
    placement.spec.repeatable = repeatable;
    if (entry().process)
        (void)entry().process->start(placement);
}

void gang_scenario::onEnded(const attempt_end &end)
{
    const bool startNext = end.outcome == attempt_outcome::Aborted
        || (repeatable
            && (end.outcome == attempt_outcome::Lost || end.outcome == attempt_outcome::Preempted));
    if (!startNext || m_finishing || end.attempt != m_attempt || m_attempt >= 20)
        return;
    site.clock.after(absl::Milliseconds(200), [this] { startAttempt(m_attempt + 1); });
}

void gang_scenario::takeOver()
{
    ++epoch;
    site.addEntry("entry-" + std::to_string(epoch));
    bool ended = false;
    for (const attempt_end &end : site.ends)
        ended = ended || end.attempt == m_attempt;
    auto placement = site.placementOf("j", m_attempt, members, epoch);
    placement.placementEpoch
        = m_placedEpoch; // as recorded in the journal by the decider that placed it
    if (!ended)
        (void)entry().process->takeOver(placement);
}

cell_result gang_scenario::run()
{
    onStepReached(gang_step::BeforeReserve);
    site.clock.runFor(absl::Milliseconds(1));
    startAttempt(1);
    for (int i = 0; i < 100 && site.starts.empty(); ++i)
        site.clock.runFor(absl::Milliseconds(50));
    onStepReached(gang_step::AfterAllStarted);
    site.clock.runFor(absl::Seconds(4));
    onStepReached(gang_step::DuringRun);
    site.clock.runFor(absl::Seconds(30));
    m_finishing = true;
    if (entry().process)
        (void)entry().process->stop(job_id("j"), m_attempt, cause);
    onStepReached(gang_step::DuringStop);
    // Longer than the contact limit, after which an attempt without any answer ends.
    site.clock.runFor(site.options.contactLimit + absl::Minutes(1));
    const std::string violation = violationOf(site, job_id("j"), members, repeatable);
    if (!violation.empty())
        return {false, violation};
    for (const auto &entry : site.entries) {
        if (entry->process && !entry->gate.paused && entry.get() == site.entries.back().get()
            && entry->process->active() != 0)
            return {false, "an attempt never ended"};
    }
    return {true, ""};
}

} // namespace hyssoppond::faults
