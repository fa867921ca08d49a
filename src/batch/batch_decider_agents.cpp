/// @file The decider's reads of heartbeats, evictions of silent agents, and the runs that they
/// lose.
#include "hyssoppond/batch/batch_decider_base.h"
#include "hyssoppond/batch/lease_rule_func.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Timeout of a read of the heartbeats.
constexpr absl::Duration HeartbeatReadTimeout = absl::Milliseconds(1000);

/// Interval between two reads of the agents' heartbeats, which agents send once a second.
constexpr absl::Duration HeartbeatReadInterval = absl::Milliseconds(800);

/// The next read comes earlier, but not before this time, where an eviction after a change of the
/// decider or the end of an eviction's wait falls due: work waits for it.
constexpr absl::Duration MinHeartbeatReadInterval = absl::Milliseconds(100);

/// An agent without a heartbeat for this time gets no new work.
constexpr absl::Duration SilentAfter = absl::Milliseconds(2800);

/// The same for the time since a heartbeat was sent, of which only an early bound is known.
constexpr absl::Duration MaxHeartbeatAge = EvictAfter;

/// After a longer gap between two reads of the heartbeats, their absence tells nothing about the
/// agents, and the silence of each counts anew.
constexpr absl::Duration MaxHeartbeatReadGap = absl::Milliseconds(2000);

} // namespace

void batch_decider::readHeartbeats()
{
    m_readingHeartbeats = true;
    m_nextHeartbeatReadAt = m_hooks.now() + HeartbeatReadInterval;
    m_store->read({m_options.heartbeatTopic, m_heartbeatPosition, absl::ZeroDuration(),
                   m_hooks.now() + HeartbeatReadTimeout, m_readOnFreshConnection},
                  [this, sentAt = m_hooks.now()](const read_answer &answer) {
                      m_readingHeartbeats = false;
                      onHeartbeats(answer, sentAt);
                  });
}

void batch_decider::onHeartbeats(const read_answer &answer, absl::Time sentAt)
{
    m_readOnFreshConnection = answer.outcome == store_outcome::Unknown;
    if (answer.outcome == store_outcome::Expired) {
        m_heartbeatPosition = answer.first;
        m_heartbeatOrder = {}; // the records that were skipped may include last heartbeats
        m_nextHeartbeatReadAt = m_hooks.now();
        return;
    }
    if (answer.outcome != store_outcome::Ok)
        return;
    const absl::Time now = m_hooks.now();
    const bool gap = now - m_heartbeatsReadAt > MaxHeartbeatReadGap;
    if (gap) {
        for (auto &[agent, watch] : m_watches)
            watch.silentSince = now;
    }
    for (const stored_record &stored : answer.records) {
        m_heartbeatPosition = stored.offset + 1;
        const result<agent_heartbeat> heartbeat = decodeAgentHeartbeat(stored.value);
        if (!heartbeat) {
            logDecision("beat ignored", "", heartbeat.error().message);
            continue;
        }
        agent_watch &watch = watchOf(heartbeat->agent);
        watch.silentSince = now;
        watch.silentSinceTakeover = m_heartbeatsReadAt == absl::InfinitePast();
        m_heartbeatOrder.note(*heartbeat, stored.offset);
        const auto eviction = m_evictions.find(heartbeat->agent);
        if (eviction == m_evictions.end() || stored.offset >= eviction->second.heartbeatsRead)
            watch.heartbeatReadAt = now;
        const absl::Time sentAfter = m_heartbeatAges.sentAfter(*heartbeat, stored.offset);
        watch.livedAt = std::max(watch.livedAt, std::min(sentAfter, now));
        for (const run_progress &progress : heartbeat->progress)
            m_scheduler.learnProgress(progress, *m_state);
    }
    m_heartbeatAges.noteRead(sentAt, answer.end);
    const bool isComplete = m_heartbeatPosition >= answer.end;
    if (isComplete && m_heartbeatsReadAt == absl::InfinitePast())
        m_planAllowedAt = now;
    if (isComplete)
        m_heartbeatsReadAt = now;
    else if (!answer.records.empty())
        m_nextHeartbeatReadAt = now;
    if (m_phase == phase::Deciding)
        watchAgents(isComplete, sentAt);
}

batch_decider::agent_watch &batch_decider::watchOf(const process_id &agent)
{
    const auto [it, added] = m_watches.try_emplace(agent);
    if (added) {
        it->second.silentSince = m_hooks.now();
        it->second.watchedSince = m_hooks.now();
    }
    return it->second;
}

void batch_decider::applyProvenSilence(const process_id &agent, agent_watch *watch) const
{
    const absl::Time storedBefore = m_hooks.now() - m_heartbeatOrder.provenSilence(agent);
    watch->silentSince = std::min(watch->silentSince, storedBefore);
    watch->heartbeatReadAt = std::min(watch->heartbeatReadAt, storedBefore);
}

