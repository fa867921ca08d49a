/// @file Tests of batch jobs with suspended machines, in virtual time. Each names the failure that
/// it guards against.
#include "batch_site_base.h"

#include "hyssoppond/batch/lease_rule_func.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppond::batch {
namespace {

using testing::Contains;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::Not;

/// Time until entries and agents know each other and one entry decides.
constexpr absl::Duration StartTime = absl::Seconds(5);

/// Item time that outlasts a test.
constexpr absl::Duration EndlessItemTime = absl::Minutes(60);

/// Longest poll of a worker by its agent, and with it the period in which the lease is renewed.
constexpr absl::Duration LongestPoll = absl::Milliseconds(1'500);

class batch_suspend_test : public testing::Test
{
protected:
    void start(std::size_t workers, std::size_t entries)
    {
        m_site = std::make_unique<batch_site>(1, workers, entries);
        m_site->clock.runFor(StartTime);
    }

    /// Cuts a process off from the store, directly and through its peers.
    template<class process>
    void cutOff(const std::string &name, process *siteProcess)
    {
        m_site->store.faults[name].silent = true;
        siteProcess->relay->peers = [] { return std::vector<std::string>(); };
    }

    /// Runs items on the worker of agent-0, suspends that agent while its lease is fresh, and cuts
    /// it off for good. `phase` shifts the suspension against the heartbeats of the agent, and
    /// `readPhase`, if it is given, its reads of the journal against its polls of the worker.
    void suspendAnAgentWithRuns(suspended_clock processClock, absl::Duration phase,
                                std::optional<absl::Duration> readPhase)
    {
        start(2, 2);
        fake_item_worker &worker = *m_site->workers.at("agent-0");
        worker.itemTime = EndlessItemTime;
        worker.clockRate = 1.0 - WorkerClockError;
        m_site->workers.at("agent-1")->setDraining(0);
        m_site->clock.runFor(absl::Seconds(2));
        m_site->submit("entry-0", batch_site::idOf(1), "normal", batch_site::stepOf(2, 2, false));
        if (readPhase) {
            // The next read begins when a record ends the present one; this record has no effect.
            m_site->clock.after(absl::Seconds(2) + *readPhase,
                                [this] { m_site->store.put(JournalTopic, "none", ""); });
        }
        m_site->clock.runFor(absl::Seconds(4) + phase);
        ASSERT_EQ(worker.running(), 2U);
        const std::size_t calls = worker.calls;
        while (worker.calls == calls)
            m_site->clock.runFor(absl::Milliseconds(5));
        // Shorter than the lease, so that the runs go on.
        m_site->suspend("agent-0", absl::Milliseconds(5'800), processClock);
        cutOff("agent-0", m_site->agents.at("agent-0").get());
        m_site->workers.at("agent-1")->restart();
        m_site->clock.runFor(absl::Seconds(25));
    }

    /// Revokes the only key while entry-0 is suspended and cut off, and returns the reply to a call
    /// with that key after the time for which keys are valid.
    job_reply callWithARevokedKey(suspended_clock processClock)
    {
        start(1, 2);
        const std::string id = batch_site::idOf(1);
        m_site->submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
        m_site->clock.runFor(absl::Seconds(5));
        cutOff("entry-0", m_site->entries.at("entry-0").get());
        m_site->suspend("entry-0", absl::Seconds(8), processClock);
        // The read in flight has been answered by then.
        m_site->clock.runFor(follower_options().wait + absl::Milliseconds(100));
        ++m_site->config.version;
        m_site->config.teams.front().keys.clear();
        m_site->store.put("op", "config", "2");
        m_site->clock.runFor(batch_entry_options().apiKeyValidity + absl::Milliseconds(1'500));
        const auto reply = m_site->call("entry-0", call_kind::Status, "/normal/" + id);
        m_site->clock.runFor(absl::Seconds(1));
        return *reply;
    }

    /// Suspends an agent in all phases, and calls `check` after each.
    void suspendInAllPhases(suspended_clock processClock, const std::function<void()> &check)
    {
        std::vector<std::optional<absl::Duration>> readPhases {std::nullopt};
        for (absl::Duration readPhase; readPhase < LongestPoll;
             readPhase += absl::Milliseconds(250))
            readPhases.emplace_back(readPhase);
        for (const std::optional<absl::Duration> &readPhase : readPhases) {
            for (absl::Duration phase; phase < LongestPoll; phase += absl::Milliseconds(100)) {
                suspendAnAgentWithRuns(processClock, phase, readPhase);
                check();
            }
        }
    }

    std::unique_ptr<batch_site> m_site;
};

// Guards against a second run of an item because an agent that was suspended, and then cannot reach
// the store, takes its last read of the journal for younger than it is.
TEST_F(batch_suspend_test, suspendedAgentKeepsTheLeaseRule)
{
    suspendInAllPhases(suspended_clock::GoesOn, [this] {
        EXPECT_THAT(m_site->history.breaches, IsEmpty())
            << m_site->decisionsAbout(batch_site::idOf(1));
        EXPECT_EQ(m_site->history.starts, 4U)
            << "the runs of the suspended agent were not given away";
    });
}

// Guards against a schedule that does not show the fault of the test above: with a clock that
// stands still during a suspension, the items run twice.
TEST_F(batch_suspend_test, agentNeedsAClockThatCountsSuspendedTime)
{
    std::vector<std::string> breaches;
    suspendInAllPhases(suspended_clock::StandsStill, [this, &breaches] {
        breaches.insert(breaches.end(), m_site->history.breaches.begin(),
                        m_site->history.breaches.end());
    });
    EXPECT_THAT(breaches, Contains(HasSubstr("has 2 runs")));
}

// Guards against revoked keys that an entry accepts for too long after it was suspended.
TEST_F(batch_suspend_test, suspendedEntryRefusesKeysThatMayBeRevoked)
{
    EXPECT_EQ(callWithARevokedKey(suspended_clock::GoesOn).kind, reply_kind::Refused);
}

// Guards against a schedule that does not show the fault of the test above: with a clock that
// stands still during a suspension, the entry accepts the revoked key.
TEST_F(batch_suspend_test, entryNeedsAClockThatCountsSuspendedTime)
{
    EXPECT_EQ(callWithARevokedKey(suspended_clock::StandsStill).kind, reply_kind::Status);
}

// Guards against an entry that refuses calls for longer than one answer of the store after its
// suspension, because it waits for a change of the configuration first.
TEST_F(batch_suspend_test, entryServesCallsSoonAfterItsSuspension)
{
    start(1, 2);
    const std::string id = batch_site::idOf(1);
    m_site->submit("entry-0", id, "normal", batch_site::stepOf(1, 1, false));
    m_site->clock.runFor(absl::Seconds(5));
    m_site->suspend("entry-0", absl::Seconds(5), suspended_clock::GoesOn);
    m_site->clock.runFor(absl::Milliseconds(5'100));
    const auto reply = m_site->call("entry-0", call_kind::Status, "/normal/" + id);
    m_site->clock.runFor(absl::Milliseconds(100));
    EXPECT_EQ(reply->kind, reply_kind::Status) << reply->message;
}

// Guards against a decider that evicts agents, or gives them no work, because it received no
// heartbeats while it was suspended itself.
TEST_F(batch_suspend_test, suspendedDeciderEvictsNoAgent)
{
    std::uint64_t jobs = 0;
    start(3, 1);
    for (auto &[name, worker] : m_site->workers)
        worker->itemTime = EndlessItemTime;
    m_site->submit("entry-0", batch_site::idOf(++jobs), "normal", batch_site::stepOf(6, 2, false));
    m_site->clock.runFor(absl::Seconds(3));
    ASSERT_EQ(m_site->history.starts, 6U);
    // Reads of the heartbeats are often in flight at the start of a suspension.
    m_site->store.faults["entry-0"].answerDelay = absl::Milliseconds(240);
    for (const int ms : {1'900, 2'100, 3'400, 5'000}) {
        for (int pauseMs = 1'500; pauseMs < 3'500; pauseMs += 70) {
            m_site->suspend("entry-0", absl::Milliseconds(ms), suspended_clock::GoesOn);
            m_site->clock.runFor(absl::Milliseconds(ms + pauseMs));
        }
        const std::size_t starts = m_site->history.starts;
        const auto reply = m_site->submit("entry-0", batch_site::idOf(++jobs), "normal",
                                          batch_site::stepOf(1, 1, false));
        m_site->clock.runFor(absl::Milliseconds(1'500));
        EXPECT_EQ(m_site->history.starts, starts + 1) << "after " << ms << " ms\n"
                                                      << reply->message;
    }
    EXPECT_THAT(m_site->decisionsAbout("agent-"), Not(HasSubstr("agent evicted")));
    EXPECT_THAT(m_site->history.breaches, IsEmpty());
}

} // namespace
} // namespace hyssoppond::batch
