/// @file Cells of jobs on a site of several entries, in which the decider or the log fails.
#include "cluster_site_base.h"

#include <absl/strings/str_format.h>

namespace hyssoppond::faults {

namespace {

template<class message>
bool holdsMessage(const gang_message &sent)
{
    return std::holds_alternative<message>(sent);
}

using fault_trigger
    = std::function<void(cluster_site &, const job_spec &, const std::function<void()> &)>;

/// Runs `fault` when the gang protocol sends the first message of a kind.
template<class message>
fault_trigger atFirst()
{
    return [](cluster_site &site, const job_spec &, const std::function<void()> &fault) {
        site.atMessage(holdsMessage<message>, fault);
    };
}

/// Runs `fault` as soon as `reached` returns true, which is checked every 10 ms.
fault_trigger whenReached(std::function<bool(cluster_site &, const job_spec &)> reached)
{
    return [reached = std::move(reached)](cluster_site &site, const job_spec &spec,
                                          const std::function<void()> &fault) {
        site.clock.every(absl::Milliseconds(10), [&site, spec, reached, fault] {
            if (!reached(site, spec))
                return true;
            fault();
            return false;
        });
    };
}

std::vector<std::pair<std::string, fault_trigger>> deciderSteps()
{
    return {
        {"before-placement", whenReached([](auto &, const auto &) { return true; })},
        {"after-placement", atFirst<gang_reserve>()},
        {"after-reserve", atFirst<gang_reserved>()},
        {"at-start", atFirst<gang_start>()},
        {"after-start", atFirst<gang_started>()},
        {"running", whenReached([](cluster_site &site, const job_spec &spec) {
             return site.runningTasks(spec.id) == 2
                 && site.clock.now() > site.firstStart(spec.id) + absl::Seconds(4);
         })},
        {"at-end", whenReached([](cluster_site &site, const job_spec &spec) {
             return site.startedTasks(spec.id) == 2 && site.runningTasks(spec.id) == 0;
         })},
        {"at-stopped", atFirst<gang_stopped>()},
    };
}

cell_result failDecider(const cell_context &context, const fault_trigger &step, bool repeatable,
                        bool pause)
{
    cluster_site site(context.seed, 3, 3);
    site.setRunTime(GangRunTime);
    job_spec spec = cluster_site::spec("r-1");
    spec.repeatable = repeatable;
    const std::size_t decider = site.decider();
    const std::size_t other = site.otherThan(decider);
    step(site, spec, [&site, decider, pause] {
        if (!pause)
            return site.killEntry(decider);
        site.pauseEntry(decider);
        site.clock.after(absl::Seconds(12), [&site, decider] { site.resumeEntry(decider); });
    });
    const caller_reply &reply = site.submit(other, spec);
    if (!site.runUntil([&] { return reply.isAccepted(); }, absl::Seconds(20)))
        return {false, "the submission was not accepted"};
    cell_result outcome = judgeCompleted(site, other, spec);
    // An agent without a record of the attempt cannot exclude that it ran there, and a job that is
    // not repeatable is then not started again.
    const bool mayFail = !repeatable && site.startedTasks(spec.id) == 0;
    if (!outcome.passed && mayFail && site.stateAt(other, spec.id) == job_state::Failed)
        return {true, {}};
    return outcome;
}

cell_result loseAppendAnswer(const cell_context &context, std::size_t number, bool atDecider)
{
    cluster_site site(context.seed, 3, 2);
    site.setRunTime(GangRunTime);
    const std::size_t decider = site.decider();
    const std::size_t other = site.otherThan(decider);
    entry_log_port &log = *site.entries[atDecider ? decider : other]->log;
    log.loseAnswer = log.appends + number;
    const job_spec spec = cluster_site::spec("r-1");
    const caller_reply &reply = site.submit(other, spec);
    site.runUntil([&] { return reply.count > 0; }, absl::Seconds(20));
    if (!reply.isAccepted())
        return {false, "I4: the submission was not accepted although the append took effect"};
    return judgeCompleted(site, other, spec);
}

std::vector<cell> build()
{
    std::vector<cell> all;
    for (const auto &named : deciderSteps()) {
        const std::string name = named.first;
        const fault_trigger step = named.second;
        all.push_back(
            {"I2",
             "cluster-decider-killed",
             name,
             [step](const auto &context) { return failDecider(context, step, true, false); },
             {}});
        all.push_back(
            {"I5",
             "cluster-decider-killed",
             name,
             [step](const auto &context) { return failDecider(context, step, false, false); },
             {}});
        all.push_back(
            {"I2",
             "cluster-decider-paused",
             name,
             [step](const auto &context) { return failDecider(context, step, true, true); },
             {}});
    }
    for (std::size_t number = 1; number <= 4; ++number) {
        all.push_back(
            {"I4",
             "cluster-append-answer-lost",
             absl::StrFormat("decider-append-%d", number),
             [number](const auto &context) { return loseAppendAnswer(context, number, true); },
             {}});
    }
    all.push_back({"I4",
                   "cluster-append-answer-lost",
                   "submission",
                   [](const auto &context) { return loseAppendAnswer(context, 1, false); },
                   {}});
    return all;
}

const cell_registration Registration(build);

} // namespace

} // namespace hyssoppond::faults
