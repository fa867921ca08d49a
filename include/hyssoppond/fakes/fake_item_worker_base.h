/// @file A worker in memory that runs items under leases, with a checker over all workers.
#pragma once

#include "hyssoppond/batch/item_worker_port.h"
#include "hyssoppond/fakes/virtual_clock_base.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hyssoppond {

/// What all workers of a test have run; notes every breach of the promises.
class item_history
{
public:
    explicit item_history(virtual_clock *clock)
        : m_clock(clock)
    { }

    /// Where and how many times each item runs, by JOB.OCCURRENCE.STEP.INDEX.
    void started(const std::string &item, const std::string &worker);
    void ended(const std::string &item, const std::string &worker);
    /// The agent has taken note of the end.
    void noted(const std::string &item, batch::run_end how);

    std::vector<std::string> breaches;
    std::size_t starts = 0;
    std::size_t done = 0;

private:
    virtual_clock *m_clock;
    std::map<std::string, std::set<std::string>> m_running;
    std::set<std::string> m_done;
};

/// Faults of the orders to one worker.
struct worker_faults
{
    double loseAnswers = 0.0;       ///< share of orders carried out without an answer
    double executeLate = 0.0;       ///< share of orders carried out 2 to 12 s later, unanswered
    bool grantsFromArrival = false; ///< a late order's lease counts from its arrival
    bool unreachable = false;
    bool resets = false;  ///< connections break at once, without effect
    bool failAll = false; ///< every item fails at once
};

class fake_item_worker
{
public:
    fake_item_worker(virtual_clock *clock, item_history *history,
                     batch::worker_description description);

    /// Port for an agent; no completion is called once `*alive` is false.
    batch::item_worker_port portTo(std::shared_ptr<bool> alive);

    /// The worker starts again and knows nothing of before.
    void restart();
    const batch::worker_description &description() const { return m_description; }
    void setDraining(batch::unix_ms earliestLeaveMs);

    worker_faults faults;
    double clockRate = 1.0;                     ///< of its steady clock
    absl::Duration itemTime = absl::Seconds(2); ///< of each item
    std::size_t calls = 0;                      ///< that reached it or were meant to
    std::int64_t longestLeaseMs = 6'000;
    std::size_t running() const { return m_runs.size(); }

private:
    struct run_entry
    {
        std::string item;
        std::uint32_t run = 0;
        absl::Time since;
    };

    std::int64_t clockMs() const;
    batch::order_answer startNow(const batch::start_order &order, std::int64_t shiftMs);
    batch::order_answer stopNow(const batch::stop_order &order);
    batch::poll_answer pollNow(const batch::poll_request &request, std::int64_t shiftMs);
    bool acceptsToken(std::uint64_t token);
    void extend(std::int64_t leaseEndMs);
    void checkLease();
    void end(const batch::item_run &id, batch::run_end how);
    void scheduleDone(const batch::item_run &id);
    void answerWhenEnded(const batch::poll_request &request, absl::Time until, std::uint64_t life,
                         const std::function<void(batch::poll_answer)> &answer);

    virtual_clock *m_clock;
    item_history *m_history;
    batch::worker_description m_description;
    std::uint64_t m_life = 0;
    absl::Time m_startedAt;
    absl::Time m_upAt = absl::InfinitePast(); ///< end of the present restart
    std::uint64_t m_token = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::map<batch::item_run, run_entry> m_runs;
    std::map<std::string, std::uint32_t> m_highestOver; ///< runs that ended or were stopped
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_lapsedAt = 0; ///< newest end before the lease last ran out
    std::vector<batch::ended_item> m_ended;
};

} // namespace hyssoppond
