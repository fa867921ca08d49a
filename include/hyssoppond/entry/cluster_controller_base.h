/// @file Job control of one entry: connects the journal, the scheduler and the gang coordinator.
#pragma once

#include "hyssoppond/base/counters_base.h"
#include "hyssoppond/gang/gang_coordinator_base.h"
#include "hyssoppond/journal/config_store_base.h"
#include "hyssoppond/journal/journal_client_base.h"
#include "hyssoppond/membership/member_type.h"
#include "hyssoppond/policy/scheduler_base.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoppond {

/// Settings of a cluster_controller.
struct cluster_settings
{
    process_id self;
    incarnation_number incarnation = 0;
    journal::domain_id domain;
    gang_options gang;
    journal::journal_options journal;
    absl::Duration maxClockSkew = absl::Milliseconds(250);
    absl::Duration decideInterval = absl::Milliseconds(100);
    absl::Duration outageLease = absl::Minutes(30);
    absl::Duration renewOutageLeaseEvery = absl::Minutes(1);
    /// Time after the start for learning the members. Only after it does a grant holder that is
    /// not among the members count as dead.
    absl::Duration joinTime = absl::Seconds(5);
    /// Timeout of appending a grant or a placement to the journal.
    absl::Duration proposalTimeout = absl::Seconds(5);
    /// Time to place an urgent job while the log is down; the job is refused after it. It is below
    /// the 7.5 s within which urgent work must start.
    absl::Duration outageStartTimeout = absl::Seconds(7);
};

/// Callbacks of a cluster_controller. The controller calls them from within its own functions, so
/// the serialisation of the calling code covers them.
struct cluster_hooks
{
    std::function<void(const process_id &to, const gang_message &)> send;
    /// Called when the journal has accepted a configuration change. `isLocal`: this entry has
    /// published the change.
    std::function<void(const journal::config_item &, bool isLocal)> onConfigAccepted;
    std::function<void(disposition, reason)> count;
    /// Runs a completion of the log under the serialisation of the controller's caller.
    std::function<void(std::function<void()>)> post;
};

/// Job as it is reported to callers.
struct job_view
{
    journal::job_entry entry;
    std::string waitingFor; ///< reason why a queued job waits, as text
};

using job_reply = std::function<void(result<job_view>)>;

/// Accepts jobs, commands and configuration, and places jobs while this entry is the decider. It is
/// a state machine without I/O or locks; the calling code serialises access.
class cluster_controller
{
public:
    cluster_controller(cluster_settings settings, environment env, log_port *log,
                       cluster_hooks hooks);
    ~cluster_controller();
    cluster_controller(const cluster_controller &) = delete;
    cluster_controller &operator=(const cluster_controller &) = delete;

