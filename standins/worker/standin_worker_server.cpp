/// @file HTTP server of the worker stand-in, on libmicrohttpd.
#include "standin_worker_base.h"

#include <absl/time/clock.h>

#include <arpa/inet.h>
#include <microhttpd.h>

#include <memory>
#include <stdexcept>

namespace hyssoppond::standins {

namespace {

constexpr std::size_t MaxBodyBytes = 1024 * 1024;

MHD_Result onRequest(void *context, MHD_Connection *connection, const char *url, const char *method,
                     const char *, const char *data, std::size_t *size, void **state)
{
    if (*state == nullptr) {
        *state = new std::string;
        return MHD_YES;
    }
    auto *body = static_cast<std::string *>(*state);
    if (*size != 0) {
        if (body->size() + *size > MaxBodyBytes)
            return MHD_NO;
        body->append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    const standin_answer answer
        = static_cast<standin_worker *>(context)->handle(method, url, *body);
    absl::SleepFor(answer.delay); // each connection has its own thread
    if (answer.dropConnection)
        return MHD_NO;
    MHD_Response *response = MHD_create_response_from_buffer(
        answer.body.size(), const_cast<char *>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", "application/json");
    const MHD_Result queued = MHD_queue_response(connection, answer.status, response);
    MHD_destroy_response(response);
    return queued;
}

void onRequestCompleted(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
{
    const std::unique_ptr<std::string> body(static_cast<std::string *>(*state));
    *state = nullptr;
}

} // namespace

standin_worker_server::standin_worker_server(const std::string &host, std::uint16_t port,
                                             std::uint32_t accelerators)
    : m_worker(accelerators)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1)
        throw std::runtime_error("--listen: " + host + " is not an IPv4 address; give one");
    MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, port, nullptr, nullptr,
        &onRequest, &m_worker, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT, 64U,
        MHD_OPTION_CONNECTION_TIMEOUT, 30U, MHD_OPTION_NOTIFY_COMPLETED, &onRequestCompleted,
        nullptr, MHD_OPTION_END);
    if (daemon == nullptr)
        throw std::runtime_error("--listen: cannot listen on " + host + ":" + std::to_string(port)
                                 + "; choose a free port");
    m_daemon = daemon;
    m_port = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

standin_worker_server::~standin_worker_server()
{
    MHD_stop_daemon(static_cast<MHD_Daemon *>(m_daemon));
}

} // namespace hyssoppond::standins
