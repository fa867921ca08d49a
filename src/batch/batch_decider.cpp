/// @file Implementation of the decider: grant, heartbeats, evictions and recording of plans.
#include "hyssoppond/batch/batch_decider_base.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>

namespace hyssoppond::batch {

namespace {

/// Lifetime of a membership in the decider group after a join. When it has expired, another entry
/// takes over. Urgent jobs can wait about 1.5 s, and the platform accepts no time below 1 s.
constexpr absl::Duration MembershipTtl = absl::Milliseconds(1200);

/// Interval between two joins. Two joins can fail before the membership expires.
constexpr absl::Duration JoinInterval = absl::Milliseconds(380);

/// Timeout of a join. It is short enough to repeat a lost join before the membership expires.
constexpr absl::Duration JoinTimeout = absl::Milliseconds(600);

/// Timeout of the other calls to the store.
constexpr absl::Duration StoreCallTimeout = absl::Milliseconds(1000);

/// Number of random low bits of an epoch. They keep the epochs of two concurrent grants apart.
constexpr unsigned EpochRandomBits = 10;

/// The holder of the partition asks the present decider at this interval, and takes over when it
/// has got no answer for the following time. An answer takes 20 ms between zones, and a datagram
/// may be lost.
constexpr absl::Duration QueryInterval = absl::Milliseconds(50);
constexpr absl::Duration DeciderAnswerTimeout = absl::Milliseconds(150);

/// A reserve entry asks for the decider at this interval, and joins the group when it has known of
/// none for the following time.
constexpr absl::Duration ReserveQueryInterval = absl::Milliseconds(400);
constexpr absl::Duration ReserveDelay = absl::Milliseconds(2800);

/// Nothing is decided on a state that is older than this: a read of the journal takes 1.5 s
/// without records, and its answer may be late.
constexpr absl::Duration MaxStateAge = absl::Milliseconds(3000);

/// A decider whose records have no outcome for this time lets another entry take over.
constexpr absl::Duration MaxRecordStall = absl::Milliseconds(3000);

/// Time that an order takes from the plan to the start of the item, besides the time for which a
/// start waits for the worker's incarnation.
constexpr absl::Duration OrderDelay = absl::Milliseconds(1500);

/// The first plan after a takeover waits this long for the heartbeats, which tell which agents are
/// gone. Urgent work can wait about 1.5 s, of which the takeover takes most.
constexpr absl::Duration FirstHeartbeatWait = absl::Milliseconds(300);

/// Pause after a plan, as a multiple of the time that it took, so that an entry with little
/// processor time still reads the journal and keeps its membership.
constexpr double PlanPauseFactor = 2.0;

/// Timeout for recording a grant. If it is not in the journal by then, the entry steps down.
constexpr absl::Duration RecordTimeout = absl::Seconds(5);

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

void batch_decider::onMemberEnded(const ended_member &ended)
{
    m_scheduler.learn(ended, *m_state);
    // A load applies earlier ends once more.
    const bool isRepeated = m_reloading && ended.offset < m_endsReadTo;
    m_endsReadTo = std::max(m_endsReadTo, ended.offset + 1);
    if (m_phase != phase::Deciding || isRepeated)
        return;
    const std::optional<worker_quarantine> quarantine
        = m_scheduler.observe(ended, *m_state, m_hooks.now());
    logDecision("member ended",
                absl::StrCat(toString(ended.unit), "/", ended.run, " member ", ended.member.index),
                absl::StrCat(ended.member.agent.str(), " ",
                             std::string(RunEndNames.name(ended.how)), ", by ",
                             std::string(EndEvidenceNames.name(ended.evidence)), " at offset ",
                             ended.offset, ", worker incarnation ", ended.member.workerStartMs));
    if (quarantine)
        logDecision("worker quarantined", ended.member.agent.str(),
                    absl::StrCat("for ", absl::FormatDuration(quarantine->until - m_hooks.now()),
                                 ", ", quarantine->failures, " failed runs in a row, by ",
                                 toString(ended.unit), "/", ended.run));
}

absl::Time batch_decider::nextDeadline() const
{
    absl::Time next = absl::InfiniteFuture();
    if (!m_joining && !m_leaving)
        next = std::min(next, m_nextJoinAt);
    if (m_takeOverAt != absl::InfiniteFuture())
        next = std::min({next, m_takeOverAt, m_nextQueryAt});
    if (m_writer)
        next = std::min(next, m_writer->nextDeadline());
    if (m_phase == phase::Deciding) {
        if (!m_readingHeartbeats)
            next = std::min(next, m_nextHeartbeatReadAt);
        if (!m_recording && m_journal->position() >= m_recordedTo && !isBehind())
            next = std::min(next,
                            std::max(m_planDue ? m_planAllowedAt : m_nextPlanAt, m_planAllowedAt));
    }
    return next;
}

void batch_decider::tick()
{
    const absl::Time now = m_hooks.now();
    std::erase_if(m_retiredWriters, [](const auto &writer) { return !writer->isSending(); });
    if (!m_joining && !m_leaving && now >= m_nextJoinAt && m_journal->isLoaded()) {
        if (takesPart())
            join();
        else
            m_nextJoinAt = now + ReserveQueryInterval;
    }
    if (m_takeOverAt <= now) {
        m_takeOverAt = absl::InfiniteFuture();
        if (m_phase == phase::Standby && !m_leaving) {
            logDecision("decider does not answer", m_state->grant().entry.str(),
                        absl::StrCat("epoch ", m_state->grant().epoch));
            takeGrant();
        }
    } else if (m_takeOverAt != absl::InfiniteFuture() && now >= m_nextQueryAt) {
        sendQuery();
    }
    if (m_writer)
        m_writer->tick();
    if (m_phase != phase::Standby && m_state->grant().epoch > m_epoch)
        stepDown("a later decider took over");
    if (m_phase == phase::CatchingUp && m_journal->position() > m_grantOffset) {
        // The store answers a grant of an epoch that another entry has drawn too as if it repeated
        // that entry's grant.
        if (m_state->grant().epoch == m_epoch && m_state->grant().entry == m_options.entry)
            startDeciding();
        else
            stepDown("the journal does not show its grant");
    }
    if (m_phase != phase::Deciding)
        return;
    if (m_state->jobsOver() != m_jobsOver)
        wakeEntries();
    if (!m_readingHeartbeats && now >= m_nextHeartbeatReadAt)
        readHeartbeats();
    const bool isDue = (m_planDue || now >= m_nextPlanAt) && now >= m_planAllowedAt;
    if (!m_recording && m_journal->position() >= m_recordedTo && isDue && !isBehind())
        plan();
}

bool batch_decider::isBehind() const
{
    return m_hooks.now() - m_journal->currentAsOf() > MaxStateAge;
}

bool batch_decider::isAbleToDecide() const
{
    const bool isStalled = m_writer && m_writer->isStalled(MaxRecordStall);
    return m_phase != phase::Standby && !m_leaving && !isBehind() && !isStalled;
}

bool batch_decider::takesPart()
{
    if (!m_options.isReserve || m_phase != phase::Standby)
        return true;
    const absl::Time now = m_hooks.now();
    if (m_deciderSeenAt == absl::InfinitePast())
        m_deciderSeenAt = now;
    const bool noDecider = now - m_deciderSeenAt > ReserveDelay;
    if (!noDecider && m_generation != 0) {
        m_store->leave({m_options.group, m_options.entry.str(), m_options.journalTopic,
                        MembershipTtl, m_generation, now + StoreCallTimeout, false});
        m_generation = 0;
    }
    if (!deciderAddress().empty())
        sendQuery();
    return noDecider;
}

std::string batch_decider::deciderAddress() const
{
    const process_id &decider = m_state->grant().entry;
    const auto found = m_state->processes().find(decider);
    const bool isKnown = found != m_state->processes().end() && decider != m_options.entry;
    return isKnown && sendWake && !m_options.address.empty() ? found->second.wakeAddress : "";
}

void batch_decider::sendQuery()
{
    m_nextQueryAt = m_hooks.now() + QueryInterval;
    sendWake(deciderAddress(),
             encodePeerMessage(decider_query {m_options.address, m_options.isReserve}));
}

void batch_decider::onQuery(const decider_query &query)
{
    if (!sendWake)
        return;
    // A reserve entry gives way to any other one.
    const bool givesWay = m_options.isReserve && !query.isReserve;
    const bool keeps = isAbleToDecide() && !givesWay;
    sendWake(query.replyTo,
             encodePeerMessage(decider_answer {m_options.entry, keeps ? m_epoch : 0}));
}

void batch_decider::onAnswer(const decider_answer &answer)
{
    if (answer.entry != m_state->grant().entry)
        return; // of an earlier decider
    if (answer.epoch != 0) {
        m_deciderSeenAt = m_hooks.now();
        m_takeOverAt = absl::InfiniteFuture();
    } else if (m_takeOverAt != absl::InfiniteFuture()) {
        m_takeOverAt = absl::InfiniteFuture();
        if (m_phase == phase::Standby && !m_leaving) {
            logDecision("decider gives way", answer.entry.str(),
                        absl::StrCat("epoch ", m_state->grant().epoch));
            takeGrant();
        }
    }
}

void batch_decider::considerTakeover()
{
    if (m_takeOverAt != absl::InfiniteFuture())
        return;
    if (deciderAddress().empty()) {
        takeGrant();
        return;
    }
    m_takeOverAt = m_hooks.now() + DeciderAnswerTimeout;
    sendQuery();
}

void batch_decider::join()
{
    m_joining = true;
    m_nextJoinAt = m_hooks.now() + JoinInterval;
    join_request request {
        m_options.group, m_options.entry.str(),       m_options.journalTopic, MembershipTtl,
        m_generation,    m_hooks.now() + JoinTimeout, m_joinOnFreshConnection};
    m_store->join(std::move(request), [this](const join_answer &answer) {
        m_joining = false;
        onJoined(answer);
    });
}

void batch_decider::onJoined(const join_answer &answer)
{
    m_joinOnFreshConnection = answer.outcome == store_outcome::Unknown;
    if (answer.outcome != store_outcome::Ok)
        return;
    m_generation = answer.generation;
    const bool holdsPartition = std::find(answer.partitions.begin(), answer.partitions.end(), 0U)
        != answer.partitions.end();
    // An entry that loses the partition continues to decide until the grant of the next decider
    // fences it.
    if (!holdsPartition)
        m_takeOverAt = absl::InfiniteFuture();
    else if (m_phase == phase::Standby && !m_leaving && m_config != nullptr)
        considerTakeover();
}

void batch_decider::takeGrant()
{
    m_phase = phase::Granting;
    const epoch_number newestEpoch = std::max(m_epoch, m_state->grant().epoch);
    m_epoch = (((newestEpoch >> EpochRandomBits) + 1) << EpochRandomBits)
        + (m_hooks.random() & ((1U << EpochRandomBits) - 1));
    m_writer = std::make_unique<log_writer>(
        writer_options {m_options.journalTopic, m_options.producer, m_epoch}, m_store, m_hooks);
    const batch_record grant = decider_granted {m_options.entry, m_epoch};
    m_writer->write(
        {{keyOf(grant), encodeRecord(grant), 0}}, m_hooks.now() + RecordTimeout,
        [this, epoch = m_epoch](write_result writeResult, std::uint64_t offset) {
            if (m_phase != phase::Granting || epoch != m_epoch)
                return;
            if (writeResult != write_result::Written) {
                stepDown("the grant was not recorded in the journal; retrying after the next join");
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
    logDecision("decider stopped", m_options.entry.str(), why);
    m_phase = phase::Standby;
    // The writer is kept until its call is answered, as the completion refers to it. The store
    // fences whatever it still sends.
    if (m_writer)
        m_retiredWriters.push_back(std::move(m_writer));
    m_recording = false;
    m_watches.clear();
}

void batch_decider::startDeciding()
{
    m_phase = phase::Deciding;
    logDecision("decider started", m_options.entry.str(), absl::StrCat("epoch ", m_epoch));
    m_recording = false;
    m_recordedTo = m_grantOffset;
    m_planDue = true;
    m_watches.clear();
    m_nextHeartbeatReadAt = m_hooks.now();
    m_heartbeatsReadAt = absl::InfinitePast();
    m_planAllowedAt = m_hooks.now() + FirstHeartbeatWait;
    // An earlier term may have read heartbeats that are later than an eviction since then.
    // Agents without runs need not be heard of: one that is gone for good would have each new term
    // read all heartbeats since its eviction.
    for (const auto &[agent, eviction] : m_evictions) {
        if (!m_state->runsOn(agent).empty())
            m_heartbeatPosition = std::min(m_heartbeatPosition, eviction.heartbeatsRead);
    }
}

void batch_decider::leave()
{
    if (m_leaving)
        return;
    m_leaving = true;
    stepDown("leaving");
    m_store->leave({m_options.group, m_options.entry.str(), m_options.journalTopic, MembershipTtl,
                    m_generation, m_hooks.now() + StoreCallTimeout, false});
}

bool batch_decider::isEvacuationUnknown() const
{
    return configReadAt && m_hooks.now() - configReadAt() > m_options.evacuateWithin - OrderDelay;
}

plan_input batch_decider::planInput() const
{
    plan_input input;
    input.state = m_state;
    input.config = m_config;
    input.now = m_hooks.now();
    input.nowMs = absl::ToUnixMillis(m_hooks.wallNow());
    if (m_zoneEvacuations != nullptr)
        input.evacuatedZones = m_zoneEvacuations->zones(m_state->evacuations());
    for (const auto &[agent, watch] : m_watches) {
        if (isSilent(watch))
            input.silent.insert(agent);
    }
    for (const auto &[agent, announced] : m_state->agents()) {
        if (m_state->isEnding(agent))
            input.silent.insert(agent);
    }
    return input;
}

void batch_decider::plan()
{
    m_planDue = false;
    const plan_input input = planInput();
    // The records of evacuations precede the orders of the plan, so that no agent reads such an
    // order without them.
    std::vector<plan_decision> decisions;
    if (m_zoneEvacuations != nullptr) {
        for (const zone_evacuated &record :
             m_zoneEvacuations->missingRecords(m_state->evacuations()))
            decisions.push_back({record, "requested by the operator"});
    }
    if (isEvacuationUnknown()) {
        logDecision("plan put off", "", "the operator's topic was not read for too long");
    } else {
        std::vector<plan_decision> planned = m_scheduler.plan(input);
        std::move(planned.begin(), planned.end(), std::back_inserter(decisions));
    }
    logChangedSpeeds();
    m_nextPlanAt = m_scheduler.nextDeadline(input);
    const absl::Time plannedAt = m_hooks.now();
    m_planAllowedAt = plannedAt + (plannedAt - input.now) * PlanPauseFactor;
    if (!decisions.empty())
        record(decisions);
}

void batch_decider::record(const std::vector<plan_decision> &decisions)
{
    std::vector<stored_record> records;
    std::set<process_id> affectedAgents;
    for (const plan_decision &decision : decisions) {
        logRecord(decision.record, decision.why);
        collectAffectedAgents(decision.record, &affectedAgents);
        records.push_back({keyOf(decision.record), encodeRecord(decision.record), 0});
    }
    m_recording = true;
    const std::size_t count = records.size();
    // Without a deadline: the next plan waits until the store has settled the write, because
    // records that may still be appended must not be decided again.
    m_writer->write(std::move(records), absl::InfiniteFuture(),
                    [this, count, affectedAgents, epoch = m_epoch](write_result writeResult,
                                                                   std::uint64_t offset) {
                        if (epoch != m_epoch || m_phase != phase::Deciding)
                            return;
                        m_recording = false;
                        if (writeResult != write_result::Written) {
                            stepDown("a later decider took over");
                            return;
                        }
                        m_recordedTo = std::max(m_recordedTo, offset + count);
                        m_planDue = true;
                        for (const process_id &agent : affectedAgents)
                            wakeProcess(agent);
                    });
}

void batch_decider::collectAffectedAgents(const batch_record &decision,
                                          std::set<process_id> *agents) const
{
    if (const auto *ordered = std::get_if<run_ordered>(&decision)) {
        for (const run_member &member : ordered->members)
            agents->insert(member.agent);
    } else if (const auto *stopping = std::get_if<run_stopping>(&decision)) {
        for (const member_state &member : m_state->findUnit(stopping->unit)->active->members)
            agents->insert(member.member.agent);
    } else if (const auto *evacuated = std::get_if<zone_evacuated>(&decision)) {
        for (const auto &[agent, announced] : m_state->agents()) {
            if (announced.hasWorker && announced.worker.zone == evacuated->zone)
                agents->insert(agent);
        }
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

} // namespace hyssoppond::batch
