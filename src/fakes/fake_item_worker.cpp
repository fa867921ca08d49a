/// @file Implementation of the fake item worker.
#include "hyssoppond/fakes/fake_item_worker_base.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace hyssoppond {

namespace {

using batch::item_run;
using batch::order_outcome;
using batch::run_end;

/// Time until the answer to an order arrives.
constexpr absl::Duration OrderDuration = absl::Milliseconds(1);
/// A worker that restarts answers nothing for at least this long.
constexpr absl::Duration RestartDuration = absl::Milliseconds(500);
/// Interval in which a long poll checks for ended items.
constexpr absl::Duration EndPollInterval = absl::Milliseconds(10);

/// How long a member of a gang waits for the others.
constexpr absl::Duration GangTimeout = absl::Seconds(3);
/// Time until the members of a gang notice that another one has ended.
constexpr absl::Duration BrokenNoticeTime = absl::Milliseconds(30);

/// Name of an item as item_history uses it: JOB.OCCURRENCE.STEP.INDEX.
std::string itemNameOf(const item_run &id)
{
    return absl::StrCat(id.unit.job.str(), ".", id.unit.occurrence, ".", id.unit.step, ".",
                        id.member);
}

/// Run as the worker lists it. The worker does not know gangs; it lists each item as a unit of its
/// own.
item_run asListed(item_run id)
{
    id.unit.index = id.member;
    return id;
}

} // namespace

void item_history::started(const std::string &item, const std::string &worker)
{
    ++starts;
    if (m_done.contains(item))
        breaches.push_back(absl::StrCat(item, " started on ", worker, " after it was done, at ",
                                        absl::FormatTime(m_clock->now())));
    std::multiset<std::string> &running = m_running[item];
    running.insert(worker);
    if (running.size() > 1)
        breaches.push_back(absl::StrCat(item, " has ", running.size(), " runs, on ",
                                        absl::StrJoin(running, " and "), ", at ",
                                        absl::FormatTime(m_clock->now())));
}

void item_history::ended(const std::string &item, const std::string &worker)
{
    std::multiset<std::string> &running = m_running[item];
    if (const auto found = running.find(worker); found != running.end())
        running.erase(found);
}

void item_history::endAcknowledged(const std::string &item, run_end runEnd)
{
    if (runEnd == run_end::Done && m_done.insert(item).second)
        ++done;
}

std::string item_history::gangNameOf(const batch::unit_id &unit)
{
    return absl::StrCat(unit.job.str(), ".", unit.occurrence, ".", unit.step);
}

void item_history::gangMemberStarted(const item_run &id, absl::Duration itemTime,
                                     std::function<void(run_end)> end)
{
    const std::string gang = gangNameOf(id.unit);
    std::shared_ptr<gang_run> &run = m_gangRuns[{gang, id.run}];
    if (!run)
        run = std::make_shared<gang_run>();
    run->members[id.member] = std::move(end);
    if (run->members.size() == gangSizes.at(gang)) {
        run->working = true;
        m_clock->after(itemTime, [run] {
            if (!run->working)
                return;
            const auto members = run->members;
            for (const auto &[member, endMember] : members)
                endMember(run_end::Done);
        });
        return;
    }
    m_clock->after(GangTimeout, [run, member = id.member] {
        if (!run->working && run->members.contains(member))
            std::function(run->members.at(member))(run_end::Alone);
    });
}

void item_history::gangMemberEnded(const item_run &id, run_end runEnd)
{
    const auto found = m_gangRuns.find({gangNameOf(id.unit), id.run});
    if (found == m_gangRuns.end() || found->second->members.erase(id.member) == 0)
        return;
    gang_run &run = *found->second;
    if (runEnd == run_end::Done || !run.working)
        return;
    run.working = false;
    for (const auto &[member, endMember] : run.members)
        m_clock->after(BrokenNoticeTime, [end = endMember] { end(run_end::Broken); });
}

