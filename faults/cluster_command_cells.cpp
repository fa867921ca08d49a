/// @file Cells of commands on jobs in each state, and of workers that refuse or leave.
#include "cluster_site_base.h"

#include <absl/strings/str_format.h>

namespace hyssoppond::faults {

namespace {

using journal::command_kind;

/// State of a job when the command arrives.
enum class job_stage : std::uint8_t { Queued, Held, Placed, Running, Suspended, Cancelled };

constexpr name_table<job_stage, 6> JobStageNames {
    {"queued", "held", "placed", "running", "suspended", "cancelled"}};

struct command_case
{
    job_stage stage;
    command_kind kind;
    bool accepted;
    job_state expected; ///< 20 s after the command
};

constexpr command_case CommandCases[] = {
    {job_stage::Queued, command_kind::Cancel, true, job_state::Cancelled},
    {job_stage::Queued, command_kind::Hold, true, job_state::Held},
    {job_stage::Queued, command_kind::Release, true, job_state::Queued},
    {job_stage::Queued, command_kind::Suspend, true, job_state::Suspended},
    {job_stage::Queued, command_kind::Resume, true, job_state::Queued},
    {job_stage::Queued, command_kind::Requeue, false, job_state::Queued},
    {job_stage::Held, command_kind::Cancel, true, job_state::Cancelled},
    {job_stage::Held, command_kind::Hold, true, job_state::Held},
    {job_stage::Held, command_kind::Release, true, job_state::Running},
    {job_stage::Held, command_kind::Suspend, false, job_state::Held},
    {job_stage::Held, command_kind::Resume, false, job_state::Held},
    {job_stage::Held, command_kind::Requeue, false, job_state::Held},
    {job_stage::Placed, command_kind::Cancel, true, job_state::Cancelled},
    {job_stage::Placed, command_kind::Hold, false, job_state::Running},
    {job_stage::Placed, command_kind::Release, false, job_state::Running},
    {job_stage::Placed, command_kind::Suspend, true, job_state::Suspended},
    {job_stage::Placed, command_kind::Resume, true, job_state::Running},
    {job_stage::Placed, command_kind::Requeue, true, job_state::Running},
    {job_stage::Running, command_kind::Cancel, true, job_state::Cancelled},
    {job_stage::Running, command_kind::Hold, false, job_state::Running},
    {job_stage::Running, command_kind::Release, false, job_state::Running},
    {job_stage::Running, command_kind::Suspend, true, job_state::Suspended},
    {job_stage::Running, command_kind::Resume, true, job_state::Running},
    {job_stage::Running, command_kind::Requeue, true, job_state::Running},
    {job_stage::Suspended, command_kind::Cancel, true, job_state::Cancelled},
    {job_stage::Suspended, command_kind::Hold, false, job_state::Suspended},
    {job_stage::Suspended, command_kind::Release, false, job_state::Suspended},
    {job_stage::Suspended, command_kind::Suspend, true, job_state::Suspended},
    {job_stage::Suspended, command_kind::Resume, true, job_state::Running},
    {job_stage::Suspended, command_kind::Requeue, false, job_state::Suspended},
    {job_stage::Cancelled, command_kind::Cancel, true, job_state::Cancelled},
    {job_stage::Cancelled, command_kind::Hold, false, job_state::Cancelled},
    {job_stage::Cancelled, command_kind::Release, false, job_state::Cancelled},
    {job_stage::Cancelled, command_kind::Suspend, false, job_state::Cancelled},
    {job_stage::Cancelled, command_kind::Resume, false, job_state::Cancelled},
    {job_stage::Cancelled, command_kind::Requeue, true, job_state::Running},
};

/// Brings a job to a stage; returns whether the job reached it.
bool bringToStage(cluster_site &site, const job_spec &spec, job_stage stage)
{
    if (stage == job_stage::Queued) {
        site.submit(0, cluster_site::spec("blocker"));
        site.clock.runFor(absl::Seconds(5));
    }
    bool placed = false;
    if (stage == job_stage::Placed) {
        site.atMessage(
            [](const gang_message &sent) { return std::holds_alternative<gang_reserve>(sent); },
            [&placed] { placed = true; });
    }
    job_spec sent = spec;
    sent.held = stage == job_stage::Held;
    site.submit(0, sent);
    if (stage == job_stage::Placed)
        return site.runUntil([&] { return placed; }, absl::Seconds(10));
    site.clock.runFor(absl::Seconds(5));
    if (stage == job_stage::Suspended)
        site.command(0, spec.id, command_kind::Suspend, "c-0");
    if (stage == job_stage::Cancelled)
        site.command(0, spec.id, command_kind::Cancel, "c-0");
    site.clock.runFor(absl::Seconds(15));
    const auto state = site.stateAt(0, spec.id);
    return state && JobStateNames.name(*state)[0] + ('a' - 'A') == JobStageNames.name(stage)[0];
}

cell_result runCommand(const cell_context &context, const command_case &testCase)
{
    cluster_site site(context.seed, 2, 2);
    const job_spec spec = cluster_site::spec("r-1");
    if (!bringToStage(site, spec, testCase.stage))
        return {false, "the job did not reach the state before the command"};
    const caller_reply &reply = site.command(1, spec.id, testCase.kind, "c-1");
    site.clock.runFor(absl::Seconds(20));
    if (reply.count != 1 || reply.isAccepted() != testCase.accepted)
        return {false, testCase.accepted ? "the command was refused" : "the command was accepted"};
    const auto state = site.stateAt(1, spec.id);
    if (state != testCase.expected) {
        return {false,
                absl::StrFormat("the state is %s instead of %s",
                                state ? JobStateNames.name(*state) : "unknown",
                                JobStateNames.name(testCase.expected))};
    }
    const std::size_t expected = testCase.expected == job_state::Running ? spec.wanted.members : 0;
    if (site.runningTasks(spec.id) != expected)
        return {false,
                absl::StrFormat("I2: %d tasks run in state %s", site.runningTasks(spec.id),
                                JobStateNames.name(testCase.expected))};
    const std::string violation = site.violation(spec);
    return {violation.empty(), violation};
}

cell_result refuseStarts(const cell_context &context)
{
    cluster_site site(context.seed, 3, 2);
    site.setRunTime(GangRunTime);
    site.gangs.nodes[context.seed % 3]->current().faults.refuseStarts = true;
    const job_spec spec = cluster_site::spec("r-1");
    site.submit(0, spec);
    return judgeCompleted(site, 1, spec);
}

cell_result leaveWhileRunning(const cell_context &context)
{
    cluster_site site(context.seed, 3, 2);
    site.setRunTime(GangRunTime);
    const job_spec spec = cluster_site::spec("r-1");
    site.submit(0, spec);
    if (!site.runUntil([&] { return site.runningTasks(spec.id) == 2; }, absl::Seconds(10)))
        return {false, "the gang did not start"};
    site.clock.runFor(absl::Seconds(1));
    std::size_t leaving = 0;
    while (site.gangs.nodes[leaving]->current().runs().empty())
        ++leaving;
    const absl::Time announced = site.clock.now();
    site.leaveAgent(leaving);
    for (int i = 0; i < 4; ++i)
        site.submit(0, cluster_site::spec(absl::StrFormat("later-%d", i)));
    cell_result outcome = judgeCompleted(site, 1, spec);
    for (const task_run &run : site.gangs.nodes[leaving]->current().runs()) {
        if (run.from > announced + absl::Seconds(3))
            return {false, "I6: a worker got new work 3 s after its agent announced to leave"};
    }
    return outcome;
}

std::vector<cell> build()
{
    std::vector<cell> all;
    for (const command_case &testCase : CommandCases) {
        all.push_back({"I2",
                       "cluster-command",
                       absl::StrFormat("%s-%s", JobStageNames.name(testCase.stage),
                                       journal::CommandKindNames.name(testCase.kind)),
                       [testCase](const auto &context) { return runCommand(context, testCase); },
                       {}});
    }
    all.push_back({"I2", "cluster-worker-refuses-starts", "any", refuseStarts, {}});
    all.push_back({"I6", "cluster-agent-leaves", "running", leaveWhileRunning, {}});
    return all;
}

const cell_registration Registration(build);

} // namespace

} // namespace hyssoppond::faults
