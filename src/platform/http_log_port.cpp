/// @file Implementation of the log adapter.
#include "hyssoppond/platform/http_log_port.h"

#include "http_exchange_base.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace hyssoppond {

struct http_log_port::connection : http_exchange
{
    using http_exchange::http_exchange;
};

namespace {

using json = nlohmann::json;

std::string baseUrlOf(const address &server)
{
    const bool v6 = server.host.find(':') != std::string::npos;
    return v6 ? absl::StrFormat("http://[%s]:%d", server.host, server.port)
              : absl::StrFormat("http://%s:%d", server.host, server.port);
}

/// Error of a request that certainly had no effect.
tl::unexpected<error> notSentError()
{
    return fail(reason::LogUnavailable, "the request was not sent to the log; repeat later");
}

/// Error of an exchange that has no answer or an answer with a status other than 200.
tl::unexpected<error> errorOf(const http_answer &answer)
{
    if (answer.unsent)
        return notSentError();
    if (answer.status == 503)
        return fail(reason::LogUnavailable, "the log is down; repeat later");
    if (answer.status == 410)
        return fail(reason::Expired, "the offset is no longer kept; read from the oldest record");
    if (answer.status >= 400 && answer.status < 500)
        return fail(
            reason::InvalidArgument,
            absl::StrFormat(
                "the log refused the request with status %d; check its address and the request",
                answer.status));
    return fail(
        reason::LogUnsettled,
        answer.status == 0
            ? "no answer from the log: " + answer.failureReason
            : "the log answered with an unexpected status; read the log to learn the outcome",
        execution::Unknown);
}

/// Offset in the answer to an append.
result<journal_offset> offsetFrom(const http_answer &answer)
{
    if (answer.status != 200)
        return errorOf(answer);
    const json body = json::parse(answer.body, nullptr, false);
    if (!body.is_object() || !body.contains("offset") || !body["offset"].is_number_unsigned())
        return fail(reason::MalformedMessage,
                    "the log's answer has no offset; read the log to learn the outcome",
                    execution::Unknown);
    return body["offset"].get<journal_offset>();
}

/// Records in the answer to a read.
result<log_batch> batchFrom(const http_answer &answer)
{
    if (answer.status != 200)
        return errorOf(answer);
    try {
        const json body = json::parse(answer.body);
        log_batch batch;
        batch.oldest = body.at("oldest").get<journal_offset>();
        batch.next = body.at("next").get<journal_offset>();
        for (const json &record : body.at("records")) {
            std::string payload;
            if (!absl::Base64Unescape(record.at("payload").get<std::string>(), &payload))
                return fail(reason::MalformedMessage,
                            "a payload in the log's answer is not valid Base64; repeat the read");
            batch.records.push_back(
                {record.at("offset").get<journal_offset>(), std::move(payload)});
        }
        return batch;
    } catch (const json::exception &jsonError) {
        return fail(
            reason::MalformedMessage,
            absl::StrFormat(
                "the log's answer is malformed: %s; check that the server is the log service",
                jsonError.what()));
    }
}

} // namespace

http_log_port::http_log_port(http_log_options options)
    : m_options(std::move(options))
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    for (std::size_t i = 0; i < m_options.appendThreads; ++i)
        m_threads.emplace_back([this] { processQueue(&http_log_port::m_appends); });
    for (std::size_t i = 0; i < m_options.readThreads; ++i)
        m_threads.emplace_back([this] { processQueue(&http_log_port::m_reads); });
}

http_log_port::~http_log_port()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    for (std::thread &poolThread : m_threads)
        poolThread.join();
}

void http_log_port::append(std::string payload, absl::Time deadline,
                           std::function<void(result<journal_offset>)> done)
{
    enqueue(&http_log_port::m_appends,
            [url = baseUrlOf(m_options.server) + "/append", payload = std::move(payload), deadline,
             done = std::move(done)](connection *exchange) {
                if (exchange == nullptr)
                    done(notSentError());
                else
                    done(offsetFrom(exchange->run(url, payload, deadline)));
            });
}

void http_log_port::read(journal_offset from, std::size_t maxRecords, absl::Time deadline,
                         std::function<void(result<log_batch>)> done)
{
    enqueue(&http_log_port::m_reads,
            [url = absl::StrFormat("%s/read?from=%d&max=%d", baseUrlOf(m_options.server), from,
                                   maxRecords),
             deadline, done = std::move(done)](connection *exchange) {
                if (exchange == nullptr)
                    done(notSentError());
                else
                    done(batchFrom(exchange->run(url, std::nullopt, deadline)));
            });
}

void http_log_port::enqueue(queue http_log_port::*requests, task work)
{
    {
        const absl::MutexLock lock(&m_mutex);
        std::deque<task> &waiting = (this->*requests).waiting;
        if (!m_stopping && waiting.size() < m_options.maxQueued) {
            waiting.push_back(std::move(work));
            return;
        }
    }
    work(nullptr);
}

void http_log_port::processQueue(queue http_log_port::*requests)
{
    connection keptConnection(exchange_timeouts {m_options.connectTimeout, m_options.stallTimeout});
    while (true) {
        task next;
        bool refuse = false;
        {
            const absl::MutexLock lock(&m_mutex);
            std::deque<task> &waiting = (this->*requests).waiting;
            const auto hasWork = [this, &waiting]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                return m_stopping || !waiting.empty();
            };
            m_mutex.Await(absl::Condition(&hasWork));
            if (waiting.empty())
                return;
            next = std::move(waiting.front());
            waiting.pop_front();
            refuse = m_stopping;
        }
        next(refuse ? nullptr : &keptConnection);
    }
}

} // namespace hyssoppond
