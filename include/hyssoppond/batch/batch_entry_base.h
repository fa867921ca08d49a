/// @file The entry of batch jobs: answers calls from the journal and the configuration.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/batch/admission_rule_base.h"
#include "hyssoppond/batch/batch_decider_base.h"

#include <optional>
#include <set>
#include <string>

namespace hyssoppond::batch {

struct batch_entry_options
{
    process_id entry;
    incarnation_number incarnation = 0;
    std::string wakeAddress; ///< HOST:PORT that takes messages of peers; empty: none
    bool isReserve = false;  ///< see decider_options::isReserve
    std::string journalTopic = JournalTopic;
    std::string configTopic;
    /// How long the keys of the teams stay valid without a read that confirms the configuration.
    absl::Duration apiKeyValidity = absl::Seconds(5);
    /// Limit of reads of the store in flight for calls with unknown job ids. Each uses a connection
    /// to the store and some 100 KB; further calls wait and then share one read.
    std::size_t maxLookups = 32;
    scheduler_options scheduler;
    absl::Duration evacuateWithin = absl::InfiniteDuration(); ///< see decider_options
};

enum class call_kind : std::uint8_t { Submit, Status, Cancel, Pending };

/// Call of a client over HTTP.
struct job_call
{
    call_kind kind = call_kind::Status;
    std::string host;
    std::string path;
    std::string key;              ///< empty: none was sent
    std::optional<batch_job> job; ///< of a submission; the entry sets id, queue and team
    std::string problem;          ///< why `job` could not be read
    absl::Time deadline;          ///< until which the caller waits, on the steady clock
};

/// Kind of answer to a call.
enum class reply_kind : std::uint8_t {
    Accepted,
    Status,
    Pending,
    Cancelled,
    Malformed, ///< the call can never succeed
    Unauthorized,
    NoQueue,
    NoJob,
    Refused, ///< nothing was done; to be repeated after `retryAfter`
    Unknown, ///< it may have been done; the same call may be repeated
};

inline constexpr name_table<reply_kind, 10> ReplyKindNames {
    {"Accepted", "Status", "Pending", "Cancelled", "Malformed", "Unauthorized", "NoQueue", "NoJob",
     "Refused", "Unknown"}};

struct job_reply
{
    reply_kind kind = reply_kind::Refused;
    job_status status = job_status::Queued; ///< for Status
    std::size_t pending = 0;                ///< for Pending
    reason why = reason::None;
    std::string message;                              ///< for the other kinds
    absl::Duration retryAfter = absl::ZeroDuration(); ///< for Refused
};

/// State machine without I/O.
class batch_entry
{
public:
    using responder = std::function<void(job_reply)>;

    batch_entry(batch_entry_options options, store_port *store, loop_hooks hooks);

    /// Decodes the configuration in a record of the configuration topic, if it holds one.
    std::function<std::optional<site_config>(const stored_record &)> decodeConfig;
    /// Decodes a request to evacuate a zone in a record of the configuration topic, if it holds
    /// one.
    void setEvacuationDecoder(
        std::function<std::optional<zone_request>(const stored_record &)> decoder)
    {
        m_evacuations.decode = std::move(decoder);
    }
    /// Called once per decision, for the log, as in batch_agent. The text `decision` is also the
    /// name of a metric and therefore stays.
    std::function<void(const char *decision, const std::string &item, const std::string &detail)>
        onDecision;

    /// Sends a wake-up message to HOST:PORT; best effort.
    std::function<void(const std::string &address, const std::string &message)> sendWake;

    /// Reads the journal at once, as the decider has seen that a job has ended.
    void onWake() { m_journal.wake(); }
    /// Handles a message of a peer. Those of the relay have no effect here.
    void receive(const peer_message &message);

    /// The reply to a call that is refused without its job: it has no queue, no valid key or no
    /// valid id, or the configuration is not known.
    std::optional<job_reply> refusalOf(const job_call &call) const;
    /// Calls `answer` once, at once or when the store has answered.
    void handle(job_call call, const responder &answer);
    /// Whether new connections should come to this entry: it is not about to end, and has recently
    /// read the journal and the configuration.
    bool isReady() const;

    /// Does what is due.
    void tick();
    /// When tick has to be called next.
    absl::Time nextDeadline() const;
    /// Hands the role of the decider over, as the process is about to end.
    void leave();

    const batch_state &state() const { return m_state; }
    /// Offset of the next record of the journal; state() holds all earlier ones.
    std::uint64_t journalPosition() const { return m_journal.position(); }
    const site_config *config() const { return m_config ? &*m_config : nullptr; }
    /// Addresses, as HOST:PORT, at which the other entries take messages.
    std::vector<std::string> peerAddresses() const;
    bool isDeciding() const { return m_decider.isDeciding(); }

private:
    struct routed_call
    {
        const queue_policy *queue = nullptr;
        std::string id;
        team_id team;   ///< that a submission is for; empty if the queue is public
        team_id caller; ///< of the caller's key, also where none is needed; empty: no valid key
    };

