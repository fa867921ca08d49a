/// @file The platform's keyed store in memory, with the faults that its clients meet.
#pragma once

#include "hyssoppond/batch/store_port.h"
#include "hyssoppond/fakes/virtual_clock_base.h"

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
    bool refuse = false;      ///< answers that nothing was done
    bool silent = false;      ///< neither acts nor answers
    double loseAnswers = 0.0; ///< share of appends that take effect without an answer
    double executeLate = 0.0; ///< share of appends that take effect 1 to 6 s later, unanswered
    absl::Duration answerDelay = absl::Milliseconds(4);
};

/// Shared by the processes of one test; each gets a port of its own.
class fake_store
{
public:
    explicit fake_store(virtual_clock *clock)
        : m_clock(clock)
    { }

    /// Port of `client`; no completion is called once `*alive` is false.
    batch::store_port portOf(const std::string &client, std::shared_ptr<bool> alive);

    std::map<std::string, store_faults> faults; ///< by client
    std::size_t calls = 0;
    std::size_t keptRecords = 100'000; ///< older records expire; the newest of a key stays

    /// Appends a record as the operator does.
    std::uint64_t put(const std::string &topic, const std::string &key, const std::string &value);
    std::uint64_t endOf(const std::string &topic) const;

private:
    struct producer_state
    {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::map<std::uint64_t, std::uint64_t> offsets; ///< of the last appends, by sequence
    };
    struct topic_state
    {
        std::vector<batch::stored_record> records;
        std::map<std::string, std::size_t> newest;
        std::map<std::string, producer_state> producers;
    };
    struct membership
    {
        absl::Time until;
    };
    struct group_state
    {
        std::map<std::string, membership> members;
        std::string holder; ///< of partition 0
        std::uint64_t generation = 0;
    };

    batch::append_answer apply(const batch::append_request &request);
    batch::read_answer readNow(const batch::read_request &request) const;
    void waitForRecord(const batch::read_request &request, absl::Time until,
                       const std::function<void(batch::read_answer)> &answer);
    batch::join_answer joinNow(const batch::join_request &request);
    void settleGroup(group_state *group);

    virtual_clock *m_clock;
    std::map<std::string, topic_state> m_topics;
    std::map<std::string, group_state> m_groups;
};

} // namespace hyssoppond
