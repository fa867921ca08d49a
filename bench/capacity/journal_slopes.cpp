/// @file Slopes of the journal: bytes of each record, replay, snapshots and memory of the state.
#include "slope_base.h"
#include "traffic_base.h"

#include "hyssoppond/journal/cluster_state_base.h"
#include "hyssoppond/journal/record_codec_func.h"

#include <stdexcept>

namespace hyssoppond::capacity {
namespace {

using report_hook = std::function<void(const point &)>;
namespace jnl = hyssoppond::journal;

const jnl::domain_id Domain("region-0");
const absl::Time Start = absl::FromUnixSeconds(1'000'000);
// 220,000 running tasks in 10,000 running jobs (24,000 jobs a day of 10 hours each).
constexpr std::size_t MeanMembers = 22;
constexpr std::size_t Accelerators = 16; ///< per worker in this part

/// Writes each record as a batch of its own, as the journal does under low load, and applies it to
/// a state.
class journal_writer
{
public:
    journal_writer()
    {
        state.setListener([this](journal_offset, const jnl::journal_record &,
                                 const jnl::verdict &decision) { m_accepted = decision.accepted; });
        add(jnl::decider_grant {Domain, m_self, 1, 1, Start + absl::Minutes(30), Start});
    }

    jnl::cluster_state state;

    /// Appends one record and returns the bytes of its payload; throws if it is not accepted.
    std::size_t add(jnl::record_body body)
    {
        const jnl::journal_record record {
            {m_self, 1, ++m_counter}, Start + absl::Milliseconds(m_counter), std::move(body)};
        const std::string payload = jnl::encodeBatch({record});
        bytes += payload.size();
        ++records;
        const double before = processorSeconds();
        if (!state.apply(state.offset() + 1, payload) || !m_accepted)
            throw std::runtime_error("a record of the capacity program was not accepted");
        applySeconds += processorSeconds() - before;
        return payload.size();
    }