bool batch_decider::isSilent(const agent_watch &watch) const
{
    const absl::Time now = m_hooks.now();
    return now - watch.silentSince > SilentAfter
        || now - std::max(watch.livedAt, watch.watchedSince) > MaxHeartbeatAge;
}

void batch_decider::watchAgents(bool isComplete, absl::Time readSentAt)
{
    if (m_journal->position() < m_recordedTo || isBehind())
        return; // the state lacks evictions or reinstatements of this decider
    const absl::Time now = m_hooks.now();
    // The runs of all agents are recorded together: one record after the other would take as many
    // reads of the heartbeats as there are agents.
    std::vector<plan_decision> lostMembers;
    // What is overdue waits for a record that is being written, so no earlier read helps.
    const auto readAt = [this, now](absl::Time due) {
        if (due > now)
            m_nextHeartbeatReadAt
                = std::min(m_nextHeartbeatReadAt, std::max(due, now + MinHeartbeatReadInterval));
    };
    for (const auto &[agent, announced] : m_state->agents()) {
        agent_watch &watch = watchOf(agent);
        if (isComplete && watch.silentSinceTakeover)
            applyProvenSilence(agent, &watch);
        const bool evicted = m_state->isEvicted(agent);
        const auto eviction = m_evictions.find(agent);
        const absl::Time evictionReadAt
            = eviction == m_evictions.end() ? now : eviction->second.readAt;
        const absl::Duration silent = now - watch.silentSince;
        const bool holdsRuns = !m_state->runsOn(agent).empty();
        if (!evicted && holdsRuns && silent >= EvictAfter && !watch.evictionQueued) {
            const batch_record record = agent_evicted {agent, true, m_heartbeatPosition};
            logRecord(record,
                      absl::StrCat("no heartbeat for ", absl::FormatDuration(silent),
                                   watch.silentSinceTakeover ? ", none since the takeover" : ""));
            recordEviction(agent, record);
        } else if (evicted && !isSilent(watch) && watch.livedAt > evictionReadAt
                   && !m_state->isEnding(agent) && !watch.evictionQueued) {
            const batch_record reinstatement = agent_evicted {agent, false, m_heartbeatPosition};
            logRecord(reinstatement, "heartbeats received again");
            recordEviction(agent, reinstatement);
        } else if (evicted && holdsRuns
                   && isComplete
                   // An agent may use heartbeats that are stored until its journal reads expire,
                   // so an earlier read may lack the last of them although it was complete.
                   && readSentAt >= evictionReadAt + JournalReadValidity
                   && now >= runsLostAt(evictionReadAt, watch.heartbeatReadAt)
                   && !watch.evictionQueued) {
            collectRunsOn(agent, &lostMembers);
        }
        if (holdsRuns && !evicted && watch.silentSinceTakeover)
            readAt(watch.silentSince + EvictAfter);
        else if (holdsRuns && evicted)
            readAt(runsLostAt(evictionReadAt, watch.heartbeatReadAt));
    }
    if (!m_recording && !lostMembers.empty())
        record(lostMembers);
}

void batch_decider::recordEviction(const process_id &agent, const batch_record &record)
{
    m_watches[agent].evictionQueued = true;
    // Without a deadline: a reinstatement whose outcome is unknown may still be appended, and runs
    // must not be declared lost behind it.
    m_writer->write({{keyOf(record), encodeRecord(record), 0}}, absl::InfiniteFuture(),
                    [this, agent, epoch = m_epoch](write_result writeResult, std::uint64_t offset) {
                        if (epoch != m_epoch || m_phase != phase::Deciding)
                            return;
                        m_watches[agent].evictionQueued = false;
                        if (writeResult == write_result::Written)
                            m_recordedTo = std::max(m_recordedTo, offset + 1);
                    });
}

void batch_decider::onEviction(const agent_evicted &record)
{
    if (record.evicted)
        m_evictions[record.agent] = {m_hooks.now(), record.heartbeatsRead};
    else
        m_evictions.erase(record.agent);
}

void batch_decider::collectRunsOn(const process_id &agent,
                                  std::vector<plan_decision> *lostMembers) const
{
    const absl::Duration evictedFor = m_hooks.now() - m_evictions.at(agent).readAt;
    for (const unit_id &unit : m_state->runsOn(agent)) {
        const run_state &run = *m_state->findUnit(unit)->active;
        for (const member_state &member : run.members) {
            if (member.member.agent == agent && !member.end)
                lostMembers->push_back(
                    {run_ended {unit, run.run, member.member.index, agent, run_end::Lost, "", true},
                     absl::StrCat(agent.str(), ", eviction read ", absl::FormatDuration(evictedFor),
                                  " ago")});
        }
    }
}

} // namespace hyssoppond::batch
