/// @file Program of platform_odd_entry_test.sh: prints entries that another writer may leave. Some
/// cannot be decoded, others can but hold what this system would not write.
#include "hyssoppond/batch/batch_record_type.h"
#include "hyssoppond/batch/peer_message_type.h"
#include "platform/store_adapter.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <iostream>
#include <limits>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace hyssoppond {
namespace {

using namespace batch;

constexpr std::uint32_t MaxCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t MaxNumber = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t MaxOffset = std::numeric_limits<std::uint64_t>::max();

/// Body of an append of `records` to the journal.
std::string journalEntry(const batch_record &record)
{
    return platform::encodeRecords(JournalTopic, {{keyOf(record), encodeRecord(record), 0}});
}

/// An ordinary job of the site of the test, but for what the caller changes.
batch_job usualJob(const std::string &id)
{
    batch_job job;
    job.id = job_id(id);
    job.queue = std::string("q");
    job.team = team_id("east");
    job.submittedMs = 1'700'000'000'000;
    batch_step step;
    step.count = 1;
    step.item = {1'000, 100, 0};
    step.estimateMs = 1'000;
    job.steps = {step};
    return job;
}

/// Body of an append of `value` to a topic of the operator.
std::string operatorEntry(const std::string &key, const std::string &value)
{
    return platform::encodeRecords(platform::OperatorTopic, {{key, value, 0}});
}

/// Bytes that are in no format, with a zero byte among them.
std::string noise(std::size_t size)
{
    std::string bytes(size, '\0');
    for (std::size_t i = 0; i < size; ++i)
        bytes[i] = static_cast<char>(i * 167 + i / 256);
    return bytes;
}

/// Entries that cannot be decoded.
void addUnreadable(std::map<std::string, std::string> *entries)
{
    const std::string deep(100'000, '[');
    const std::string longestKey(255, 'k');
    const std::vector<std::pair<std::string, std::string>> journalRecords {
        {"j:odd", noise(50)},     {"a:odd", "text"},
        {"\xff\xc0\x80", "\xff"}, {"", "without a key"},
        {"decider", "odd"},       {longestKey, noise(100'000)},
        {longestKey, ""},         {"o:odd", absl::StrCat("\x01", deep)},
    };
    std::vector<stored_record> records;
    records.reserve(journalRecords.size());
    for (const auto &[key, value] : journalRecords)
        records.push_back({key, value, 0});
    entries->emplace("journal:unreadable", platform::encodeRecords(JournalTopic, records));
    entries->emplace(
        "beats:unreadable",
        platform::encodeRecords(HeartbeatTopic, {{"", "", 0}, {"", noise(7), 0}, {"", deep, 0}}));
    for (const char *config : {"", "[]", "{\"version\":8", "{\"version\":1e400,\"routes\":[]}",
                               "{\"version\":-1,\"routes\":[]}", "\xff\xfe"})
        entries->emplace(absl::StrCat("operator:config-", entries->size()),
                         operatorEntry("config", config));
    entries->emplace("operator:deep-config",
                     operatorEntry("config", absl::StrCat("{\"version\":9,\"routes\":", deep)));
    entries->emplace("operator:other-key", operatorEntry("odd/\xff", noise(20)));
    entries->emplace("datagram:empty", "");
    entries->emplace("datagram:unreadable", "\x02odd");
    entries->emplace("datagram:longest", noise(60'000));
    entries->emplace("datagram:deep", deep.substr(0, 60'000));
}

std::map<std::string, std::string> allEntries()
{
    std::map<std::string, std::string> entries;
    addUnreadable(&entries);
    batch_job job = usualJob("00000000000000b1");
    job.steps[0].count = MaxCount;
    entries["journal:too-many-items"] = journalEntry(job_submitted {job});
    job = usualJob("00000000000000b2");
    job.repeats = MaxCount;
    entries["journal:too-many-occurrences"] = journalEntry(job_submitted {job});
    job = usualJob("00000000000000b3");
    job.steps[0].dependsOn = {MaxCount};
    entries["journal:no-such-dependency"] = journalEntry(job_submitted {job});
    job = usualJob("00000000000000b4");
    job.steps[0].item = {MaxNumber, MaxNumber, MaxNumber};
    entries["journal:amounts-too-large"] = journalEntry(job_submitted {job});
    job = usualJob("00000000000000b5");
    job.repeats = 2;
    job.firstRunMs = MaxNumber;
    job.intervalMs = MaxNumber;
    entries["journal:times-too-large"] = journalEntry(job_submitted {job});
    entries["journal:epoch-too-large"] = journalEntry(
        decider_granted {process_id("odd"), std::numeric_limits<epoch_number>::max()});
    run_ordered ordered;
    ordered.unit = {job_id("00000000000000c1"), 0, 0, 0};
    ordered.run = 1;
    entries["journal:order-without-members"] = journalEntry(ordered);
    ordered.run = MaxCount;
    ordered.members = {{0, process_id("odd"), 1}};
    entries["journal:run-too-large"] = journalEntry(ordered);

    agent_heartbeat heartbeat;
    heartbeat.agent = process_id("odd");
    heartbeat.workerStartMs = MaxNumber;
    heartbeat.stalled.resize(5'000, {"x", MaxCount});
    entries["beats:of-no-agent"]
        = platform::encodeRecords(HeartbeatTopic, {{"", encodeAgentHeartbeat(heartbeat), 0}});

    entries["datagram:wake-too-far"] = encodePeerMessage(wake_message {MaxOffset});
    entries["datagram:read-too-long"] = encodePeerMessage(
        relayed_read {1, "127.0.0.1:99999", JournalTopic, MaxOffset, MaxCount, MaxCount});
    entries["datagram:read-of-no-topic"]
        = encodePeerMessage(relayed_read {1, "nowhere", "", 0, 0, MaxCount});
    entries["datagram:reply-to-no-call"] = encodePeerMessage(relayed_append_reply {1, {}});
    return entries;
}

} // namespace
} // namespace hyssoppond

/// Prints the entry that the argument names, or without one the names of all entries, each
/// KIND:WHAT. An entry is a datagram or the body of an append. With --config FILE, prints the body
/// of an append of the configuration in the file.
int main(int argc, char **argv)
{
    const auto entries = hyssoppond::allEntries();
    const std::string name = argc > 1 ? argv[1] : "";
    if (name.empty()) {
        for (const auto &[known, content] : entries)
            std::cout << known << "\n";
        return 0;
    }
    if (name == "--config" && argc > 2) {
        std::ifstream file(argv[2]);
        std::ostringstream text;
        text << file.rdbuf();
        std::cout << hyssoppond::operatorEntry("config", text.str());
        return 0;
    }
    const auto found = entries.find(name);
    if (found == entries.end())
        return 1;
    std::cout << found->second;
    return 0;
}
