/// @file Worker port over libcurl.
#include "hyssoppond/platform/http_worker_port.h"

#include "hyssoppond/base/process_clock_base.h"
#include "hyssoppond/platform/worker_json_func.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>

namespace hyssoppond {

namespace {

/// Size limit of an answer. A worker's task list is far smaller; a larger answer is a fault of the
/// worker and fails the exchange.
constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;

using curl_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;

/// Write callback of libcurl: appends to the answer.
std::size_t collectAnswer(char *data, std::size_t size, std::size_t count, void *target)
{
    auto *answer = static_cast<std::string *>(target);
    if (answer->size() + size * count > MaxAnswerBytes)
        return 0; // aborts the exchange
    answer->append(data, size * count);
    return size * count;
}

/// Error of a failed exchange.
error errorOf(CURLcode code)
{
    const bool neverSent = code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST
        || code == CURLE_URL_MALFORMAT;
    const bool timedOut = code == CURLE_OPERATION_TIMEDOUT;
    return {timedOut ? reason::ConnectionSilent : reason::WorkerUnreachable,
            std::string("the exchange with the worker failed: ") + curl_easy_strerror(code)
                + "; list its tasks to learn the outcome",
            neverSent ? execution::NotRun : execution::Unknown, processNow()};
}

/// Sends one request and waits for the answer: POST with `body`, GET if it is empty.
result<std::string> perform(CURL *curl, const std::string &url, const std::string &body,
                            absl::Duration connectTimeout, absl::Duration timeout)
{
    std::string answer;
    curl_easy_reset(curl); // keeps the open connection
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(absl::ToInt64Milliseconds(connectTimeout)));
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(absl::ToInt64Milliseconds(timeout)));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &collectAnswer);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer);
    curl_slist *headers = nullptr;
    if (!body.empty()) {
        headers = curl_slist_append(headers, "Content-Type: application/json");
        headers = curl_slist_append(headers, "Expect:");
        curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    }
    const CURLcode code = curl_easy_perform(curl);
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    curl_slist_free_all(headers);
    if (code != CURLE_OK)
        return tl::unexpected(errorOf(code));
    if (status == 200)
        return answer;
    const auto parsed = parseJson(answer);
    return tl::unexpected(parsed ? errorFrom(*parsed) : parsed.error());
}

result<std::vector<task_status>> taskListFrom(const std::string &body)
{
    const auto parsed = parseJson(body);
    if (!parsed)
        return tl::unexpected(parsed.error());
    std::vector<task_status> list;
    const auto tasks = parsed->find("tasks");
    if (tasks == parsed->end() || !tasks->is_array())
        return fail(reason::MalformedMessage, "the task list has no array \"tasks\"; correct it");
    for (const nlohmann::json &task : *tasks) {
        const auto status = taskStatusFrom(task);
        if (!status)
            return tl::unexpected(status.error());
        list.push_back(*status);
    }
    return list;
}

} // namespace

http_worker_port::http_worker_port(http_worker_options options)
    : m_options(std::move(options))
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)initialised;
    for (std::uint32_t i = 0; i < std::max<std::uint32_t>(1, m_options.threads); ++i)
        m_threads.emplace_back([this] { processQueue(); });
}

http_worker_port::~http_worker_port()
{
    std::deque<exchange> unsent;
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        unsent.swap(m_queue);
    }
    for (std::thread &thread : m_threads)
        thread.join();
    for (exchange &pending : unsent)
        pending.done(fail(reason::Cancelled,
                          "the agent is shutting down; repeat the request after its restart"));
}

bool http_worker_port::hasWork() const
{
    return m_stopping || !m_queue.empty();
}

void http_worker_port::enqueue(exchange request)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_stopping && m_queue.size() < m_options.maxQueued)
            return m_queue.push_back(std::move(request));
    }
    request.done(fail(reason::Overloaded, "too many requests to the worker; repeat later",
                      execution::NotRun, processNow() + m_options.exchangeTimeout));
}

void http_worker_port::processQueue()
{
    curl_handle curl(curl_easy_init(), &curl_easy_cleanup);
    for (;;) {
        exchange next;
        {
            const absl::MutexLock lock(&m_mutex);
            m_mutex.Await(absl::Condition(this, &http_worker_port::hasWork));
            if (m_stopping)
                return;
            next = std::move(m_queue.front());
            m_queue.pop_front();
        }
        const absl::Duration remaining = next.deadline - processNow();
        if (remaining < absl::Milliseconds(1)) {
            next.done(fail(reason::Expired, "the request waited past its deadline; repeat it"));
            continue;
        }
        auto answer = perform(curl.get(), m_options.url + next.path, next.body,
                              std::min(m_options.connectTimeout, remaining), remaining);
        // A connection that failed or became silent may stay so. The next exchange therefore opens
        // a new one.
        const bool failed = !answer
            && (answer.error().why == reason::ConnectionSilent
                || answer.error().why == reason::WorkerUnreachable);
        if (failed)
            curl.reset(curl_easy_init());
        next.done(std::move(answer));
    }
}

void http_worker_port::post(const std::string &path, std::string body, absl::Time deadline,
                            std::function<void(result<task_status>)> done)
{
    enqueue({path, std::move(body), deadline, [done = std::move(done)](result<std::string> text) {
                 if (!text)
                     return done(tl::unexpected(text.error()));
                 const auto parsed = parseJson(*text);
                 done(parsed ? taskStatusFrom(*parsed) : tl::unexpected(parsed.error()));
             }});
}

void http_worker_port::startTask(task_start order, std::function<void(result<task_status>)> done)
{
    post("/tasks/start", toJson(order).dump(), processNow() + m_options.exchangeTimeout,
         std::move(done));
}

void http_worker_port::renewLease(task_id id, absl::Time leaseUntil,
                                  std::function<void(result<task_status>)> done)
{
    const nlohmann::json body {{"id", toJson(id)}, {"leaseUntil", absl::ToUnixMicros(leaseUntil)}};
    post("/tasks/renew", body.dump(), processNow() + m_options.exchangeTimeout, std::move(done));
}

void http_worker_port::checkpointTask(task_id id, absl::Time deadline,
                                      std::function<void(result<task_status>)> done)
{
    const nlohmann::json body {{"id", toJson(id)}, {"deadline", absl::ToUnixMicros(deadline)}};
    post("/tasks/checkpoint", body.dump(), deadline + m_options.exchangeTimeout, std::move(done));
}

void http_worker_port::throttleTask(task_id id, std::uint32_t percent,
                                    std::function<void(result<task_status>)> done)
{
    const nlohmann::json body {{"id", toJson(id)}, {"percent", percent}};
    post("/tasks/throttle", body.dump(), processNow() + m_options.exchangeTimeout, std::move(done));
}

void http_worker_port::stopTask(task_id id, std::function<void(result<task_status>)> done)
{
    const nlohmann::json body {{"id", toJson(id)}};
    post("/tasks/stop", body.dump(), processNow() + m_options.exchangeTimeout, std::move(done));
}

void http_worker_port::listTasks(std::function<void(result<std::vector<task_status>>)> done)
{
    enqueue({"/tasks", "", processNow() + m_options.exchangeTimeout,
             [done = std::move(done)](result<std::string> text) {
                 if (!text)
                     return done(tl::unexpected(text.error()));
                 done(taskListFrom(*text));
             }});
}

} // namespace hyssoppond