    std::uint64_t bytes = 0;
    std::uint64_t records = 0;
    double applySeconds = 0;

private:
    process_id m_self {"entry-region-0-zone-0-17"};
    std::uint64_t m_counter = 0;
    bool m_accepted = false;
};

/// Payload bytes of the records of one job.
struct job_bytes
{
    std::size_t submitted = 0;
    std::size_t placed = 0;
    std::size_t started = 0;
    std::size_t ended = 0;
};

job_spec specOf(std::size_t number, std::size_t members, std::size_t teams)
{
    job_spec spec;
    spec.request = request_id("request-" + std::to_string(number));
    spec.team = team_id("team-" + std::to_string(number % teams));
    spec.id = jobIdFor(spec.team, spec.request);
    spec.caller = caller_id("caller-" + std::to_string(number % 4));
    spec.wanted = {static_cast<std::uint32_t>(members), 1, adjacency::Zone};
    spec.submittedAt = Start;
    spec.declaredRunSeconds = 36000;
    spec.command = "train --model m --steps 100000"; // 30 bytes
    return spec;
}

std::vector<gang_member> membersOf(std::size_t first, std::size_t count)
{
    std::vector<gang_member> members;
    for (std::size_t i = first; i < first + count; ++i) {
        const std::string worker = std::to_string(i / Accelerators);
        members.push_back({worker_id("worker-" + worker), process_id("agent-" + worker),
                           static_cast<accelerator_mask>(1U << (i % Accelerators))});
    }
    return members;
}

/// Submits, places and starts a job on free accelerators; `endJobs` also ends it.
job_bytes addJob(journal_writer &target, std::size_t number, std::size_t members, std::size_t teams,
                 bool endJobs)
{
    const job_spec spec = specOf(number, members, teams);
    job_bytes out;
    out.submitted = target.add(jnl::job_submitted {spec});
    out.placed = target.add(
        jnl::job_placed {Domain, spec.id, 1, 1, membersOf(number * members, members), {}});
    out.started = target.add(jnl::gang_started {Domain, spec.id, 1, 1, Start});
    if (endJobs) {
        out.ended = target.add(
            jnl::attempt_ended {Domain, spec.id, 1, 1, attempt_outcome::Completed, Start, 36000});
    }
    return out;
}

endpoint endpointOf(std::size_t number)
{
    const std::string name = std::to_string(number);
    endpoint described;
    described.agent = process_id("agent-" + name);
    described.incarnation = 1;
    described.control = {"10.0.0.1", 7400};
    described.zone = zone_id("zone-" + std::to_string(number % 15));
    described.servedWorker.id = worker_id("worker-" + name);
    described.servedWorker.agent = described.agent;
    described.servedWorker.rack = rack_id("rack-" + std::to_string(number / 30));
    described.servedWorker.zone = described.zone;
    described.servedWorker.accelerators = 2;
    described.servedRunner.id = runner_id("runner-" + name);
    described.servedRunner.agent = described.agent;
    described.servedRunner.zone = described.zone;
    return described;
}

void measureJobRecords(const report_hook &report)
{
    for (const std::size_t members : {1, 8, 64, 512}) {
        journal_writer log;
        const job_bytes job = addJob(log, 1000, members, 750, true);
        const auto add = [&](const char *measure, std::size_t bytes) {
            report({measure, members, static_cast<double>(bytes)});
        };
        add("bytes_of_job_submitted", job.submitted);
        add("bytes_of_job_placed", job.placed);
        add("bytes_of_gang_started", job.started);
        add("bytes_of_attempt_ended", job.ended);
        add("bytes_per_job", job.submitted + job.placed + job.started + job.ended);
        add("records_per_job", 4);
    }
}

void measureOtherRecords(const report_hook &report)
{
    journal_writer log;
    const double grant = static_cast<double>(log.bytes);
    report({"bytes_of_decider_grant", 1, grant});
    const std::size_t change = log.add(jnl::config_changed {
        "contract/team-100/training", std::string(64, 'v'), 0, request_id("r-1"), "operator-1"});
    report({"bytes_of_config_changed", 1, static_cast<double>(change)});
    const std::size_t announced = log.add(jnl::endpoint_announced {endpointOf(20999)});
    const std::size_t removed = log.add(jnl::endpoint_removed {endpointOf(20999).agent, 1});
    report({"bytes_per_endpoint_restart", 1, static_cast<double>(announced + removed)});
}

/// Measures replay, snapshot and memory of a state with `jobs` running jobs, or ended ones.
void measureReplay(std::size_t jobs, std::size_t teams, bool endJobs, const report_hook &report)
{
    const std::string kind = std::string(endJobs ? "_ended_jobs" : "_running_jobs") + "_of_"
        + std::to_string(teams) + "_teams";
    const double heapBefore = heapBytes();
    journal_writer log;
    for (std::size_t i = 0; i < jobs; ++i)
        addJob(log, i, MeanMembers, teams, endJobs);
    const auto count = static_cast<double>(jobs);
    report({"replay_bytes_per_job" + kind, jobs, static_cast<double>(log.bytes) / count});
    report({"apply_microseconds_per_record" + kind, jobs,
            log.applySeconds * 1e6 / static_cast<double>(log.records), true});
    report({"heap_bytes_per_job" + kind, jobs, (heapBytes() - heapBefore) / count, true});
    const double before = processorSeconds();
    const std::string encoded = log.state.encode();
    report({"snapshot_bytes_per_job" + kind, jobs, static_cast<double>(encoded.size()) / count});
    jnl::cluster_state copy;
    if (!copy.restore(encoded))
        throw std::runtime_error("the snapshot cannot be restored");
    report({"snapshot_encode_and_restore_microseconds_per_job" + kind, jobs,
            (processorSeconds() - before) * 1e6 / count, true});
}

void measureEndpoints(std::size_t endpoints, const report_hook &report)
{
    const double heapBefore = heapBytes();
    journal_writer log;
    for (std::size_t i = 0; i < endpoints; ++i)
        log.add(jnl::endpoint_announced {endpointOf(i)});
    const auto count = static_cast<double>(endpoints);
    report({"heap_bytes_per_endpoint", endpoints, (heapBytes() - heapBefore) / count, true});
    report({"snapshot_bytes_per_endpoint", endpoints,
            static_cast<double>(log.state.encode().size()) / count});
    report({"replay_bytes_per_endpoint", endpoints, static_cast<double>(log.bytes) / count});
}

void measure(std::size_t /*maxSize*/, const report_hook &report)
{
    measureJobRecords(report);
    measureOtherRecords(report);
    for (const std::size_t jobs : {1'000, 10'000}) {
        for (const std::size_t teams : {4, 750}) {
            measureReplay(jobs, teams, false, report);
            measureReplay(jobs, teams, true, report);
        }
    }
    for (const std::size_t endpoints : {1'000, 10'000})
        measureEndpoints(endpoints, report);
}

const part_registration Registration({"journal", measure});

} // namespace
} // namespace hyssoppond::capacity
