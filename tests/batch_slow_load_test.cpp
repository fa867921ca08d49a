/// @file Tests of loads and reads whose answers take longer than a usual one. Each names the
/// failure that it guards against.
#include "hyssoppond/batch/log_follower_base.h"
#include "hyssoppond/fakes/fake_store_base.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace hyssoppond::batch {
namespace {

constexpr const char *Topic = "keyed.t";

/// Time in which a load or a read goes on after the store has returned.
constexpr absl::Duration MaxResumeTime = absl::Seconds(2);

/// A follower with the usual settings on a fake store.
class slow_store_site
{
public:
    explicit slow_store_site(std::size_t keys, std::uint64_t seed = 1)
        : clock(seed)
        , store(&clock)
        , port(store.portOf("reader", std::make_shared<bool>(true)))
        , follower({Topic}, &port,
                   {[this] { return clock.now(); }, [this] { return clock.now(); },
                    [this] { return clock.random(); }})
    {
        for (std::size_t i = 0; i < keys; ++i)
            store.put(Topic, absl::StrCat("key-", i), "value");
        follower.onLoaded = [this](const std::vector<stored_record> &records) {
            loadedRecords = records.size();
            loadedAt = clock.now();
        };
        follower.onRecords = [this](const std::vector<stored_record> &records) {
            followedRecords += records.size();
        };
        clock.every(absl::Milliseconds(5), [this] {
            follower.tick();
            return true;
        });
    }

    store_faults &faults() { return store.faults["reader"]; }
    bool hasAll() const { return follower.isLoaded() && follower.position() == store.endOf(Topic); }
    /// Time until the follower has all records; InfiniteDuration if that takes over a minute.
    absl::Duration timeUntilCurrent()
    {
        const absl::Time startedAt = clock.now();
        while (!hasAll() && clock.now() - startedAt < absl::Minutes(1))
            clock.runFor(absl::Milliseconds(5));
        return hasAll() ? clock.now() - startedAt : absl::InfiniteDuration();
    }

