/// @file Tests of the load of a keyed topic in pages, while records are appended to it. Each names
/// the failure that it guards against.
#include "batch_site_base.h"

#include "hyssoppond/batch/log_follower_base.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace hyssoppond::batch {
namespace {

using testing::IsEmpty;

constexpr const char *Topic = "keyed.t";

/// Follows a topic of a fake store and checks every millisecond that what was handed over is the
/// newest record of each key as of the follower's position, and that currentAsOf is true.
class followed_topic
{
public:
    explicit followed_topic(std::uint64_t seed = 1)
        : clock(seed)
        , store(&clock)
        , m_port(store.portOf("reader", m_alive))
        , follower({Topic, absl::Milliseconds(100), absl::Milliseconds(50)}, &m_port,
                   {[this] { return clock.now(); }, [this] { return clock.now(); },
                    [this] { return clock.random(); }})
    {
        follower.onLoaded = [this](const std::vector<stored_record> &records) {
            ++loads;
            m_view.clear();
            for (const stored_record &record : records)
                add(record);
            m_nextOffset = follower.position();
            checkView();
        };
        follower.onRecords = [this](const std::vector<stored_record> &records) {
            for (const stored_record &record : records) {
                if (record.offset != m_nextOffset)
                    report(absl::StrCat("got offset ", record.offset, " after ", m_nextOffset));
                add(record);
                m_nextOffset = record.offset + 1;
            }
            checkView();
        };
        clock.every(absl::Milliseconds(1), [this] {
            follower.tick();
            checkCurrentAsOf();
            return true;
        });
    }

    /// Appends a record; an empty value removes the key.
    void put(const std::string &key, const std::string &value = "value")
    {
        store.put(Topic, key, value);
        m_appended.push_back({key, value.empty(), clock.now()});
    }

    /// Starts a barrier and checks what it confirms.
    void startBarrier()
    {
        follower.barrier(clock.now() + absl::Milliseconds(50),
                         [this, end = store.endOf(Topic)](bool current) {
                             barriersConfirmed += current ? 1 : 0;
                             if (current && follower.position() < end)
                                 report(absl::StrCat("barrier at ", follower.position(), " of ",
                                                     end, " records"));
                             checkCurrentAsOf();
                         });
    }

    std::string viewAsText() const { return textOf(m_view); }

    virtual_clock clock;
    fake_store store;

private:
    using offset_by_key = std::map<std::string, std::uint64_t>;

    struct appended_record
    {
        std::string key;
        bool isRemoval = false;
        absl::Time at;
    };

    static std::string textOf(const offset_by_key &view)
    {
        std::string text;
        for (const auto &[key, offset] : view)
            absl::StrAppend(&text, text.empty() ? "" : " ", key, "=", offset);
        return text;
    }

    void add(const stored_record &record)
    {
        if (record.value.empty())
            m_view.erase(record.key);
        else
            m_view[record.key] = record.offset;
    }

    void checkView()
    {
        if (follower.position() != m_nextOffset)
            report(absl::StrCat("position ", follower.position(), " after ", m_nextOffset));
        offset_by_key expected;
        for (std::uint64_t offset = 0; offset < m_nextOffset; ++offset) {
            if (m_appended[offset].isRemoval)
                expected.erase(m_appended[offset].key);
            else
                expected[m_appended[offset].key] = offset;
        }
        if (m_view != expected)
            report(absl::StrCat("as of offset ", m_nextOffset, ": ", textOf(m_view), " instead of ",
                                textOf(expected)));
        checkCurrentAsOf();
    }

    void checkCurrentAsOf()
    {
        for (std::uint64_t offset = m_nextOffset; offset < m_appended.size(); ++offset) {
            if (m_appended[offset].at < follower.currentAsOf())
                report(absl::StrCat("current as of a time after offset ", offset,
                                    ", which was not handed over"));
        }
    }

