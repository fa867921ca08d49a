/// @file Budget that bounds the share of requests that are sent again.
#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace hyssoppond {

/// Limits of a retry_budget.
struct retry_settings
{
    /// Retries earned by each request. The target is 0.1 in total; the rest of it is left for the
    /// two allowances below.
    double perRequest = 0.09;
    /// Retries earned by time alone. Without it, calls that wait for a retry would wait until their
    /// deadline once no new requests come, for example while the entry drains.
    double perSecond = 0.2;
    double first
        = 10; ///< saved at the start, for a process that loses an agent before it earned any
    double most = 100; ///< saved at most
};

/// Requests and time add fractions of a retry; each retry takes one.
class retry_budget
{
public:
    explicit retry_budget(retry_settings settings)
        : m_settings(settings)
        , m_saved(settings.first)
    { }

    void earn() { add(m_settings.perRequest); }
    /// Takes one retry; false if there is none.
    bool take(absl::Time now)
    {
        if (m_earnedUntil != absl::InfinitePast())
            add(m_settings.perSecond * absl::ToDoubleSeconds(now - m_earnedUntil));
        m_earnedUntil = now;
        if (m_saved < 1)
            return false;
        m_saved -= 1;
        return true;
    }

private:
    void add(double retries) { m_saved = std::min(m_settings.most, m_saved + retries); }

    retry_settings m_settings;
    double m_saved;
    absl::Time m_earnedUntil = absl::InfinitePast();
};

} // namespace hyssoppond
