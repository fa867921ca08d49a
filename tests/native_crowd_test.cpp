/// @file Crowds of clients outside the limits against one native entry process: the procedures'
/// port and the port for frames. Checked are only life, peak memory, descriptors and one ordinary
/// request while the crowd is still connected.
#include "native_crowd_base.h"

#include "hyssoppond/transport/frame_type.h"

#include <absl/strings/str_format.h>

#include <array>
#include <cstdlib>
#include <memory>
#include <random>
#include <utility>

namespace hyssoppond {
namespace {

/// Memory of the machine for which the entry is configured.
constexpr std::int64_t MemoryMb = 96;
// Shadow memory, redzones and the quarantine of freed blocks (256 MB by default).
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::int64_t SanitizerMb = 500;
#else
constexpr std::int64_t SanitizerMb = 0;
#endif
/// Limit of open files in the tests with many connections, and the number that must remain free
/// for peers and for the store.
constexpr std::size_t MaxDescriptors = 512;
constexpr std::size_t ReservedDescriptors = 64;

constexpr std::size_t MaxBodyBytes = 2 * 1024 * 1024;
constexpr std::size_t MaxFrameBytes = 1 << 20;
const std::string SubmitPath = "/hyssoppond.v1.Jobs/Submit";

std::string headOf(const std::string &path, const std::string &bodyHeader)
{
    return "POST " + path + " HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n"
        + bodyHeader + "\r\n\r\n";
}

/// Bodies of legal size that stop one byte before their end.
crowd_plan bodiesHeldBack(const std::string &path, std::size_t pieceBytes)
{
    crowd_plan plan;
    plan.connections = 100;
    plan.head = headOf(path, absl::StrCat("Content-Length: ", MaxBodyBytes));
    plan.unit = std::string(65536, 'a');
    plan.units = MaxBodyBytes / plan.unit.size() - 1;
    plan.tail = std::string(plan.unit.size() - 1, 'a');
    plan.pieceBytes = pieceBytes;
    return plan;
}

std::string prefixed(const std::string &encoded)
{
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>(encoded.size() >> shift & 0xFFU));
    return bytes + encoded;
}

class native_crowd_test : public testing::Test
{
protected:
    native_crowd_test()
        : m_base(nextBasePort())
    {
        signal(SIGPIPE, SIG_IGN);
        rlimit limit {};
        getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~native_crowd_test() override
    {
        m_entry.reset();
        if (HasFailure())
            std::system(("tail -n 5 " + m_output).c_str()); // NOLINT(concurrency-mt-unsafe)
        std::remove(m_output.c_str());
    }

    void startEntry(std::size_t maxDescriptors = 0)
    {
        const std::string build = HYSSOPPOND_PROGRAMS;
        const auto at = [](int port) { return absl::StrCat("127.0.0.1:", port); };
        m_log = std::make_unique<child_process>(
            std::vector<std::string> {build + "/hyssoppond-log-standin", "--listen", at(m_base)},
            "/dev/null", 0);
        std::vector<std::string> arguments {build + "/hyssoppond",
                                            "--role",
                                            "entry",
                                            "--name",
                                            "entry-1",
                                            "--zone",
                                            "zone-1",
                                            "--control",
                                            at(control()),
                                            "--http",
                                            at(http()),
                                            "--seeds",
                                            at(control()),
                                            "--log",
                                            at(m_base)};
        // Daemons before the setting existed are tested without it.
        if (run(build + "/hyssoppond --help").find("--memory-mb") != std::string::npos)
            arguments.insert(arguments.end(), {"--memory-mb", absl::StrCat(MemoryMb)});
        m_entry = std::make_unique<child_process>(arguments, m_output, maxDescriptors);
        ASSERT_TRUE(eventually([this] { return isHealthy(); }));
    }

    std::uint16_t http() const { return m_base + 1; }
    std::uint16_t control() const { return m_base + 2; }

    static std::string run(const std::string &command)
    {
        std::string output;
        std::array<char, 4096> buffer {};
        FILE *pipe = popen((command + " 2>&1").c_str(), "r");
        while (pipe != nullptr && fgets(buffer.data(), buffer.size(), pipe) != nullptr)
            output += buffer.data();
        return pipe != nullptr && pclose(pipe) == 0 ? output : "";
    }
    bool isHealthy() const
    {
        return !askOnce(http(), "GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n", "\r\n\r\nok")
                    .empty();
    }
    bool listsNodes() const
    {
        return run(absl::StrCat(HYSSOPPOND_PROGRAMS,
                                "/hyssopctl --timeout 5 --entry 127.0.0.1:", http(), " nodes"))
                   .find("entry-1")
            != std::string::npos;
    }
    /// True if the entry answers the probe of a peer on a new connection.
    bool answersPeer() const
    {
        frame probe;
        probe.kind = frame_kind::Probe;
        probe.sender = process_id("peer");
        return !askOnce(control(), prefixed(encode(probe)), "entry-1").empty();
    }

    void expectServing(std::size_t maxDescriptors = 0)
    {
        m_entry->settle();
        ASSERT_TRUE(m_entry->isAlive());
        EXPECT_TRUE(eventually([this] { return isHealthy(); }));
        EXPECT_TRUE(eventually([this] { return listsNodes(); }));
        EXPECT_TRUE(eventually([this] { return answersPeer(); }));
        ASSERT_TRUE(m_entry->isAlive());
        const std::int64_t peakMb = m_entry->statusKib("VmHWM") / 1024;
        EXPECT_LE(peakMb, MemoryMb + SanitizerMb);
        std::printf("peak memory %lld MB, %zu descriptors\n", static_cast<long long>(peakMb),
                    m_entry->descriptors());
        if (maxDescriptors != 0) {
            EXPECT_LE(m_entry->descriptors(), maxDescriptors - ReservedDescriptors);
        }
    }
    void attack(std::uint16_t port, crowd_plan plan, std::size_t maxDescriptors = 0)
    {
        startEntry(maxDescriptors);
        client_crowd crowd(port, std::move(plan));
        crowd.send();
        expectServing(maxDescriptors);
    }

    /// First port of the next site; each has three.
    static std::uint16_t nextBasePort()
    {
        static std::uint16_t next = 18400;
        return std::exchange(next, static_cast<std::uint16_t>(next + 3));
    }

    std::uint16_t m_base;
    std::string m_output = absl::StrCat(testing::TempDir(), "native-crowd-", getpid(), ".log");
    std::unique_ptr<child_process> m_log;
    std::unique_ptr<child_process> m_entry;
};

// Guards against memory without a bound for bodies that never end.
TEST_F(native_crowd_test, bodiesHeldBackInOnePiece)
{
    attack(http(), bodiesHeldBack(SubmitPath, MaxBodyBytes));
}

// Guards against a bound that counts writes or requests instead of bytes.
TEST_F(native_crowd_test, bodiesHeldBackInSmallPieces)
{
    attack(http(), bodiesHeldBack(SubmitPath, 4096));
}

// Guards against bodies that are held although no procedure has their path.
TEST_F(native_crowd_test, bodiesHeldBackAtUnknownPathsAndAtHealthz)
{
    startEntry();
    client_crowd unknown(http(), bodiesHeldBack("/none", MaxBodyBytes));
    client_crowd health(http(), bodiesHeldBack("/healthz", MaxBodyBytes));
    unknown.send();
    health.send();
    expectServing();
}

// Guards against a bound that needs the length of the body in advance.
TEST_F(native_crowd_test, chunkedBodiesHeldBack)
{
    crowd_plan plan;
    plan.connections = 100;
    plan.head = headOf(SubmitPath, "Transfer-Encoding: chunked");
    plan.unit = "1000\r\n" + std::string(4096, 'a') + "\r\n";
    plan.units = MaxBodyBytes / 4096 - 1;
    attack(http(), plan);
}

// Guards against bodies far over the limit that are held or end the process.
TEST_F(native_crowd_test, bodiesFarOverTheLimit)
{
    crowd_plan plan;
    plan.connections = 16;
    plan.head = headOf(SubmitPath, absl::StrCat("Content-Length: ", 1 << 30));
    plan.unit = std::string(65536, 'a');
    plan.units = 256;
    attack(http(), plan);
}

// Guards against parsed forms that take many times the memory of the body.
TEST_F(native_crowd_test, bodiesOfManyShortFields)
{
    startEntry();
    std::vector<std::unique_ptr<client_crowd>> crowds;
    // Repeated fields, unknown fields and nesting, all of legal size and complete.
    const std::vector<std::string> units {R"("shape":{},)", R"("a":0,)", R"({"a":)"};
    for (const std::string &unit : units) {
        crowd_plan plan;
        plan.connections = 24;
        for (int i = 0; i < 1000; ++i)
            plan.unit += unit;
        plan.units = (MaxBodyBytes - 100) / plan.unit.size();
        plan.tail = R"("team":"none"})";
        const std::size_t size = 1 + plan.unit.size() * plan.units + plan.tail.size();
        plan.head = headOf(SubmitPath, absl::StrCat("Content-Length: ", size)) + "{";
        crowds.push_back(std::make_unique<client_crowd>(http(), plan));
        crowds.back()->send();
    }
    expectServing();
}

// Guards against answers that pile up for clients which do not read.
TEST_F(native_crowd_test, pipelinedRequestsWithoutReading)
{
    crowd_plan plan;
    plan.connections = 50;
    plan.unit = "GET /metrics HTTP/1.1\r\nHost: entry\r\n\r\n";
    plan.units = 5000;
    attack(http(), plan);
}

// Guards against connections with half a head that take all descriptors or connections.
TEST_F(native_crowd_test, headsStoppedHalfway)
{
    crowd_plan plan;
    plan.connections = 600;
    plan.head = "POST " + SubmitPath + " HTTP/1.1\r\nHost: entry\r\nX-Filler: ";
    plan.unit = "abcdefgh";
    plan.units = 1000;
    attack(http(), plan, MaxDescriptors);
}

// Guards against connections without any byte that take all descriptors or connections.
TEST_F(native_crowd_test, silentHttpConnections)
{
    crowd_plan plan;
    plan.connections = 600;
    attack(http(), plan, MaxDescriptors);
}

// Guards against memory without a bound for frames that never end.
TEST_F(native_crowd_test, framesHeldBack)
{
    crowd_plan plan;
    plan.connections = 200;
    plan.head = std::string("\x00\x10\x00\x00", 4); // 1 MiB
    plan.unit = std::string(65536, 'a');
    plan.units = MaxFrameBytes / plan.unit.size() - 1;
    plan.tail = std::string(plan.unit.size() - 1, 'a');
    attack(control(), plan);
}

// Guards against connections without any frame that take the place of peers.
TEST_F(native_crowd_test, silentControlConnections)
{
    crowd_plan plan;
    plan.connections = 600;
    attack(control(), plan, MaxDescriptors);
}

// Guards against garbage that ends the process or keeps it from its peers.
TEST_F(native_crowd_test, garbageOnTheControlPort)
{
    startEntry();
    std::mt19937 random(7);
    crowd_plan plan;
    plan.connections = 100;
    for (int i = 0; i < 4096; ++i)
        plan.unit.push_back(static_cast<char>(random()));
    plan.units = 64;
    client_crowd crowd(control(), plan);
    crowd.send();
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(control());
    inet_pton(AF_INET, "127.0.0.1", &target.sin_addr);
    for (int i = 0; i < 50'000; ++i) {
        const std::size_t size = 1 + random() % (i % 100 == 0 ? 4096 : 1200);
        (void)sendto(fd, plan.unit.data(), size, MSG_DONTWAIT,
                     reinterpret_cast<const sockaddr *>(&target), sizeof target);
    }
    close(fd);
    expectServing();
}

// Guards against limits that callers within the limits meet: 200 at once, each with the largest
// command of a job.
TEST_F(native_crowd_test, ordinaryCallersAreNotClosed)
{
    startEntry();
    crowd_plan plan;
    plan.connections = 200;
    plan.unit = R"({"team":"none","request_id":"a","command":")" + std::string(65'536, 'c') + "\"}";
    plan.units = 1;
    plan.head = headOf(SubmitPath, absl::StrCat("Content-Length: ", plan.unit.size()));
    client_crowd callers(http(), plan);
    callers.send();
    expectServing();
    const std::string counters = run(
        absl::StrCat(HYSSOPPOND_PROGRAMS, "/hyssopctl --entry 127.0.0.1:", http(), " counters"));
    EXPECT_NE(counters.find("UnknownTeam"), std::string::npos) << counters;
    EXPECT_EQ(counters.find("Overloaded"), std::string::npos) << counters;
    EXPECT_EQ(counters.find("closed_early"), std::string::npos) << counters;
}

} // namespace
} // namespace hyssoppond
