/// @file Keys and codec of the batch journal, and look-ups in the site configuration.
#include "hyssoppond/base/checksummed_archive_func.h"
#include "hyssoppond/batch/batch_record_type.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Version byte of records and heartbeats.
constexpr std::uint8_t BatchRecordVersion = 1;

/// Largest record that is decoded, in bytes. The platform's store accepts records of up to 256 KiB.
constexpr std::size_t MaxRecordBytes = 262'144;

constexpr std::string_view EarlyCancellationPrefix = "x:";

struct key_of_record
{
    std::string operator()(const job_submitted &r) const { return "j:" + r.job.id.str(); }
    std::string operator()(const job_cancelled &r) const
    {
        // No team's early cancellation replaces that of another one, or that of a recorded job.
        if (!r.early)
            return "c:" + r.job.str();
        const std::string &team = r.early->team.str();
        return absl::StrCat(std::string(EarlyCancellationPrefix), r.job.str(), ":",
                            absl::Hex(XXH64(team.data(), team.size(), 0)));
    }
    std::string operator()(const job_begun &r) const { return "b:" + r.job.str(); }
    std::string operator()(const job_failed &r) const { return "f:" + r.job.str(); }
    std::string operator()(const run_ordered &r) const
    {
        return absl::StrCat("o:", toString(r.unit), ":", r.run);
    }
    std::string operator()(const run_stopping &r) const
    {
        return absl::StrCat("s:", toString(r.unit), ":", r.run);
    }
    std::string operator()(const run_ended &r) const
    {
        // The agent and the decider have keys of their own, so that neither end replaces the other
        // in the store and the first one takes effect on replay too.
        return absl::StrCat(r.byDecider ? "l:" : "e:", toString(r.unit), ":", r.run, ":", r.member);
    }
    std::string operator()(const process_started &r) const { return "a:" + r.process.str(); }
    std::string operator()(const process_ending &r) const { return "q:" + r.process.str(); }
    std::string operator()(const agent_announced &r) const { return "n:" + r.agent.str(); }
    std::string operator()(const agent_evicted &r) const { return "v:" + r.agent.str(); }
    std::string operator()(const zone_evacuated &r) const { return "z:" + r.zone; }
    std::string operator()(const decider_granted & /*r*/) const { return "decider"; }
};

} // namespace

std::string toString(const unit_id &unit)
{
    return absl::StrCat(unit.job.str(), ".", unit.occurrence, ".", unit.step, ".", unit.index);
}

const queue_policy *site_config::findQueue(const std::string &name) const
{
    const auto found = std::find_if(queues.begin(), queues.end(),
                                    [&](const queue_policy &one) { return one.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

const batch_team *site_config::findTeam(const team_id &id) const
{
    const auto found = std::find_if(teams.begin(), teams.end(),
                                    [&](const batch_team &one) { return one.id == id; });
    return found == teams.end() ? nullptr : &*found;
}

std::string keyOf(const batch_record &record)
{
    return std::visit(key_of_record {}, record);
}

std::string keyOf(const run_ended &ended, incarnation_number agentIncarnation)
{
    return absl::StrCat(key_of_record {}(ended), ":", agentIncarnation);
}

std::optional<job_id> jobOfEarlyCancellation(std::string_view key)
{
    const std::size_t end = key.rfind(':');
    if (!key.starts_with(EarlyCancellationPrefix) || end < EarlyCancellationPrefix.size())
        return std::nullopt;
    key = key.substr(0, end);
    return job_id(std::string(key.substr(EarlyCancellationPrefix.size())));
}

std::string encodeRecord(const batch_record &record)
{
    return encodeChecksummed(BatchRecordVersion, record);
}

result<batch_record> decodeRecord(std::string_view bytes)
{
    return decodeChecksummed<batch_record>(BatchRecordVersion, bytes, MaxRecordBytes);
}

std::string encodeAgentHeartbeat(const agent_heartbeat &heartbeat)
{
    return encodeChecksummed(BatchRecordVersion, heartbeat);
}

result<agent_heartbeat> decodeAgentHeartbeat(std::string_view bytes)
{
    return decodeChecksummed<agent_heartbeat>(BatchRecordVersion, bytes, MaxRecordBytes);
}

} // namespace hyssoppond::batch
