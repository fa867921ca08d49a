/// @file Budget that limits retries to a share of the requests.
#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace hyssoppond {

/// Limits of a retry_budget.
struct retry_settings
{
    /// Retries that each request adds to the budget. The target is 0.1 retries per request in
    /// total; the difference is a reserve for advances that are not repaid yet.
    double perRequest = 0.09;
    /// Retries advanced per second while less than one is saved. Without this advance, calls would
    /// wait for a retry until their deadline once no new requests come.
    double perSecond = 0.2;
    double initialRetries = 10;   ///< advanced at the start, when no request has added any
    double maxDebt = 10;          ///< unrepaid advances, in retries; those beyond it are not repaid
    double maxSavedRetries = 100; ///< limit of unused retries
};

/// Requests and elapsed time add fractions of a retry to the budget, and each retry takes one. The
/// retries added at the start and by elapsed time are an advance that the next requests repay.
/// Without repayment they raised the requests sent per request offered to 1.105 with half of the
/// endpoints failing.
class retry_budget
{
public:
    explicit retry_budget(retry_settings settings)
        : m_settings(settings)
        , m_saved(settings.initialRetries)
        , m_debt(std::min(settings.initialRetries, settings.maxDebt))
    { }

    /// Counts one request: repays advances first and saves the rest.
    void earn()
    {
        const double repaid = std::min(m_debt, m_settings.perRequest);
        m_debt -= repaid;
        add(m_settings.perRequest - repaid);
    }
    /// A retry can be taken.
    bool canTake(absl::Time now)
    {
        advance(now);
        return m_saved >= 1;
    }
    /// Takes one retry; false if there is none.
    bool take(absl::Time now)
    {
        if (!canTake(now))
            return false;
        m_saved -= 1;
        return true;
    }
    /// Returns `retries` that were taken and were no additional load, as they were answered.
    void giveBack(double retries) { add(retries); }

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
    void add(double retries) { m_saved = std::min(m_settings.maxSavedRetries, m_saved + retries); }

    retry_settings m_settings;
    double m_saved;
    double m_debt; ///< advances to be repaid, in retries
    absl::Time m_advancedUntil = absl::InfinitePast();
};

} // namespace hyssoppond
