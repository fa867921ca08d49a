/// @file The agent of batch jobs: carries out the journal's orders on its worker.
#pragma once

#include "hyssoppond/batch/batch_record_type.h"
#include "hyssoppond/batch/granted_leases_base.h"
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
    std::string wakeAddress;             ///< HOST:PORT that takes wake-up messages; empty: none
    std::int64_t longestLeaseMs = 6'000; ///< longest lease of the worker
    absl::Duration gangTimeout = absl::Seconds(3); ///< how long a member waits for the others
};

/// State machine without I/O. It keeps no state that a restart needs: orders come from the
/// journal and runs from the worker's own list.
class batch_agent
{
public:
    batch_agent(batch_agent_options options, store_port *store, item_worker_port *worker,
                loop_hooks hooks);

    /// Handles a heartbeat of the worker. It may arrive after later ones.
    void onHeartbeat(const worker_heartbeat &heartbeat);
    /// Handles the notice of the worker that it is about to end. The worker ends after `done` was
    /// called, which is as soon as its runs have been stopped, or after a short time.
    void onWorkerLeft(const std::string &worker, std::function<void()> done = {});

    /// Reads the journal at once, as the decider has recorded orders for this agent.
    void onWake() { m_follower.wake(); }

    /// Does what is due.
    void tick();
    /// When tick has to be called next.
    absl::Time nextDeadline() const;

    /// Records that the process ends, extends the lease as far as allowed and reads the ends that
    /// the worker lists.
    void prepareStop();
    /// True once the process may end after prepareStop(): the records that it has to leave are
    /// stored, or they take too long.
    bool isReadyToStop() const;

    /// Called once per decision, for the log. `item` names the run, worker, agent or record that it
    /// concerns, if any. The text `decision` is also the name of a metric and therefore stays.
    std::function<void(const char *decision, const std::string &item, const std::string &detail)>
        onDecision;

    /// Called once when a later process of this agent has taken over, or may have. This process
    /// does nothing any more and should be ended.
    std::function<void()> onSuperseded;
    bool isSuperseded() const { return m_superseded; }

    std::size_t runs() const { return m_runs.size(); }
    /// Addresses, as HOST:PORT, at which entries take messages.
    std::vector<std::string> entryAddresses() const;

private:
    enum class phase : std::uint8_t {
        Ordered,  ///< not sent to the worker, or not known to run there
        Starting, ///< the start is not answered yet
        Running,
        Reported, ///< its end is being written to the journal
    };

    struct local_run
    {
        std::string payload;
        std::string checkpoint;
        absl::Time receivedAt;                             ///< when the order was read
        absl::Time startedAt = absl::InfiniteFuture();     ///< when the worker confirmed the start
        absl::Time recordBegunAt = absl::InfiniteFuture(); ///< when its job is recorded as begun
        bool stale = false;            ///< the order may be much older than `receivedAt`
        unix_ms workerStartMs = 0;     ///< identifies the worker incarnation of the order
        std::uint64_t orderOffset = 0; ///< of the order in the journal
        bool gang = false;
        bool unwanted = false; ///< to be stopped
        bool stopSent = false;
        absl::Time stopRetryAt
            = absl::InfinitePast(); ///< earliest next try, after a stop that failed
        bool uncertain = false;     ///< a start may have been carried out or not
        phase state = phase::Ordered;
        int percent = 0;       ///< progress that the worker lists
        absl::Time progressAt; ///< of the start or the last progress
        std::uint32_t startAttempts = 0;
        std::uint32_t progressLooks = 0;   ///< lists of the worker that showed progress
        std::uint32_t progressReports = 0; ///< heartbeats that gave its expected time
        std::int64_t reportedMs = 0;       ///< expected time in the last of them
    };

    /// Drops the orders for other incarnations of the worker. They are void once the present one
    /// has answered, as it has taken the place of those.
    void dropOrdersOfOtherIncarnations();
    bool isCurrent(const local_run &run) const;
    void logDecision(const char *decision, const std::string &item,
                     const std::string &detail) const;