    /// Accepts a job, or replies with the job that an earlier submission of the same request
    /// created. `isRetry`: the outcome of an earlier submission with this id is unknown. A refusal
    /// of the repetition does not prove that the earlier one was refused, so the execution state of
    /// its error is Unknown, except for RequestIdReused.
    /// Errors: Leaving, LogUnavailable, InvalidArgument, BodyTooLarge and RequestIdReused, the
    /// errors of scheduler::submit() and journal_client::append(), and while the log is down
    /// NoOutageLease, QuotaExceeded and WorkerUnreachable.
    void submit(job_spec spec, bool isRetry, absl::Time deadline, job_reply reply);
    /// Appends a command of a caller or operator to the journal. Errors: UnknownJob,
    /// LogUnavailable, the reason why the journal rejects the command, and the errors of
    /// journal_client::append().
    void command(const job_id &job, journal::command_kind kind, const request_id &request,
                 absl::Time deadline, job_reply reply);
    /// Job in the state that this entry has read from the journal, or that it has accepted under
    /// the outage lease. Error: UnknownJob, also for a job that another entry has accepted and this
    /// one has not read yet.
    result<job_view> view(const job_id &job) const;
    /// Like view(), but replies UnknownJob only after a read of the journal that began after this
    /// call. While the log is down it replies at once.
    void lookUp(const job_id &job, job_reply reply);
    std::vector<job_view> list(const team_id &team, bool includeEnded, std::size_t limit) const;
    /// Replies when the job has ended or at the deadline, whichever comes first. Error: UnknownJob.
    void wait(const job_id &job, absl::Time deadline, job_reply reply);
    /// Publishes a configuration change and replies with its version. `anyVersion`: replaces
    /// whichever version is in force. Errors: InvalidArgument, the errors with which the scheduler
    /// refuses the team or contract, the reason why the journal rejects the change, and the errors
    /// of journal_client::append().
    void publish(journal::config_changed change, bool anyVersion, absl::Time deadline,
                 std::function<void(result<journal_offset>)> reply);
    /// Binds a request id to an agent, or replies with the first binding of the id. `until`: the
    /// deadline of the call, when the binding ends. `deadline`: of the append. Errors: Expired and
    /// the errors of journal_client::append().
    void bindRequest(const team_id &team, const request_id &request, const process_id &agent,
                     incarnation_number incarnation, absl::Time until, absl::Time deadline,
                     std::function<void(result<journal::binding_entry>)> reply);

    void receiveGang(const process_id &from, const gang_message &message);
    /// Takes over the state that membership reports about another process.
    void setMember(const member_view &member);
    /// Applies a configuration item that has come into force in this process.
    void applyConfig(const journal::config_item &item);
    /// `stale`: this process was paused, and does not decide until its view is current again.
    void setStale(bool stale) { m_stale = stale; }
    /// Stops deciding, releases the decider grant and refuses new submissions.
    void leave();

    void tick();
    absl::Time nextDeadline() const;

    /// Configuration in force in this process, by key; a removed key has an empty value.
    const std::map<std::string, journal::config_item> &config() const { return m_config; }
    bool isDecider() const;
    const journal::domain_entry *domain() const { return m_state.findDomain(m_settings.domain); }
    journal::catch_up_progress progress() const { return m_journal->progress(); }
    std::vector<guarantee_risk> guaranteesAtRisk() const;
    worker_condition conditionOf(const worker_id &worker) const;
    std::uint32_t acceleratorsInUse(const worker_id &worker) const;

private:
    struct waiter
    {
        job_id job;
        absl::Time deadline;
        job_reply reply;
    };
    /// Job that was accepted under the outage lease and is not in the journal yet.
    struct outage_job
    {
        job_spec spec;
        epoch_number epoch = 0;
        std::vector<gang_member> members;
        contract_id contract;
        absl::Time refuseAt; ///< when the job is refused if it is not placed
        bool started = false;
        bool recording = false; ///< its record is being appended to the journal
        /// Outcome and run time in seconds, if the gang ended before the journal had the job.
        std::optional<std::pair<attempt_outcome, double>> ended;
        std::vector<job_reply> replies;
    };

    /// Submission whose append has an unknown outcome. The holder of the outage lease may start the
    /// job when the log goes down.
    struct unsettled_submission
    {
        job_spec spec;
        job_reply reply;
    };

    // Applying the journal, cluster_apply.cpp.
    void onRecord(journal_offset offset, const journal::journal_record &record,
                  const journal::verdict &decision);
    void onRestored();
    void apply(const journal::job_submitted &body);
    void apply(const journal::job_command &body);
    void apply(const journal::job_placed &body);
    void apply(const journal::outage_placed &body);
    void apply(const journal::gang_started &body);
    void apply(const journal::attempt_ended &body);
    void apply(const journal::decider_grant &body);
    void apply(const journal::endpoint_announced &body);
    void apply(const journal::endpoint_removed &body);
    template<class other>
    void apply(const other &)
    { }
    void restoreJob(const journal::job_entry &job);
    void checkApplied(const result<void> &outcome);
    void replyWaiters(const job_id &job);
    void answerLookUps();
    void forgetEndedJobs();
    void applyToScheduler(const journal::config_item &item);
    void applyDrains();