fake_item_worker::fake_item_worker(virtual_clock *clock, item_history *history,
                                   batch::worker_description description)
    : m_clock(clock)
    , m_history(history)
    , m_description(std::move(description))
    , m_startedAt(clock->now())
{
    m_description.workerStartMs = absl::ToUnixMillis(clock->now());
}

std::int64_t fake_item_worker::clockMs() const
{
    return static_cast<std::int64_t>(absl::ToDoubleMilliseconds(m_clock->now() - m_startedAt)
                                     * clockRate);
}

void fake_item_worker::setDraining(batch::unix_ms earliestLeaveMs)
{
    m_description.draining = true;
    m_description.earliestLeaveMs = earliestLeaveMs;
}

void fake_item_worker::restart()
{
    const std::map<item_run, run_entry> lost = std::move(m_runs);
    m_runs.clear();
    for (const auto &[id, run] : lost) {
        m_history->ended(run.item, m_description.worker);
        m_history->gangMemberEnded(id, run_end::Lost);
    }
    m_ended.clear();
    m_highestEndedRun.clear();
    m_token = 0;
    m_lastEnd = 0;
    m_lastEndBeforeLapse = 0;
    m_leaseUntilMs = 0;
    m_heartbeats = 0;
    ++m_workerIncarnation;
    m_startedAt = m_clock->now();
    m_reachableAt = m_startedAt + RestartDuration;
    m_description.workerStartMs = absl::ToUnixMillis(m_startedAt + wallSkew);
    m_description.draining = false;
}

void fake_item_worker::replace(const std::string &name, absl::Duration clockStep)
{
    restart();
    m_description.worker = name;
    m_description.workerStartMs += absl::ToInt64Milliseconds(clockStep);
}

bool fake_item_worker::acceptsToken(std::uint64_t token)
{
    if (token < m_token)
        return false;
    m_token = token;
    return true;
}

void fake_item_worker::extend(std::int64_t leaseEndMs)
{
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(leaseEndMs, clockMs() + longestLeaseMs));
    const double leftMs = static_cast<double>(m_leaseUntilMs - clockMs()) / clockRate;
    m_clock->after(absl::Milliseconds(std::max(0.0, leftMs) + 1),
                   [this, workerIncarnation = m_workerIncarnation] {
                       if (workerIncarnation == m_workerIncarnation)
                           checkLease();
                   });
}

void fake_item_worker::checkLease()
{
    if (clockMs() < m_leaseUntilMs)
        return;
    // After the expiry, an acknowledgement of these ends does not count as done.
    m_lastEndBeforeLapse = m_lastEnd;
    std::vector<item_run> lapsed;
    for (const auto &[id, run] : m_runs)
        lapsed.push_back(id);
    for (const item_run &id : lapsed)
        end(id, run_end::Lapsed);
}

void fake_item_worker::end(const item_run &id, run_end runEnd)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    m_history->ended(found->second.item, m_description.worker);
    std::uint32_t &highestEnded = m_highestEndedRun[found->second.item];
    highestEnded = std::max(highestEnded, id.run);
    m_runs.erase(found);
    m_ended.push_back({++m_lastEnd, asListed(id), runEnd, ""});
    m_history->gangMemberEnded(id, runEnd);
}

void fake_item_worker::scheduleDone(const item_run &id)
{
    const auto endRun = [this, id, workerIncarnation = m_workerIncarnation](run_end how) {
        if (workerIncarnation == m_workerIncarnation)
            end(id, faults.failAll && how == run_end::Done ? run_end::Failed : how);
    };
    if (m_history->isGang(id.unit))
        m_history->gangMemberStarted(id, itemTime, endRun);
    else
        m_clock->after(itemTime, [endRun] { endRun(run_end::Done); });
}

