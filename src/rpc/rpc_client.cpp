/// @file Implementation of the client of the remote procedure calls.
#include "hyssoppond/rpc/rpc_client_base.h"

#include "hyssoppond/base/process_clock_base.h"

#include "rpc_codec_func.h"

#include <absl/random/random.h>
#include <absl/strings/match.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>
#include <curl/curl.h>

#include <algorithm>

namespace hyssoppond {

namespace {

constexpr absl::Duration ConnectTimeout = absl::Seconds(2);
constexpr absl::Duration InitialBackoff = absl::Milliseconds(50);
constexpr absl::Duration MaxBackoff = absl::Seconds(2);

/// HTTP answer to one request.
struct http_answer
{
    long status = 0;
    std::string body;
    bool binary = false; ///< the body is in binary protobuf, otherwise in JSON
};

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

std::string urlOf(const address &entry, const std::string &path)
{
    const bool v6 = entry.host.find(':') != std::string::npos;
    return v6 ? absl::StrFormat("http://[%s]:%d%s", entry.host, entry.port, path)
              : absl::StrFormat("http://%s:%d%s", entry.host, entry.port, path);
}

/// Copies a request and sets its field `retry`, if it has one. The field tells the server that an
/// earlier request with the same id had an unknown outcome.
std::unique_ptr<google::protobuf::Message> copyMarkedAsRetry(
    const google::protobuf::Message &request)
{
    std::unique_ptr<google::protobuf::Message> copy(request.New());
    copy->CopyFrom(request);
    const auto *field = copy->GetDescriptor()->FindFieldByName("retry");
    if (field != nullptr)
        copy->GetReflection()->SetBool(copy.get(), field, true);
    return copy;
}

/// Returns true if the request certainly did not reach the server.
bool neverSent(CURLcode code)
{
    return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST;
}

} // namespace

struct rpc_client::implementation
{
    rpc_client_options options;
    CURL *curl = curl_easy_init();
    absl::BitGen random;

    /// Sends one HTTP request, POST with `body` or GET if `body` is null. Error:
    /// reason::ConnectionFailed if no answer came until `deadline`; its state is execution::NotRun
    /// only if no connection was made.
    result<http_answer> exchange(const address &entry, const std::string &path,
                                 const std::string *body, absl::Time deadline);
};

result<http_answer> rpc_client::implementation::exchange(const address &entry,
                                                         const std::string &path,
                                                         const std::string *body,
                                                         absl::Time deadline)
{
    http_answer answer;
    curl_easy_reset(curl);
    const std::string url = urlOf(entry, path);
    const auto timeoutMs
        = std::max<std::int64_t>(1, absl::ToInt64Milliseconds(deadline - processNow()));
    const auto connectTimeoutMs = std::min(timeoutMs, absl::ToInt64Milliseconds(ConnectTimeout));
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(timeoutMs));
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectTimeoutMs));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer.body);
    curl_slist *headers = nullptr;
    if (body != nullptr) {
        const auto encoding = options.json ? body_encoding::Json : body_encoding::Binary;
        headers = curl_slist_append(
            headers, absl::StrFormat("Content-Type: %s", contentTypeOf(encoding)).c_str());
        headers = curl_slist_append(headers, "Expect:");
        curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body->data());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(body->size()));
    }
    const CURLcode code = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer.status);
    char *contentType = nullptr;
    curl_easy_getinfo(curl, CURLINFO_CONTENT_TYPE, &contentType);
    answer.binary
        = contentType != nullptr && absl::StartsWith(contentType, "application/x-protobuf");
    curl_slist_free_all(headers);
    if (code == CURLE_OK)
        return answer;
    // The connection may never answer again, so later requests open a new one.
    curl_easy_cleanup(curl);
    curl = curl_easy_init();
    return fail(reason::ConnectionFailed,
                absl::StrFormat("no answer from entry %s:%d: %s; check --entry and that the entry "
                                "runs",
                                entry.host, entry.port, curl_easy_strerror(code)),
                neverSent(code) ? execution::NotRun : execution::Unknown, processNow());
}

