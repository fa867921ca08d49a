/// @file State of the transport: the parts shared between threads and those the I/O thread owns.
#pragma once

#include "connection.h"
#include "hyssoppond/base/refusal_log_base.h"
#include "hyssoppond/base/thread_pool_base.h"
#include "hyssoppond/transport/transport_base.h"
#include "outbox.h"
#include "socket.h"

#include <absl/synchronization/mutex.h>

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <poll.h>

namespace hyssoppond {

/// Maximum number of operations on one socket in one iteration of the loop, which bounds the delay
/// of the others.
inline constexpr int MaxOperationsPerIteration = 64;

struct transport::state
{
    state(transport_settings initialSettings, transport_hooks initialHooks);

    const transport_settings settings;
    const transport_hooks hooks;
    address boundAddress;
    file_descriptor listener;
    file_descriptor datagrams;
    file_descriptor wakeup;
    outbox queues;
    std::unique_ptr<thread_pool> pool;
    std::thread ioThread;
    std::atomic<bool> rejectSends = true; ///< send() drops frames
    absl::Mutex mutex;
    absl::Time stopAt ABSL_GUARDED_BY(mutex) = absl::InfiniteFuture();
    bool stopping ABSL_GUARDED_BY(mutex) = false;

    // Owned by the I/O thread.
    std::map<address, std::unique_ptr<connection>> outgoing;
    std::vector<std::unique_ptr<connection>> incoming;
    std::map<address, absl::Time> retryAt; ///< when peers whose connection failed are tried again
    std::size_t partialFrameBytes = 0; ///< bytes of incomplete frames of all incoming connections
    refusal_log refusals;
    absl::Time now; ///< time of this iteration of the loop

    // transport.cpp: called by any thread.
    result<void> open();
    void send(const address &to, frame message);
    void sendDatagram(const address &to, const std::string &encoded) const;
    void countSent(const address &to, channel protocol, std::size_t bytes);
    void countDropped(reason cause, std::size_t frames = 1) const;
    void wakeLoop() const;

    // io_loop.cpp: called by the I/O thread.
    void run();
    bool isDone();
    void serveQueues();
    bool fillConnection(const address &to, connection &conn);
    void openConnection(const address &to);
    absl::Time checkDeadlines();
    bool checkOutgoing(const address &to, connection &conn);
    void waitForEvents(absl::Time until);
    void serveOutgoing(const address &to, short events);
    void readDatagrams();
    void closeOutgoing(const address &to, reason cause);
    void addProbe(connection &conn, frame_kind kind);

    // incoming.cpp: called by the I/O thread.
    void checkIncoming(connection &conn);
    void serveIncoming(connection &conn, short events);
    void acceptConnections();
    /// Makes room for a connection from `host`; false if it must be refused.
    bool makeRoomFor(const std::string &host);
    /// The connection whose incomplete frame is to be given up first, other than `except`; null if
    /// there is none.
    connection *findWorstPartial(const connection *except) const;
    /// Charges a received frame. If bytes are short, closes connections that have not sent a valid
    /// frame; false if there are none with an incomplete frame but `from`.
    bool chargeReceived(client_charge *charge, std::size_t bytes, const connection *from);
    /// Charges the incomplete frame of `conn`. If bytes are short, closes connections that are
    /// worse off; false if there are none.
    bool chargePartialFrame(connection &conn);
    void closeIncoming(connection &conn);
    /// Closes an incoming connection in favour of others, and logs it.
    void evictIncoming(connection &conn, const char *cause);

    // receiving.cpp: called by the I/O thread.
    io_outcome receive(std::string_view bytes, std::size_t limit, connection *from);
    void deliver(frame message, const connection *from);
};

} // namespace hyssoppond
