/// @file Part of each entry that elects one entry as the decider and records its decisions.
#pragma once

#include "hyssoppond/batch/batch_scheduler_base.h"
#include "hyssoppond/batch/heartbeat_ages_base.h"
#include "hyssoppond/batch/heartbeat_order_base.h"
#include "hyssoppond/batch/log_follower_base.h"
#include "hyssoppond/batch/log_writer_base.h"
#include "hyssoppond/batch/peer_message_type.h"
#include "hyssoppond/batch/zone_evacuations_base.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace hyssoppond::batch {

struct decider_options
{
    process_id entry;
    std::string journalTopic = JournalTopic;
    std::string heartbeatTopic = HeartbeatTopic;
    std::string group = "decider";
    std::string producer = "decider";
    std::string address; ///< HOST:PORT at which the entry takes messages of its peers; empty: none
    /// The entry has little processor time, and decides only while no other one does.
    bool isReserve = false;
    scheduler_options scheduler;
    /// Time after the request to evacuate a zone within which the last item starts there. A decider
    /// that has not read the operator's topic for nearly as long orders nothing.
    absl::Duration evacuateWithin = absl::InfiniteDuration();
};

/// State machine without I/O. The entry that holds partition 0 of the journal in the group decides.
/// The partition is only a hint, and two entries may hold it for a short time. Safety comes from
/// the epoch of the producer, by which the store refuses the appends of earlier deciders. The
/// holder asks the present decider first, and takes over only if that one does not answer in time
/// or does not decide any more: the store may move the partition although the decider is well.
class batch_decider
{
public:
    batch_decider(decider_options options, store_port *store, loop_hooks hooks,
                  const batch_state *state, const log_follower *journal);

    /// Sets the configuration in force. The caller owns it and keeps it until the next call.
    void setConfig(const site_config *config) { m_config = config; }
    /// The caller owns the evacuations and keeps them.
    void setEvacuations(const zone_evacuations *evacuations) { m_zoneEvacuations = evacuations; }
    /// When the operator's topic was last read to its end.
    std::function<absl::Time()> configReadAt;
    /// To be called when the journal shows the end of a run's member.
    void onMemberEnded(const ended_member &ended);
    /// To be called when an eviction or its end is read from the journal, also while another entry
    /// decides.
    void onEviction(const agent_evicted &record);
    /// Handles the query of a peer and its answer to ours.
    void onQuery(const decider_query &query);
    void onAnswer(const decider_answer &answer);
    /// To be called before the journal is reloaded from the newest record of each key.
    void onReloading()
    {
        m_reloading = true;
        m_evictions.clear();
        m_scheduler.forgetRunTimes();
    }
    /// To be called after the journal was reloaded.
    void onReloaded()
    {
        m_reloading = false;
        m_scheduler.learnReplayed(*m_state);
        m_planDue = true;
    }
    /// To be called after records were applied to the state.
    void onRecords() { m_planDue = true; }

    /// Sends a wake-up message to HOST:PORT; best effort.
    std::function<void(const std::string &address, const std::string &message)> sendWake;

    void tick();
    absl::Time nextDeadline() const;
    /// Stops deciding and leaves the group, so that another entry takes over at once.
    void leave();
    bool isDeciding() const { return m_phase == phase::Deciding; }
    /// Learned from the journal, also while another entry decides.
    const item_time_model &runTimes() const { return m_scheduler.times(); }

    /// Called with each decision for the log: the decision, its subject, and its inputs and reason.
    /// The text `decision` is also the name of a metric and therefore stays.
    std::function<void(const char *decision, const std::string &item, const std::string &detail)>
        onDecision;

private:
    enum class phase : std::uint8_t {
        Standby,
        Granting,   ///< the grant is being written to the journal
        CatchingUp, ///< the journal up to the grant is still being applied
        Deciding,
    };

    struct agent_watch
    {
        /// Last heartbeat or, if later, the end of a gap in reading them or the time at which the
        /// agent was first seen. Earlier if the store's order of the heartbeats proves it.
        absl::Time silentSince;
        /// No heartbeat of the agent was read since the first complete read of this decider.
        bool silentSinceTakeover = true;
        /// When the last heartbeat was read that the decider which evicted the agent, if it is
        /// evicted, had not read then, or an earlier time before which it was certainly stored.
        /// Runs are given away later for it.
        absl::Time heartbeatReadAt = absl::InfinitePast();
        /// The agent lived at this time or later. It gets work and is reinstated for it, so it must
        /// not be later than the sending of a heartbeat.
        absl::Time livedAt = absl::InfinitePast();
        absl::Time watchedSince = absl::InfinitePast();
        bool evictionQueued = false;
    };

    struct known_eviction
    {
        absl::Time readAt;                ///< which is after it was recorded
        std::uint64_t heartbeatsRead = 0; ///< see agent_evicted
    };

