/// @file Tests of a store whose partitions carry out appends one at a time. Each names the failure
/// that it guards against.
#include "batch_site_base.h"

#include <gtest/gtest.h>

namespace hyssoppond::batch {
namespace {

/// Numbers of the processes of a site. They stand for one machine each.
struct site_size
{
    std::size_t agents;
    std::size_t entries;
};

class batch_overload_test : public testing::TestWithParam<site_size>
{
protected:
    batch_overload_test()
        : m_site(1, GetParam().agents, GetParam().entries)
    {
        m_site.store.appendTime = absl::Milliseconds(2);
    }

    std::string nextId() const { return batch_site::idOf(1'000 + m_replies.size()); }

    void submitEvery(absl::Duration interval, absl::Time until)
    {
        m_site.clock.every(interval, [this, until] {
            const std::string id = nextId();
            const std::string entry = absl::StrCat("entry-", m_replies.size() % GetParam().entries);
            m_replies[id]
                = m_site.submit(entry, id, m_replies.size() % 3 == 0 ? "urgent" : "normal",
                                batch_site::stepOf(3, 1, true));
            return m_site.clock.now() < until;
        });
    }

    void setFaults(double executeLate, double slowness)
    {
        for (const auto &[name, process] : m_site.agents)
            m_site.store.faults[name].executeLate = executeLate;
        for (const auto &[name, process] : m_site.entries)
            m_site.store.faults[name].executeLate = executeLate;
        m_site.store.slowness = slowness;
    }

    /// Calls to the store in the next `span`, for each second.
    double callsPerSecond(absl::Duration span)
    {
        const std::size_t calls = m_site.store.calls;
        m_site.clock.runFor(span);
        return static_cast<double>(m_site.store.calls - calls) / absl::ToDoubleSeconds(span);
    }

    batch_site m_site;
    std::map<std::string, std::shared_ptr<job_reply>> m_replies; ///< by job
};

// Guards against a store that stays overloaded by repeated appends after it was slow and lost
// answers, and against accepted jobs that stand still because agents are evicted by turns.
TEST_P(batch_overload_test, loadFallsSoonAfterASlowAndLossyStore)
{
    virtual_clock &clock = m_site.clock;
    clock.runFor(absl::Seconds(8));
    const absl::Time lastSubmission = clock.now() + absl::Seconds(30);
    submitEvery(absl::Milliseconds(400), lastSubmission);
    clock.runFor(absl::Seconds(3));
    const double calmLoad = callsPerSecond(absl::Seconds(5));
    setFaults(0.35, 1.0);
    clock.runFor(absl::Seconds(1));
    setFaults(0.35, 60.0);
    clock.runFor(absl::Seconds(12.5));
    setFaults(0.0, 60.0);
    clock.runFor(absl::Seconds(1));
    setFaults(0.0, 1.0);
    clock.runFor(absl::Seconds(5));
    const std::string firstLater = nextId();
    EXPECT_LT(callsPerSecond(absl::Seconds(2)), 1.2 * calmLoad);
    EXPECT_LT(callsPerSecond(absl::Seconds(5)), 1.2 * calmLoad);
    clock.runUntil(lastSubmission + absl::Seconds(14));
    const batch_state &state = m_site.entries.at("entry-0")->node->state();
    std::size_t accepted = 0;
    for (const auto &[id, reply] : m_replies) {
        if (reply->kind != reply_kind::Accepted)
            continue;
        ++accepted;
        const job_state *job = state.find(job_id(id));
        ASSERT_NE(job, nullptr) << id;
        EXPECT_EQ(job->status(), job_status::Completed) << id;
    }
    EXPECT_GT(accepted, 0U);
    for (auto job = m_replies.find(firstLater); job != m_replies.end(); ++job)
        EXPECT_EQ(job->second->kind, reply_kind::Accepted) << job->first;
    for (const auto &[name, agent] : state.agents())
        EXPECT_FALSE(state.isEvicted(name)) << name.str();
    EXPECT_TRUE(m_site.history.breaches.empty());
}

std::string nameOf(const testing::TestParamInfo<site_size> &info)
{
    return absl::StrCat(info.param.agents + info.param.entries, "machines");
}

INSTANTIATE_TEST_SUITE_P(sizes, batch_overload_test,
                         testing::Values(site_size {12, 3}, site_size {78, 12},
                                         site_size {260, 40}),
                         nameOf);

} // namespace
} // namespace hyssoppond::batch
