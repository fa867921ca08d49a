/// @file State of the transport: what is shared between threads, and what the I/O thread owns.
#pragma once

#include "connection.h"
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

struct transport::state
{
    state(transport_settings given, transport_hooks hooksGiven);

    const transport_settings settings;
    const transport_hooks hooks;
    address local;
    file_descriptor listener;
    file_descriptor datagrams;
    file_descriptor wakeup;
    outbox queues;
    std::unique_ptr<thread_pool> pool;
    std::thread loop;
    std::atomic<bool> refusing = true; ///< send() drops frames
    absl::Mutex mutex;
    absl::Time stopAt ABSL_GUARDED_BY(mutex) = absl::InfiniteFuture();
    bool stopping ABSL_GUARDED_BY(mutex) = false;

    // Owned by the I/O thread.
    std::map<address, std::unique_ptr<connection>> outgoing;
    std::vector<std::unique_ptr<connection>> incoming;
    std::map<address, absl::Time> retryAt; ///< of peers whose connection failed
    std::size_t halfRead = 0;              ///< bytes of incomplete frames
    absl::Time now;                        ///< of this turn of the loop

    // transport.cpp: called by any thread.
    result<void> open();
    void send(const address &to, frame what);
    void sendDatagram(const address &to, const std::string &encoded) const;
    void countSent(const address &to, channel via, std::size_t bytes);
    void drop(reason why, std::size_t frames = 1) const;
    void wake() const;

    // io_loop.cpp: called by the I/O thread.
    void run();
    bool isDone();
    void serveQueues();
    bool fillConnection(const address &to, connection &one);
    void openConnection(const address &to);
    absl::Time checkDeadlines();
    bool checkOutgoing(const address &to, connection &one);
    bool checkIncoming(const connection &one);
    void waitForEvents(absl::Time until);
    void serveOutgoing(const address &to, short events);
    void serveIncoming(connection &one, short events, bool &closed);
    void acceptConnections();
    void readDatagrams();
    void closeOutgoing(const address &to, reason why);
    void addProbe(connection &one, frame_kind kind);

    // receiving.cpp: called by the I/O thread.
    io_outcome receive(std::string_view bytes, std::size_t limit, connection *from);
    void deliver(frame what);
};

} // namespace hyssoppond
