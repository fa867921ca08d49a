/// @file In-memory fake of the platform's keyed store, with the faults that its clients meet.
#pragma once

#include "hyssoppond/batch/store_port.h"
#include "hyssoppond/fakes/virtual_clock_base.h"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoppond {

/// Faults that one client meets.
struct store_faults
{
    bool refuse = false;                   ///< answers Refused, without effect
    bool silent = false;                   ///< no effect and no answer
    std::string silentReadsOf;             ///< topic whose reads have no answer; empty: none
    std::set<std::string> silentAppendsTo; ///< topics to which appends have no effect and no answer
    double loseAnswers = 0.0;              ///< share of appends that take effect without an answer
    double executeLate = 0.0; ///< share of appends that take effect 1 to 6 s later, unanswered
    /// Answers to other calls than appends do not arrive after the deadline of their call.
    absl::Duration answerDelay = absl::Milliseconds(4);
};

/// Fake of the store, shared by all processes of one test. Each process gets its own port.
class fake_store
{
public:
    explicit fake_store(virtual_clock *clock)
        : m_clock(clock)
    { }

    /// Port of `client`. No completion is called once `*alive` is false.
    batch::store_port portOf(const std::string &client, std::shared_ptr<bool> alive);

    std::map<std::string, store_faults> faults; ///< by client
    /// Time that a partition takes for one append. Appends to a topic wait for each other, and are
    /// refused while more than MaxQueuedTime is waiting, but for those that take effect late. Zero:
    /// they take effect at once.
    absl::Duration appendTime = absl::ZeroDuration();
    double slowness = 1.0;          ///< factor of the time that each answer and each append takes
    std::size_t appends = 0;        ///< that arrived
    std::size_t refusedAppends = 0; ///< because too much was waiting
    std::size_t calls = 0;          ///< of all clients, without leave
    /// Older records of a topic expire; the newest of a key stays.
    std::size_t keptRecords = 100'000;
    /// Most records of one page of the newest records, and of one read. A page is computed when the
    /// call arrives, so several pages are not a snapshot.
    std::size_t recordsPerPage = std::numeric_limits<std::size_t>::max();
    std::size_t recordsPerRead = std::numeric_limits<std::size_t>::max();

    /// Appends a record without a producer, as an operator does. Returns its offset. An empty value
    /// removes the key from the newest records.
    std::uint64_t put(const std::string &topic, const std::string &key, const std::string &value);
    /// All records of `topic`, by offset; also those that have expired.
    const std::vector<batch::stored_record> &recordsOf(const std::string &topic)
    {
        return m_topics[topic].records;
    }
    /// Offset of the next append to `topic`.
    std::uint64_t endOf(const std::string &topic) const;

private:
    struct producer_state
    {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::map<std::uint64_t, std::uint64_t> offsets; ///< of the last few appends, by sequence
    };
    struct topic_state
    {
        std::vector<batch::stored_record> records;
        std::map<std::string, std::size_t> newest; ///< index in records, by key
        std::map<std::string, producer_state> producers;
        absl::Time appendsDoneAt = absl::InfinitePast(); ///< of the last append that waits
    };
    struct group_membership
    {
        absl::Time until; ///< when the membership expires
    };
    struct group_state
    {
        std::map<std::string, group_membership> members;
        std::string holder; ///< member that holds partition 0, the only one
        std::uint64_t generation = 0;
    };

    static constexpr absl::Duration MaxQueuedTime = absl::Seconds(2);

    /// Time until the appends that wait at the topic are carried out.
    absl::Duration waitingTime(const std::string &topic);
    /// Carries the append out after those that wait, and returns when.
    absl::Time enqueue(const batch::append_request &request,
                       const std::function<void(batch::append_answer)> &applied);
    static bool isRepeatedOrFenced(const topic_state &state, const batch::append_request &request);
    batch::append_answer apply(const batch::append_request &request);
    /// One page of the newest records.
    batch::newest_answer newestNow(const batch::newest_request &request) const;
    /// Answer to a read without waiting.
    batch::read_answer readNow(const batch::read_request &request) const;
    /// Long read: answers when there is a record or an error, or at `until`.
    void waitForRecord(const batch::read_request &request, absl::Time until,
                       const std::function<void(batch::read_answer)> &answer);
    batch::join_answer joinNow(const batch::join_request &request);
    /// Removes expired members and chooses a new holder if the former one is no longer a member.
    void updateGroup(group_state *group);

    virtual_clock *m_clock;
    std::map<std::string, topic_state> m_topics;
    std::map<std::string, group_state> m_groups;
};

} // namespace hyssoppond
