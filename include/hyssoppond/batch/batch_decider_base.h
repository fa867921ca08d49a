/// @file The entry's part of deciding: elects one decider and records its decisions.
#pragma once

#include "hyssoppond/batch/batch_scheduler_base.h"
#include "hyssoppond/batch/log_follower_base.h"
#include "hyssoppond/batch/log_writer_base.h"

#include <map>
#include <memory>
#include <string>

namespace hyssoppond::batch {

struct decider_options
{
    process_id entry;
    std::string journalTopic = JournalTopic;
    std::string heartbeatTopic = HeartbeatTopic;
    std::string group = "decider";
    std::string producer = "decider";
    scheduler_options scheduler;
};

/// State machine without I/O. One entry at a time decides: the one that holds partition 0 of the
/// journal in the group. That is a hint only; what makes it safe is the epoch of the producer,
/// by which the store refuses the appends of earlier deciders.
class batch_decider
{
public:
    batch_decider(decider_options options, store_port *store, loop_hooks hooks,
                  const batch_state *state, const log_follower *journal);

    /// The configuration in force; kept by the caller.
    void setConfig(const site_config *config) { m_config = config; }
    /// A run's member ended, seen in the journal.
    void onMemberEnded(const ended_member &ended);
    /// An eviction or the end of one was read from the journal, also while another entry decides.
    void onEviction(const agent_evicted &record);
    /// The journal is about to be read from its newest records again.
    void onReloading()
    {
        m_evictedBy.clear();
        m_scheduler.forgetRunTimes();
    }
    /// The journal was read from its newest records again.
    void onReloaded() { m_planDue = true; }
    /// Records were applied to the state.
    void onRecords() { m_planDue = true; }

    /// Sends a wake-up message to HOST:PORT; best effort.
    std::function<void(const std::string &address, const std::string &message)> sendWake;

    void tick();
    absl::Time nextDeadline() const;
    /// Gives the right to decide back before the process ends.
    void leave();
    bool isDeciding() const { return m_phase == phase::Deciding; }

    std::function<void(const char *decision, const std::string &item, const std::string &detail)>
        onDecision;

private:
    enum class phase : std::uint8_t {
        Standby,
        Granting,   ///< the grant is on its way to the journal
        CatchingUp, ///< records before the grant are still to be read
        Deciding,
    };

    struct agent_watch
    {
        absl::Time heartbeatAt; ///< last beat, or the time from which its silence counts
        absl::Time heardAt = absl::InfinitePast(); ///< last beat that was sent a moment before
        bool evictionQueued = false;
    };

    void decided(const char *decision, const std::string &item, const std::string &detail) const;
    void join();
    void onJoined(const join_answer &answer);
    void takeGrant();
    void stepDown(const char *why);
    void startDeciding();
    void readHeartbeats();
    void onHeartbeats(const read_answer &answer);
    void watchAgents();
    void declareRunsLost(const process_id &agent);
    plan_input planInput() const;
    void plan();
    void record(const std::vector<plan_decision> &decisions);
    /// Agents that have to act on `decision`.
    void collectAddressees(const batch_record &decision, std::set<process_id> *agents) const;
    void wakeProcess(const process_id &process) const;
    void wakeEntries();
    void logDecision(const batch_record &decision, const std::string &why) const;

    decider_options m_options;
    store_port *m_store;
    loop_hooks m_hooks;
    const batch_state *m_state;
    const log_follower *m_journal;
    const site_config *m_config = nullptr;
    batch_scheduler m_scheduler;

    phase m_phase = phase::Standby;
    bool m_leaving = false;
    bool m_joining = false;
    bool m_joinFresh = false;
    std::uint64_t m_generation = 0;
    absl::Time m_joinAt = absl::InfinitePast();
    epoch_number m_epoch = 0;
    std::uint64_t m_grantOffset = 0;
    std::unique_ptr<log_writer> m_writer;
    std::vector<std::unique_ptr<log_writer>> m_retired; ///< until their last call is answered
    bool m_recording = false;
    std::uint64_t m_recordedTo = 0; ///< offset after the newest own record
    bool m_planDue = false;
    std::uint64_t m_jobsOver = 0; ///< when the entries were woken last
    absl::Time m_planAt = absl::InfiniteFuture();

    bool m_readingHeartbeats = false;
    bool m_heartbeatsFresh = false;
    std::uint64_t m_heartbeatPosition = 0;
    absl::Time m_heartbeatsAt = absl::InfinitePast();
    absl::Time m_heartbeatsReadAt = absl::InfinitePast(); ///< last read up to the newest beat
    std::map<process_id, agent_watch> m_watches;
    /// When the eviction of an agent was read, which is after it was recorded. Kept by every entry,
    /// as the wait for the last lease would begin anew with each decider otherwise.
    std::map<process_id, absl::Time> m_evictedBy;
};

} // namespace hyssoppond::batch
