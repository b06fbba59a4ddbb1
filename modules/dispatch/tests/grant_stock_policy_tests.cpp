#include "budget/grant_tracker.h"
#include "dispatch/grant_stock_policy.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

TEST_GROUP(grant_stock_policy)
{
    grant_stock_policy policy;

    /// A budget with little left for ten instances and requests of 1,000 tokens.
    static grant_policy_input scarce_facts()
    {
        grant_policy_input facts;
        facts.budget = "crew";
        facts.limit = 1'000'000;
        facts.grantable = 1'000'000;
        facts.free = 9'000;
        facts.request = 1'000;
        facts.typical_request = 1'000;
        facts.live_instances = 10;
        facts.first_grant = false;
        return facts;
    }
};

// Guards against returning tokens while a request waits for its ceiling to rise, and drawing them
// again immediately.
TEST(grant_stock_policy, tokens_of_waiting_requests_are_kept)
{
    auto facts = scarce_facts();
    facts.available = 900;
    CHECK(policy.wanted(facts) < 0);
    policy.set_waiting({{"crew", 900}});
    CHECK_EQUAL(0, policy.wanted(facts));
}

// Load pattern: a budget runs out while many instances each get several requests per second. With
// one write per request they would update one ledger faster than the store can.
TEST(grant_stock_policy, draws_for_upcoming_demand_when_little_is_left)
{
    auto facts = scarce_facts();
    facts.demand_per_ms = 2; // two requests a second
    policy.set_waiting({{"crew", 1'000}});
    CHECK_EQUAL(3'000, policy.wanted(facts));
    facts.available = 2'000;
    facts.free = 7'000;
    policy.set_waiting({});
    CHECK_EQUAL(0, policy.wanted(facts));
}

// Guards against holding tokens without local demand while other instances lack them.
TEST(grant_stock_policy, returns_the_surplus_when_little_is_left)
{
    auto facts = scarce_facts();
    facts.available = 5'000;
    CHECK_EQUAL(-5'000, policy.wanted(facts));
}

// Load pattern: one instance serves nearly all demand of an account and has drawn the rest of the
// ledger. What lies at the others has to come back before it runs out.
TEST(grant_stock_policy, a_shortage_is_told_ahead)
{
    auto facts = scarce_facts();
    facts.free = 0;
    facts.demand_per_ms = 100;
    facts.available = 300'000;
    CHECK_FALSE(policy.is_short_of_tokens(facts));
    facts.available = 200'000; // 2 s of demand
    CHECK(policy.is_short_of_tokens(facts));
}

// Guards against treating a budget with plenty left as scarce because of one very large request.
TEST(grant_stock_policy, a_single_large_request_does_not_make_a_budget_scarce)
{
    auto facts = scarce_facts();
    facts.free = 400'000;
    facts.available = 30'000;
    facts.request = 51'000;
    facts.demand_per_ms = 20;
    CHECK(policy.wanted(facts) >= 0);
    CHECK(policy.target(facts) > facts.available);
}

// Load pattern: after an outage many budgets need a refill at once, while calls are rate-limited.
TEST(grant_stock_policy, the_budget_with_the_largest_shortage_is_refilled_first)
{
    refill_timing timing;
    timing.batch_size = 1;
    grant_tracker book{"i-1", timing};
    const time_ms now{100'000};
    for (const auto* name : {"a", "b", "c"}) {
        book.open(name, now);
    }
    (void)book.reserve("a", 100, now);
    (void)book.reserve("c", 5'000, now);
    CHECK(book.plan_refill(policy, 1, now).budgets == std::vector<std::string>{"c"});
    CHECK(book.plan_refill(policy, 1, now).budgets == std::vector<std::string>{"a"});
}

// Guards against stocks that lag behind new demand in its first seconds.
TEST(grant_stock_policy, demand_is_measured_after_its_first_second)
{
    refill_timing timing;
    timing.demand_window = seconds(10);
    timing.demand_min_age = seconds(1);
    demand_rate rate{timing.demand_window, timing.demand_min_age};
    for (int ms = 0; ms <= 1000; ms += 10) {
        rate.add(50, time_ms{ms});
    }
    DOUBLES_EQUAL(5.0, rate.per_ms(time_ms{1000}), 0.5);
}

// Load pattern: an account's first streams run for seconds and the store fails before the first of
// them has ended.
TEST(grant_stock_policy, demand_of_running_requests_is_known_before_they_end)
{
    refill_timing timing;
    timing.demand_window = seconds(10);
    timing.demand_min_age = seconds(1);
    timing.demand_from_reservations = true;
    grant_tracker book{"i-1", timing};
    time_ms now{100'000};
    book.observe({"crew", 1'000'000, 1'000'000, 100'000, {100'000}, 1}, now);
    std::vector<reservation_id> running;
    for (int i = 0; i < 10; ++i) {
        now = now + time_ms{100};
        running.push_back(book.reserve("crew", 1'000, now).id);
    }
    CHECK(book.demand("crew", now) >= 8.0);
    for (const auto id : running) {
        book.settle(id, 500, now + time_ms{1});
    }
    DOUBLES_EQUAL(5.0, book.demand("crew", now + time_ms{1}), 1.0);
}

// Guards against demand of requests that never ran.
TEST(grant_stock_policy, released_reservations_are_no_demand)
{
    refill_timing timing;
    timing.demand_from_reservations = true;
    grant_tracker book{"i-1", timing};
    const time_ms now{100'000};
    book.observe({"crew", 1'000'000, 1'000'000, 100'000, {100'000}, 1}, now);
    book.release(book.reserve("crew", 5'000, now).id);
    DOUBLES_EQUAL(0.0, book.demand("crew", now + time_ms{10}), 0.001);
}
