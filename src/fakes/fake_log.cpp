/// @file Implementation of the fake log.
#include "hyssoppond/fakes/fake_log_base.h"

namespace hyssoppond {

void fake_log::retainFrom(journal_offset oldest)
{
    while (!m_records.empty() && m_records.front().offset < oldest)
        m_records.pop_front();
}

void fake_log::append(std::string payload, absl::Time,
                      std::function<void(result<journal_offset>)> done)
{
    if (faults.down)
        return;
    if (faults.refuse) {
        m_clock->after(faults.answerDelay, [done = std::move(done)] {
            done(fail(reason::LogUnavailable, "the log is down; repeat later"));
        });
        return;
    }
    const journal_offset offset = m_next++;
    m_records.push_back({offset, std::move(payload)});
    ++appends;
    if (faults.loseAppendAnswers)
        return;
    m_clock->after(faults.answerDelay, [done = std::move(done), offset] { done(offset); });
}

void fake_log::read(journal_offset from, std::size_t maxRecords, absl::Time,
                    std::function<void(result<log_batch>)> done)
{
    if (faults.down)
        return;
    result<log_batch> answer;
    const journal_offset oldest = m_records.empty() ? m_next : m_records.front().offset;
    if (faults.refuse) {
        answer = fail(reason::LogUnavailable, "the log is down; repeat later");
    } else if (from < oldest) {
        answer = fail(reason::Expired, "the offset is no longer kept; read from the oldest record");
    } else {
        answer->oldest = oldest;
        answer->next = m_next;
        for (std::size_t i = from - oldest;
             i < m_records.size() && i - (from - oldest) < maxRecords; ++i)
            answer->records.push_back(m_records[i]);
    }
    m_clock->after(faults.answerDelay,
                   [done = std::move(done), answer = std::move(answer)] { done(answer); });
}

} // namespace hyssoppond