rpc_client::rpc_client(rpc_client_options options)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->options = std::move(options);
}

rpc_client::~rpc_client()
{
    curl_easy_cleanup(m_implementation->curl);
}

result<void> rpc_client::call(const std::string &path, const google::protobuf::Message &request,
                              google::protobuf::Message *answer, absl::Time deadline,
                              repetition mayRepeat)
{
    implementation &client = *m_implementation;
    const auto encoding = client.options.json ? body_encoding::Json : body_encoding::Binary;
    std::string body = encodeBody(request, encoding);
    const std::size_t entryCount = client.options.entries.size();
    if (entryCount == 0)
        return fail(reason::InvalidArgument, "no entry is known; give --entry HOST:PORT");
    std::size_t nextEntry = absl::Uniform<std::size_t>(client.random, 0, entryCount);
    absl::Duration backoff = InitialBackoff;
    bool mayHaveRun = false;
    for (std::size_t attempt = 1;; ++attempt) {
        // Half of the remaining time, at least 1 s, so that one silent entry does not use all of
        // it.
        const absl::Time now = processNow();
        const absl::Duration attemptTimeout = entryCount > 1 && mayRepeat == repetition::Allowed
            ? std::max(absl::Seconds(1), (deadline - now) / 2)
            : deadline - now;
        const auto httpAnswer
            = client.exchange(client.options.entries[nextEntry++ % entryCount], path, &body,
                              std::min(deadline, now + attemptTimeout));
        error problem;
        if (httpAnswer && httpAnswer->status == 200) {
            return decodeAnswer(httpAnswer->body,
                                httpAnswer->binary ? body_encoding::Binary : body_encoding::Json,
                                answer);
        }
        if (httpAnswer) {
            v1::Error message;
            const auto decoded = decodeAnswer(
                httpAnswer->body, httpAnswer->binary ? body_encoding::Binary : body_encoding::Json,
                &message);
            problem = decoded ? fromMessage(message, processNow()) : decoded.error();
        } else {
            problem = httpAnswer.error();
        }
        // An attempt that did not run does not tell whether an earlier attempt ran.
        mayHaveRun = mayHaveRun || problem.state == execution::Unknown;
        if (mayHaveRun && problem.state == execution::NotRun)
            problem.state = execution::Unknown;
        const bool mayResend
            = problem.state == execution::NotRun || mayRepeat == repetition::Allowed;
        const bool retryable = problem.retryAt != absl::InfiniteFuture();
        // The first attempt at each entry follows without delay.
        const absl::Duration jitter = backoff * absl::Uniform<double>(client.random, 0.0, 1.0)
            * (attempt < entryCount ? 0 : 1);
        const absl::Time retryTime = std::max(
            processNow() + jitter, attempt < entryCount ? processNow() : problem.retryAt);
        if (!mayResend || !retryable || retryTime >= deadline)
            return tl::unexpected<error>(std::move(problem));
        absl::SleepFor(retryTime - processNow());
        backoff = std::min(backoff * 2, MaxBackoff);
        if (problem.state == execution::Unknown)
            body = encodeBody(*copyMarkedAsRetry(request), encoding);
    }
}

result<std::string> rpc_client::get(const std::string &path, absl::Time deadline)
{
    result<std::string> lastFailure
        = fail(reason::InvalidArgument, "no entry is known; give --entry");
    for (const address &entry : m_implementation->options.entries) {
        const auto httpAnswer = m_implementation->exchange(entry, path, nullptr, deadline);
        if (httpAnswer && httpAnswer->status == 200)
            return httpAnswer->body;
        lastFailure = fail(reason::ConnectionFailed,
                           httpAnswer ? absl::StrFormat(
                               "entry answered HTTP status %d to GET %s; check that --entry "
                               "names a hyssoppond entry",
                               httpAnswer->status, path)
                                      : httpAnswer.error().message);
    }
    return lastFailure;
}

} // namespace hyssoppond
