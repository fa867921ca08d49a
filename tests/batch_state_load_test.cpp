/// @file Tests that a load of the journal gives the state that its records gave one by one,
/// although the store keeps only the newest record of each key. Each names the failure that it
/// guards against.
#include "hyssoppond/batch/batch_entry_base.h"
#include "hyssoppond/fakes/fake_store_base.h"

#include <absl/strings/str_cat.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hyssoppond::batch {
namespace {

std::string textOf(const unit_id &id, const unit_state &unit)
{
    std::string text = absl::StrCat("  ", toString(id), unit.done ? " done" : "", " run ",
                                    unit.lastRun, " failures ", unit.failures);
    if (unit.active) {
        absl::StrAppend(&text, unit.active->stopping ? " stopping" : " active");
        for (const member_state &member : unit.active->members)
            absl::StrAppend(&text, " ", member.member.agent.str(), "@", member.member.workerStartMs,
                            ":", std::string(member.end ? RunEndNames.name(*member.end) : "runs"));
    }
    return text + "\n";
}

/// What callers, workers and the decider depend on.
std::string textOf(const batch_state &state)
{
    std::string text;
    for (const auto &[id, job] : state.jobs()) {
        absl::StrAppend(&text, id.str(), " status ", static_cast<int>(job.status()), " runs ",
                        job.activeRuns, "\n");
        for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
            for (std::uint32_t step = 0; step < job.occurrences[k].steps.size(); ++step) {
                const auto &units = job.occurrences[k].steps[step].units;
                for (std::uint32_t i = 0; i < units.size(); ++i)
                    absl::StrAppend(&text, textOf(unit_id {id, k, step, i}, units[i]));
            }
        }
    }
    for (const auto &[agent, announced] : state.agents()) {
        absl::StrAppend(&text, agent.str(), announced.hasWorker ? " worker " : " no worker ",
                        announced.worker.workerStartMs, announced.worker.draining ? " drains" : "",
                        state.isEvicted(agent) ? " evicted" : "",
                        state.isEnding(agent) ? " ending" : "", ":");
        for (const unit_id &unit : state.runsOn(agent))
            absl::StrAppend(&text, " ", toString(unit));
        absl::StrAppend(&text, "\n");
    }
    absl::StrAppend(&text, "decider ", state.grant().entry.str(), " ", state.grant().epoch,
                    ", pending ", state.pendingJobs("queue"));
    return text;
}

/// Writes a random valid history of the journal.
class random_history
{
public:
    random_history(virtual_clock *clock, fake_store *store)
        : m_clock(clock)
        , m_store(store)
    {
        for (std::uint64_t i = 0; i < Agents; ++i) {
            m_agents.push_back(process_id(absl::StrCat("agent-", i)));
            announce(m_agents.back(), true, ++m_lastStartMs);
        }
    }

    void writeNext()
    {
        readOwn();
        const std::uint64_t action = m_clock->random() % 100;
        if (action < 12 || m_state.jobs().empty())
            submit();
        else if (action < 18)
            repeatSubmission();
        else if (action < 45)
            order();
        else if (action < 70)
            endRun();
        else if (action < 74)
            stopRun();
        else if (action < 82)
            changeWorker();
        else if (action < 88)
            changeEviction();
        else if (action < 92)
            declareLost();
        else if (action < 94)
            endRunAgain();
        else if (action < 97)
            endJob();
        else
            write(decider_granted {process_id("entry"), ++m_epoch});
    }

private:
    static constexpr std::uint64_t Agents = 3;

    struct open_member
    {
        unit_id unit;
        std::uint32_t run = 0;
        run_member member;
    };

    void write(const batch_record &record)
    {
        m_store->put(JournalTopic, keyOf(record), encodeRecord(record));
        readOwn();
    }

    /// Applies what was written since the last call, also by others.
    void readOwn()
    {
        const std::vector<stored_record> &records = m_store->recordsOf(JournalTopic);
        for (; m_position < records.size(); ++m_position)
            m_state.apply(*decodeRecord(records[m_position].value), m_position);
    }

    const process_id &randomAgent() { return m_agents[m_clock->random() % m_agents.size()]; }

    template<class container>
    auto pick(const container &from)
    {
        return std::next(from.begin(),
                         static_cast<std::ptrdiff_t>(m_clock->random() % from.size()));
    }

    void submit()
    {
        batch_job job;
        job.id = job_id(absl::StrCat(absl::Hex(m_state.jobs().size() + 1, absl::kZeroPad16)));
        job.queue = "queue";
        job.submittedMs = ++m_lastStartMs;
        const std::size_t steps = 1 + m_clock->random() % 2;
        for (std::size_t i = 0; i < steps; ++i) {
            batch_step step;
            step.count = 1 + m_clock->random() % 3;
            step.gang = m_clock->random() % 2 == 0;
            job.steps.push_back(step);
        }
        write(job_submitted {job});
    }

