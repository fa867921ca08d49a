/// @file Budget that bounds the share of requests that are sent again.
#pragma once

#include <algorithm>

namespace hyssoppond {

/// Each request adds a fraction of a retry; each retry takes one. It starts empty, so that the
/// number of retries never exceeds the fraction of the requests.
class retry_budget
{
public:
    /// `perRequest` is the fraction earned, `most` the number of retries that can be saved up.
    retry_budget(double perRequest, double most)
        : m_perRequest(perRequest)
        , m_most(most)
    { }

    void earn() { m_saved = std::min(m_most, m_saved + m_perRequest); }
    /// Takes one retry; false if there is none.
    bool take()
    {
        if (m_saved < 1)
            return false;
        m_saved -= 1;
        return true;
    }

private:
    double m_perRequest;
    double m_most;
    double m_saved = 0;
};

} // namespace hyssoppond
