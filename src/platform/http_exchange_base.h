/// @file One HTTP exchange at a time over a kept connection of libcurl.
#pragma once

#include <absl/time/time.h>
#include <curl/curl.h>

#include <memory>
#include <optional>
#include <string>

namespace hyssoppond {

/// Timeouts of an exchange besides its deadline.
struct exchange_timeouts
{
    absl::Duration connect = absl::Seconds(1);
    absl::Duration stall = absl::Seconds(3); ///< rounded up to whole seconds
};

/// What came back.
struct http_answer
{
    long status = 0; ///< 0: no complete answer
    std::string body;
    std::string problem; ///< why there is no answer
    bool unsent = false; ///< nothing of the request has reached the server
};

/// Keeps one connection. After a failed exchange the next one uses a new connection, because a
/// connection can become silent for good while new ones work. Not thread-safe.
class http_exchange
{
public:
    explicit http_exchange(exchange_timeouts timeouts)
        : m_timeouts(timeouts)
    { }

    /// GET without `body`, else POST. Blocks until the answer is complete or `deadline` passes.
    http_answer run(const std::string &url, const std::optional<std::string> &body,
                    absl::Time deadline);

private:
    struct closer
    {
        void operator()(CURL *handle) const { curl_easy_cleanup(handle); }
    };

    exchange_timeouts m_timeouts;
    std::unique_ptr<CURL, closer> m_handle;
};

} // namespace hyssoppond
