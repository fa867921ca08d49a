/// @file HTTP client for one exchange at a time over a kept connection of libcurl.
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
    absl::Duration stall = absl::Seconds(3); ///< without any byte moved; rounded up to seconds
};

/// Outcome of one exchange.
struct http_answer
{
    long status = 0; ///< 0: no complete answer
    std::string body;
    std::string failureReason; ///< empty if there is a complete answer
    bool unsent = false;       ///< certain that nothing of the request was sent
};

/// Keeps one connection open between exchanges. An exchange after a failed one opens a new
/// connection, because a connection can become silent for good while new ones work. Not
/// thread-safe.
class http_exchange
{
public:
    explicit http_exchange(exchange_timeouts timeouts)
        : m_timeouts(timeouts)
    { }

    /// Sends a GET request if there is no `body`, else a POST request. Blocks until the answer is
    /// complete, the exchange fails or `deadline` passes. Does not throw; see http_answer.
    http_answer run(const std::string &url, const std::optional<std::string> &body,
                    absl::Time deadline);

private:
    struct handle_deleter
    {
        void operator()(CURL *handle) const { curl_easy_cleanup(handle); }
    };

    exchange_timeouts m_timeouts;
    std::unique_ptr<CURL, handle_deleter> m_handle;
};

} // namespace hyssoppond