    // Journal
    void onLoaded(const std::vector<stored_record> &records);
    void onRecords(const std::vector<stored_record> &records);
    void applyRecord(const stored_record &stored, bool stale);
    void onOrdered(const run_ordered &ordered, std::uint64_t offset, bool stale);
    void onOwnAnnouncement(const agent_announced &announced, std::uint64_t offset);
    /// Remembers the newest announcement of this agent that was written or read.
    void noteAnnouncement(const agent_announced &announced, std::uint64_t offset);
    void markEnded(const item_run &run);
    /// Forgets the unread ends that were handed over since.
    void pruneUnreadEnds();
    void markUnwanted(const job_id &job);
    /// Records the jobs that have begun with a start on this worker, unless others did so.
    void recordBegunJobs();
    /// Jobs whose record is due. Sets when those of new runs are due.
    std::set<job_id> dueBegunJobs();
    void appendBegunJobs(const std::set<job_id> &jobs);
    void noteBegun(const job_id &job);
    /// Whether the store has not answered the last heartbeats in time, so that other appends of
    /// less use would only be more load on it.
    bool isStoreSlow() const;
    /// Epoch for a process that starts now.
    std::uint64_t clockEpoch() const;
    /// Records that this process is the agent now. From then on the store refuses what earlier
    /// processes of the agent sent.
    void recordSession();
    void retrySession(const char *why);
    /// Looks for the record of this session, and of a later one, in what was read of the journal.
    void checkSession();
    /// Whether the present incarnation of the worker has described itself. Until then the agent
    /// announces none, as the new one may be of another kind.
    bool isDescribed() const;
    /// Gives up all activity in favour of a later process of this agent.
    void retire(const char *why);
    void announce();
    void sendHeartbeat();
    /// Expected times of runs that the next heartbeat is to give.
    std::vector<run_progress> takeProgress();
    /// Lets the runs of a lost heartbeat be reported again.
    void returnProgress(const std::vector<run_progress> &lost);
    /// Sends the next heartbeat as soon as it may be, as leases depend on the last stored one.
    void hastenHeartbeat();
    absl::Duration nextHeartbeatInterval() const;
    /// Handles a new incarnation of the worker: nothing is ordered until its lists of runs were
    /// read.
    void beginWorkerIncarnation();
    /// Ends the wait for a leaving or silent worker when it runs nothing more or its last lease is
    /// over.
    void checkWorker();
    /// Whether the worker has not answered for so long that a lease from then would be over.
    bool isSilent() const;
    void answerNotices();
    /// Announces that the worker is gone and that its runs are lost.
    void endWorker();

    // Runs
    /// Runs whose start can be sent now, as far as they themselves are concerned.
    std::vector<item_run> dueStarts() const;
    void startDue();
    void start(const item_run &id);
    /// Asks the worker for its incarnation, for starts that are due.
    void confirmIncarnation();
    void onConfirmed(const poll_answer &answer, std::uint64_t sentToken,
                     std::uint64_t workerIncarnation, absl::Time sentAt);
    void onStarted(const item_run &id, std::uint64_t sentToken, std::uint64_t workerIncarnation,
                   const order_answer &answer);
    void stopDue();
    void stop(const item_run &id);
    void report(std::vector<run_ended> ends, std::uint64_t lastEnd);
    run_ended endOf(const item_run &id, run_end how, const std::string &checkpoint) const;
    void reportNotStarted(const item_run &id, const char *why);

