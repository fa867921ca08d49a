/// @file Implementation of the decider: grant, beats, evictions and recorded plans.
#include "hyssoppond/batch/batch_decider_base.h"
#include "hyssoppond/batch/lease_rule_func.h"
#include "hyssoppond/batch/peer_message_type.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// A membership lapses after this time, and another entry takes over. Urgent jobs may wait about
/// 1.5 s; the platform takes 1 s at least.
constexpr absl::Duration MembershipTtl = absl::Milliseconds(1200);

/// Between two joins; two are missed before the membership lapses.
constexpr absl::Duration JoinInterval = absl::Milliseconds(380);

/// Time for the answer to a join, so that a lost one can be repeated before the membership lapses.
constexpr absl::Duration JoinAnswer = absl::Milliseconds(600);

/// Time for one answer of the store.
constexpr absl::Duration StoreAnswer = absl::Milliseconds(1000);

/// Between two reads of the agents' beats, which come once a second.
constexpr absl::Duration HeartbeatReadInterval = absl::Milliseconds(800);

/// An agent without a beat for this time gets no new work.
constexpr absl::Duration SilentAfter = absl::Milliseconds(2800);

/// And after this time the journal records that its runs are to be given away.
constexpr absl::Duration EvictAfter = absl::Milliseconds(3300);

/// A longer gap between two reads of the beats says nothing about the agents.
constexpr absl::Duration LongestHeartbeatGap = absl::Milliseconds(2000);

/// Low bits of an epoch that keep two concurrent grants apart.
constexpr unsigned EpochRandomBits = 10;

/// A decision whose record is not in the journal by then is repeated by a later plan.
constexpr absl::Duration RecordWithin = absl::Seconds(5);

} // namespace

batch_decider::batch_decider(decider_options options, store_port *store, loop_hooks hooks,
                             const batch_state *state, const log_follower *journal)
    : m_options(std::move(options))
    , m_store(store)
    , m_hooks(std::move(hooks))
    , m_state(state)
    , m_journal(journal)
    , m_scheduler(m_options.scheduler)
{ }

void batch_decider::decided(const char *decision, const std::string &item,
                            const std::string &detail) const
{
    if (onDecision)
        onDecision(decision, item, detail);
}

void batch_decider::onMemberEnded(const ended_member &ended)
{
    m_scheduler.learn(ended, *m_state);
    if (m_phase == phase::Deciding)
        m_scheduler.observe(ended, *m_state, m_hooks.now());
}

absl::Time batch_decider::nextDeadline() const
{
    absl::Time next = absl::InfiniteFuture();
    if (!m_joining && !m_leaving)
        next = std::min(next, m_joinAt);
    if (m_writer)
        next = std::min(next, m_writer->nextDeadline());
    if (m_phase == phase::Deciding) {
        if (!m_readingHeartbeats)
            next = std::min(next, m_heartbeatsAt);
        if (!m_recording)
            next = std::min(next, m_planAt);
    }
    return next;
}

void batch_decider::tick()
{
    const absl::Time now = m_hooks.now();
    std::erase_if(m_retired, [](const auto &writer) { return !writer->isSending(); });
    if (!m_joining && !m_leaving && now >= m_joinAt && m_journal->isLoaded())
        join();
    if (m_writer)
        m_writer->tick();
    if (m_phase != phase::Standby && m_state->grant().epoch > m_epoch)
        stepDown("a later decider took over");
    if (m_phase == phase::CatchingUp && m_journal->position() > m_grantOffset)
        startDeciding();
    if (m_phase != phase::Deciding)
        return;
    if (m_state->jobsOver() != m_jobsOver)
        wakeEntries();
    if (!m_readingHeartbeats && now >= m_heartbeatsAt)
        readHeartbeats();
    if (!m_recording && m_journal->position() >= m_recordedTo && (m_planDue || now >= m_planAt))
        plan();
}

void batch_decider::join()
{
    m_joining = true;
    m_joinAt = m_hooks.now() + JoinInterval;
    join_request request {m_options.group, m_options.entry.str(), m_options.journalTopic,
                          MembershipTtl,   m_generation,          m_hooks.now() + JoinAnswer,
                          m_joinFresh};
    m_store->join(std::move(request), [this](const join_answer &answer) {
        m_joining = false;
        onJoined(answer);
    });
}

void batch_decider::onJoined(const join_answer &answer)
{
    m_joinFresh = answer.outcome == store_outcome::Unknown;
    if (answer.outcome != store_outcome::Ok)
        return;
    m_generation = answer.generation;
    const bool holds = std::find(answer.partitions.begin(), answer.partitions.end(), 0U)
        != answer.partitions.end();
    // An entry that loses the partition decides on until the grant of the next one fences it.
    if (holds && m_phase == phase::Standby && !m_leaving && m_config != nullptr)
        takeGrant();
}

