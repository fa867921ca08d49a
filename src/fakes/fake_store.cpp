/// @file Implementation of the fake store.
#include "hyssoppond/fakes/fake_store_base.h"

#include <algorithm>

namespace hyssoppond {

namespace {

using batch::store_outcome;

/// Interval in which a long read polls for a record.
constexpr absl::Duration ReadPollInterval = absl::Milliseconds(5);

/// Number of last appends of a producer whose repetition gets the first answer again.
constexpr std::size_t RememberedAppends = 5;

} // namespace

std::uint64_t fake_store::put(const std::string &topic, const std::string &key,
                              const std::string &value)
{
    topic_state &state = m_topics[topic];
    if (value.empty())
        state.newest.erase(key);
    else
        state.newest[key] = state.records.size();
    state.records.push_back({key, value, state.records.size()});
    return state.records.size() - 1;
}

std::uint64_t fake_store::endOf(const std::string &topic) const
{
    const auto found = m_topics.find(topic);
    return found == m_topics.end() ? 0 : found->second.records.size();
}

absl::Duration fake_store::waitingTime(const std::string &topic)
{
    return std::max(absl::ZeroDuration(), m_topics[topic].appendsDoneAt - m_clock->now());
}

absl::Time fake_store::enqueue(const batch::append_request &request,
                               const std::function<void(batch::append_answer)> &applied)
{
    topic_state &state = m_topics[request.topic];
    absl::Time doneAt = m_clock->now();
    // The store answers a repetition, and an earlier epoch, without carrying anything out.
    if (!isRepeatedOrFenced(state, request)) {
        doneAt = std::max(doneAt, state.appendsDoneAt) + appendTime * slowness;
        state.appendsDoneAt = doneAt;
    }
    m_clock->at(doneAt, [this, request, applied] { applied(apply(request)); });
    return doneAt;
}

bool fake_store::isRepeatedOrFenced(const topic_state &state, const batch::append_request &request)
{
    if (!request.producer)
        return false;
    const auto producer = state.producers.find(request.producer->name);
    return producer != state.producers.end()
        && (request.producer->epoch < producer->second.epoch
            || (request.producer->epoch == producer->second.epoch
                && request.producer->sequence <= producer->second.sequence));
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
    for (const batch::stored_record &record : request.records)
        put(request.topic, record.key, record.value);
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
    for (std::size_t i = request.from; i < records.size() && answer.records.size() < recordsPerRead;
         ++i)
        answer.records.push_back(records[i]);
    return answer;
}

batch::newest_answer fake_store::newestNow(const batch::newest_request &request) const
{
    batch::newest_answer answer;
    answer.outcome = store_outcome::Ok;
    const auto found = m_topics.find(request.topic);
    if (found == m_topics.end())
        return answer;
    const topic_state &state = found->second;
    answer.end = state.records.size();
    auto next = state.newest.upper_bound(request.afterKey);
    if (request.afterKey.empty())
        next = state.newest.begin();
    for (; next != state.newest.end() && answer.records.size() < recordsPerPage; ++next)
        answer.records.push_back(state.records[next->second]);
    answer.more = next != state.newest.end();
    return answer;
}

void fake_store::waitForRecord(const batch::read_request &request, absl::Time until,
                               const std::function<void(batch::read_answer)> &answer)
{
    batch::read_answer current = readNow(request);
    const bool waitElapsed = m_clock->now() >= until;
    // A topic that was never written to is not waited for.
    if (!current.records.empty() || current.outcome != store_outcome::Ok || waitElapsed
        || current.end == 0) {
        if (waitElapsed && current.records.empty())
            current.waited = request.wait;
        answer(std::move(current));
        return;
    }
    m_clock->after(ReadPollInterval,
                   [this, request, until, answer] { waitForRecord(request, until, answer); });
}

void fake_store::updateGroup(group_state *group)
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
    const bool isNewMember = !group.members.contains(request.member);
    group.members[request.member].until = m_clock->now() + request.ttl;
    if (isNewMember)
        ++group.generation;
    updateGroup(&group);
    // The partition is assigned to the first member by name. The former holder keeps it until its
    // request names the newest generation.
    const std::string &assignee = group.members.begin()->first;
    const bool mustRelease = group.holder == request.member && assignee != request.member;
    if (mustRelease && request.generation == group.generation)
        group.holder = assignee;
    batch::join_answer answer;
    answer.outcome = store_outcome::Ok;
    answer.generation = group.generation;
    if (group.holder == request.member && !mustRelease)
        answer.partitions.push_back(0);
    return answer;
}

