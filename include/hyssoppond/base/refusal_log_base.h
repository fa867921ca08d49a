/// @file Rate-limited log of refused clients.
#pragma once

#include "hyssoppond/base/log_func.h"

#include <absl/base/thread_annotations.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace hyssoppond {

/// Writes at most one line per second about refused clients and counts the lines left out, so that
/// a crowd cannot fill the log. Thread-safe.
class refusal_log
{
public:
    /// Logs that a client at `address` was turned away for `cause`.
    void write(const std::string &message, const std::string &address, const std::string &cause,
               absl::Time now)
    {
        std::uint64_t omitted = 0;
        {
            const absl::MutexLock lock(&m_mutex);
            if (now < m_nextAt) {
                ++m_omitted;
                return;
            }
            m_nextAt = now + absl::Seconds(1);
            omitted = m_omitted;
            m_omitted = 0;
        }
        writeLog(log_level::Warn, message,
                 {{"address", address}, {"reason", cause}, {"omitted", absl::StrCat(omitted)}});
    }

private:
    absl::Mutex m_mutex;
    absl::Time m_nextAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    std::uint64_t m_omitted ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace hyssoppond
