/// @file Stand-in of a runner: answers calls over HTTP and records those that it ran.
#include "hyssoppond/base/settings_base.h"

#include <absl/strings/str_format.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <csignal>
#include <microhttpd.h>

#include <iostream>
#include <string>
#include <vector>

namespace hyssoppond {
namespace {

/// Number of calls that are recorded. Later calls run without a record, so that a long test uses
/// bounded memory.
constexpr std::size_t MaxRecordedCalls = 100'000;

/// Slots of one runner and the calls that it ran.
class standin_runner
{
public:
    standin_runner(std::uint32_t slots, absl::Duration service)
        : m_slots(slots)
        , m_service(service)
    { }

    /// Runs one call, which blocks for the service time; false if no slot is free.
    bool run(const std::string &payload, std::string *answer)
    {
        {
            const absl::MutexLock lock(&m_mutex);
            if (m_busy >= m_slots)
                return false;
            ++m_busy;
            if (m_runs.size() < MaxRecordedCalls)
                m_runs.push_back(payload);
        }
        absl::SleepFor(m_service);
        *answer = "answer to " + payload;
        const absl::MutexLock lock(&m_mutex);
        --m_busy;
        return true;
    }

    /// Payloads of the recorded calls, one per line.
    std::string runs() const
    {
        const absl::MutexLock lock(&m_mutex);
        std::string lines;
        for (const std::string &payload : m_runs)
            lines += payload + "\n";
        return lines;
    }

private:
    const std::uint32_t m_slots;
    const absl::Duration m_service;
    mutable absl::Mutex m_mutex;
    std::uint32_t m_busy ABSL_GUARDED_BY(m_mutex) = 0;
    std::vector<std::string> m_runs ABSL_GUARDED_BY(m_mutex);
};

MHD_Result respond(MHD_Connection *connection, unsigned status, std::string body)
{
    MHD_Response *response
        = MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
    const MHD_Result queued = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return queued;
}

MHD_Result onRequest(void *self, MHD_Connection *connection, const char *url, const char *,
                     const char *, const char *data, size_t *size, void **state)
{
    auto *runner = static_cast<standin_runner *>(self);
    if (*state == nullptr) {
        *state = new std::string;
        return MHD_YES;
    }
    auto *body = static_cast<std::string *>(*state);
    if (*size != 0) {
        body->append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (std::string(url) == "/runs")
        return respond(connection, MHD_HTTP_OK, runner->runs());
    if (std::string(url) != "/call")
        return respond(connection, MHD_HTTP_NOT_FOUND, "use POST /call or GET /runs\n");
    std::string answer;
    if (!runner->run(*body, &answer))
        return respond(connection, MHD_HTTP_TOO_MANY_REQUESTS, "no free slot\n");
    return respond(connection, MHD_HTTP_OK, answer);
}

void onRequestCompleted(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
{
    delete static_cast<std::string *>(*state);
}

const std::vector<setting_rule> &rules()
{
    static const std::vector<setting_rule> all {
        {"listen", setting_kind::Address, "127.0.0.1:9300", "address of the HTTP server"},
        {"slots", setting_kind::Number, "8", "calls answered at the same time", 1, 1000},
        {"connections", setting_kind::Number, "64", "connections accepted", 1, 10'000},
        {"service-ms", setting_kind::Number, "20", "service time of a call in ms", 0, 60'000},
    };
    return all;
}

int run(int argc, char **argv)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto values = settings::read(rules(), argc, argv, processEnvironment);
    if (!values) {
        std::cerr << values.error().message << "\n" << describeRules(argv[0], rules());
        return 2;
    }
    standin_runner runner(static_cast<std::uint32_t>(values->number("slots")),
                          absl::Milliseconds(values->number("service-ms")));
    sockaddr_in socketAddress {};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(values->address("listen").port);
    inet_pton(AF_INET, values->address("listen").host.c_str(), &socketAddress.sin_addr);
    MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, nullptr, nullptr,
        &onRequest, &runner, MHD_OPTION_SOCK_ADDR, &socketAddress, MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned>(values->number("connections")), MHD_OPTION_NOTIFY_COMPLETED,
        &onRequestCompleted, nullptr, MHD_OPTION_END);
    if (daemon == nullptr) {
        std::cerr << "cannot listen on " << values->text("listen") << "; choose a free port\n";
        return 1;
    }
    int received = 0;
    sigwait(&signals, &received);
    MHD_stop_daemon(daemon);
    return 0;
}

} // namespace
} // namespace hyssoppond

int main(int argc, char **argv)
{
    return hyssoppond::run(argc, argv);
}