    virtual_clock clock;
    fake_store store;
    store_port port;
    log_follower follower;
    std::size_t loadedRecords = 0;
    std::size_t followedRecords = 0;
    absl::Time loadedAt = absl::InfiniteFuture();
};

class batch_slow_load_test : public testing::TestWithParam<absl::Duration>
{ };

// Guards against a process that never loads the journal over a slow link: each try of a page was
// cut off after the same time, and the next one started from nothing.
TEST_P(batch_slow_load_test, pageThatTakesLongArrives)
{
    slow_store_site site(3);
    site.store.recordsPerPage = 1;
    site.faults().answerDelay = GetParam();
    RecordProperty("ms", absl::StrCat(absl::ToInt64Milliseconds(site.timeUntilCurrent())));
    EXPECT_EQ(site.loadedRecords, 3U);
}

// Guards against a load that never ends as the records that came in meanwhile take too long.
TEST_P(batch_slow_load_test, recordsThatCameInDuringTheLoadArrive)
{
    slow_store_site site(1);
    store_port &port = site.port;
    port.newest = [&site, newest = port.newest](const newest_request &request, auto done) {
        newest(request, [&site, done](const newest_answer &answer) {
            site.store.put(Topic, "later", "value");
            // The page holds a record that its `end` does not cover, so the log is read too.
            newest_answer newer = answer;
            newer.records.push_back({"later", "value", site.store.endOf(Topic) - 1});
            site.faults().answerDelay = GetParam();
            done(newer);
        });
    };
    site.timeUntilCurrent();
    EXPECT_EQ(site.loadedRecords, 2U);
}

// Guards against a process that never reads on after a long cut: the many records that came in
// meanwhile take longer than a usual read.
TEST_P(batch_slow_load_test, readOfManyRecordsAfterACutArrives)
{
    slow_store_site site(1);
    ASSERT_LT(site.timeUntilCurrent(), absl::Seconds(1));
    site.faults().silent = true;
    site.clock.runFor(absl::Seconds(10));
    for (int i = 0; i < 500; ++i)
        site.store.put(Topic, "key", "value");
    site.faults().silent = false;
    site.faults().answerDelay = GetParam();
    RecordProperty("ms", absl::StrCat(absl::ToInt64Milliseconds(site.timeUntilCurrent())));
    EXPECT_EQ(site.followedRecords, 500U);
}

INSTANTIATE_TEST_SUITE_P(delays, batch_slow_load_test,
                         testing::Values(absl::Milliseconds(1'500), absl::Seconds(3)));

// Guards against a pause between a load that took a long try and the first read after it.
TEST(batch_slow_load_follow_test, readAfterALongTryBeginsAtOnce)
{
    for (int delayMs = 1'300; delayMs < 4'500; delayMs += 100) {
        slow_store_site site(1);
        site.faults().answerDelay = absl::Milliseconds(delayMs);
        absl::Time readAt = absl::InfiniteFuture();
        site.port.read = [&, read = site.port.read](const read_request &request, auto done) {
            readAt = std::min(readAt, site.clock.now());
            read(request, done);
        };
        site.clock.runFor(absl::Seconds(20));
        ASSERT_EQ(site.loadedRecords, 1U);
        EXPECT_LE(readAt, site.loadedAt + absl::Milliseconds(5)) << delayMs << " ms";
    }
}

// Guards against tries that keep each other from arriving: all of them share the link.
TEST(batch_slow_link_test, pageArrivesOverALinkThatItsTriesShare)
{
    slow_store_site site(1);
    struct transfer
    {
        absl::Duration left;
        absl::Time deadline;
        newest_answer answer;
        std::function<void(newest_answer)> done;
    };
    std::vector<transfer> transfers;
    store_port &port = site.port;
    port.newest = [&, newest = port.newest](const newest_request &request, auto done) {
        newest(request, [&, done, deadline = request.deadline](const newest_answer &answer) {
            transfers.push_back({absl::Seconds(2), deadline, answer, done});
        });
    };
    constexpr absl::Duration Step = absl::Milliseconds(5);
    site.clock.every(Step, [&] {
        const double share = 1.0 / static_cast<double>(std::max<std::size_t>(1, transfers.size()));
        std::vector<std::function<void()>> ended;
        std::erase_if(transfers, [&](transfer &current) {
            current.left -= Step * share;
            const bool complete = current.left <= absl::ZeroDuration();
            if (!complete && site.clock.now() < current.deadline)
                return false;
            ended.push_back(
                [done = current.done, answer = complete ? current.answer : newest_answer {}] {
                    done(answer);
                });
            return true;
        });
        for (const auto &end : ended)
            end();
        return true;
    });
    RecordProperty("ms", absl::StrCat(absl::ToInt64Milliseconds(site.timeUntilCurrent())));
    EXPECT_EQ(site.loadedRecords, 1U);
}

/// Longest and mean time from the return of a store, which was silent from `silentFrom` on for up
/// to 20 s, until a follower of two pages has all records.
void expectSoonAfterReturn(absl::Duration silentFrom, absl::Duration answerDelay,
                           absl::Duration bound)
{
    absl::Duration longest;
    absl::Duration sum;
    int runs = 0;
    for (absl::Duration silence = absl::Milliseconds(500); silence < absl::Seconds(20);
         silence += absl::Milliseconds(50)) {
        slow_store_site site(2, static_cast<std::uint64_t>(++runs));
        site.store.recordsPerPage = 1;
        site.clock.runFor(silentFrom);
        site.faults().silent = true;
        site.clock.runFor(silence);
        site.store.put(Topic, "newer", "value");
        site.faults().silent = false;
        site.faults().answerDelay = answerDelay;
        const absl::Duration time = site.timeUntilCurrent();
        longest = std::max(longest, time);
        sum += time;
    }
    testing::Test::RecordProperty("longestMs", absl::StrCat(absl::ToInt64Milliseconds(longest)));
    testing::Test::RecordProperty("meanMs", absl::StrCat(absl::ToInt64Milliseconds(sum / runs)));
    EXPECT_LE(longest, bound);
}

// Guards against a load that waits for a try that was lost while the store was silent, long after
// the store has returned.
TEST(batch_silent_store_test, loadGoesOnSoonAfterTheStoreReturns)
{
    expectSoonAfterReturn(absl::ZeroDuration(), absl::Milliseconds(4), MaxResumeTime);
}

// Guards against the same where the store falls silent between two pages.
TEST(batch_silent_store_test, loadGoesOnAfterItsFirstPage)
{
    expectSoonAfterReturn(absl::Milliseconds(7), absl::Milliseconds(4), MaxResumeTime);
}

// Guards against a page over a slow link that never arrives once the store was silent.
TEST(batch_silent_store_test, loadOverASlowLinkGoesOnAfterTheStoreReturns)
{
    constexpr absl::Duration PageTime = absl::Seconds(3);
    constexpr int Answers = 4; // two or three pages, and the log since the first one
    expectSoonAfterReturn(absl::Milliseconds(7), PageTime,
                          follower_options().maxAnswerTimeout
                              + Answers * (MaxResumeTime + PageTime));
}

// Guards against the same for the reads after the load, which leases rest on. The read that meets
// the silence may first wait for a record.
TEST(batch_silent_store_test, readsGoOnSoonAfterTheStoreReturns)
{
    expectSoonAfterReturn(absl::Seconds(5), absl::Milliseconds(4),
                          MaxResumeTime + follower_options().wait);
}

// Guards against tries that pile up at a store that is too slow to answer.
TEST(batch_silent_store_test, triesDoNotPileUp)
{
    slow_store_site site(1);
    std::size_t calls = 0;
    std::size_t inFlight = 0;
    std::size_t mostInFlight = 0;
    site.faults().silent = true;
    site.port.newest = [&, newest = site.port.newest](const newest_request &request, auto done) {
        ++calls;
        mostInFlight = std::max(mostInFlight, ++inFlight);
        newest(request, [&, done](const newest_answer &answer) {
            --inFlight;
            done(answer);
        });
    };
    constexpr absl::Duration Silence = absl::Minutes(1);
    site.clock.runFor(Silence);
    RecordProperty("calls", static_cast<int>(calls));
    EXPECT_LE(calls, static_cast<std::size_t>(Silence / follower_options().answerTimeout));
    EXPECT_LE(mostInFlight, 2U);
}

} // namespace
} // namespace hyssoppond::batch