    void report(const std::string &text)
    {
        if (problem.empty())
            problem = text;
    }

    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    store_port m_port;
    std::vector<appended_record> m_appended;
    offset_by_key m_view; ///< as handed over
    std::uint64_t m_nextOffset = 0;

public:
    log_follower follower;
    std::string problem; ///< first failed check
    std::size_t loads = 0;
    std::size_t barriersConfirmed = 0;
};

// Guards against a state without a key that was written again while the pages were read: its older
// record was in no page, and its newer one was left out of the load.
TEST(batch_load_test, keyWrittenAgainDuringTheLoadIsNeverMissing)
{
    followed_topic topic;
    topic.store.recordsPerPage = 1;
    for (const char *key : {"a", "b", "c"})
        topic.put(key);
    topic.clock.after(absl::Milliseconds(3), [&] { topic.put("c"); });
    topic.clock.runFor(absl::Milliseconds(50));
    EXPECT_EQ(topic.problem, "");
    EXPECT_EQ(topic.viewAsText(), "a=0 b=1 c=3");
    EXPECT_EQ(topic.loads, 1U);
}

// Guards against a key that is handed over although it was removed while the pages were read.
TEST(batch_load_test, keyRemovedDuringTheLoadIsNotHandedOver)
{
    followed_topic topic;
    topic.store.recordsPerPage = 1;
    for (const char *key : {"a", "b", "c"})
        topic.put(key);
    topic.clock.after(absl::Milliseconds(7), [&] { topic.put("a", ""); });
    topic.clock.runFor(absl::Milliseconds(50));
    EXPECT_EQ(topic.problem, "");
    EXPECT_EQ(topic.viewAsText(), "b=1 c=2");
}

// Guards against a load that is never handed over, or with gaps, because the records that were
// appended while the pages were read have expired.
TEST(batch_load_test, loadStartsAgainWhenRecordsSinceItsStartHaveExpired)
{
    followed_topic topic;
    topic.store.recordsPerPage = 1;
    topic.store.keptRecords = 3;
    for (const char *key : {"a", "b", "c"})
        topic.put(key);
    topic.clock.after(absl::Milliseconds(3), [&] {
        for (const char *key : {"d", "a", "b", "d", "c"})
            topic.put(key);
    });
    topic.clock.runFor(absl::Milliseconds(500));
    EXPECT_EQ(topic.problem, "");
    EXPECT_EQ(topic.viewAsText(), "a=4 b=5 c=7 d=6");
    EXPECT_EQ(topic.loads, 1U);
}

// Guards against a load that never ends on a large site, as it began with the first of many pages
// again whenever one got no answer.
TEST(batch_load_test, loadGoesOnAfterAPageWithoutAnswer)
{
    virtual_clock clock;
    fake_store store(&clock);
    store.recordsPerPage = 1;
    constexpr std::size_t Keys = 12;
    for (std::size_t i = 0; i < Keys; ++i)
        store.put(Topic, absl::StrCat(i), "value");
    store_port port = store.portOf("reader", std::make_shared<bool>(true));
    std::size_t pages = 0;
    port.newest = [&pages, &clock, newest = port.newest](
                      newest_request request, const std::function<void(newest_answer)> &done) {
        if (++pages % 4 == 0)
            clock.at(request.deadline, [done] { done({}); });
        else
            newest(std::move(request), done);
    };
    log_follower follower({Topic}, &port,
                          {[&clock] { return clock.now(); }, [&clock] { return clock.now(); },
                           [&clock] { return clock.random(); }});
    std::vector<stored_record> loaded;
    follower.onLoaded = [&loaded](const std::vector<stored_record> &records) { loaded = records; };
    follower.onRecords = [](const std::vector<stored_record> &) {};
    for (int i = 0; i < 2'000 && !follower.isLoaded(); ++i) {
        follower.tick();
        clock.runFor(absl::Milliseconds(10));
    }
    EXPECT_EQ(loaded.size(), Keys);
}

// Guards against a second long read beside the first one, which costs calls: entries and agents
// tick the follower while they take over its load.
TEST(batch_load_test, oneReadIsInFlightAfterTheLoad)
{
    virtual_clock clock;
    fake_store store(&clock);
    store.put(Topic, "a", "value");
    store_port port = store.portOf("reader", std::make_shared<bool>(true));
    int reads = 0;
    port.read
        = [&reads, read = port.read](read_request request, std::function<void(read_answer)> done) {
              ++reads;
              read(std::move(request), std::move(done));
          };
    log_follower follower({Topic}, &port,
                          {[&clock] { return clock.now(); }, [&clock] { return clock.now(); },
                           [&clock] { return clock.random(); }});
    follower.onLoaded = [&follower](const auto &) { follower.tick(); };
    follower.tick();
    clock.runFor(absl::Milliseconds(100));
    EXPECT_EQ(reads, 1);
}

// Guards against an agent that falls behind, so that its leases lapse: a read that does not reach
// the end of the log, as it is limited or came through a peer, was followed by the pause that
// collects new records.
TEST(batch_load_test, readsWithoutAPauseUntilTheEndOfTheLog)
{
    followed_topic topic;
    topic.store.recordsPerRead = 2;
    topic.follower.setMinReadInterval(absl::Milliseconds(500));
    topic.clock.runFor(absl::Milliseconds(50));
    for (int i = 0; i < 20; ++i)
        topic.put("a");
    topic.clock.runFor(absl::Milliseconds(200));
    EXPECT_EQ(topic.follower.position(), 20U);
    EXPECT_EQ(topic.problem, "");
}

class batch_load_seed_test : public testing::TestWithParam<std::uint64_t>
{ };

// Guards against records that are missing, skipped or handed over twice, and against currentAsOf
// and barriers that promise too much, while loads and reloads overlap with appends, failed calls,
// short reads and expired records.
TEST_P(batch_load_seed_test, viewIsAlwaysTheNewestRecordsAsOfOneOffset)
{
    followed_topic topic(GetParam());
    virtual_clock &clock = topic.clock;
    fake_store &store = topic.store;
    store.recordsPerPage = 1 + clock.random() % 4;
    store.recordsPerRead = 1 + clock.random() % 6;
    store.keptRecords = 40;
    const auto putSome = [&] {
        topic.put(absl::StrCat("key-", clock.random() % 15), clock.uniform() < 0.15 ? "" : "value");
    };
    for (int i = 0; i < 60; ++i)
        putSome();
    constexpr int Steps = 400;
    for (int i = 0; i < Steps; ++i) {
        store_faults &fault = store.faults["reader"];
        fault.answerDelay = absl::Milliseconds(1 + clock.random() % 6);
        fault.refuse = clock.uniform() < 0.03;
        fault.silent = clock.uniform() < 0.03;
        // A long gap lets the records at the follower's position expire.
        const std::size_t appends = clock.uniform() < 0.02 ? 60 : clock.random() % 4;
        for (std::size_t n = 0; n < appends; ++n)
            putSome();
        if (clock.uniform() < 0.3)
            topic.startBarrier();
        clock.runFor(absl::Milliseconds(clock.random() % 20));
    }
    store.faults["reader"] = {};
    clock.runFor(absl::Seconds(3));
    EXPECT_EQ(topic.problem, "");
    EXPECT_EQ(topic.follower.position(), store.endOf(Topic));
    EXPECT_GT(topic.loads, 1U);
    EXPECT_GT(topic.barriersConfirmed, 0U);
}

INSTANTIATE_TEST_SUITE_P(seeds, batch_load_seed_test, testing::Range<std::uint64_t>(1, 51));

std::string deciderOf(const batch_site &site)
{
    for (const auto &[name, entry] : site.entries) {
        if (entry->node->isDeciding())
            return name;
    }
    return "";
}

// Guards against two runs of one item at the same time: an entry loads the journal while the
// submission of a running job is recorded again, and orders its first run once more as the decider.
TEST(batch_load_test, submissionRepeatedDuringTheLoadStartsNoSecondRun)
{
    batch_site site(1, 3, 2);
    for (auto &[name, worker] : site.workers)
        worker->itemTime = absl::Seconds(30);
    site.workers.at("agent-0")->setDraining(0);
    site.clock.runFor(absl::Seconds(5));
    const std::string id = batch_site::idOf(1);
    site.submit("entry-1", id, "normal", batch_site::stepOf(2, 8, false));
    site.clock.runFor(absl::Seconds(1));
    ASSERT_EQ(site.history.starts, 2U);
    site.workers.at("agent-0")->restart();
    site.clock.runFor(absl::Seconds(5));
    ASSERT_EQ(site.workers.at("agent-0")->running(), 0U);
    site.store.recordsPerPage = 1;
    site.store.faults["entry"].answerDelay = absl::Milliseconds(20);
    site.startEntry("entry"); // the first name is preferred as the decider
    // The pages before the submission's own take longer than this.
    site.clock.after(absl::Milliseconds(40), [&site, id] {
        batch_record record
            = job_submitted {site.entries.at("entry-1")->node->state().find(job_id(id))->job};
        site.store.put(JournalTopic, keyOf(record), encodeRecord(record));
    });
    site.clock.runFor(absl::Seconds(2));
    site.kill("entry-0"); // a decider that is well stays
    site.clock.runFor(absl::Seconds(8));
    EXPECT_EQ(deciderOf(site), "entry");
    EXPECT_THAT(site.history.breaches, IsEmpty()) << site.decisionsAbout(id);
    EXPECT_EQ(site.history.starts, 2U);
}

// Guards against a second run after the end of the first one: the store carries out the append of
// an earlier process of the agent late, and an entry that loads the journal finds only that record.
TEST(batch_load_test, lateEndOfAnEarlierProcessStartsNoSecondRun)
{
    batch_site site(1, 1, 2);
    site.clock.runFor(absl::Seconds(5));
    const std::string id = batch_site::idOf(1);
    site.submit("entry-1", id, "normal", batch_site::stepOf(1, 1, false));
    site.clock.runFor(absl::Seconds(4));
    ASSERT_EQ(site.history.done, 1U);
    constexpr incarnation_number EarlierProcess = 0;
    const run_ended late {{job_id(id), 0, 0, 0}, 1,  0,    process_id("agent-0"),
                          run_end::NotStarted,   "", false};
    site.store.put(JournalTopic, keyOf(late, EarlierProcess), encodeRecord(late));
    site.startEntry("entry"); // the first name is preferred as the decider
    site.clock.runFor(absl::Seconds(2));
    site.kill("entry-0"); // a decider that is well stays
    site.clock.runFor(absl::Seconds(4));
    EXPECT_EQ(deciderOf(site), "entry");
    EXPECT_THAT(site.history.breaches, IsEmpty()) << site.decisionsAbout(id);
    EXPECT_EQ(site.history.starts, 1U);
}

// Guards against an end that its agent replaces in the store, which starts the item again: the
// agent records the end of a run while it loads the journal, and the load is older than that
// record.
TEST(batch_load_test, endRecordedDuringTheLoadIsKnownAfterIt)
{
    batch_site site(1, 1, 1);
    site.datagramLoss = 1.0;
    site.workers.at("agent-0")->itemTime = absl::Seconds(6);
    site.clock.runFor(absl::Seconds(5));
    const std::string id = batch_site::idOf(1);
    site.submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
    site.clock.runFor(absl::Seconds(1));
    ASSERT_EQ(site.workers.at("agent-0")->running(), 1U);

    // The records that the agent would have to read next expire.
    store_faults &fault = site.store.faults["agent-0"];
    fault.silent = true;
    site.store.keptRecords = 5;
    for (int i = 0; i < 20; ++i) {
        const batch_record other = process_started {process_id("other"), 1, false, ""};
        site.store.put(JournalTopic, keyOf(other), encodeRecord(other));
        site.clock.runFor(absl::Milliseconds(50));
    }
    // The answer to the page takes until after the end of the run.
    constexpr absl::Duration PageDelay = absl::Seconds(4);
    store_port &direct = site.agents.at("agent-0")->direct;
    bool pageServed = false;
    direct.newest = [&, newest = direct.newest](newest_request request, auto done) {
        request.deadline = absl::InfiniteFuture();
        newest(request, [&, done](const newest_answer &answer) {
            pageServed = true;
            site.clock.after(PageDelay, [done, answer] { done(answer); });
        });
    };
    fault.silent = false;
    const auto recordedEnds = [&site] {
        const std::vector<stored_record> &records = site.store.recordsOf(JournalTopic);
        return std::count_if(records.begin(), records.end(), [](const stored_record &record) {
            return record.key.starts_with("e:");
        });
    };
    for (int i = 0; i < 1'000 && recordedEnds() == 0; ++i)
        site.clock.runFor(absl::Milliseconds(10));
    ASSERT_TRUE(pageServed);
    // The store is silent again while the load is handed over.
    fault.silent = true;
    site.clock.runFor(PageDelay + absl::Seconds(1));
    fault.silent = false;
    site.clock.runFor(absl::Seconds(5));
    EXPECT_EQ(recordedEnds(), 1) << site.decisionsAbout(id);
    EXPECT_EQ(site.history.starts, 1U);
}

class batch_site_load_test : public testing::TestWithParam<std::uint64_t>
{ };

// Guards against a second run, and against a job that never ends, when entries and agents start all
// the time and load the journal in many slow pages, while submissions are recorded again.
TEST_P(batch_site_load_test, slowLoadsStartNoSecondRun)
{
    batch_site site(GetParam(), 4, 3);
    virtual_clock &clock = site.clock;
    for (auto &[name, worker] : site.workers)
        worker->itemTime = absl::Seconds(1 + 6 * clock.uniform());
    clock.runFor(absl::Seconds(5));
    site.store.recordsPerPage = 1 + clock.random() % 8;
    site.store.recordsPerRead = 3 + clock.random() % 20;
    const auto repeatSubmission = [&site, &clock] {
        if (site.entries.empty())
            return;
        const auto &jobs = site.entries.begin()->second->node->state().jobs();
        if (jobs.empty())
            return;
        const auto job
            = std::next(jobs.begin(), static_cast<std::ptrdiff_t>(clock.random() % jobs.size()));
        const batch_record record = job_submitted {job->second.job};
        site.store.put(JournalTopic, keyOf(record), encodeRecord(record));
    };
    std::vector<std::string> ids;
    constexpr int Steps = 30;
    for (int i = 0; i < Steps; ++i) {
        ids.push_back(batch_site::idOf(1'000 + static_cast<std::uint64_t>(i)));
        const std::string entry = absl::StrCat("entry-", clock.random() % 3);
        const std::string agent = absl::StrCat("agent-", clock.random() % 4);
        site.submit(entry, ids.back(), "normal",
                    batch_site::stepOf(1 + clock.random() % 4, 1 + clock.random() % 6,
                                       clock.uniform() < 0.6));
        if (clock.uniform() < 0.5) {
            site.kill(entry);
            site.store.faults[entry].answerDelay = absl::Milliseconds(4 + clock.random() % 20);
            site.startEntry(entry);
        }
        if (clock.uniform() < 0.2) {
            site.kill(agent);
            site.startAgent(agent);
        }
        if (clock.uniform() < 0.1)
            site.workers.at(agent)->restart();
        for (int n = 0; n < 10; ++n) {
            repeatSubmission();
            clock.runFor(absl::Milliseconds(clock.random() % 200));
        }
    }
    for (auto &[name, fault] : site.store.faults)
        fault = {};
    clock.runFor(absl::Seconds(90));
    for (const std::string &breach : site.history.breaches)
        ADD_FAILURE() << breach << "\n" << site.decisionsAbout(breach.substr(0, breach.find(' ')));
    const batch_state &state = site.entries.begin()->second->node->state();
    for (const std::string &id : ids) {
        const job_state *job = state.find(job_id(id));
        if (job == nullptr)
            continue; // its submission was refused, or its entry was killed
        EXPECT_EQ(job->status(), job_status::Completed) << site.decisionsAbout(id);
    }
    EXPECT_GT(site.history.done, 0U);
}

INSTANTIATE_TEST_SUITE_P(seeds, batch_site_load_test, testing::Range<std::uint64_t>(1, 41));

} // namespace
} // namespace hyssoppond::batch