batch::store_port fake_store::portOf(const std::string &client, std::shared_ptr<bool> alive)
{
    const std::shared_ptr<bool> clientAlive = std::move(alive);
    // Returns true if the client's faults block the call; `done` then gets `failure` later. Returns
    // false if the call is to be carried out.
    const auto blockedByFault
        = [this, client, clientAlive](auto done, auto failure, absl::Time deadline) {
              ++calls;
              const store_faults &fault = faults[client];
              if (fault.silent) {
                  m_clock->at(deadline, [clientAlive, done, failure]() mutable {
                      failure.outcome = store_outcome::Unknown;
                      if (*clientAlive)
                          done(failure);
                  });
                  return true;
              }
              if (fault.refuse) {
                  m_clock->after(fault.answerDelay, [clientAlive, done, failure]() mutable {
                      failure.outcome = store_outcome::Refused;
                      if (*clientAlive)
                          done(failure);
                  });
                  return true;
              }
              return false;
          };
    // An answer that is not complete at the deadline of its call never arrives.
    const auto answerLater
        = [this, client, clientAlive](auto done, auto answer, absl::Time deadline) {
              const absl::Time completeAt = m_clock->now() + faults[client].answerDelay * slowness;
              if (completeAt > deadline) {
                  answer = {};
                  answer.outcome = store_outcome::Unknown;
              }
              m_clock->at(std::min(completeAt, deadline), [clientAlive, done, answer] {
                  if (*clientAlive)
                      done(answer);
              });
          };
    batch::store_port port;
    port.append = [this, client, clientAlive, blockedByFault,
                   answerLater](const batch::append_request &request,
                                const std::function<void(batch::append_answer)> &done) {
        ++appends;
        if (blockedByFault(done, batch::append_answer {}, request.deadline))
            return;
        const store_faults &fault = faults[client];
        const auto answerUnknownAtDeadline
            = [this, clientAlive, done, deadline = request.deadline] {
                  m_clock->at(deadline, [clientAlive, done] {
                      if (*clientAlive)
                          done({store_outcome::Unknown, 0});
                  });
              };
        if (fault.silentAppendsTo.contains(request.topic)) {
            answerUnknownAtDeadline();
            return;
        }
        if (appendTime > absl::ZeroDuration()) {
            if (m_clock->uniform() < fault.executeLate) {
                m_clock->after(absl::Seconds(1 + 5 * m_clock->uniform()),
                               [this, request] { enqueue(request, [](const auto &) {}); });
                answerUnknownAtDeadline();
                return;
            }
            if (waitingTime(request.topic) > MaxQueuedTime) {
                ++refusedAppends;
                answerLater(done, batch::append_answer {store_outcome::Refused, 0},
                            request.deadline);
                return;
            }
            const absl::Duration answerDelay = fault.answerDelay * slowness;
            const auto answered = std::make_shared<bool>(m_clock->uniform() >= fault.loseAnswers);
            const absl::Time doneAt
                = enqueue(request,
                          [this, clientAlive, done, answered,
                           answerDelay](const batch::append_answer &answer) {
                              if (*answered)
                                  m_clock->after(answerDelay, [clientAlive, done, answer] {
                                      if (*clientAlive)
                                          done(answer);
                                  });
                          });
            if (doneAt + answerDelay > request.deadline)
                *answered = false;
            if (!*answered)
                answerUnknownAtDeadline();
            return;
        }
        if (m_clock->uniform() < fault.executeLate) {
            m_clock->after(absl::Seconds(1 + 5 * m_clock->uniform()),
                           [this, request] { apply(request); });
            answerUnknownAtDeadline();
            return;
        }
        const batch::append_answer answer = apply(request);
        if (m_clock->uniform() < fault.loseAnswers)
            answerUnknownAtDeadline();
        else
            // Tests hold an append back beyond its deadline and let it be answered then.
            answerLater(done, answer, absl::InfiniteFuture());
    };
    port.read = [this, client, clientAlive, blockedByFault,
                 answerLater](const batch::read_request &request,
                              const std::function<void(batch::read_answer)> &done) {
        if (blockedByFault(done, batch::read_answer {}, request.deadline))
            return;
        if (faults[client].silentReadsOf == request.topic) {
            m_clock->at(request.deadline, [clientAlive, done] {
                if (*clientAlive)
                    done({});
            });
            return;
        }
        waitForRecord(
            request, m_clock->now() + request.wait,
            [answerLater, done, deadline = request.deadline](const batch::read_answer &answer) {
                answerLater(done, answer, deadline);
            });
    };
    port.newest = [this, blockedByFault,
                   answerLater](const batch::newest_request &request,
                                const std::function<void(batch::newest_answer)> &done) {
        if (blockedByFault(done, batch::newest_answer {}, request.deadline))
            return;
        answerLater(done, newestNow(request), request.deadline);
    };
    port.join
        = [this, blockedByFault, answerLater](const batch::join_request &request,
                                              const std::function<void(batch::join_answer)> &done) {
              if (!blockedByFault(done, batch::join_answer {}, request.deadline))
                  answerLater(done, joinNow(request), request.deadline);
          };
    port.leave = [this](const batch::join_request &request) {
        m_groups[request.group].members.erase(request.member);
    };
    return port;
}

} // namespace hyssoppond