    // Lease and lists of runs
    /// Whether the lease has to be extended or the lists of runs have to be read.
    bool wantsPoll() const;
    void poll();
    /// Sends a poll. An answer that does not name its worker incarnation counts as none.
    void sendPoll(poll_request request, std::function<void(const poll_answer &)> done);
    /// Asks the worker whether it is the incarnation of m_candidate.
    void probe();
    /// Takes the worker for the incarnation that answered a poll, which began at `workerStartMs`.
    void onRestartSeen(unix_ms workerStartMs);
    /// Uses the heartbeat of m_candidate if the worker is known to be that incarnation by now.
    void useCandidateIfPresent();
    void onProbe(const worker_heartbeat &heartbeat, const poll_answer &answer);
    void onPoll(const poll_answer &answer, std::uint64_t sentToken, std::uint64_t workerIncarnation,
                absl::Time sentAt);
    /// Takes the worker's incarnation from an answer to a poll that it has carried out. False if it
    /// is another one than the agent took it for; then nothing else of the answer counts.
    bool checkIncarnation(const poll_answer &answer, std::uint64_t sentToken, absl::Time sentAt);
    /// Takes the clock from an answer to an order for `workerIncarnation`. That of another
    /// incarnation tells nothing about the present one.
    void updateWorkerClock(const std::optional<std::int64_t> &clockMs, order_outcome outcome,
                           std::uint64_t workerIncarnation);
    /// Longest lease that an order may carry now, in ms on the worker's clock; 0 or less if it may
    /// carry none.
    std::int64_t longestLeaseMs(granted_leases::effect kind) const;
    /// What the worker's clock shows at least. It must have been read before.
    std::int64_t workerClockMs() const;
    /// Notes that an order grants a lease until `leaseEndMs` on the worker's clock.
    void noteGrant(std::int64_t leaseEndMs);
    /// When no order that got no answer can keep a run alive any more.
    absl::Time lateLeaseOverAt() const;
    void updateLeaseProof();
    /// Lease that was granted and the age of the evidence for it, for the log.
    std::string describeLease() const;
    /// Fencing token of the next order.
    std::uint64_t currentToken() const;
    /// Raises the fencing token, so that the worker rejects all orders that were sent before once a
    /// call with the new token has reached it.
    void supersedeOrders();
    /// Raises the fencing token if an order with the present one got no answer, as the worker may
    /// still carry it out.
    void supersedeIfUnanswered(order_outcome outcome, std::uint64_t sentToken, bool extendsLease);
    /// The run that the worker lists, with the unit by which the journal names it.
    item_run resolveListedRun(const item_run &listed) const;

    batch_agent_options m_options;
    store_port *m_store;
    item_worker_port *m_worker;
    loop_hooks m_hooks;
    absl::Time m_startedAt;
    absl::Time m_stopBy = absl::InfiniteFuture(); ///< latest end of a process that is to end
    bool m_endingRecorded = false;
    std::optional<absl::Time> m_lastPollSentAt; ///< poll whose answer is awaited before the end
    log_follower m_follower;
    log_writer m_writer;

    std::optional<worker_description> m_description;
    /// Another incarnation that a report named. The report may be delayed or of another writer, so
    /// it replaces m_description only when the worker itself has answered under that name.
    std::optional<worker_heartbeat> m_candidate;
    /// Newest one that was used. It outlives m_description, as an older one may still arrive.
    std::optional<worker_heartbeat> m_newestHeartbeat;
    bool m_probedLast = false; ///< the last poll was a probe without an answer
    bool m_leaving = false;    ///< the worker has given notice that it ends
    std::vector<std::function<void()>> m_noticeAnswers;
    unsigned m_refusedPolls = 0; ///< last polls in a row to whose address nobody listened
    absl::Time m_noticeAnswerAt; ///< latest time for the answers to the notices
    absl::Time m_leaseOverAt;    ///< no lease that this agent granted lasts longer
    bool m_announceDue = false;
    bool m_announcing = false;
    bool m_announced = false;            ///< for the present incarnation of the worker
    std::uint64_t m_announcedOffset = 0; ///< of the first record that made m_announced true
    std::optional<std::uint64_t> m_sessionOffset; ///< offset of the newest record of this process
    bool m_sessionConfirmed = false;              ///< the journal was read up to that record
    bool m_recordingSession = false;
    absl::Time m_sessionRetryAt = absl::InfinitePast();
    std::uint32_t m_epochRaises = 0;
    std::optional<process_started> m_newestSession; ///< newest one of this agent that was read
    std::uint64_t m_newestSessionOffset = 0;
    bool m_superseded = false;
    std::uint64_t m_tokenStep = 0;
    bool m_evicted = false;
    std::set<std::string> m_evacuatedZones;
    absl::Time m_heartbeatAt = absl::InfinitePast();
    absl::Time m_heartbeatSentAt = absl::InfinitePast();
    std::uint64_t m_heartbeats = 0;
    std::uint32_t m_unansweredHeartbeats = 0; ///< since the last one that was stored