void batch_decider::takeGrant()
{
    m_phase = phase::Granting;
    const epoch_number known = std::max(m_epoch, m_state->grant().epoch);
    m_epoch = (((known >> EpochRandomBits) + 1) << EpochRandomBits)
        + (m_hooks.random() & ((1U << EpochRandomBits) - 1));
    m_writer = std::make_unique<log_writer>(
        writer_options {m_options.journalTopic, m_options.producer, m_epoch}, m_store, m_hooks);
    const batch_record grant = decider_granted {m_options.entry, m_epoch};
    m_writer->write({{keyOf(grant), encodeRecord(grant), 0}}, m_hooks.now() + RecordWithin,
                    [this, epoch = m_epoch](write_result what, std::uint64_t offset) {
                        if (m_phase != phase::Granting || epoch != m_epoch)
                            return;
                        if (what != write_result::Written) {
                            stepDown("the grant was not recorded");
                            return;
                        }
                        m_grantOffset = offset;
                        m_phase = phase::CatchingUp;
                    });
}

void batch_decider::stepDown(const char *why)
{
    if (m_phase == phase::Standby)
        return;
    decided("decider stopped", m_options.entry.str(), why);
    m_phase = phase::Standby;
    // Its completions may still arrive; the store fences whatever it still sends.
    if (m_writer)
        m_retired.push_back(std::move(m_writer));
    m_recording = false;
    m_watches.clear();
}

void batch_decider::startDeciding()
{
    m_phase = phase::Deciding;
    decided("decider started", m_options.entry.str(), absl::StrCat("epoch ", m_epoch));
    m_recording = false;
    m_recordedTo = m_grantOffset;
    m_planDue = true;
    m_watches.clear();
    m_heartbeatsAt = m_hooks.now();
    m_heartbeatsReadAt = absl::InfinitePast();
}

void batch_decider::leave()
{
    if (m_leaving)
        return;
    m_leaving = true;
    stepDown("leaving");
    m_store->leave({m_options.group, m_options.entry.str(), m_options.journalTopic, MembershipTtl,
                    m_generation, m_hooks.now() + StoreAnswer, false});
}

void batch_decider::readHeartbeats()
{
    m_readingHeartbeats = true;
    m_heartbeatsAt = m_hooks.now() + HeartbeatReadInterval;
    m_store->read({m_options.heartbeatTopic, m_heartbeatPosition, absl::ZeroDuration(),
                   m_hooks.now() + StoreAnswer, m_heartbeatsFresh},
                  [this](const read_answer &answer) {
                      m_readingHeartbeats = false;
                      onHeartbeats(answer);
                  });
}

void batch_decider::onHeartbeats(const read_answer &answer)
{
    m_heartbeatsFresh = answer.outcome == store_outcome::Unknown;
    if (answer.outcome == store_outcome::Expired) {
        m_heartbeatPosition = answer.first;
        m_heartbeatsAt = m_hooks.now();
        return;
    }
    if (answer.outcome != store_outcome::Ok)
        return;
    const absl::Time now = m_hooks.now();
    const bool gap = now - m_heartbeatsReadAt > LongestHeartbeatGap;
    if (gap) {
        for (auto &[agent, watch] : m_watches)
            watch.heartbeatAt = now;
    }
    for (const stored_record &one : answer.records) {
        m_heartbeatPosition = one.offset + 1;
        const result<agent_heartbeat> heartbeat = decodeAgentHeartbeat(one.value);
        if (!heartbeat) {
            decided("beat ignored", "", heartbeat.error().message);
            continue;
        }
        agent_watch &watch = m_watches[heartbeat->agent];
        watch.heartbeatAt = now;
        if (!gap)
            watch.heardAt = now;
    }
    if (m_heartbeatPosition >= answer.end)
        m_heartbeatsReadAt = now;
    if (m_phase == phase::Deciding)
        watchAgents();
}

void batch_decider::watchAgents()
{
    const absl::Time now = m_hooks.now();
    for (const auto &[agent, announced] : m_state->agents()) {
        const auto [it, added] = m_watches.try_emplace(agent);
        agent_watch &watch = it->second;
        if (added)
            watch.heartbeatAt = now;
        const bool evicted = m_state->isEvicted(agent);
        const auto read = m_evictedBy.find(agent);
        const absl::Time evictedBy = read == m_evictedBy.end() ? now : read->second;
        const absl::Duration silent = now - watch.heartbeatAt;
        const bool holdsRuns = !m_state->runsOn(agent).empty();
        if (!evicted && holdsRuns && silent >= EvictAfter && !watch.evictionQueued) {
            watch.evictionQueued = true;
            const batch_record eviction = agent_evicted {agent, true};
            logDecision(eviction, absl::StrCat("silent for ", absl::FormatDuration(silent)));
            m_writer->write({{keyOf(eviction), encodeRecord(eviction), 0}}, now + RecordWithin,
                            [this, agent = agent](write_result, std::uint64_t) {
                                m_watches[agent].evictionQueued = false;
                            });
        } else if (evicted && now - watch.heardAt < SilentAfter && watch.heardAt > evictedBy
                   && !watch.evictionQueued) {
            watch.evictionQueued = true;
            const batch_record back = agent_evicted {agent, false};
            logDecision(back, "its beats are back");
            m_writer->write({{keyOf(back), encodeRecord(back), 0}}, now + RecordWithin,
                            [this, agent = agent](write_result, std::uint64_t) {
                                m_watches[agent].evictionQueued = false;
                            });
        } else if (evicted && holdsRuns && now >= runsLostAt(evictedBy) && !watch.evictionQueued) {
            declareRunsLost(agent);
        }
    }
}

