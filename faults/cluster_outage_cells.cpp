/// @file Cells of jobs that are submitted while the log is down, and of reclaimed guarantees.
#include "cluster_site_base.h"

#include <absl/strings/str_format.h>

namespace hyssoppond::faults {

namespace {

constexpr absl::Duration UrgentStart
    = absl::Milliseconds(7500); ///< target of docs/design.md, section 9
constexpr absl::Duration Forever = absl::Hours(10);

job_spec urgentSpec()
{
    return cluster_site::spec("urgent", "alpha", urgency::Urgent);
}

/// Waits until the urgent job runs, at most until its target after `submittedAt`. Returns an empty
/// text if it runs by then, otherwise a description.
std::string checkStartTime(cluster_site &site, const job_spec &spec, absl::Time submittedAt)
{
    site.runUntil([&] { return site.runningTasks(spec.id) == spec.wanted.members; },
                  submittedAt + UrgentStart - site.clock.now());
    if (site.runningTasks(spec.id) == spec.wanted.members)
        return {};
    return absl::StrFormat("urgent work under contract had %d of %d members running 7.5 s after "
                           "its submission",
                           site.runningTasks(spec.id), spec.wanted.members);
}

struct outage_plan
{
    absl::Duration downBefore = absl::Seconds(4); ///< from the outage to the submission
    absl::Duration downAfter;                     ///< from the submission to the log's return
    bool repeatSame = false;
    bool repeatOther = false;
    bool killHolder = false; ///< 3 s after the submission
    bool repeatable = true;
};

cell_result runOutage(const cell_context &context, const outage_plan &plan)
{
    cluster_site site(context.seed, 3, 3);
    site.setRunTime(GangRunTime);
    const std::size_t holder = site.decider();
    const std::size_t other = site.otherThan(holder);
    site.setLogDown(true);
    site.clock.runFor(plan.downBefore);
    job_spec spec = urgentSpec();
    spec.repeatable = plan.repeatable;
    const absl::Time submittedAt = site.clock.now();
    const caller_reply &reply = site.submit(holder, spec);
    if (plan.repeatSame)
        site.submit(holder, spec, true);
    if (plan.repeatOther)
        site.submit(other, spec, true);
    site.clock.after(plan.downAfter, [&site] { site.setLogDown(false); });
    if (plan.killHolder)
        site.clock.after(absl::Seconds(3), [&site, holder] { site.killEntry(holder); });
    if (const std::string late = checkStartTime(site, spec, submittedAt); !late.empty())
        return {false, late};
    site.runUntil([&] { return reply.count > 0; }, absl::Seconds(1));
    if (!reply.isAccepted())
        return {false, "the caller was not told that the job is accepted"};
    if (plan.repeatOther && site.replies.back().isNotRun())
        return {false, "I4: a repeated request that runs was answered as not run"};
    site.runUntil([&] { return !site.log.faults.down; }, absl::Minutes(2));
    if (plan.repeatOther) {
        site.clock.runFor(absl::Seconds(1));
        site.submit(other, spec, true);
    }
    return judgeCompleted(site, other, spec);
}

/// The log goes down after an append of the decider took effect, and the answer to this append is
/// lost. `number` counts the appends from the submission, from 1.
cell_result downAfterAppend(const cell_context &context, std::size_t number)
{
    cluster_site site(context.seed, 3, 3);
    site.setRunTime(GangRunTime);
    const std::size_t holder = site.decider();
    const job_spec spec = urgentSpec();
    const absl::Time submittedAt = site.clock.now();
    entry_log_port &log = *site.entries[holder]->log;
    const std::size_t lostAppend = log.appends + number;
    log.loseAnswer = lostAppend;
    log.onAppend = [&site, &log, lostAppend] {
        if (log.appends == lostAppend)
            site.setLogDown(true);
    };
    const caller_reply &reply = site.submit(holder, spec);
    site.clock.after(absl::Seconds(25), [&site] { site.setLogDown(false); });
    if (const std::string late = checkStartTime(site, spec, submittedAt); !late.empty())
        return {false, late};
    site.runUntil([&] { return reply.count > 0; }, absl::Seconds(1));
    if (!reply.isAccepted())
        return {false, "the caller was not told that the job is accepted"};
    site.runUntil([&] { return !site.log.faults.down; }, absl::Seconds(30));
    return judgeCompleted(site, site.otherThan(holder), spec);
}

/// Work that must be refused while the log is down, and must not run later.
cell_result refusedInOutage(const cell_context &context, bool atHolder, bool urgent)
{
    cluster_site site(context.seed, 3, 3);
    site.setRunTime(GangRunTime);
    const std::size_t holder = site.decider();
    site.setLogDown(true);
    site.clock.runFor(absl::Seconds(4));
    const job_spec spec = urgent ? urgentSpec() : cluster_site::spec("other");
    const caller_reply &reply = site.submit(atHolder ? holder : site.otherThan(holder), spec);
    site.clock.runFor(absl::Seconds(10));
    if (!reply.isNotRun())
        return {false, "the submission was not answered as not run"};
    site.setLogDown(false);
    site.clock.runFor(absl::Seconds(30));
    if (site.startedTasks(spec.id) != 0)
        return {false, "I4: a job that was answered as not run has run"};
    return {true, {}};
}

/// Borrowed work fills the site; urgent work under contract must start within its target.
cell_result reclaimFullSite(const cell_context &context, bool logDown)
{
    cluster_site site(context.seed, 6, 3);
    site.setRunTime(Forever);
    for (int i = 0; i < 2; ++i)
        site.submit(0, cluster_site::spec(absl::StrFormat("fill-%d", i)));
    job_spec single = cluster_site::spec("fill-single");
    for (int i = 0; i < 2; ++i) {
        single.request = request_id(absl::StrFormat("fill-single-%d", i));
        single.id = jobIdFor(single.team, single.request);
        single.wanted = {1, 8, adjacency::Worker};
        site.submit(0, single);
    }
    site.clock.runFor(absl::Seconds(15));
    const std::size_t holder = site.decider();
    std::size_t running = 0;
    for (const auto &node : site.gangs.nodes) {
        for (const task_run &run : node->current().runs())
            running += run.until == absl::InfiniteFuture() ? 1 : 0;
    }
    if (running != 6)
        return {false, absl::StrFormat("borrowed work fills only %d of 6 workers", running)};
    if (logDown) {
        site.setLogDown(true);
        site.clock.runFor(absl::Seconds(4));
    }
    const job_spec spec = urgentSpec();
    const absl::Time submittedAt = site.clock.now();
    site.submit(holder, spec);
    if (const std::string late = checkStartTime(site, spec, submittedAt); !late.empty())
        return {false, late};
    site.setLogDown(false);
    site.clock.runFor(absl::Seconds(20));
    if (site.stateAt(site.otherThan(holder), spec.id) != job_state::Running)
        return {false, "the urgent job is not recorded as Running"};
    const std::string violation = site.violation(spec);
    return {violation.empty(), violation};
}

std::vector<cell> build()
{
    std::vector<cell> all;
    const auto add = [&](const std::string &step, const outage_plan &plan) {
        all.push_back({"I4",
                       "cluster-log-down",
                       step,
                       [plan](const auto &context) { return runOutage(context, plan); },
                       {}});
    };
    const auto logReturnsAfter
        = [](absl::Duration after) { return outage_plan {.downAfter = after}; };
    add("back-before-start", logReturnsAfter(absl::Milliseconds(2)));
    add("back-at-reserve", logReturnsAfter(absl::Milliseconds(8)));
    add("back-while-running", logReturnsAfter(absl::Seconds(4)));
    add("back-after-completion", logReturnsAfter(absl::Seconds(20)));
    const absl::Duration afterCompletion = absl::Seconds(20);
    add("repeat-same-entry", {.downAfter = afterCompletion, .repeatSame = true});
    add("repeat-other-entry", {.downAfter = afterCompletion, .repeatOther = true});
    add("repeat-while-running", {.downAfter = absl::Seconds(4), .repeatOther = true});
    add("submitted-at-outage",
        {.downBefore = absl::ZeroDuration(), .downAfter = absl::Seconds(20)});
    add("holder-killed", {.downAfter = absl::Seconds(4), .killHolder = true});
    add("holder-killed-not-repeatable",
        {.downAfter = absl::Seconds(4), .killHolder = true, .repeatable = false});
    add("holder-killed-back-after-completion", {.downAfter = afterCompletion, .killHolder = true});
    add("holder-killed-caller-repeats",
        {.downAfter = absl::Seconds(4), .repeatOther = true, .killHolder = true});
    for (std::size_t number = 1; number <= 3; ++number) {
        all.push_back({"I4",
                       "cluster-log-down",
                       absl::StrFormat("with-answer-%d", number),
                       [number](const auto &context) { return downAfterAppend(context, number); },
                       {}});
    }
    for (const bool atHolder : {false, true}) {
        all.push_back({"I4",
                       "cluster-log-down",
                       atHolder ? "refused-other-work" : "refused-elsewhere",
                       [atHolder](const auto &context) {
                           return refusedInOutage(context, atHolder, !atHolder);
                       },
                       {}});
    }
    for (const bool logDown : {false, true}) {
        all.push_back({"I1",
                       "cluster-full-of-borrowed",
                       logDown ? "log-down" : "log-up",
                       [logDown](const auto &context) { return reclaimFullSite(context, logDown); },
                       {}});
    }
    return all;
}

const cell_registration Registration(build);

} // namespace

} // namespace hyssoppond::faults
