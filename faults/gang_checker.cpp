/// @file Checker of the invariants of gangs over the workers' own records.
#include "gang_site_base.h"

#include <absl/strings/str_format.h>

#include <map>
#include <set>

namespace hyssoppond::faults {

namespace {

struct member_run
{
    std::uint32_t member;
    absl::Time from;
    absl::Time until;
};

using runs_by_attempt = std::map<attempt_number, std::vector<member_run>>;

runs_by_attempt runsOf(gang_site &site, const job_id &job)
{
    runs_by_attempt all;
    for (const auto &node : site.nodes) {
        for (const auto &worker : node->workers) {
            for (const task_run &run : worker->runs()) {
                if (run.id.job == job) {
                    const absl::Time until = std::min(run.until, site.clock.now());
                    all[run.id.attempt].push_back({run.id.member, run.from, until});
                }
            }
        }
    }
    return all;
}

/// Longest time in which some but not all members ran.
absl::Duration longestPartial(const std::vector<member_run> &runs, std::size_t members)
{
    std::map<absl::Time, std::vector<std::pair<std::uint32_t, int>>> changes;
    for (const member_run &run : runs) {
        changes[run.from].emplace_back(run.member, 1);
        changes[run.until].emplace_back(run.member, -1);
    }
    std::map<std::uint32_t, int> running;
    absl::Time partialSince = absl::InfiniteFuture();
    absl::Duration longest;
    for (const auto &[changedAt, changesAtTime] : changes) {
        for (const auto &[member, step] : changesAtTime) {
            running[member] += step;
            if (running[member] == 0)
                running.erase(member);
        }
        const bool partial = !running.empty() && running.size() < members;
        if (partial && partialSince == absl::InfiniteFuture())
            partialSince = changedAt;
        if (!partial && partialSince != absl::InfiniteFuture()) {
            longest = std::max(longest, changedAt - partialSince);
            partialSince = absl::InfiniteFuture();
        }
    }
    return longest;
}

std::string checkEnds(const gang_site &site, const job_id &job, const runs_by_attempt &attempts)
{
    std::set<attempt_number> ended;
    for (const attempt_end &end : site.ends) {
        if (end.job != job)
            continue;
        if (!ended.insert(end.attempt).second)
            return absl::StrFormat("I4: attempt %d was reported as ended twice", end.attempt);
        const auto it = attempts.find(end.attempt);
        if (it == attempts.end())
            continue;
        if (end.outcome == attempt_outcome::Aborted)
            return absl::StrFormat("I4: attempt %d was reported as aborted but ran", end.attempt);
        for (const member_run &run : it->second) {
            if (run.until > end.at)
                return absl::StrFormat("I4: attempt %d ran after its reported end", end.attempt);
        }
    }
    return {};
}

} // namespace

std::string violationOf(gang_site &site, const job_id &job, std::size_t members, bool repeatable)
{
    const runs_by_attempt attempts = runsOf(site, job);
    // One lease, the clock skew and some round trips on the slowest links of the cells.
    const absl::Duration bound
        = site.options.lease + site.options.maxClockSkew + absl::Milliseconds(100);
    for (const auto &[number, runs] : attempts) {
        std::set<std::uint32_t> startedMembers;
        for (const member_run &run : runs) {
            if (!startedMembers.insert(run.member).second)
                return absl::StrFormat("I5: a member of attempt %d ran twice", number);
        }
        const absl::Duration partial = longestPartial(runs, members);
        if (partial > bound) {
            return absl::StrFormat("I2: a part of attempt %d ran for %s without the rest", number,
                                   std::string(absl::FormatDuration(partial)));
        }
        for (const auto &[other, otherRuns] : attempts) {
            for (const member_run &a : runs) {
                for (const member_run &b : otherRuns) {
                    if (number < other && a.from < b.until && b.from < a.until)
                        return absl::StrFormat("I5: attempts %d and %d ran at the same time",
                                               number, other);
                }
            }
        }
    }
    if (!repeatable && attempts.size() > 1)
        return "I5: a job that is not repeatable ran in two attempts";
    return checkEnds(site, job, attempts);
}

} // namespace hyssoppond::faults
