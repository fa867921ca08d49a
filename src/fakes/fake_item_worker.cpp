/// @file Implementation of the fake worker.
#include "hyssoppond/fakes/fake_item_worker_base.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace hyssoppond {

namespace {

using batch::item_run;
using batch::order_outcome;
using batch::run_end;

constexpr absl::Duration OrderTime = absl::Milliseconds(1);
/// A worker that crashed answers nothing for at least this long.
constexpr absl::Duration RestartTime = absl::Milliseconds(500);
constexpr absl::Duration EndPoll = absl::Milliseconds(10);

std::string nameOf(const item_run &id)
{
    return absl::StrCat(id.unit.job.str(), ".", id.unit.occurrence, ".", id.unit.step, ".",
                        id.member);
}

/// As the worker lists it: it does not know the units of gangs.
item_run listed(item_run id)
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
    std::set<std::string> &running = m_running[item];
    running.insert(worker);
    if (running.size() > 1)
        breaches.push_back(absl::StrCat(item, " runs on ", running.size(), " workers at ",
                                        absl::FormatTime(m_clock->now())));
}

void item_history::ended(const std::string &item, const std::string &worker)
{
    m_running[item].erase(worker);
}

void item_history::noted(const std::string &item, run_end how)
{
    if (how == run_end::Done && m_done.insert(item).second)
        ++done;
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
    for (const auto &[id, run] : m_runs)
        m_history->ended(run.item, m_description.worker);
    m_runs.clear();
    m_ended.clear();
    m_highestOver.clear();
    m_token = 0;
    m_lastEnd = 0;
    m_lapsedAt = 0;
    m_leaseUntilMs = 0;
    ++m_life;
    m_startedAt = m_clock->now();
    m_upAt = m_startedAt + RestartTime;
    m_description.workerStartMs = absl::ToUnixMillis(m_startedAt);
    m_description.draining = false;
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
    m_clock->after(absl::Milliseconds(std::max(0.0, leftMs) + 1), [this, life = m_life] {
        if (life == m_life)
            checkLease();
    });
}

void fake_item_worker::checkLease()
{
    if (clockMs() < m_leaseUntilMs)
        return;
    m_lapsedAt = m_lastEnd; // acknowledging these ends later promises nothing
    std::vector<item_run> lapsed;
    for (const auto &[id, run] : m_runs)
        lapsed.push_back(id);
    for (const item_run &id : lapsed)
        end(id, run_end::Lapsed);
}

void fake_item_worker::end(const item_run &id, run_end how)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    m_history->ended(found->second.item, m_description.worker);
    std::uint32_t &over = m_highestOver[found->second.item];
    over = std::max(over, id.run);
    m_runs.erase(found);
    m_ended.push_back({++m_lastEnd, listed(id), how, ""});
}

void fake_item_worker::scheduleDone(const item_run &id)
{
    m_clock->after(itemTime, [this, id, life = m_life] {
        if (life == m_life)
            end(id, faults.failAll ? run_end::Failed : run_end::Done);
    });
}

batch::order_answer fake_item_worker::startNow(const batch::start_order &order,
                                               std::int64_t shiftMs)
{
    if (order.worker != m_description.worker)
        return {order_outcome::WorkerRestarted, clockMs()};
    if (!acceptsToken(order.fencingToken))
        return {order_outcome::StaleToken, clockMs()};
    const std::string item = nameOf(order.run);
    const std::int64_t leaseEndMs = order.leaseUntilMs + shiftMs;
    if (m_runs.contains(order.run)) {
        extend(leaseEndMs);
        return {order_outcome::Done, clockMs()};
    }
    const auto over = m_highestOver.find(item);
    if (over != m_highestOver.end() && order.run.run <= over->second)
        return {order_outcome::StaleRun, clockMs()};
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
        return entry.second.item == nameOf(order.run) && entry.first.run == order.run.run;
    });
    if (found != m_runs.end())
        end(item_run(found->first), run_end::Stopped);
    std::uint32_t &over = m_highestOver[nameOf(order.run)];
    over = std::max(over, order.run.run);
    return {order_outcome::Done, clockMs()};
}