    // Deciding on placements, cluster_decide.cpp.
    void tickDecider();
    void claimGrant();
    bool isNextDecider() const;
    void announceMembers();
    void decideNow();
    void propose(const place_decision &placeDecision);
    void preempt(const preempt_decision &preemptDecision);
    void startGang(const job_id &job, attempt_number attempt);
    void takeOverGangs();
    void stopLeading();
    void stopAsRequested(const journal::job_entry &job);
    gang_coordinator_hooks coordinatorHooks();
    void onGangStarted(const job_id &job, attempt_number attempt);
    void onGangEnded(const job_id &job, attempt_number attempt, attempt_outcome outcome,
                     double runSeconds);
    void record(journal::record_body body);
    void appendUnsentRecords();
    epoch_number epoch() const;

    // Outages of the log, cluster_outage.cpp.
    bool logIsDown() const;
    bool holdsOutageLease() const;
    void submitInOutage(const job_spec &spec, job_reply reply);
    void startInOutage(const place_decision &placeDecision);
    void endInOutage(const job_id &job, attempt_outcome outcome, double runSeconds);
    void recordOutageJobs();
    void expireOutageJobs();
    void abandonOutageJobs();
    void adoptInOutage(const place_decision &placeDecision);
    void resubmitUnsettled();
    void onOutageJobRecorded(const job_id &id);
    void refuseOutageJob(const job_id &id, const error &problem);
    void discoverGangs();
    void onGangDiscovered(const gang_placement &found);
    contract_id contractFor(const job_spec &spec) const;

    result<void> checkSpec(const job_spec &spec) const;

    cluster_settings m_settings;
    environment m_env;
    cluster_hooks m_hooks;
    journal::cluster_state m_state;
    std::unique_ptr<journal::journal_client> m_journal;
    std::unique_ptr<scheduler> m_scheduler;
    gang_coordinator m_coordinator;
    std::map<process_id, member_view> m_members;
    std::map<std::string, journal::config_item> m_config;
    /// Pending query for a job that this entry has not found in the journal yet.
    struct look_up
    {
        job_id job;
        absl::Time askedAt;
        job_reply reply;
    };
    std::vector<look_up> m_lookUps;
    std::multimap<job_id, waiter> m_waiters;
    std::set<std::pair<absl::Time, job_id>> m_waiterDeadlines;
    std::set<job_id> m_endedJobs;  ///< the scheduler forgets them after the journal has
    std::set<worker_id> m_drained; ///< workers that a drain key or a leaving agent drains
    std::map<job_id, place_decision> m_proposed; ///< placements not yet found in the journal
    /// Agents whose announcement or removal is being appended.
    std::set<std::pair<process_id, incarnation_number>> m_announcing;
    std::map<job_id, outage_job> m_outageJobs;
    /// Submissions of urgent jobs whose append has not completed, by number.
    std::map<std::uint64_t, unsettled_submission> m_unsettled;
    std::uint64_t m_lastUnsettledNumber = 0;
    std::map<job_id, worker_id> m_refusedStarts; ///< last worker that refused a member, by job
    std::set<job_id> m_discovered; ///< gangs of an earlier decider that are being recorded
    absl::Time m_discoverUntil = absl::InfinitePast();
    absl::Time m_nextDiscoverAt = absl::InfinitePast();
    /// Records that must reach the journal. They are kept while the log is down.
    std::deque<journal::record_body> m_unsentRecords;
    std::size_t m_recordsInFlight = 0;
    absl::Time m_startedAt;
    absl::Time m_nextDecideAt;
    absl::Time m_nextGrantAt;
    bool m_leading = false; ///< this process holds the grant and has taken over the gangs
    bool m_stale = false;
    bool m_leaving = false;
};

} // namespace hyssoppond
