/// @file Implementation of the counter registry on Boost.Histogram.
#include "hyssoppond/base/counters_base.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/histogram.hpp>

#include <cmath>

namespace hyssoppond {

namespace bh = boost::histogram;

namespace {

constexpr double SmallestLatencySeconds = 1e-4;
constexpr double LargestLatencySeconds = 1e4;
/// Ten bins for each decade, so that a quantile is within 26% of the true value.
constexpr unsigned LatencyBins = 80;

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;

} // namespace

struct counter_registry::histogram
{
    decltype(bh::make_histogram(latency_axis(1, 1.0, 2.0))) bins = bh::make_histogram(
        latency_axis(LatencyBins, SmallestLatencySeconds, LargestLatencySeconds));
    double sum = 0; ///< seconds
    std::uint64_t count = 0;
};

counter_registry::counter_registry() = default;
counter_registry::~counter_registry() = default;

void counter_registry::count(disposition outcome, reason why)
{
    const absl::MutexLock lock(&m_mutex);
    ++m_reasons[{outcome, why}];
}

void counter_registry::add(std::string_view name, std::uint64_t amount)
{
    const absl::MutexLock lock(&m_mutex);
    auto it = m_counters.find(name);
    if (it == m_counters.end())
        it = m_counters.emplace(name, 0).first;
    it->second += amount;
}

void counter_registry::set(std::string_view name, double value)
{
    const absl::MutexLock lock(&m_mutex);
    m_gauges.insert_or_assign(std::string(name), value);
}

void counter_registry::observe(std::string_view name, absl::Duration latency)
{
    const absl::MutexLock lock(&m_mutex);
    auto it = m_histograms.find(name);
    if (it == m_histograms.end())
        it = m_histograms.emplace(name, std::make_unique<histogram>()).first;
    const double seconds = absl::ToDoubleSeconds(latency);
    it->second->bins(std::max(seconds, SmallestLatencySeconds));
    it->second->sum += seconds;
    ++it->second->count;
}

std::uint64_t counter_registry::value(disposition outcome, reason why) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_reasons.find({outcome, why});
    return it == m_reasons.end() ? 0 : it->second;
}

std::uint64_t counter_registry::value(std::string_view name) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_counters.find(name);
    return it == m_counters.end() ? 0 : it->second;
}

absl::Duration counter_registry::quantile(std::string_view name, double fraction) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_histograms.find(name);
    if (it == m_histograms.end() || it->second->count == 0)
        return absl::ZeroDuration();
    const double targetCount = fraction * static_cast<double>(it->second->count);
    double cumulativeCount = 0;
    for (const auto &bin : bh::indexed(it->second->bins, bh::coverage::all)) {
        cumulativeCount += *bin;
        if (cumulativeCount >= targetCount)
            return absl::Seconds(std::min(bin.bin().upper(), LargestLatencySeconds));
    }
    return absl::Seconds(LargestLatencySeconds);
}

std::string counter_registry::renderPrometheus() const
{
    const absl::MutexLock lock(&m_mutex);
    std::string text = "# TYPE hyssoppond_reason_total counter\n";
    for (const auto &[key, count] : m_reasons) {
        absl::StrAppendFormat(&text, "hyssoppond_reason_total{event=\"%s\",reason=\"%s\"} %d\n",
                              DispositionNames.name(key.first), ReasonNames.name(key.second),
                              count);
    }
    for (const auto &[name, count] : m_counters) {
        absl::StrAppend(&text, "# TYPE hyssoppond_", name, "_total counter\nhyssoppond_", name,
                        "_total ", count, "\n");
    }
    for (const auto &[name, value] : m_gauges) {
        // 15 digits, because a journal offset above a million must not be rounded.
        absl::StrAppendFormat(&text, "# TYPE hyssoppond_%s gauge\nhyssoppond_%s %.15g\n", name,
                              name, value);
    }
    for (const auto &[name, data] : m_histograms) {
        absl::StrAppend(&text, "# TYPE hyssoppond_", name, "_seconds histogram\n");
        double cumulativeCount = 0;
        for (const auto &bin : bh::indexed(data->bins, bh::coverage::all)) {
            cumulativeCount += *bin;
            // Lists only every tenth bin edge, to keep the page small.
            if (bin.index() >= 0 && bin.index() < static_cast<int>(LatencyBins)
                && bin.index() % 10 == 9) {
                absl::StrAppend(&text, "hyssoppond_", name, "_seconds_bucket{le=\"",
                                bin.bin().upper(), "\"} ", cumulativeCount, "\n");
            }
        }
        absl::StrAppend(&text, "hyssoppond_", name, "_seconds_bucket{le=\"+Inf\"} ", data->count,
                        "\nhyssoppond_", name, "_seconds_sum ", data->sum, "\nhyssoppond_", name,
                        "_seconds_count ", data->count, "\n");
    }
    return text;
}

} // namespace hyssoppond
