/// @file Counters for each reason and for named events, and latency histograms.
#pragma once

#include "hyssoppond/base/reason_type.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace hyssoppond {

/// How the request or message was handled for which a reason is counted.
enum class disposition : std::uint8_t {
    Refused, ///< answered with an error
    Retried, ///< tried again
    Dropped, ///< message ignored
};

/// Names of the dispositions.
inline constexpr name_table<disposition, 3> DispositionNames {{"refused", "retried", "dropped"}};

/// Registry of the counters and histograms of one process. Thread-safe.
class counter_registry
{
public:
    counter_registry();
    ~counter_registry();
    counter_registry(const counter_registry &) = delete;
    counter_registry &operator=(const counter_registry &) = delete;

    /// Counts one refusal, retry or drop.
    void count(disposition outcome, reason why);
    /// Adds `amount` to the counter `name` (letters, digits and underscores).
    void add(std::string_view name, std::uint64_t amount = 1);
    /// Sets the gauge `name`.
    void set(std::string_view name, double value);
    /// Records a latency in the histogram `name`.
    void observe(std::string_view name, absl::Duration latency);

    std::uint64_t value(disposition outcome, reason why) const;
    std::uint64_t value(std::string_view name) const;
    /// Quantile `fraction` (0 to 1) of the latencies in the histogram `name`; zero if it is empty.
    absl::Duration quantile(std::string_view name, double fraction) const;

    /// All values in the Prometheus text format; histograms in seconds.
    std::string renderPrometheus() const;

private:
    struct histogram;

    mutable absl::Mutex m_mutex;
    std::map<std::pair<disposition, reason>, std::uint64_t> m_reasons ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::uint64_t, std::less<>> m_counters ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, double, std::less<>> m_gauges ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::unique_ptr<histogram>, std::less<>> m_histograms
        ABSL_GUARDED_BY(m_mutex);
};

} // namespace hyssoppond