    void repeatSubmission()
    {
        batch_job job = pick(m_state.jobs())->second.job;
        job.submittedMs = ++m_lastStartMs;
        write(job_submitted {job});
    }

    std::vector<unit_id> units(bool active) const
    {
        std::vector<unit_id> found;
        for (const auto &[id, job] : m_state.jobs()) {
            for (std::uint32_t step = 0; step < job.job.steps.size(); ++step) {
                const auto &all = job.occurrences[0].steps[step].units;
                for (std::uint32_t i = 0; i < all.size(); ++i) {
                    if (active ? all[i].active.has_value()
                               : !all[i].active && !all[i].done && !job.isOver())
                        found.push_back({id, 0, step, i});
                }
            }
        }
        return found;
    }

    void order()
    {
        const std::vector<unit_id> waiting = units(false);
        if (waiting.empty())
            return;
        run_ordered ordered;
        ordered.unit = *pick(waiting);
        ordered.run = m_state.findUnit(ordered.unit)->lastRun + 1;
        const batch_step &step = m_state.find(ordered.unit.job)->job.steps[ordered.unit.step];
        ordered.gang = step.gang;
        for (std::uint32_t i = 0; i < (step.gang ? step.count : 1); ++i) {
            const process_id &agent = randomAgent();
            // The decider may not have read the newest announcement yet.
            const bool late = m_clock->uniform() < 0.1;
            ordered.members.push_back({step.gang ? i : ordered.unit.index, agent,
                                       late ? m_previousStartMs[agent] : m_startMs[agent]});
        }
        write(ordered);
    }

    std::vector<open_member> openMembers(bool evictedOnly) const
    {
        std::vector<open_member> found;
        for (const unit_id &unit : units(true)) {
            const run_state &run = *m_state.findUnit(unit)->active;
            for (const member_state &member : run.members) {
                if (!member.end && (!evictedOnly || m_state.isEvicted(member.member.agent)))
                    found.push_back({unit, run.run, member.member});
            }
        }
        return found;
    }

    void endRun()
    {
        const std::vector<open_member> open = openMembers(false);
        if (open.empty())
            return;
        const open_member &member = *pick(open);
        const run_end how = m_clock->uniform() < 0.5
            ? run_end::Done
            : static_cast<run_end>(m_clock->random() % static_cast<std::uint64_t>(run_end::Lost));
        writeEnd(member, how);
        m_ended.push_back(member);
    }

    /// Another process of the agent records an end of a run that has one, for example because the
    /// store carries out an append of an earlier process late.
    void endRunAgain()
    {
        if (m_ended.empty())
            return;
        const open_member &member = *pick(m_ended);
        const auto how
            = static_cast<run_end>(m_clock->random() % static_cast<std::uint64_t>(run_end::Lost));
        writeEnd(member, how);
    }

    /// Writes an end as a process of the agent that has recorded none of this run yet.
    void writeEnd(const open_member &member, run_end how)
    {
        const run_ended ended {
            member.unit, member.run, member.member.index, member.member.agent, how, "", false};
        m_store->put(JournalTopic, keyOf(ended, ++m_epoch), encodeRecord(ended));
        readOwn();
    }

    void stopRun()
    {
        const std::vector<unit_id> active = units(true);
        if (active.empty())
            return;
        const unit_id unit = *pick(active);
        write(run_stopping {unit, m_state.findUnit(unit)->active->run});
    }

    void announce(const process_id &agent, bool hasWorker, unix_ms startMs)
    {
        agent_announced record;
        record.agent = agent;
        record.hasWorker = hasWorker;
        record.worker.workerStartMs = startMs;
        record.worker.draining = m_clock->uniform() < 0.2;
        const bool wasPresent = hasWorker && startMs == m_startMs[agent];
        record.presentSince = wasPresent ? m_presentSince[agent] : PresentSinceThisRecord;
        if (startMs != m_startMs[agent])
            m_previousStartMs[agent] = m_startMs[agent];
        m_startMs[agent] = startMs;
        write(record);
        m_presentSince[agent] = record.firstValidOrder(m_position - 1);
    }

    void changeWorker()
    {
        const process_id agent = randomAgent();
        switch (m_clock->random() % 4) {
        case 0:
            announce(agent, false, 0);
            break;
        case 1:
            announce(agent, true, ++m_lastStartMs);
            break;
        default: // another state of the same incarnation, or its return after false notice
            if (m_startMs[agent] != 0)
                announce(agent, true, m_startMs[agent]);
            else if (m_previousStartMs[agent] != 0)
                announce(agent, true, m_previousStartMs[agent]);
            break;
        }
        if (m_clock->uniform() < 0.5)
            write(process_started {agent, m_incarnations[agent] = ++m_epoch, false, ""});
        if (m_clock->uniform() < 0.3)
            write(process_ending {agent, m_incarnations[agent]});
    }

