/// @file A site of entries, agents and workers in virtual time over one fake log.
#pragma once

#include "cell_base.h"
#include "gang_site_base.h"
#include "hyssoppond/entry/cluster_controller_base.h"
#include "hyssoppond/fakes/fake_log_base.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppond::faults {

/// Log port of one entry; can lose the answer to one append, and drops answers to a killed entry.
class entry_log_port : public log_port
{
public:
    entry_log_port(fake_log *log, pause_gate *gate)
        : m_log(log)
        , m_gate(gate)
    { }

    std::size_t loseAnswer = 0; ///< number of the append whose answer is lost, from 1; 0: none
    std::size_t appends = 0;
    std::function<void()> onAppend; ///< called after each append; may be empty

    void append(std::string payload, absl::Time deadline,
                std::function<void(result<journal_offset>)> done) override;
    void read(journal_offset from, std::size_t maxRecords, absl::Time deadline,
              std::function<void(result<log_batch>)> done) override;

private:
    template<class value>
    std::function<void(result<value>)> gated(std::function<void(result<value>)> done);

    fake_log *m_log;
    pause_gate *m_gate;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// An entry: its cluster controller and its connections to the site.
struct cluster_entry
{
    process_id id;
    incarnation_number incarnation = 0;
    pause_gate gate;
    std::unique_ptr<entry_log_port> log;
    std::unique_ptr<cluster_controller> controller; ///< null: killed
};

/// Answer that a caller received.
struct caller_reply
{
    std::optional<result<job_view>> answer;
    absl::Time at;
    int count = 0; ///< replies to this request; more than 1 is a fault

    bool isAccepted() const { return answer && answer->has_value(); }
    bool isNotRun() const
    {
        return answer && !answer->has_value() && answer->error().state == execution::NotRun;
    }
    bool hasState(job_state state) const { return isAccepted() && (*answer)->entry.state == state; }
};

/// A site with the teams alpha (contract alpha/gold: two members with 8 accelerators in one rack)
/// and beta (no contract). Three workers per rack, 8 accelerators each.
class cluster_site
{
public:
    cluster_site(std::uint64_t seed, std::size_t workers, std::size_t entries);

    gang_site gangs;
    virtual_clock &clock;
    fake_log log;
    std::vector<std::unique_ptr<cluster_entry>> entries;
    std::deque<caller_reply> replies;

    /// Job of two members with 8 accelerators each within a rack.
    static job_spec spec(const std::string &request, const std::string &team = "beta",
                         urgency level = urgency::Normal);
    caller_reply &submit(std::size_t entry, const job_spec &spec, bool isRetry = false);
    caller_reply &command(std::size_t entry, const job_id &job, journal::command_kind kind,
                          const std::string &request);
    caller_reply &wait(std::size_t entry, const job_id &job, absl::Duration timeout);
    /// State of the job according to the entry; nullopt if the entry does not know the job.
    std::optional<job_state> stateAt(std::size_t entry, const job_id &job) const;

    std::size_t decider() const; ///< entries.size(): none
    std::size_t otherThan(std::size_t entry) const { return entry == 0 ? 1 : 0; }
    void killEntry(std::size_t entry);
    void pauseEntry(std::size_t entry);
    void resumeEntry(std::size_t entry);
    /// The agent leaves: it refuses new work at once, and the entries learn of it 500 ms later.
    void leaveAgent(std::size_t node);
    void setRunTime(absl::Duration runTime);
    void setLogDown(bool down) { log.faults.down = down; }
    /// Runs until `done` returns true, at most for `limit`; returns whether it did.
    bool runUntil(const std::function<bool()> &done, absl::Duration limit);
    /// Runs `action` once, when a gang message that `matches` is sent, and drops this message.
    void atMessage(std::function<bool(const gang_message &)> matches, std::function<void()> action);

    std::size_t runningTasks(const job_id &job) const;
    std::size_t startedTasks(const job_id &job) const;
    absl::Time firstStart(const job_id &job) const; ///< InfiniteFuture: not started
    std::size_t completeAttempts(const job_id &job, std::size_t members) const;
    /// Violation of I2 or I5 by the workers' records, or a request that was answered twice.
    std::string violation(const job_spec &spec);

private:
    void startEntry(cluster_entry &entry);
    void notifyEntries(const member_view &member, absl::Duration delay);
    member_view viewOf(const cluster_entry &entry, member_state state) const;
    member_view viewOf(const site_node &node, std::size_t index, member_state state) const;
    void publish(const std::string &key, const std::string &value);
    job_reply replyTo(caller_reply &slot);
};

constexpr absl::Duration GangRunTime = absl::Seconds(8); ///< of the tasks in the cells of a site

/// Waits until the job has ended; it must be Completed with exactly one complete attempt.
cell_result judgeCompleted(cluster_site &site, std::size_t entry, const job_spec &spec);

} // namespace hyssoppond::faults
