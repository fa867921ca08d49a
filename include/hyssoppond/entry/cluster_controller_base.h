/// @file Jobs, placement and gangs of one entry: the journal, the scheduler and the coordinator.
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
    /// After the start: time to learn the members before a holder that is not known counts as dead.
    absl::Duration joinTime = absl::Seconds(5);
    absl::Duration proposalTimeout = absl::Seconds(5);
    /// In an outage: time to place an urgent job before it is refused. Within the 7.5 s to start.
    absl::Duration outageStart = absl::Seconds(7);
};

/// Effects of a cluster_controller. All run under the caller's serialisation.
struct cluster_hooks
{
    std::function<void(const process_id &to, const gang_message &)> send;
    /// A configuration change was accepted in the journal; `here`: by this entry.
    std::function<void(const journal::config_item &, bool here)> onConfigAccepted;
    std::function<void(disposition, reason)> count;
    /// Runs completions of the log under the caller's serialisation.
    std::function<void(std::function<void()>)> post;
};

/// A job as callers see it.
struct job_view
{
    journal::job_entry entry;
    std::string waitingFor; ///< why a queued job waits
};

using job_reply = std::function<void(result<job_view>)>;

/// State machine without I/O or lock; the calling code serialises access.
class cluster_controller
{
public:
    cluster_controller(cluster_settings settings, environment env, log_port *log,
                       cluster_hooks hooks);
    ~cluster_controller();
    cluster_controller(const cluster_controller &) = delete;
    cluster_controller &operator=(const cluster_controller &) = delete;

    /// Accepts a job, or returns the one that the same request gave before. `isRetry`: an earlier
    /// submission with this id had an unknown outcome, so a refusal here proves nothing about it.
    void submit(job_spec spec, bool isRetry, absl::Time deadline, job_reply reply);
    /// Records a command of a caller or operator.
    void command(const job_id &job, journal::command_kind kind, const request_id &request,
                 absl::Time deadline, job_reply reply);
    /// Job as this entry knows it now; another entry may know of newer ones.
    result<job_view> view(const job_id &job) const;
    /// As view(), but answers UnknownJob only after a read of the journal that began later.
    void lookUp(const job_id &job, job_reply reply);
    std::vector<job_view> list(const team_id &team, bool endedToo, std::size_t limit) const;
    /// Replies when the job has ended or at the deadline.
    void wait(const job_id &job, absl::Time deadline, job_reply reply);
    /// Publishes a change; replies with its version.
    void publish(journal::config_changed change, bool anyVersion, absl::Time deadline,
                 std::function<void(result<journal_offset>)> reply);
    /// Binds a request id to an agent, or returns the first binding. `until`: deadline of the call.
    void bindRequest(const team_id &team, const request_id &request, const process_id &agent,
                     incarnation_number incarnation, absl::Time until, absl::Time deadline,
                     std::function<void(result<journal::binding_entry>)> reply);

    void receiveGang(const process_id &from, const gang_message &what);
    /// Takes what membership reports about another process.
    void setMember(const member_view &member);
    /// Takes a configuration item that is in force here.
    void applyConfig(const journal::config_item &item);
    /// This process was paused and may not decide until it is current again.
    void setStale(bool stale) { m_stale = stale; }
    /// Stops deciding and gives up the grant; replies to nothing new.
    void leave();

    void tick();
    absl::Time nextDeadline() const;

    /// Configuration in force here, by key; removed keys have an empty value.
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
    /// Job that was accepted under the outage right and is not in the journal yet.
    struct outage_job
    {
        job_spec spec;
        epoch_number epoch = 0;
        std::vector<gang_member> members;
        contract_id contract;
        absl::Time refuseAt; ///< unless its members have been placed by then
        bool started = false;
        bool recording = false; ///< its record is on the way to the journal
        /// Set when the gang ended before the journal had the job.
        std::optional<std::pair<attempt_outcome, double>> ended;
        std::vector<job_reply> replies;
    };