    void changeEviction()
    {
        const process_id &agent = randomAgent();
        write(agent_evicted {agent, !m_state.isEvicted(agent)});
    }

    void declareLost()
    {
        for (const open_member &member : openMembers(true))
            write(run_ended {member.unit, member.run, member.member.index, member.member.agent,
                             run_end::Lost, "", true});
    }

    void endJob()
    {
        const auto job = pick(m_state.jobs());
        // Entries that have not read the end of a job yet record cancellations, also repeatedly.
        if (m_clock->random() % 3 != 0)
            write(job_cancelled {job->first});
        else if (!job->second.isOver())
            write(job_failed {job->first});
    }

    virtual_clock *m_clock;
    fake_store *m_store;
    batch_state m_state;
    std::uint64_t m_position = 0;
    std::vector<process_id> m_agents;
    std::map<process_id, unix_ms> m_startMs; ///< of the announced worker; 0: none
    std::map<process_id, unix_ms> m_previousStartMs;
    std::map<process_id, std::uint64_t> m_presentSince; ///< of the announced worker
    std::map<process_id, incarnation_number> m_incarnations;
    std::vector<open_member> m_ended;
    unix_ms m_lastStartMs = 1'000;
    epoch_number m_epoch = 0;
};

// Guards against a cancelled job that some entries show as completed: a cancellation recorded again
// replaces the first one in the store, and a run may have ended between them.
TEST(batch_state_order_test, cancelledJobStaysCancelledInEveryOrder)
{
    batch_job job;
    job.id = job_id("0000000000000001");
    job.steps.emplace_back();
    job.steps[0].count = 1;
    const process_id agent("agent");
    const unit_id unit {job.id, 0, 0, 0};
    const job_cancelled cancelled {job.id};
    const run_ended ended {unit, 1, 0, agent, run_end::Done, "", false};
    const std::vector<batch_record> log {job_submitted {job},
                                         run_ordered {unit, 1, false, {{0, agent, 1}}, "", "", 0},
                                         cancelled, ended, cancelled};
    batch_state everyRecord;
    batch_state newestRecords;
    for (std::size_t i = 0; i < log.size(); ++i) {
        everyRecord.apply(log[i], i);
        if (i != 2)
            newestRecords.apply(log[i], i);
    }
    EXPECT_EQ(everyRecord.find(job.id)->status(), job_status::Cancelled);
    EXPECT_EQ(newestRecords.find(job.id)->status(), job_status::Cancelled);
}

class batch_state_load_test : public testing::TestWithParam<std::uint64_t>
{ };

// Guards against a second run of an item, or a job that waits for ever, because an entry that has
// loaded the journal takes another state for its decisions than the entries before it did.
TEST_P(batch_state_load_test, loadGivesTheStateOfAllRecordsOneByOne)
{
    virtual_clock clock(GetParam());
    fake_store store(&clock);
    random_history history(&clock, &store);
    for (std::uint64_t i = 0; i < 20 + clock.random() % 80; ++i)
        history.writeNext();

    // The states that an entry passes through that reads each record.
    batch_state state;
    std::vector<std::string> expected {textOf(state)};
    const auto expectedAt = [&](std::uint64_t position) {
        const std::vector<stored_record> &records = store.recordsOf(JournalTopic);
        for (std::uint64_t offset = expected.size() - 1; offset < records.size(); ++offset) {
            state.apply(*decodeRecord(records[offset].value), offset);
            expected.push_back(textOf(state));
        }
        return expected.at(position);
    };

    store.recordsPerPage = 1 + clock.random() % 5;
    store_port port = store.portOf("entry", std::make_shared<bool>(true));
    batch_entry_options options;
    options.entry = process_id("entry");
    batch_entry entry(
        options, &port,
        {[&] { return clock.now(); }, [&] { return clock.now(); }, [&] { return clock.random(); }});
    entry.decodeConfig = [](const stored_record &) { return std::nullopt; };
    std::uint64_t position = 0;
    for (int i = 0; i < 3'000 && !HasFailure(); ++i) {
        entry.tick();
        if (clock.uniform() < (position == 0 ? 0.2 : 0.02))
            history.writeNext();
        clock.runFor(absl::Milliseconds(1));
        if (entry.journalPosition() == position)
            continue;
        position = entry.journalPosition();
        EXPECT_EQ(textOf(entry.state()), expectedAt(position))
            << "after " << position << " records";
    }
    EXPECT_GT(position, 0U);
}

INSTANTIATE_TEST_SUITE_P(seeds, batch_state_load_test, testing::Range<std::uint64_t>(1, 201));

} // namespace
} // namespace hyssoppond::batch