batch::order_answer fake_item_worker::startNow(const batch::start_order &order,
                                               std::int64_t leaseShiftMs)
{
    if (order.worker != m_description.worker)
        return {order_outcome::WorkerRestarted, clockMs()};
    if (!acceptsToken(order.fencingToken))
        return {order_outcome::StaleToken, clockMs()};
    const std::string item = itemNameOf(order.run);
    const std::int64_t leaseEndMs = order.leaseUntilMs + leaseShiftMs;
    if (m_runs.contains(order.run)) {
        extend(leaseEndMs);
        return {order_outcome::Done, clockMs()};
    }
    const auto highestEnded = m_highestEndedRun.find(item);
    if (highestEnded != m_highestEndedRun.end() && order.run.run <= highestEnded->second) {
        extend(leaseEndMs); // the lease is taken from a refused start, too
        return {order_outcome::StaleRun, clockMs()};
    }
    if (leaseEndMs <= clockMs())
        return {order_outcome::LeaseExpired, clockMs()};
    extend(leaseEndMs);
    m_runs[order.run] = {item, order.run.run, m_clock->now()};
    m_history->started(item, m_description.worker);
    scheduleDone(order.run);
    return {order_outcome::Done, clockMs()};
}

batch::order_answer fake_item_worker::stopNow(const batch::stop_order &order)
{
    if (order.worker != m_description.worker)
        return {order_outcome::WorkerRestarted, clockMs()};
    if (!acceptsToken(order.fencingToken))
        return {order_outcome::StaleToken, clockMs()};
    const auto found = std::find_if(m_runs.begin(), m_runs.end(), [&](const auto &entry) {
        return entry.second.item == itemNameOf(order.run) && entry.first.run == order.run.run;
    });
    if (found != m_runs.end())
        end(item_run(found->first), run_end::Stopped);
    std::uint32_t &highestEnded = m_highestEndedRun[itemNameOf(order.run)];
    highestEnded = std::max(highestEnded, order.run.run);
    return {order_outcome::Done, clockMs()};
}

batch::poll_answer fake_item_worker::pollNow(const batch::poll_request &request,
                                             std::int64_t leaseShiftMs)
{
    batch::poll_answer answer;
    answer.workerClockMs = clockMs();
    if (!faults.hidesIncarnation)
        answer.workerStartMs = m_description.workerStartMs;
    if (request.worker != m_description.worker) {
        answer.outcome = order_outcome::WorkerRestarted;
        return answer;
    }
    if (!acceptsToken(request.fencingToken)) {
        answer.outcome = order_outcome::StaleToken;
        return answer;
    }
    answer.outcome = order_outcome::Done;
    if (request.leaseUntilMs)
        extend(*request.leaseUntilMs + leaseShiftMs);
    std::erase_if(m_ended, [&](const batch::ended_item &endedItem) {
        if (endedItem.number > request.acknowledgedEnd)
            return false;
        if (endedItem.number > m_lastEndBeforeLapse)
            m_history->endAcknowledged(itemNameOf(endedItem.run), endedItem.how);
        return true;
    });
    for (const auto &[id, run] : m_runs) {
        const double share = absl::FDivDuration(m_clock->now() - run.startedAt, itemTime);
        answer.running.push_back({asListed(id), "", static_cast<int>(100 * share)});
    }
    answer.ended = m_ended;
    if (answer.ended.size() > listedEnds)
        answer.ended.resize(listedEnds);
    answer.moreEnds = answer.ended.size() == listedEnds;
    if (faults.oddEntries) {
        answer.complete = answer.running.empty() && answer.ended.empty();
        if (!answer.running.empty())
            answer.running.pop_back();
        if (!answer.ended.empty())
            answer.ended.pop_back();
    }
    return answer;
}

void fake_item_worker::answerWhenEnded(const batch::poll_request &request, absl::Time until,
                                       std::uint64_t workerIncarnation,
                                       const std::function<void(batch::poll_answer)> &answer)
{
    if (workerIncarnation != m_workerIncarnation) {
        answer({}); // the connection broke when the worker restarted
        return;
    }
    if (!m_ended.empty() || m_clock->now() >= until) {
        batch::poll_request requestWithoutLease = request;
        requestWithoutLease.leaseUntilMs.reset();
        answer(pollNow(requestWithoutLease, 0));
        return;
    }
    m_clock->after(EndPollInterval, [this, request, until, workerIncarnation, answer] {
        answerWhenEnded(request, until, workerIncarnation, answer);
    });
}

