/// @file Implementation of the fake store.
#include "hyssoppond/fakes/fake_store_base.h"

#include <algorithm>

namespace hyssoppond {

namespace {

using batch::store_outcome;

/// Between two looks for a record by a long read.
constexpr absl::Duration ReadPoll = absl::Milliseconds(5);

/// Appends whose answers the store repeats.
constexpr std::size_t RememberedAppends = 5;

} // namespace

std::uint64_t fake_store::put(const std::string &topic, const std::string &key,
                              const std::string &value)
{
    topic_state &state = m_topics[topic];
    state.newest[key] = state.records.size();
    state.records.push_back({key, value, state.records.size()});
    return state.records.size() - 1;
}

std::uint64_t fake_store::endOf(const std::string &topic) const
{
    const auto found = m_topics.find(topic);
    return found == m_topics.end() ? 0 : found->second.records.size();
}

batch::append_answer fake_store::apply(const batch::append_request &request)
{
    topic_state &state = m_topics[request.topic];
    if (request.producer) {
        producer_state &producer = state.producers[request.producer->name];
        if (request.producer->epoch < producer.epoch)
            return {store_outcome::Fenced, 0};
        if (request.producer->epoch > producer.epoch) {
            producer = {};
            producer.epoch = request.producer->epoch;
            producer.sequence = request.producer->sequence - 1;
        }
        const auto repeated = producer.offsets.find(request.producer->sequence);
        if (repeated != producer.offsets.end())
            return {store_outcome::Ok, repeated->second};
        if (request.producer->sequence != producer.sequence + 1)
            return {store_outcome::OutOfSequence, 0};
        ++producer.sequence;
        producer.offsets[producer.sequence] = state.records.size();
        while (producer.offsets.size() > RememberedAppends)
            producer.offsets.erase(producer.offsets.begin());
    }
    const std::uint64_t offset = state.records.size();
    for (const batch::stored_record &one : request.records)
        put(request.topic, one.key, one.value);
    return {store_outcome::Ok, offset};
}

batch::read_answer fake_store::readNow(const batch::read_request &request) const
{
    batch::read_answer answer;
    answer.outcome = store_outcome::Ok;
    const auto found = m_topics.find(request.topic);
    if (found == m_topics.end())
        return answer;
    const auto &records = found->second.records;
    answer.end = records.size();
    answer.first = records.size() > keptRecords ? records.size() - keptRecords : 0;
    if (request.from < answer.first) {
        answer.outcome = store_outcome::Expired;
        return answer;
    }
    for (std::size_t i = request.from; i < records.size(); ++i)
        answer.records.push_back(records[i]);
    return answer;
}

void fake_store::waitForRecord(const batch::read_request &request, absl::Time until,
                               const std::function<void(batch::read_answer)> &answer)
{
    batch::read_answer current = readNow(request);
    if (!current.records.empty() || current.outcome != store_outcome::Ok
        || m_clock->now() >= until) {
        answer(std::move(current));
        return;
    }
    m_clock->after(ReadPoll,
                   [this, request, until, answer] { waitForRecord(request, until, answer); });
}

void fake_store::settleGroup(group_state *group)
{
    std::erase_if(group->members,
                  [this](const auto &entry) { return entry.second.until <= m_clock->now(); });
    if (!group->members.contains(group->holder)) {
        group->holder = group->members.empty() ? "" : group->members.begin()->first;
        ++group->generation;
    }
}

batch::join_answer fake_store::joinNow(const batch::join_request &request)
{
    group_state &group = m_groups[request.group];
    const bool joinsAnew = !group.members.contains(request.member);
    group.members[request.member].until = m_clock->now() + request.ttl;
    if (joinsAnew)
        ++group.generation;
    settleGroup(&group);
    // Partitions are dealt by name. A holder keeps its own until it knows the newest generation.
    const std::string &dealtTo = group.members.begin()->first;
    const bool givesUp = group.holder == request.member && dealtTo != request.member;
    if (givesUp && request.generation == group.generation)
        group.holder = dealtTo;
    batch::join_answer answer;
    answer.outcome = store_outcome::Ok;
    answer.generation = group.generation;
    if (group.holder == request.member && !givesUp)
        answer.partitions.push_back(0);
    return answer;
}

batch::store_port fake_store::portOf(const std::string &client, std::shared_ptr<bool> alive)
{
    const std::shared_ptr<bool> living = std::move(alive);
    // Calls `done` with `failure` if the client's faults stop the call; else says to go on.
    const auto blocked = [this, client, living](auto done, auto failure, absl::Time deadline) {
        ++calls;
        const store_faults &fault = faults[client];
        if (fault.silent) {
            m_clock->at(deadline, [living, done, failure]() mutable {
                failure.outcome = store_outcome::Unknown;
                if (*living)
                    done(failure);
            });
            return true;
        }
        if (fault.refuse) {
            m_clock->after(fault.answerDelay, [living, done, failure]() mutable {
                failure.outcome = store_outcome::Refused;
                if (*living)
                    done(failure);
            });
            return true;
        }
        return false;
    };
    const auto answerLater = [this, client, living](auto done, auto answer) {
        m_clock->after(faults[client].answerDelay, [living, done, answer] {
            if (*living)
                done(answer);
        });
    };
    batch::store_port port;
    port.append = [this, client, living, blocked,
                   answerLater](const batch::append_request &request,
                                const std::function<void(batch::append_answer)> &done) {
        if (blocked(done, batch::append_answer {}, request.deadline))
            return;
        const store_faults &fault = faults[client];
        const auto unanswered = [this, living, done, deadline = request.deadline] {
            m_clock->at(deadline, [living, done] {
                if (*living)
                    done({store_outcome::Unknown, 0});
            });
        };
        if (m_clock->uniform() < fault.executeLate) {
            m_clock->after(absl::Seconds(1 + 5 * m_clock->uniform()),
                           [this, request] { apply(request); });
            unanswered();
            return;
        }
        const batch::append_answer answer = apply(request);
        if (m_clock->uniform() < fault.loseAnswers)
            unanswered();
        else
            answerLater(done, answer);
    };
    port.read = [this, blocked, answerLater](const batch::read_request &request,
                                             const std::function<void(batch::read_answer)> &done) {
        if (blocked(done, batch::read_answer {}, request.deadline))
            return;
        waitForRecord(
            request, m_clock->now() + request.wait,
            [answerLater, done](const batch::read_answer &answer) { answerLater(done, answer); });
    };
    port.newest
        = [this, blocked, answerLater](const batch::newest_request &request,
                                       const std::function<void(batch::newest_answer)> &done) {
              if (blocked(done, batch::newest_answer {}, request.deadline))
                  return;
              const topic_state &state = m_topics[request.topic];
              batch::newest_answer answer;
              answer.outcome = store_outcome::Ok;
              answer.end = state.records.size();
              for (const auto &[key, index] : state.newest)
                  answer.records.push_back(state.records[index]);
              answerLater(done, answer);
          };
    port.join = [this, blocked, answerLater](const batch::join_request &request,
                                             const std::function<void(batch::join_answer)> &done) {
        if (!blocked(done, batch::join_answer {}, request.deadline))
            answerLater(done, joinNow(request));
    };
    port.leave = [this](const batch::join_request &request) {
        m_groups[request.group].members.erase(request.member);
    };
    return port;
}

} // namespace hyssoppond
