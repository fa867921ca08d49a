/// @file Tests of which connections an HTTP server closes. Each names the failure that it guards
/// against.
#include "connection_table.h"

#include <gtest/gtest.h>

#include <vector>

namespace hyssoppond {
namespace {

constexpr std::size_t Kilobyte = 1'024;

class connection_table_test : public testing::Test
{
protected:
    explicit connection_table_test()
    {
        m_table.close = [this](int descriptor) { m_closed.push_back(descriptor); };
        m_table.onLimit = [this](http_limit limit, const std::string & /*address*/) {
            m_limits.push_back(limit);
        };
    }

    /// A new connection, if it is admitted.
    client_connection *connect(const std::string &address = "10.0.0.1")
    {
        return m_table.admit(address, m_now) ? m_table.open(++m_lastDescriptor, address, m_now)
                                             : nullptr;
    }

    /// A new connection with a request whose body has `bytes`.
    client_connection *request(std::size_t bytes)
    {
        client_connection *connection = connect();
        m_table.beginRequest(connection, m_now);
        EXPECT_TRUE(m_table.reserve(connection, bytes, m_now));
        return connection;
    }

    absl::Time m_now = absl::FromUnixSeconds(1'000);
    client_budget m_budget {budgetLimitsFor(32)}; // 6 MiB for one address
    connection_table m_table {{client_listener::Front, &m_budget, 4, absl::Seconds(2)}};
    std::vector<int> m_closed;
    std::vector<http_limit> m_limits;
    int m_lastDescriptor = 0;
};

// Guards against a crowd that keeps its connections and so shuts out all others, and against
// closing a connection that makes progress or waits for this process.
TEST_F(connection_table_test, stalledConnectionsYieldFirstThenIdleOnes)
{
    client_connection *idle = connect();
    m_table.beginRequest(idle, m_now);
    m_table.endRequest(idle, m_now);
    client_connection *waiting = request(Kilobyte);
    waiting->waitsForHandler = true;
    connect(); // stops within its head
    client_connection *slow = request(4 * Kilobyte);
    EXPECT_EQ(connect(), nullptr);
    EXPECT_EQ(m_limits, std::vector {http_limit::Connections});
    m_now += absl::Seconds(3);
    m_table.received(slow, 1, m_now); // single bytes are no progress
    EXPECT_NE(connect(), nullptr);
    EXPECT_EQ(m_closed, std::vector {slow->descriptor});
    EXPECT_NE(connect(), nullptr);
    EXPECT_NE(connect(), nullptr);
    EXPECT_EQ(m_closed, (std::vector {4, 3, 1}));
    EXPECT_EQ(connect(), nullptr);
    EXPECT_EQ(m_table.size(), 4);
}

// Guards against bodies that stop before their end and keep the budget from all others, and against
// closing idle connections for a body.
TEST_F(connection_table_test, bodiesWithoutProgressYieldTheBudget)
{
    client_connection *idle = connect();
    m_table.beginRequest(idle, m_now);
    m_table.endRequest(idle, m_now);
    client_connection *first = request(2'800 * Kilobyte);
    client_connection *second = request(2'800 * Kilobyte);
    client_connection *third = connect();
    m_table.beginRequest(third, m_now);
    EXPECT_FALSE(m_table.reserve(third, 2'800 * Kilobyte, m_now));
    m_now += absl::Seconds(3);
    m_table.received(first, Kilobyte, m_now);
    EXPECT_TRUE(m_table.reserve(third, 2'800 * Kilobyte, m_now));
    EXPECT_EQ(m_closed, std::vector {second->descriptor});
    EXPECT_TRUE(second->evicted);
}

// Guards against answers that are not charged while the client does not read them, and charges that
// stay after the connection.
TEST_F(connection_table_test, answersAreChargedUntilTheEndOfTheRequest)
{
    client_connection *connection = request(100 * Kilobyte);
    m_table.answer(connection, 300 * Kilobyte, m_now);
    EXPECT_EQ(m_budget.used(), connection_table::ConnectionBytes + 300 * Kilobyte);
    m_table.endRequest(connection, m_now);
    EXPECT_EQ(m_budget.used(), connection_table::ConnectionBytes);
    m_table.remove(connection);
    EXPECT_EQ(m_budget.used(), 0);
}

} // namespace
} // namespace hyssoppond
