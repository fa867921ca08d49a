/// @file Crowds of clients on loopback, and the processes that they attack.
#pragma once

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace hyssoppond {

/// Source address of the crowds. Ordinary requests come from 127.0.0.1.
inline constexpr const char *CrowdAddress = "127.0.0.2";
/// A wait ends when the expected event occurs; the timeout only turns a hang into a failure.
inline constexpr absl::Duration HangTimeout = absl::Seconds(30);

/// Opens a connection from `source` to a loopback port; -1 if there is none.
inline int connectFrom(const char *source, std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in local {};
    local.sin_family = AF_INET;
    inet_pton(AF_INET, source, &local.sin_addr);
    sockaddr_in remote {};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &remote.sin_addr);
    // A full listen queue would otherwise block the connect for minutes.
    const timeval timeout {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0
        || connect(fd, reinterpret_cast<const sockaddr *>(&remote), sizeof remote) != 0) {
        if (fd >= 0)
            close(fd);
        return -1;
    }
    return fd;
}

/// What each connection of a crowd sends: `head`, then `unit` so many times, then `tail`.
struct crowd_plan
{
    std::size_t connections = 0;
    std::string head;
    std::string unit;
    std::size_t units = 0;
    std::string tail;
    std::size_t pieceBytes = 1 << 20; ///< largest single write

    std::size_t totalBytes() const { return head.size() + unit.size() * units + tail.size(); }
    /// Bytes from `offset` on, at least one, at most `pieceBytes`.
    std::string_view piece(std::size_t offset) const
    {
        std::string_view rest;
        if (offset < head.size())
            rest = std::string_view(head).substr(offset);
        else if (offset < head.size() + unit.size() * units)
            rest = std::string_view(unit).substr((offset - head.size()) % unit.size());
        else
            rest = std::string_view(tail).substr(offset - head.size() - unit.size() * units);
        return rest.substr(0, pieceBytes);
    }
};

/// Connections that send a plan, never read, and stay open until the crowd is destroyed.
class client_crowd
{
public:
    client_crowd(std::uint16_t port, crowd_plan plan)
        : m_plan(std::move(plan))
    {
        int failures = 0;
        for (std::size_t i = 0; i < m_plan.connections && failures < 3; ++i) {
            const int fd = connectFrom(CrowdAddress, port);
            if (fd < 0)
                ++failures; // the server accepts no more; the others remain the crowd
            else
                m_members.push_back({fd});
        }
    }
    ~client_crowd()
    {
        for (const member &each : m_members)
            close(each.fd);
    }
    client_crowd(const client_crowd &) = delete;
    client_crowd &operator=(const client_crowd &) = delete;

    std::size_t connections() const { return m_members.size(); }

    /// Sends until all members are done or closed, or nobody can send any more.
    void send()
    {
        const absl::Time end = absl::Now() + HangTimeout;
        absl::Time stalledAt = absl::Now() + absl::Seconds(1);
        while (absl::Now() < std::min(end, stalledAt)) {
            std::vector<pollfd> waiting;
            std::vector<member *> members;
            for (member &each : m_members) {
                if (each.closed || each.sent >= m_plan.totalBytes())
                    continue;
                waiting.push_back({each.fd, POLLOUT, 0});
                members.push_back(&each);
            }
            if (waiting.empty())
                return;
            poll(waiting.data(), waiting.size(), 100);
            for (std::size_t i = 0; i < waiting.size(); ++i) {
                if (waiting[i].revents != 0 && sendPiece(members[i]))
                    stalledAt = absl::Now() + absl::Seconds(1);
            }
        }
    }

private:
    struct member
    {
        int fd = -1;
        std::size_t sent = 0;
        bool closed = false;
    };

    bool sendPiece(member *sender) const
    {
        const std::string_view piece = m_plan.piece(sender->sent);
        const ssize_t sent
            = ::send(sender->fd, piece.data(), piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        sender->closed = sent < 0 && errno != EAGAIN && errno != EINTR;
        sender->sent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
        return sent > 0;
    }

    crowd_plan m_plan;
    std::vector<member> m_members;
};

/// A child process whose output goes to a file. Killed by its id at the end.
class child_process
{
public:
    child_process(std::vector<std::string> arguments, const std::string &output,
                  rlim_t maxDescriptors)
    {
        std::vector<char *> raw;
        raw.reserve(arguments.size() + 1);
        for (std::string &argument : arguments)
            raw.push_back(argument.data());
        raw.push_back(nullptr);
        m_pid = fork();
        if (m_pid == 0) {
            if (maxDescriptors != 0) {
                const rlimit limit {maxDescriptors, maxDescriptors};
                setrlimit(RLIMIT_NOFILE, &limit);
            }
            if (freopen(output.c_str(), "a", stdout) == nullptr || dup2(1, 2) < 0)
                _exit(126);
            execv(raw[0], raw.data());
            _exit(127);
        }
    }
    ~child_process()
    {
        if (m_pid <= 0)
            return;
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// True if the process runs. An ended process is reaped.
    bool isAlive()
    {
        if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) != 0)
            m_pid = -1;
        return m_pid > 0;
    }
    /// A field of /proc/PID/status in KiB; 0 if it is not known.
    std::int64_t statusKib(const std::string &field) const
    {
        std::ifstream status(absl::StrCat("/proc/", m_pid, "/status"));
        std::string name;
        std::string rest;
        std::int64_t value = 0;
        while (status >> name && std::getline(status, rest)) {
            if (name == field + ":")
                value = std::atoll(rest.c_str());
        }
        return value;
    }
    std::size_t descriptors() const
    {
        std::error_code problem;
        const auto files
            = std::filesystem::directory_iterator(absl::StrCat("/proc/", m_pid, "/fd"), problem);
        return static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }
    /// Waits until the resident memory no longer changes, so that what was sent has been read.
    void settle() const
    {
        const absl::Time end = absl::Now() + HangTimeout;
        std::int64_t before = -1;
        for (int same = 0; same < 3 && absl::Now() < end;) {
            absl::SleepFor(absl::Milliseconds(150));
            const std::int64_t now = statusKib("VmRSS");
            same = std::abs(now - before) < 512 ? same + 1 : 0;
            before = now;
        }
    }

private:
    pid_t m_pid = -1;
};

/// Sends `request` from 127.0.0.1 and returns what arrives until the answer is complete enough to
/// contain `expected`, or empty.
inline std::string askOnce(std::uint16_t port, const std::string &request,
                           const std::string &expected)
{
    const int fd = connectFrom("127.0.0.1", port);
    if (fd < 0)
        return "";
    std::string answer;
    char buffer[4096];
    ssize_t size = ::send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    while (size > 0 && answer.find(expected) == std::string::npos) {
        size = recv(fd, buffer, sizeof buffer, 0);
        if (size > 0)
            answer.append(buffer, static_cast<std::size_t>(size));
    }
    close(fd);
    return answer.find(expected) == std::string::npos ? "" : answer;
}

/// Repeats `attempt` until it returns true or the timeout ends.
template<class function>
bool eventually(function attempt)
{
    const absl::Time end = absl::Now() + HangTimeout;
    while (!attempt()) {
        if (absl::Now() >= end)
            return false;
        absl::SleepFor(absl::Milliseconds(100));
    }
    return true;
}

} // namespace hyssoppond