batch::item_worker_port fake_item_worker::portTo(std::shared_ptr<bool> alive)
{
    const std::shared_ptr<bool> clientAlive = std::move(alive);
    // Runs `action` unless the faults prevent it, and calls `done` with its answer. `done` gets
    // `noAnswer` at the deadline if the faults suppress the answer, and after OrderDuration if the
    // connection breaks.
    const auto execute = [this, clientAlive](auto action, auto done, auto noAnswer,
                                             absl::Time deadline) {
        const auto answerAtDeadline = [this, clientAlive, done, noAnswer, deadline] {
            m_clock->at(deadline, [clientAlive, done, noAnswer] {
                if (*clientAlive)
                    done(noAnswer);
            });
        };
        ++calls;
        if (faults.notListening) {
            auto refused = noAnswer;
            refused.outcome = order_outcome::NotListening;
            m_clock->after(OrderDuration, [clientAlive, done, refused] {
                if (*clientAlive)
                    done(refused);
            });
            return;
        }
        if (faults.resets) {
            m_clock->after(OrderDuration, [clientAlive, done, noAnswer] {
                if (*clientAlive)
                    done(noAnswer);
            });
            return;
        }
        if (faults.unreachable || m_clock->now() < m_reachableAt) {
            answerAtDeadline();
            return;
        }
        if (m_clock->uniform() < faults.executeLate) {
            const absl::Duration randomDelay = absl::Seconds(2 + 10 * m_clock->uniform());
            const absl::Duration delay = faults.lateBy.value_or(randomDelay);
            m_clock->after(delay, [this, action, delay, workerIncarnation = m_workerIncarnation] {
                const std::int64_t leaseShiftMs
                    = faults.grantsFromArrival ? absl::ToInt64Milliseconds(delay) : 0;
                // The order has arrived already, so a broken connection does not prevent it.
                if (workerIncarnation == m_workerIncarnation)
                    action(leaseShiftMs);
            });
            answerAtDeadline();
            return;
        }
        auto answer = action(0);
        if (m_clock->uniform() < faults.loseAnswers) {
            answerAtDeadline();
            return;
        }
        m_clock->after(OrderDuration, [clientAlive, done, answer] {
            if (*clientAlive)
                done(answer);
        });
    };
    batch::item_worker_port port;
    port.start = [this, execute](const batch::start_order &order,
                                 const std::function<void(batch::order_answer)> &done) {
        const auto arrive = [this, execute, order, done] {
            execute(
                [this, order](std::int64_t leaseShiftMs) { return startNow(order, leaseShiftMs); },
                done, batch::order_answer {}, order.deadline);
        };
        if (faults.startTransit > absl::ZeroDuration())
            m_clock->after(faults.startTransit, arrive);
        else
            arrive();
    };
    port.stop = [this, execute](const batch::stop_order &order,
                                const std::function<void(batch::order_answer)> &done) {
        execute([this, order](std::int64_t) { return stopNow(order); }, done,
                batch::order_answer {}, order.deadline);
    };
    port.poll = [this, execute, clientAlive](const batch::poll_request &request,
                                             const std::function<void(batch::poll_answer)> &done) {
        execute(
            [this, request](std::int64_t leaseShiftMs) { return pollNow(request, leaseShiftMs); },
            [this, request, clientAlive, done,
             workerIncarnation = m_workerIncarnation](const batch::poll_answer &first) {
                if (first.outcome != order_outcome::Done || !first.ended.empty()) {
                    done(first);
                    return;
                }
                answerWhenEnded(request, m_clock->now() + request.wait, workerIncarnation,
                                [clientAlive, done](const batch::poll_answer &answer) {
                                    if (*clientAlive)
                                        done(answer);
                                });
            },
            batch::poll_answer {}, request.deadline);
    };
    return port;
}

} // namespace hyssoppond
