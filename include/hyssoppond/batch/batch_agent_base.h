/// @file The agent's part of batch jobs: carries the journal's orders out on its worker.
#pragma once

#include "hyssoppond/batch/batch_record_type.h"
#include "hyssoppond/batch/item_worker_port.h"
#include "hyssoppond/batch/log_follower_base.h"
#include "hyssoppond/batch/log_writer_base.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace hyssoppond::batch {

struct batch_agent_options
{
    process_id agent;
    incarnation_number incarnation = 0;
    std::string journalTopic = JournalTopic;
    std::string heartbeatTopic = HeartbeatTopic;
    std::string wakeAddress;             ///< HOST:PORT at which onWake is called; empty: none
    std::int64_t longestLeaseMs = 6'000; ///< of the worker
    absl::Duration gangTimeout = absl::Seconds(3); ///< a member waits so long for the others
};

/// State machine without I/O. It keeps no state that a restart needs: orders come from the
/// journal and runs from the worker's own list.
class batch_agent
{
public:
    batch_agent(batch_agent_options options, store_port *store, item_worker_port *worker,
                loop_hooks hooks);

    /// A heartbeat of the worker.
    void onHeartbeat(const worker_description &worker);
    /// The worker says that it ends.
    void onWorkerLeft(const std::string &worker);

    /// The decider has recorded orders for this agent.
    void onWake() { m_follower.wake(); }

    void tick();
    absl::Time nextDeadline() const;

    /// Extends the lease as far as allowed before the process ends.
    void prepareStop();

    /// For logs: one line per decision, with name, item and detail.
    std::function<void(const char *decision, const std::string &item, const std::string &detail)>
        onDecision;

    std::size_t runs() const { return m_runs.size(); }
    /// Addresses at which entries take messages.
    std::vector<std::string> entryAddresses() const;

private:
    enum class phase : std::uint8_t {
        Ordered,  ///< not sent to the worker, or not known to be there
        Starting, ///< a start is in flight
        Running,
        Reported, ///< its end is queued for the journal
    };

    struct local_run
    {
        std::string payload;
        std::string checkpoint;
        absl::Time receivedAt;                         ///< when the order was read
        absl::Time startedAt = absl::InfiniteFuture(); ///< when the worker said that it runs
        bool stale = false;        ///< the order may be much older than `receivedAt`
        unix_ms workerStartMs = 0; ///< life of the worker that the order is for
        bool gang = false;
        bool unwanted = false; ///< to be stopped
        bool stopSent = false;
        absl::Time stopAt = absl::InfinitePast(); ///< next try, after a stop that failed
        bool uncertain = false;                   ///< a start got no answer
        phase state = phase::Ordered;
        int percent = 0;
        absl::Time progressAt;
        std::uint32_t sends = 0;
    };

    /// Orders for earlier lives of the worker are void.
    void dropEarlierLives();
    bool isCurrent(const local_run &run) const;
    void decided(const char *decision, const std::string &item, const std::string &detail) const;

    // Journal.
    void onLoaded(const std::vector<stored_record> &records);
    void onRecords(const std::vector<stored_record> &records);
    void applyRecord(const stored_record &stored, bool stale);
    void onOrdered(const run_ordered &ordered, bool stale);
    void endLocally(const item_run &run);
    void markUnwanted(const job_id &job);
    void recordSession();
    void announce();
    void sendHeartbeat();
    /// The worker has restarted: nothing is ordered there until its lists were read.
    void beginLife();

    // Runs.
    void startDue();
    void start(const item_run &id);
    void onStarted(const item_run &id, std::uint64_t token, const order_answer &answer);
    void stopDue();
    void stop(const item_run &id);
    void report(std::vector<run_ended> ends, std::uint64_t acknowledge);
    run_ended endOf(const item_run &id, run_end how, const std::string &checkpoint) const;
    void reportNotStarted(const item_run &id, const char *why);

    // Lease and lists.
    bool wantsPoll() const;
    void poll();
    void onPoll(const poll_answer &answer, std::uint64_t sent, std::uint64_t life,
                absl::Time sentAt);
    void noteClock(const std::optional<std::int64_t> &clockMs);
    std::optional<std::int64_t> leaseUntilMs() const;
    std::uint64_t token() const;
    void supersedeOrders();
    item_run ownRun(const item_run &listed) const;

    batch_agent_options m_options;
    store_port *m_store;
    item_worker_port *m_worker;
    loop_hooks m_hooks;
    log_follower m_follower;
    log_writer m_writer;

    std::optional<worker_description> m_description;
    bool m_announceDue = false;
    bool m_announcing = false;
    bool m_announced = false;                 ///< for this life of the worker
    std::optional<std::uint64_t> m_sessionAt; ///< offset of the record of this process
    std::uint64_t m_tokenStep = 0;
    bool m_evicted = false;
    absl::Time m_heartbeatAt = absl::InfinitePast();
    std::uint64_t m_heartbeats = 0;

    std::map<item_run, local_run> m_runs;
    std::set<item_run> m_ended;  ///< with a record in the journal
    std::set<item_run> m_voided; ///< ordered for an earlier life of the worker
    std::set<job_id> m_overJobs;
    std::map<process_id, std::string> m_entryAddresses;
    std::set<std::pair<unit_id, std::uint32_t>> m_stoppingRuns;

    bool m_synced = false; ///< the worker runs nothing that is not known, in its present life
    bool m_polling = false;
    bool m_pollFresh = false;
    absl::Time m_pollAt = absl::InfinitePast();
    absl::Time m_lastPollAt = absl::InfinitePast();
    std::uint64_t m_acknowledged = 0;               ///< ends up to this number are in the journal
    std::uint64_t m_acknowledgedSent = 0;           ///< and the worker was told so
    absl::Time m_lifeSeenAt = absl::InfinitePast(); ///< last answer that named the life
    std::uint64_t m_life = 0; ///< counts the lives of the worker that were seen
    std::uint32_t m_reporting = 0;
    std::optional<std::int64_t> m_clockMs;
    absl::Time m_clockReadAt;
};

} // namespace hyssoppond::batch
