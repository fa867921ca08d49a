/// @file Tests of the budget for bytes of clients. Each names the failure that it guards against.
#include "hyssoppond/base/client_budget_base.h"

#include <gtest/gtest.h>

namespace hyssoppond {
namespace {

constexpr std::size_t Megabyte = 1'048'576;

// Guards against defaults that leave an entry of 120 MB too little for its own state, that several
// hundred callers behind one address meet, or with which a heartbeat of 4 MiB is never accepted.
TEST(client_budget_test, defaultsServeWellBehavedClients)
{
    EXPECT_EQ(budgetLimitsFor(120).totalBytes, 30 * Megabyte);
    EXPECT_EQ(budgetLimitsFor(100'000).totalBytes, 64 * Megabyte);
    client_budget budget(budgetLimitsFor(120));
    for (int caller = 0; caller < 800; ++caller)
        ASSERT_TRUE(budget.reserve(client_listener::Front, "10.0.0.1", 22'528 + 4'096));
    for (const std::size_t memoryMb : {1, 32, 128}) {
        client_budget small(budgetLimitsFor(memoryMb));
        EXPECT_TRUE(
            small.reserve(client_listener::Control, "10.0.0.1", 22'528 + 4 * Megabyte + 512));
    }
}

// Guards against a crowd at one listener that takes what the others need, and against one address
// that takes the whole share of its listener.
TEST(client_budget_test, crowdLeavesTheReservesAndOtherAddressesAlone)
{
    client_budget budget(budgetLimitsFor(32));
    budget_limit last = budget_limit::Total;
    budget.onRefused
        = [&last](client_listener, std::string_view, budget_limit limit) { last = limit; };
    const auto fill = [&budget](client_listener listener, const std::string &address) {
        std::size_t taken = 0;
        while (budget.reserve(listener, address, 1'024))
            taken += 1'024;
        return taken;
    };
    EXPECT_EQ(fill(client_listener::Front, "10.0.0.1"), budget.limits().totalBytes / 4 * 3);
    EXPECT_EQ(last, budget_limit::Address);
    EXPECT_EQ(fill(client_listener::Front, "10.0.0.2"), budget.limits().totalBytes / 16);
    EXPECT_EQ(last, budget_limit::Listener);
    fill(client_listener::Rpc, "10.0.0.3");
    EXPECT_EQ(last, budget_limit::Total);
    for (const client_listener listener :
         {client_listener::Readiness, client_listener::Metrics, client_listener::Peers})
        EXPECT_GE(fill(listener, "10.0.0.1"),
                  budget.limits().of(listener).reserved / 1'024 * 1'024);
    EXPECT_LE(budget.used(), budget.limits().totalBytes);
}

// Guards against bytes that stay charged after the client is gone, which shrink the budget for
// good, and against a size that wraps around.
TEST(client_budget_test, chargesAreGivenBack)
{
    client_budget budget(budgetLimitsFor(32));
    {
        client_charge charge(&budget, client_listener::Front, "10.0.0.1");
        EXPECT_TRUE(charge.growTo(1'000));
        EXPECT_FALSE(charge.growTo(static_cast<std::size_t>(-1)));
        EXPECT_EQ(charge.bytes(), 1'000);
        charge.forceTo(100 * Megabyte);
        EXPECT_FALSE(budget.reserve(client_listener::Front, "10.0.0.2", 1));
        EXPECT_EQ(budget.exceededBy(client_listener::Front, "10.0.0.2", 1), budget_limit::Listener);
        EXPECT_TRUE(budget.reserve(client_listener::Readiness, "10.0.0.2", 0));
        charge.shrinkTo(10);
        EXPECT_EQ(budget.used(client_listener::Front), 10);
    }
    EXPECT_EQ(budget.used(), 0);
    EXPECT_TRUE(client_charge(nullptr, client_listener::Rpc, "").growTo(100 * Megabyte));
}

// Guards against connections that leave no descriptors for the store and the peers.
TEST(client_budget_test, connectionsLeaveHalfOfTheDescriptors)
{
    EXPECT_EQ(connectionLimitFor(4'100, 2'000), 2'000);
    EXPECT_EQ(connectionLimitFor(256, 2'000), 128);
}

} // namespace
} // namespace hyssoppond