void batch_decider::onEviction(const agent_evicted &record)
{
    if (record.evicted)
        m_evictedBy[record.agent] = m_hooks.now();
    else
        m_evictedBy.erase(record.agent);
}

void batch_decider::declareRunsLost(const process_id &agent)
{
    std::vector<plan_decision> ends;
    for (const unit_id &unit : m_state->runsOn(agent)) {
        const run_state &run = *m_state->findUnit(unit)->active;
        for (const member_state &member : run.members) {
            if (member.member.agent == agent && !member.end)
                ends.push_back(
                    {run_ended {unit, run.run, member.member.index, agent, run_end::Lost, "", true},
                     agent.str()});
        }
    }
    if (!m_recording && !ends.empty())
        record(ends);
}

plan_input batch_decider::planInput() const
{
    plan_input input;
    input.state = m_state;
    input.config = m_config;
    input.now = m_hooks.now();
    input.nowMs = absl::ToUnixMillis(m_hooks.wallNow());
    for (const auto &[agent, watch] : m_watches) {
        if (input.now - watch.heartbeatAt > SilentAfter)
            input.silent.insert(agent);
    }
    return input;
}

void batch_decider::plan()
{
    m_planDue = false;
    const plan_input input = planInput();
    const std::vector<plan_decision> decisions = m_scheduler.plan(input);
    m_planAt = m_scheduler.nextDeadline(input);
    if (!decisions.empty())
        record(decisions);
}

void batch_decider::record(const std::vector<plan_decision> &decisions)
{
    std::vector<stored_record> records;
    std::set<process_id> addressees;
    for (const plan_decision &decision : decisions) {
        logDecision(decision.record, decision.why);
        collectAddressees(decision.record, &addressees);
        records.push_back({keyOf(decision.record), encodeRecord(decision.record), 0});
    }
    m_recording = true;
    const std::size_t count = records.size();
    // Sent until it is settled: what may still be appended must not be decided anew.
    m_writer->write(
        std::move(records), absl::InfiniteFuture(),
        [this, count, addressees, epoch = m_epoch](write_result what, std::uint64_t offset) {
            if (epoch != m_epoch || m_phase != phase::Deciding)
                return;
            m_recording = false;
            if (what != write_result::Written) {
                stepDown("a later decider took over");
                return;
            }
            m_recordedTo = offset + count;
            m_planDue = true;
            for (const process_id &agent : addressees)
                wakeProcess(agent);
        });
}

void batch_decider::collectAddressees(const batch_record &decision,
                                      std::set<process_id> *agents) const
{
    if (const auto *ordered = std::get_if<run_ordered>(&decision)) {
        for (const run_member &member : ordered->members)
            agents->insert(member.agent);
    } else if (const auto *stopping = std::get_if<run_stopping>(&decision)) {
        for (const member_state &member : m_state->findUnit(stopping->unit)->active->members)
            agents->insert(member.member.agent);
    }
}

void batch_decider::wakeProcess(const process_id &process) const
{
    const auto found = m_state->processes().find(process);
    if (sendWake && found != m_state->processes().end() && !found->second.wakeAddress.empty())
        sendWake(found->second.wakeAddress, encodePeerMessage(wake_message {m_recordedTo}));
}

void batch_decider::wakeEntries()
{
    m_jobsOver = m_state->jobsOver();
    for (const auto &[name, process] : m_state->processes()) {
        if (process.isEntry && name != m_options.entry)
            wakeProcess(name);
    }
}

void batch_decider::logDecision(const batch_record &decision, const std::string &why) const
{
    // The state that the decision was made from.
    const std::string basis
        = absl::StrCat(why, "; journal ", m_journal->position(), ", configuration ",
                       m_config == nullptr ? 0 : m_config->version);
    if (const auto *ordered = std::get_if<run_ordered>(&decision)) {
        std::string members;
        for (const run_member &member : ordered->members)
            absl::StrAppend(&members, members.empty() ? "" : " ", member.agent.str());
        decided("run ordered", absl::StrCat(toString(ordered->unit), "/", ordered->run),
                absl::StrCat(members, "; ", basis));
    } else if (const auto *stopping = std::get_if<run_stopping>(&decision)) {
        decided("run stopping", absl::StrCat(toString(stopping->unit), "/", stopping->run), basis);
    } else if (const auto *ended = std::get_if<run_ended>(&decision)) {
        decided("run given away", absl::StrCat(toString(ended->unit), "/", ended->run), basis);
    } else if (const auto *failed = std::get_if<job_failed>(&decision)) {
        decided("job failed", failed->job.str(), basis);
    } else if (const auto *evicted = std::get_if<agent_evicted>(&decision)) {
        decided(evicted->evicted ? "agent evicted" : "agent reinstated", evicted->agent.str(),
                basis);
    }
}

} // namespace hyssoppond::batch