    bool m_applyingLoad = false;
    std::map<item_run, local_run> m_runs;
    std::set<item_run> m_endedRuns; ///< with a record of their end in the journal
    /// Offsets of the ends that this process recorded and has not read yet. A load that began
    /// earlier lacks them.
    std::map<item_run, std::uint64_t> m_unreadEnds;
    std::set<item_run> m_voidedRuns; ///< ordered for an earlier incarnation of the worker
    /// Start time of the worker in the agent's latest announcement that was read from the journal;
    /// 0 if it said that there is no worker.
    std::optional<unix_ms> m_announcedStartMs;
    /// The agent's newest announcement in the journal, with its first offset in presentSince.
    std::optional<agent_announced> m_newestAnnouncement;
    std::uint64_t m_newestAnnouncementOffset = 0;
    std::set<job_id> m_endedJobs; ///< cancelled or failed
    /// Jobs that are known to have begun, the newest ones that were noted, and in that order.
    std::set<job_id> m_begunJobs;
    std::deque<job_id> m_begunJobsInOrder;
    std::uint64_t m_begunAppends = 0;
    std::uint32_t m_failedBegunAppends = 0; ///< in a row
    bool m_recordingBegun = false;
    std::map<process_id, std::string> m_entryAddresses;
    std::set<std::pair<unit_id, std::uint32_t>> m_stoppingRuns;

    bool m_synced = false; ///< all that the present worker incarnation runs is known
    bool m_polling = false;
    bool m_pollOnFreshConnection = false;
    absl::Time m_pollAt = absl::InfinitePast();
    absl::Time m_lastPollAt = absl::InfinitePast();
    std::uint64_t m_handledEnd = 0;      ///< ends up to this number need no further record
    std::uint64_t m_acknowledgedEnd = 0; ///< ends up to this number may be forgotten there
    absl::Time m_incarnationConfirmedAt = absl::InfinitePast(); ///< last answer to a poll
    /// When the newest poll was sent that the present incarnation has answered under its own start.
    absl::Time m_incarnationKnownAsOf = absl::InfinitePast();
    bool m_confirmDue = false; ///< a start waits for the incarnation to be known
    absl::Time m_confirmAt = absl::InfinitePast();       ///< earliest next question for it
    absl::Time m_confirmBefore = absl::InfiniteFuture(); ///< latest end of that wait
    /// When the worker counts as silent unless it answers until then.
    absl::Time m_silentAt = absl::InfiniteFuture();
    std::uint64_t m_workerIncarnation = 0; ///< counts the worker incarnations seen
    std::uint32_t m_reportsInFlight = 0;
    std::int64_t m_grantedUntilMs = 0; ///< end of the longest lease sent, on the worker's clock
    /// Start of the last journal read on which a lease may rest; at first that of the first load,
    /// as an earlier process may have granted leases.
    absl::Time m_leaseProofAsOf = absl::InfinitePast();
    /// Until when the worker may carry out an order that got no answer and is not superseded yet.
    absl::Time m_lateOrderUntil = absl::InfinitePast();
    absl::Time m_heartbeatStoredAt = absl::InfinitePast(); ///< when the newest stored one was sent
    /// Offset of the heartbeat that was answered last, and when.
    std::uint64_t m_storedHeartbeat = NoHeartbeatStored;
    absl::Time m_heartbeatAnsweredAt = absl::InfinitePast();
    std::uint64_t m_startsSent = 0;
    bool m_renewalDue = true; ///< the next poll extends the lease and does not wait
    granted_leases m_grants;
    std::optional<std::int64_t> m_workerClockMs;
    absl::Time m_workerClockReadAt;
};

} // namespace hyssoppond::batch
