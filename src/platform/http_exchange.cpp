/// @file Implementation of the HTTP exchange.
#include "http_exchange_base.h"

#include <absl/time/clock.h>

#include <algorithm>

namespace hyssoppond {
namespace {

/// Longest answer that is read; a longer one fails the exchange.
constexpr std::size_t MaxAnswerBytes = 32 * 1024 * 1024;

std::size_t collect(char *bytes, std::size_t size, std::size_t count, void *target)
{
    auto &body = *static_cast<std::string *>(target);
    if (body.size() + size * count > MaxAnswerBytes)
        return 0;
    body.append(bytes, size * count);
    return size * count;
}

/// Part of a request body that is not sent yet.
struct body_source
{
    const std::string *body = nullptr;
    std::size_t sent = 0;
};

std::size_t supply(char *target, std::size_t size, std::size_t count, void *from)
{
    auto &source = *static_cast<body_source *>(from);
    const std::size_t taken = source.body->copy(target, size * count, source.sent);
    source.sent += taken;
    return taken;
}

long millisecondsOf(absl::Duration span)
{
    return static_cast<long>(std::max<std::int64_t>(1, absl::ToInt64Milliseconds(span)));
}

} // namespace

http_answer http_exchange::run(const std::string &url, const std::optional<std::string> &body,
                               absl::Time deadline)
{
    http_answer answer;
    const absl::Duration left = deadline - absl::Now();
    // libcurl repeats a request by itself when a kept connection turns out to be closed. Only on a
    // new handle does a failed connect prove that nothing was sent.
    const bool fresh = !m_handle;
    if (fresh)
        m_handle.reset(curl_easy_init());
    if (left <= absl::ZeroDuration() || !m_handle) {
        answer.problem = "the deadline passed before the request was sent";
        answer.unsent = true;
        return answer;
    }
    CURL *handle = m_handle.get();
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, millisecondsOf(m_timeouts.connect));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, millisecondsOf(left));
    curl_easy_setopt(handle, CURLOPT_LOW_SPEED_LIMIT, 1L);
    curl_easy_setopt(handle, CURLOPT_LOW_SPEED_TIME,
                     (millisecondsOf(m_timeouts.stall) + 999L) / 1000L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, collect);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.body);
    body_source source {body ? &*body : nullptr};
    struct curl_slist *headers = nullptr;
    if (body) {
        // Without "Expect", libcurl sends a large body at once instead of waiting for "Continue".
        headers = curl_slist_append(nullptr, "Expect:");
        headers = curl_slist_append(headers, "Content-Type: application/octet-stream");
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body->size()));
        // Read through a callback that cannot seek, so that libcurl does not send the body again by
        // itself when a kept connection breaks.
        curl_easy_setopt(handle, CURLOPT_READFUNCTION, supply);
        curl_easy_setopt(handle, CURLOPT_READDATA, &source);
    }
    const CURLcode code = curl_easy_perform(handle);
    if (code == CURLE_OK) {
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &answer.status);
    } else {
        answer.problem = curl_easy_strerror(code);
        answer.unsent = fresh && code == CURLE_COULDNT_CONNECT;
        m_handle.reset();
    }
    curl_slist_free_all(headers);
    return answer;
}

} // namespace hyssoppond
