/// @file Budget that bounds the share of requests that are sent again.
#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace hyssoppond {

/// Limits of a retry_budget.
struct retry_settings
{
    /// Retries earned by each request. The target is 0.1 in total; the rest is a reserve for
    /// advances that are not repaid yet.
    double perRequest = 0.09;
    /// Retries advanced per second. Without it, calls that wait for a retry would wait until their
    /// deadline once no new requests come.
    double perSecond = 0.2;
    double first = 10;   ///< advanced at the start, when no request has earned any
    double maxDebt = 10; ///< of advances; those beyond it are not repaid
    double most = 100;   ///< saved at most
};

/// Requests and time add fractions of a retry; each retry takes one. What the start and the time
/// add is an advance that the next requests repay: as a plain addition it raised the requests sent
/// per request offered to 1.105 with half of the endpoints failing.
class retry_budget
{
public:
    explicit retry_budget(retry_settings settings)
        : m_settings(settings)
        , m_saved(settings.first)
        , m_debt(std::min(settings.first, settings.maxDebt))
    { }

    /// Counts one request.
    void earn()
    {
        const double repaid = std::min(m_debt, m_settings.perRequest);
        m_debt -= repaid;
        add(m_settings.perRequest - repaid);
    }
    /// Takes one retry; false if there is none.
    bool take(absl::Time now)
    {
        advance(now);
        if (m_saved < 1)
            return false;
        m_saved -= 1;
        return true;
    }

private:
    void advance(absl::Time now)
    {
        if (m_advancedUntil != absl::InfinitePast() && m_saved < 1) {
            const double seconds = absl::ToDoubleSeconds(now - m_advancedUntil);
            const double retries = std::min(1.0, m_settings.perSecond * seconds);
            m_debt = std::min(m_settings.maxDebt, m_debt + retries);
            add(retries);
        }
        m_advancedUntil = now;
    }
    void add(double retries) { m_saved = std::min(m_settings.most, m_saved + retries); }

    retry_settings m_settings;
    double m_saved;
    double m_debt; ///< advances to be repaid
    absl::Time m_advancedUntil = absl::InfinitePast();
};

} // namespace hyssoppond
