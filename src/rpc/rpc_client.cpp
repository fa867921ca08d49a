/// @file Implementation of the client.
#include "hyssoppond/rpc/rpc_client_base.h"

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
constexpr absl::Duration FirstBackoff = absl::Milliseconds(50);
constexpr absl::Duration LargestBackoff = absl::Seconds(2);

/// Answer of one exchange on the wire.
struct http_answer
{
    long status = 0;
    std::string body;
    bool binary = false;
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

/// Copy of a request that says that an earlier one with its id had an unknown outcome.
std::unique_ptr<google::protobuf::Message> asRetry(const google::protobuf::Message &request)
{
    std::unique_ptr<google::protobuf::Message> copy(request.New());
    copy->CopyFrom(request);
    const auto *field = copy->GetDescriptor()->FindFieldByName("retry");
    if (field != nullptr)
        copy->GetReflection()->SetBool(copy.get(), field, true);
    return copy;
}

/// True if the request certainly never reached the server.
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
    const auto left = std::max<std::int64_t>(1, absl::ToInt64Milliseconds(deadline - absl::Now()));
    const auto connectLeft = std::min(left, absl::ToInt64Milliseconds(ConnectTimeout));
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(left));
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectLeft));
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
    char *type = nullptr;
    curl_easy_getinfo(curl, CURLINFO_CONTENT_TYPE, &type);
    answer.binary = type != nullptr && absl::StartsWith(type, "application/x-protobuf");
    curl_slist_free_all(headers);
    if (code == CURLE_OK)
        return answer;
    // The connection may have gone silent for good: later requests open a new one.
    curl_easy_cleanup(curl);
    curl = curl_easy_init();
    return fail(reason::ConnectionFailed,
                absl::StrFormat("no answer from entry %s:%d: %s; check --entry and that the entry "
                                "runs",
                                entry.host, entry.port, curl_easy_strerror(code)),
                neverSent(code) ? execution::NotRun : execution::Unknown, absl::Now());
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
    const std::size_t count = client.options.entries.size();
    if (count == 0)
        return fail(reason::InvalidArgument, "no entry is known; give --entry HOST:PORT");
    std::size_t next = absl::Uniform<std::size_t>(client.random, 0, count);
    absl::Duration backoff = FirstBackoff;
    bool mayHaveRun = false;
    for (std::size_t tried = 1;; ++tried) {
        // A share of the time for each entry, so that one silent entry does not use all of it.
        const absl::Time now = absl::Now();
        const absl::Duration share = count > 1 && mayRepeat == repetition::Allowed
            ? std::max(absl::Seconds(1), (deadline - now) / 2)
            : deadline - now;
        const auto got = client.exchange(client.options.entries[next++ % count], path, &body,
                                         std::min(deadline, now + share));
        error problem;
        if (got && got->status == 200) {
            return decodeAnswer(got->body,
                                got->binary ? body_encoding::Binary : body_encoding::Json, answer);
        }
        if (got) {
            v1::Error message;
            const auto decoded = decodeAnswer(
                got->body, got->binary ? body_encoding::Binary : body_encoding::Json, &message);
            problem = decoded ? fromMessage(message, absl::Now()) : decoded.error();
        } else {
            problem = got.error();
        }
        // A later failure to connect proves nothing about an earlier request that was sent.
        mayHaveRun = mayHaveRun || problem.state == execution::Unknown;
        if (mayHaveRun && problem.state == execution::NotRun)
            problem.state = execution::Unknown;
        const bool safe = problem.state == execution::NotRun || mayRepeat == repetition::Allowed;
        const bool retryable = problem.retryAt != absl::InfiniteFuture();
        const absl::Duration jitter
            = backoff * absl::Uniform<double>(client.random, 0.0, 1.0) * (tried < count ? 0 : 1);
        const absl::Time when
            = std::max(absl::Now() + jitter, tried < count ? absl::Now() : problem.retryAt);
        if (!safe || !retryable || when >= deadline)
            return tl::unexpected<error>(std::move(problem));
        absl::SleepFor(when - absl::Now());
        backoff = std::min(backoff * 2, LargestBackoff);
        if (problem.state == execution::Unknown)
            body = encodeBody(*asRetry(request), encoding);
    }
}

result<std::string> rpc_client::get(const std::string &path, absl::Time deadline)
{
    result<std::string> last = fail(reason::InvalidArgument, "no entry is known; give --entry");
    for (const address &entry : m_implementation->options.entries) {
        const auto got = m_implementation->exchange(entry, path, nullptr, deadline);
        if (got && got->status == 200)
            return got->body;
        last = fail(reason::ConnectionFailed,
                    got ? absl::StrFormat("entry answered %d to GET %s", got->status, path)
                        : got.error().message);
    }
    return last;
}

} // namespace hyssoppond
