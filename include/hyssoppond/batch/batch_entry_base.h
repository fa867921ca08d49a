/// @file The entry of batch jobs: answers calls from the journal and the configuration.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/batch/batch_decider_base.h"

#include <optional>
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
    /// Calls `respond` once, at once or when the store has answered.
    void handle(job_call call, const responder &respond);
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
        team_id team;
    };

    void logDecision(const char *decision, const std::string &item,
                     const std::string &detail) const;
    void applyConfig(const std::vector<stored_record> &records);
    void applyJournal(const std::vector<stored_record> &records);
    /// As refusalOf(), and finds the target of a call that is not refused.
    std::optional<job_reply> findTarget(const job_call &call, routed_call *target) const;
    /// Finds the queue and the team of a call. Errors: UnknownEndpoint, UnknownTeam.
    result<routed_call> route(const job_call &call) const;
    static job_reply replyFor(const error &problem);
    job_reply refusal(reason why, std::string message) const;
    void submit(const routed_call &target, job_call call, const responder &respond);
    void status(const routed_call &target, const job_call &call, const responder &respond);
    void cancel(const routed_call &target, const job_call &call, const responder &respond);
    void pending(const routed_call &target, const responder &respond) const;
    /// A call that needs the journal as of now, or at least of its arrival.
    struct lookup
    {
        absl::Time deadline;
        std::function<void(bool current)> done;
    };

    /// Reads the journal once for all `lookups`.
    void startLookups(std::vector<lookup> lookups);
    /// Calls `found` with the job. Answers the call itself if the team has no such job, or if the
    /// store does not say so before `deadline`.
    void withJob(const routed_call &target, absl::Time deadline, const responder &respond,
                 const std::function<void(const job_state &)> &found);
    /// Advised delay before a refused call is repeated.
    absl::Duration retryAfter() const;

    batch_entry_options m_options;
    loop_hooks m_hooks;
    batch_state m_state;
    std::optional<site_config> m_config;
    zone_evacuations m_evacuations;
    log_follower m_configFollower;
    log_follower m_journal;
    log_writer m_writer;
    std::size_t m_lookups = 0; ///< in flight, see batch_entry_options::maxLookups
    std::vector<lookup> m_waitingLookups;
    batch_decider m_decider;
    bool m_leaving = false;
    absl::Time m_storeUnreachableSince = absl::InfiniteFuture();
};

/// Checks a submission. Errors: InvalidArgument, whose message names the remedy.
result<void> checkJob(const batch_job &job);

/// Checks a record of the journal that another writer may have left. Errors: InvalidArgument if no
/// process of this system would have written it, and applying it would do harm.
result<void> checkRecord(const batch_record &record);

} // namespace hyssoppond::batch
