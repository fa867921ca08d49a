/// @file Connections of the rpc server: what each of them makes the process hold, and which of them
/// is closed when connections or bytes are short.
#pragma once

#include "hyssoppond/base/client_budget_base.h"
#include "hyssoppond/base/counters_base.h"
#include "hyssoppond/base/refusal_log_base.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

struct MHD_Connection;

namespace hyssoppond {

/// Connections with their bodies and charges. A connection whose request is with its procedure is
/// never closed. Thread-safe; the functions for one connection are called by its server thread.
class rpc_connections
{
public:
    /// `budget` may be null, then bytes are not limited.
    rpc_connections(std::size_t maxConnections, client_budget *budget, counter_registry *counters);

    /// Registers a connection. Near the limit of connections, closes another one.
    void add(MHD_Connection *connection, int socket, const std::string &address);
    /// Must be called before the socket is closed.
    void remove(MHD_Connection *connection);
    /// Appends a part of a body, whose length may be known from the head. If the budget is short,
    /// closes connections that are worse off; returns false and drops the body if there are none.
    bool appendBody(MHD_Connection *connection, std::string_view part,
                    std::optional<std::size_t> length);
    /// Ends the body and returns it. Its bytes stay charged for the parsed form. None if the
    /// connection is being closed; the request must not run then.
    std::optional<std::string> takeBody(MHD_Connection *connection);
    /// Charges an answer until the request ends, and closes another connection if the budget is
    /// short. The answer itself is sent in any case, because its request may have run.
    void beginAnswer(MHD_Connection *connection, std::size_t bytes);
    void endRequest(MHD_Connection *connection);

private:
    struct record
    {
        record(int socketFd, const std::string &from, client_budget *budget, absl::Time now)
            : socket(socketFd)
            , address(from)
            , charge(budget, client_listener::Rpc, from)
            , progressAt(now)
        { }

        int socket;
        std::string address;
        std::string body;
        client_charge charge;
        absl::Time progressAt;         ///< since then it has not made the progress required
        std::size_t progressBytes = 0; ///< of the body at that time
        bool isRunning = false;        ///< its request is with its procedure
        bool isClosing = false;
    };
    using record_map = std::map<MHD_Connection *, record>;

    /// The connection to close first: of the address that holds most, the one that has made no
    /// progress for the longest time. The end if none can be closed.
    record_map::iterator findWorst(bool byBytes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// Shuts the socket down, so that its server thread closes the connection soon, and frees its
    /// body. An answer is freed by the thread, but no longer charged.
    void close(record *victim, const char *cause) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const std::size_t m_maxConnections;
    client_budget *const m_budget;
    counter_registry *const m_counters;
    refusal_log m_log;
    absl::Mutex m_mutex;
    record_map m_records ABSL_GUARDED_BY(m_mutex);
};

} // namespace hyssoppond
