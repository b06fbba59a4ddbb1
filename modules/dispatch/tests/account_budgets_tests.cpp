#include "dispatch/account_budgets.h"
#include "dispatch/tests/memory_row_store.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <memory>
#include <string>

using namespace jujubevalve;

TEST_GROUP(account_budgets)
{
    static constexpr token_count limit = 100'000;
    testing::memory_row_store store;
    time_ms now{100'000};

    static account_budget_options options()
    {
        account_budget_options made;
        made.timing.initial_retry_delay = time_ms{10};
        made.timing.max_retry_delay = time_ms{100};
        made.timing.unchanged_retry_delay = time_ms{100};
        made.timing.check_interval = seconds(1);
        return made;
    }

    std::unique_ptr<account_budgets> instance(const std::string& name)
    {
        auto made = std::make_unique<account_budgets>(name, options());
        made->set_limits({{"crew", limit}}, now);
        return made;
    }

    void publish(account_budgets & budgets, bool reachable)
    {
        if (!reachable) {
            return;
        }
        if (const auto plan = budgets.ceilings().plan(budgets.spend(now), now)) {
            budgets.ceilings().sent(*plan, now);
            budgets.ceilings().acknowledged();
        }
    }

    /// Executes all due steps. With `lose_responses`, writes take effect but their outcome is
    /// unknown.
    void run_steps(account_budgets & budgets, bool reachable = true, bool lose_responses = false)
    {
        publish(budgets, reachable && !lose_responses);
        for (int i = 0; i < 20; ++i) {
            const auto step = budgets.next_step(2, now);
            if (step.read_ledger) {
                budgets.rows_read(store.read(account_budgets::ledger_row_key(*step.read_ledger)),
                                  now);
            } else if (step.write) {
                std::vector<table_row> current;
                commit_result outcome{commit_outcome::unavailable, {}, {}};
                if (reachable) {
                    outcome = store.commit(step.write->planned.change, current);
                }
                if (lose_responses) {
                    outcome = {commit_outcome::unknown, {}, {}};
                    current.clear();
                }
                budgets.committed(*step.write, outcome, current, now);
            }
            now = now + time_ms{20};
        }
    }

    /// Makes `tries` requests of the given size and returns the tokens spent.
    token_count spend_all(account_budgets & budgets, token_count size, int tries = 400)
    {
        token_count spent = 0;
        for (int i = 0; i < tries; ++i) {
            const auto got = budgets.reserve("crew", size, now);
            if (got) {
                budgets.settle(got.id, size, now);
                spent += size;
            }
            run_steps(budgets);
        }
        return spent;
    }
};

// Guards against overspending when two instances draw on one budget concurrently.
TEST(account_budgets, instances_together_stay_within_the_limit_and_use_it_up)
{
    const auto a = instance("a");
    const auto b = instance("b");
    token_count spent = 0;
    for (int i = 0; i < 600; ++i) {
        for (auto* const budgets : {a.get(), b.get()}) {
            if (const auto got = budgets->reserve("crew", 700, now)) {
                budgets->settle(got.id, 700, now);
                spent += 700;
            }
            run_steps(*budgets);
        }
    }
    CHECK(spent <= limit);
    CHECK(spent >= limit * 97 / 100);
}

// Guards against counting a grant twice, or losing it, when the response to its write is lost.
TEST(account_budgets, a_lost_response_neither_doubles_nor_loses_a_grant)
{
    const auto a = instance("a");
    (void)a->reserve("crew", 1000, now);
    run_steps(*a, true, true);
    now = now + seconds(1);
    const auto b = instance("b");
    const auto spent_a = spend_all(*a, 1000);
    const auto spent_b = spend_all(*b, 1000);
    CHECK(spent_a + spent_b <= limit);
    CHECK(spent_a + spent_b >= limit * 95 / 100);
}

TEST(account_budgets, nothing_is_spent_without_a_grant)
{
    const auto a = instance("a");
    const auto refused = a->reserve("crew", 1000, now);
    CHECK(refused.id == 0);
    run_steps(*a, false);
    CHECK(a->reserve("crew", 1000, now).id == 0);
}

// Guards against refusing requests during a store outage that is no longer than the horizon.
TEST(account_budgets, an_outage_within_the_horizon_causes_no_refusals_at_steady_demand)
{
    const auto a = std::make_unique<account_budgets>("a", options());
    a->set_limits({{"crew", 10'000'000}}, now);
    const auto step = [&](bool reachable) {
        bool granted = false;
        if (const auto got = a->reserve("crew", 5000, now)) {
            a->settle(got.id, 5000, now);
            granted = true;
        }
        run_steps(*a, reachable); // 400 ms
        return granted;
    };
    for (int i = 0; i < 50; ++i) {
        step(true);
    }
    for (int i = 0; i < 24; ++i) { // 9.6 s
        CHECK(step(false));
    }
}

// Load pattern: the store is away and callers meet a ceiling that rises slowly. If all were told
// to return when it has room for one of them, the others would be refused again.
TEST(account_budgets, refused_callers_are_told_when_there_is_room_behind_the_earlier_ones)
{
    const auto a = std::make_unique<account_budgets>("a", options());
    a->set_limits({{"crew", 10'000'000}}, now);
    for (int i = 0; i < 20; ++i) {
        if (const auto got = a->reserve("crew", 5'000, now)) {
            a->settle(got.id, 5'000, now);
        }
        run_steps(*a);
    }
    a->set_store_reachable(false);
    auto refused = reserve_outcome{};
    while ((refused = a->reserve("crew", 5'000, now))) {
        a->settle(refused.id, 5'000, now);
    }
    const auto first = a->room_expected_in("crew", 5'000, now);
    const auto second = a->room_expected_in("crew", 5'000, now);
    CHECK(first && second);
    CHECK(time_ms{0} < *first);
    CHECK(*first < *second);
    now = now + *second;
    CHECK(a->reserve("crew", 5'000, now).id != 0);
    CHECK(a->reserve("crew", 5'000, now).id != 0);
}

// Guards against judging a surplus by an old ledger row: the holder would keep what others lack.
TEST(account_budgets, a_holder_reads_the_ledger_when_others_lack_tokens)
{
    const auto standby = instance("standby");
    standby->set_roles([](std::string_view /*account*/) { return grant_role::standby; }, now);
    run_steps(*standby);
    const auto held = standby->book().available("crew");
    CHECK(held > limit / 20);
    const auto home = instance("home");
    home->set_roles([](std::string_view /*account*/) { return grant_role::home; }, now);
    spend_all(*home, 1000, 200);
    standby->record_peer_shortage("crew", now);
    run_steps(*standby); // 400 ms
    CHECK(standby->book().available("crew") < held / 4);
}

// Guards against a raised limit that takes effect only after a restart.
TEST(account_budgets, a_raised_limit_can_be_spent)
{
    const auto a = instance("a");
    const auto before = spend_all(*a, 1000);
    a->set_limits({{"crew", 2 * limit}}, now);
    const auto after = spend_all(*a, 1000);
    CHECK(before <= limit);
    CHECK(before + after <= 2 * limit);
    CHECK(before + after >= 2 * limit * 95 / 100);
}

// Guards against refusing a request that arrives while a refill is in flight, although plenty of
// the budget is left.
TEST(account_budgets, a_request_that_waits_behind_a_refill_gets_the_next_one)
{
    const auto a = instance("a");
    a->set_limits({{"crew", 10'000'000}}, now);
    run_steps(*a);
    const auto available_before = a->book().available("crew");
    (void)a->reserve("crew", available_before + 1'000, now);
    const auto in_flight = a->next_step(2, now);
    CHECK(in_flight.write.has_value());
    const auto waiting = available_before + 1'500; // slightly more than the refill adds
    (void)a->reserve("crew", waiting, now);
    std::vector<table_row> current;
    const auto outcome = store.commit(in_flight.write->planned.change, current);
    a->committed(*in_flight.write, outcome, current, now);
    a->record_waiting("crew", waiting, now);
    run_steps(*a);
    CHECK(a->reserve("crew", waiting, now).id != 0);
}

// Guards against stranding the unspent tokens of an instance that shuts down.
TEST(account_budgets, a_closed_instance_returns_what_is_left)
{
    const auto a = instance("a");
    const auto got = a->reserve("crew", 1000, now);
    CHECK(got.id == 0);
    run_steps(*a);
    CHECK(a->reserve("crew", 1000, now).id != 0);
    const auto b = instance("b");
    a->begin_close();
    run_steps(*a);
    CHECK_FALSE(a->all_closed()); // a request is still running
    const auto spent = spend_all(*b, 1000);
    CHECK(spent <= limit - 1000);
}
