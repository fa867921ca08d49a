/// @file What the decider logs of its decisions and of what it learns.
#include "hyssoppond/batch/batch_decider_base.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace hyssoppond::batch {

namespace {

/// Lines about the speed of workers are logged at this interval, at most so many at a time: after
/// a start the speed of each worker of a large site becomes known within seconds.
constexpr absl::Duration SpeedLogInterval = absl::Seconds(1);
constexpr std::size_t MaxSpeedLines = 4;

} // namespace

void batch_decider::logDecision(const char *decision, const std::string &item,
                                const std::string &detail) const
{
    if (onDecision)
        onDecision(decision, item, detail);
}

void batch_decider::logChangedSpeeds()
{
    if (m_hooks.now() < m_nextSpeedLogAt)
        return;
    m_nextSpeedLogAt = m_hooks.now() + SpeedLogInterval;
    for (const auto &[worker, speed] : m_scheduler.takeChangedSpeeds(MaxSpeedLines))
        logDecision("worker speed changed", worker.str(),
                    absl::StrFormat("runs take %.2f times as long as at mean speed, spread %.2f, "
                                    "by %.1f runs",
                                    speed.slowness, speed.logSpread, speed.observations));
}

void batch_decider::logRecord(const batch_record &decision, const std::string &why) const
{
    // The reason, and the journal position and configuration version that the decision is based on.
    const std::string basis
        = absl::StrCat(why, "; journal ", m_journal->position(), ", configuration ",
                       m_config == nullptr ? 0 : m_config->version);
    if (const auto *ordered = std::get_if<run_ordered>(&decision)) {
        std::string members;
        for (const run_member &member : ordered->members)
            absl::StrAppend(&members, members.empty() ? "" : " ", member.agent.str());
        logDecision("run ordered", absl::StrCat(toString(ordered->unit), "/", ordered->run),
                    absl::StrCat(members, "; ", basis));
    } else if (const auto *stopping = std::get_if<run_stopping>(&decision)) {
        logDecision("run stopping", absl::StrCat(toString(stopping->unit), "/", stopping->run),
                    basis);
    } else if (const auto *ended = std::get_if<run_ended>(&decision)) {
        logDecision("run given away", absl::StrCat(toString(ended->unit), "/", ended->run), basis);
    } else if (const auto *cancelled = std::get_if<job_cancelled>(&decision)) {
        logDecision("job cancelled", cancelled->job.str(), basis);
    } else if (const auto *failed = std::get_if<job_failed>(&decision)) {
        logDecision("job failed", failed->job.str(), basis);
    } else if (const auto *evicted = std::get_if<agent_evicted>(&decision)) {
        logDecision(evicted->evicted ? "agent evicted" : "agent reinstated", evicted->agent.str(),
                    basis);
    } else if (const auto *evacuation = std::get_if<zone_evacuated>(&decision)) {
        logDecision(evacuation->evacuated ? "zone evacuated" : "zone back in use", evacuation->zone,
                    basis);
    }
}

} // namespace hyssoppond::batch
