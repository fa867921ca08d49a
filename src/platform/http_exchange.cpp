/// @file Implementation of the HTTP exchange.
#include "http_exchange_base.h"

#include "hyssoppond/base/process_clock_base.h"

#include <algorithm>

namespace hyssoppond {
namespace {

/// Size limit of an answer body. A longer body fails the exchange.
constexpr std::size_t MaxAnswerBytes = 32 * 1024 * 1024;

/// Write callback of libcurl: appends to the answer body. Returning 0 aborts the exchange.
std::size_t collectBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto &body = *static_cast<std::string *>(target);
    if (body.size() + size * count > MaxAnswerBytes)
        return 0;
    body.append(data, size * count);
    return size * count;
}

/// Request body and the number of its bytes that libcurl has read so far.
struct body_source
{
    const std::string *body = nullptr;
    std::size_t sent = 0;
};

/// Read callback of libcurl: copies the next bytes of the request body; returns their number.
std::size_t supplyBody(char *target, std::size_t size, std::size_t count, void *userData)
{
    auto &source = *static_cast<body_source *>(userData);
    const std::size_t copied = source.body->copy(target, size * count, source.sent);
    source.sent += copied;
    return copied;
}

/// Whole milliseconds, at least 1, because 0 means the default or no limit to libcurl.
long toMilliseconds(absl::Duration duration)
{
    return static_cast<long>(std::max<std::int64_t>(1, absl::ToInt64Milliseconds(duration)));
}

} // namespace

http_answer http_exchange::run(const std::string &url, const std::optional<std::string> &body,
                               absl::Time deadline)
{
    http_answer answer;
    const absl::Duration remaining = deadline - processNow();
    // libcurl repeats a request by itself when a kept connection turns out to be closed. A failed
    // connect therefore proves that nothing was sent only if the handle is new.
    const bool isNewHandle = !m_handle;
    if (isNewHandle)
        m_handle.reset(curl_easy_init());
    if (remaining <= absl::ZeroDuration() || !m_handle) {
        answer.failureReason = "the deadline passed before the request was sent";
        answer.unsent = true;
        return answer;
    }
    CURL *handle = m_handle.get();
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, toMilliseconds(m_timeouts.connect));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, toMilliseconds(remaining));
    curl_easy_setopt(handle, CURLOPT_LOW_SPEED_LIMIT, 1L);
    curl_easy_setopt(handle, CURLOPT_LOW_SPEED_TIME,
                     (toMilliseconds(m_timeouts.stall) + 999L) / 1000L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, collectBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.body);
    body_source source {body ? &*body : nullptr};
    struct curl_slist *headers = nullptr;
    if (body) {
        // An empty "Expect" header makes libcurl send a large body at once instead of waiting for
        // the status "100 Continue".
        headers = curl_slist_append(nullptr, "Expect:");
        headers = curl_slist_append(headers, "Content-Type: application/octet-stream");
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body->size()));
        // The body is read through a callback that cannot seek. libcurl can therefore not send it
        // again by itself when a kept connection breaks.
        curl_easy_setopt(handle, CURLOPT_READFUNCTION, supplyBody);
        curl_easy_setopt(handle, CURLOPT_READDATA, &source);
    }
    const CURLcode code = curl_easy_perform(handle);
    if (code == CURLE_OK) {
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &answer.status);
    } else {
        answer.failureReason = curl_easy_strerror(code);
        answer.unsent = isNewHandle && code == CURLE_COULDNT_CONNECT;
        m_handle.reset();
    }
    curl_slist_free_all(headers);
    return answer;
}

} // namespace hyssoppond