    void logDecision(const char *decision, const std::string &item,
                     const std::string &detail) const;
    void join();
    void onJoined(const join_answer &answer);
    /// True if this entry has to be a member of the group.
    bool takesPart();
    /// Takes the grant, or asks the present decider first.
    void considerTakeover();
    void sendQuery();
    /// HOST:PORT of the present decider; empty if there is none to ask.
    std::string deciderAddress() const;
    /// True if this entry decides and its state is recent.
    bool isAbleToDecide() const;
    /// True if the state is too old to decide on it.
    bool isBehind() const;
    void takeGrant();
    void stepDown(const char *why);
    void startDeciding();
    void readHeartbeats();
    void onHeartbeats(const read_answer &answer, absl::Time sentAt);
    /// `isComplete` tells whether all heartbeats were read.
    /// The heartbeats were read by a call sent at `readSentAt`.
    void watchAgents(bool isComplete, absl::Time readSentAt);
    /// Lets the silence of an agent that fell silent before this decider took over count from the
    /// time that the order of the heartbeats proves. All heartbeats were read just now.
    void applyProvenSilence(const process_id &agent, agent_watch *watch) const;
    /// The watch of `agent`, which begins now if there is none.
    agent_watch &watchOf(const process_id &agent);
    /// Whether no work may be ordered from the agent of `watch`.
    bool isSilent(const agent_watch &watch) const;
    /// Records that `agent` is evicted or reinstated. Until the outcome is known, nothing else is
    /// decided about the agent.
    void recordEviction(const process_id &agent, const batch_record &record);
    /// Adds an end for each member of a run that is active on `agent`, which is evicted.
    void collectRunsOn(const process_id &agent, std::vector<plan_decision> *lostMembers) const;
    /// True if a zone may have been evacuated for so long that no order would be in time.
    bool isEvacuationUnknown() const;
    plan_input planInput() const;
    void plan();
    void logChangedSpeeds();
    void record(const std::vector<plan_decision> &decisions);
    /// Adds the agents that have to act on `decision` to `agents`.
    void collectAffectedAgents(const batch_record &decision, std::set<process_id> *agents) const;
    void wakeProcess(const process_id &process) const;
    void wakeEntries();
    void logRecord(const batch_record &decision, const std::string &why) const;

    decider_options m_options;
    store_port *m_store;
    loop_hooks m_hooks;
    const batch_state *m_state;
    const log_follower *m_journal;
    const site_config *m_config = nullptr;
    const zone_evacuations *m_zoneEvacuations = nullptr;
    batch_scheduler m_scheduler;

    phase m_phase = phase::Standby;
    bool m_leaving = false;
    bool m_joining = false;
    bool m_joinOnFreshConnection = false;
    std::uint64_t m_generation = 0;
    absl::Time m_nextJoinAt = absl::InfinitePast();
    /// When the grant is taken unless the present decider answers.
    absl::Time m_takeOverAt = absl::InfiniteFuture();
    absl::Time m_nextQueryAt = absl::InfiniteFuture();
    /// When this entry last knew of a decider, or began to look for one.
    absl::Time m_deciderSeenAt = absl::InfinitePast();
    epoch_number m_epoch = 0;
    std::uint64_t m_grantOffset = 0;
    std::unique_ptr<log_writer> m_writer;
    /// Writers of earlier terms, kept until their last call is answered.
    std::vector<std::unique_ptr<log_writer>> m_retiredWriters;
    bool m_recording = false;
    bool m_reloading = false; ///< the journal is being applied from the newest record of each key
    std::uint64_t m_endsReadTo = 0; ///< offset after the newest record that ended a member
    absl::Time m_nextSpeedLogAt = absl::InfinitePast();
    std::uint64_t m_recordedTo = 0; ///< offset after the newest record of this decider
    bool m_planDue = false;
    std::uint64_t m_jobsOver = 0; ///< batch_state::jobsOver() when the entries were last woken
    absl::Time m_nextPlanAt = absl::InfiniteFuture();
    absl::Time m_planAllowedAt = absl::InfinitePast(); ///< a pause after the last plan is over

    bool m_readingHeartbeats = false;
    bool m_readOnFreshConnection = false;
    std::uint64_t m_heartbeatPosition = 0;
    absl::Time m_nextHeartbeatReadAt = absl::InfinitePast();
    /// Last read that reached the newest heartbeat.
    absl::Time m_heartbeatsReadAt = absl::InfinitePast();
    heartbeat_ages m_heartbeatAges;
    heartbeat_order m_heartbeatOrder;
    std::map<process_id, agent_watch> m_watches;
    /// Every entry keeps the evictions, because otherwise the wait for the end of the last lease
    /// would start again with each new decider.
    std::map<process_id, known_eviction> m_evictions;
};

} // namespace hyssoppond::batch