batch::poll_answer fake_item_worker::pollNow(const batch::poll_request &request,
                                             std::int64_t shiftMs)
{
    batch::poll_answer answer;
    answer.workerClockMs = clockMs();
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
        extend(*request.leaseUntilMs + shiftMs);
    std::erase_if(m_ended, [&](const batch::ended_item &one) {
        if (one.number > request.acknowledgedEnd)
            return false;
        if (one.number > m_lapsedAt)
            m_history->noted(nameOf(one.run), one.how);
        return true;
    });
    for (const auto &[id, run] : m_runs) {
        const double share = absl::FDivDuration(m_clock->now() - run.since, itemTime);
        answer.running.push_back({listed(id), "", static_cast<int>(100 * share)});
    }
    answer.ended = m_ended;
    return answer;
}

void fake_item_worker::answerWhenEnded(const batch::poll_request &request, absl::Time until,
                                       std::uint64_t life,
                                       const std::function<void(batch::poll_answer)> &answer)
{
    if (life != m_life) {
        answer({}); // the connection broke when the worker ended
        return;
    }
    if (!m_ended.empty() || m_clock->now() >= until) {
        batch::poll_request again = request;
        again.leaseUntilMs.reset();
        answer(pollNow(again, 0));
        return;
    }
    m_clock->after(EndPoll, [this, request, until, life, answer] {
        answerWhenEnded(request, until, life, answer);
    });
}

batch::item_worker_port fake_item_worker::portTo(std::shared_ptr<bool> alive)
{
    const std::shared_ptr<bool> living = std::move(alive);
    // Carries `act` out as the faults say, and answers unless they forbid it.
    const auto carryOut = [this, living](auto act, auto done, auto none, absl::Time deadline) {
        const auto silent = [this, living, done, none, deadline] {
            m_clock->at(deadline, [living, done, none] {
                if (*living)
                    done(none);
            });
        };
        ++calls;
        if (faults.resets) {
            m_clock->after(OrderTime, [living, done, none] {
                if (*living)
                    done(none);
            });
            return;
        }
        if (faults.unreachable || m_clock->now() < m_upAt) {
            silent();
            return;
        }
        if (m_clock->uniform() < faults.executeLate) {
            const absl::Duration delay = absl::Seconds(2 + 10 * m_clock->uniform());
            m_clock->after(delay, [this, act, delay, life = m_life] {
                const std::int64_t shift
                    = faults.grantsFromArrival ? absl::ToInt64Milliseconds(delay) : 0;
                if (life == m_life && !faults.unreachable)
                    act(shift);
            });
            silent();
            return;
        }
        auto answer = act(0);
        if (m_clock->uniform() < faults.loseAnswers) {
            silent();
            return;
        }
        m_clock->after(OrderTime, [living, done, answer] {
            if (*living)
                done(answer);
        });
    };
    batch::item_worker_port port;
    port.start = [this, carryOut](const batch::start_order &order,
                                  const std::function<void(batch::order_answer)> &done) {
        carryOut([this, order](std::int64_t shift) { return startNow(order, shift); }, done,
                 batch::order_answer {}, order.deadline);
    };
    port.stop = [this, carryOut](const batch::stop_order &order,
                                 const std::function<void(batch::order_answer)> &done) {
        carryOut([this, order](std::int64_t) { return stopNow(order); }, done,
                 batch::order_answer {}, order.deadline);
    };
    port.poll = [this, carryOut, living](const batch::poll_request &request,
                                         const std::function<void(batch::poll_answer)> &done) {
        carryOut([this, request](std::int64_t shift) { return pollNow(request, shift); },
                 [this, request, living, done, life = m_life](const batch::poll_answer &first) {
                     if (first.outcome != order_outcome::Done || !first.ended.empty()) {
                         done(first);
                         return;
                     }
                     answerWhenEnded(request, m_clock->now() + request.wait, life,
                                     [living, done](const batch::poll_answer &answer) {
                                         if (*living)
                                             done(answer);
                                     });
                 },
                 batch::poll_answer {}, request.deadline);
    };
    return port;
}

} // namespace hyssoppond