    void logDecision(const char *decision, const std::string &item,
                     const std::string &detail) const;
    void applyConfig(const std::vector<stored_record> &records);
    void applyJournal(const std::vector<stored_record> &records);
    /// As refusalOf(), and finds the target of a call that is not refused.
    std::optional<job_reply> findTarget(const job_call &call, routed_call *target) const;
    /// Finds the queue and the team of a call. Errors: UnknownEndpoint, UnknownTeam.
    result<routed_call> route(const job_call &call) const;
    const batch_team *teamWithKey(const std::string &key) const;
    /// True if the caller may see and cancel `job`: it is of the caller's team, or of nobody.
    static bool mayAccess(const routed_call &target, const job_state &job);
    static bool isJobId(const std::string &text);
    static constexpr std::size_t JobIdDigits = 16;
    static job_reply replyFor(const error &problem);
    job_reply refusal(reason why, std::string message) const;
    /// The reply to a submission, or unsettledReply() in place of a refusal that would say that the
    /// job has not run while an earlier attempt of this entry may still be recorded.
    job_reply withUnsettledAttempts(call_kind kind, const std::string &path, job_reply reply) const;
    static job_reply unsettledReply();
    void submit(const routed_call &target, job_call call, const responder &respond);
    /// Refuses the job if it cannot be served any more; empty: it is to be recorded.
    std::optional<admission_refusal> admissionRefusal(const batch_job &job);
    /// Answers with the refusal, unless the journal shows or may show that the job is accepted.
    void refuseAdmission(batch_job job, admission_refusal refused, absl::Time callDeadline,
                         const responder &respond);
    static job_reply replyForKnown(const job_state &known, const team_id &team);
    void recordJob(batch_job job, absl::Time callDeadline, const responder &respond);
    void status(const routed_call &target, const job_call &call, const responder &respond);
    void cancel(const routed_call &target, const job_call &call, const responder &respond);
    /// Cancels a job that the journal holds.
    void cancelKnown(const job_state &job, absl::Time deadline, const responder &respond);
    /// Cancels a job that the journal does not hold, before its submission may be recorded after
    /// all.
    void cancelEarly(const routed_call &target, absl::Time deadline, const responder &respond);
    /// Records a cancellation. `recordedReply` gives the reply once that is done.
    void writeCancellation(const job_cancelled &cancelled, absl::Time deadline,
                           const responder &respond,
                           const std::function<job_reply()> &recordedReply);
    static job_reply noJobReply();
    /// Has the store drop early cancellations that no submission can follow any more.
    void dropOldCancellations();
    void pending(const routed_call &target, const responder &respond) const;
    /// Call about a job that this entry does not know.
    struct lookup
    {
        absl::Time deadline; ///< of the answer
        /// Called once; `current` tells whether the journal was read to its end.
        std::function<void(bool current)> done;
        bool isDone = false;
    };
    using lookup_batch = std::vector<std::shared_ptr<lookup>>;
    static void finishLookup(lookup *call, bool current);
    /// Has the journal read for `call`, at once or together with others.
    void addLookup(std::shared_ptr<lookup> call);
    /// Reads the journal once for all `batch`.
    void startLookups(lookup_batch batch);
    /// Answers the look-ups whose deadline has passed, also those that still wait for their read.
    void expireLookups();
    absl::Time nextLookupDeadline() const;
    /// Calls `found` with the job, or `unknown` if the journal holds no job with its id. Answers
    /// the call itself if the job is another team's, or if the store does not say before
    /// `deadline`.
    void withJob(const routed_call &target, absl::Time deadline, const responder &respond,
                 const std::function<void(const job_state &)> &found,
                 const std::function<void()> &unknown);
    /// Advised delay before a refused call is repeated.
    absl::Duration retryAfter() const;

    /// Time before the caller's deadline that is reserved for the answer to arrive.
    static constexpr absl::Duration AnswerMargin = absl::Milliseconds(150);

    batch_entry_options m_options;
    loop_hooks m_hooks;
    batch_state m_state;
    std::optional<site_config> m_config;
    zone_evacuations m_evacuations;
    log_follower m_configFollower;
    log_follower m_journal;
    log_writer m_writer;
    std::size_t m_lookups = 0; ///< in flight, see batch_entry_options::maxLookups
    lookup_batch m_waitingLookups;
    lookup_batch m_openLookups; ///< all that may not be answered yet
    batch_decider m_decider;
    admission_rule m_admission;
    /// Jobs whose record this entry has begun to write and that the journal has not shown yet, once
    /// for each attempt that may still be recorded.
    std::multiset<job_id> m_recording;
    absl::Time m_nextDropAt = absl::InfinitePast();        ///< see dropOldCancellations()
    absl::Time m_journalLoadedAt = absl::InfiniteFuture(); ///< for the first time
    bool m_leaving = false;
    absl::Time m_storeUnreachableSince = absl::InfiniteFuture();
};

/// Checks a submission. Errors: InvalidArgument, whose message names the remedy.
result<void> checkJob(const batch_job &job);

/// Checks a record of the journal that another writer may have left. Errors: InvalidArgument if no
/// process of this system would have written it, and applying it would do harm.
result<void> checkRecord(const batch_record &record);

} // namespace hyssoppond::batch
