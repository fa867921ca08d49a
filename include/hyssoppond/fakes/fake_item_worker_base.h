/// @file In-memory worker that runs items under leases, and a checker over all workers of a test.
#pragma once

#include "hyssoppond/batch/item_worker_port.h"
#include "hyssoppond/fakes/virtual_clock_base.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoppond {

/// Records which items all workers of a test ran, lets the members of gangs work together, and
/// records every breach: an item that runs twice at
/// once, on two workers or on one, and an item that starts after its end as Done was acknowledged.
class item_history
{
public:
    explicit item_history(virtual_clock *clock)
        : m_clock(clock)
    { }

    /// Record the start and the end of a run. `item` is JOB.OCCURRENCE.STEP.INDEX.
    void started(const std::string &item, const std::string &worker);
    void ended(const std::string &item, const std::string &worker);
    /// Records that the agent acknowledged the end of a run.
    void endAcknowledged(const std::string &item, batch::run_end runEnd);

    /// Tells that a member of a gang started. `end` ends it on its worker. The members work from
    /// the moment when all are present and end together `itemTime` later. One that waits too long
    /// for the others ends as Alone, and if one ends early, the others end as Broken.
    void gangMemberStarted(const batch::item_run &id, absl::Duration itemTime,
                           std::function<void(batch::run_end)> end);
    void gangMemberEnded(const batch::item_run &id, batch::run_end runEnd);
    bool isGang(const batch::unit_id &unit) const { return gangSizes.contains(gangNameOf(unit)); }
    /// JOB.OCCURRENCE.STEP.
    static std::string gangNameOf(const batch::unit_id &unit);

    std::map<std::string, std::size_t> gangSizes; ///< members of each gang, by gangNameOf
    std::vector<std::string> breaches;            ///< one message each, oldest first
    std::size_t starts = 0;                       ///< runs started
    std::size_t done = 0;                         ///< items acknowledged as Done

private:
    struct gang_run
    {
        std::map<std::uint32_t, std::function<void(batch::run_end)>> members; ///< present ones
        bool working = false;
    };

    virtual_clock *m_clock;
    /// By gangNameOf and run.
    std::map<std::pair<std::string, std::uint32_t>, std::shared_ptr<gang_run>> m_gangRuns;
    std::map<std::string, std::multiset<std::string>> m_running; ///< workers, by item
    std::set<std::string> m_done;
};

/// Faults of one fake item worker and of the connection to it. Shares are 0 to 1.
struct item_worker_faults
{
    double loseAnswers = 0.0; ///< share of orders carried out without an answer
    double executeLate = 0.0; ///< share of orders carried out 2 to 12 s later, unanswered
    std::optional<absl::Duration> lateBy; ///< how much later, in place of a random time
    bool grantsFromArrival = false;       ///< a late order's lease counts from its arrival
    absl::Duration startTransit;          ///< time until a start arrives
    bool unreachable = false;             ///< neither acts nor answers
    bool sendsNoHeartbeats = false;       ///< it works otherwise
    bool notListening = false;            ///< connections are refused; orders have no effect
    bool resets = false;                  ///< connections break at once; orders have no effect
    bool failAll = false;                 ///< every item fails at the end of its run
    bool hidesIncarnation = false;        ///< its lists do not name its incarnation
    bool oddEntries = false;              ///< one entry of each list of runs cannot be read
};

/// Fake of one worker that runs items.
class fake_item_worker
{
public:
    fake_item_worker(virtual_clock *clock, item_history *history,
                     batch::worker_description description);

    /// Port of an agent to this worker. No completion is called once `*alive` is false.
    batch::item_worker_port portTo(std::shared_ptr<bool> alive);

    /// Restarts the worker: all runs end and all earlier orders and tokens are forgotten.
    void restart();
    /// Restarts the worker under the name `name`. Its start time is off by `clockStep`.
    void replace(const std::string &name, absl::Duration clockStep);
    const batch::worker_description &description() const { return m_description; }
    /// The next heartbeat of the worker.
    batch::worker_heartbeat heartbeat() { return {m_description, ++m_heartbeats}; }
    void setDraining(batch::unix_ms earliestLeaveMs);
    void setLabels(std::vector<std::string> labels) { m_description.labels = std::move(labels); }

    item_worker_faults faults;
    double clockRate = 1.0; ///< of the worker's steady clock against the virtual clock
    absl::Duration itemTime = absl::Seconds(2); ///< run time of each item
    absl::Duration wallSkew;                    ///< error of its time of day at its next restart
    std::size_t calls = 0;                      ///< orders and polls, also those lost on the way
    std::int64_t longestLeaseMs = 6'000;        ///< limit of a lease, on the worker's clock
    std::size_t listedEnds = 500;               ///< most ends that it lists at a time, oldest first
    std::size_t running() const { return m_runs.size(); }

private:
    struct run_entry
    {
        std::string item;
        std::uint32_t run = 0;
        absl::Time startedAt;
    };

    /// Worker's steady clock: ms since its last start.
    std::int64_t clockMs() const;
    /// The following functions take effect at once. `leaseShiftMs` is added to the lease end.
    batch::order_answer startNow(const batch::start_order &order, std::int64_t leaseShiftMs);
    batch::order_answer stopNow(const batch::stop_order &order);
    batch::poll_answer pollNow(const batch::poll_request &request, std::int64_t leaseShiftMs);
    bool acceptsToken(std::uint64_t token);
    void extend(std::int64_t leaseEndMs);
    void checkLease();
    void end(const batch::item_run &id, batch::run_end runEnd);
    void scheduleDone(const batch::item_run &id);
    /// Long poll: answers when an item has ended, or at `until`.
    void answerWhenEnded(const batch::poll_request &request, absl::Time until,
                         std::uint64_t workerIncarnation,
                         const std::function<void(batch::poll_answer)> &answer);

    virtual_clock *m_clock;
    item_history *m_history;
    batch::worker_description m_description;
    std::uint64_t m_heartbeats = 0; ///< of the present incarnation
    std::uint64_t m_workerIncarnation = 0;
    absl::Time m_startedAt;
    absl::Time m_reachableAt = absl::InfinitePast(); ///< end of the latest restart
    std::uint64_t m_token = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::map<batch::item_run, run_entry> m_runs;
    /// Highest run that ended or was stopped, by item.
    std::map<std::string, std::uint32_t> m_highestEndedRun;
    std::uint64_t m_lastEnd = 0;
    /// Number of the newest end before the last expiry of the lease.
    std::uint64_t m_lastEndBeforeLapse = 0;
    std::vector<batch::ended_item> m_ended;
};

} // namespace hyssoppond
