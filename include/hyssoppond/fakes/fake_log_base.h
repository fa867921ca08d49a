/// @file In-memory fake of the platform's log, with outages, lost answers and limited retention.
#pragma once

#include "hyssoppond/fakes/virtual_clock_base.h"
#include "hyssoppond/platform/log_port.h"

#include <deque>

namespace hyssoppond {

/// Faults of a fake log.
struct log_faults
{
    bool down = false;              ///< neither acts nor answers
    bool refuse = false;            ///< answers LogUnavailable at once, without effect
    bool loseAppendAnswers = false; ///< the append takes effect, the answer is lost
    absl::Duration answerDelay = absl::Milliseconds(5);
};

/// Fake of the log service, shared by all processes of one test.
class fake_log : public log_port
{
public:
    explicit fake_log(virtual_clock *clock)
        : m_clock(clock)
    { }

    log_faults faults;
    std::uint64_t appends = 0; ///< appends that took effect

    /// Drops all records before `oldest`, as the retention of the platform does.
    void retainFrom(journal_offset oldest);
    const std::deque<log_record> &records() const { return m_records; }

    void append(std::string payload, absl::Time deadline,
                std::function<void(result<journal_offset>)> done) override;
    void read(journal_offset from, std::size_t maxRecords, absl::Time deadline,
              std::function<void(result<log_batch>)> done) override;

private:
    virtual_clock *m_clock;
    std::deque<log_record> m_records;
    journal_offset m_next = 1;
};

} // namespace hyssoppond