    /// Submission whose outcome is not known; the holder of the outage right may start the job.
    struct unsettled_submission
    {
        job_spec spec;
        job_reply reply;
    };

    // Following the journal, cluster_follow.cpp.
    void onRecord(journal_offset offset, const journal::journal_record &record,
                  const journal::verdict &decision);
    void onRestored();
    void follow(const journal::job_submitted &body);
    void follow(const journal::job_command &body);
    void follow(const journal::job_placed &body);
    void follow(const journal::outage_placed &body);
    void follow(const journal::gang_started &body);
    void follow(const journal::attempt_ended &body);
    void follow(const journal::decider_grant &body);
    void follow(const journal::endpoint_announced &body);
    void follow(const journal::endpoint_removed &body);
    template<class other>
    void follow(const other &)
    { }
    void replay(const journal::job_entry &job);
    void expect(const result<void> &outcome);
    void replyWaiters(const job_id &job);
    void answerLookUps();
    void dropForgotten();
    void applyToScheduler(const journal::config_item &item);
    void applyDrains();

    // Leading placement, cluster_decide.cpp.
    void tickDecider();
    void claimGrant();
    bool isNextHolder() const;
    void announceMembers();
    void decideNow();
    void propose(const place_decision &what);
    void carryOut(const preempt_decision &what);
    void startGang(const job_id &job, attempt_number attempt);
    void takeOverGangs();
    void stopLeading();
    void stopFor(const journal::job_entry &job);
    gang_coordinator_hooks coordinatorHooks();
    void onGangStarted(const job_id &job, attempt_number attempt);
    void onGangEnded(const job_id &job, attempt_number attempt, attempt_outcome outcome,
                     double runSeconds);
    void record(journal::record_body body);
    void sendOwed();
    epoch_number epoch() const;

    // Outages of the log, cluster_outage.cpp.
    bool logIsDown() const;
    bool holdsOutageLease() const;
    void submitInOutage(const job_spec &spec, job_reply reply);
    void startInOutage(const place_decision &what);
    void endInOutage(const job_id &job, attempt_outcome outcome, double runSeconds);
    void recordOutageJobs();
    void expireOutageJobs();
    void abandonOutageJobs();
    void adoptInOutage(const place_decision &what);
    void convertUnsettled();
    void settleOutageJob(const job_id &id);
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
    /// Question about a job that this entry does not know yet.
    struct look_up
    {
        job_id job;
        absl::Time askedAt;
        job_reply reply;
    };
    std::vector<look_up> m_lookUps;
    std::multimap<job_id, waiter> m_waiters;
    std::set<std::pair<absl::Time, job_id>> m_waiterDeadlines;
    std::set<job_id> m_ended;      ///< jobs that the scheduler forgets when the journal has
    std::set<worker_id> m_drained; ///< workers set to Draining by configuration or departure
    std::map<job_id, place_decision> m_proposed; ///< placements that the journal has not settled
    std::set<std::pair<process_id, incarnation_number>> m_announcing;
    std::map<job_id, outage_job> m_outageJobs;
    /// Submissions of urgent jobs that the journal has not settled, by number.
    std::map<std::uint64_t, unsettled_submission> m_unsettled;
    std::uint64_t m_nextUnsettled = 0;
    std::map<job_id, worker_id> m_refusedStarts; ///< worker that refused a member
    std::set<job_id> m_discovered; ///< gangs of an earlier holder that are being recorded
    absl::Time m_discoverUntil = absl::InfinitePast();
    absl::Time m_nextDiscoverAt = absl::InfinitePast();
    /// Records that must reach the journal, kept while it is down.
    std::deque<journal::record_body> m_owed;
    std::size_t m_owedOpen = 0;
    absl::Time m_startedAt;
    absl::Time m_nextDecideAt;
    absl::Time m_nextGrantAt;
    bool m_leading = false; ///< the grant in force names this process, and gangs are taken over
    bool m_stale = false;
    bool m_leaving = false;
};

} // namespace hyssoppond
